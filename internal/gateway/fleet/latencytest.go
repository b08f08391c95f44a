package fleet

import "time"

// late reports whether a first byte that is expected after the given time would leave too little time for the answer.
func (q *Request) late(expected time.Duration) bool {
	return expected > time.Duration(maxDeadlineShare*float64(q.TimeLeft))
}

// mayTest reports whether a refused request may be sent to the candidate's replica nevertheless, to measure its latency
// again: the request is refused because answers came late before. Without that, a host that refuses all requests for
// this reason would not notice that the replicas are fast again. A replica takes one such request at a time.
func (p *pool) mayTest(q *Request, c *candidate, refusal *Refusal) bool {
	return refusal.Reason == ReasonDeadline && q.late(c.expected) && !q.late(p.unmeasured(q, c)) && c.replica.latencyTest == nil
}

// unmeasured returns the latency that is expected at the candidate's replica if it is as fast as one that has not been
// measured.
func (p *pool) unmeasured(q *Request, c *candidate) time.Duration {
	if p.upstream.Engine == nil {
		return initialServiceLatency
	}
	prior := &p.speed.prior
	return prior.First + prior.step(c.replica.inFlight()) + c.backlog + prior.prefill(q.PromptTokens-c.cachedOrPendingTokens-c.copied)
}

// endLatencyTest notes that a request has measured the latency, or does not any more.
func (r *replica) endLatencyTest(l *Lease) {
	if r.latencyTest == l {
		r.latencyTest = nil
	}
}
