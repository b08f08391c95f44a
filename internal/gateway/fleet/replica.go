package fleet

import (
	"math"
	"math/bits"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxPartsPerReplica, maxPartsTotal and minPartsPerReplica bound the prompt parts
	// tracked for one replica and for all replicas. An entry takes about 130 bytes, so
	// maxPartsTotal entries take 13 MB. Each replica keeps at least minPartsPerReplica, as
	// an engine's KV cache holds about 90 long prompts; maxPartsTotal therefore holds only
	// up to 781 replicas.
	maxPartsPerReplica = 2048
	maxPartsTotal      = 100_000
	minPartsPerReplica = 128
	// minBacklogShare is the share of the pending prefill time that still counts as
	// backlog when all of it should be done by now.
	minBacklogShare = 0.3
	// failureWeight is the weight of the newest result in the moving average of the
	// failure rate.
	failureWeight = 0.2
	// latencyWeight is the weight of the newest latency in the moving average of the
	// slowness.
	latencyWeight = 0.2
	// maxSlowness bounds the ratio of measured to expected latency, and its inverse.
	maxSlowness = 8.0
	// initialSuspension is the suspension after a first failure. It doubles with each
	// consecutive failure up to maxSuspension. A replica's process takes a few seconds to
	// restart.
	initialSuspension = 250 * time.Millisecond
	maxSuspension     = 2 * time.Second
	// connectFailureThreshold is the number of consecutive failures to connect after which
	// a replica counts as unconnectable. A single failure may be a lost packet.
	connectFailureThreshold = 2
	// prefillTimeConstant is the time constant with which the recent prefill load decays.
	prefillTimeConstant = 2 * time.Second
)

// cachedPart is a prompt part that a replica has in its prompt cache or is about to read.
type cachedPart struct {
	tokens int
	readBy time.Time // expected end of its prefill
}

// replica is this host's state of one replica. It is guarded by Fleet.mu.
type replica struct {
	member Member
	key    uint64

	// In-flight requests of this host.
	running        int
	longAnswers    int
	tokens         int                 // tokens that the requests may occupy in the engine's KV cache
	pending        map[*Lease]struct{} // requests without a first token
	pendingPrefill time.Duration       // expected prefill time of the pending requests

	// In-flight requests of other hosts: by host, and their sums.
	peers              map[string]Use
	peerRunning        int
	peerLongAnswers    int
	peerTokens         int
	peerPrefillLoad    float64
	peerPendingPrefill time.Duration

	// headPrefillStart is when the replica began to read the first pending prompt, as far
	// as this host can infer.
	headPrefillStart time.Time

	prefillLoad   float64 // decaying share of time spent on this host's prompts, as of prefillLoadAt
	prefillLoadAt time.Time

	cachedParts      *simplelru.LRU[uint64, cachedPart] // by hash
	cachedPartTokens int                                // sum over cachedParts

	consecutiveFailures        int     // failed attempts in a row that point to a crash or a lost connection
	consecutiveConnectFailures int     // attempts in a row that could not connect
	failureRate                float64 // moving average
	suspendedUntil             time.Time
	slowness                   float64   // moving average of measured over expected latency
	latencyTest                *Lease    // request that measures the latency although it may be late
	restUntil                  time.Time // until when the replica wants no requests of this host
	brittle                    brittle
	rejections                 rejections
	limit                      *replicaLimit // nil if the replica has not stated one
	process                    *processEvidence
	suspects                   []suspect // until the replica is inspected
	removed                    bool      // its registration has been removed
}

// suspect is a request whose answer ended in a way in which the crash of its replica would end it.
type suspect struct {
	fingerprint uint64
	parts       []uint64 // Request.Parts
	answering   bool     // the replica had begun to answer
	complete    bool     // the answer is complete if the replica lives
	retried     bool     // Lease.retried
}

// addSuspect records a suspect and reports whether it is the first since the last inspection, which
// thus has to be started.
func (r *replica) addSuspect(l *Lease, complete bool) (inspect bool) {
	if l.fingerprint == 0 && len(l.parts) == 0 {
		return false
	}
	r.suspects = append(r.suspects, suspect{fingerprint: l.fingerprint, parts: l.parts, answering: l.answering, complete: complete, retried: l.retried})
	return len(r.suspects) == 1
}

func newReplica(m Member) *replica {
	r := &replica{
		member:   m,
		key:      m.Key(),
		pending:  make(map[*Lease]struct{}),
		peers:    make(map[string]Use),
		slowness: 1,
		process:  &processEvidence{started: m.Started, knownAt: time.Now()},
	}
	// NewLRU fails only for a size below one.
	r.cachedParts, _ = simplelru.NewLRU(maxPartsPerReplica, func(_ uint64, part cachedPart) { r.cachedPartTokens -= part.tokens })
	return r
}

// forgetParts drops all tracked parts of the replica's prompt cache.
func (r *replica) forgetParts() { r.cachedParts.Purge() }

// partLimitFor returns how many prompt parts are tracked for each of the given number of
// replicas. The result is a power of two, so that it seldom changes while replicas come
// and go.
func partLimitFor(replicas int) int {
	parts := 1 << (bits.Len(uint(maxPartsTotal/max(replicas, 1))) - 1)
	return min(max(parts, minPartsPerReplica), maxPartsPerReplica)
}

// addPart records that the replica holds a prompt part, or will have read it by readBy,
// and evicts the least recently used parts beyond capacity tokens.
func (r *replica) addPart(part PromptPart, readBy time.Time, capacity int) {
	if _, ok := r.cachedParts.Get(part.Hash); !ok {
		r.cachedPartTokens += part.Tokens
		r.cachedParts.Add(part.Hash, cachedPart{tokens: part.Tokens, readBy: readBy})
	}
	for r.cachedPartTokens > capacity && r.cachedParts.Len() > 1 {
		r.cachedParts.RemoveOldest()
	}
}

// cachedOrPendingTokens returns the length in tokens of the longest prefix of the prompt that
// the replica holds or will read before this prompt.
func (r *replica) cachedOrPendingTokens(prompt []PromptPart) int {
	tokens := 0
	for _, p := range prompt {
		if !r.cachedParts.Contains(p.Hash) {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// alreadyReadTokens returns the length in tokens of the longest prefix of the prompt that
// the replica should have read by now, so that other replicas can copy it.
func (r *replica) alreadyReadTokens(prompt []PromptPart, now time.Time) int {
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

// backlog returns the expected time until the replica has read the prompts that all hosts
// sent it so far.
func (r *replica) backlog(now time.Time) time.Duration {
	pending := r.pendingPrefill + r.peerPendingPrefill
	minBacklog := time.Duration(minBacklogShare * float64(pending))
	return max(pending-now.Sub(r.headPrefillStart), minBacklog)
}

// inFlight returns the number of in-flight requests of all hosts.
func (r *replica) inFlight() int { return r.running + r.peerRunning }

// totalLongAnswers returns the number of in-flight requests of all hosts that mostly generate.
func (r *replica) totalLongAnswers() int { return r.longAnswers + r.peerLongAnswers }

// prefillShare returns the share of recent time that the replica spent on prompts of all
// hosts, from 0 to 1.
func (r *replica) prefillShare(now time.Time) float64 {
	return min(r.recentPrefillLoad(now)+r.peerPrefillLoad, 1)
}

// reservedKVCacheTokens returns the tokens that the in-flight requests of all hosts may
// occupy in the engine's KV cache.
func (r *replica) reservedKVCacheTokens() int { return r.tokens + r.peerTokens }

// start adds a request of this host.
func (r *replica) start(l *Lease, now time.Time) {
	r.running++
	if l.longAnswer {
		r.longAnswers++
	}
	r.tokens += l.kvCacheTokens
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

// prefillDone records that the prompt of a request has been read.
func (r *replica) prefillDone(l *Lease, now time.Time) {
	if _, ok := r.pending[l]; !ok {
		return
	}
	delete(r.pending, l)
	r.pendingPrefill -= l.prefill
	r.headPrefillStart = now
}

// end removes a request of this host.
func (r *replica) end(l *Lease, now time.Time) {
	r.prefillDone(l, now)
	r.running--
	if l.longAnswer {
		r.longAnswers--
	}
	r.tokens -= l.kvCacheTokens
}

// recentPrefillLoad returns the share of recent time that the replica spent on prompts of
// this host.
func (r *replica) recentPrefillLoad(now time.Time) float64 {
	if r.prefillLoad == 0 {
		return 0
	}
	age := now.Sub(r.prefillLoadAt)
	return r.prefillLoad * math.Exp(-float64(age)/float64(prefillTimeConstant))
}

// setPeerUse replaces the in-flight work of another host; the zero Use removes it.
func (r *replica) setPeerUse(host string, use Use, now time.Time) {
	if use == (Use{}) {
		if _, ok := r.peers[host]; !ok {
			return
		}
		delete(r.peers, host)
	} else {
		r.peers[host] = use
	}
	r.peerRunning, r.peerLongAnswers, r.peerTokens, r.peerPrefillLoad = 0, 0, 0, 0
	previous := r.peerPendingPrefill
	r.peerPendingPrefill = 0
	for _, u := range r.peers {
		r.peerRunning += u.Running
		r.peerTokens += u.Tokens
		r.peerLongAnswers += u.LongAnswers
		r.peerPrefillLoad += u.PrefillLoad
		r.peerPendingPrefill += u.Prefill
	}
	// Less pending work than before means that the replica has moved on to another prompt.
	// A replica that had no pending prompts starts with the first one now.
	if r.peerPendingPrefill < previous || previous+r.pendingPrefill == 0 {
		r.headPrefillStart = now
	}
}

// recordFailure counts an attempt that the replica did not serve. suspend also suspends the
// replica: for attempts that could not connect, lost the connection or reached another
// process.
func (r *replica) recordFailure(suspend bool, now time.Time) {
	r.failureRate += failureWeight * (1 - r.failureRate)
	if !suspend {
		return
	}
	r.consecutiveFailures++
	suspension := min(initialSuspension<<min(r.consecutiveFailures-1, 4), maxSuspension)
	r.suspendedUntil = now.Add(suspension)
}

// recordSuccess counts an attempt that the replica served.
func (r *replica) recordSuccess() {
	r.consecutiveFailures = 0
	r.failureRate *= 1 - failureWeight
}

// recordLatency updates the slowness from a measured latency and its expectation.
func (r *replica) recordLatency(latency, expected time.Duration) {
	ratio := float64(latency) / float64(max(expected, time.Millisecond))
	ratio = min(max(ratio, 1/maxSlowness), maxSlowness)
	r.slowness += latencyWeight * (ratio - r.slowness)
}

// unconnectable reports whether a new attempt would only wait for a connection: recent
// attempts could not connect, and it is too early to retry or another request is already
// trying.
func (r *replica) unconnectable(now time.Time) bool {
	return r.consecutiveConnectFailures >= connectFailureThreshold && (now.Before(r.suspendedUntil) || r.running > 0)
}

// admissible reports whether earlier failures permit a request to the replica; its
// registration is checked by Member.usable. After failures the replica is suspended, and then
// takes one request of this host at a time until one succeeds.
func (r *replica) admissible(now time.Time) bool {
	if r.consecutiveFailures == 0 {
		return true
	}
	return !now.Before(r.suspendedUntil) && r.running == 0
}
