package rpc

import (
	"time"

	"heatherbarrow/internal/scheduling/poisonpart"
)

// SuspectParts encodes what a host knows of suspect parts. Times are sent as ages, as the clocks of
// hosts differ.
func SuspectParts(entries []poisonpart.Entry, now time.Time) []*SuspectPart {
	var out []*SuspectPart
	for i := range entries {
		e := &entries[i]
		m := &SuspectPart{Part: e.Part, Released: e.Released, Quarantined: e.Quarantined, ExpiresInS: uint32(max(e.Expires.Sub(now), 0).Seconds())}
		for _, c := range e.Crashes {
			m.Crashes = append(m.Crashes, &PartCrash{Replica: c.Replica, AgeMs: uint32(max(now.Sub(c.At), 0).Milliseconds()), Waiting: c.Waiting, Retried: c.Retried})
		}
		out = append(out, m)
	}
	return out
}

// SuspectPartEntries decodes the result of SuspectParts.
func SuspectPartEntries(messages []*SuspectPart, now time.Time) []poisonpart.Entry {
	var out []poisonpart.Entry
	for _, m := range messages {
		e := poisonpart.Entry{Part: m.Part, Released: m.Released, Quarantined: m.Quarantined, Expires: now.Add(time.Duration(m.ExpiresInS) * time.Second)}
		for _, c := range m.Crashes {
			e.Crashes = append(e.Crashes, poisonpart.Crash{Replica: c.Replica, At: now.Add(-time.Duration(c.AgeMs) * time.Millisecond), Waiting: c.Waiting, Retried: c.Retried})
		}
		out = append(out, e)
	}
	return out
}
