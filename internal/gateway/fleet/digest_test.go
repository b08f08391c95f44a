package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"heatherbarrow/internal/gateway/routing"
)

// Guards against work of other hosts that is counted for ever, or twice, when a digest
// replaces another, leaves a replica out, or comes before the replica is known.
func TestDigestsReplaceEachOther(t *testing.T) {
	f := newFleet(3)
	key := func(i int) uint64 { return (&Member{ID: fmt.Sprintf("e%d", i)}).Key() }
	load := func(i int) int { return f.replicas[fmt.Sprintf("e%d", i)].inFlight() }
	f.ApplyDigest("b", map[uint64]Use{key(0): {Running: 2}, key(9): {Running: 7}}, nil, nil, start)
	f.ApplyDigest("c", map[uint64]Use{key(0): {Running: 1}}, nil, nil, start)
	assert.Equal(t, 3, load(0))
	f.ApplyDigest("b", map[uint64]Use{key(1): {Running: 5, Prefill: time.Second, PrefillLoad: 0.3}}, nil, nil, start)
	assert.Equal(t, 1, load(0))
	assert.Equal(t, 5, load(1))
	f.ApplyDigest("b", map[uint64]Use{key(1): {Running: 5, Prefill: time.Second, PrefillLoad: 0.3}}, nil, nil, start)
	assert.Equal(t, 5, load(1))
	f.ExpireDigests(start.Add(digestLifetime))
	for i := range 3 {
		r := f.replicas[fmt.Sprintf("e%d", i)]
		assert.Zero(t, r.inFlight())
		assert.Zero(t, r.peerPrefillLoad)
		assert.Zero(t, r.backlog(start.Add(digestLifetime)))
	}
}

// Guards against a replica whose remaining prompts count as nearly read, since the time at
// which another host's work was dropped was not told.
func TestForgettingAHostKeepsTheBacklogOfOthers(t *testing.T) {
	f := newFleet(1)
	key := (&Member{ID: "e0"}).Key()
	f.ApplyDigest("b", map[uint64]Use{key: {Running: 1, Prefill: time.Second}}, nil, nil, start)
	f.ApplyDigest("c", map[uint64]Use{key: {Running: 1, Prefill: time.Second}}, nil, nil, start)
	f.Forget("b", start)
	assert.Equal(t, time.Second, f.replicas["e0"].backlog(start))
}

// largeFleet is a fleet of 3,000 engines.
func largeFleet() (*Fleet, []Member) {
	f := New(Options{Zone: "a", Model: testModel, Seed: 1})
	f.SetUpstreams([]routing.Upstream{{Name: engines, Engine: &routing.Engine{Slots: 64, MemoryTokens: 340_000}}})
	members := make([]Member, 3000)
	for i := range members {
		members[i] = Member{ID: fmt.Sprintf("e%d", i), Upstream: engines, Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Zone: "a", Slots: 64}
	}
	f.SetMembers(members)
	return f, members
}

// BenchmarkApplyDigest is the cost of a beat of one of 300 hosts with 3,000 replicas. A
// host receives some hundred a second.
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

// BenchmarkSetMembers is the cost of a change of one of 3,000 replicas.
func BenchmarkSetMembers(b *testing.B) {
	f, members := largeFleet()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		members[i%len(members)].Leaving = !members[i%len(members)].Leaving
		f.SetMembers(members)
	}
}

// BenchmarkDigest is the cost of composing a beat with 3,000 replicas, few of them in use.
func BenchmarkDigest(b *testing.B) {
	f, _ := largeFleet()
	b.ReportAllocs()
	for b.Loop() {
		f.Digest(start)
	}
}
