package fleet

import "time"

const (
	// gapLimit is the longest pause that is allowed in a stream, also if its route sets a
	// longer one or none.
	gapLimit = 300 * time.Millisecond
	// minDecodeRatio is the ratio of decode to prefill time above which a request counts
	// as mostly generating.
	minDecodeRatio = 3.0
	// sampleFactor, divided by the number of hosts, is the share of the replicas that a
	// request samples. minSample is the lower bound of the expected sample size.
	sampleFactor = 4.0
	minSample    = 4
	// extraDecodeReplicas, decodeGroupMargin and maxDecodeGroupShare size the decode
	// group: the first replicas in key order, which is the same on all hosts. They serve
	// the requests that mostly generate. The size is the number of replicas that their
	// streams fill times decodeGroupMargin, plus extraDecodeReplicas, and at most
	// maxDecodeGroupShare of all replicas.
	extraDecodeReplicas = 1
	decodeGroupMargin   = 1.2
	maxDecodeGroupShare = 0.5
	// maxStreamSlotShare is the share of a replica's slots that generating streams may
	// fill before further streams go elsewhere. The other slots are left for requests that
	// mostly read their prompt.
	maxStreamSlotShare = 0.9
	// crowdingCostSteps is the cost, in decode steps, of adding a stream to a replica that
	// already has streamTarget streams. It grows with the square of the number of
	// streams.
	crowdingCostSteps = 7
	// stalledStreamCost is the cost of each stream that a prompt delays beyond its longest
	// allowed pause, which makes its whole answer late.
	stalledStreamCost = 800 * time.Millisecond
	// stallThreshold is the share of the longest allowed pause from which an uninterrupted
	// run of prompts may stall a stream. At the full pause a stall is certain.
	stallThreshold = 0.4
	// prefillShareWeight is the share of the longest allowed pause by which a replica that
	// reads prompts all the time is assumed to lengthen a run of prompts.
	prefillShareWeight = 0.5
	// prefillShareCost is the cost, for a request that mostly generates, of a replica that
	// reads prompts all the time.
	prefillShareCost = time.Second
	// homeReplicaBonus is how much more than others the home replica of a session may
	// cost and still be picked. All hosts compute the same home replica, so a host that
	// knows nothing of a session, for example after a restart, still finds the replica that
	// has its prompt cached.
	homeReplicaBonus = 40 * time.Millisecond
	// missedDeadlineCost is the cost of a replica that would not finish by the deadline.
	missedDeadlineCost = 2 * time.Second
)

// mostlyGenerates reports whether a request is expected to spend most of its time in
// decode.
func (p *pool) mostlyGenerates(q *Request) bool {
	m := &p.speed.model
	return float64(time.Duration(q.OutputTokens)*m.Step) > minDecodeRatio*float64(m.prefill(q.PromptTokens))
}

// streamTarget returns the number of generating streams that a replica of the pool
// should have at most. More are allowed but cost extra.
func (p *pool) streamTarget() float64 { return p.speed.model.streamTarget(p.upstream.Engine.Slots) }

// decodeGroupSize returns the number of engines, the first in key order, that serve
// requests which mostly generate. Long prompts are kept away from them because they would
// stall the streams there.
func (p *pool) decodeGroupSize() int {
	totalLongAnswers := 0
	for _, r := range p.replicas {
		totalLongAnswers += r.totalLongAnswers()
	}
	decodeGroupSize := int(decodeGroupMargin*float64(totalLongAnswers)/p.streamTarget()) + extraDecodeReplicas
	return min(decodeGroupSize, int(maxDecodeGroupShare*float64(len(p.replicas))))
}

// rankFilter returns a filter for the engines that serve a request: those in the decode
// group if it mostly generates, the others if not.
func (f *Fleet) rankFilter(p *pool, q *Request) func(rank int) bool {
	decodeGroupSize := p.decodeGroupSize()
	if p.mostlyGenerates(q) {
		return func(rank int) bool { return rank < decodeGroupSize }
	}
	return func(rank int) bool { return rank >= decodeGroupSize }
}

// sampleReplicas returns a filter that accepts a random sample of the engines that pass
// the given filter. All hosts see a state that is one heartbeat old; if each host compared
// all engines, all would pick the same few until the next heartbeat. The sample shrinks as
// the number of hosts grows. Engines that have more of the prompt cached than its first
// part are always accepted, also from outside the filter.
func (f *Fleet) sampleReplicas(p *pool, q *Request, filter func(rank int) bool) func(rank int) bool {
	groupSize := 0
	for rank := range p.replicas {
		if filter(rank) {
			groupSize++
		}
	}
	probability := max(sampleFactor/float64(f.hosts()), minSample/float64(max(groupSize, 1)))
	firstPartTokens := 0
	if len(q.Prompt) > 0 {
		firstPartTokens = q.Prompt[0].Tokens
	}
	homeReplica := f.homeReplica(p, q)
	return func(rank int) bool {
		r := p.replicas[rank]
		if len(q.Prompt) > 1 && r.cachedOrPendingTokens(q.Prompt) > firstPartTokens {
			return true
		}
		return filter(rank) && (r == homeReplica || f.random.Float64() < probability)
	}
}

// evaluateEngine fills in the candidate: the predicted time to first token, and the cost for
// this request and those that share the replica. The prefill time counts twice in the cost:
// as latency of this request, and as engine time that the others lose.
func (f *Fleet) evaluateEngine(c *candidate, p *pool, q *Request, now time.Time) {
	r, m := c.replica, &p.speed.model
	c.cachedOrPendingTokens = r.cachedOrPendingTokens(q.Prompt)
	step := m.step(r.inFlight())
	chunk := m.prefill(m.Chunk)
	copyDelay := f.planCopy(c, p, q)
	c.prefill = time.Duration(r.slowness * m.prefillSlowdown(r.inFlight()) * float64(m.prefill(q.PromptTokens-c.cachedOrPendingTokens-c.copied)))
	c.backlog = r.backlog(now)
	c.overhead = step + copyDelay
	c.expected = m.First + c.overhead + c.backlog + c.prefill
	share := r.prefillShare(now)
	decodeTime := time.Duration(q.OutputTokens) * (step + time.Duration(share*float64(chunk)))
	c.longAnswer = p.mostlyGenerates(q)
	c.cost = c.expected + c.prefill + time.Duration(copyCostFactor*float64(m.prefill(c.copied))) + stallCost(c.backlog+c.prefill, share, q.MaxGap, r.totalLongAnswers())
	if c.expected+decodeTime > q.TimeLeft {
		c.cost += missedDeadlineCost
	}
	if c.longAnswer {
		crowding := float64(r.totalLongAnswers()) / p.streamTarget()
		c.cost += time.Duration(crowding * crowding * crowdingCostSteps * float64(m.Step))
		c.cost += time.Duration(share * float64(prefillShareCost))
		return
	}
	c.cost += time.Duration(r.inFlight()) * m.Step // spreads prompts over otherwise equal replicas
	if r == f.homeReplica(p, q) {
		c.cost -= homeReplicaBonus
	}
}

// homeReplica returns the replica that a session's prompts prefer when costs are similar,
// chosen by rendezvous hashing; nil without a session or if all replicas are leaving. The
// result is cached in the request.
func (f *Fleet) homeReplica(p *pool, q *Request) *replica {
	if q.Session == 0 {
		return nil
	}
	if q.homeReplica != nil {
		return q.homeReplica
	}
	var highest uint64
	for _, r := range p.replicas {
		if weight := mixBits(q.Session ^ r.key); weight >= highest && !r.member.Leaving {
			highest, q.homeReplica = weight, r
		}
	}
	return q.homeReplica
}

// mixBits spreads the bits of a hash (the finalizer of MurmurHash3).
func mixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// stallCost returns the cost of prefill time that delays streams on the same replica.
// maxGap is the longest allowed pause, 0 for the default. A high prefillShare means that the
// prompts are likely to join longer uninterrupted runs.
func stallCost(prefill time.Duration, prefillShare float64, maxGap time.Duration, streams int) time.Duration {
	if maxGap == 0 || maxGap > gapLimit {
		maxGap = gapLimit
	}
	runShare := float64(prefill)/float64(maxGap) + prefillShareWeight*prefillShare
	probability := (runShare - stallThreshold) / (1 - stallThreshold)
	return time.Duration(min(max(probability, 0), 1) * float64(streams) * float64(stalledStreamCost))
}
