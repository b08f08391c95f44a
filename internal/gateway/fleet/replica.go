package fleet

import (
	"math"
	"math/bits"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxParts bounds the prompt parts remembered for a replica, and allParts those of
	// all replicas: an entry takes about 130 bytes, so that all take 13 MB. leastParts
	// stays for each replica; an engine's memory holds about 90 long prompts.
	maxPartsPerReplica = 2048
	maxPartsTotal      = 100_000
	minPartsPerReplica = 128
	// underestimate is the part of the pending prompts that is taken as unread
	// when they should all have been read by now.
	minBacklogShare = 0.3
	// failureWeight is the weight of the newest result in the failure rate.
	failureWeight = 0.2
	// latencyWeight is the weight of the newest latency in the slowness.
	latencyWeight = 0.2
	// maxSlowness bounds the ratio of measured to expected latency.
	maxSlowness = 8.0
	// firstSuspension doubles with each failure in a row up to maxSuspension. A
	// replica's process takes a few seconds to restart.
	initialSuspension = 250 * time.Millisecond
	maxSuspension     = 2 * time.Second
	// unconnectedLeast is the number of attempts in a row without a connection after which
	// a replica counts as one that cannot be connected to; one packet may be lost.
	connectFailureThreshold = 2
	// prefillMemory is the time constant of the recent prompt load of a replica.
	prefillTimeConstant = 2 * time.Second
)

// heldPart is a part of a prompt that a replica holds or is about to read.
type cachedPart struct {
	tokens int
	readBy time.Time // when it should have been read
}

// replica is what this host knows of one replica. It is guarded by the Fleet.
type replica struct {
	member Member
	key    uint64

	// Requests of this host.
	running        int
	longAnswers    int
	memoryTokens   int
	pending        map[*Lease]struct{} // prompts without a first token
	pendingPrefill time.Duration       // time to read them

	// Requests of other hosts.
	peers              map[string]Use
	peerRunning        int
	peerLongAnswers    int
	peerMemoryTokens   int
	peerPrefillLoad    float64
	peerPendingPrefill time.Duration

	// headSince is when the replica began to read the first of all pending prompts,
	// as far as this host can tell.
	headPrefillStart time.Time

	prefillLoad   float64 // share of recent time spent on this host's prompts
	prefillLoadAt time.Time

	cachedParts      *simplelru.LRU[uint64, cachedPart] // by hash
	cachedPartTokens int

	consecutiveFailures        int // in a row, that tell that the replica cannot be reached or crashed
	consecutiveConnectFailures int // attempts in a row to which no connection could be opened
	failureRate                float64
	suspendedUntil             time.Time
	slowness                   float64  // measured over expected latency
	suspects                   []uint64 // fingerprints of requests that broke off, until the replica is looked at
}

func newReplica(m Member) *replica {
	r := &replica{
		member:   m,
		key:      m.Key(),
		pending:  make(map[*Lease]struct{}),
		peers:    make(map[string]Use),
		slowness: 1,
	}
	// NewLRU fails only for a size below one.
	r.cachedParts, _ = simplelru.NewLRU(maxPartsPerReplica, func(_ uint64, part cachedPart) { r.cachedPartTokens -= part.tokens })
	return r
}

// forgetParts drops what is known of the replica's memory.
func (r *replica) forgetParts() { r.cachedParts.Purge() }

// partsFor returns how many prompt parts are remembered for each of a number of replicas:
// a power of two, so that it seldom changes while replicas come and go.
func partLimitFor(replicas int) int {
	parts := 1 << (bits.Len(uint(maxPartsTotal/max(replicas, 1))) - 1)
	return min(max(parts, minPartsPerReplica), maxPartsPerReplica)
}

// remember records that the replica holds a part, or will by readBy, and drops the
// parts that were used longest ago beyond its capacity.
func (r *replica) addPart(part PromptPart, readBy time.Time, capacity int) {
	if _, ok := r.cachedParts.Get(part.Hash); !ok {
		r.cachedPartTokens += part.Tokens
		r.cachedParts.Add(part.Hash, cachedPart{tokens: part.Tokens, readBy: readBy})
	}
	for r.cachedPartTokens > capacity && r.cachedParts.Len() > 1 {
		r.cachedParts.RemoveOldest()
	}
}

// cached returns the tokens at the beginning of the prompt that the replica holds
// or reads before this prompt.
func (r *replica) cachedTokens(prompt []PromptPart) int {
	tokens := 0
	for _, p := range prompt {
		if !r.cachedParts.Contains(p.Hash) {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// read returns the tokens at the beginning of the prompt that the replica should
// have read by now, so that another one can copy them.
func (r *replica) readTokens(prompt []PromptPart, now time.Time) int {
	tokens := 0
	for _, p := range prompt {
		held, ok := r.cachedParts.Peek(p.Hash)
		if !ok || now.Before(held.readBy) {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// backlog returns how long the replica is expected to read the prompts that were
// sent before, by any host.
func (r *replica) backlog(now time.Time) time.Duration {
	pending := r.pendingPrefill + r.peerPendingPrefill
	minBacklog := time.Duration(minBacklogShare * float64(pending))
	return max(pending-now.Sub(r.headPrefillStart), minBacklog)
}

func (r *replica) inFlight() int { return r.running + r.peerRunning }

// streams returns the requests in progress that mostly generate.
func (r *replica) streams() int { return r.longAnswers + r.peerLongAnswers }

// prefillShare returns the share of recent time that all hosts' prompts took, from 0 to 1.
func (r *replica) prefillShare(now time.Time) float64 {
	return min(r.recentPrefillLoad(now)+r.peerPrefillLoad, 1)
}

func (r *replica) totalMemoryTokens() int { return r.memoryTokens + r.peerMemoryTokens }

// start counts a request of this host.
func (r *replica) start(l *Lease, now time.Time) {
	r.running++
	if l.longAnswer {
		r.longAnswers++
	}
	r.memoryTokens += l.memoryTokens
	if l.prefill > 0 {
		if r.pendingPrefill+r.peerPendingPrefill == 0 {
			r.headPrefillStart = now
		}
		r.pending[l] = struct{}{}
		r.pendingPrefill += l.prefill
		r.prefillLoad = r.recentPrefillLoad(now) + float64(l.prefill)/float64(prefillTimeConstant)
		r.prefillLoadAt = now
	}
}

// prefilled records that the prompt of a request has been read.
func (r *replica) prefillDone(l *Lease, now time.Time) {
	if _, ok := r.pending[l]; !ok {
		return
	}
	delete(r.pending, l)
	r.pendingPrefill -= l.prefill
	r.headPrefillStart = now
}

func (r *replica) end(l *Lease, now time.Time) {
	r.prefillDone(l, now)
	r.running--
	if l.longAnswer {
		r.longAnswers--
	}
	r.memoryTokens -= l.memoryTokens
}

// recentPrefill returns the share of recent time that this host's prompts took.
func (r *replica) recentPrefillLoad(now time.Time) float64 {
	if r.prefillLoad == 0 {
		return 0
	}
	age := now.Sub(r.prefillLoadAt)
	return r.prefillLoad * math.Exp(-float64(age)/float64(prefillTimeConstant))
}

// setPeer replaces what another host has in progress.
func (r *replica) setPeerUse(host string, use Use, now time.Time) {
	if use == (Use{}) {
		if _, ok := r.peers[host]; !ok {
			return
		}
		delete(r.peers, host)
	} else {
		r.peers[host] = use
	}
	r.peerRunning, r.peerLongAnswers, r.peerMemoryTokens, r.peerPrefillLoad = 0, 0, 0, 0
	previous := r.peerPendingPrefill
	r.peerPendingPrefill = 0
	for _, u := range r.peers {
		r.peerRunning += u.Running
		r.peerMemoryTokens += u.Tokens
		r.peerLongAnswers += u.LongAnswers
		r.peerPrefillLoad += u.PrefillLoad
		r.peerPendingPrefill += u.Prefill
	}
	// Less work than before: the replica has turned to another prompt.
	if r.peerPendingPrefill < previous || previous+r.pendingPrefill == 0 {
		r.headPrefillStart = now
	}
}

// failed counts an attempt that the replica did not serve. unreachable tells that
// it could not be reached or broke the connection.
func (r *replica) recordFailure(unreachable bool, now time.Time) {
	r.failureRate += failureWeight * (1 - r.failureRate)
	if !unreachable {
		return
	}
	r.consecutiveFailures++
	suspension := min(initialSuspension<<min(r.consecutiveFailures-1, 4), maxSuspension)
	r.suspendedUntil = now.Add(suspension)
}

func (r *replica) recordSuccess() {
	r.consecutiveFailures = 0
	r.failureRate *= 1 - failureWeight
}

// measured compares a latency with the expectation.
func (r *replica) recordLatency(latency, expected time.Duration) {
	ratio := float64(latency) / float64(max(expected, time.Millisecond))
	ratio = min(max(ratio, 1/maxSlowness), maxSlowness)
	r.slowness += latencyWeight * (ratio - r.slowness)
}

// unconnectable tells whether an attempt would only wait for a connection: none could
// be opened of late, and it is not yet time to try again or another request does so.
func (r *replica) unconnectable(now time.Time) bool {
	return r.consecutiveConnectFailures >= connectFailureThreshold && (now.Before(r.suspendedUntil) || r.running > 0)
}

// admissible tells whether the replica may receive a request: it is suspended
// after failures, and takes one request at a time until one succeeds.
func (r *replica) admissible(now time.Time) bool {
	if r.consecutiveFailures == 0 {
		return true
	}
	return !now.Before(r.suspendedUntil) && r.running == 0
}
