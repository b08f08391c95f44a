package scheduler

import (
	"time"

	"golang.org/x/time/rate"

	"heatherbarrow/internal/bundle"
)

const (
	// maxPreemptions bounds how often one request is preempted, so that each
	// makes progress in the end.
	maxPreemptions = 3
	// minRun is how long a request runs at least before it is preempted; less
	// would throw away its prompt's computation for nothing.
	minRun = 500 * time.Millisecond
	// minPreemptionRate is the least bound of preemptions per second in a pool.
	minPreemptionRate = 2
	// preemptionFraction of a pool's slots may be preempted per second.
	preemptionFraction = 0.25
	// victimScan bounds how many running requests of a tier are looked at.
	victimScan = 32
	// wasteShare is the part of the computed tokens that preemption may throw
	// away; the design allows 1% of wasted work in all.
	wasteShare = 0.008
	// maxWaste bounds the tokens saved up for preemptions in a quiet time. A
	// stream that costs more may be preempted once that many are saved; the debt
	// is earned before the next one.
	maxWaste = 6_000
	// startWaste is what a host that has computed nothing yet may throw away:
	// enough for streams with short prompts.
	startWaste = 1_000
)

// preempt interrupts lower-tier streams when top-tier requests wait in the pool
// and fewer slots become free in time for their target than they need.
func (s *Scheduler) preempt(p *pool) {
	// Late requests count too: one that misses its target because a victim had
	// not run long enough would else wait for the end of a long answer.
	waiting := p.tiers[bundle.TopTier].fresh + p.tiers[bundle.TopTier].late
	if !s.tuning.preemption || waiting == 0 {
		return
	}
	now := s.opts.Clock.Now()
	needed := waiting - s.freedInTime(p, now)
	if needed <= 0 {
		return
	}
	s.adjustLimit(p, now)
	for range needed {
		victim := s.victim(p, now)
		if victim == nil || s.waste < min(float64(victim.cost()), maxWaste) || !p.limiter.AllowN(now, 1) {
			return
		}
		s.waste -= float64(victim.cost())
		victim.preempt()
	}
}

// freedInTime returns the slots that should become free before the first waiting
// top-tier request must start, with those being freed by preemption.
func (s *Scheduler) freedInTime(p *pool, now time.Time) int {
	slack := time.Duration(0)
	for _, l := range p.lanes {
		if l == nil || l.class.Tier != bundle.TopTier || l.fresh.Len() == 0 {
			continue
		}
		by := l.fresh.Min().Value.startBy.Sub(now)
		if slack == 0 || by < slack {
			slack = by
		}
	}
	finished := 0.0
	pending := 0
	for _, u := range p.upstreams {
		finished += u.finished.perSecond
		pending += u.pending
	}
	return pending + int(finished*max(slack, 0).Seconds())
}

func (s *Scheduler) adjustLimit(p *pool, now time.Time) {
	limit := max(minPreemptionRate, int(preemptionFraction*float64(p.total)))
	if p.limiter.Burst() != limit {
		p.limiter.SetLimitAt(now, rate.Limit(limit))
		p.limiter.SetBurstAt(now, limit)
	}
}

// victim returns the running request to preempt: of the lowest tier, and in it the
// one that is the cheapest to continue elsewhere.
func (s *Scheduler) victim(p *pool, now time.Time) *Assignment {
	for tier := bundle.MaxTier; tier > bundle.TopTier; tier-- {
		var best *Assignment
		for _, u := range p.upstreams {
			best = u.lists[tier].cheapest(p, now, best)
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// cheapest returns the request of the list that costs the least to preempt, or best
// when none costs less. It looks at those that started last, which lose the least.
func (l *assignmentList) cheapest(p *pool, now time.Time, best *Assignment) *Assignment {
	a := l.newest
	for range victimScan {
		if a == nil {
			break
		}
		if a.mayPreempt(p, now) && (best == nil || a.cost() < best.cost()) {
			best = a
		}
		a = a.older
	}
	return best
}

// mayPreempt tells whether the request may be interrupted. A class is never
// brought below its guaranteed share, as the next free slot would be its again.
func (a *Assignment) mayPreempt(p *pool, now time.Time) bool {
	if a.isPreempted || !a.preemptible() || a.ticket.request.Preemptions >= maxPreemptions {
		return false
	}
	if now.Sub(a.grantedAt) < minRun {
		return false
	}
	running, slots := p.running(a.ticket.class)
	return running > a.ticket.class.guaranteed(slots)
}

// cost returns the tokens that another replica computes again to continue the
// stream, less those that it is expected to hold: a prompt that this replica had in
// its cache is likely to be in another's as well. Those of this attempt come on top
// but are few next to a prompt.
func (a *Assignment) cost() int {
	return a.ticket.request.PromptTokens - a.cached + a.ticket.request.Progress
}

// earnWaste adds to the tokens that preemption may throw away.
func (s *Scheduler) earnWaste(computed int) {
	s.waste = min(s.waste+wasteShare*float64(computed), maxWaste)
}

func (a *Assignment) preempt() {
	a.isPreempted = true
	a.upstream.pending++
	if a.preempted != nil {
		close(a.preempted)
	}
}
