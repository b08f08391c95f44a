// Package picker chooses replicas by filters, scorers and a random choice among
// the best candidates. Replicas are indexed by upstream and zone, so that a
// decision looks at the few replicas that can serve the request.
package picker

import (
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/health"
	"heatherbarrow/internal/scheduling/quarantine"
)

// Options configure a Picker.
type Options struct {
	AvailabilityZone string
	Clock            clockwork.Clock
	Seed             uint64 // seed of the random choice
}

// Picker implements scheduling.Picker. Like the interface asks, the caller
// serializes all calls.
type Picker struct {
	opts       Options
	random     *rand.Rand
	snapshot   *bundle.Snapshot
	view       *scheduling.View // the last one
	pools      []*pool          // by index of the upstream in the bundle
	replicas   map[scheduling.ReplicaID]*Replica
	quarantine *quarantine.Quarantine
	events     []scheduling.SuspectEvent // not yet taken by SuspectEvents
	affinity   *affinity
	filters    []Filter
	scorers    []Scorer
	hosts      int // hosts in this zone
	allHosts   int // hosts of all zones, taken to be as many in each
	query      Query
	candidate  Candidate
	best       shortlist
}

// New returns a picker without a bundle.
func New(opts Options) *Picker {
	return &Picker{
		opts:       opts,
		random:     rand.New(rand.NewPCG(opts.Seed, 0x9e3779b97f4a7c15)),
		replicas:   make(map[scheduling.ReplicaID]*Replica),
		quarantine: quarantine.New(defaultCrashes, defaultQuarantine),
		affinity:   newAffinity(),
		filters:    defaultFilters(),
		scorers:    defaultScorers(),
		hosts:      1,
		allHosts:   1,
	}
}

// Limits of the quarantine where a bundle was compiled without defaults.
const (
	defaultCrashes    = 2
	defaultQuarantine = time.Hour
)

func (p *Picker) configureQuarantine(limits *bundle.Limits) {
	crashes, duration := limits.PoisonCrashes, limits.QuarantineTime.Std()
	if crashes <= 0 {
		crashes = defaultCrashes
	}
	if duration <= 0 {
		duration = defaultQuarantine
	}
	p.quarantine.Configure(crashes, duration)
}

// Update implements scheduling.Picker.
func (p *Picker) Update(snapshot *bundle.Snapshot, view *scheduling.View) {
	now := p.opts.Clock.Now()
	if snapshot != nil {
		p.snapshot = snapshot
		p.rebuild()
		p.configureQuarantine(&snapshot.Bundle.Limits)
	}
	if view != nil {
		p.view = view
		p.hosts = max(view.HostsInZone, 1)
		p.allHosts = p.hosts * max(view.ZoneCount, 1)
		p.quarantine.Update(view.Quarantine, p.opts.Clock.Now())
	}
	p.applyReports()
	p.refresh(now)
}

// applyReports gives the replicas their state and load of the last view. A bundle
// may bring replicas that the view already knows, for example as leaving.
func (p *Picker) applyReports() {
	if p.view == nil {
		return
	}
	for i := range p.view.Replicas {
		if r, ok := p.replicas[p.view.Replicas[i].ID]; ok {
			r.report(&p.view.Replicas[i], p.allHosts, p.random.Float64())
		}
	}
}

// rebuild indexes the replicas of a new bundle. Replicas that it keeps retain
// their state; replicas that it drops are kept until their requests ended.
func (p *Picker) rebuild() {
	old := p.replicas
	oldPools := make(map[string]*pool, len(p.pools))
	for _, u := range p.pools {
		oldPools[u.name] = u
	}
	p.replicas = make(map[scheduling.ReplicaID]*Replica, len(old))
	p.pools = make([]*pool, len(p.snapshot.Bundle.Upstreams))
	for i := range p.snapshot.Bundle.Upstreams {
		u := newPool(p.snapshot.Bundle, &p.snapshot.Bundle.Upstreams[i], oldPools)
		u.fill(&p.snapshot.Bundle.Upstreams[i], old, p.replicas, p.opts.AvailabilityZone)
		p.pools[i] = u
	}
	for id, r := range old {
		if _, kept := p.replicas[id]; kept {
			continue
		}
		r.pool.health.Remove(r.health)
		r.removed = true
		if len(r.flights) > 0 {
			p.replicas[id] = r
		}
	}
}

// Tick implements scheduling.Picker.
func (p *Picker) Tick() {
	now := p.opts.Clock.Now()
	for _, u := range p.pools {
		u.health.Evaluate(now)
	}
	p.refresh(now)
}

func (p *Picker) refresh(now time.Time) {
	for _, u := range p.pools {
		u.refresh(now, p.hosts, p.allHosts)
	}
}

// Slots implements scheduling.Picker. Slots that only the top tier may fill are
// not free for lower tiers.
func (p *Picker) Slots(r *scheduling.Request) (total, free int) {
	q := &p.query
	if !p.prepare(q, r, p.opts.Clock.Now()) {
		return 0, 0
	}
	for _, index := range r.Upstreams {
		if index >= len(p.pools) {
			continue
		}
		u := p.pools[index]
		if model, ok := u.model(r.Model); ok {
			total += u.counts[model].total
			free += u.counts[model].free[q.level]
		}
	}
	for _, id := range r.Exclude {
		if e, ok := p.replicas[id]; ok && !e.removed && e.serving() {
			total -= e.pool.slots
			free -= e.free[q.level]
		}
	}
	return max(total, 0), max(free, 0)
}

// PlannedSlots implements scheduling.Picker.
func (p *Picker) PlannedSlots(r *scheduling.Request) int {
	planned := 0
	for _, index := range r.Upstreams {
		if index >= len(p.pools) {
			continue
		}
		u := p.pools[index]
		if model, ok := u.model(r.Model); ok {
			planned += u.counts[model].planned
		}
	}
	return planned
}

// Refusal implements scheduling.Picker.
func (p *Picker) Refusal(r *scheduling.Request) *scheduling.RefusedError {
	state, remaining := p.quarantine.State(r.Fingerprint, p.opts.Clock.Now())
	if state != quarantine.Quarantined {
		return nil
	}
	return &scheduling.RefusedError{Reason: scheduling.ReasonQuarantined, RetryAfter: remaining}
}

// FirstToken implements scheduling.Picker.
func (p *Picker) FirstToken(id scheduling.ReplicaID, r *scheduling.Request, latency time.Duration) {
	if replica, ok := p.replicas[id]; ok {
		replica.health.FirstToken(p.opts.Clock.Now(), r.ID, p.kind(r), latency)
		replica.firsts.add(latency)
	}
}

// Tokens implements scheduling.Picker.
func (p *Picker) Tokens(id scheduling.ReplicaID, n int, elapsed time.Duration) {
	replica, ok := p.replicas[id]
	if !ok || n <= 0 {
		return
	}
	replica.health.Tokens(p.opts.Clock.Now(), n, elapsed)
	replica.inters.add(elapsed / time.Duration(n))
}

// Finish implements scheduling.Picker.
func (p *Picker) Finish(id scheduling.ReplicaID, r *scheduling.Request, result scheduling.Result) {
	replica, ok := p.replicas[id]
	if !ok {
		return
	}
	now := p.opts.Clock.Now()
	completed := result.Outcome == outcome.Completed
	if result.Crashed {
		p.crashed(replica, now)
	}
	f, ok := replica.end(r.ID, now)
	if !ok {
		return
	}
	replica.count(completed)
	replica.health.Finish(now, r.ID, p.kind(r), completed)
	p.settle(replica, f, result, r, now)
	if removed := replica.removed && len(replica.flights) == 0; removed {
		delete(p.replicas, id)
	}
	replica.recount(now)
}

// settle takes what the end of a request says of its replica and fingerprint.
func (p *Picker) settle(r *Replica, f flight, result scheduling.Result, request *scheduling.Request, now time.Time) {
	unreachable := result.Outcome == outcome.NotRun && !result.Refused && !result.Canceled
	if result.Crashed || unreachable {
		r.health.Crash(now)
		r.brokeAt = now
	}
	if result.TimedOut {
		r.health.Timeout(now)
	}
	if f.suspect {
		r.suspect(-1)
		if p.quarantine.Ended(f.fingerprint, result.Outcome == outcome.Completed) {
			p.tell(scheduling.SuspectEvent{Fingerprint: f.fingerprint, Model: request.Model, Cleared: true})
		}
	}
	if !result.Crashed {
		return
	}
	position := request.Progress + result.Tokens // tokens of the answer by now
	p.quarantine.Crash(f.fingerprint, r.id, position, f.otherSuspects == 0, now)
	if f.fingerprint != 0 {
		p.tell(scheduling.SuspectEvent{Fingerprint: f.fingerprint, Model: request.Model, Replica: r.id})
	}
	p.markRunning(f.fingerprint, now)
}

// maxEvents bounds the events that wait for SuspectEvents; the oldest are dropped.
const maxEvents = 4096

func (p *Picker) tell(e scheduling.SuspectEvent) {
	if len(p.events) == maxEvents {
		p.events = p.events[1:]
	}
	p.events = append(p.events, e)
}

// SuspectEvents implements scheduling.Picker.
func (p *Picker) SuspectEvents() []scheduling.SuspectEvent {
	events := p.events
	p.events = nil
	return events
}

// crashed notes on every request in flight on the replica how many suspects ran
// beside it, before the first of them is taken off.
func (p *Picker) crashed(r *Replica, now time.Time) {
	if !r.crashedAt.IsZero() && now.Sub(r.crashedAt) < crashWindow {
		return
	}
	r.crashedAt = now
	r.affinityEpoch++ // a crash empties the engine's cache
	r.cacheSequence = 0
	for i := range r.flights {
		f := &r.flights[i]
		f.otherSuspects = r.suspects
		if f.suspect {
			f.otherSuspects--
		}
	}
}

// markRunning counts requests that were sent before their fingerprint became a suspect.
func (p *Picker) markRunning(fingerprint uint64, now time.Time) {
	if fingerprint == 0 {
		return
	}
	for _, r := range p.replicas {
		for i := range r.flights {
			f := &r.flights[i]
			if f.fingerprint == fingerprint && !f.suspect {
				f.suspect = true
				r.suspect(1)
				p.quarantine.Started(fingerprint, now)
			}
		}
	}
}

// crashWindow is the time in which the broken connections of one crash arrive.
const crashWindow = time.Second

func (p *Picker) kind(r *scheduling.Request) health.RequestKind {
	tier := bundle.MaxTier
	if p.snapshot != nil && r.Class < len(p.snapshot.Bundle.Classes) {
		tier = p.snapshot.Bundle.Classes[r.Class].Tier
	}
	return health.RequestKind{Tier: tier, PromptTokens: r.PromptTokens + r.Progress}
}

// Measurements implements scheduling.Picker.
func (p *Picker) Measurements() []scheduling.ReplicaMeasurement {
	var out []scheduling.ReplicaMeasurement
	for _, u := range p.pools {
		for _, r := range u.replicas {
			if m, ok := r.measurement(); ok {
				out = append(out, m)
			}
		}
	}
	return out
}
