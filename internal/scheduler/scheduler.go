// Package scheduler admits requests, queues them by tier, guaranteed share and
// deadline, assigns them to replicas and preempts lower tiers.
//
// Enqueue refuses a request at once or returns a Ticket. A ticket ends in exactly
// one of three ways: an Assignment, a refusal after all (for example when the
// deadline can no longer be met) or a cancellation. Ticket.Wait waits for any of
// them. The scheduler performs no I/O and starts no goroutines: it acts within
// the calls of the traffic path and within Tick.
package scheduler

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/estimator"
	"heatherbarrow/internal/scheduling/limits"
	"heatherbarrow/internal/scheduling/picker"
	"heatherbarrow/internal/scheduling/queue"
)

// Options configure a Scheduler.
type Options struct {
	Host             string
	AvailabilityZone string
	Clock            clockwork.Clock
	Seed             uint64 // seed of the picker's random choice
	// Picker replaces the default picker, for example in a benchmark.
	Picker scheduling.Picker
}

// Scheduler queues requests and assigns them to replicas. It is safe for
// concurrent use.
type Scheduler struct {
	opts   Options
	tuning tuning

	mu              sync.Mutex
	picker          scheduling.Picker
	estimator       *estimator.Estimator
	limiter         *limits.Limiter
	snapshot        *bundle.Snapshot
	previous        *bundle.Snapshot // for requests that were read under it
	classes         []*class         // by index in the bundle
	known           map[string]*class
	upstreams       []*upstream // by index in the bundle
	byName          map[string]*upstream
	pools           map[poolKey]*pool
	poolList        []*pool
	expiry          queue.Heap[*Ticket] // waiting requests by the time of certain refusal
	demand          map[demandKey]*scheduling.ClassDemand
	random          *rand.Rand
	hosts           int     // that see the same free slots
	pass            uint64  // number of the current dispatch pass
	waste           float64 // tokens that preemption may still throw away
	ticked          time.Time
	sequence        int64   // of arrivals
	meanEntitlement float64 // of the teams in tokens/s
}

// tuning selects the mechanisms in use; the comparisons under docs/decisions
// switch them off one by one.
type tuning struct {
	fifo         bool // order of arrival only
	headroom     bool // free slots are kept for the top tier
	preemption   bool
	freshFirst   bool // requests that can still meet their target go first
	earlyRefusal bool
	fairness     bool // among the teams of a class
	allowance    bool // lower tiers take only this host's part of the free slots
}

var defaultTuning = tuning{headroom: true, preemption: true, freshFirst: true, earlyRefusal: true, fairness: true, allowance: true}

type demandKey struct {
	class string
	model string
}

// New returns a scheduler without a bundle; it refuses all requests until Update
// installs one.
func New(opts Options) *Scheduler {
	p := opts.Picker
	if p == nil {
		p = picker.New(picker.Options{
			AvailabilityZone: opts.AvailabilityZone, Clock: opts.Clock, Seed: opts.Seed,
		})
	}
	return &Scheduler{
		opts:      opts,
		tuning:    defaultTuning,
		picker:    p,
		estimator: estimator.New(opts.Clock),
		limiter:   limits.New(limits.Options{AvailabilityZone: opts.AvailabilityZone, Clock: opts.Clock}),
		known:     make(map[string]*class),
		byName:    make(map[string]*upstream),
		pools:     make(map[poolKey]*pool),
		demand:    make(map[demandKey]*scheduling.ClassDemand),
		ticked:    opts.Clock.Now(),
		random:    rand.New(rand.NewPCG(opts.Seed, 0)),
		hosts:     1,
		waste:     startWaste,
	}
}

// Update installs a new bundle or view; a nil argument leaves the old one.
// Waiting requests whose class, team or upstreams no longer exist are refused.
func (s *Scheduler) Update(snapshot *bundle.Snapshot, view *scheduling.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Update(snapshot, view)
	s.limiter.Update(snapshot, view)
	if snapshot != nil {
		s.install(snapshot)
	}
	if s.snapshot == nil {
		return
	}
	s.refreshPools()
	if view != nil {
		s.hosts = max(view.HostsInZone, 1) * max(view.ZoneCount, 1)
		for _, p := range s.poolList {
			s.allow(p)
		}
	}
	s.refuseQuarantined()
	s.dispatch(s.poolList)
}

// Enqueue admits a request. The error is a *scheduling.RefusedError. A request
// that was preempted or whose earlier attempt failed comes back through Enqueue
// with Attempt, Progress and Preemptions set; its deadline and place in the order
// remain those of its arrival.
func (s *Scheduler) Enqueue(r scheduling.Request) (*Ticket, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &Ticket{scheduler: s, request: r}
	if refused := s.admit(t); refused != nil {
		return nil, refused
	}
	p := t.lane.pool
	s.dispatch(p.self[:])
	if t.state == waiting && t.class.Tier == bundle.TopTier {
		s.preempt(p)
	}
	return t, nil
}

// Tick does the work that depends on time alone. It is to be called every 50 ms.
func (s *Scheduler) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Tick()
	if s.snapshot == nil {
		return
	}
	s.updateRates()
	s.refreshPools()
	s.refuseExpired()
	s.refuseUnreachable()
	s.dispatch(s.poolList)
	for _, p := range s.poolList {
		s.preempt(p)
	}
}

// SuspectEvents returns what this host learned of suspect fingerprints since the
// last call. It is to be called after each Finish, so that others learn at once.
func (s *Scheduler) SuspectEvents() []scheduling.SuspectEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.SuspectEvents()
}

// Report returns what this host measured and used since the last report.
func (s *Scheduler) Report() scheduling.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := scheduling.Report{Replicas: s.picker.Measurements(), Teams: s.limiter.Usage()}
	for _, d := range s.demand {
		if d.Requests > 0 || d.Tokens > 0 || d.Refused > 0 {
			report.Demand = append(report.Demand, *d)
			d.Requests, d.Tokens, d.Refused = 0, 0, 0
		}
	}
	slices.SortFunc(report.Demand, compareDemand)
	return report
}
