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

// zoneFollowers returns the hosts of a zone that follow the store. connected reports whether host
// a receives the heartbeats of host b, and storeReachable whether host a reaches the store.
func zoneFollowers(hosts int, connected func(a, b int) bool, storeReachable func(a int) bool) (followers []int) {
	name := func(i int) string { return fmt.Sprintf("edge-%d", i) }
	for i := range hosts {
		var neighbors []Neighbor
		for j := range hosts {
			if j != i && connected(i, j) {
				neighbors = append(neighbors, Neighbor{Host: name(j), StoreReachable: storeReachable(j)})
			}
		}
		if FollowsStore(name(i), neighbors) {
			followers = append(followers, i)
		}
	}
	return followers
}

func allConnected(int, int) bool { return true }
func allReachable(int) bool      { return true }

// Guards against every host of a large deployment watching the store: with 78 hosts, each
// change ended and restarted two watches on each of them. It also guards against a zone
// without followers.
func TestFewHostsPerZoneFollowStore(t *testing.T) {
	for _, hosts := range []int{1, 2, 3, 16, 60, 200} {
		followers := zoneFollowers(hosts, allConnected, allReachable)
		assert.Len(t, followers, min(hosts, FollowersPerZone), "%d hosts", hosts)
	}
}

// Guards against updates that stop when the followers of a zone die, hang, are refused by
// the store, or are cut off from a part of the zone.
func TestLostFollowersAreReplaced(t *testing.T) {
	const hosts = 20
	initial := zoneFollowers(hosts, allConnected, allReachable)
	isInitial := func(i int) bool { return slices.Contains(initial, i) }

	withoutInitial := zoneFollowers(hosts, func(_, b int) bool { return !isInitial(b) }, allReachable)
	replacements := slices.DeleteFunc(withoutInitial, isInitial)
	assert.Len(t, replacements, FollowersPerZone, "followers dead or hanging: two other hosts must follow")

	refused := zoneFollowers(hosts, allConnected, func(i int) bool { return !isInitial(i) })
	assert.Len(t, slices.DeleteFunc(slices.Clone(refused), isInitial), FollowersPerZone, "followers refused by the store: two other hosts must follow")
	assert.Subset(t, refused, initial, "refused hosts must keep trying")

	storeDown := zoneFollowers(hosts, allConnected, func(int) bool { return false })
	assert.Len(t, storeDown, hosts, "no host reaches the store: all must try, each at the rate of its own back-off")

	partitioned := zoneFollowers(hosts, func(a, b int) bool { return a%2 == b%2 }, allReachable)
	for side := range 2 {
		sideFollowers := slices.DeleteFunc(slices.Clone(partitioned), func(i int) bool { return i%2 != side })
		assert.Len(t, sideFollowers, FollowersPerZone, "partitioned zone: two hosts must follow on each side")
	}
	isolated := zoneFollowers(hosts, func(int, int) bool { return false }, allReachable)
	assert.Len(t, isolated, hosts, "a host without neighbors must follow the store itself")
}

// Guards against a host that keeps watching the store after another host took over, that
// starts without a list of the replicas although peers send none, or that misses the changes
// made while it was not following.
func TestWatcherStopsAndResumesWithRole(t *testing.T) {
	s, ctx := newTestState(t, nil)
	store := newScriptedStore()
	role := NewRole()
	var applied atomic.Int32
	members := &Watcher{
		Store: store, Kind: "members", State: s, Logger: zerolog.Nop(), Role: role,
		Times: WatchTimes{Wait: time.Hour},
		Apply: func(objectstore.Revisions, bool) error { applied.Add(1); return nil },
	}
	role.Set(false)
	go members.Run(ctx)
	require.Eventually(t, func() bool { return applied.Load() == 1 }, 10*time.Second, time.Millisecond, "the host must list itself when peers send nothing")
	assert.True(t, role.Set(true))
	require.Eventually(t, func() bool { return store.listCalls("members") == 2 }, 10*time.Second, time.Millisecond, "the host must list again when it resumes following")
	assert.False(t, role.Set(true))
	assert.True(t, role.Set(false))
	select {
	case store.watches["members"] <- nil:
		// The open watch had not been canceled yet; no further one may start.
	case <-time.After(20 * time.Millisecond):
	}
	select {
	case store.watches["members"] <- nil:
		t.Error("a host that does not follow the store must not watch it")
	case <-time.After(50 * time.Millisecond):
	}
	assert.Equal(t, 2, store.listCalls("members"))
}

// Guards against a host that pulls changes from a peer and misses one: because the answer
// omits it, because the peer no longer remembers a removal, or because the peer read a list
// in pages while entries changed.
func TestMembersSinceMissesNoChange(t *testing.T) {
	s, _ := newTestState(t, nil)
	publish := func(m Members) { require.NoError(t, s.Publish(m)) }
	_, _, _, complete := s.MembersSince(0, 0)
	assert.False(t, complete, "a host that has received no list must not claim a full one")
	// In a list of several pages, a later page can hold an entry that is newer than the list's revision.
	publish(Members{Source: FromStore, Complete: true, AsOf: 100, Entries: []Registration{registration("a", 90), registration("b", 105)}})
	assert.Equal(t, uint64(100), s.MembersAsOf())
	publish(Members{Source: FromStore, AsOf: 106, Entries: []Registration{registration("c", 103)}})
	entries, _, asOf, complete := s.MembersSince(0, 100)
	assert.False(t, complete)
	assert.Equal(t, uint64(106), asOf)
	assert.ElementsMatch(t, []string{"b", "c"}, registrationIDs(entries))
	publish(Members{Source: FromStore, AsOf: 110, Entries: []Registration{removal("a", 110)}})
	entries, _, _, _ = s.MembersSince(0, 106)
	require.Len(t, entries, 1)
	assert.True(t, entries[0].Removed)
	// After removalRetention the removal is forgotten; a request from before it gets a full list.
	s.registry.expire(time.Now().Add(2 * removalRetention))
	entries, _, _, complete = s.MembersSince(0, 106)
	assert.True(t, complete)
	assert.ElementsMatch(t, []string{"b", "c"}, registrationIDs(entries))
	entries, _, _, complete = s.MembersSince(0, 110)
	assert.False(t, complete)
	assert.Empty(t, entries)

	peer, _ := newTestState(t, nil)
	require.NoError(t, peer.Publish(Members{Source: FromStore, Complete: true, AsOf: 100, Entries: []Registration{registration("a", 90), registration("b", 95)}}))
	entries, _, asOf, complete = s.MembersSince(0, peer.MembersAsOf())
	require.NoError(t, peer.Publish(Members{Source: FromPeer, Complete: complete, AsOf: asOf, Entries: entries}))
	total, _ := peer.opts.Fleet.ReplicaCounts("pool", time.Now())
	assert.Equal(t, 2, total)
}

func registrationIDs(entries []Registration) (out []string) {
	for _, e := range entries {
		out = append(out, e.ID)
	}
	return out
}

// Guards against a host that drops a replica at once when a peer reports its removal, although
// the peer holds the replica because the entry vanished while the store was unstable.
func TestHoldIsPropagatedToPeers(t *testing.T) {
	g := newRegistry(testMaxWithdrawTime, testLapse)
	g.merge(registration("a", 1), false, start)
	g.merge(registration("b", 2), false, start)
	g.merge(registration("c", 3), false, start)
	g.merge(removal("a", 4), true, start)
	later := start.Add(500 * time.Millisecond)
	received := removal("a", 4)
	received.PeerHold = g.entries["a"].HeldFor(later)
	assert.Equal(t, g.holdTime-500*time.Millisecond, received.PeerHold)
	peer := newRegistry(testMaxWithdrawTime, testLapse)
	peer.merge(registration("a", 1), false, start)
	peer.merge(received, false, later)
	assert.Contains(t, memberIDs(peer.membersInUse(later)), "a")
	assert.NotContains(t, memberIDs(peer.membersInUse(later.Add(received.PeerHold))), "a")
}

// Guards against hundreds of hosts that start together and all list 3,000 replicas: the store's
// link needs longer for this than the timeout of a list. In the sweep with 300 hosts, none served
// for 30 s after all were killed. It also guards against a host that waits forever for updates
// from peers.
func TestStartingHostWaitsForPeerUpdates(t *testing.T) {
	s, ctx := newTestState(t, func([]byte) (routing.Config, error) { return routing.Config{Version: 1}, nil })
	store := newScriptedStore()
	role := NewRole()
	role.Set(false)
	watcher := &Watcher{
		Store: store, Kind: "members", State: s, Logger: zerolog.Nop(), Role: role,
		Times: WatchTimes{Wait: time.Hour}, Apply: func(objectstore.Revisions, bool) error { return nil },
	}
	go watcher.Run(ctx)
	require.NoError(t, s.Publish(Config{Raw: []byte("{}"), Source: FromPeer}))
	require.NoError(t, s.Publish(Members{Source: FromPeer, Complete: true, AsOf: 5, Entries: []Registration{registration("a", 1)}}))
	time.Sleep(10 * peerUpdatePoll)
	assert.Zero(t, store.listCalls("members"), "peers have sent the updates")
	role.Set(true)
	assert.Eventually(t, func() bool { return store.listCalls("members") == 1 }, 10*time.Second, time.Millisecond, "the host follows the store now")

	isolated, ctx := newTestState(t, nil)
	isolatedStore := newScriptedStore()
	isolatedWatcher := &Watcher{
		Store: isolatedStore, Kind: "members", State: isolated, Logger: zerolog.Nop(), Role: NewRole(), Times: watcher.Times, Apply: watcher.Apply,
	}
	isolatedWatcher.Role.Set(false)
	startedAt := time.Now()
	go isolatedWatcher.Run(ctx)
	assert.Eventually(t, func() bool { return isolatedStore.listCalls("members") == 1 }, 20*time.Second, time.Millisecond, "no peer sends updates")
	assert.GreaterOrEqual(t, time.Since(startedAt), minPeerUpdateWait)
}
