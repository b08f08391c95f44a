package scheduler

import (
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
)

const (
	// lateInterval is the number of grants of a lane of which one goes to a
	// request that can no longer meet its target, so that none starves. The top
	// tier's is longer: each grant to a late request there delays others past
	// their target, and its queue is short.
	lateInterval    = 8
	topLateInterval = 32
	// backlogTargets is the backlog, in targets of the class, up to which the top
	// tier's late requests are kept whatever the arrivals are.
	backlogTargets = 8
	// ageFraction is the part of its deadline after which a waiting request may
	// go before higher tiers.
	ageFraction = 0.25
	// agedInterval is the number of grants of a pool of which at most one is made
	// because of age.
	agedInterval = 16
	// restrictedTries bounds the picks for a restricted lane in one pass.
	restrictedTries = 4
)

// phase is the reason for which a lane gets the next slot; lower goes first.
type phase int

const (
	phaseAged  phase = iota // the class waits too long
	phaseShare              // the class runs fewer requests than its share
	phaseTier
	phaseNone // no slot for the lane
)

type candidate struct {
	lane  *lane
	phase phase
	tier  int
	late  bool
	by    int64 // earliest start that meets the target, or place in the order
}

func (c *candidate) before(other *candidate) bool {
	switch {
	case other.lane == nil:
		return true
	case c.phase != other.phase:
		return c.phase < other.phase
	case c.tier != other.tier:
		return c.tier < other.tier
	case c.late != other.late:
		return other.late
	default:
		return c.by < other.by
	}
}

// dispatch assigns waiting requests of the pools to replicas until none can be.
// It looks only at the first request of each lane.
func (s *Scheduler) dispatch(pools []*pool) {
	s.pass++
	now := s.opts.Clock.Now()
	for {
		best := s.next(pools, now)
		if best.lane == nil {
			return
		}
		s.serve(&best)
	}
}

func (s *Scheduler) next(pools []*pool, now time.Time) candidate {
	var best candidate
	for _, p := range pools {
		if p.waiting == 0 {
			continue
		}
		for _, l := range p.lanes {
			if l == nil || l.len() == 0 || l.blocked == s.pass || p.blocked[l.level()] == s.pass {
				continue
			}
			s.demote(l, now)
			if c, ok := s.candidate(l, now); ok && c.before(&best) {
				best = c
			}
		}
	}
	return best
}

func (s *Scheduler) candidate(l *lane, now time.Time) (candidate, bool) {
	if l.len() == 0 || l.pool.free(levelTop) <= 0 {
		return candidate{}, false
	}
	t := l.head()
	c := candidate{lane: l, tier: l.class.Tier, late: t.late, by: t.startBy.UnixNano()}
	if s.tuning.fifo {
		c.tier = 0
		c.by = t.order.Key
		c.phase = phaseTier
		return c, true
	}
	c.phase = l.phase(now)
	if c.phase == phaseAged {
		// The one that is due longest goes first, whatever its tier: else the
		// highest of the aged tiers would take every slot given by age.
		c.tier = 0
		c.late = false
		c.by = l.agesAt().UnixNano()
	}
	return c, c.phase != phaseNone
}

func (l *lane) phase(now time.Time) phase {
	p := l.pool
	// Age goes before the shares: in a pool with fewer slots than classes with a
	// share, the highest of these classes would take every slot as its share.
	if l.class.Tier > bundle.TopTier && p.sinceAged >= agedInterval && l.agesAt().Before(now) {
		return phaseAged
	}
	running, slots := p.running(l.class)
	switch {
	case running < l.class.guaranteed(slots):
		return phaseShare
	case p.free(l.level()) <= 0:
		return phaseNone
	case l.class.Tier > bundle.TopTier && (p.free(levelTop) <= p.headroom || p.allowance <= 0):
		return phaseNone
	default:
		return phaseTier
	}
}

// agesAt returns when the lane's oldest request may go before higher tiers.
func (l *lane) agesAt() time.Time {
	limit := time.Duration(ageFraction * float64(l.class.Deadline.Std()))
	return l.oldest().enqueued.Add(limit)
}

// oldest returns the request that has waited longest, as far as the heads tell.
func (l *lane) oldest() *Ticket {
	if n := l.late.Min(); n != nil {
		return n.Value
	}
	return l.fresh.Min().Value
}

func (c *class) lateInterval() int {
	if c.Tier == bundle.TopTier {
		return topLateInterval
	}
	return lateInterval
}

// head returns the lane's next request.
func (l *lane) head() *Ticket {
	late := l.late.Min()
	fresh := l.fresh.Min()
	if fresh == nil || late != nil && l.turns >= l.class.lateInterval()-1 {
		return late.Value
	}
	return fresh.Value
}

// demote moves requests from the front that can no longer meet the class's target
// behind those that can, and refuses those that cannot be served by their
// deadline from there.
func (s *Scheduler) demote(l *lane, now time.Time) {
	for n := l.fresh.Min(); n != nil; n = l.fresh.Min() {
		t := n.Value
		if !t.startBy.Before(now) {
			return
		}
		s.leave(t)
		t.late = true
		s.attach(t, l)
		if s.tuning.earlyRefusal && s.hopeless(t, now) {
			s.refuse(t, s.refusal(t, scheduling.ReasonDeadline))
		}
	}
}

// hopeless tells whether a late request is not expected to be served by its deadline.
func (s *Scheduler) hopeless(t *Ticket, now time.Time) bool {
	l := t.lane
	left := t.request.Deadline.Sub(now) - l.series.Estimate().ServiceP50
	if l.class.Tier == bundle.TopTier {
		// Callers that wait send nothing else, so that the arrivals, on which the
		// late wait rests, may fall.
		if all := s.expectedBacklog(l.pool, l.class); all <= min(left, backlogTargets*l.class.target()) {
			return false
		}
	}
	wait := s.expectedLateWait(l.pool, l.class)
	return wait > 0 && wait > left
}

// serve tries to assign the lane's next request.
func (s *Scheduler) serve(c *candidate) {
	l := c.lane
	t := l.head()
	if c.phase == phaseAged {
		t = l.oldest()
	}
	t.request.UseReserve = c.phase < phaseTier
	choice, ok := s.picker.Pick(&t.request)
	if !ok {
		s.passOver(l, t)
		return
	}
	p := l.pool
	p.sinceAged++
	if c.phase == phaseAged {
		p.sinceAged = 0
	}
	l.turns++
	if t.late {
		l.turns = 0
	}
	s.grant(t, choice)
}

// passOver handles a request that no replica can take now. If others of its pool
// still find a slot, it moves to the restricted lane; else the pool is full.
func (s *Scheduler) passOver(l *lane, t *Ticket) {
	if l.restricted {
		s.rotate(l, t)
		return
	}
	s.refresh(l.pool)
	if l.pool.free(l.level()) <= 0 {
		l.pool.blocked[l.level()] = s.pass
		return
	}
	s.leave(t)
	s.attach(t, s.lane(l.pool, l.class, true))
}

// rotate puts a request behind the others of its restricted lane and ends the
// lane's part in this pass after a few tries.
func (s *Scheduler) rotate(l *lane, t *Ticket) {
	s.leave(t)
	t.order.Key = s.opts.Clock.Now().Add(l.class.Deadline.Std()).UnixNano()
	s.attach(t, l)
	l.failures++
	if l.failures >= min(restrictedTries, l.len()) {
		l.failures = 0
		l.blocked = s.pass
	}
}

// grant turns the ticket into an assignment.
func (s *Scheduler) grant(t *Ticket, choice scheduling.Choice) {
	now := s.opts.Clock.Now()
	s.detach(t)
	a := &t.assigned
	a.Replica = choice.Replica
	a.Address = choice.Address
	a.Decision = choice.Decision
	a.cached = choice.CachedTokens
	a.ticket = t
	a.upstream = s.upstream(choice.Replica.Upstream)
	a.grantedAt = now
	a.flushed = now
	s.enterUpstream(a)
	t.lane.pool.take(a.upstream)
	if a.tier > bundle.TopTier {
		t.lane.pool.allowance--
	}
	t.end(granted)
}
