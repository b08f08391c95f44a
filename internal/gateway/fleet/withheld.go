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
