package scaling

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// onTimeUse is the utilization up to which requests are served on time: at 0.6 a request waits for less than the
	// time of another on average, while with all slots in use it takes three to four times as long as alone.
	onTimeUse = 0.6
	// brieflyUse is the utilization that is accepted for some seconds, until new replicas have booted.
	brieflyUse = 0.85
	// briefTime is the longest such time: callers' deadlines are a few seconds, so that a queue which grows for longer makes
	// most of them late.
	briefTime = 10 * time.Second
	// oscillation is by how much demand varies around its mean without a burst.
	oscillation = 1.25
	// largestBurst and typicalBurst are the load of bursts, relative to the mean.
	largestBurst = 2.8
	typicalBurst = 2.0
	// crashShare is the share of all replicas that may crash together.
	crashShare = 0.25
	// minBaseShare is the share of the usual load that on-demand replicas carry in any case, as spot replicas may run short
	// in all zones at once.
	minBaseShare = 0.25
	// minChange is the smallest change, as a share of a zone's replicas, that is worth an order. Each order is billed and
	// counts toward the bound.
	minChange = 0.1
	// maxScaleIn is the largest share of replicas that is returned at once without others in exchange, and scaleInInterval
	// the least time between two such orders, so that a lull costs no more than half of the replicas.
	maxScaleIn      = 0.5
	scaleInInterval = minPeakWindow
)

// Planner decides the orders for one upstream. It is not safe for concurrent use.
type Planner struct {
	zones    map[string]*zone // that have, or had, replicas
	demand   demand
	assumed  map[string]float64 // usual load by zone, as the size of the deployment suggests
	complete bool               // a complete view has been seen
	viewedAt time.Time          // the latest complete view
	most     int                // on-demand replicas that were registered at once
	grewAt   time.Time          // when most last rose
}

// zone is the state of the replicas of a zone, and the plan for them.
type zone struct {
	name           string
	price          float64
	onDemand, spot pool

	usual  float64 // load to plan for
	cap    int     // replicas that can be had
	target int     // replicas of both kinds
	base   int     // of them on demand

	// firmBase is the part of base without which too few replicas would remain after a reclaim. Spot replicas make room for it
	// if the maximum is reached, while the rest of base is only kept or ordered where there is room.
	firmBase int

	scaledInAt time.Time // when replicas were last returned without others in exchange
}

// New returns a planner that starts from the latest orders of an earlier one, which may not have been executed.
func New(initial []Order) *Planner {
	p := &Planner{zones: make(map[string]*zone), assumed: make(map[string]float64)}
	for _, o := range initial {
		if o.Replicas >= 0 {
			*p.zone(o.Zone).pool(o.Spot) = pool{wanted: o.Replicas, accepted: o.Replicas, ceiling: o.Replicas, ordered: true}
		}
	}
	return p
}

// zone returns the state of a zone and creates it if needed.
func (p *Planner) zone(name string) *zone {
	z, ok := p.zones[name]
	if !ok {
		z = &zone{name: name}
		p.zones[name] = z
	}
	return z
}

// pool returns the replicas of a kind.
func (z *zone) pool(spot bool) *pool {
	if spot {
		return &z.spot
	}
	return &z.onDemand
}

// serving returns the replicas that serve and are not about to be returned.
func (z *zone) serving() int { return z.onDemand.serving() + z.spot.serving() }

// registered returns the replicas that do not leave.
func (z *zone) registered() int { return z.onDemand.registered + z.spot.registered }

// lost reports whether the zone has had no replicas for longer than a boot takes, as it is cut off or down.
func (z *zone) lost(s *Settings, viewedAt time.Time) bool {
	q := &z.onDemand
	if q.wanted == 0 {
		q = &z.spot
	}
	return z.registered() == 0 && q.wanted > 0 && !q.offSince.IsZero() && viewedAt.Sub(q.offSince) >= settleTime(s)
}

// sorted returns the zones by name.
func (p *Planner) sorted() []*zone {
	return slices.SortedFunc(maps.Values(p.zones), func(a, b *zone) int { return cmp.Compare(a.name, b.name) })
}

// byPrice returns the zones with the cheapest first.
func (p *Planner) byPrice() []*zone {
	zones := p.sorted()
	slices.SortStableFunc(zones, func(a, b *zone) int { return cmp.Compare(a.price, b.price) })
	return zones
}

// Wanted returns the latest order of each zone and kind that had one.
func (p *Planner) Wanted() (orders []Order) {
	for _, z := range p.sorted() {
		for _, spot := range []bool{false, true} {
			if q := z.pool(spot); q.ordered {
				orders = append(orders, Order{Zone: z.name, Spot: spot, Replicas: q.wanted})
			}
		}
	}
	return orders
}

// Answered records what became of an order that Plan returned. Each must be reported, and an order that was not sent as not
// answered.
func (p *Planner) Answered(o Order, outcome Outcome, now time.Time) {
	z, ok := p.zones[o.Zone]
	if !ok {
		return
	}
	if q := z.pool(o.Spot); q.ordered && q.wanted == o.Replicas {
		q.answered(outcome, now)
	}
}

// Plan returns the orders to send now, those that return replicas first, and the figures that they follow from. It returns
// an error and no orders if the settings are invalid.
func (p *Planner) Plan(s Settings, v View, now time.Time) (orders []Order, why string, err error) {
	if err := s.Validate(); err != nil {
		return nil, "", err
	}
	if !v.Partial {
		p.observe(&s, &v, now)
	}
	if !p.complete {
		return nil, "no complete view of the replicas yet", nil
	}
	for _, z := range p.zones {
		price, ok := s.ZonePrices[z.name]
		switch {
		case !ok && z.registered()+z.spot.leaving > 0:
			return nil, "", eris.Errorf("scaling: zone %q has no price", z.name)
		case !ok:
			delete(p.zones, z.name) // it is no longer used
		}
		z.price = price
	}
	if len(p.zones) == 0 {
		return nil, "no replicas", nil
	}
	n := p.targets(&s, now)
	if !v.Partial && now.Sub(p.grewAt) >= settleMargin {
		// Until then, replicas that start together with the hosts may not have registered yet.
		orders = append(orders, p.giveBacks(&s, &n, now)...)
	}
	orders = append(orders, p.raises(&s, &n, v.Partial, now)...)
	orders = append(orders, p.repeats(&s, v.Partial, now)...)
	return orders, n.String(), nil
}

// observe applies a complete view.
func (p *Planner) observe(s *Settings, v *View, now time.Time) {
	if !p.complete {
		for _, z := range p.zones {
			z.onDemand.started(now)
			z.spot.started(now)
		}
	}
	p.complete, p.viewedAt = true, now
	seen := make(map[string]bool)
	for i := range v.Zones {
		zv := &v.Zones[i]
		if _, known := p.zones[zv.Zone]; !known && zv.OnDemand+zv.Spot+zv.LeavingSpot <= 0 {
			continue
		}
		seen[zv.Zone] = true
		z := p.zone(zv.Zone)
		z.onDemand.observe(zv.OnDemand, 0, now)
		z.spot.observe(zv.Spot, zv.LeavingSpot, now)
	}
	registered := 0
	for i := range v.Zones {
		registered += v.Zones[i].OnDemand
	}
	if registered > p.most {
		p.most, p.grewAt = registered, now
	}
	for name, z := range p.zones {
		if !seen[name] {
			z.onDemand.observe(0, 0, now)
			z.spot.observe(0, 0, now)
		}
	}
	p.demand.observe(v, s.Boot, now)
}
