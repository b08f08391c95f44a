package fleet

import (
	"slices"
	"time"

	"heatherbarrow/internal/scheduling/zoneoverflow"
)

const (
	// overflowInterval is the shortest time between two updates of an upstream's zones. Heartbeats
	// of other hosts arrive less often.
	overflowInterval = 50 * time.Millisecond
	// trafficPerRequest is the traffic of a request between zones in GB: about 9 kB up and 3 kB down.
	trafficPerRequest = 12e-6
)

// ZoneOverflow configures how requests leave a zone that is short of capacity.
type ZoneOverflow struct {
	CostPerGB float64 // milliseconds of waiting that a GB between zones is worth
}

// overflow decides for the requests of this host to one upstream which of them leave the zone.
type overflow struct {
	decider    *zoneoverflow.Decider // nil without ZoneOverflow
	nextUpdate time.Time
}

// overflowSettings returns the costs of a replica in another zone.
func (f *Fleet) overflowSettings(p *pool) zoneoverflow.Settings {
	s := zoneoverflow.Settings{
		Latency:     crossZoneLatency,
		TrafficCost: time.Duration(f.opts.ZoneOverflow.CostPerGB * trafficPerRequest * float64(time.Millisecond)),
	}
	if p.upstream.Engine != nil {
		s.UsualCost = crossZoneEngineCost
	}
	return s
}

// updateOverflow applies the present load of the upstream's zones if the last update is old enough.
func (f *Fleet) updateOverflow(p *pool, now time.Time) {
	o := &p.overflow
	if f.opts.ZoneOverflow == nil || now.Before(o.nextUpdate) {
		return
	}
	o.nextUpdate = now.Add(overflowInterval)
	if s := f.overflowSettings(p); o.decider == nil || o.decider.Settings() != s {
		o.decider = zoneoverflow.New(s)
	}
	o.decider.Update(f.opts.Zone, f.zoneLoads(p, now), now)
}

// zoneLoads returns the load of the upstream's replicas by zone, as far as this host knows the
// requests of all hosts. The wait in a zone is the lower quartile of its replicas: a request goes to
// the best of a sample, and half of the replicas may read a prompt while others are idle.
func (f *Fleet) zoneLoads(p *pool, now time.Time) (zones []zoneoverflow.Zone) {
	var waits [][]time.Duration // by zone
	for _, r := range p.replicas {
		i := slices.IndexFunc(zones, func(z zoneoverflow.Zone) bool { return z.Name == r.member.Zone })
		if i < 0 {
			i = len(zones)
			zones = append(zones, zoneoverflow.Zone{Name: r.member.Zone, CutOff: f.inAvoidedZone(r, now)})
			waits = append(waits, make([]time.Duration, 0, len(p.replicas)))
		}
		if !r.member.usable(now) || !r.admissible(now) {
			continue
		}
		zones[i].Replicas++
		zones[i].Room += f.room(p, r, now)
		waits[i] = append(waits[i], f.waitAt(p, r, now))
	}
	for i := range zones {
		if n := zones[i].Replicas; n > 0 {
			zones[i].Room /= float64(n)
			slices.Sort(waits[i])
			zones[i].Wait = waits[i][n/4]
		}
	}
	return zones
}

// room returns the share of the replica's capacity that is free: of its slots, or for an engine of its
// time for prompts if that is less.
func (f *Fleet) room(p *pool, r *replica, now time.Time) float64 {
	slots, free := r.member.Slots, 1.0
	if e := p.upstream.Engine; e != nil {
		free = 1 - r.prefillShare(now)
		if e.Slots > 0 {
			slots = e.Slots
		}
	}
	return max(min(free, 1-float64(r.inFlight())/float64(max(slots, 1))), 0)
}

// waitAt returns how long a request would wait at the replica for those ahead of it.
func (f *Fleet) waitAt(p *pool, r *replica, now time.Time) time.Duration {
	if p.upstream.Engine != nil {
		return r.backlog(now)
	}
	return f.serviceLatency(p, r) - time.Duration(r.slowness*float64(p.meanLatency))
}

// drawOverflow decides at random to which zones' shares the request belongs.
func (f *Fleet) drawOverflow(p *pool, q *Request) {
	if d := p.overflow.decider; d != nil && d.Overflowing() {
		q.overflowDraw = f.random.Float64()
	}
}

// crossZoneCost returns the cost that the candidate has for being in another zone.
func (f *Fleet) crossZoneCost(p *pool, q *Request, c *candidate) time.Duration {
	d, zone := p.overflow.decider, c.replica.member.Zone
	if d == nil {
		if p.upstream.Engine != nil {
			return crossZoneLatency + crossZoneEngineCost
		}
		return crossZoneLatency
	}
	share := d.Share(zone)
	// A request whose session is cached there saves more than a place in the share is worth.
	cached := len(q.Prompt) > 1 && c.cachedOrPendingTokens > q.Prompt[0].Tokens
	return d.Cost(zone, share > 0 && (cached || q.overflowDraw < share))
}

// ZoneShare is the share of this host's requests to an upstream that consider the replicas of another
// zone at the reduced cost.
type ZoneShare struct {
	Upstream, Zone string
	Share          float64
	Cost           time.Duration // for requests that are not part of the share
}

// ZoneShares returns the shares of all other zones; none without ZoneOverflow. It applies the present
// load, as the shares are otherwise not updated while there are no requests.
func (f *Fleet) ZoneShares(now time.Time) (shares []ZoneShare) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, p := range f.pools {
		if p.overflow.decider == nil {
			continue
		}
		f.updateOverflow(p, now)
		for _, zone := range p.overflow.decider.OtherZones(f.opts.Zone) {
			shares = append(shares, ZoneShare{name, zone, p.overflow.decider.Share(zone), p.overflow.decider.Cost(zone, false)})
		}
	}
	return shares
}
