package state

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/objectstore"
)

// zoneView returns the hosts of a zone that follow the store, when each hears those that
// hears says and the store answers those that reaches says.
func zoneView(hosts int, hears func(a, b int) bool, reaches func(a int) bool) (follow []int) {
	name := func(i int) string { return fmt.Sprintf("edge-%d", i) }
	for i := range hosts {
		var neighbors []Neighbor
		for j := range hosts {
			if j != i && hears(i, j) {
				neighbors = append(neighbors, Neighbor{Host: name(j), StoreReachable: reaches(j)})
			}
		}
		if Follows(name(i), neighbors) {
			follow = append(follow, i)
		}
	}
	return follow
}

func all(int, int) bool { return true }
func any1(int) bool     { return true }

// Guards against a store that every host of a large deployment calls (each change answered
// and restarted two watches on each of 78 hosts), and against a zone that none follows for.
func TestFewHostsOfAZoneFollowTheStore(t *testing.T) {
	for _, hosts := range []int{1, 2, 3, 16, 60, 200} {
		follow := zoneView(hosts, all, any1)
		assert.Len(t, follow, min(hosts, FollowersPerZone), "%d hosts", hosts)
	}
}

// Guards against news that stop when those that follow the store die, freeze, are refused by
// the store, or cannot be heard by a part of the zone.
func TestOthersTakeThePlaceOfLostFollowers(t *testing.T) {
	const hosts = 20
	first := zoneView(hosts, all, any1)
	lost := func(i int) bool { return slices.Contains(first, i) }

	dead := zoneView(hosts, func(_, b int) bool { return !lost(b) }, any1)
	living := slices.DeleteFunc(dead, lost)
	assert.Len(t, living, FollowersPerZone, "dead or frozen: two others follow")

	refused := zoneView(hosts, all, func(i int) bool { return !lost(i) })
	assert.Len(t, slices.DeleteFunc(slices.Clone(refused), lost), FollowersPerZone, "refused by the store: two others follow")
	assert.Subset(t, refused, first, "the refused ones go on trying")

	none := zoneView(hosts, all, func(int) bool { return false })
	assert.Len(t, none, hosts, "no host reaches the store: each tries, at the pace of its own backoff")

	half := zoneView(hosts, func(a, b int) bool { return a%2 == b%2 }, any1)
	for side := range 2 {
		on := slices.DeleteFunc(slices.Clone(half), func(i int) bool { return i%2 != side })
		assert.Len(t, on, FollowersPerZone, "a zone in two parts: two follow in each")
	}
	alone := zoneView(hosts, func(int, int) bool { return false }, any1)
	assert.Len(t, alone, hosts, "a host that hears none follows itself")
}

// Guards against a host that goes on waiting for the store after another took its place,
// that begins without a list of its own, or that misses what changed meanwhile.
func TestFollowerWaitsForItsRole(t *testing.T) {
	s, ctx := newTestState(t, nil)
	store := newScriptedStore()
	role := NewRole()
	var applied atomic.Int32
	members := &Follower{
		Store: store, Kind: "members", State: s, Logger: zerolog.Nop(), Role: role,
		Wait:  func(bool) time.Duration { return time.Hour },
		Apply: func(objectstore.Revisions, bool) error { applied.Add(1); return nil },
	}
	role.Set(false)
	go members.Run(ctx)
	require.Eventually(t, func() bool { return applied.Load() == 1 }, 10*time.Second, time.Millisecond, "the first list is its own")
	assert.True(t, role.Set(true))
	require.Eventually(t, func() bool { return store.listed("members") == 2 }, 10*time.Second, time.Millisecond, "it lists anew")
	assert.False(t, role.Set(true))
	assert.True(t, role.Set(false))
	select {
	case store.watches["members"] <- nil:
		// The watch was not yet ended; the next one must not begin.
	case <-time.After(20 * time.Millisecond):
	}
	select {
	case store.watches["members"] <- nil:
		t.Error("a host that does not follow watches")
	case <-time.After(50 * time.Millisecond):
	}
	assert.Equal(t, 2, store.listed("members"))
}

// Guards against a host that pulls only changes and never learns of one: because the answer
// left it out, because a removal is forgotten, or because a list in pages was not whole yet.
func TestChangesSinceARevisionAreWhole(t *testing.T) {
	s, _ := newTestState(t, nil)
	publish := func(m Members) { require.NoError(t, s.Publish(m)) }
	_, _, complete := s.MembersSince(0)
	assert.False(t, complete, "a host that knows nothing tells nothing")
	// A list in pages: a later page holds an entry that is newer than the list's revision.
	publish(Members{Source: FromStore, Complete: true, AsOf: 100, Entries: []Registration{registration("a", 90), registration("b", 105)}})
	assert.Equal(t, uint64(100), s.MembersAsOf())
	publish(Members{Source: FromStore, AsOf: 106, Entries: []Registration{registration("c", 103)}})
	entries, asOf, complete := s.MembersSince(100)
	assert.False(t, complete)
	assert.Equal(t, uint64(106), asOf)
	assert.ElementsMatch(t, []string{"b", "c"}, registered(entries))
	publish(Members{Source: FromStore, AsOf: 110, Entries: []Registration{removal("a", 110)}})
	entries, _, _ = s.MembersSince(106)
	require.Len(t, entries, 1)
	assert.True(t, entries[0].Removed)
	// Long after, the removal is forgotten: who knows less than that gets everything.
	s.registry.expire(time.Now().Add(2 * removedLife))
	entries, _, complete = s.MembersSince(106)
	assert.True(t, complete)
	assert.ElementsMatch(t, []string{"b", "c"}, registered(entries))
	entries, _, complete = s.MembersSince(110)
	assert.False(t, complete)
	assert.Empty(t, entries)

	other, _ := newTestState(t, nil)
	require.NoError(t, other.Publish(Members{Source: FromStore, Complete: true, AsOf: 100, Entries: []Registration{registration("a", 90), registration("b", 95)}}))
	entries, asOf, complete = s.MembersSince(other.MembersAsOf())
	require.NoError(t, other.Publish(Members{Source: FromPeer, Complete: complete, AsOf: asOf, Entries: entries}))
	known, _ := other.opts.Fleet.ReplicaCounts("pool", time.Now())
	assert.Equal(t, 2, known)
}

func registered(entries []Registration) (out []string) {
	for _, e := range entries {
		out = append(out, e.ID)
	}
	return out
}

// Guards against a host that drops a replica at once because another one tells of its
// removal, while that one keeps it: the entry vanished with a disturbance of the store.
func TestHoldIsToldToOtherHosts(t *testing.T) {
	g := newRegistry(withdraw)
	g.merge(registration("a", 1), false, start)
	g.merge(registration("b", 2), false, start)
	g.merge(registration("c", 3), false, start)
	g.merge(removal("a", 4), true, start)
	later := start.Add(500 * time.Millisecond)
	told := removal("a", 4)
	told.Held = g.entries["a"].HeldFor(later)
	assert.Equal(t, g.hold-500*time.Millisecond, told.Held)
	other := newRegistry(withdraw)
	other.merge(registration("a", 1), false, start)
	other.merge(told, false, later)
	assert.Contains(t, ids(other.members(later)), "a")
	assert.NotContains(t, ids(other.members(later.Add(told.Held))), "a")
}

// Guards against hundreds of hosts that start together and all list 3,000 replicas, which
// takes the store's link longer than the time that a list has (sweep at 300 machines: no host
// served for 30 s after all were killed), and against one that waits for news that never come.
func TestStartingHostWaitsForTheNewsOfOthers(t *testing.T) {
	s, ctx := newTestState(t, func([]byte) (routing.Config, error) { return routing.Config{Version: 1}, nil })
	store := newScriptedStore()
	role := NewRole()
	role.Set(false)
	follower := &Follower{
		Store: store, Kind: "members", State: s, Logger: zerolog.Nop(), Role: role,
		Wait: func(bool) time.Duration { return time.Hour }, Apply: func(objectstore.Revisions, bool) error { return nil },
	}
	go follower.Run(ctx)
	require.NoError(t, s.Publish(Config{Raw: []byte("{}"), Source: FromPeer}))
	require.NoError(t, s.Publish(Members{Source: FromPeer, Complete: true, AsOf: 5, Entries: []Registration{registration("a", 1)}}))
	time.Sleep(10 * firstNewsPause)
	assert.Zero(t, store.listed("members"), "it has the news")
	role.Set(true)
	assert.Eventually(t, func() bool { return store.listed("members") == 1 }, 10*time.Second, time.Millisecond, "it follows now")

	alone, ctx := newTestState(t, nil)
	silent := newScriptedStore()
	waiting := &Follower{
		Store: silent, Kind: "members", State: alone, Logger: zerolog.Nop(), Role: NewRole(), Wait: follower.Wait, Apply: follower.Apply,
	}
	waiting.Role.Set(false)
	began := time.Now()
	go waiting.Run(ctx)
	assert.Eventually(t, func() bool { return silent.listed("members") == 1 }, 20*time.Second, time.Millisecond, "nobody tells it anything")
	assert.GreaterOrEqual(t, time.Since(began), firstNews)
}
