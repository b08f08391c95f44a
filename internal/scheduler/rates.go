package scheduler

import (
	"math"
	"time"

	"heatherbarrow/internal/bundle"
)

const (
	// headroomQuantile is the normal quantile of the arrivals that the headroom
	// covers (99%).
	headroomQuantile = 2.33
	// maxHeadroom bounds the headroom as a fraction of the pool's slots.
	maxHeadroom = 0.25
	// headroomWindow is the fraction of the top tier's target in which a slot
	// must be found.
	headroomWindow = 0.5
)

func (s *Scheduler) updateRates() {
	now := s.opts.Clock.Now()
	elapsed := now.Sub(s.ticked)
	if elapsed <= 0 {
		return
	}
	s.ticked = now
	for _, u := range s.upstreams {
		u.finished.update(elapsed)
		for tier := range u.arrivals {
			u.arrivals[tier].update(elapsed)
		}
	}
}

// updateHeadroom learns how many free slots lower tiers must leave so that top
// tier arrivals find one: the arrivals within the window, less the slots that
// become free in it.
func (s *Scheduler) updateHeadroom(p *pool) {
	p.headroom = 0
	if !s.tuning.headroom || p.topWindow == 0 {
		return
	}
	arrivals, finished := 0.0, 0.0
	for _, u := range p.upstreams {
		arrivals += u.arrivals[bundle.TopTier].perSecond
		finished += u.finished.perSecond
	}
	window := p.topWindow.Seconds()
	expected := arrivals * window
	needed := expected + headroomQuantile*math.Sqrt(expected) - finished*window
	p.headroom = max(0, min(int(math.Ceil(needed)), int(maxHeadroom*float64(p.total))))
}

// rate returns the requests per second that the pool can serve for the tier, 0
// when too few have been served to tell. It is the greater of the measured rate
// and of the slots over the mean service time, since the measured rate of a pool
// that is not full is below its capacity. The top tier may get all slots, so only
// its own service time counts for it.
func (p *pool) rate(tier int) float64 {
	index := 0
	if tier == bundle.TopTier {
		index = tier
	}
	finished, seconds, count := 0.0, 0.0, 0
	slots := max(p.free(levelOf(tier)), 0)
	for _, u := range p.upstreams {
		mean := &u.service[index]
		finished += u.finished.perSecond
		seconds += mean.seconds * float64(mean.count)
		count += mean.count
		slots += u.total
	}
	if count < minFinishes || seconds == 0 {
		return 0
	}
	return max(finished, float64(slots)*float64(count)/seconds)
}

// available returns the part of the pool's rate that is left for the class beside
// the arrivals of higher tiers.
func (p *pool) available(c *class) float64 {
	rate := p.rate(c.Tier)
	higher := 0.0
	for _, u := range p.upstreams {
		for tier := bundle.TopTier; tier < c.Tier; tier++ {
			higher += u.arrivals[tier].perSecond
		}
	}
	return max(rate-higher, rate*max(c.Share, minLowerRate))
}

// expectedWait returns how long a new request of the class would wait for a
// replica, 0 when that is not known.
func (s *Scheduler) expectedWait(p *pool, c *class) time.Duration {
	return p.timeToServe(p.higher(c)+p.tiers[c.Tier].fresh+p.tiers[c.Tier].late/c.lateInterval(), c)
}

// expectedBacklog returns how long all waiting requests of the class and of higher
// tiers take, 0 when that is not known.
func (s *Scheduler) expectedBacklog(p *pool, c *class) time.Duration {
	return p.timeToServe(p.higher(c)+p.tiers[c.Tier].fresh+p.tiers[c.Tier].late, c)
}

// higher returns the waiting requests of higher tiers than the class's.
func (p *pool) higher(c *class) int {
	n := 0
	for tier := bundle.TopTier; tier < c.Tier; tier++ {
		n += p.tiers[tier].fresh + p.tiers[tier].late
	}
	return n
}

// expectedLateWait returns how long a request of the class waits that can no
// longer meet its target, 0 when that is not known. Late requests get their part
// of the grants or what the arrivals leave, whichever is more.
func (s *Scheduler) expectedLateWait(p *pool, c *class) time.Duration {
	rate := p.available(c)
	if rate == 0 {
		return 0
	}
	left := rate
	for _, u := range p.upstreams {
		left -= u.arrivals[c.Tier].perSecond
	}
	left = max(left, rate/float64(c.lateInterval()))
	return time.Duration(float64(p.tiers[c.Tier].late) / left * float64(time.Second))
}

func (p *pool) timeToServe(ahead int, c *class) time.Duration {
	ahead -= max(p.free(levelOf(c.Tier)), 0)
	rate := p.available(c)
	if ahead < 0 || rate == 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) / rate * float64(time.Second))
}
