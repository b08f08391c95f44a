package state

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/fleet"
)

const withdraw = 2 * time.Second

var start = time.Unix(1000, 0)

func registration(id string, revision uint64) Registration {
	return Registration{Member: fleet.Member{ID: id, Upstream: "pool", Address: "10.0.0.1:80"}, Revision: revision}
}

func removal(id string, revision uint64) Registration {
	return Registration{Member: fleet.Member{ID: id}, Revision: revision, Removed: true}
}

// members returns the replicas in use.
func (g *registry) members(now time.Time) []fleet.Member {
	out := make([]fleet.Member, 0, len(g.entries))
	for _, e := range g.entries {
		if !e.Removed || now.Before(e.until) {
			m := e.Member
			m.UsableUntil = e.until
			out = append(out, m)
		}
	}
	return out
}

func ids(members []fleet.Member) []string {
	out := []string{}
	for _, m := range members {
		out = append(out, m.ID)
	}
	return out
}

// Guards against a replica that left without a word while the store was disturbed
// and still received requests after the time allowed (DRAIN, scale-2 of Caceres,
// seed 279239108008).
func TestHoldEndsBeforeReplicaMustBeWithdrawn(t *testing.T) {
	g := newRegistry(withdraw)
	g.merge(registration("a", 1), false, start)
	g.merge(registration("b", 2), false, start)
	g.merge(registration("c", 3), false, start)
	g.merge(removal("a", 4), true, start)
	assert.ElementsMatch(t, []string{"a", "b", "c"}, ids(g.members(start.Add(time.Second))), "held during the disturbance")
	assert.ElementsMatch(t, []string{"b", "c"}, ids(g.members(start.Add(withdraw-100*time.Millisecond))))
	assert.True(t, g.expire(start.Add(withdraw)), "the end of a hold is a change")
}

// Guards against a hold that ends only with the next housekeeping run (DRAIN, mix of
// Kitamori, seed 282802981318).
func TestHeldReplicaKnowsItsEnd(t *testing.T) {
	g := newRegistry(withdraw)
	g.merge(registration("a", 1), false, start)
	g.merge(removal("a", 2), true, start)
	held := g.members(start)
	require.Len(t, held, 1)
	f := fleet.New(fleet.Options{})
	f.SetMembers(held)
	q := fleet.Request{Upstream: "pool", TimeLeft: time.Minute}
	_, refusal := f.Pick(&q, start.Add(withdraw/2))
	assert.Nil(t, refusal)
	_, refusal = f.Pick(&q, start.Add(withdraw-100*time.Millisecond))
	assert.NotNil(t, refusal)
}

// Guards against a calm store's removal that is not followed at once.
func TestRemovalCountsAtOnceWhenStoreIsCalm(t *testing.T) {
	g := newRegistry(withdraw)
	for i, id := range []string{"a", "b", "c", "d", "e"} {
		g.merge(registration(id, uint64(i+1)), false, start)
	}
	assert.True(t, g.merge(removal("a", 9), false, start))
	assert.NotContains(t, ids(g.members(start)), "a")
}

// Guards against the loss of a whole upstream when its registrations lapse
// together while the replicas live.
func TestMassDisappearanceIsHeld(t *testing.T) {
	g := newRegistry(withdraw)
	for i, id := range []string{"a", "b", "c", "d"} {
		g.merge(registration(id, uint64(i+1)), false, start)
	}
	for i, id := range []string{"a", "b", "c", "d"} {
		g.merge(removal(id, uint64(10+i)), false, start.Add(time.Duration(i)*time.Millisecond))
	}
	assert.Len(t, g.members(start.Add(time.Second)), 4)
	g.merge(registration("a", 20), false, start.Add(time.Second))
	g.expire(start.Add(withdraw))
	assert.Equal(t, []string{"a"}, ids(g.members(start.Add(withdraw))), "the one that came back stays")
}

// Guards against a draining replica that is held after its entry is gone.
func TestDrainingReplicaIsNeverHeld(t *testing.T) {
	g := newRegistry(withdraw)
	leaving := registration("a", 1)
	leaving.Leaving = true
	g.merge(leaving, false, start)
	g.merge(registration("b", 2), false, start)
	g.merge(removal("a", 3), true, start)
	assert.Equal(t, []string{"b"}, ids(g.members(start)))
}

// Guards against older news of another host that undo newer ones of the store.
func TestOlderNewsAreIgnored(t *testing.T) {
	g := newRegistry(withdraw)
	g.merge(registration("a", 1), false, start)
	g.merge(removal("a", 5), false, start)
	assert.False(t, g.merge(registration("a", 4), false, start))
	assert.Empty(t, g.members(start))
	assert.True(t, g.merge(registration("a", 6), false, start), "a new registration under the same id counts")
	assert.Len(t, g.members(start), 1)
}

// Guards against replicas that stay in use although a whole list lacks them, and
// against the removal of one that registered after the list was made.
func TestListRemovesWhatItLacks(t *testing.T) {
	g := newRegistry(withdraw)
	g.merge(registration("a", 1), false, start)
	g.merge(registration("b", 2), false, start)
	g.merge(registration("c", 3), false, start)
	g.merge(registration("late", 20), false, start)
	assert.True(t, g.complete(map[string]bool{"b": true, "c": true}, 10, false, start))
	assert.ElementsMatch(t, []string{"b", "c", "late"}, ids(g.members(start)))
}
