package fleet

import (
	"slices"
	"time"

	"heatherbarrow/internal/scheduling/poisonpart"
)

// withheldCrash is a crash that this host does not count, as its links to all replicas may have failed instead.
type withheldCrash struct {
	member   Member
	suspects []suspect
	at       time.Time
}

// RecordUnreached records that a replica which broke connections refused a new one, and that none of the others that were
// tried accepted one. This host's links have failed then, unless all others are known to have crashed.
func (f *Fleet) RecordUnreached(id string, now time.Time) CrashEvidence {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.replicas[id]
	if !ok {
		return CrashEvidence{}
	}
	sound, failed := f.others(now, id)
	up := func(r *replica) bool { return !f.crashedLately(r, now) }
	if !slices.ContainsFunc(sound, up) && !slices.ContainsFunc(failed, up) {
		return f.recordInspection(r, true, now)
	}
	suspects := r.suspects
	r.suspects = nil
	f.withhold(r, suspects, now)
	return CrashEvidence{Suspects: len(suspects), Outages: len(suspects)}
}

// crashedLately reports whether a crash of the replica is known from which it may not be back.
func (f *Fleet) crashedLately(r *replica, now time.Time) bool {
	since := now.Add(-CrashReportTime)
	return f.requests.CrashedSince(r.key, since) || f.parts.CrashedSince(r.key, since)
}

// withhold keeps what may be a crash of a replica until another host tells of it.
func (f *Fleet) withhold(r *replica, suspects []suspect, now time.Time) {
	f.withheld = append(f.withheld, withheldCrash{member: r.member, suspects: suspects, at: now})
	f.countWithheld(now)
}

// countWithheld counts the withheld crashes of which another host has told: they are no failure of this host's links.
func (f *Fleet) countWithheld(now time.Time) {
	withheld := f.withheld
	f.withheld = nil
	for i := range withheld {
		w := &withheld[i]
		crash := poisonpart.Crash{Replica: w.member.Key(), At: w.at}
		switch {
		case now.Sub(w.at) > CrashReportTime:
		case f.requests.Knows(crash) || f.parts.Knows(crash):
			suspects := f.withoutVoided(w.suspects, crash)
			f.recordPartCrash(&w.member, suspects, w.at)
			f.recordRequestCrash(&w.member, suspects, w.at)
		default:
			f.withheld = append(f.withheld, *w)
		}
	}
}

// withoutVoided returns suspects of a crash without the requests and parts that were answered since.
func (f *Fleet) withoutVoided(suspects []suspect, crash poisonpart.Crash) []suspect {
	suspects = slices.Clone(suspects)
	for i := range suspects {
		s := &suspects[i]
		s.parts = slices.DeleteFunc(slices.Clone(s.parts), func(part uint64) bool { return f.parts.Voided(part, crash) })
		if f.requests.Voided(s.fingerprint, crash) {
			s.fingerprint = 0
		}
	}
	return suspects
}
