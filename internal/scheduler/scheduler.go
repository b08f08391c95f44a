// Package scheduler admits requests, queues them by tier, guaranteed share and
// deadline, assigns them to replicas and preempts lower tiers. Tier 1 is the top
// tier; a higher tier has a lower number.
//
// Enqueue either refuses a request immediately or returns a Ticket. A ticket is
// resolved in exactly one of three ways: it is granted an Assignment, refused
// while it waits (for example because its deadline can no longer be met) or
// canceled. Ticket.Wait blocks until then. The scheduler performs no I/O and
// starts no goroutines: all work is done in the calls of the request path and in
// Tick.
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

// Options configures a Scheduler.
type Options struct {
	Host             string
	AvailabilityZone string
	Clock            clockwork.Clock
	Seed             uint64 // seeds the scheduler's and the picker's random numbers
	// Picker overrides the default picker, for example in a benchmark.
	Picker Picker
}

// Scheduler queues requests and assigns them to replicas. It is safe for
// concurrent use.
type Scheduler struct {
	opts     Options
	features features

	mu               sync.Mutex
	picker           Picker
	estimator        *estimator.Estimator
	limiter          *limits.Limiter
	snapshot         *bundle.Snapshot
	previousSnapshot *bundle.Snapshot     // for requests whose indexes refer to it
	classes          []*class             // by index in the current bundle
	classesByName    map[string]*class    // includes classes that a later bundle removed
	upstreams        []*upstream          // by index in the current bundle
	upstreamsByName  map[string]*upstream // includes upstreams that a later bundle removed
	pools            map[poolKey]*pool
	poolList         []*pool             // the values of pools in order of creation
	expiry           queue.Heap[*Ticket] // waiting requests by expiresAt
	demand           map[demandKey]*scheduling.ClassDemand
	random           *rand.Rand
	hostCount        int    // hosts that compete for the same free slots
	pass             uint64 // number of the current dispatch pass
	// Tokens that preemption may still discard. It is negative after a preemption
	// that cost more than the budget.
	wasteBudget     float64
	lastTick        time.Time
	arrivalSequence int64   // numbers the arrivals for FIFO order
	meanEntitlement float64 // mean of the teams' entitlements (tokens_per_second)
}

// features selects the scheduling mechanisms in use, so that benchmarks such as
// BenchmarkPolicy and BenchmarkFairness can disable them one by one for the
// comparisons under docs/decisions.
type features struct {
	fifo               bool // serve requests in order of arrival and ignore tiers
	headroom           bool // keep free slots for the top tier
	preemption         bool // interrupt lower tiers when top-tier requests wait
	onTimeFirst        bool // serve requests that can still meet their target first
	earlyRefusal       bool // refuse requests that are expected to miss their deadline
	teamFairness       bool // order the requests of a class fairly among its teams
	lowerTierAllowance bool // limit lower tiers to this host's portion of the free slots
}

var defaultFeatures = features{headroom: true, preemption: true, onTimeFirst: true, earlyRefusal: true, teamFairness: true, lowerTierAllowance: true}

type demandKey struct {
	class string
	model string
}

// New returns a scheduler without a bundle. It refuses all requests until Update
// installs a bundle.
func New(opts Options) *Scheduler {
	p := opts.Picker
	if p == nil {
		p = picker.New(picker.Options{
			Host: opts.Host, AvailabilityZone: opts.AvailabilityZone, Clock: opts.Clock, Seed: opts.Seed,
		})
	}
	return &Scheduler{
		opts:            opts,
		features:        defaultFeatures,
		picker:          p,
		estimator:       estimator.New(opts.Clock),
		limiter:         limits.New(limits.Options{AvailabilityZone: opts.AvailabilityZone, Clock: opts.Clock}),
		classesByName:   make(map[string]*class),
		upstreamsByName: make(map[string]*upstream),
		pools:           make(map[poolKey]*pool),
		demand:          make(map[demandKey]*scheduling.ClassDemand),
		lastTick:        opts.Clock.Now(),
		random:          rand.New(rand.NewPCG(opts.Seed, 0)),
		hostCount:       1,
		wasteBudget:     initialWasteTokens,
	}
}

// Update installs a new bundle or view; a nil argument keeps the current one.
// It refuses the waiting requests whose class or team no longer exists or none of
// whose upstreams still serves the class, and those that the picker refuses. It then
// dispatches the others.
func (s *Scheduler) Update(snapshot *bundle.Snapshot, view *scheduling.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Update(snapshot, view)
	s.limiter.Update(snapshot, view)
	if snapshot != nil {
		s.installBundle(snapshot)
	}
	if s.snapshot == nil {
		return
	}
	s.refreshPools()
	if view != nil {
		s.hostCount = max(view.HostsInZone, 1) * max(view.ZoneCount, 1)
		for _, p := range s.poolList {
			s.resetAllowance(p)
		}
	}
	s.refuseAllIneligible()
	s.dispatch(s.poolList)
}

// Enqueue admits a request and returns its ticket, or a
// *scheduling.RefusedError. A request whose earlier attempt failed or that was
// preempted is enqueued again with Attempt or Preempted set, respectively, and with
// its Progress and Preemptions; its deadline and its position are still based on its
// original arrival.
func (s *Scheduler) Enqueue(r scheduling.Request) (*Ticket, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &Ticket{scheduler: s, request: r}
	if refused := s.admit(t); refused != nil {
		return nil, refused
	}
	p := t.classQueue.pool
	s.dispatch(p.self[:])
	if t.state == waiting && t.class.Tier == bundle.TopTier {
		s.preempt(p)
	}
	return t, nil
}

// Tick performs the periodic work: it updates rates and free slots, refuses
// expired requests, dispatches and preempts. It must be called every 50 ms.
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

// SuspectEvents returns the crashes and completions of suspect fingerprints that
// this host observed since the last call. It should be called after each Finish so
// that other hosts are informed without delay.
func (s *Scheduler) SuspectEvents() []scheduling.SuspectEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.SuspectEvents()
}

// Report returns the replica measurements, team usage, demand and stated request
// limits of this host since the last call.
func (s *Scheduler) Report() scheduling.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := scheduling.Report{Replicas: s.picker.Measurements(), Teams: s.limiter.Usage(), Limits: s.picker.Limits()}
	for _, d := range s.demand {
		if d.Requests > 0 || d.Tokens > 0 || d.Refused > 0 {
			report.Demand = append(report.Demand, *d)
			d.Requests, d.Tokens, d.Refused = 0, 0, 0
		}
	}
	slices.SortFunc(report.Demand, compareDemand)
	return report
}
