package scaling

import (
	"math"
	"slices"
	"time"
)

// giveBacks returns the orders that return replicas which are not needed.
func (p *Planner) giveBacks(s *Settings, n *need, now time.Time) (orders []Order) {
	zones := p.byPrice()
	for _, z := range zones {
		if z.spot.reclaiming(now) {
			return nil // what else may be missing is not known before the replicas are replaced
		}
	}
	slices.Reverse(zones) // the most expensive first
	for _, z := range zones {
		if z.lost(s, p.viewedAt) {
			continue // it may be back with them
		}
		give := p.returnable(s, z, n)
		if !n.spot {
			give = z.scaleIn(give, &z.onDemand, now)
		}
		if give >= z.minChange() {
			if !n.spot {
				z.scaledInAt = now
			}
			orders = z.onDemand.issue(orders, z.name, false, z.onDemand.wanted-give, now)
		}
		if !n.learned || z.spot.unanswered {
			continue
		}
		room := s.Max - z.onDemand.ceiling - z.spot.ceiling
		swap := min(z.firmBase-z.onDemand.wanted-room, z.spot.wanted, p.serving()-n.kept)
		give = z.scaleIn(min(z.spot.wanted-(z.target-z.base), p.serving()-n.reserve), &z.spot, now)
		switch {
		case swap >= z.minChange() && swap >= give:
			orders = z.spot.issue(orders, z.name, true, z.spot.wanted-swap, now)
		case give >= z.minSpotReturn():
			z.scaledInAt = now
			orders = z.spot.issue(orders, z.name, true, z.spot.wanted-give, now)
		}
	}
	return orders
}

// minChange returns the smallest change of the zone's replicas that is worth an order.
func (z *zone) minChange() int {
	return max(int(minChange*float64(z.onDemand.wanted+z.spot.wanted)), 1)
}

// minSpotReturn is minChange for returning spot replicas, which is higher, as they cost less than the orders that follow if
// they are needed again.
func (z *zone) minSpotReturn() int {
	return max(int(2*minChange*float64(z.onDemand.wanted+z.spot.wanted)), 1)
}

// scaleIn bounds the replicas that are returned without others in exchange.
func (z *zone) scaleIn(give int, q *pool, now time.Time) int {
	if now.Sub(z.scaledInAt) < scaleInInterval {
		return 0
	}
	return min(give, int(math.Ceil(maxScaleIn*float64(q.wanted))))
}

// serving returns the replicas of all zones that serve and are not about to be returned.
func (p *Planner) serving() (n int) {
	for _, z := range p.zones {
		n += z.serving()
	}
	return n
}

// returnable returns how many on-demand replicas of a zone may be returned: those above its base whose work can be done by the
// replicas that serve now, with a higher utilization for as long as the spot replicas ordered in exchange boot.
func (p *Planner) returnable(s *Settings, z *zone, n *need) int {
	if !n.learned && !n.spot || z.onDemand.unanswered {
		return 0
	}
	give := min(z.onDemand.wanted-z.base, p.serving()-n.kept, z.serving()-replicas(z.usual*oscillation, s.bootUse()))
	if n.spot && z.spot.short() {
		// An order has to show first whether spot replicas can be had in exchange, for which it needs some room.
		give = min(give, max(z.serving()-z.target, z.minChange()-(s.Max-z.onDemand.wanted)))
	}
	return max(give, 0)
}

// raises returns the orders for further replicas: spot ones as the reserve, and on-demand ones up to the base and where
// the demand observed requires more than will serve.
func (p *Planner) raises(s *Settings, n *need, partial bool, now time.Time) (orders []Order) {
	zones := p.byPrice()
	expected := 0
	more := make([]int, len(zones)) // on-demand replicas to add
	for i, z := range zones {
		if n.spot && !z.spot.blocked(now) && !z.spot.unanswered {
			want := min(z.target-z.base, s.Max-z.onDemand.ceiling)
			if want-z.spot.wanted >= z.minChange() {
				orders = z.spot.issue(orders, z.name, true, want, now)
			}
		}
		if short := z.base - z.onDemand.wanted; short >= z.minChange() && z.onDemand.mayRaise(now) {
			more[i] = short
		}
		expected += z.onDemand.expected(s, p.viewedAt, now) + z.spot.expected(s, p.viewedAt, now) + more[i]
	}
	short := n.required - expected
	for i, z := range zones {
		if short > 0 && z.onDemand.mayRaise(now) && !z.lost(s, p.viewedAt) {
			add := min(max(short, z.minChange()), max(s.Max-z.onDemand.wanted-more[i]-z.spot.expected(s, p.viewedAt, now), 0))
			more[i] += add
			short -= add
		}
		if more[i] > 0 {
			orders = z.raiseOnDemand(orders, s, more[i], partial, now)
		}
	}
	return orders
}

// raiseOnDemand appends an order for more on-demand replicas, as far as the maximum permits. Spot replicas that cannot be had
// now must not take their place, so that their number is first ordered down to those that are left.
func (z *zone) raiseOnDemand(orders []Order, s *Settings, more int, partial bool, now time.Time) []Order {
	room := s.Max - z.spot.ceiling - z.onDemand.wanted
	if more > room && !partial && z.spot.blocked(now) && z.spot.ceiling > z.spot.registered {
		return z.spot.issue(orders, z.name, true, z.spot.registered, now)
	}
	if more = min(more, room); more <= 0 {
		return orders
	}
	return z.onDemand.issue(orders, z.name, false, z.onDemand.wanted+more, now)
}

// repeats returns the orders that are due again.
func (p *Planner) repeats(s *Settings, partial bool, now time.Time) (orders []Order) {
	for _, z := range p.sorted() {
		for _, spot := range []bool{false, true} {
			q := z.pool(spot)
			if q.repeatDue(s, partial, now) && !(partial && q.wanted < q.accepted) {
				orders = q.issue(orders, z.name, spot, q.wanted, now)
			}
		}
	}
	return orders
}

// issue appends an order for n replicas if the bound on orders permits it.
func (p *pool) issue(orders []Order, zone string, spot bool, n int, now time.Time) []Order {
	if !p.mayOrder(n, now) {
		return orders
	}
	p.order(n, now)
	return append(orders, Order{Zone: zone, Spot: spot, Replicas: n})
}
