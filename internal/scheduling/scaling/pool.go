package scaling

import (
	"slices"
	"time"
)

const (
	// maxOrdersPerMinute bounds the orders for one zone and kind, including repeated ones. It leaves room for repeating an
	// order through an outage of the platform or a shortage of about ten seconds.
	maxOrdersPerMinute = 10
	// maxGiveBacksPerMinute bounds the orders that return replicas. A replica returned by mistake is missed for a boot time.
	maxGiveBacksPerMinute = 4
	// minOrderInterval is the least time between two orders for one zone and kind.
	minOrderInterval = time.Second
	// settleMargin is added to the boot time until registrations must show an order: replicas register at their next
	// heartbeat, and registrations take some hundred milliseconds to reach the host.
	settleMargin = 2 * time.Second
	// reclaimShortage is how long no spot replicas are ordered in a zone after a reclaim notice there. They cannot be
	// had for at least that long.
	reclaimShortage = 8 * time.Second
	// minShortageBackoff and maxShortageBackoff bound the wait after NoneAvailable, which grows by half each time. A
	// shortage after a reclaim lasts about ten seconds.
	minShortageBackoff = time.Second
	maxShortageBackoff = 30 * time.Second
	// minRepeatDelay and maxRepeatDelay bound the wait before an unanswered order is repeated, which doubles each time.
	minRepeatDelay = 500 * time.Millisecond
	maxRepeatDelay = 8 * time.Second
	// maxCorrectionDelay bounds the wait before a further correction of registrations that stay off.
	maxCorrectionDelay = time.Minute
)

// pool is the state of the replicas of one kind in a zone.
type pool struct {
	wanted     int // as last ordered, or found registered if nothing was ordered
	accepted   int // wanted by the latest order that the platform accepted
	ceiling    int // the most that orders which may still be executed ask for
	registered int
	leaving    int

	ordered    bool // wanted is an order's
	unanswered bool
	orderedAt  time.Time
	recent     []time.Time // orders of the last minute
	giveBacks  []time.Time // those of them that returned replicas

	blockedUntil time.Time     // no capacity before
	blockedFor   time.Duration // the latest wait; 0 after an accepted order
	shortSince   time.Time     // first shortage since the latest accepted order; valid if blockedFor is not 0
	reclaimedAt  time.Time
	repeatAt     time.Time
	repeatDelay  time.Duration
	offSince     time.Time // since when the registrations are not as wanted; zero if they are
	corrections  int
}

// settleTime is how long registrations may differ from an order.
func settleTime(s *Settings) time.Duration { return s.Boot + max(settleMargin, s.Boot/4) }

// observe applies the registrations of a complete view.
func (p *pool) observe(registered, leaving int, now time.Time) {
	if leaving > p.leaving && registered < p.registered && registered < p.wanted {
		// Whether the platform replaces them by itself is not known; they are ordered again.
		p.wanted, p.accepted, p.unanswered = registered, registered, false
		p.reclaimedAt, p.shortSince = now, now
		p.blockedFor, p.blockedUntil = minShortageBackoff, now.Add(reclaimShortage)
	}
	p.registered, p.leaving = registered, leaving
	if !p.ordered {
		p.wanted = max(p.wanted, registered)
		p.accepted, p.ceiling = p.wanted, p.wanted
	}
	switch {
	case registered == p.wanted:
		p.offSince, p.corrections = time.Time{}, 0
	case p.offSince.IsZero():
		p.offSince = now
	}
}

// started begins the time in which orders of an earlier planner may still take effect.
func (p *pool) started(now time.Time) {
	if p.ordered {
		p.orderedAt = now
	}
}

// blocked reports whether the platform has no capacity.
func (p *pool) blocked(now time.Time) bool { return now.Before(p.blockedUntil) }

// mayRaise reports whether an order for more replicas may have an effect.
func (p *pool) mayRaise(now time.Time) bool { return !p.blocked(now) && !p.unanswered }

// short reports whether the platform had no capacity when last asked.
func (p *pool) short() bool { return p.blockedFor > 0 }

// reclaiming reports whether replicas were reclaimed so recently that others cannot be had yet.
func (p *pool) reclaiming(now time.Time) bool {
	return !p.reclaimedAt.IsZero() && now.Sub(p.reclaimedAt) < reclaimShortage
}

// serving returns the number of replicas that serve and are not about to be returned.
func (p *pool) serving() int { return min(p.wanted, p.registered) }

// expected returns the number of replicas that serve or are booting, as of the latest complete view. An order that had to be
// repeated is not relied on.
func (p *pool) expected(s *Settings, viewedAt, now time.Time) int {
	if p.wanted <= p.registered || p.blocked(now) {
		return p.serving()
	}
	if p.ordered && !p.unanswered && p.corrections == 0 && viewedAt.Sub(p.orderedAt) < settleTime(s) {
		return p.wanted
	}
	return p.registered
}

// mayOrder reports whether the bound on orders permits one for n replicas.
func (p *pool) mayOrder(n int, now time.Time) bool {
	expired := func(at time.Time) bool { return now.Sub(at) >= time.Minute }
	p.recent = slices.DeleteFunc(p.recent, expired)
	p.giveBacks = slices.DeleteFunc(p.giveBacks, expired)
	if len(p.recent) >= maxOrdersPerMinute || p.ordered && now.Sub(p.orderedAt) < minOrderInterval && !p.unanswered {
		return false
	}
	return n >= p.wanted || len(p.giveBacks) < maxGiveBacksPerMinute
}

// order records an order for n replicas.
func (p *pool) order(n int, now time.Time) {
	if n < p.wanted {
		p.giveBacks = append(p.giveBacks, now)
	}
	if n != p.wanted {
		p.repeatDelay, p.corrections = 0, 0
		p.wanted, p.ceiling = n, max(p.ceiling, n)
		p.offSince = now
	} else if !p.unanswered {
		p.corrections++
	}
	p.recent = append(p.recent, now)
	p.ordered, p.unanswered = true, false
	p.orderedAt = now
}

// answered records what became of the latest order.
func (p *pool) answered(outcome Outcome, now time.Time) {
	switch outcome {
	case Ordered:
		p.unanswered = false
		p.accepted, p.ceiling, p.repeatDelay, p.blockedFor = p.wanted, p.wanted, 0, 0
	case NoneAvailable:
		p.unanswered = false
		p.wanted, p.ceiling = p.accepted, p.accepted
		if p.blockedFor == 0 {
			p.shortSince = now
		}
		p.blockedFor = min(max(p.blockedFor*3/2, minShortageBackoff), maxShortageBackoff)
		p.blockedUntil = now.Add(p.blockedFor)
	case NotAnswered:
		p.unanswered = true
		p.repeatDelay = min(max(2*p.repeatDelay, minRepeatDelay), maxRepeatDelay)
		p.repeatAt = now.Add(p.repeatDelay)
	}
}

// repeatDue reports whether the latest order should be sent again: it was not answered, or the registrations have not
// been as ordered for too long, because it was lost or an earlier order was executed after it.
func (p *pool) repeatDue(s *Settings, partial bool, now time.Time) bool {
	switch {
	case p.unanswered:
		return !now.Before(p.repeatAt)
	case partial || !p.ordered || p.blocked(now) || p.offSince.IsZero():
		return false
	}
	since := p.offSince
	if p.orderedAt.After(since) {
		since = p.orderedAt
	}
	wait := settleTime(s) << min(p.corrections, 4)
	return now.Sub(since) >= min(wait, max(maxCorrectionDelay, settleTime(s)))
}
