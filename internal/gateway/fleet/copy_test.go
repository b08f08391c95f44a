package fleet

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/routing"
)

// copyingFleet returns a fleet with one engine in each of the given zones; the engines can
// copy the KV cache to each other.
func copyingFleet(zones ...string) *Fleet {
	f := newFleet(0)
	f.SetUpstreams([]routing.Upstream{{Name: engines, Engine: &routing.Engine{
		Slots: 64, KVCacheTokens: 340_000, BytesPerToken: 18_432, LinkBitsPerSecond: 280e9,
	}}})
	var members []Member
	for i, zone := range zones {
		id := string(rune('a' + i))
		members = append(members, Member{ID: id, Upstream: engines, Address: id + ":1", Zone: zone, Slots: 64})
	}
	f.SetMembers(members)
	return f
}

// serve runs a request whose answer starts at the expected time and ends at once.
func serve(t *testing.T, f *Fleet, q *Request, now time.Time) *Lease {
	t.Helper()
	l := pick(t, f, q, now)
	l.FirstByte(now.Add(l.Expected))
	l.End(Served, now.Add(l.Expected))
	return l
}

// Guards against reading a session's prompt again on each replica to which a burst spreads
// it (scenarios: hot key, burst of long prompts). The prompt is copied from the replica that
// has read it.
func TestBurstOfASessionCopiesItsPrompt(t *testing.T) {
	f := copyingFleet("a", "a", "a", "a") // the decode group takes one of them
	now := start
	first := serve(t, f, longPromptRequest(7, 9000), now)
	assert.Empty(t, first.CopyFrom, "no replica has read it yet")
	now = now.Add(time.Second)
	copies := map[string]int{}
	for range 12 {
		l := pick(t, f, longPromptRequest(7, 9000), now)
		if l.Cached > 0 {
			continue // the replica has the prompt cached, or its copy is in progress
		}
		assert.Equal(t, first.Member.Address, l.CopyFrom)
		assert.Equal(t, 6000, l.Copied)
		copies[l.Member.ID]++
	}
	assert.Len(t, copies, 2)
	for id, n := range copies {
		assert.Equal(t, 1, n, id)
	}
}

// Guards against copying a prompt from a replica that has not read it yet: there would be
// nothing to copy, and the prompt would be read after a useless wait.
func TestPromptIsNotCopiedBeforeItIsRead(t *testing.T) {
	f := copyingFleet("a", "a")
	pick(t, f, longPromptRequest(7, 9000), start)
	for range 6 {
		assert.Empty(t, pick(t, f, longPromptRequest(7, 9000), start.Add(10*time.Millisecond)).CopyFrom)
	}
}

// Guards against copies from replicas that are leaving, gone or failing, or in an
// availability zone that is cut off.
func TestPromptIsCopiedFromHealthyReplicas(t *testing.T) {
	setUp := func(f *Fleet) (*replica, *Request, time.Time) {
		reader := serve(t, f, longPromptRequest(7, 9000), start)
		return f.replicas[reader.Member.ID], longPromptRequest(7, 9000), start.Add(time.Second)
	}
	f := copyingFleet("a", "a")
	r, q, now := setUp(f)
	p := f.pool(engines)
	require.Len(t, f.sources(p, q, now), 1)
	r.recordFailure(true, now)
	assert.Empty(t, f.sources(p, q, now), "the replica lost a connection")
	r.recordSuccess()
	r.member.Leaving = true
	assert.Empty(t, f.sources(p, q, now))

	f = copyingFleet("b", "b")
	_, q, now = setUp(f)
	require.Len(t, f.sources(f.pool(engines), q, now), 1)
	for range zoneFailureThreshold {
		f.zone("b").recordFailure(now)
	}
	assert.Empty(t, f.sources(f.pool(engines), q, now))
}

// Guards against a copy between availability zones when one within the zone is possible:
// it takes twice as long.
func TestCopyWithinTheZoneIsPreferred(t *testing.T) {
	f := copyingFleet("a", "a", "b", "b")
	p, q, now := f.pool(engines), longPromptRequest(7, 9000), start.Add(time.Second)
	for _, id := range []string{"a", "c"} {
		f.replicas[id].addPart(q.Prompt[0], start, 100_000)
	}
	q.sources = f.sources(p, q, now)
	require.Len(t, q.sources, 2)
	for id, want := range map[string]string{"b": "a", "d": "c"} {
		c := candidate{replica: f.replicas[id]}
		f.planCopy(&c, p, q)
		assert.Equal(t, want, c.source.member.ID)
	}
	f.replicas["c"].forgetParts()
	q.sources = f.sources(p, q, now)
	sameZone, otherZone := candidate{replica: f.replicas["b"]}, candidate{replica: f.replicas["d"]}
	assert.Less(t, f.planCopy(&sameZone, p, q), f.planCopy(&otherZone, p, q))
	assert.Equal(t, "a", otherZone.source.member.ID, "copying takes less time than reading again")
}

// Guards against copying a short prompt when that takes longer than reading it.
func TestShortPromptIsNotCopied(t *testing.T) {
	f := copyingFleet("a", "a")
	serve(t, f, longPromptRequest(7, 600), start)
	assert.Empty(t, f.sources(f.pool(engines), longPromptRequest(7, 600), start.Add(time.Second)))
}

// Guards against memory that grows with the number of replicas: without a common bound the
// prompt parts of 600 replicas would take 160 MB on a host.
func TestPromptPartsAreBoundedOverAllReplicas(t *testing.T) {
	assert.Equal(t, maxPartsPerReplica, partLimitFor(18))
	assert.LessOrEqual(t, 600*partLimitFor(600), maxPartsTotal)
	f := newFleet(600)
	r := f.replicas["e0"]
	for part := range uint64(maxPartsPerReplica) {
		r.addPart(PromptPart{Hash: part + 1, Tokens: 1}, start, 1<<30)
	}
	assert.Equal(t, partLimitFor(603), r.cachedParts.Len())
	assert.Equal(t, r.cachedParts.Len(), r.cachedPartTokens, "evicted parts are not counted")
	r.forgetParts()
	assert.Zero(t, r.cachedPartTokens)
}

// BenchmarkPick measures how the cost of a choice grows with the number of replicas, each
// of which has some sessions cached, in a deployment of 35 hosts.
func BenchmarkPick(b *testing.B) {
	for _, replicas := range []int{18, 140, 600} {
		b.Run(strconv.Itoa(replicas), func(b *testing.B) {
			f := newFleet(replicas)
			f.SetUpstreams([]routing.Upstream{{Name: engines, Engine: &routing.Engine{
				Slots: 64, KVCacheTokens: 340_000, BytesPerToken: 18_432, LinkBitsPerSecond: 280e9,
			}}})
			for host := range 34 {
				f.ApplyDigest(strconv.Itoa(host), nil, nil, nil, start)
			}
			for session := range uint64(2 * replicas) {
				for copies := range 3 {
					id := "e" + strconv.Itoa((int(session)*7+copies)%replicas)
					f.replicas[id].addPart(PromptPart{Hash: session + 1, Tokens: 6000}, start, 340_000)
				}
			}
			now := start
			for i := 0; b.Loop(); i++ {
				now = now.Add(10 * time.Millisecond)
				l, refusal := f.Pick(longPromptRequest(uint64(i%(2*replicas))+1, 9000), now)
				if refusal == nil {
					l.FirstByte(now)
					l.End(Served, now)
				}
			}
		})
	}
}
