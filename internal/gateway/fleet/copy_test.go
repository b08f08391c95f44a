package fleet

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/routing"
)

// copyingFleet returns a fleet whose engines can copy prompt memory to each other.
func copyingFleet(zones ...string) *Fleet {
	f := newFleet(0)
	f.SetUpstreams([]routing.Upstream{{Name: engines, Engine: &routing.Engine{
		Slots: 64, MemoryTokens: 340_000, BytesPerToken: 18_432, LinkBitsPerSecond: 280e9,
	}}})
	var members []Member
	for i, zone := range zones {
		id := string(rune('a' + i))
		members = append(members, Member{ID: id, Upstream: engines, Address: id + ":1", Zone: zone, Slots: 64})
	}
	f.SetMembers(members)
	return f
}

// serve plays a request whose answer begins when expected and ends at once.
func serve(t *testing.T, f *Fleet, q *Request, now time.Time) *Lease {
	t.Helper()
	l := pick(t, f, q, now)
	l.FirstByte(now.Add(l.Expected))
	l.End(Served, now.Add(l.Expected))
	return l
}

// Guards against a session's prompt that is read again on each replica to which a
// burst spreads it (hot key, burst of long prompts): it is copied from the replica
// that has read it.
func TestBurstOfASessionCopiesItsPrompt(t *testing.T) {
	f := copyingFleet("a", "a", "a", "a") // one of them serves requests that mostly generate
	now := start
	first := serve(t, f, longPromptRequest(7, 9000), now)
	assert.Empty(t, first.CopyFrom, "nobody has read it before")
	now = now.Add(time.Second)
	copies := map[string]int{}
	for range 12 {
		l := pick(t, f, longPromptRequest(7, 9000), now)
		if l.Cached > 0 {
			continue // the replica holds the prompt, or its copy is on the way
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

// Guards against a copy of a prompt that its replica has not read yet: nothing would
// come, and the prompt would be read after a wait in vain.
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
	read := func(f *Fleet) (*replica, *Request, time.Time) {
		first := serve(t, f, longPromptRequest(7, 9000), start)
		return f.replicas[first.Member.ID], longPromptRequest(7, 9000), start.Add(time.Second)
	}
	f := copyingFleet("a", "a")
	r, q, now := read(f)
	p := f.pool(engines)
	require.Len(t, f.copySources(p, q, now), 1)
	r.recordFailure(true, now)
	assert.Empty(t, f.copySources(p, q, now), "it cannot be reached")
	r.recordSuccess()
	r.member.Leaving = true
	assert.Empty(t, f.copySources(p, q, now))

	f = copyingFleet("b", "b")
	_, q, now = read(f)
	require.Len(t, f.copySources(f.pool(engines), q, now), 1)
	for range zoneFailureThreshold {
		f.zone("b").recordFailure(now)
	}
	assert.Empty(t, f.copySources(f.pool(engines), q, now))
}

// Guards against a copy between availability zones where one within the zone would
// do: it takes twice as long.
func TestCopyWithinTheZoneIsPreferred(t *testing.T) {
	f := copyingFleet("a", "a", "b", "b")
	p, q, now := f.pool(engines), longPromptRequest(7, 9000), start.Add(time.Second)
	for _, id := range []string{"a", "c"} {
		f.replicas[id].addPart(q.Prompt[0], start, 100_000)
	}
	q.sources = f.copySources(p, q, now)
	require.Len(t, q.sources, 2)
	for id, want := range map[string]string{"b": "a", "d": "c"} {
		c := candidate{replica: f.replicas[id]}
		f.planCopy(&c, p, q)
		assert.Equal(t, want, c.source.member.ID)
	}
	f.replicas["c"].forgetParts()
	q.sources = f.copySources(p, q, now)
	sameZone, otherZone := candidate{replica: f.replicas["b"]}, candidate{replica: f.replicas["d"]}
	assert.Less(t, f.planCopy(&sameZone, p, q), f.planCopy(&otherZone, p, q))
	assert.Equal(t, "a", otherZone.source.member.ID, "better than to read it again")
}

// Guards against a short prompt that waits longer for its copy than reading takes.
func TestShortPromptIsNotCopied(t *testing.T) {
	f := copyingFleet("a", "a")
	serve(t, f, longPromptRequest(7, 600), start)
	assert.Empty(t, f.copySources(f.pool(engines), longPromptRequest(7, 600), start.Add(time.Second)))
}

// Guards against memory that grows with the number of replicas: prompt parts would take
// 160 MB on a host before 600 of them.
func TestPromptPartsAreBoundedOverAllReplicas(t *testing.T) {
	assert.Equal(t, maxPartsPerReplica, partLimitFor(18))
	assert.LessOrEqual(t, 600*partLimitFor(600), maxPartsTotal)
	f := newFleet(600)
	r := f.replicas["e0"]
	for part := range uint64(maxPartsPerReplica) {
		r.addPart(PromptPart{Hash: part + 1, Tokens: 1}, start, 1<<30)
	}
	assert.Equal(t, partLimitFor(603), r.cachedParts.Len())
	assert.Equal(t, r.cachedParts.Len(), r.cachedPartTokens, "parts that are dropped do not count")
	r.forgetParts()
	assert.Zero(t, r.cachedPartTokens)
}

// BenchmarkPick shows how the cost of a choice grows with the replicas, each of which
// holds some of the sessions; 34 other hosts were heard.
func BenchmarkPick(b *testing.B) {
	for _, replicas := range []int{18, 140, 600} {
		b.Run(strconv.Itoa(replicas), func(b *testing.B) {
			f := newFleet(replicas)
			f.SetUpstreams([]routing.Upstream{{Name: engines, Engine: &routing.Engine{
				Slots: 64, MemoryTokens: 340_000, BytesPerToken: 18_432, LinkBitsPerSecond: 280e9,
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
