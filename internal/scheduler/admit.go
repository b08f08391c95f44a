package scheduler

import (
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
)

const (
	// replicaGracePeriod is how long a pool may be without a replica that can serve
	// before its requests are refused. It covers a replica's reconnection and one
	// late report.
	replicaGracePeriod = 2 * time.Second
	// minServiceSamples is the number of observed service times that the service
	// rate needs before requests may be refused because of it.
	minServiceSamples = 8
	// minLowerTierRateFraction is the minimum fraction of the service rate that a
	// class is assumed to get when higher tiers take the rest.
	minLowerTierRateFraction = 0.05
	// minRetryAfter and maxRetryAfter bound the RetryAfter of refusals for a
	// missed deadline, a team limit or a full queue.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = time.Minute
	// noBundleRetryAfter is the RetryAfter while the host has no bundle, or when the
	// request cannot be converted to the current one.
	noBundleRetryAfter = time.Second
	// teamSpacingFraction is the fraction of the class's target by which each
	// outstanding request of a team with the mean entitlement delays the sort key
	// of the team's next request.
	teamSpacingFraction = 1.0 / 16
	// minTeamWeight and maxTeamWeight bound the ratio of a team's entitlement
	// (tokens_per_second) to the mean entitlement.
	minTeamWeight = 1.0 / 16
	maxTeamWeight = 16
)

// admit checks the request and queues it, or returns its refusal.
func (s *Scheduler) admit(t *Ticket) *scheduling.RefusedError {
	r := &t.request
	if s.snapshot == nil || !s.remapToCurrent(r) {
		return &scheduling.RefusedError{Reason: scheduling.ReasonNoReplica, RetryAfter: noBundleRetryAfter}
	}
	t.class = s.classes[r.Class]
	if r.Deadline.IsZero() {
		r.Deadline = r.Arrived.Add(t.class.Deadline.Std())
	}
	t.enqueuedAt = s.opts.Clock.Now()
	t.team = s.limiter.Team(r.Team)
	t.classQueue = s.classQueue(s.pool(r), t.class, len(r.Exclude) > 0)
	if !r.AdmittedBefore() {
		t.classQueue.demand.Requests++
	}
	t.chargedTokens = t.expectedTokens()
	if refused := s.admissionRefusal(t); refused != nil {
		t.classQueue.demand.Refused++
		return refused
	}
	s.enqueueAdmitted(t)
	return nil
}

// remapToCurrent converts the request's indexes to those of the current bundle. It
// returns false when that is not possible. A request with generation 0 is taken to
// refer to the current bundle.
func (s *Scheduler) remapToCurrent(r *scheduling.Request) bool {
	if r.Generation != 0 && r.Generation != s.snapshot.Generation {
		if s.previousSnapshot == nil || s.previousSnapshot.Generation != r.Generation {
			return false
		}
		return indexesInRange(r, s.previousSnapshot.Bundle) && remap(r, s.previousSnapshot, s.snapshot)
	}
	return indexesInRange(r, s.snapshot.Bundle)
}

// indexesInRange reports whether all indexes of the request exist in the bundle and
// it names at least one upstream.
func indexesInRange(r *scheduling.Request, b *bundle.Bundle) bool {
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

// expectedTokens returns the number of tokens to charge for the remainder of the
// answer. It uses the mean length: answer lengths are skewed, and with the median a
// team could exceed its limit until its answers end.
func (t *Ticket) expectedTokens() int {
	r := &t.request
	if r.Model == "" {
		return 0
	}
	tokens := t.classQueue.estimates.Estimate().TokensMean
	if r.MaxTokens > 0 {
		tokens = min(tokens, r.MaxTokens)
	}
	return max(tokens-r.Progress, 1)
}

// admissionRefusal returns the refusal of the request, or nil to admit it.
func (s *Scheduler) admissionRefusal(t *Ticket) *scheduling.RefusedError {
	r := &t.request
	p := t.classQueue.pool
	if refused := s.picker.Refusal(r); refused != nil {
		return refused
	}
	rest, resting := s.restEnds(t)
	if refused := s.noReplicaRefusal(t, s.poolUnreachable(p), rest, resting); refused != nil {
		return refused
	}
	if t.expiresAt().Before(t.enqueuedAt) {
		return s.newRefusal(t, scheduling.ReasonDeadline)
	}
	if r.Preempted {
		return nil
	}
	if r.Attempt > 0 {
		return s.retryRefusal(t)
	}
	return s.firstAttemptRefusal(t)
}

// retryRefusal applies the retry budget to a retried request. A request whose earlier
// attempt did not run is not charged to the budget.
func (s *Scheduler) retryRefusal(t *Ticket) *scheduling.RefusedError {
	if t.request.PreviousNotRun {
		return nil
	}
	if wait, ok := t.class.retryBudget.Allow(); !ok {
		return &scheduling.RefusedError{Reason: scheduling.ReasonRetryBudget, RetryAfter: wait}
	}
	return nil
}

// firstAttemptRefusal applies the deadline estimate, the team's limits and max_queue
// to a request's first attempt. It may refuse a waiting request of a lower tier to
// make room, and counts an admitted request in the retry budget.
func (s *Scheduler) firstAttemptRefusal(t *Ticket) *scheduling.RefusedError {
	if s.features.earlyRefusal {
		wait := s.expectedWait(t.classQueue.pool, t.class)
		if wait > 0 && t.enqueuedAt.Add(wait+t.classQueue.estimates.Estimate().ServiceP50).After(t.request.Deadline) {
			return s.newRefusal(t, scheduling.ReasonDeadline)
		}
	}
	if wait, ok := t.team.Check(t.chargedTokens); !ok {
		return &scheduling.RefusedError{Reason: scheduling.ReasonTeamLimit, RetryAfter: clampRetryAfter(wait)}
	}
	if t.class.waiting >= t.class.maxQueue() && !s.displace(t.class) {
		return s.newRefusal(t, scheduling.ReasonQueueFull)
	}
	t.class.retryBudget.First()
	return nil
}

// expiresAt returns the time after which even a fast answer (10th percentile of the
// service time) would miss the request's deadline. A continued stream expires at
// its deadline.
func (t *Ticket) expiresAt() time.Time {
	if t.request.Progress > 0 {
		return t.request.Deadline
	}
	return t.request.Deadline.Add(-t.classQueue.estimates.Estimate().ServiceP10)
}

// poolUnreachable reports whether the pool has had no replica that can serve for at
// least the grace period.
func (s *Scheduler) poolUnreachable(p *pool) bool {
	return !p.unreachableSince.IsZero() && s.opts.Clock.Since(p.unreachableSince) >= replicaGracePeriod
}

// enqueueAdmitted charges the request's expected tokens to its team and queues it.
func (s *Scheduler) enqueueAdmitted(t *Ticket) {
	c := t.class
	t.team.Begin(t.chargedTokens)
	t.latestStart = s.latestStart(t)
	t.queueNode.Key = s.orderKey(t)
	t.expiry.Key = t.expiresAt().UnixNano()
	t.expiry.Value = t
	s.expiry.Push(&t.expiry)
	s.addToQueue(t, t.classQueue)
	c.waitingList.push(t)
	c.waiting++
	c.outstandingByTeam[t.team]++
	upstreams := t.classQueue.pool.upstreams
	for _, u := range upstreams {
		u.arrivalRate[c.Tier].add(1 / float64(len(upstreams)))
	}
}

// latestStart returns the time by which the request must be assigned to meet the
// class's target. For a preempted or continued stream, whose answer may already have
// begun, and for every request without onTimeFirst, it is the deadline: the request
// does not count as late before.
func (s *Scheduler) latestStart(t *Ticket) time.Time {
	if t.request.Progress > 0 || t.request.Preempted || !s.features.onTimeFirst {
		return t.request.Deadline
	}
	estimate := t.classQueue.estimates.Estimate()
	expectedDuration := estimate.FirstToken
	if t.class.FirstTokenTarget == 0 {
		expectedDuration = estimate.ServiceP50
	}
	return t.request.Arrived.Add(t.class.target() - expectedDuration)
}

// orderKey returns the request's sort key in its class queue: the deadline plus a
// delay for each request that the team already has waiting or running. The delay is
// inversely proportional to the team's entitlement. Teams that exceed their fair
// share queue behind the others but do not starve, because the delay is finite.
func (s *Scheduler) orderKey(t *Ticket) int64 {
	if s.features.fifo {
		s.arrivalSequence++
		return s.arrivalSequence
	}
	key := t.request.Deadline.UnixNano()
	if !s.features.teamFairness || t.request.Preempted {
		return key
	}
	weight := s.snapshot.Bundle.Teams[t.request.Team].TokensPerSecond / s.meanEntitlement
	weight = min(max(weight, minTeamWeight), maxTeamWeight)
	spacing := teamSpacingFraction * float64(t.class.target()) / weight
	return key + int64(spacing*float64(t.class.outstandingByTeam[t.team]))
}

// displace refuses a waiting request to make room for a request of class c: the
// newest request of the lowest tier below the tier of c that is neither a retry nor
// preempted. It returns false when there is no such request.
func (s *Scheduler) displace(c *class) bool {
	for tier := bundle.MaxTier; tier > c.Tier; tier-- {
		for _, other := range s.classes {
			if other.Tier != tier {
				continue
			}
			if displaced := other.newestFirstAttempt(); displaced != nil {
				s.refuse(displaced, s.newRefusal(displaced, scheduling.ReasonQueueFull))
				return true
			}
		}
	}
	return false
}

// newestFirstAttempt returns the most recently queued request of the class that is
// neither a retry nor a preempted stream, or nil.
func (c *class) newestFirstAttempt() *Ticket {
	for t := c.waitingList.newest; t != nil; t = t.older {
		if !t.request.AdmittedBefore() {
			return t
		}
	}
	return nil
}

// newRefusal returns a refusal that advises the caller to retry when the requests
// ahead are expected to have been served. For ReasonDeadline, the wait that the
// request's deadline would have allowed is subtracted.
func (s *Scheduler) newRefusal(t *Ticket, reason string) *scheduling.RefusedError {
	wait := s.expectedWait(t.classQueue.pool, t.class)
	if reason == scheduling.ReasonDeadline && !t.request.Arrived.IsZero() {
		waitAllowed := t.request.Deadline.Sub(t.request.Arrived) - t.classQueue.estimates.Estimate().ServiceP50
		wait -= max(waitAllowed, 0)
	}
	return &scheduling.RefusedError{Reason: reason, RetryAfter: clampRetryAfter(wait)}
}

func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
