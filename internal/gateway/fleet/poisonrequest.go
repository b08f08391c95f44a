package fleet

import (
	"slices"
	"time"

	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/poisonpart"
	"heatherbarrow/internal/scheduling/quarantine"
)

// maxRequestReports bounds the suspect requests that are reported together.
const maxRequestReports = 12

// recordRequestCrash counts a crash against the requests that ran on the replica, also if other replicas crashed
// without them at about the same time: a request that never completes in crash after crash, far enough apart,
// is not the victim of one outage.
func (f *Fleet) recordRequestCrash(m *Member, suspects []suspect, now time.Time) {
	var fingerprints []uint64
	for i := range suspects {
		if suspects[i].fingerprint != 0 {
			fingerprints = append(fingerprints, suspects[i].fingerprint)
		}
	}
	slices.Sort(fingerprints)
	f.notePartChanges(f.requests.Crash(slices.Compact(fingerprints), nil, m.Key(), now), true, true)
}

// completeRequest records a complete answer to a request.
func (f *Fleet) completeRequest(fingerprint uint64, now time.Time) {
	if fingerprint != 0 {
		f.complete(f.requests, []uint64{fingerprint}, now)
	}
}

// refusesRequest reports whether a request is refused for crashes that all hosts know of, and until when.
func (f *Fleet) refusesRequest(fingerprint uint64, now time.Time) (expires time.Time, refused bool) {
	if fingerprint == 0 {
		return time.Time{}, false
	}
	_, expires, refused = f.requests.Blamed([]uint64{fingerprint}, now)
	return expires, refused
}

// RequestReports returns what other hosts need to know of suspect requests; see poisonpart.Tracker.Reports.
func (f *Fleet) RequestReports(all bool, now time.Time) []poisonpart.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	quarantined := func(fingerprint uint64) bool {
		_, refused := f.isQuarantined(fingerprint, now)
		return refused
	}
	return f.requests.ReportsWith(all, quarantined, maxRequestReports, now)
}

// ApplyRequestReports applies what another host, or the store, knows of suspect requests.
func (f *Fleet) ApplyRequestReports(entries []poisonpart.Entry, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	quarantined, _ := f.requests.Merge(entries, now)
	f.notePartChanges(quarantined, true, true)
	f.countWithheld(now)
	for i := range entries {
		f.voidCrashes(entries[i].Part, now)
	}
}

// voidCrashes removes the crashes of a request that answers on other hosts, completed since, have voided.
func (f *Fleet) voidCrashes(fingerprint uint64, now time.Time) {
	freed := f.poison.Void(fingerprint, now, func(id scheduling.ReplicaID, at time.Time) bool {
		return f.requests.Voided(fingerprint, trackedCrash(id, at))
	})
	if freed {
		f.notePartChanges([]uint64{fingerprint}, true, false)
	}
}

// isQuarantined reports whether a request is refused for crashes of replicas that have no other explanation, and for
// how much longer.
func (f *Fleet) isQuarantined(fingerprint uint64, now time.Time) (remaining time.Duration, refused bool) {
	explained := func(id scheduling.ReplicaID, at time.Time) bool {
		return f.crashByPart(id, at) || f.crashByRequest(fingerprint, id, at, now)
	}
	state, remaining := f.poison.UnexplainedState(fingerprint, now, explained)
	return remaining, state == quarantine.Quarantined
}

// crashByRequest reports whether another request explains a crash that is counted against one: a refused one that was in
// flight in it too, and in more crashes.
func (f *Fleet) crashByRequest(fingerprint uint64, id scheduling.ReplicaID, at, now time.Time) bool {
	return slices.ContainsFunc(f.requests.OutweighedBy(fingerprint, trackedCrash(id, at)), func(other uint64) bool {
		state, _ := f.poison.State(other, now)
		return state == quarantine.Quarantined || f.requests.Refuses(other, now)
	})
}

// trackedCrash returns the form of a crash in a Tracker.
func trackedCrash(id scheduling.ReplicaID, at time.Time) poisonpart.Crash {
	m := Member{ID: id.Replica}
	return poisonpart.Crash{Replica: m.Key(), At: at}
}

// RefusedRequests returns the requests that are refused for crashes that all hosts know of.
func (f *Fleet) RefusedRequests(now time.Time) []poisonpart.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests.Refused(now)
}

// SuspectRequests returns the requests that are suspects and not refused; see poisonpart.Tracker.Suspects.
func (f *Fleet) SuspectRequests(limit int, now time.Time) []poisonpart.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests.Suspects(limit, now)
}
