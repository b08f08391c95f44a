package fleet

import (
	"slices"
	"time"
)

// candidate is a replica with its predicted latency and cost for a request.
type candidate struct {
	replica               *replica
	cost                  time.Duration // latency plus penalties; the candidate with the lowest cost is picked
	expected              time.Duration // time to the first byte
	prefill               time.Duration
	overhead              time.Duration // decode step, copy and cross-zone latency, all part of expected
	cachedOrPendingTokens int           // prompt tokens that the replica has cached or reads before this prompt
	backlog               time.Duration
	zoneCost              time.Duration // part of cost for a replica in another zone
	longAnswer            bool
	eligible              int      // number of replicas that were compared
	source                *replica // replica to copy the prompt from; nil for no copy
	copied                int      // prompt tokens to copy
}

// condition is what a replica must meet to be compared.
type condition int

const (
	usable    condition = iota // its registration allows requests, and it is not unconnectable
	healthy                    // it is not suspended after failures and has no trial request either
	retriable                  // nor has it rejected a request so recently that it should get none
	accepting                  // nor is it likely to reject the request
)

// meets reports whether a replica meets the condition.
func (r *replica) meets(c condition, now time.Time) bool {
	return !r.unconnectable(now) && (c < healthy || r.admissible(now)) &&
		(c < retriable || !r.rejections.backingOff(now)) && (c < accepting || !r.rejections.rejecting(now))
}

// bestAdmitted returns the best replica that meets the condition and whose rank is accepted, and whether it admits
// the request.
func (f *Fleet) bestAdmitted(p *pool, q *Request, now time.Time, c condition, accept func(rank int) bool) (best candidate, admitted bool) {
	best, _ = f.best(p, q, now, c, accept)
	return best, best.replica != nil && f.refuse(p, q, &best, now) == nil
}

// best returns the replica with the lowest cost among those that meet the condition and whose rank is
// accepted.
func (f *Fleet) best(p *pool, q *Request, now time.Time, c condition, accept func(rank int) bool) (best candidate, skipped skipReason) {
	eligible := 0
	for rank, r := range p.replicas {
		if !q.allows(r, now) || slices.Contains(q.Exclude, r.member.ID) || !r.meets(c, now) {
			continue
		}
		if now.Before(r.restUntil) {
			skipped = max(skipped, skippedResting)
			continue
		}
		if !f.hasCapacity(p, r, q) || r.brittle.resting(now) {
			skipped = max(skipped, skippedFull)
			continue
		}
		if !f.withinLimit(r, now) {
			skipped = skippedLimited
			continue
		}
		if !accept(rank) {
			continue
		}
		eligible++
		evaluated := f.evaluate(p, rank, q, now)
		if best.replica == nil || evaluated.cost < best.cost {
			best = evaluated
		}
	}
	best.eligible = eligible
	return best, skipped
}

// hasCapacity reports whether the replica has a free connection, a free slot or queue place and,
// for an engine, enough free KV cache for the request.
func (f *Fleet) hasCapacity(p *pool, r *replica, q *Request) bool {
	e := p.upstream.Engine
	if r.brittle.stated && r.running >= f.brittlePart(p, r) {
		return false
	}
	if p.upstream.MaxConns > 0 && r.inFlight() >= p.upstream.MaxConns {
		return false
	}
	if e == nil {
		return r.inFlight() < max(r.member.Slots, 1)*(1+queuedPerSlot)
	}
	if e.Slots > 0 && r.inFlight() >= e.Slots {
		return false
	}
	return e.KVCacheTokens == 0 || r.reservedKVCacheTokens()+q.PromptTokens+q.OutputTokens <= e.KVCacheTokens
}

// evaluate predicts the latency and the cost of a request on a replica.
func (f *Fleet) evaluate(p *pool, rank int, q *Request, now time.Time) candidate {
	r := p.replicas[rank]
	c := candidate{replica: r}
	if p.upstream.Engine != nil {
		f.evaluateEngine(&c, p, q, now)
	} else {
		c.expected = f.serviceLatency(p, r)
		c.cost = c.expected + time.Duration(r.inFlight())*costPerRequest
	}
	if r.member.Zone != f.opts.Zone {
		c.expected += crossZoneLatency
		c.overhead += crossZoneLatency
		c.zoneCost = f.crossZoneCost(p, q, &c)
		c.cost += c.zoneCost
		if f.inAvoidedZone(r, now) {
			c.cost += avoidedZoneCost
		}
	}
	if q.Resumable && r.replaced() || q.SoftwareVersion != nil && r.process.inDoubt() {
		c.cost += unknownVersionCost
	}
	c.cost += time.Duration(r.failureRate * float64(failureCost))
	if r.rejections.rejecting(now) {
		c.cost += max(r.rejections.retryAt.Sub(now), 0) // the one that may accept first
	}
	c.cost += time.Duration(f.random.Int64N(int64(costJitter)))
	return c
}

// serviceLatency returns the expected latency of a plain service.
func (f *Fleet) serviceLatency(p *pool, r *replica) time.Duration {
	slots := max(r.member.Slots, 1)
	waiting := max(r.inFlight()+1-slots, 0)
	rounds := 1 + float64(waiting)/float64(slots)
	return time.Duration(rounds * r.slowness * float64(p.meanLatency))
}
