package scheduler

import (
	"time"

	"golang.org/x/time/rate"

	"heatherbarrow/internal/bundle"
)

const (
	// maxPreemptions is the maximum number of times that a request is preempted, so
	// that every request eventually completes.
	maxPreemptions = 3
	// minRunTime is the minimum time that a request runs before it may be
	// preempted. Earlier preemption would discard the prefill before the request
	// has made any progress.
	minRunTime = 500 * time.Millisecond
	// minPreemptionsPerSecond is the lower bound of a pool's preemption rate limit.
	minPreemptionsPerSecond = 2
	// preemptedSlotsFraction is the fraction of a pool's slots that may be preempted
	// per second.
	preemptedSlotsFraction = 0.25
	// maxVictimsScanned is the number of running requests of a tier that are
	// examined per upstream to find the cheapest one to preempt.
	maxVictimsScanned = 32
	// wasteFraction is the fraction of the computed tokens that preemption may
	// discard. It stays below the design limit of 1% of the computed tokens for
	// wasted work of all kinds.
	wasteFraction = 0.008
	// maxWasteTokens caps the waste budget, which accumulates while nothing is
	// preempted. A stream that costs more may be preempted when the budget is at
	// the cap; the budget is then negative and must recover before the next
	// preemption.
	maxWasteTokens = 6_000
	// initialWasteTokens is the initial waste budget of a host: enough to preempt
	// streams with short prompts.
	initialWasteTokens = 1_000
)

// preempt interrupts lower-tier streams when more top-tier requests wait in the
// pool than slots are expected to become free in time for their target.
func (s *Scheduler) preempt(p *pool) {
	// Late requests count as well. Otherwise a request that missed its target
	// because no victim had reached minRunTime would wait for a long answer to end.
	waiting := p.waitingByTier[bundle.TopTier].onTime + p.waitingByTier[bundle.TopTier].late
	if !s.features.preemption || waiting == 0 {
		return
	}
	now := s.opts.Clock.Now()
	needed := waiting - s.expectedReleases(p, now)
	if needed <= 0 {
		return
	}
	s.updatePreemptionLimit(p, now)
	for range needed {
		victim := s.victim(p, now)
		if victim == nil || s.wasteBudget < min(float64(victim.recomputeCost()), maxWasteTokens) || !p.preemptionLimiter.AllowN(now, 1) {
			return
		}
		s.wasteBudget -= float64(victim.recomputeCost())
		victim.preempt()
	}
}

// expectedReleases returns the number of slots that are expected to become free
// before the first waiting top-tier request must start, including those that
// preempted requests are about to release.
func (s *Scheduler) expectedReleases(p *pool, now time.Time) int {
	slack := time.Duration(0)
	for _, q := range p.queues {
		if q == nil || q.class.Tier != bundle.TopTier || q.onTime.Len() == 0 {
			continue
		}
		untilLatestStart := q.onTime.Min().Value.latestStart.Sub(now)
		if slack == 0 || untilLatestStart < slack {
			slack = untilLatestStart
		}
	}
	releaseRate := 0.0
	pendingPreemptions := 0
	for _, u := range p.upstreams {
		releaseRate += u.releaseRate.perSecond
		pendingPreemptions += u.pendingPreemptions
	}
	return pendingPreemptions + int(releaseRate*max(slack, 0).Seconds())
}

// updatePreemptionLimit adapts the pool's preemption rate limit to its slots.
func (s *Scheduler) updatePreemptionLimit(p *pool, now time.Time) {
	limit := max(minPreemptionsPerSecond, int(preemptedSlotsFraction*float64(p.total)))
	if p.preemptionLimiter.Burst() != limit {
		p.preemptionLimiter.SetLimitAt(now, rate.Limit(limit))
		p.preemptionLimiter.SetBurstAt(now, limit)
	}
}

// victim returns the running request to preempt, or nil if there is none: the
// request of the lowest tier that is cheapest to continue on another replica.
func (s *Scheduler) victim(p *pool, now time.Time) *Assignment {
	for tier := bundle.MaxTier; tier > bundle.TopTier; tier-- {
		var best *Assignment
		for _, u := range p.upstreams {
			best = u.runningByTier[tier].cheapest(p, now, best)
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// cheapest returns the request of the list that is cheapest to preempt, or best if
// none is cheaper. It examines only the most recently granted requests, because they
// have generated the fewest tokens in their current attempt, which recomputeCost
// leaves out.
func (l *assignmentList) cheapest(p *pool, now time.Time, best *Assignment) *Assignment {
	a := l.newest
	for range maxVictimsScanned {
		if a == nil {
			break
		}
		if a.mayPreempt(p, now) && (best == nil || a.recomputeCost() < best.recomputeCost()) {
			best = a
		}
		a = a.older
	}
	return best
}

// mayPreempt reports whether the request may be preempted. A class is never
// brought below its guaranteed share, because it would be granted the next free
// slot anyway.
func (a *Assignment) mayPreempt(p *pool, now time.Time) bool {
	if a.isPreempted || !a.preemptible() || a.ticket.request.Preemptions >= maxPreemptions {
		return false
	}
	if now.Sub(a.grantedAt) < minRunTime {
		return false
	}
	running, slots := p.running(a.ticket.class)
	return running > a.ticket.class.guaranteedSlots(slots)
}

// recomputeCost estimates the number of tokens that another replica must recompute
// to continue the stream. Prompt tokens that were in this replica's prompt cache are
// subtracted, because they are likely to be in another replica's cache as well.
// Tokens generated in the current attempt are left out, because they are few
// compared with a prompt.
func (a *Assignment) recomputeCost() int {
	return a.ticket.request.PromptTokens - a.cachedTokens + a.ticket.request.Progress
}

// creditWasteBudget increases the waste budget in proportion to the computed
// tokens.
func (s *Scheduler) creditWasteBudget(computed int) {
	s.wasteBudget = min(s.wasteBudget+wasteFraction*float64(computed), maxWasteTokens)
}

// preempt marks the assignment as preempted and notifies the caller that holds it.
func (a *Assignment) preempt() {
	a.isPreempted = true
	a.upstream.pendingPreemptions++
	if a.preemptedCh != nil {
		close(a.preemptedCh)
	}
}
