package picker

import (
	"math"
	"slices"
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/health"
)

// Replica is what this host knows of a replica.
type Replica struct {
	id      scheduling.ReplicaID
	address string
	local   bool // in this host's zone
	zone    int  // index into the pool's zones
	pool    *pool
	health  *health.Member
	state   scheduling.ReplicaState
	models  uint64 // bit per model of the upstream
	removed bool

	flights   []flight
	top       int // flights of the top tier
	suspects  int // flights of suspects
	crashedAt time.Time
	ended     [32]interval // requests that ended lately, for correcting reports
	endedNext int

	hasReport  bool
	reportedAt time.Time
	reported   float64     // requests of other hosts at the time of the report
	others     float64     // the same, corrected to now
	doubt      float64     // standard deviation of others
	slow       float64     // measured first-token time relative to the upstream's usual one
	inter      float64     // measured seconds per token
	quota      [levels]int // requests of this host that its report leaves room for
	limit      int         // requests of this host that its health allows
	brokeAt    time.Time   // last crash that this host saw
	free       [levels]int
	counted    bool // part of the pool's total

	firsts, inters                samples
	dispatched, completed, failed uint64
	affinityEpoch                 uint32
	cacheSequence                 uint64
}

// Levels of free slots: lower tiers leave a reserve to the top tier.
const (
	levelTop = iota
	levelLower
	levels
)

// reserveShare is the share of a replica's slots that lower tiers leave free
// where the top tier is served. Other hosts' top-tier requests that arrived
// since the last report find room there.
const reserveShare = 0.25

// quotaLife is the age from which a report no longer tells which slots are free.
const quotaLife = 3 * time.Second

// flight is a request in progress on a replica.
type flight struct {
	id            string
	fingerprint   uint64
	started       time.Time
	top           bool
	suspect       bool
	otherSuspects int // suspects that ran beside it when the replica crashed
}

type interval struct{ from, to time.Time }

func (r *Replica) start(f flight) {
	r.flights = append(r.flights, f)
	r.dispatched++
	if f.top {
		r.top++
	}
	if f.suspect {
		r.suspect(1)
	}
}

// suspect counts the flights of suspects.
func (r *Replica) suspect(n int) {
	r.suspects += n
	r.pool.suspects += n
}

func (r *Replica) end(id string, now time.Time) (flight, bool) {
	i := slices.IndexFunc(r.flights, func(f flight) bool { return f.id == id })
	if i < 0 {
		return flight{}, false
	}
	f := r.flights[i]
	r.flights[i] = r.flights[len(r.flights)-1]
	r.flights[len(r.flights)-1] = flight{}
	r.flights = r.flights[:len(r.flights)-1]
	if f.top {
		r.top--
	}
	r.ended[r.endedNext] = interval{f.started, now}
	r.endedNext = (r.endedNext + 1) % len(r.ended)
	r.pool.served(now.Sub(f.started))
	return f, true
}

func (r *Replica) count(completed bool) {
	if completed {
		r.completed++
		return
	}
	r.failed++
}

// report takes a report. The requests of this host at the time of the report
// are subtracted, which leaves those of the other hosts. The host may
// fill only its part of the free slots until the next report, or all hosts with a
// backlog would fill the same slots. random rounds the part, so that the
// parts of all hosts add up to the free slots on average.
func (r *Replica) report(load *scheduling.ReplicaLoad, hosts int, random float64) {
	r.state = load.State
	if load.HasReport {
		// A replica that is down reports nothing; its last models tell for which
		// of them capacity is missing.
		r.models = r.pool.modelMask(load.Models)
	}
	if !load.HasReport || r.hasReport && load.ReportedAt.Before(r.reportedAt) {
		return
	}
	r.hasReport = true
	r.reportedAt = load.ReportedAt
	own, all := r.ownAt(load.ReportedAt), load.Running+load.Waiting
	r.reported = math.Max(0, float64(all-own))
	for level := range r.quota {
		free := max(r.pool.usable(level)-all, 0)
		r.quota[level] = own + int(float64(free)/float64(hosts)+random)
	}
}

func (r *Replica) ownAt(t time.Time) int {
	n := 0
	for i := range r.flights {
		if !r.flights[i].started.After(t) {
			n++
		}
	}
	for i := range r.ended {
		if !r.ended[i].from.After(t) && r.ended[i].to.After(t) {
			n++
		}
	}
	return n
}

func (r *Replica) serving() bool {
	return r.state == scheduling.ReplicaLive && r.limit > 0 && !r.removed
}

// load is the number of requests expected on the replica now.
func (r *Replica) load() float64 { return r.others + float64(len(r.flights)) }

// recount updates the replica's part of the pool's free slots.
func (r *Replica) recount(now time.Time) {
	if r.removed {
		return
	}
	r.pool.add(r, -1)
	r.limit = r.health.Limit(now, r.pool.slots)
	r.counted = r.serving()
	for level := range r.free {
		free := min(r.pool.usable(level)-int(math.Round(r.load())), r.limit-len(r.flights))
		if r.hasReport && now.Sub(r.reportedAt) < quotaLife {
			free = min(free, r.room(level))
		}
		if !r.counted {
			free = 0
		}
		r.free[level] = max(free, 0)
	}
	r.pool.add(r, 1)
}

// room returns the slots that this host may fill: its part of those free at the
// last report, or what is left if the other hosts sent as much as this one since.
func (r *Replica) room(level int) int {
	left := float64(r.pool.usable(level)) - r.load() - r.pool.recent*r.pool.unseen
	return max(r.quota[level]-len(r.flights), int(left))
}

func (r *Replica) measurement() (scheduling.ReplicaMeasurement, bool) {
	m := scheduling.ReplicaMeasurement{
		ID: r.id, InProgress: len(r.flights), Dispatched: r.dispatched, Completed: r.completed, Failed: r.failed,
		FirstTokenP50: r.firsts.median(), InterTokenP50: r.inters.median(), Ejected: r.health.Ejected(),
	}
	if m.Ejected {
		m.EjectionReason = r.health.Reason()
	}
	r.dispatched, r.completed, r.failed = 0, 0, 0
	r.firsts.n, r.inters.n = 0, 0
	return m, m.InProgress > 0 || m.Dispatched+m.Completed+m.Failed > 0 || m.Ejected
}

// sampleCount bounds the latencies kept between two reports.
const sampleCount = 32

// samples holds the last latencies; it allocates on first use because most of
// the replicas at the design size take no request from a given host.
type samples struct {
	n      int
	values []time.Duration
}

func (s *samples) add(d time.Duration) {
	if s.values == nil {
		s.values = make([]time.Duration, sampleCount)
	}
	s.values[s.n%sampleCount] = d
	s.n++
}

func (s *samples) median() time.Duration {
	n := min(s.n, sampleCount)
	if n == 0 {
		return 0
	}
	slices.Sort(s.values[:n])
	return s.values[n/2]
}

func newReplica(u *pool, r *bundle.Replica) *Replica {
	return &Replica{
		id:     scheduling.ReplicaID{Upstream: u.name, Replica: r.ID},
		pool:   u,
		health: u.health.Add(),
		models: math.MaxUint64,
		slow:   1,
	}
}
