// Package shares divides a team's entitlement inside an availability zone. Every
// host keeps a floor at all times; the rest is lent for a short time by the
// team's share coordinator, by recent demand. Floors and grants together never
// exceed the zone's entitlement. The package performs no I/O.
package shares

import (
	"time"

	"heatherbarrow/internal/bundle"
)

const (
	// FloorFraction of a zone's entitlement is divided evenly between its hosts
	// and kept without a coordinator; the rest is lent.
	FloorFraction = 0.5
	// GrantLifetime is how long a grant may be used.
	GrantLifetime = 3 * time.Second
	// CoordinatorWait is how long a new coordinator waits before it grants:
	// grants of its predecessor stay in use for a lifetime, and the predecessor
	// may learn up to another lifetime later that it is replaced.
	CoordinatorWait = 2 * GrantLifetime
	// demandMemory is how long a host's demand counts when it falls silent.
	demandMemory = 2500 * time.Millisecond
)

// Amount is a part of an entitlement.
type Amount struct {
	TokensPerSecond float64
	InProgress      float64
}

func (a Amount) scale(f float64) Amount {
	return Amount{a.TokensPerSecond * f, a.InProgress * f}
}

func (a Amount) minus(b Amount) Amount {
	return Amount{max(0, a.TokensPerSecond-b.TokensPerSecond), max(0, a.InProgress-b.InProgress)}
}

func (a Amount) plus(b Amount) Amount {
	return Amount{a.TokensPerSecond + b.TokensPerSecond, a.InProgress + b.InProgress}
}

func (a Amount) atMost(b Amount) Amount {
	return Amount{min(a.TokensPerSecond, b.TokensPerSecond), min(a.InProgress, b.InProgress)}
}

func (a Amount) atLeast(b Amount) Amount {
	return Amount{max(a.TokensPerSecond, b.TokensPerSecond), max(a.InProgress, b.InProgress)}
}

// ZoneFraction is the part of a team's entitlement that belongs to the zone:
// equal parts without weights. A zone that the weights do not name gets nothing.
func ZoneFraction(weights map[string]float64, zone string, zones int) float64 {
	if len(weights) == 0 {
		return 1 / float64(max(zones, 1))
	}
	total := 0.0
	for _, w := range weights {
		total += w
	}
	if total <= 0 {
		return 0
	}
	return weights[zone] / total
}

// ZoneEntitlement is what all hosts of the zone may use together.
func ZoneEntitlement(t *bundle.Team, zone string, zones int) Amount {
	whole := Amount{t.TokensPerSecond, float64(t.MaxInProgress)}
	return whole.scale(ZoneFraction(t.ZoneWeights, zone, zones))
}

// Floor is what each of the zone's hosts may always use.
func Floor(zone Amount, hosts int) Amount {
	return zone.scale(FloorFraction / float64(max(hosts, 1)))
}

// Pool is what a coordinator may lend.
func Pool(zone Amount) Amount { return zone.scale(1 - FloorFraction) }

// grant is lent until its time ends.
type grant struct {
	amount Amount
	until  time.Time
}

// team is what a coordinator knows of one team.
type team struct {
	demand map[string]demand  // above the floor, by host
	grants map[string][]grant // that may still be in use, by host
}

type demand struct {
	amount Amount
	at     time.Time
}

// Coordinator lends the pools of the teams it is responsible for. It is owned by
// one goroutine.
type Coordinator struct {
	teams  map[string]*team
	since  time.Time // when the host began to coordinate under the list
	listed uint64    // hash of that list
	known  bool
}

// NewCoordinator returns a coordinator of a host that started now.
func NewCoordinator() *Coordinator {
	return &Coordinator{teams: make(map[string]*team)}
}

// SetList tells which list of hosts is in use. Coordinators move when the list
// changes, so the waiting time begins anew.
func (c *Coordinator) SetList(hash uint64, now time.Time) {
	if !c.known || hash != c.listed {
		c.known, c.listed, c.since = true, hash, now
	}
}

// Ready tells whether all grants of former coordinators have ended.
func (c *Coordinator) Ready(now time.Time) bool {
	return c.known && now.Sub(c.since) >= CoordinatorWait
}

// Grant answers a host's demand above its floor. Hosts with demand get equal
// parts of the pool, up to their demand, and never more than is not lent.
func (c *Coordinator) Grant(name, host string, above Amount, pool Amount, now time.Time) Amount {
	if !c.Ready(now) {
		return Amount{}
	}
	t := c.teams[name]
	if t == nil {
		t = &team{demand: make(map[string]demand), grants: make(map[string][]grant)}
		c.teams[name] = t
	}
	t.demand[host] = demand{above, now}
	t.expire(now)
	amount := t.fairPart(host, pool).atMost(pool.minus(t.lentToOthers(host)))
	t.grants[host] = append(t.grants[host], grant{amount, now.Add(GrantLifetime)})
	return amount
}

// Expire drops teams without demand and grants.
func (c *Coordinator) Expire(now time.Time) {
	for name, t := range c.teams {
		t.expire(now)
		if len(t.demand) == 0 && len(t.grants) == 0 {
			delete(c.teams, name)
		}
	}
}

// Lent returns what may be in use of the team's pool.
func (c *Coordinator) Lent(name string, now time.Time) Amount {
	t := c.teams[name]
	if t == nil {
		return Amount{}
	}
	t.expire(now)
	return t.lentToOthers("")
}

func (t *team) expire(now time.Time) {
	for host, d := range t.demand {
		if now.Sub(d.at) > demandMemory {
			delete(t.demand, host)
		}
	}
	for host, grants := range t.grants {
		kept := grants[:0]
		for _, g := range grants {
			if g.until.After(now) {
				kept = append(kept, g)
			}
		}
		t.grants[host] = kept
		if len(kept) == 0 {
			delete(t.grants, host)
		}
	}
}

// lentToOthers counts the largest of a host's grants that have not ended: the
// host may still use an earlier one when the answer with a later one is lost.
func (t *team) lentToOthers(host string) Amount {
	var sum Amount
	for other, grants := range t.grants {
		if other == host {
			continue
		}
		var largest Amount
		for _, g := range grants {
			largest = largest.atLeast(g.amount)
		}
		sum = sum.plus(largest)
	}
	return sum
}

func (t *team) fairPart(host string, pool Amount) Amount {
	tokens := make(map[string]float64, len(t.demand))
	slots := make(map[string]float64, len(t.demand))
	for name, d := range t.demand {
		tokens[name], slots[name] = d.amount.TokensPerSecond, d.amount.InProgress
	}
	return Amount{maxMin(tokens, host, pool.TokensPerSecond), maxMin(slots, host, pool.InProgress)}
}

// maxMin returns the host's part of the pool under max-min fairness.
func maxMin(demand map[string]float64, host string, pool float64) float64 {
	open := make(map[string]float64, len(demand))
	for name, d := range demand {
		open[name] = d
	}
	for len(open) > 0 {
		part := pool / float64(len(open))
		satisfied := false
		for name, d := range open {
			if d > part {
				continue
			}
			if name == host {
				return d
			}
			pool -= d
			delete(open, name)
			satisfied = true
		}
		if !satisfied {
			return part
		}
	}
	return 0
}
