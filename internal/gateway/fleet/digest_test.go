package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"heatherbarrow/internal/gateway/routing"
)

// Guards against counting the work of other hosts forever or twice when a digest replaces
// another, omits a replica, or arrives before the replica is known.
func TestDigestsReplaceEachOther(t *testing.T) {
	f := newFleet(3)
	key := func(i int) uint64 { return (&Member{ID: fmt.Sprintf("e%d", i)}).Key() }
	inFlight := func(i int) int { return f.replicas[fmt.Sprintf("e%d", i)].inFlight() }
	f.ApplyDigest("b", map[uint64]Use{key(0): {Running: 2}, key(9): {Running: 7}}, nil, nil, start)
	f.ApplyDigest("c", map[uint64]Use{key(0): {Running: 1}}, nil, nil, start)
	assert.Equal(t, 3, inFlight(0))
	f.ApplyDigest("b", map[uint64]Use{key(1): {Running: 5, Prefill: time.Second, PrefillLoad: 0.3}}, nil, nil, start)
	assert.Equal(t, 1, inFlight(0))
	assert.Equal(t, 5, inFlight(1))
	f.ApplyDigest("b", map[uint64]Use{key(1): {Running: 5, Prefill: time.Second, PrefillLoad: 0.3}}, nil, nil, start)
	assert.Equal(t, 5, inFlight(1))
	f.ExpireDigests(start.Add(digestLifetime))
	for i := range 3 {
		r := f.replicas[fmt.Sprintf("e%d", i)]
		assert.Zero(t, r.inFlight())
		assert.Zero(t, r.peerPrefillLoad)
		assert.Zero(t, r.backlog(start.Add(digestLifetime)))
	}
}

// Guards against a ForgetHost that ignores the time at which the work of the host ends: the
// remaining prompts of the replica would count as almost read.
func TestForgettingAHostKeepsTheBacklogOfOthers(t *testing.T) {
	f := newFleet(1)
	key := (&Member{ID: "e0"}).Key()
	f.ApplyDigest("b", map[uint64]Use{key: {Running: 1, Prefill: time.Second}}, nil, nil, start)
	f.ApplyDigest("c", map[uint64]Use{key: {Running: 1, Prefill: time.Second}}, nil, nil, start)
	f.ForgetHost("b", start)
	assert.Equal(t, time.Second, f.replicas["e0"].backlog(start))
}

// largeFleet returns a fleet of 3,000 engines and its members.
func largeFleet() (*Fleet, []Member) {
	f := New(Options{Zone: "a", Model: testModel, Seed: 1})
	f.SetUpstreams([]routing.Upstream{{Name: engines, Engine: &routing.Engine{Slots: 64, KVCacheTokens: 340_000}}})
	members := make([]Member, 3000)
	for i := range members {
		members[i] = Member{ID: fmt.Sprintf("e%d", i), Upstream: engines, Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Zone: "a", Slots: 64}
	}
	f.SetMembers(members)
	return f, members
}

// BenchmarkApplyDigest measures applying the heartbeat digest of one of 300 hosts with
// 3,000 replicas. A host receives some hundred of them a second.
func BenchmarkApplyDigest(b *testing.B) {
	f, members := largeFleet()
	digests := make([]map[uint64]Use, 300)
	for h := range digests {
		digests[h] = make(map[uint64]Use)
		for i := range 10 {
			digests[h][members[(h*10+i)%len(members)].Key()] = Use{Running: 1 + i%3, Prefill: time.Millisecond}
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		f.ApplyDigest(fmt.Sprintf("h%d", i%len(digests)), digests[(i+i/len(digests))%len(digests)], nil, nil, start)
	}
}

// BenchmarkSetMembers measures a change of one of 3,000 replicas.
func BenchmarkSetMembers(b *testing.B) {
	f, members := largeFleet()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		members[i%len(members)].Leaving = !members[i%len(members)].Leaving
		f.SetMembers(members)
	}
}

// BenchmarkDigest measures composing a digest with 3,000 replicas, none of them in use.
func BenchmarkDigest(b *testing.B) {
	f, _ := largeFleet()
	b.ReportAllocs()
	for b.Loop() {
		f.Digest(start)
	}
}
