package picker

import (
	"math"
	"slices"
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/health"
)

const (
	// A report loses its value as the requests that it counted end, so its
	// weight falls with the mean time that a request takes, within these bounds.
	minReportLife = 50 * time.Millisecond
	maxReportLife = 5 * time.Second
	servedRate    = 0.02 // weight of a new sample in the mean service time
	maxModels     = 64   // bits of a model mask
)

// pool indexes the replicas of an upstream by zone.
type pool struct {
	name     string
	slots    int
	reserve  int
	models   []string
	replicas []*Replica
	local    []*Replica // in this host's zone
	remote   []*Replica
	zones    []zoneLoad
	counts   []count // by model; one entry for services
	health   *health.Pool
	serviced float64 // mean seconds that a request takes
	suspects int     // requests of suspects in flight
	meanLoad float64 // requests on a live replica
	// recent counts this host's dispatches, those of a second ago by 1/e.
	recent    float64
	refreshed time.Time
	unknown   float64 // requests that the zone's other hosts are expected to have sent since their reports
	unseen    float64 // requests sent to a replica by all other hosts since its report, for one of recent
}

type count struct {
	planned int // slots of all replicas with the model, serving or not
	total   int
	free    [levels]int
}

// zoneLoad sums what is known of a zone's replicas.
type zoneLoad struct {
	name     string
	reported float64
	reports  int
	own      int
	replicas int
}

func newPool(b *bundle.Bundle, u *bundle.Upstream, old map[string]*pool) *pool {
	p := &pool{name: u.Name, slots: u.Slots, models: u.Models, serviced: 1, health: &health.Pool{}}
	if before, ok := old[u.Name]; ok {
		p.health = before.health
		p.serviced = before.serviced
	}
	p.counts = make([]count, max(len(u.Models), 1))
	p.health.InterTokenTarget = 0
	for i := range b.Classes {
		c := &b.Classes[i]
		if !slices.Contains(u.Classes, c.Name) {
			continue
		}
		if c.Tier == bundle.TopTier {
			p.reserve = int(reserveShare * float64(u.Slots))
		}
		if t := c.InterTokenTarget.Std(); t > 0 && (p.health.InterTokenTarget == 0 || t < p.health.InterTokenTarget) {
			p.health.InterTokenTarget = t
		}
	}
	return p
}

func (p *pool) fill(u *bundle.Upstream, old, current map[scheduling.ReplicaID]*Replica, zone string) {
	for i := range u.Replicas {
		id := scheduling.ReplicaID{Upstream: u.Name, Replica: u.Replicas[i].ID}
		r, kept := old[id]
		if !kept {
			r = newReplica(p, &u.Replicas[i])
		}
		if r.removed {
			// Its requests from before it was removed still run.
			r.removed = false
			r.health = p.health.Add()
		}
		r.pool = p
		r.address = u.Replicas[i].Address
		r.local = u.Replicas[i].AvailabilityZone == zone
		r.zone = p.zone(u.Replicas[i].AvailabilityZone)
		p.suspects += r.suspects
		r.counted = false
		r.free = [levels]int{}
		current[id] = r
		p.replicas = append(p.replicas, r)
		if r.local {
			p.local = append(p.local, r)
		} else {
			p.remote = append(p.remote, r)
		}
	}
}

func (p *pool) zone(name string) int {
	for i := range p.zones {
		if p.zones[i].name == name {
			return i
		}
	}
	p.zones = append(p.zones, zoneLoad{name: name})
	return len(p.zones) - 1
}

// usable returns the slots of a replica that a level may fill.
func (p *pool) usable(level int) int {
	if level == levelLower {
		return p.slots - p.reserve
	}
	return p.slots
}

// model returns the index of a model; services have the single index 0.
func (p *pool) model(name string) (int, bool) {
	if name == "" {
		return 0, true
	}
	i := slices.Index(p.models, name)
	return i, i >= 0 && i < maxModels
}

// plan counts the replica's slots for the models that it last reported.
func (p *pool) plan(r *Replica) {
	for m := range p.counts {
		if r.models>>m&1 != 0 {
			p.counts[m].planned += p.slots
		}
	}
}

// modelMask returns the bits of the reported models. A replica that reports
// none is taken to serve all models of its upstream.
func (p *pool) modelMask(models []string) uint64 {
	if len(models) == 0 || len(p.models) == 0 {
		return math.MaxUint64
	}
	var mask uint64
	for _, name := range models {
		if i, ok := p.model(name); ok && name != "" {
			mask |= 1 << i
		}
	}
	return mask
}

func (p *pool) add(r *Replica, sign int) {
	if !r.counted {
		return
	}
	for m := range p.counts {
		if r.models>>m&1 == 0 {
			continue
		}
		p.counts[m].total += sign * p.slots
		for level := range r.free {
			p.counts[m].free[level] += sign * r.free[level]
		}
	}
}

func (p *pool) served(d time.Duration) { p.serviced += servedRate * (d.Seconds() - p.serviced) }

// refresh corrects all reports to now and counts the free slots anew.
func (p *pool) refresh(now time.Time, hosts, allHosts int) {
	for i := range p.zones {
		p.zones[i] = zoneLoad{name: p.zones[i].name}
	}
	for _, r := range p.replicas {
		z := &p.zones[r.zone]
		z.own += len(r.flights)
		z.replicas++
		if r.hasReport && r.state == scheduling.ReplicaLive {
			z.reported += r.reported
			z.reports++
		}
	}
	life := min(max(p.serviced, minReportLife.Seconds()), maxReportLife.Seconds())
	clear(p.counts)
	p.age(now, hosts, allHosts)
	load, serving := 0.0, 0
	for _, r := range p.replicas {
		r.others, r.doubt = p.zones[r.zone].others(r, now, life, hosts)
		r.slow = r.health.Slowness(now)
		r.inter = r.health.InterToken(now).Seconds()
		r.counted = false
		r.recount(now)
		p.plan(r)
		if r.counted {
			load += r.load()
			serving++
		}
	}
	p.meanLoad = load / float64(max(serving, 1))
}

// age estimates what the reports cannot show yet: the other hosts of the zone
// are taken to send as much as this one.
func (p *pool) age(now time.Time, hosts, allHosts int) {
	if p.refreshed.IsZero() {
		p.refreshed = now
	}
	p.recent *= math.Exp(-now.Sub(p.refreshed).Seconds())
	p.refreshed = now
	age, reports := 0.0, 0.0
	for _, r := range p.replicas {
		if r.hasReport && r.counted {
			age += min(max(now.Sub(r.reportedAt).Seconds(), 0), maxReportLife.Seconds())
			reports++
		}
	}
	age /= max(reports, 1)
	// Requests sent longer ago than one takes have ended since, and the part of
	// the estimate that comes from the mean has the others' requests in it.
	fresh := min(p.serviced/max(age, minReportLife.Seconds()), 1)
	age = min(age, p.serviced)
	p.unknown = p.recent * float64(hosts-1) * age
	p.unseen = fresh * float64(allHosts-1) * age / max(reports, 1)
}

// others estimates the requests of other hosts on the replica: its own report
// moves towards the zone's mean as it ages. Without any report the other hosts
// of the zone are taken to load the zone as this one does. The second result is
// the standard deviation of the estimate, that of independent arrivals.
func (z *zoneLoad) others(r *Replica, now time.Time, life float64, hosts int) (load, doubt float64) {
	mean := float64(z.own*(hosts-1)) / float64(z.replicas)
	if z.reports > 0 {
		mean = z.reported / float64(z.reports)
	}
	if !r.hasReport {
		return mean, math.Sqrt(mean)
	}
	weight := math.Exp(-max(now.Sub(r.reportedAt).Seconds(), 0) / life)
	load = weight*r.reported + (1-weight)*mean
	return load, math.Sqrt(load * (1 - weight*weight))
}
