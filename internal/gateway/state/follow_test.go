package state

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
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

// scriptedStore answers lists at once, and a watch when the test sends its result.
type scriptedStore struct {
	objectstore.Store
	mu      sync.Mutex
	lists   map[string]int
	watches map[string]chan error // by kind; a value is the result of the open watch
	era     atomic.Uint64
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
	return objectstore.Revisions{AsOf: 5, Era: s.era.Load()}, nil
}

func (s *scriptedStore) WatchKind(ctx context.Context, kind string, _ uint64, _ time.Duration) (objectstore.Revisions, error) {
	select {
	case <-ctx.Done():
		return objectstore.Revisions{}, ctx.Err()
	case err := <-s.watches[kind]:
		return objectstore.Revisions{AsOf: 6, Era: s.era.Load()}, err
	}
}

func (s *scriptedStore) listCalls(kind string) int {
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
		MaxWithdrawTime: testMaxWithdrawTime, OnStoreChange: func() {},
	})
	require.NoError(t, s.Start(ctx))
	return s, ctx
}

// Guards against a watch that stays open without receiving changes after the store dropped
// its history: when the watcher of one kind detects this, those of the other kinds must list
// again as well. Found by the check CONFIG in the scenario scale-1 of both sites.
func TestLostHistoryRestartsAllWatchers(t *testing.T) {
	s, ctx := newTestState(t, nil)
	store := newScriptedStore()
	hourWait := func(bool) time.Duration { return time.Hour }
	apply := func(objectstore.Revisions, bool) error { return nil }
	config := &Watcher{Store: store, Kind: "config", State: s, Logger: zerolog.Nop(), Wait: hourWait, Apply: apply}
	members := &Watcher{Store: store, Kind: "members", State: s, Logger: zerolog.Nop(), Wait: hourWait, Apply: apply}
	config.Others, members.Others = []*Watcher{members}, []*Watcher{config}
	go config.Run(ctx)
	go members.Run(ctx)
	require.Eventually(t, func() bool { return store.listCalls("config") == 1 && store.listCalls("members") == 1 }, 10*time.Second, time.Millisecond)
	store.watches["members"] <- objectstore.ErrHistoryGone
	assert.Eventually(t, func() bool { return store.listCalls("config") == 2 && store.listCalls("members") == 2 }, 10*time.Second, time.Millisecond)
}

// Guards against a host that treats the store as stable as soon as one call succeeds, and
// then drops replicas whose entries reappear a moment later.
func TestStoreStaysUnstableAfterRecovery(t *testing.T) {
	s, _ := newTestState(t, nil)
	require.NoError(t, s.Publish(StoreCall{Err: objectstore.ErrUnavailable}))
	assert.False(t, s.StoreReachable())
	require.NoError(t, s.Publish(StoreCall{}))
	assert.True(t, s.StoreReachable())
	members := Members{Source: FromStore, Entries: []Registration{registration("a", 1), registration("b", 2), registration("c", 3)}}
	require.NoError(t, s.Publish(members))
	require.NoError(t, s.Publish(Members{Source: FromStore, Entries: []Registration{removal("a", 4)}}))
	total, _ := s.opts.Fleet.ReplicaCounts("pool", time.Now())
	assert.Equal(t, 3, total, "the entry may reappear shortly")
}

// Guards against a configuration that is replaced by an older one, regardless of its source,
// or by one that cannot be decoded.
func TestOlderConfigurationIsIgnored(t *testing.T) {
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

// Guards against overloading the store with the probes of many hosts, and against a lost
// history that no host detects in time.
func TestProbeRateIsBoundedForManyHosts(t *testing.T) {
	for _, hosts := range []int{1, 4, 8} {
		assert.Equal(t, ProbeWait, ProbeWaitFor(hosts, true))
		assert.Equal(t, ProbeWait, ProbeWaitFor(hosts, false))
	}
	for _, hosts := range []int{9, 33, 400} {
		var sum time.Duration
		for range 1000 {
			wait := ProbeWaitFor(hosts, false)
			assert.LessOrEqual(t, wait, MaxWatchWait)
			sum += wait
		}
		callRate := float64(hosts) * 1000 / sum.Seconds()
		assert.Greater(t, callRate, 1.0, "at least one probe must end per second")
		// From 80 hosts on, a wait is 15 to 20 s, on average 18.75 s: 0.053 calls per second and host.
		assert.Less(t, callRate, 0.06*float64(hosts)+probesPerSecond, "probes must not overload the store")
	}
}

// Guards against a lost history that stays undetected for seconds because all hosts started
// a watch of the same length after the same change. Found by the check CONFIG on a deployment
// of 33 hosts whose store dropped its history right after a change (fault platform_compact),
// with a third of the hosts cut off.
func TestLostHistoryIsDetectedSoonAfterChange(t *testing.T) {
	const maxDetection = 4 * time.Second // a configuration must be in force within this time of the loss
	random := rand.New(rand.NewPCG(1, 2))
	for _, hosts := range []int{3, 9, 33, 35, 100, 400} {
		for range 300 {
			for loss := time.Duration(0); loss < 30*time.Second; loss += 2500 * time.Millisecond {
				detected := time.Hour
				for range max(hosts*2/3, 1) {
					at := probeWait(hosts, true, random.Float64())
					for at < loss {
						at += probeWait(hosts, false, random.Float64())
					}
					detected = min(detected, at-loss)
				}
				require.Less(t, detected, maxDetection, "%d hosts, loss %v after a change", hosts, loss)
			}
		}
	}
}

// Guards against a starting host that becomes ready before it has received the replicas and
// therefore rejects the first requests. It occurred once in CI under load.
func TestHostIsNotReadyWithoutReplicaList(t *testing.T) {
	s, _ := newTestState(t, func([]byte) (routing.Config, error) { return routing.Config{Version: 1}, nil })
	require.NoError(t, s.Publish(Config{Source: FromStore}))
	assert.False(t, s.Known())
	require.NoError(t, s.Publish(Members{Source: FromPeer}))
	assert.False(t, s.Known(), "the peer had no replicas and no full list")
	require.NoError(t, s.Publish(Members{Source: FromStore, Complete: true, AsOf: 5}))
	assert.True(t, s.Known(), "a full list may be empty")
}
