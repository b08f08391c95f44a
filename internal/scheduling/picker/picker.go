// Package picker chooses the replica for a request: filters reject replicas, scorers rate
// the others, and a weighted random choice picks one of the best candidates. Replicas are
// indexed by upstream and zone, so that a decision examines only the few replicas that can
// serve the request.
package picker

import (
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/health"
	"heatherbarrow/internal/scheduling/poisonpart"
	"heatherbarrow/internal/scheduling/quarantine"
	"heatherbarrow/internal/scheduling/requestlimit"
	"heatherbarrow/internal/scheduling/statement"
)

// Options configures a Picker.
type Options struct {
	Host             string // name of this host
	AvailabilityZone string // zone of this host
	Clock            clockwork.Clock
	Seed             uint64 // seed of the random number generator
}

// Picker implements scheduling.Picker. It has no lock: as the interface requires, the
// caller serializes all calls.
type Picker struct {
	opts          Options
	rng           *rand.Rand
	snapshot      *bundle.Snapshot
	view          *scheduling.View // latest view; nil before the first
	pools         []*pool          // by index of the upstream in the bundle
	replicas      map[scheduling.ReplicaID]*Replica
	said          map[string]*statement.State // what the processes at the bundle's addresses said of themselves
	quarantine    *quarantine.Quarantine
	parts         *poisonpart.Tracker
	pendingEvents []scheduling.SuspectEvent // events that SuspectEvents has not returned yet
	affinity      *affinity
	filters       []Filter
	scorers       []Scorer
	limitHosts    *requestlimit.Hosts // that share the request limits of replicas
	hostsInZone   int                 // hosts in this host's zone
	totalHosts    int                 // hosts in all zones, on the assumption that all zones have the same number
	query         Query               // reused for each decision to avoid allocations
	candidate     Candidate           // reused by score
	best          shortlist           // candidates of the current decision
}

// New returns a picker without a bundle.
func New(opts Options) *Picker {
	return &Picker{
		opts:        opts,
		rng:         rand.New(rand.NewPCG(opts.Seed, 0x9e3779b97f4a7c15)),
		replicas:    make(map[scheduling.ReplicaID]*Replica),
		quarantine:  quarantine.New(defaultPoisonCrashes, defaultQuarantineTime),
		parts:       poisonpart.New(poisonpart.CrashLimit(defaultPoisonCrashes), defaultQuarantineTime),
		affinity:    newAffinity(),
		filters:     defaultFilters(),
		scorers:     defaultScorers(),
		limitHosts:  limitHosts(opts.Host, opts.AvailabilityZone, nil),
		hostsInZone: 1,
		totalHosts:  1,
	}
}

// Quarantine limits for a bundle that does not set them.
const (
	defaultPoisonCrashes  = 2
	defaultQuarantineTime = time.Hour
)

// configureQuarantine applies the bundle's limits, or the defaults where it has none.
func (p *Picker) configureQuarantine(limits *bundle.Limits) {
	crashes, duration := limits.PoisonCrashes, limits.QuarantineTime.Std()
	if crashes <= 0 {
		crashes = defaultPoisonCrashes
	}
	if duration <= 0 {
		duration = defaultQuarantineTime
	}
	p.quarantine.Configure(crashes, duration)
	p.parts.Configure(poisonpart.CrashLimit(crashes), duration)
}

// Update implements scheduling.Picker.
func (p *Picker) Update(snapshot *bundle.Snapshot, view *scheduling.View) {
	now := p.opts.Clock.Now()
	if snapshot != nil {
		p.snapshot = snapshot
		p.rebuildIndex(now)
		p.configureQuarantine(&snapshot.Bundle.Limits)
	}
	if view != nil {
		p.view = view
		p.hostsInZone = max(view.HostsInZone, 1)
		p.totalHosts = p.hostsInZone * max(view.ZoneCount, 1)
		p.quarantine.Update(view.Quarantine, p.opts.Clock.Now())
		if _, released := p.parts.Merge(view.Parts, now); len(released) > 0 {
			p.addEvent(scheduling.SuspectEvent{Parts: released, Cleared: true})
		}
		p.limitHosts = limitHosts(p.opts.Host, p.opts.AvailabilityZone, view.Hosts)
		p.applyLimits(now)
	}
	p.applyReports()
	p.refresh(now)
}

// applyReports applies the latest view's states and loads to the replicas. It also runs
// for a new bundle, which may add replicas that the view already lists, for example as
// leaving.
func (p *Picker) applyReports() {
	if p.view == nil {
		return
	}
	for i := range p.view.Replicas {
		if r, ok := p.replicas[p.view.Replicas[i].ID]; ok {
			r.applyReport(&p.view.Replicas[i], p.totalHosts, p.rng.Float64())
		}
	}
}

// rebuildIndex indexes the replicas of a new bundle. Replicas that are also in the
// previous bundle retain their state. Replicas that the new bundle lacks are kept until
// their requests have ended.
func (p *Picker) rebuildIndex(now time.Time) {
	oldReplicas := p.replicas
	oldPools := make(map[string]*pool, len(p.pools))
	for _, upstreamPool := range p.pools {
		oldPools[upstreamPool.name] = upstreamPool
	}
	p.replicas = make(map[scheduling.ReplicaID]*Replica, len(oldReplicas))
	p.pools = make([]*pool, len(p.snapshot.Bundle.Upstreams))
	p.keepStatements(now)
	for i := range p.snapshot.Bundle.Upstreams {
		upstreamPool := newPool(p.snapshot.Bundle, &p.snapshot.Bundle.Upstreams[i], oldPools)
		upstreamPool.addReplicas(&p.snapshot.Bundle.Upstreams[i], oldReplicas, p.replicas, p.opts.AvailabilityZone, p.said)
		p.pools[i] = upstreamPool
	}
	for id, r := range oldReplicas {
		if _, kept := p.replicas[id]; kept {
			continue
		}
		r.pool.health.Remove(r.health)
		r.removed = true
		if len(r.inFlight) > 0 {
			p.replicas[id] = r
		}
	}
}

// Tick implements scheduling.Picker.
func (p *Picker) Tick() {
	now := p.opts.Clock.Now()
	for _, upstreamPool := range p.pools {
		upstreamPool.health.Evaluate(now)
	}
	p.refresh(now)
}

// refresh updates the load estimates and slot counts of all pools.
func (p *Picker) refresh(now time.Time) {
	for _, upstreamPool := range p.pools {
		upstreamPool.refresh(now, p.limitHosts, p.hostsInZone, p.totalHosts)
	}
}

// Slots implements scheduling.Picker. For lower tiers, the slots reserved for the top tier
// do not count as free.
func (p *Picker) Slots(req *scheduling.Request) (total, free int) {
	q := &p.query
	if !p.prepare(q, req, p.opts.Clock.Now()) {
		return 0, 0
	}
	for _, index := range req.Upstreams {
		if index >= len(p.pools) {
			continue
		}
		upstreamPool := p.pools[index]
		if modelIndex, ok := upstreamPool.modelIndex(req.Model); ok {
			total += upstreamPool.slotsByModel[modelIndex].total
			free += upstreamPool.slotsByModel[modelIndex].free[q.level]
		}
	}
	for _, id := range req.Exclude {
		if excluded, ok := p.replicas[id]; ok && !excluded.removed && excluded.serving() {
			total -= excluded.pool.slotsPerReplica
			free -= excluded.free[q.level]
		}
	}
	return max(total, 0), max(free, 0)
}

// PlannedSlots implements scheduling.Picker.
func (p *Picker) PlannedSlots(req *scheduling.Request) int {
	planned := 0
	for _, index := range req.Upstreams {
		if index >= len(p.pools) {
			continue
		}
		upstreamPool := p.pools[index]
		if modelIndex, ok := upstreamPool.modelIndex(req.Model); ok {
			planned += upstreamPool.slotsByModel[modelIndex].planned
		}
	}
	return planned
}

// Refusal implements scheduling.Picker.
func (p *Picker) Refusal(req *scheduling.Request) *scheduling.RefusedError {
	now := p.opts.Clock.Now()
	state, remaining := p.quarantine.UnexplainedState(req.Fingerprint, now, p.crashByPart)
	if state == quarantine.Quarantined {
		return &scheduling.RefusedError{Reason: scheduling.ReasonQuarantined, RetryAfter: remaining}
	}
	if _, expires, blamed := p.parts.Blamed(req.Parts, now); blamed {
		return &scheduling.RefusedError{Reason: scheduling.ReasonPartQuarantined, RetryAfter: expires.Sub(now)}
	}
	return nil
}

// crashByPart reports whether a quarantined part of prompts explains the crash of a replica.
func (p *Picker) crashByPart(id scheduling.ReplicaID, at time.Time) bool {
	return p.parts.Explains(id.Hash(), at)
}

// FirstToken implements scheduling.Picker.
func (p *Picker) FirstToken(id scheduling.ReplicaID, req *scheduling.Request, latency time.Duration) {
	if replica, ok := p.replicas[id]; ok {
		replica.health.FirstToken(p.opts.Clock.Now(), req.ID, p.healthKind(req), latency)
		replica.firstTokens.add(latency)
	}
}

// Tokens implements scheduling.Picker.
func (p *Picker) Tokens(id scheduling.ReplicaID, n int, elapsed time.Duration) {
	replica, ok := p.replicas[id]
	if !ok || n <= 0 {
		return
	}
	replica.health.Tokens(p.opts.Clock.Now(), n, elapsed)
	replica.interTokens.add(elapsed / time.Duration(n))
}

// Finish implements scheduling.Picker.
func (p *Picker) Finish(id scheduling.ReplicaID, req *scheduling.Request, result scheduling.Result) {
	replica, ok := p.replicas[id]
	if !ok {
		return
	}
	now := p.opts.Clock.Now()
	completed := result.Outcome == outcome.Completed
	if result.Crashed {
		p.recordCrash(replica, now)
	}
	f, ok := replica.removeInFlight(req.ID, now)
	if !ok {
		return
	}
	replica.countResult(completed)
	replica.health.Finish(now, req.ID, p.healthKind(req), completed)
	p.applyResult(replica, f, result, req, now)
	if removed := replica.removed && len(replica.inFlight) == 0; removed {
		delete(p.replicas, id)
	}
	replica.updateFreeSlots(now)
}

// applyResult updates the replica's health and the fingerprint's quarantine state with the
// result of an attempt. It queues the events for the other hosts and marks the in-flight
// requests that became suspects.
func (p *Picker) applyResult(r *Replica, f inFlightRequest, result scheduling.Result, req *scheduling.Request, now time.Time) {
	unreachable := result.Outcome == outcome.NotRun && !result.Refused && !result.Canceled
	if result.Crashed || unreachable {
		r.health.Crash(now)
		r.failedAt = now
	}
	if result.TimedOut {
		r.health.Timeout(now)
	}
	if f.suspect {
		r.suspect(-1)
		if p.quarantine.Ended(f.fingerprint, result.Outcome == outcome.Completed) {
			p.addEvent(scheduling.SuspectEvent{Fingerprint: f.fingerprint, Model: req.Model, Cleared: true})
		}
	}
	if result.Outcome == outcome.Completed && len(req.Parts) > 0 {
		if released, _ := p.parts.Completed(req.Parts, now); len(released) > 0 {
			p.addEvent(scheduling.SuspectEvent{Parts: released, Model: req.Model, Cleared: true})
		}
	}
	if !result.Crashed {
		return
	}
	position := req.Progress + result.Tokens // tokens of the answer so far, earlier attempts included
	p.quarantine.Crash(f.fingerprint, r.id, position, f.otherSuspects == 0, now)
	p.parts.Crash(req.Parts, nil, r.id.Hash(), now)
	if f.fingerprint != 0 || len(req.Parts) > 0 {
		p.addEvent(scheduling.SuspectEvent{Fingerprint: f.fingerprint, Parts: req.Parts, Model: req.Model, Replica: r.id})
	}
	p.markSuspects(f.fingerprint, now)
}

// maxPendingEvents bounds the events kept for SuspectEvents; the oldest are dropped.
const maxPendingEvents = 4096

// addEvent queues an event for SuspectEvents.
func (p *Picker) addEvent(e scheduling.SuspectEvent) {
	if len(p.pendingEvents) == maxPendingEvents {
		p.pendingEvents = p.pendingEvents[1:]
	}
	p.pendingEvents = append(p.pendingEvents, e)
}

// SuspectEvents implements scheduling.Picker.
func (p *Picker) SuspectEvents() []scheduling.SuspectEvent {
	pendingEvents := p.pendingEvents
	p.pendingEvents = nil
	return pendingEvents
}

// recordCrash handles the first broken connection of a crash. It invalidates the prompt
// prefixes recorded for the replica and stores, for each of its in-flight requests, how
// many other suspects ran there. It must be called before the first of these requests is
// removed. recordCrash ignores further broken connections within crashWindow.
func (p *Picker) recordCrash(r *Replica, now time.Time) {
	if !r.crashWindowStart.IsZero() && now.Sub(r.crashWindowStart) < crashWindow {
		return
	}
	r.crashWindowStart = now
	r.affinityEpoch++ // a crash empties the engine's prompt cache
	r.cacheSequence = 0
	for i := range r.inFlight {
		f := &r.inFlight[i]
		f.otherSuspects = r.suspectsInFlight
		if f.suspect {
			f.otherSuspects--
		}
	}
}

// markSuspects marks the in-flight requests that were dispatched before their fingerprint
// became a suspect.
func (p *Picker) markSuspects(fingerprint uint64, now time.Time) {
	if fingerprint == 0 {
		return
	}
	for _, r := range p.replicas {
		for i := range r.inFlight {
			f := &r.inFlight[i]
			if f.fingerprint == fingerprint && !f.suspect {
				f.suspect = true
				r.suspect(1)
				p.quarantine.Started(fingerprint, now)
			}
		}
	}
}

// crashWindow is the time after the first broken connection during which further broken
// connections of the replica count as the same crash.
const crashWindow = time.Second

// healthKind returns the group of requests with comparable first-token times that the
// request belongs to. Tokens of earlier attempts count as prompt, because a continued
// answer includes them in its prefill.
func (p *Picker) healthKind(req *scheduling.Request) health.RequestKind {
	tier := bundle.MaxTier
	if p.snapshot != nil && req.Class < len(p.snapshot.Bundle.Classes) {
		tier = p.snapshot.Bundle.Classes[req.Class].Tier
	}
	return health.RequestKind{Tier: tier, PromptTokens: req.PromptTokens + req.Progress}
}

// Measurements implements scheduling.Picker.
func (p *Picker) Measurements() []scheduling.ReplicaMeasurement {
	var out []scheduling.ReplicaMeasurement
	for _, upstreamPool := range p.pools {
		for _, r := range upstreamPool.replicas {
			if m, ok := r.takeMeasurement(); ok {
				out = append(out, m)
			}
		}
	}
	return out
}
