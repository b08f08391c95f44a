package scheduler

import (
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
)

const (
	// lateGrantInterval (for lower tiers) and topTierLateGrantInterval are the
	// numbers of grants of a class queue of which one goes to a late request, so
	// that late requests do not starve. The interval of the top tier is longer,
	// because each grant to a late request there makes others miss their target, and
	// because its queue is short.
	lateGrantInterval        = 8
	topTierLateGrantInterval = 32
	// maxBacklogTargets is the expected time to serve the backlog, in multiples of
	// the class's target, up to which late top-tier requests are kept regardless
	// of the arrival rate.
	maxBacklogTargets = 8
	// agedDeadlineFraction is the fraction of the class's deadline after which a
	// waiting request is aged and may be served before higher tiers.
	agedDeadlineFraction = 0.25
	// agedGrantInterval is the minimum number of grants of a pool between two
	// grants to aged requests.
	agedGrantInterval = 16
	// maxRestrictedPicks bounds the failed picks for a restricted queue in one
	// dispatch pass.
	maxRestrictedPicks = 4
)

// precedence is the rule by which a class queue is eligible for the next slot. Lower
// values are served first.
type precedence int

const (
	precedenceAged  precedence = iota // the oldest request has aged
	precedenceShare                   // the class runs fewer requests than its guaranteed share
	precedenceTier                    // a slot is free for the class's tier
	precedenceNone                    // no slot is available to the queue
)

// candidate is a class queue that is eligible for the next slot.
type candidate struct {
	classQueue *classQueue
	precedence precedence
	tier       int
	late       bool
	sortKey    int64 // latestStart of the next request, agedAt or FIFO position
}

// before reports whether c is served before other.
func (c *candidate) before(other *candidate) bool {
	switch {
	case other.classQueue == nil:
		return true
	case c.precedence != other.precedence:
		return c.precedence < other.precedence
	case c.tier != other.tier:
		return c.tier < other.tier
	case c.late != other.late:
		return other.late
	default:
		return c.sortKey < other.sortKey
	}
}

// dispatch assigns waiting requests of the pools to replicas until no more can be
// assigned. It considers only the next request of each class queue.
func (s *Scheduler) dispatch(pools []*pool) {
	s.pass++
	now := s.opts.Clock.Now()
	for {
		best := s.nextCandidate(pools, now)
		if best.classQueue == nil {
			return
		}
		s.tryAssign(&best)
	}
}

// nextCandidate returns the class queue to be served next. Its queue is nil when
// none is eligible.
func (s *Scheduler) nextCandidate(pools []*pool, now time.Time) candidate {
	var best candidate
	for _, p := range pools {
		if p.waiting == 0 {
			continue
		}
		for _, q := range p.queues {
			if q == nil || q.len() == 0 || q.blockedInPass == s.pass || p.blockedInPass[q.tierGroup()] == s.pass {
				continue
			}
			s.demoteLate(q, now)
			if c, ok := s.candidate(q, now); ok && c.before(&best) {
				best = c
			}
		}
	}
	return best
}

// candidate returns the class queue as a candidate, and false when it is not
// eligible for a slot.
func (s *Scheduler) candidate(q *classQueue, now time.Time) (candidate, bool) {
	if q.len() == 0 || q.pool.freeSlots(groupTop) <= 0 {
		return candidate{}, false
	}
	t := q.head()
	c := candidate{classQueue: q, tier: q.class.Tier, late: t.late, sortKey: t.latestStart.UnixNano()}
	if s.features.fifo {
		c.tier = 0
		c.sortKey = t.queueNode.Key
		c.precedence = precedenceTier
		return c, true
	}
	c.precedence = q.precedence(now)
	if c.precedence == precedenceAged {
		// The request that aged first is served first, regardless of its tier.
		// Otherwise the highest of the aged tiers would take every slot that is
		// granted because of age.
		c.tier = 0
		c.late = false
		c.sortKey = q.agedAt().UnixNano()
	}
	return c, c.precedence != precedenceNone
}

// precedence returns the rule by which the class queue may take the next slot.
func (q *classQueue) precedence(now time.Time) precedence {
	p := q.pool
	// Age takes precedence over shares. Otherwise, in a pool with fewer slots than
	// classes with a share, the highest of these classes would take every slot as
	// its share.
	if q.class.Tier > bundle.TopTier && p.grantsSinceAged >= agedGrantInterval && q.agedAt().Before(now) {
		return precedenceAged
	}
	running, slots := p.running(q.class)
	switch {
	case running < q.class.guaranteedSlots(slots):
		return precedenceShare
	case p.freeSlots(q.tierGroup()) <= 0:
		return precedenceNone
	case q.class.Tier > bundle.TopTier && (p.freeSlots(groupTop) <= p.headroom || p.lowerTierAllowance <= 0):
		return precedenceNone
	default:
		return precedenceTier
	}
}

// agedAt returns the time from which the oldest request of the class queue may be
// served before higher tiers.
func (q *classQueue) agedAt() time.Time {
	agedAfter := time.Duration(agedDeadlineFraction * float64(q.class.Deadline.Std()))
	return q.oldest().enqueuedAt.Add(agedAfter)
}

// oldest returns the next late request or, without late requests, the next on-time
// request. It approximates the request that has waited longest without a search.
func (q *classQueue) oldest() *Ticket {
	if n := q.late.Min(); n != nil {
		return n.Value
	}
	return q.onTime.Min().Value
}

// lateGrantInterval returns the constant for the class's tier: the number of grants of
// which one goes to a late request.
func (c *class) lateGrantInterval() int {
	if c.Tier == bundle.TopTier {
		return topTierLateGrantInterval
	}
	return lateGrantInterval
}

// head returns the next request of the class queue: the first on-time request, or the
// first late one when there is no on-time request or after lateGrantInterval()-1
// on-time grants.
func (q *classQueue) head() *Ticket {
	late := q.late.Min()
	onTime := q.onTime.Min()
	if onTime == nil || late != nil && q.onTimeGrants >= q.class.lateGrantInterval()-1 {
		return late.Value
	}
	return onTime.Value
}

// demoteLate moves requests that can no longer meet the class's target from the
// on-time heap to the late heap, and refuses those that are then expected to miss
// their deadline.
func (s *Scheduler) demoteLate(q *classQueue, now time.Time) {
	for n := q.onTime.Min(); n != nil; n = q.onTime.Min() {
		t := n.Value
		if !t.latestStart.Before(now) {
			return
		}
		s.removeFromQueue(t)
		t.late = true
		s.addToQueue(t, q)
		if s.features.earlyRefusal && s.willMissDeadline(t, now) {
			s.refuse(t, s.newRefusal(t, scheduling.ReasonDeadline))
		}
	}
}

// willMissDeadline reports whether a late request is expected to miss its deadline.
func (s *Scheduler) willMissDeadline(t *Ticket, now time.Time) bool {
	q := t.classQueue
	remaining := t.request.Deadline.Sub(now) - q.estimates.Estimate().ServiceP50
	if q.class.Tier == bundle.TopTier {
		// The request is kept while the backlog is short enough to be served in
		// time. The expected late wait alone could refuse it wrongly: it depends on
		// the arrival rate, which may fall, because callers that wait for an answer
		// send no further requests.
		if backlog := s.expectedBacklog(q.pool, q.class); backlog <= min(remaining, maxBacklogTargets*q.class.target()) {
			return false
		}
	}
	wait := s.expectedLateWait(q.pool, q.class)
	return wait > 0 && wait > remaining
}

// tryAssign asks the picker for a replica for the candidate's next request and
// grants the request if there is one.
func (s *Scheduler) tryAssign(c *candidate) {
	q := c.classQueue
	t := q.head()
	if c.precedence == precedenceAged {
		t = q.oldest()
	}
	// Aged requests and classes below their share may use the picker's reserve.
	t.request.UseReserve = c.precedence < precedenceTier
	choice, ok := s.picker.Pick(&t.request)
	if !ok {
		s.handleFailedPick(q, t)
		return
	}
	p := q.pool
	p.grantsSinceAged++
	if c.precedence == precedenceAged {
		p.grantsSinceAged = 0
	}
	q.onTimeGrants++
	if t.late {
		q.onTimeGrants = 0
	}
	s.grant(t, choice)
}

// handleFailedPick handles a request that no replica can take now. If the pool
// still has free slots for its tier group, the request moves to the restricted
// queue; otherwise the tier group is blocked for the rest of the pass.
func (s *Scheduler) handleFailedPick(q *classQueue, t *Ticket) {
	if q.restricted {
		s.moveToBack(q, t)
		return
	}
	s.refreshSlots(q.pool)
	if q.pool.freeSlots(q.tierGroup()) <= 0 {
		q.pool.blockedInPass[q.tierGroup()] = s.pass
		return
	}
	s.removeFromQueue(t)
	s.addToQueue(t, s.classQueue(q.pool, q.class, true))
}

// moveToBack moves a request behind the others of its restricted queue. After
// maxRestrictedPicks failed picks, or one per waiting request if that is fewer, the
// queue is blocked for the rest of the pass.
func (s *Scheduler) moveToBack(q *classQueue, t *Ticket) {
	s.removeFromQueue(t)
	t.queueNode.Key = s.opts.Clock.Now().Add(q.class.Deadline.Std()).UnixNano()
	s.addToQueue(t, q)
	q.failedPicks++
	if q.failedPicks >= min(maxRestrictedPicks, q.len()) {
		q.failedPicks = 0
		q.blockedInPass = s.pass
	}
}

// grant assigns the chosen replica to the ticket's request.
func (s *Scheduler) grant(t *Ticket, choice scheduling.Choice) {
	now := s.opts.Clock.Now()
	s.dequeue(t)
	a := &t.assignment
	a.Replica = choice.Replica
	a.Address = choice.Address
	a.Decision = choice.Decision
	a.cachedTokens = choice.CachedTokens
	a.ticket = t
	a.upstream = s.upstream(choice.Replica.Upstream)
	a.grantedAt = now
	a.lastFlush = now
	s.addRunning(a)
	t.classQueue.pool.takeSlot(a.upstream)
	if a.tier > bundle.TopTier {
		t.classQueue.pool.lowerTierAllowance--
	}
	t.resolve(granted)
}
