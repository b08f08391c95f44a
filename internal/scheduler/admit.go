package scheduler

import (
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
)

const (
	// replicaGrace is how long a pool may be without any replica before its
	// requests are refused; it covers a replica's restart of its connection and
	// one late report.
	replicaGrace = 2 * time.Second
	// minFinishes is the number of answers that an estimate of the service rate
	// needs before a request is refused because of it.
	minFinishes = 8
	// minLowerRate is the least part of the service rate that a class is assumed
	// to get beside higher tiers.
	minLowerRate  = 0.05
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = time.Minute
	noBundleRetry = time.Second
	// teamSpacing is the part of a class's target by which each outstanding
	// request of a team with a mean entitlement moves its next one back.
	teamSpacing = 1.0 / 16
	// minWeight and maxWeight bound a team's entitlement relative to the mean.
	minWeight = 1.0 / 16
	maxWeight = 16
)

// admit checks the request and queues it, or returns why it is refused.
func (s *Scheduler) admit(t *Ticket) *scheduling.RefusedError {
	r := &t.request
	if s.snapshot == nil || !s.translate(r) {
		return &scheduling.RefusedError{Reason: scheduling.ReasonNoReplica, RetryAfter: noBundleRetry}
	}
	t.class = s.classes[r.Class]
	if r.Deadline.IsZero() {
		r.Deadline = r.Arrived.Add(t.class.Deadline.Std())
	}
	t.enqueued = s.opts.Clock.Now()
	t.team = s.limiter.Team(r.Team)
	t.lane = s.lane(s.pool(r), t.class, len(r.Exclude) > 0)
	if !r.AdmittedBefore() {
		t.lane.demand.Requests++
	}
	t.charge = t.expectedTokens()
	if refused := s.check(t); refused != nil {
		t.lane.demand.Refused++
		return refused
	}
	s.enter(t)
	return nil
}

// translate makes the request's indexes refer to the bundle in force.
func (s *Scheduler) translate(r *scheduling.Request) bool {
	if r.Generation != 0 && r.Generation != s.snapshot.Generation {
		if s.previous == nil || s.previous.Generation != r.Generation {
			return false
		}
		return inRange(r, s.previous.Bundle) && remap(r, s.previous, s.snapshot)
	}
	return inRange(r, s.snapshot.Bundle)
}

func inRange(r *scheduling.Request, b *bundle.Bundle) bool {
	if r.Class < 0 || r.Class >= len(b.Classes) || r.Team < 0 || r.Team >= len(b.Teams) {
		return false
	}
	for _, u := range r.Upstreams {
		if u < 0 || u >= len(b.Upstreams) {
			return false
		}
	}
	return len(r.Upstreams) > 0
}

// expectedTokens returns the tokens to charge for what is left of the answer: the
// mean, as the median of skewed lengths lets a team overdraw its limit until the
// answers end.
func (t *Ticket) expectedTokens() int {
	r := &t.request
	if r.Model == "" {
		return 0
	}
	tokens := t.lane.series.Estimate().TokensMean
	if r.MaxTokens > 0 {
		tokens = min(tokens, r.MaxTokens)
	}
	return max(tokens-r.Progress, 1)
}

func (s *Scheduler) check(t *Ticket) *scheduling.RefusedError {
	r := &t.request
	p := t.lane.pool
	if refused := s.picker.Refusal(r); refused != nil {
		return refused
	}
	if s.unreachable(p) {
		return &scheduling.RefusedError{Reason: scheduling.ReasonNoReplica, RetryAfter: replicaGrace}
	}
	if t.giveUp().Before(t.enqueued) {
		return s.refusal(t, scheduling.ReasonDeadline)
	}
	if r.Preempted {
		return nil
	}
	if r.Attempt > 0 {
		return s.checkRetry(t)
	}
	return s.checkNew(t)
}

func (s *Scheduler) checkRetry(t *Ticket) *scheduling.RefusedError {
	if t.request.PreviousNotRun {
		return nil
	}
	if wait, ok := t.class.budget.Allow(); !ok {
		return &scheduling.RefusedError{Reason: scheduling.ReasonRetryBudget, RetryAfter: wait}
	}
	return nil
}

func (s *Scheduler) checkNew(t *Ticket) *scheduling.RefusedError {
	if s.tuning.earlyRefusal {
		wait := s.expectedWait(t.lane.pool, t.class)
		if wait > 0 && t.enqueued.Add(wait+t.lane.series.Estimate().ServiceP50).After(t.request.Deadline) {
			return s.refusal(t, scheduling.ReasonDeadline)
		}
	}
	if wait, ok := t.team.Check(t.charge); !ok {
		return &scheduling.RefusedError{Reason: scheduling.ReasonTeamLimit, RetryAfter: clampRetry(wait)}
	}
	if t.class.waiting >= t.class.maxQueue() && !s.displace(t.class) {
		return s.refusal(t, scheduling.ReasonQueueFull)
	}
	t.class.budget.First()
	return nil
}

// giveUp returns the time at which the request can no longer be served by its
// deadline even by one of the fastest answers.
func (t *Ticket) giveUp() time.Time {
	if t.request.Progress > 0 {
		return t.request.Deadline
	}
	return t.request.Deadline.Add(-t.lane.series.Estimate().ServiceP10)
}

func (s *Scheduler) unreachable(p *pool) bool {
	return !p.emptyFrom.IsZero() && s.opts.Clock.Since(p.emptyFrom) >= replicaGrace
}

// enter charges the request and queues it.
func (s *Scheduler) enter(t *Ticket) {
	c := t.class
	t.team.Begin(t.charge)
	t.startBy = s.startBy(t)
	t.order.Key = s.orderKey(t)
	t.expiry.Key = t.giveUp().UnixNano()
	t.expiry.Value = t
	s.expiry.Push(&t.expiry)
	s.attach(t, t.lane)
	c.queued.push(t)
	c.waiting++
	c.outstanding[t.team]++
	upstreams := t.lane.pool.upstreams
	for _, u := range upstreams {
		u.arrivals[c.Tier].add(1 / float64(len(upstreams)))
	}
}

// startBy returns the time by which a replica must be found so that the class's
// target can be met. A continued stream has begun already and is never late.
func (s *Scheduler) startBy(t *Ticket) time.Time {
	if t.request.Progress > 0 || t.request.Preempted || !s.tuning.freshFirst {
		return t.request.Deadline
	}
	estimate := t.lane.series.Estimate()
	needed := estimate.FirstToken
	if t.class.FirstTokenTarget == 0 {
		needed = estimate.ServiceP50
	}
	return t.request.Arrived.Add(t.class.target() - needed)
}

// orderKey returns the place in the lane: the deadline, moved back for each
// request that the team already has waiting or running, in inverse proportion to
// its entitlement. Teams that ask for more than their part then queue behind the
// others but still come up, since the delay is finite.
func (s *Scheduler) orderKey(t *Ticket) int64 {
	if s.tuning.fifo {
		s.sequence++
		return s.sequence
	}
	key := t.request.Deadline.UnixNano()
	if !s.tuning.fairness || t.request.Preempted {
		return key
	}
	weight := s.snapshot.Bundle.Teams[t.request.Team].TokensPerSecond / s.meanEntitlement
	weight = min(max(weight, minWeight), maxWeight)
	spacing := teamSpacing * float64(t.class.target()) / weight
	return key + int64(spacing*float64(t.class.outstanding[t.team]))
}

// displace refuses the newest waiting request of the lowest tier below the
// class's own to make room for one of the class.
func (s *Scheduler) displace(c *class) bool {
	for tier := bundle.MaxTier; tier > c.Tier; tier-- {
		for _, other := range s.classes {
			if other.Tier != tier {
				continue
			}
			if victim := other.newestNew(); victim != nil {
				s.refuse(victim, s.refusal(victim, scheduling.ReasonQueueFull))
				return true
			}
		}
	}
	return false
}

// newestNew returns the newest waiting request that has not run yet.
func (c *class) newestNew() *Ticket {
	for t := c.queued.newest; t != nil; t = t.older {
		if !t.request.AdmittedBefore() {
			return t
		}
	}
	return nil
}

// refusal returns a refusal whose retry time is when the queue ahead should have
// been served.
func (s *Scheduler) refusal(t *Ticket, reason string) *scheduling.RefusedError {
	wait := s.expectedWait(t.lane.pool, t.class)
	if reason == scheduling.ReasonDeadline && !t.request.Arrived.IsZero() {
		allowed := t.request.Deadline.Sub(t.request.Arrived) - t.lane.series.Estimate().ServiceP50
		wait -= max(allowed, 0)
	}
	return &scheduling.RefusedError{Reason: reason, RetryAfter: clampRetry(wait)}
}

func clampRetry(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
