package main

import (
	"slices"
	"time"

	"heatherbarrow/internal/scheduling"
)

// Delays of internal/control: its pushes and its urgent views gather events.
const (
	pushDelay          = 5 * time.Millisecond
	urgentViewDelay    = 10 * time.Millisecond
	urgentViewInterval = 200 * time.Millisecond
	suspectTime        = time.Hour
	// A completion waits for the periodic exchanges.
	zoneExchange   = 500 * time.Millisecond
	remoteExchange = 2 * time.Second
)

// suspects are the fingerprints that a host's control knows.
type suspects struct {
	entries []scheduling.QuarantineEntry
	urgent  time.Time // the last urgent view, or the next one
}

// listed returns the entries for a view.
func (s *suspects) listed(now time.Time) []scheduling.QuarantineEntry {
	out := slices.Clone(s.entries)
	for i := range out {
		out[i].Expires = now.Add(suspectTime)
	}
	return out
}

// add takes over an event, with the number of releases that its sender knew.
func (s *suspects) add(e scheduling.SuspectEvent, released uint64) {
	i := slices.IndexFunc(s.entries, func(known scheduling.QuarantineEntry) bool { return known.Fingerprint == e.Fingerprint })
	if i < 0 {
		s.entries = append(s.entries, scheduling.QuarantineEntry{Fingerprint: e.Fingerprint, Released: released})
		i = len(s.entries) - 1
	}
	entry := &s.entries[i]
	if released > entry.Released {
		entry.Released, entry.Replicas = released, nil
	}
	if released == entry.Released && !e.Cleared {
		entry.Replicas = appendNew(entry.Replicas, e.Replica)
	}
}

func (s *suspects) released(fingerprint uint64) uint64 {
	for _, e := range s.entries {
		if e.Fingerprint == fingerprint {
			return e.Released
		}
	}
	return 0
}

// share tells the other hosts of an event. The sender's own view follows with its
// next one: its scheduler knows already.
func (w *world) share(from *host, e scheduling.SuspectEvent) {
	released := from.released(e.Fingerprint)
	if e.Cleared {
		released++
	}
	for _, to := range w.hosts {
		if to == from {
			to.add(e, released)
			continue
		}
		w.loop.after(shareDelay(from, to, e.Cleared), func() {
			to.add(e, released)
			if !e.Cleared {
				w.viewSoon(to)
			}
		})
	}
}

// shareDelay is how long an event takes to the control of another host.
func shareDelay(from, to *host, cleared bool) time.Duration {
	switch {
	case from.zone == to.zone && cleared:
		return zoneExchange
	case from.zone == to.zone:
		return pushDelay + localLatency
	case cleared:
		return remoteExchange
	default:
		return pushDelay + crossLatency
	}
}

// viewSoon gives the host an urgent view unless one is due already.
func (w *world) viewSoon(h *host) {
	now := w.loop.now()
	if h.urgent.After(now) {
		return
	}
	at := now.Add(urgentViewDelay)
	if next := h.urgent.Add(urgentViewInterval); next.After(at) {
		at = next
	}
	h.urgent = at
	w.loop.at(at, func() { w.policy.view(w, h, w.viewFor(h)) })
}
