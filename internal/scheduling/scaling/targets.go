package scaling

import (
	"fmt"
	"math"
	"time"
)

// need is the demand and what it takes to serve it.
type need struct {
	spot     bool    // spot replicas are used
	learned  bool    // the demand has been observed for long enough
	usual    float64 // load to plan for
	peak     float64
	required int // replicas required for the demand observed
	kept     int // replicas that must remain when others are returned
	reserve  int // replicas to have in all, with those for bursts
	survive  int // replicas that must remain after a loss
	serving  int // that serve and are not about to be returned
}

// String implements fmt.Stringer.
func (n *need) String() string {
	return fmt.Sprintf("usual load %.1f, peak %.1f, %d replicas serve, %d required, %d with the reserve", n.usual, n.peak, n.serving, n.required, n.reserve)
}

// reserveFactor returns the load, relative to the mean, that replicas are kept for. If bursts between oscillation and
// largestBurst are equally likely, a further replica is worth its price while the chance that it is needed exceeds the
// price, in that of a replica on demand, which is what a replica's work is worth to callers at least.
func (s *Settings) reserveFactor() float64 {
	if !s.usesSpot() {
		return oscillation
	}
	return oscillation + (largestBurst-oscillation)*(1-s.SpotPrice)
}

// peakUse returns the utilization up to which replicas are planned for the recent peak: the more a replica costs, the higher.
func (s *Settings) peakUse() float64 {
	if !s.usesSpot() {
		return brieflyUse
	}
	return onTimeUse + (brieflyUse-onTimeUse)*s.SpotPrice
}

// bootUse returns the utilization that is accepted until new replicas have booted.
func (s *Settings) bootUse() float64 {
	if s.Boot > briefTime {
		return onTimeUse
	}
	return brieflyUse
}

// steady returns the replicas for a mean load that oscillates.
func (s *Settings) steady(usual float64) int {
	return max(replicas(usual, onTimeUse), replicas(usual*oscillation, s.peakUse()))
}

// shortageLasts reports whether a zone has had no spot replicas to offer for longer than a reclaim explains.
func (p *Planner) shortageLasts(now time.Time) bool {
	for _, z := range p.zones {
		if z.spot.short() && now.Sub(z.spot.shortSince) >= 2*reclaimShortage {
			return true
		}
	}
	return false
}

// localShare returns the share of a zone's usual load that its on-demand replicas carry. The rest goes to the other zones
// when the spot replicas are reclaimed, whose load then grows no more than it oscillates anyway.
func localShare(zones int) float64 {
	return max(1-(oscillation-1)*float64(zones-1), minBaseShare)
}

// replicas returns the number of replicas that carry a load at a utilization.
func replicas(load, use float64) int {
	return int(min(math.Ceil(load/use-1e-9), maxReplicas))
}

// targets sets the plan of each zone.
func (p *Planner) targets(s *Settings, now time.Time) need {
	n := need{spot: s.usesSpot(), learned: p.demand.learned(now), peak: p.demand.peak(now)}
	factor, measured, assumed := s.reserveFactor(), 0.0, 0.0
	zones := p.byPrice()
	for _, z := range zones {
		usual := p.demand.usual(z.name, now)
		measured += usual
		z.usual = usual
		if !n.learned && n.spot {
			load := z.assumedLoad(factor, p.assumed)
			z.usual = max(z.usual, load)
			assumed += load
		}
		n.usual += z.usual
		n.serving += z.serving()
		z.cap = z.available(s, p.viewedAt, now)
	}
	use := s.bootUse()
	if p.shortageLasts(now) {
		use = onTimeUse
	}
	n.required = max(replicas(measured*oscillation, use), replicas(n.peak, s.bootUse()))
	kept := max(n.usual*oscillation, n.peak)
	if !n.learned {
		kept = max(kept, assumed*typicalBurst)
	}
	n.kept = max(replicas(kept, s.bootUse()), n.required)
	n.survive = replicas(n.usual, s.bootUse())
	n.reserve = max(s.steady(n.usual), replicas(max(n.usual*factor, n.peak), s.peakUse()), replicas(n.usual/(1-crashShare), brieflyUse))

	planned := 0
	for _, z := range zones {
		z.target = min(max(s.steady(z.usual), s.Min), z.cap)
		planned += z.target
	}
	distribute(zones, n.reserve-planned)
	keepAfterZoneLoss(zones, n.survive)
	setBases(s, zones, &n)
	return n
}

// assumedLoad returns the usual load that a zone was sized for: its on-demand replicas serve it, and the spot replicas are the
// reserve. It grows while replicas register that started together with the hosts, and counts those that are exchanged later.
func (z *zone) assumedLoad(factor float64, assumed map[string]float64) float64 {
	load, ok := assumed[z.name]
	switch {
	case z.spot.registered > 0 && !ok:
		load = float64(z.registered()) * onTimeUse / factor
	case !z.onDemand.ordered:
		load = max(load, float64(z.onDemand.registered)*onTimeUse)
	}
	assumed[z.name] = load
	return load
}

// available returns the replicas that can be had in the zone now.
func (z *zone) available(s *Settings, viewedAt, now time.Time) int {
	switch {
	case z.lost(s, viewedAt):
		return 0
	case z.spot.blocked(now):
		return min(max(z.onDemand.expected(s, viewedAt, now), z.base)+z.spot.registered, s.Max)
	default:
		return s.Max
	}
}

// distribute adds replicas to the zones, more where there is more load and where they are cheaper, up to what can be had.
func distribute(zones []*zone, extra int) {
	mean, load := 0.0, 0.0
	for _, z := range zones {
		mean += z.price / float64(len(zones))
		load += z.usual / float64(len(zones))
	}
	weight := func(z *zone) float64 {
		w := z.usual + load/10 + 1e-3
		if mean > 0 {
			w /= z.price + mean // the mean dampens differences: requests that leave their zone cost something too
		}
		return w
	}
	for extra > 0 {
		sum := 0.0
		for _, z := range zones {
			if z.target < z.cap {
				sum += weight(z)
			}
		}
		left := extra
		for _, z := range zones {
			if z.target < z.cap {
				add := min(int(math.Ceil(float64(extra)*weight(z)/sum)), z.cap-z.target, left)
				z.target += add
				left -= add
			}
		}
		if left == extra {
			return
		}
		extra = left
	}
}

// keepAfterZoneLoss raises targets so that the given number of replicas remains when the largest zone is lost.
func keepAfterZoneLoss(zones []*zone, survive int) {
	if len(zones) < 2 {
		return
	}
	sum, largest := 0, 0
	for _, z := range zones {
		sum += z.target
		largest = max(largest, z.target)
	}
	deficit := survive - (sum - largest)
	for _, z := range zones {
		add := min(deficit, largest-z.target, z.cap-z.target)
		if add > 0 {
			z.target += add
			deficit -= add
		}
	}
	if deficit <= 0 {
		return
	}
	each := (deficit + len(zones) - 2) / (len(zones) - 1)
	for _, z := range zones {
		z.target = max(min(z.target+each, z.cap), z.target)
	}
}

// setBases sets the on-demand part of each target: all of it without spot replicas, otherwise what carries the local share of
// the load, and as many more as must remain when the spot replicas of the worst zone are reclaimed.
func setBases(s *Settings, zones []*zone, n *need) {
	sum := 0
	for _, z := range zones {
		sum += z.target
		z.base = z.target
		if n.spot {
			z.base = min(max(replicas(z.usual*localShare(len(zones)), s.bootUse()), min(s.Min, 1)), z.target)
		}
	}
	if !n.spot {
		return
	}
	// No zone may have more spot replicas than can be missed.
	missable := max(sum-n.survive, 0)
	for _, z := range zones {
		z.firmBase = max(z.target-missable, 0)
		z.base = max(z.base, z.firmBase)
	}
}
