// Package state holds a host's view of the configuration and of the replicas.
// A single goroutine, the control goroutine, applies updates in the order of their
// arrival; the request path reads immutable snapshots.
package state

import (
	"time"

	"heatherbarrow/internal/gateway/fleet"
)

const (
	// holdFraction is the length of a hold as a fraction of the time allowed for
	// withdrawing a replica. A hold keeps a replica in use after its registration vanished
	// while the store was unstable or in a mass removal. Registrations of live replicas
	// reappear about two seconds after the store's recovery, but the replica may also have
	// left without draining, so the hold must end before the replica has to be withdrawn.
	holdFraction = 0.85
	// unstableWindow is how long the store counts as unstable after a failed call or its
	// recovery.
	unstableWindow = 3 * time.Second
	// A mass removal is the removal of at least massRemovalFraction of an upstream's
	// replicas, and of at least minMassRemovals, within massRemovalWindow.
	massRemovalWindow   = time.Second
	massRemovalFraction = 0.4
	minMassRemovals     = 2
	// removalRetention is how long a removal is remembered, so that an older update from
	// a peer does not undo it.
	removalRetention = time.Minute
)

// Registration is a replica's entry in the store or the removal of one, at a revision. In the
// comments of this package, an entry is a Registration, and a draining replica is one with Leaving
// set.
type Registration struct {
	fleet.Member
	Revision  uint64 // of the store; the entry with the higher revision wins
	Removed   bool
	removedAt time.Time
	heldUntil time.Time // end of the hold; zero when the replica is not held
	// PeerHold is how much longer the peer that reported the removal keeps the replica in use,
	// because the registration vanished while the store was unstable or in a mass removal.
	PeerHold time.Duration
}

// HeldFor returns how much longer a removed replica stays in use, or 0 when it is not held.
func (r *Registration) HeldFor(now time.Time) time.Duration { return max(r.heldUntil.Sub(now), 0) }

// registry merges registrations from the store and from peers.
type registry struct {
	entries  map[string]*Registration
	changed  map[string]struct{} // ids of entries that changed since the last call of takeChanges
	holdTime time.Duration
	revision uint64 // the highest of all entries
	held     int    // number of removed entries that stay in use
	// forgottenRevision is the highest revision of a removal that is no longer remembered.
	forgottenRevision uint64
}

// newRegistry returns an empty registry. maxWithdrawTime is the time after a replica has left
// within which it must stop receiving requests.
func newRegistry(maxWithdrawTime time.Duration) *registry {
	return &registry{
		entries:  make(map[string]*Registration),
		changed:  make(map[string]struct{}),
		holdTime: time.Duration(holdFraction * float64(maxWithdrawTime)),
	}
}

// merge applies an update of one replica if it is newer than the entry, and reports whether
// there is something new for takeChanges. The removal of a replica that was not draining
// starts a hold if the peer that reported it holds the replica, if storeUnstable is set, or
// in a mass removal.
func (g *registry) merge(update Registration, storeUnstable bool, now time.Time) bool {
	old, exists := g.entries[update.ID]
	if exists && old.Revision >= update.Revision {
		return false
	}
	g.revision = max(g.revision, update.Revision)
	if update.Removed {
		if !exists || old.Removed {
			if exists {
				old.Revision = update.Revision
			}
			return false
		}
		update.Member = old.Member
		update.removedAt = now
		switch {
		case update.Leaving:
		case update.PeerHold > 0:
			update.heldUntil = now.Add(min(update.PeerHold, g.holdTime))
			g.held++
		case storeUnstable || g.holdIfMassRemoval(update.Upstream, now):
			g.startHold(&update, now)
		}
	}
	if exists && old.heldUntil.After(now) {
		g.held--
	}
	g.entries[update.ID] = &update
	g.changed[update.ID] = struct{}{}
	return true
}

// startHold keeps a removed replica in use for holdTime after its removal.
func (g *registry) startHold(r *Registration, now time.Time) {
	r.heldUntil = r.removedAt.Add(g.holdTime)
	g.held++
	g.changed[r.ID] = struct{}{}
}

// holdIfMassRemoval reports whether one more removal makes a mass removal of the upstream's
// replicas. If so, it also holds the replicas that were removed within massRemovalWindow without a
// hold.
func (g *registry) holdIfMassRemoval(upstream string, now time.Time) bool {
	total, removed := 0, 1
	for _, e := range g.entries {
		if e.Upstream != upstream {
			continue
		}
		switch {
		case !e.Removed:
			total++
		case now.Sub(e.removedAt) < massRemovalWindow && !e.Leaving:
			total++
			removed++
		}
	}
	if removed < minMassRemovals || float64(removed) < massRemovalFraction*float64(total) {
		return false
	}
	for _, e := range g.entries {
		if e.Upstream == upstream && e.Removed && !e.Leaving && now.Sub(e.removedAt) < massRemovalWindow && e.heldUntil.IsZero() {
			g.startHold(e, now)
		}
	}
	return true
}

// applyFullList removes the entries that are missing from a list of all entries as of a
// revision, unless they are newer than the list. It reports whether the registry changed.
func (g *registry) applyFullList(listedIDs map[string]bool, revision uint64, storeUnstable bool, now time.Time) bool {
	changed := false
	for id, e := range g.entries {
		if listedIDs[id] || e.Removed || e.Revision > revision {
			continue
		}
		update := Registration{Member: fleet.Member{ID: id}, Revision: max(revision, e.Revision+1), Removed: true}
		changed = g.merge(update, storeUnstable, now) || changed
	}
	return changed
}

// expire ends holds that have run out and forgets old removals. It reports whether a hold
// ended.
func (g *registry) expire(now time.Time) bool {
	changed := false
	for id, e := range g.entries {
		if !e.Removed {
			continue
		}
		if !e.heldUntil.IsZero() && !now.Before(e.heldUntil) {
			e.heldUntil = time.Time{}
			g.held--
			g.changed[id] = struct{}{}
			changed = true
		}
		if e.heldUntil.IsZero() && now.Sub(e.removedAt) > removalRetention {
			g.forgottenRevision = max(g.forgottenRevision, e.Revision)
			delete(g.entries, id)
		}
	}
	return changed
}

// takeChanges returns the replicas that changed since the last call and are in use, and the
// ids of those that changed and are no longer in use. It clears the set of changes.
func (g *registry) takeChanges(now time.Time) (members []fleet.Member, removedIDs []string) {
	for id := range g.changed {
		e, ok := g.entries[id]
		if !ok || e.Removed && !now.Before(e.heldUntil) {
			removedIDs = append(removedIDs, id)
			continue
		}
		m := e.Member
		m.UsableUntil = e.heldUntil
		members = append(members, m)
	}
	clear(g.changed)
	return members, removedIDs
}

// counts returns the number of replicas in use, and how many of these are draining.
func (g *registry) counts(now time.Time) (inUse, leaving int) {
	for _, e := range g.entries {
		if e.Removed && !now.Before(e.heldUntil) {
			continue
		}
		inUse++
		if e.Leaving {
			leaving++
		}
	}
	return inUse, leaving
}

// since returns the entries, including removals, whose revision is higher than the given one.
func (g *registry) since(revision uint64) []Registration {
	var out []Registration
	for _, e := range g.entries {
		if e.Revision > revision {
			out = append(out, *e)
		}
	}
	return out
}
