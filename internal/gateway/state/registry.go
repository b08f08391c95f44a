// Package state owns what a host believes of the configuration and of the
// replicas. One goroutine changes it, in the order in which news arrive; the
// traffic path reads immutable snapshots.
package state

import (
	"time"

	"heatherbarrow/internal/gateway/fleet"
)

const (
	// holdShare is the part of the time allowed for withdrawing a replica for which
	// one stays in use whose registration vanished together with a disturbance of the
	// store. Entries of live replicas are back about two seconds after the store's
	// return, but a replica may also have left without a word.
	holdShare = 0.85
	// disturbance is how long after a failed call the store counts as disturbed.
	disturbance = 3 * time.Second
	// massWindow and massShare tell a mass disappearance: this part of an
	// upstream's replicas within this time.
	massWindow = time.Second
	massShare  = 0.4
	massLeast  = 2
	// removedLife is how long a removal is remembered, so that older news from
	// another host do not undo it.
	removedLife = time.Minute
)

// Registration is the newest known state of a replica's entry in the store.
type Registration struct {
	fleet.Member
	Revision uint64 // of the store; the higher one holds
	Removed  bool
	removed  time.Time
	until    time.Time // a removed replica stays in use until then
	// Held is how much longer the host that told of the removal keeps the replica in use:
	// it vanished together with a disturbance of the store.
	Held time.Duration
}

// HeldFor returns how much longer a removed replica stays in use.
func (r *Registration) HeldFor(now time.Time) time.Duration { return max(r.until.Sub(now), 0) }

// registry merges news of registrations from the store and from other hosts.
type registry struct {
	entries  map[string]*Registration
	changed  map[string]struct{} // since the last call of changes
	hold     time.Duration
	revision uint64 // the highest of all entries
	holds    int    // removed entries that stay in use
	// forgotten is the highest revision of a removal that is not remembered any more.
	forgotten uint64
}

// newRegistry returns an empty registry. withdraw is the time in which a replica
// that left must no longer receive requests.
func newRegistry(withdraw time.Duration) *registry {
	return &registry{
		entries: make(map[string]*Registration),
		changed: make(map[string]struct{}),
		hold:    time.Duration(holdShare * float64(withdraw)),
	}
}

// merge takes news of one replica and returns whether it changed anything.
func (g *registry) merge(n Registration, disturbed bool, now time.Time) bool {
	old, known := g.entries[n.ID]
	if known && old.Revision >= n.Revision {
		return false
	}
	g.revision = max(g.revision, n.Revision)
	if n.Removed {
		if !known || old.Removed {
			if known {
				old.Revision = n.Revision
			}
			return false
		}
		n.Member = old.Member
		n.removed = now
		switch {
		case n.Leaving:
		case n.Held > 0:
			n.until = now.Add(min(n.Held, g.hold))
			g.holds++
		case disturbed || g.mass(n.Upstream, now):
			g.keep(&n, now)
		}
	}
	if known && old.until.After(now) {
		g.holds--
	}
	g.entries[n.ID] = &n
	g.changed[n.ID] = struct{}{}
	return true
}

// keep leaves a removed replica in use for a while.
func (g *registry) keep(n *Registration, now time.Time) {
	n.until = n.removed.Add(g.hold)
	g.holds++
	g.changed[n.ID] = struct{}{}
}

// mass tells whether many replicas of the upstream vanished within massWindow.
// Those that were removed at once just before are held again.
func (g *registry) mass(upstream string, now time.Time) bool {
	all, gone := 0, 1
	for _, e := range g.entries {
		if e.Upstream != upstream {
			continue
		}
		switch {
		case !e.Removed:
			all++
		case now.Sub(e.removed) < massWindow && !e.Leaving:
			all++
			gone++
		}
	}
	if gone < massLeast || float64(gone) < massShare*float64(all) {
		return false
	}
	for _, e := range g.entries {
		if e.Upstream == upstream && e.Removed && !e.Leaving && now.Sub(e.removed) < massWindow && e.until.IsZero() {
			g.keep(e, now)
		}
	}
	return true
}

// complete takes a list of all entries as of a revision: entries that it lacks
// are removed.
func (g *registry) complete(listed map[string]bool, revision uint64, disturbed bool, now time.Time) bool {
	changed := false
	for id, e := range g.entries {
		if listed[id] || e.Removed || e.Revision > revision {
			continue
		}
		gone := Registration{Member: fleet.Member{ID: id}, Revision: max(revision, e.Revision+1), Removed: true}
		changed = g.merge(gone, disturbed, now) || changed
	}
	return changed
}

// expire ends holds and forgets old removals. It returns whether replicas left.
func (g *registry) expire(now time.Time) bool {
	changed := false
	for id, e := range g.entries {
		if !e.Removed {
			continue
		}
		if !e.until.IsZero() && !now.Before(e.until) {
			e.until = time.Time{}
			g.holds--
			g.changed[id] = struct{}{}
			changed = true
		}
		if e.until.IsZero() && now.Sub(e.removed) > removedLife {
			g.forgotten = max(g.forgotten, e.Revision)
			delete(g.entries, id)
		}
	}
	return changed
}

// changes returns the replicas that are in use and changed since the last call, and the
// ids of those that are no longer in use.
func (g *registry) changes(now time.Time) (members []fleet.Member, gone []string) {
	for id := range g.changed {
		e, ok := g.entries[id]
		if !ok || e.Removed && !now.Before(e.until) {
			gone = append(gone, id)
			continue
		}
		m := e.Member
		m.UsableUntil = e.until
		members = append(members, m)
	}
	clear(g.changed)
	return members, gone
}

// counts returns how many replicas are in use, and how many of them leave.
func (g *registry) counts(now time.Time) (inUse, leaving int) {
	for _, e := range g.entries {
		if e.Removed && !now.Before(e.until) {
			continue
		}
		inUse++
		if e.Leaving {
			leaving++
		}
	}
	return inUse, leaving
}

// since returns the entries that changed after a revision, for other hosts.
func (g *registry) since(revision uint64) []Registration {
	var out []Registration
	for _, e := range g.entries {
		if e.Revision > revision {
			out = append(out, *e)
		}
	}
	return out
}
