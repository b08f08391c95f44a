package state

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/objectstore"
)

// scriptedStore answers lists at once and watches as the test says.
type scriptedStore struct {
	objectstore.Store
	mu      sync.Mutex
	lists   map[string]int
	watches map[string]chan error // a value ends the waiting watch of the kind
}

func newScriptedStore() *scriptedStore {
	return &scriptedStore{
		lists:   make(map[string]int),
		watches: map[string]chan error{"config": make(chan error), "members": make(chan error)},
	}
}

func (s *scriptedStore) ListKind(_ context.Context, kind string) (objectstore.Revisions, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists[kind]++
	return objectstore.Revisions{AsOf: 5}, nil
}

func (s *scriptedStore) WatchKind(ctx context.Context, kind string, _ uint64, _ time.Duration) (objectstore.Revisions, error) {
	select {
	case <-ctx.Done():
		return objectstore.Revisions{}, ctx.Err()
	case err := <-s.watches[kind]:
		return objectstore.Revisions{AsOf: 6}, err
	}
}

func (s *scriptedStore) listed(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists[kind]
}

func newTestState(t *testing.T, decode func([]byte) (routing.Config, error)) (*State, context.Context) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	s := New(Options{
		Bus: bus.New(), Fleet: fleet.New(fleet.Options{Zone: "a"}), Decode: decode, Logger: zerolog.Nop(),
		Withdraw: withdraw, Changed: func() {},
	})
	require.NoError(t, s.Start(ctx))
	return s, ctx
}

// Guards against a watch that waits on without news after the store dropped its
// history: another follower's loss restarts it (CONFIG, scale-1 of both sites).
func TestLostHistoryRestartsAllFollowers(t *testing.T) {
	s, ctx := newTestState(t, nil)
	store := newScriptedStore()
	hour := func(bool) time.Duration { return time.Hour }
	apply := func(objectstore.Revisions, bool) error { return nil }
	config := &Follower{Store: store, Kind: "config", State: s, Logger: zerolog.Nop(), Wait: hour, Apply: apply}
	members := &Follower{Store: store, Kind: "members", State: s, Logger: zerolog.Nop(), Wait: hour, Apply: apply}
	config.Others, members.Others = []*Follower{members}, []*Follower{config}
	go config.Run(ctx)
	go members.Run(ctx)
	require.Eventually(t, func() bool { return store.listed("config") == 1 && store.listed("members") == 1 }, 10*time.Second, time.Millisecond)
	store.watches["members"] <- objectstore.ErrHistoryGone
	assert.Eventually(t, func() bool { return store.listed("config") == 2 && store.listed("members") == 2 }, 10*time.Second, time.Millisecond)
}

// Guards against a host that forgets a disturbance of the store as soon as one
// call succeeds.
func TestStoreCountsAsDisturbedAfterItsReturn(t *testing.T) {
	s, _ := newTestState(t, nil)
	require.NoError(t, s.Publish(StoreCall{Err: objectstore.ErrUnavailable}))
	assert.False(t, s.StoreReachable())
	require.NoError(t, s.Publish(StoreCall{}))
	assert.True(t, s.StoreReachable())
	members := Members{Source: FromStore, Entries: []Registration{registration("a", 1), registration("b", 2), registration("c", 3)}}
	require.NoError(t, s.Publish(members))
	require.NoError(t, s.Publish(Members{Source: FromStore, Entries: []Registration{removal("a", 4)}}))
	all, _ := s.opts.Fleet.ReplicaCounts("pool", time.Now())
	assert.Equal(t, 3, all, "the entry may be back in a moment")
}

// Guards against a configuration that is replaced by an older one, from whichever
// source it comes, and against one that cannot be read.
func TestConfigurationNeverGoesBack(t *testing.T) {
	versions := map[string]int64{"new": 7, "old": 6}
	s, _ := newTestState(t, func(raw []byte) (routing.Config, error) {
		version, ok := versions[string(raw)]
		if !ok {
			return routing.Config{}, assert.AnError
		}
		return routing.Config{Version: version}, nil
	})
	assert.Nil(t, s.Table())
	for _, raw := range []string{"garbled", "new", "old", "garbled"} {
		require.NoError(t, s.Publish(Config{Raw: []byte(raw), Source: FromPeer}))
	}
	assert.Equal(t, int64(7), s.ConfigVersion())
	assert.Equal(t, "new", string(s.RawConfig()))
}

// Guards against a store that is pressed by the probes of many hosts, and against
// a lost history that no host finds in time.
func TestProbesAreSharedByManyHosts(t *testing.T) {
	for _, hosts := range []int{1, 4, 8} {
		assert.Equal(t, ProbeWait, ProbeWaitFor(hosts, true))
		assert.Equal(t, ProbeWait, ProbeWaitFor(hosts, false))
	}
	for _, hosts := range []int{9, 33, 400} {
		var sum time.Duration
		for range 1000 {
			wait := ProbeWaitFor(hosts, false)
			assert.LessOrEqual(t, wait, LongWait)
			sum += wait
		}
		calls := float64(hosts) * 1000 / sum.Seconds()
		assert.Greater(t, calls, 1.0, "one host at least probes each second")
		assert.Less(t, calls, 0.06*float64(hosts)+probeRate, "the store is not pressed")
	}
}

// Guards against hosts that all began to watch with the same change and of which none
// looks again for seconds, while the store drops its history (CONFIG on a deployment of
// 33 hosts, platform_compact right after a change with a third of the hosts cut off).
func TestLostHistoryIsFoundSoonAfterAChange(t *testing.T) {
	const inForce = 4 * time.Second // from the loss until the new configuration has to be in force
	random := rand.New(rand.NewPCG(1, 2))
	for _, hosts := range []int{3, 9, 33, 35, 100, 400} {
		for range 300 {
			for loss := time.Duration(0); loss < 30*time.Second; loss += 2500 * time.Millisecond {
				found := time.Hour
				for range max(hosts*2/3, 1) {
					at := probeWait(hosts, true, random.Float64())
					for at < loss {
						at += probeWait(hosts, false, random.Float64())
					}
					found = min(found, at-loss)
				}
				require.Less(t, found, inForce, "%d hosts, loss %v after a change", hosts, loss)
			}
		}
	}
}

// Guards against a starting host that is ready before it has listed the replicas and
// refuses the first requests for want of one (seen once in CI beside load).
func TestHostKnowsEnoughOnlyWithTheReplicas(t *testing.T) {
	s, _ := newTestState(t, func([]byte) (routing.Config, error) { return routing.Config{Version: 1}, nil })
	require.NoError(t, s.Publish(Config{Source: FromStore}))
	assert.False(t, s.Known())
	require.NoError(t, s.Publish(Members{Source: FromPeer}))
	assert.False(t, s.Known(), "another host knew none")
	require.NoError(t, s.Publish(Members{Source: FromStore, Complete: true, AsOf: 5}))
	assert.True(t, s.Known(), "a list may be empty")
}
