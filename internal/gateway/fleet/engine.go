package fleet

import "time"

const (
	// defaultGap stands for the longest pause when a route does not set one.
	defaultGap = 300 * time.Millisecond
	// generatesRatio is the ratio of generating time to prompt time above which a
	// request counts as one that mostly generates.
	minDecodeRatio = 3.0
	// sampled is the part of the replicas, times the number of hosts, that a request
	// weighs, and leastSample the least number of them.
	sampleFactor = 4.0
	minSample    = 4
	// leastFront and frontMargin size the front of the order, which serves the
	// requests that mostly generate: in replicas, and as a factor on what their
	// streams fill. mostFront is the largest part of the replicas that it takes.
	minDecodeReplicas   = 1
	decodeGroupMargin   = 1.2
	maxDecodeGroupShare = 0.5
	// packedSlots is the part of a replica's places that generating streams fill at most
	// before further ones go elsewhere; prompts pass through the rest.
	maxStreamSlotShare = 0.9
	// crowdCost is the cost of packed streams for a further one, in steps; it grows with
	// the square of their number.
	crowdingCostSteps = 7
	// stalledStream is the cost of each stream that a prompt delays beyond its
	// longest pause: its whole answer is late.
	stalledStreamCost = 800 * time.Millisecond
	// stallFrom is the part of the longest pause from which prompts read in a row
	// may stall a stream; at the whole of it they surely do.
	stallThreshold = 0.4
	// shareInRow is how much of a longest pause a replica that reads prompts all the
	// time adds to a row of prompts.
	prefillShareWeight = 0.5
	// stallShare is the cost, for a request that mostly generates, of a replica
	// that does nothing but read prompts.
	prefillShareCost = time.Second
	// homeBonus is what a session's home replica, the same on all hosts, may cost
	// more than others. Hosts that know nothing of a session, for example after a
	// restart, then find the replica that holds its prompt.
	homeReplicaBonus = 40 * time.Millisecond
	// hopeless is the cost of a replica that would not finish by the deadline.
	missedDeadlineCost = 2 * time.Second
)

// generates tells whether a request mostly generates.
func (p *pool) mostlyGenerates(q *Request) bool {
	m := &p.speed.model
	return float64(time.Duration(q.OutputTokens)*m.Step) > minDecodeRatio*float64(m.prefill(q.PromptTokens))
}

// packed returns how many generating streams share a replica of the pool.
func (p *pool) streamsPerReplica() float64 {
	return p.speed.model.streamsPerReplica(p.upstream.Engine.Slots)
}

// front returns the number of engines at the front of the common order that serve
// requests which mostly generate. Long prompts stay away from them, as they would
// stall the tokens of the streams there.
func (p *pool) decodeGroupSize() int {
	streams := 0
	for _, r := range p.replicas {
		streams += r.streams()
	}
	size := int(decodeGroupMargin*float64(streams)/p.streamsPerReplica()) + minDecodeReplicas
	return min(size, int(maxDecodeGroupShare*float64(len(p.replicas))))
}

// side tells which engines serve a request: those at the front of the order if it
// mostly generates, the others if not.
func (f *Fleet) rankFilter(p *pool, q *Request) func(rank int) bool {
	decodeGroup := p.decodeGroupSize()
	if p.mostlyGenerates(q) {
		return func(rank int) bool { return rank < decodeGroup }
	}
	return func(rank int) bool { return rank >= decodeGroup }
}

// sample returns a part of the engines of a side. All hosts see a state that is a
// beat old; if each weighed all engines, all would pick the same few of them until
// the next beat. The part is random and shrinks as hosts grow in number; engines
// that hold more of the prompt than its common head are in it.
func (f *Fleet) sampleReplicas(p *pool, q *Request, filter func(rank int) bool) func(rank int) bool {
	size := 0
	for rank := range p.replicas {
		if filter(rank) {
			size++
		}
	}
	probability := max(sampleFactor/float64(f.hostCount()), minSample/float64(max(size, 1)))
	firstPartTokens := 0
	if len(q.Prompt) > 0 {
		firstPartTokens = q.Prompt[0].Tokens
	}
	home := f.homeReplica(p, q)
	return func(rank int) bool {
		r := p.replicas[rank]
		if len(q.Prompt) > 1 && r.cachedTokens(q.Prompt) > firstPartTokens {
			return true
		}
		return filter(rank) && (r == home || f.random.Float64() < probability)
	}
}

// evaluateEngine predicts the time to the first token and the cost for the
// requests that share the replica.
func (f *Fleet) evaluateEngine(c *candidate, p *pool, q *Request, now time.Time) {
	r, m := c.replica, &p.speed.model
	c.cached = r.cachedTokens(q.Prompt)
	step := m.step(r.inFlight())
	chunk := m.prefill(m.Chunk)
	copyDelay := f.planCopy(c, p, q)
	c.prefill = time.Duration(r.slowness * m.prefillSlowdown(r.inFlight()) * float64(m.prefill(q.PromptTokens-c.cached-c.copied)))
	c.backlog = r.backlog(now)
	c.overhead = step + copyDelay
	c.expected = m.First + c.overhead + c.backlog + c.prefill
	prefillShare := r.prefillShare(now)
	generating := time.Duration(q.OutputTokens) * (step + time.Duration(prefillShare*float64(chunk)))
	c.longAnswer = p.mostlyGenerates(q)
	c.cost = c.expected + c.prefill + time.Duration(copyCostFactor*float64(m.prefill(c.copied))) + stallCost(c.backlog+c.prefill, prefillShare, q.Gap, r.streams())
	if c.expected+generating > q.Left {
		c.cost += missedDeadlineCost
	}
	if c.longAnswer {
		crowding := float64(r.streams()) / p.streamsPerReplica()
		c.cost += time.Duration(crowding * crowding * crowdingCostSteps * float64(m.Step))
		c.cost += time.Duration(prefillShare * float64(prefillShareCost))
		return
	}
	c.cost += time.Duration(r.inFlight()) * m.Step // spreads prompts over otherwise equal replicas
	if r == f.homeReplica(p, q) {
		c.cost -= homeReplicaBonus
	}
}

// home returns the replica that a session's prompts go to when nothing else
// decides, by rendezvous hashing.
func (f *Fleet) homeReplica(p *pool, q *Request) *replica {
	if q.Session == 0 {
		return nil
	}
	if q.home != nil {
		return q.home
	}
	var highest uint64
	for _, r := range p.replicas {
		if weight := mixBits(q.Session ^ r.key); weight >= highest && !r.member.Leaving {
			highest, q.home = weight, r
		}
	}
	return q.home
}

// mix spreads the bits of a hash (the finalizer of MurmurHash3).
func mixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// stallCost is the cost of prompts read in a row beside streams. A replica that
// reads prompts much of the time joins them to longer rows.
func stallCost(prefill time.Duration, prefillShare float64, gap time.Duration, streams int) time.Duration {
	if gap == 0 || gap > defaultGap {
		gap = defaultGap
	}
	run := float64(prefill)/float64(gap) + prefillShareWeight*prefillShare
	probability := (run - stallThreshold) / (1 - stallThreshold)
	return time.Duration(min(max(probability, 0), 1) * float64(streams) * float64(stalledStreamCost))
}
