// Package state holds a host's view of the configuration and of the replicas.
// A single goroutine, the control goroutine, applies updates in the order of their
// arrival; the request path reads immutable snapshots.
package state

import (
	"cmp"
	"slices"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/origin"
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
	Era       uint64 // of the store, see objectstore.Revisions; the entry of the later era wins
	Revision  uint64 // of the store; within an era, the entry with the higher revision wins
	Removed   bool
	removedAt time.Time
	heldUntil time.Time // end of the hold; zero when the replica is not held
	// withheldUntil is when a replica whose entry a restored store brought back comes into use, see
	// carryOver; zero when it is not withheld.
	withheldUntil time.Time
	// leftBefore means that the process was draining in an earlier era.
	leftBefore bool
	// seen are the last revisions of its entries, of this era or the one before.
	seen []uint64
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
	// lapseTime is the time in which the entry of a replica that is gone is removed from the store.
	lapseTime time.Duration
	era       uint64 // of the store's last full list
	revision  uint64 // the highest of all entries of the era
	held      int    // number of removed entries that stay in use
	// forgottenRevision is the revision up to which removals may not be known, as they were before the last full list or are no
	// longer remembered.
	forgottenRevision uint64
}

// newRegistry returns an empty registry. maxWithdrawTime is the time after a replica has left
// within which it must stop receiving requests, lapseTime the time in which its entry is removed from
// the store when it is gone.
func newRegistry(maxWithdrawTime, lapseTime time.Duration) *registry {
	return &registry{
		entries:  make(map[string]*Registration),
		changed:  make(map[string]struct{}),
		holdTime: time.Duration(holdFraction * float64(maxWithdrawTime)), lapseTime: lapseTime,
	}
}

// merge applies an update of one replica if it is newer than the entry, and reports whether
// there is something new for takeChanges. The removal of a replica that was not draining
// starts a hold if the peer that reported it holds the replica, if storeUnstable is set, or
// in a mass removal.
func (g *registry) merge(update Registration, storeUnstable bool, now time.Time) bool {
	old, exists := g.entries[update.ID]
	if exists && old.compare(&update) >= 0 {
		return false
	}
	if update.Era == g.era {
		g.revision = max(g.revision, update.Revision)
	}
	if update.Removed {
		if !exists || old.Removed {
			if exists {
				old.Era, old.Revision = update.Era, update.Revision
			}
			return false
		}
		update.Member, update.leftBefore, update.seen = old.Member, old.leftBefore, old.seen
		update.removedAt = now
		switch {
		case update.Leaving, now.Before(old.withheldUntil):
		case update.PeerHold > 0:
			update.heldUntil = now.Add(min(update.PeerHold, g.holdTime))
			g.held++
		case storeUnstable || g.holdIfMassRemoval(update.Upstream, now):
			g.startHold(&update, now)
		}
	}
	if exists && !update.Removed {
		g.carryOver(old, &update, now)
	}
	update.noteSeen()
	if exists && old.heldUntil.After(now) {
		g.held--
	}
	g.entries[update.ID] = &update
	g.changed[update.ID] = struct{}{}
	return true
}

// compare orders two entries of a replica by their positions in the store's history.
func (r *Registration) compare(other *Registration) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Revision, other.Revision))
}

// maxSeenRevisions bounds Registration.seen. A process changes its entry a few times.
const maxSeenRevisions = 6

// noteSeen records the revision of an entry that is not a removal.
func (r *Registration) noteSeen() {
	if !r.Removed {
		r.seen = append(r.seen[max(len(r.seen)-maxSeenRevisions+1, 0):len(r.seen):len(r.seen)], r.Revision)
	}
}

// carryOver applies what is known of a process to its newer entry. A store that came back from a copy
// lists entries as they were then: a process that has drained does not return, and one whose entry was
// removed is gone if the entry comes back with a revision that it had before. If such an entry does not
// lapse, the process is alive.
func (g *registry) carryOver(old, update *Registration, now time.Time) {
	if !old.SameProcess(&update.Member) {
		return
	}
	newEra := update.Era > old.Era
	update.leftBefore = old.leftBefore || newEra && old.Leaving
	update.Leaving = update.Leaving || update.leftBefore
	if newEra && old.Removed && !old.heldUntil.After(now) && slices.Contains(old.seen, update.Revision) {
		update.withheldUntil = now.Add(g.lapseTime)
	}
	if !newEra {
		update.seen = old.seen
	}
}

// beginEra prepares the registry for the full list of a later era: revisions of before say nothing of
// it.
func (g *registry) beginEra(era uint64) {
	g.era, g.revision, g.forgottenRevision = era, 0, 0
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

// applyFullList removes the entries that are missing from a list of all entries as of a revision of the
// registry's era, unless they are newer than the list. An entry of an earlier era may be one that the
// store lost and that its replica writes again. It reports whether the registry changed.
func (g *registry) applyFullList(listedIDs map[string]bool, revision uint64, storeUnstable bool, now time.Time) bool {
	changed := false
	for id, e := range g.entries {
		if listedIDs[id] || e.Removed || e.Era == g.era && e.Revision > revision {
			continue
		}
		update := Registration{Member: fleet.Member{ID: id}, Era: g.era, Revision: revision, Removed: true}
		lost := e.Era < g.era
		if !lost {
			update.Revision = max(revision, e.Revision+1)
		}
		changed = g.merge(update, storeUnstable || lost, now) || changed
	}
	return changed
}

// expire ends holds that have run out, takes replicas into use that are no longer withheld, and forgets
// old removals. It reports whether a replica came into use or out of it.
func (g *registry) expire(now time.Time) bool {
	changed := false
	for id, e := range g.entries {
		if !e.withheldUntil.IsZero() && !now.Before(e.withheldUntil) {
			e.withheldUntil = time.Time{}
			g.changed[id] = struct{}{}
			changed = true
		}
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
			if e.Era == g.era {
				g.forgottenRevision = max(g.forgottenRevision, e.Revision)
			}
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
		if !ok || !e.inUse(now) {
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

// inUse reports whether the replica may get requests, unless it is draining.
func (r *Registration) inUse(now time.Time) bool {
	if r.Removed {
		return now.Before(r.heldUntil)
	}
	return !now.Before(r.withheldUntil)
}

// versions returns the software versions of the upstreams' registered replicas, draining ones included.
func (g *registry) versions(now time.Time) map[origin.Origin]bool {
	out := make(map[origin.Origin]bool)
	for _, e := range g.entries {
		if !e.Removed || e.inUse(now) {
			out[origin.Origin{Upstream: e.Upstream, Version: e.SoftwareVersion}] = true
		}
	}
	return out
}

// counts returns the number of replicas in use, and how many of these are draining.
func (g *registry) counts(now time.Time) (inUse, leaving int) {
	for _, e := range g.entries {
		if !e.inUse(now) {
			continue
		}
		inUse++
		if e.Leaving {
			leaving++
		}
	}
	return inUse, leaving
}

// all returns all entries, including removals.
func (g *registry) all() []Registration {
	out := make([]Registration, 0, len(g.entries))
	for _, e := range g.entries {
		out = append(out, *e)
	}
	return out
}

// since returns the entries of the registry's era, including removals, whose revision is higher than the
// given one.
func (g *registry) since(revision uint64) []Registration {
	var out []Registration
	for _, e := range g.entries {
		if e.Era == g.era && e.Revision > revision {
			out = append(out, *e)
		}
	}
	return out
}
