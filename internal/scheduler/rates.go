package scheduler

import (
	"math"
	"time"

	"heatherbarrow/internal/bundle"
)

const (
	// headroomQuantile is the number of standard deviations above the mean number
	// of arrivals that the headroom covers: the 99% quantile of the normal
	// distribution.
	headroomQuantile = 2.33
	// maxHeadroomFraction is the maximum headroom as a fraction of the pool's slots.
	maxHeadroomFraction = 0.25
	// headroomWindowFraction is the fraction of a top-tier class's target within
	// which its requests must find a slot.
	headroomWindowFraction = 0.5
)

// updateRates updates the arrival and release rates of all upstreams.
func (s *Scheduler) updateRates() {
	now := s.opts.Clock.Now()
	elapsed := now.Sub(s.lastTick)
	if elapsed <= 0 {
		return
	}
	s.lastTick = now
	for _, u := range s.upstreams {
		u.releaseRate.update(elapsed)
		for tier := range u.arrivalRate {
			u.arrivalRate[tier].update(elapsed)
		}
	}
}

// updateHeadroom sets the number of free slots that lower tiers must leave so that
// top-tier requests find one: the 99% quantile of the arrivals within the window,
// minus the slots that become free within it.
func (s *Scheduler) updateHeadroom(p *pool) {
	p.headroom = 0
	if !s.features.headroom || p.topTierWindow == 0 {
		return
	}
	arrivalRate, releaseRate := 0.0, 0.0
	for _, u := range p.upstreams {
		arrivalRate += u.arrivalRate[bundle.TopTier].perSecond
		releaseRate += u.releaseRate.perSecond
	}
	window := p.topTierWindow.Seconds()
	expected := arrivalRate * window
	needed := expected + headroomQuantile*math.Sqrt(expected) - releaseRate*window
	p.headroom = max(0, min(int(math.Ceil(needed)), int(maxHeadroomFraction*float64(p.total))))
}

// serviceRate returns the requests per second that the pool can serve for the tier,
// or 0 when too few requests have been served for an estimate. It is the maximum of
// the measured release rate and the number of slots divided by the mean service
// time, because the measured rate of a pool that is not full is below its capacity.
// For the top tier only its own service time counts, because it may take all slots.
func (p *pool) serviceRate(tier int) float64 {
	index := 0
	if tier == bundle.TopTier {
		index = tier
	}
	releaseRate, seconds, count := 0.0, 0.0, 0
	slots := max(p.freeSlots(tierGroupOf(tier)), 0)
	for _, u := range p.upstreams {
		mean := &u.serviceTimes[index]
		releaseRate += u.releaseRate.perSecond
		seconds += mean.seconds * float64(mean.count)
		count += mean.count
		slots += u.total
	}
	if count < minServiceSamples || seconds == 0 {
		return 0
	}
	return max(releaseRate, float64(slots)*float64(count)/seconds)
}

// availableRate returns the part of the pool's service rate that remains for the
// class after the arrivals of higher tiers, in requests per second, but at least the
// class's share of the service rate or minLowerTierRateFraction of it, whichever is
// larger.
func (p *pool) availableRate(c *class) float64 {
	serviceRate := p.serviceRate(c.Tier)
	higher := 0.0
	for _, u := range p.upstreams {
		for tier := bundle.TopTier; tier < c.Tier; tier++ {
			higher += u.arrivalRate[tier].perSecond
		}
	}
	return max(serviceRate-higher, serviceRate*max(c.Share, minLowerTierRateFraction))
}

// expectedWait returns the time that a new request of the class is expected to wait
// for a replica, or 0 when a slot is free for it or there is no estimate. Of the
// class's late requests, only one in lateGrantInterval() is counted, because the new
// request is on time and the others are expected to be served after it.
func (s *Scheduler) expectedWait(p *pool, c *class) time.Duration {
	return p.timeToServe(p.waitingInHigherTiers(c)+p.waitingByTier[c.Tier].onTime+p.waitingByTier[c.Tier].late/c.lateGrantInterval(), c)
}

// expectedBacklog returns the expected time to serve all waiting requests of the
// class and of higher tiers, or 0 when there are enough free slots for them or no
// estimate.
func (s *Scheduler) expectedBacklog(p *pool, c *class) time.Duration {
	return p.timeToServe(p.waitingInHigherTiers(c)+p.waitingByTier[c.Tier].onTime+p.waitingByTier[c.Tier].late, c)
}

// waitingInHigherTiers returns the number of waiting requests in higher tiers than
// that of the class.
func (p *pool) waitingInHigherTiers(c *class) int {
	n := 0
	for tier := bundle.TopTier; tier < c.Tier; tier++ {
		n += p.waitingByTier[tier].onTime + p.waitingByTier[tier].late
	}
	return n
}

// expectedLateWait returns the time that a late request of the class is expected to
// wait, or 0 when there is no estimate. Late requests are served at the rate that
// the arrivals of the class leave, but at least at one grant per
// lateGrantInterval.
func (s *Scheduler) expectedLateWait(p *pool, c *class) time.Duration {
	rate := p.availableRate(c)
	if rate == 0 {
		return 0
	}
	lateRate := rate
	for _, u := range p.upstreams {
		lateRate -= u.arrivalRate[c.Tier].perSecond
	}
	lateRate = max(lateRate, rate/float64(c.lateGrantInterval()))
	return time.Duration(float64(p.waitingByTier[c.Tier].late) / lateRate * float64(time.Second))
}

// timeToServe returns the expected time until a request of the class is assigned
// behind waitingAhead others, or 0 when a slot is free for it or there is no
// estimate.
func (p *pool) timeToServe(waitingAhead int, c *class) time.Duration {
	waitingAhead -= max(p.freeSlots(tierGroupOf(c.Tier)), 0)
	rate := p.availableRate(c)
	if waitingAhead < 0 || rate == 0 {
		return 0
	}
	return time.Duration(float64(waitingAhead+1) / rate * float64(time.Second))
}
