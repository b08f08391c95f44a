// Package shares divides a team's entitlement in an availability zone between the
// zone's hosts. Every host may always use a floor. The team's share coordinator lends
// the rest, the pool, in short-lived grants according to recent demand. Floors and
// grants together never exceed the zone's entitlement. The package performs no I/O.
package shares

import (
	"time"

	"heatherbarrow/internal/bundle"
)

const (
	// FloorFraction is the part of a zone's entitlement that is divided evenly
	// between its hosts and needs no coordinator. The rest is lent.
	FloorFraction = 0.5
	// GrantLifetime is how long a host may use a grant.
	GrantLifetime = 3 * time.Second
	// CoordinatorTakeoverDelay is how long a new coordinator waits before its first
	// grant. Its predecessor may learn up to one grant lifetime late that it was
	// replaced, and grants made until then stay in use for another lifetime.
	CoordinatorTakeoverDelay = 2 * GrantLifetime
	// reportMaxAge is how long the latest demand of a host counts if the host reports
	// no newer one.
	reportMaxAge = 2500 * time.Millisecond
)

// Amount is an amount of an entitlement: a token rate and a number of in-flight
// requests.
type Amount struct {
	TokensPerSecond float64
	InProgress      float64
}

func (a Amount) scale(f float64) Amount {
	return Amount{a.TokensPerSecond * f, a.InProgress * f}
}

// minus returns a - b, at least zero in each component.
func (a Amount) minus(b Amount) Amount {
	return Amount{max(0, a.TokensPerSecond-b.TokensPerSecond), max(0, a.InProgress-b.InProgress)}
}

func (a Amount) plus(b Amount) Amount {
	return Amount{a.TokensPerSecond + b.TokensPerSecond, a.InProgress + b.InProgress}
}

// componentMin returns the smaller of a and b in each component.
func (a Amount) componentMin(b Amount) Amount {
	return Amount{min(a.TokensPerSecond, b.TokensPerSecond), min(a.InProgress, b.InProgress)}
}

// componentMax returns the larger of a and b in each component.
func (a Amount) componentMax(b Amount) Amount {
	return Amount{max(a.TokensPerSecond, b.TokensPerSecond), max(a.InProgress, b.InProgress)}
}

// ZoneFraction returns the fraction of a team's entitlement that belongs to the
// zone. Without weights, all zones get equal fractions; otherwise a zone without a
// weight gets nothing.
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

// ZoneEntitlement returns the amount that all hosts of the zone together may use.
func ZoneEntitlement(t *bundle.Team, zone string, zones int) Amount {
	whole := Amount{t.TokensPerSecond, float64(t.MaxInProgress)}
	return whole.scale(ZoneFraction(t.ZoneWeights, zone, zones))
}

// Floor returns the amount that each host of the zone may always use.
func Floor(entitlement Amount, hosts int) Amount {
	return entitlement.scale(FloorFraction / float64(max(hosts, 1)))
}

// Pool returns the part of a zone's entitlement that a coordinator may lend.
func Pool(entitlement Amount) Amount { return entitlement.scale(1 - FloorFraction) }

// grant is an amount lent to a host until the given time.
type grant struct {
	amount Amount
	until  time.Time
}

// team is the coordinator's state for one team.
type team struct {
	demand map[string]demand  // demand above the floor, by host
	grants map[string][]grant // grants that may still be in use, by host
}

// demand is the latest demand of a host above its floor.
type demand struct {
	amount     Amount
	reportedAt time.Time
}

// Coordinator lends the pools of the teams that the host coordinates. It must be
// used by one goroutine only.
type Coordinator struct {
	teams     map[string]*team
	listSince time.Time // when the current host list came into use
	listHash  uint64    // hash of the current host list
	hasList   bool
}

// NewCoordinator returns a coordinator without a host list. It makes no grants until
// CoordinatorTakeoverDelay after the first SetHostList.
func NewCoordinator() *Coordinator {
	return &Coordinator{teams: make(map[string]*team)}
}

// SetHostList sets the hash of the host list in use. A changed list may assign teams to
// other coordinators, so CoordinatorTakeoverDelay starts again.
func (c *Coordinator) SetHostList(hash uint64, now time.Time) {
	if !c.hasList || hash != c.listHash {
		c.hasList, c.listHash, c.listSince = true, hash, now
	}
}

// Ready reports whether all grants of former coordinators have expired.
func (c *Coordinator) Ready(now time.Time) bool {
	return c.hasList && now.Sub(c.listSince) >= CoordinatorTakeoverDelay
}

// Grant records a host's demand above its floor and returns the amount lent to it.
// The pool is divided between the hosts with demand by max-min fairness. A grant
// never exceeds the part of the pool that is not lent to other hosts.
func (c *Coordinator) Grant(teamName, host string, aboveFloor Amount, pool Amount, now time.Time) Amount {
	if !c.Ready(now) {
		return Amount{}
	}
	t := c.teams[teamName]
	if t == nil {
		t = &team{demand: make(map[string]demand), grants: make(map[string][]grant)}
		c.teams[teamName] = t
	}
	t.demand[host] = demand{aboveFloor, now}
	t.expire(now)
	amount := t.fairShare(host, pool).componentMin(pool.minus(t.lentExcept(host)))
	t.grants[host] = append(t.grants[host], grant{amount, now.Add(GrantLifetime)})
	return amount
}

// Expire drops expired demand and grants, and teams that have neither.
func (c *Coordinator) Expire(now time.Time) {
	for name, t := range c.teams {
		t.expire(now)
		if len(t.demand) == 0 && len(t.grants) == 0 {
			delete(c.teams, name)
		}
	}
}

// Lent returns the amount of the team's pool that may be in use.
func (c *Coordinator) Lent(teamName string, now time.Time) Amount {
	t := c.teams[teamName]
	if t == nil {
		return Amount{}
	}
	t.expire(now)
	return t.lentExcept("")
}

func (t *team) expire(now time.Time) {
	for host, d := range t.demand {
		if now.Sub(d.reportedAt) > reportMaxAge {
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

// lentExcept returns the amount that all hosts but the given one may be using. For
// each host, the largest grant that has not expired counts: if the response with a
// newer grant was lost, the host still uses an older one.
func (t *team) lentExcept(host string) Amount {
	var sum Amount
	for other, grants := range t.grants {
		if other == host {
			continue
		}
		var largest Amount
		for _, g := range grants {
			largest = largest.componentMax(g.amount)
		}
		sum = sum.plus(largest)
	}
	return sum
}

// fairShare returns the host's max-min fair share of the pool.
func (t *team) fairShare(host string, pool Amount) Amount {
	tokenRates := make(map[string]float64, len(t.demand))
	inProgress := make(map[string]float64, len(t.demand))
	for name, d := range t.demand {
		tokenRates[name], inProgress[name] = d.amount.TokensPerSecond, d.amount.InProgress
	}
	return Amount{maxMinShare(tokenRates, host, pool.TokensPerSecond), maxMinShare(inProgress, host, pool.InProgress)}
}

// maxMinShare returns the host's part of the pool under max-min fairness: demands
// below an equal share are met in full, and what they leave is divided equally
// between the others.
func maxMinShare(demand map[string]float64, host string, pool float64) float64 {
	unsatisfied := make(map[string]float64, len(demand))
	for name, d := range demand {
		unsatisfied[name] = d
	}
	for len(unsatisfied) > 0 {
		share := pool / float64(len(unsatisfied))
		anySatisfied := false
		for name, d := range unsatisfied {
			if d > share {
				continue
			}
			if name == host {
				return d
			}
			pool -= d
			delete(unsatisfied, name)
			anySatisfied = true
		}
		if !anySatisfied {
			return share
		}
	}
	return 0
}
