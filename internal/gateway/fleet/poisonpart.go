package fleet

import (
	"slices"
	"time"

	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/poisonpart"
)

// maxPartReports bounds the suspect parts that are reported together: a datagram has room for about
// so many with a single crash.
const maxPartReports = 36

// PartChange is the beginning or end of the quarantine of a prompt part, or of a whole request, on this host.
type PartChange struct {
	Part        uint64 // the fingerprint of a whole request
	Request     bool
	Quarantined bool
}

// recordPartCrash counts a crash against the prompt parts of the requests that ran on the replica. Those of requests
// whose answers had not begun while others had are the less likely cause, but a replica may crash before the first
// byte of its answer leaves it.
func (f *Fleet) recordPartCrash(m *Member, suspects []suspect, now time.Time) {
	anyAnswering := slices.ContainsFunc(suspects, func(s suspect) bool { return s.answering })
	var parts, waiting, retried []uint64
	for i := range suspects {
		if suspects[i].retried {
			retried = append(retried, suspects[i].parts...)
		}
		if suspects[i].answering == anyAnswering {
			parts = append(parts, suspects[i].parts...)
		} else {
			waiting = append(waiting, suspects[i].parts...)
		}
	}
	slices.Sort(parts)
	slices.Sort(waiting)
	waiting = slices.DeleteFunc(slices.Compact(waiting), func(part uint64) bool { return slices.Contains(parts, part) })
	f.notePartChanges(f.parts.CrashInRetry(slices.Compact(parts), waiting, retried, m.Key(), now), false, true)
}

// crashByPart reports whether a quarantined part explains the crash of a replica.
func (f *Fleet) crashByPart(id scheduling.ReplicaID, at time.Time) bool {
	m := Member{ID: id.Replica}
	return f.parts.Explains(m.Key(), at)
}

// completeParts records a complete answer to a request with the parts.
func (f *Fleet) completeParts(parts []uint64, now time.Time) {
	if len(parts) == 0 {
		return
	}
	f.complete(f.parts, parts, now)
}

// complete records a complete answer with a tracker.
func (f *Fleet) complete(t *poisonpart.Tracker, parts []uint64, now time.Time) {
	var refused []poisonpart.Entry
	if t.Suspect(parts) {
		refused = t.Refused(now)
	}
	released, quarantined := t.Completed(parts, now)
	for i := range refused {
		if slices.Contains(released, refused[i].Part) {
			f.notePartChanges([]uint64{refused[i].Part}, t == f.requests, false)
		}
	}
	f.notePartChanges(quarantined, t == f.requests, true)
}

// maxPartChanges bounds the changes that wait for TakePartChanges.
const maxPartChanges = 64

func (f *Fleet) notePartChanges(parts []uint64, requests, quarantined bool) {
	for _, part := range parts[:min(len(parts), maxPartChanges-len(f.partChanges))] {
		f.partChanges = append(f.partChanges, PartChange{Part: part, Request: requests, Quarantined: quarantined})
	}
}

// TakePartChanges returns the quarantines that began or ended since the previous call.
func (f *Fleet) TakePartChanges() []PartChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	changes := f.partChanges
	f.partChanges = nil
	return changes
}

// PartReports returns what other hosts need to know of suspect parts; see poisonpart.Tracker.Reports.
func (f *Fleet) PartReports(all bool, now time.Time) []poisonpart.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.parts.Reports(all, maxPartReports, now)
}

// ApplyPartReports applies what another host, or the store, knows of suspect parts.
func (f *Fleet) ApplyPartReports(entries []poisonpart.Entry, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	quarantined, _ := f.parts.Merge(entries, now)
	f.notePartChanges(quarantined, false, true)
	f.countWithheld(now)
}

// RefusedParts returns the parts that requests are refused for.
func (f *Fleet) RefusedParts(now time.Time) []poisonpart.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.parts.Refused(now)
}

// SuspectParts returns the prompt parts that are suspects and not refused; see poisonpart.Tracker.Suspects.
func (f *Fleet) SuspectParts(limit int, now time.Time) []poisonpart.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.parts.Suspects(limit, now)
}
