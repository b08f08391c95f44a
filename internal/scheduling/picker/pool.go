package picker

import (
	"math"
	"slices"
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/health"
	"heatherbarrow/internal/scheduling/requestlimit"
	"heatherbarrow/internal/scheduling/statement"
)

const (
	// A report becomes outdated as the requests that it counted complete. Its
	// weight therefore decays exponentially; the time constant is the mean service
	// time, clamped to these bounds.
	minReportDecayTime = 50 * time.Millisecond
	maxReportDecayTime = 5 * time.Second
	emaWeight          = 0.02 // weight of a new sample in the moving average of the service time
	maxModels          = 64   // bits in a model mask
)

// pool holds the replicas of one upstream, split by zone, with their slot counts and
// the load estimates that the replicas share.
type pool struct {
	name              string
	slotsPerReplica   int
	reservePerReplica int // slots that only the top tier may use
	models            []string
	replicas          []*Replica
	inZone            []*Replica // in this host's zone
	otherZones        []*Replica // in the other zones
	zones             []zoneLoad
	limitHosts        *requestlimit.Hosts // that share the request limits of the replicas
	slotsByModel      []slotCounts        // by model index; a single entry for services
	health            *health.Pool
	meanService       float64 // moving average of the seconds from dispatch to the end of an attempt
	suspectsInFlight  int     // in-flight requests whose fingerprint is a suspect
	meanLoad          float64 // mean estimated load of the serving replicas
	// recentDispatches counts this host's dispatches with a weight that decays
	// exponentially with a time constant of one second, which approximates the
	// dispatches per second.
	recentDispatches float64
	refreshedAt      time.Time
	// unreported is the expected number of requests that the other hosts of the
	// zone sent to the pool since the replicas' last reports.
	unreported float64
	// unreportedPerDispatch is the expected number of requests that all other hosts, in
	// all zones, sent to a replica since its last report, per unit of recentDispatches.
	unreportedPerDispatch float64
}

// slotCounts sums the slots of the replicas that hold a model.
type slotCounts struct {
	planned int         // slots of all replicas, serving or not
	total   int         // slots of the serving replicas
	free    [levels]int // free slots of the serving replicas by level
}

// zoneLoad sums the load of the replicas of an upstream in one zone.
type zoneLoad struct {
	name         string
	reportedLoad float64 // requests of other hosts at the time of the reports
	reportCount  int     // live replicas with a report
	ownInFlight  int     // in-flight requests of this host
	replicas     int
}

// newPool returns an upstream's pool without replicas. It takes the health state and the
// mean service time from the upstream's previous pool, if there is one.
func newPool(b *bundle.Bundle, u *bundle.Upstream, oldPools map[string]*pool) *pool {
	// The mean service time is one second until attempts have ended.
	p := &pool{name: u.Name, slotsPerReplica: u.Slots, models: u.Models, meanService: 1, health: &health.Pool{}}
	if previous, ok := oldPools[u.Name]; ok {
		p.health = previous.health
		p.meanService = previous.meanService
	}
	p.slotsByModel = make([]slotCounts, max(len(u.Models), 1))
	p.health.InterTokenTarget = 0
	for i := range b.Classes {
		c := &b.Classes[i]
		if !slices.Contains(u.Classes, c.Name) {
			continue
		}
		if c.Tier == bundle.TopTier {
			p.reservePerReplica = int(reserveShare * float64(u.Slots))
		}
		if t := c.InterTokenTarget.Std(); t > 0 && (p.health.InterTokenTarget == 0 || t < p.health.InterTokenTarget) {
			p.health.InterTokenTarget = t
		}
	}
	return p
}

// addReplicas adds the upstream's replicas to the pool and to allReplicas. Replicas in
// oldReplicas keep their state. zone is this host's zone, said what the processes at all addresses said of themselves.
func (p *pool) addReplicas(u *bundle.Upstream, oldReplicas, allReplicas map[scheduling.ReplicaID]*Replica, zone string, said map[string]*statement.State) {
	for i := range u.Replicas {
		id := scheduling.ReplicaID{Upstream: u.Name, Replica: u.Replicas[i].ID}
		r, kept := oldReplicas[id]
		if !kept {
			r = newReplica(p, &u.Replicas[i])
		}
		if r.removed {
			// The replica returns to the bundle while requests from before its removal
			// are still in flight.
			r.removed = false
			r.health = p.health.Add()
		}
		r.pool = p
		r.address = u.Replicas[i].Address
		r.said = said[r.address]
		r.inZone = u.Replicas[i].AvailabilityZone == zone
		r.zone = p.zone(u.Replicas[i].AvailabilityZone)
		p.suspectsInFlight += r.suspectsInFlight
		r.counted = false
		r.free = [levels]int{}
		allReplicas[id] = r
		p.replicas = append(p.replicas, r)
		if r.inZone {
			p.inZone = append(p.inZone, r)
		} else {
			p.otherZones = append(p.otherZones, r)
		}
	}
}

// zone returns the index of a zone in zones and adds the zone when it is missing.
func (p *pool) zone(name string) int {
	for i := range p.zones {
		if p.zones[i].name == name {
			return i
		}
	}
	p.zones = append(p.zones, zoneLoad{name: name})
	return len(p.zones) - 1
}

// usableSlots returns the number of a replica's slots that requests of a level may use.
func (p *pool) usableSlots(level int) int {
	if level == levelLower {
		return p.slotsPerReplica - p.reservePerReplica
	}
	return p.slotsPerReplica
}

// modelIndex returns the index of a model and reports whether the upstream serves it.
// Requests to services have no model; their index is 0.
func (p *pool) modelIndex(name string) (int, bool) {
	if name == "" {
		return 0, true
	}
	i := slices.Index(p.models, name)
	return i, i >= 0 && i < maxModels
}

// addPlanned adds the replica's slots to the planned slots of the models that it last
// reported.
func (p *pool) addPlanned(r *Replica) {
	for m := range p.slotsByModel {
		if r.modelBits>>m&1 != 0 {
			p.slotsByModel[m].planned += p.slotsPerReplica
		}
	}
}

// modelMask returns a mask with one bit for each of the reported models. A replica that
// reports no models is assumed to serve all models of its upstream.
func (p *pool) modelMask(models []string) uint64 {
	if len(models) == 0 || len(p.models) == 0 {
		return math.MaxUint64
	}
	var mask uint64
	for _, name := range models {
		if i, ok := p.modelIndex(name); ok && name != "" {
			mask |= 1 << i
		}
	}
	return mask
}

// adjustCounts adds (sign 1) or subtracts (sign -1) a replica's slots and free slots. It has
// no effect if the replica is not counted.
func (p *pool) adjustCounts(r *Replica, sign int) {
	if !r.counted {
		return
	}
	for m := range p.slotsByModel {
		if r.modelBits>>m&1 == 0 {
			continue
		}
		p.slotsByModel[m].total += sign * p.slotsPerReplica
		for level := range r.free {
			p.slotsByModel[m].free[level] += sign * r.free[level]
		}
	}
}

// observe adds the duration of an attempt that ended to the mean service time.
func (p *pool) observe(d time.Duration) { p.meanService += emaWeight * (d.Seconds() - p.meanService) }

// refresh updates the load estimates of all replicas to the current time and recomputes
// the slot counts. limitHosts share the request limits; hostsInZone and totalHosts are the numbers of hosts in this host's zone
// and in all zones.
func (p *pool) refresh(now time.Time, limitHosts *requestlimit.Hosts, hostsInZone, totalHosts int) {
	p.limitHosts = limitHosts
	for i := range p.zones {
		p.zones[i] = zoneLoad{name: p.zones[i].name}
	}
	for _, r := range p.replicas {
		z := &p.zones[r.zone]
		z.ownInFlight += len(r.inFlight)
		z.replicas++
		if r.hasReport && r.state == scheduling.ReplicaLive {
			z.reportedLoad += r.reportedLoad
			z.reportCount++
		}
	}
	decaySeconds := min(max(p.meanService, minReportDecayTime.Seconds()), maxReportDecayTime.Seconds())
	clear(p.slotsByModel)
	p.age(now, hostsInZone, totalHosts)
	load, servingCount := 0.0, 0
	for _, r := range p.replicas {
		r.otherLoad, r.otherLoadDeviation = p.zones[r.zone].otherLoad(r, now, decaySeconds, hostsInZone)
		r.slowness = r.health.Slowness(now)
		r.interTokenSeconds = r.health.InterToken(now).Seconds()
		r.counted = false
		r.updateFreeSlots(now)
		p.addPlanned(r)
		if r.counted {
			load += r.load()
			servingCount++
		}
	}
	p.meanLoad = load / float64(max(servingCount, 1))
}

// age updates recentDispatches, unreported and unreportedPerDispatch. It decays the first and
// estimates the others from the mean age of the replicas' reports. It assumes that
// every host sends as many requests as this one.
func (p *pool) age(now time.Time, hostsInZone, totalHosts int) {
	if p.refreshedAt.IsZero() {
		p.refreshedAt = now
	}
	p.recentDispatches *= math.Exp(-now.Sub(p.refreshedAt).Seconds())
	p.refreshedAt = now
	age, reports := 0.0, 0.0
	for _, r := range p.replicas {
		if r.hasReport && r.counted {
			age += min(max(now.Sub(r.reportedAt).Seconds(), 0), maxReportDecayTime.Seconds())
			reports++
		}
	}
	age /= max(reports, 1)
	// Requests older than the mean service time have completed, so that the age is
	// capped at it. The older a report, the more of the replica's load estimate comes
	// from the mean of the zone, which already includes requests of other hosts. The
	// discount keeps these from being counted twice.
	discount := min(p.meanService/max(age, minReportDecayTime.Seconds()), 1)
	age = min(age, p.meanService)
	p.unreported = p.recentDispatches * float64(hostsInZone-1) * age
	p.unreportedPerDispatch = discount * float64(totalHosts-1) * age / max(reports, 1)
}

// otherLoad estimates the number of other hosts' requests on the replica. The
// estimate moves from the replica's own report toward the mean of its zone as the report
// ages. If no replica of the zone has a report, every other host of this host's zone is
// assumed to load the replica's zone as much as this host does. deviation is the standard
// deviation of the estimate under independent arrivals.
func (z *zoneLoad) otherLoad(r *Replica, now time.Time, decaySeconds float64, hostsInZone int) (load, deviation float64) {
	mean := float64(z.ownInFlight*(hostsInZone-1)) / float64(z.replicas)
	if z.reportCount > 0 {
		mean = z.reportedLoad / float64(z.reportCount)
	}
	if !r.hasReport {
		return mean, math.Sqrt(mean)
	}
	weight := math.Exp(-max(now.Sub(r.reportedAt).Seconds(), 0) / decaySeconds)
	load = weight*r.reportedLoad + (1-weight)*mean
	return load, math.Sqrt(load * (1 - weight*weight))
}
