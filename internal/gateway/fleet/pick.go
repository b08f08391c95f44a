package fleet

import (
	"slices"
	"time"

	"heatherbarrow/internal/scheduling/quarantine"
)

// Request is what the choice of a replica needs to know.
type Request struct {
	Upstream     string
	Prompt       []PromptPart // empty for a plain service
	PromptTokens int
	OutputTokens int           // expected length of the answer
	Target       time.Duration // latency objective
	Gap          time.Duration // longest pause between events
	Left         time.Duration // until the caller's deadline
	Waited       time.Duration // since the caller's first attempt, as far as known
	Urgent       bool          // of the highest priority among the kinds of request
	Priority     int           // rank of its kind; 0 is the highest
	Favored      bool          // of a team of the highest priority
	Exclude      []string      // ids of replicas not to be used
	Fingerprint  uint64        // of the request; equal when a caller sends it again
	Team         string
	// Session is the part of the prompt that later requests of the same session
	// share; 0 when there is none.
	Session uint64

	home    *replica // of the session, found once
	sources []source // found once
}

// Reasons of refusals.
const (
	ReasonNoReplica = "no_replica"
	ReasonFull      = "full"
	ReasonDeadline  = "deadline"
	// ReasonPriority means that more urgent requests were refused of late, and that this one
	// would take their room.
	ReasonPriority = "priority"
	// ReasonUnreachable means that no replica can be connected to.
	ReasonUnreachable = "unreachable"
	// ReasonPoison means that the request crashed the replicas that ran it.
	ReasonPoison = "poison"
)

// Refusal tells why no replica is to run the request now.
type Refusal struct {
	Reason     string
	Expected   time.Duration // predicted latency on the best replica
	Backlog    time.Duration // prompts ahead there
	RetryAfter time.Duration
}

// Choice explains which replica was picked.
type Choice struct {
	Member   Member
	Expected time.Duration // predicted time to the first byte of the answer
	Cached   int           // prompt tokens that the replica should hold
	Backlog  time.Duration // prompts ahead
	Running  int           // requests in progress, of all hosts
	Eligible int           // replicas that could be picked
	// CopyFrom is the address of a replica from which this one is to copy Copied
	// tokens of the prompt instead of reading them; empty when it reads them.
	CopyFrom string
	Copied   int
}

// idleSample is what a request that found no prompts ahead tells of an engine's speed.
type idleSample struct {
	tokens   float64       // of its prompt, stretched by the steps between chunks
	overhead time.Duration // part of the latency that the prompt does not take
}

// Lease is a request in progress on a replica.
type Lease struct {
	Choice

	fleet          *Fleet
	replica        *replica
	started        time.Time
	prefill        time.Duration
	idle           *idleSample // set when no prompts were ahead
	runningAtStart int         // requests on the replica at the start
	memoryTokens   int
	longAnswer     bool // mostly generates
	ended          bool
	fingerprint    uint64 // fingerprint
}

const (
	// crossZone is the latency that a replica in another zone adds: the link takes a
	// few milliseconds.
	crossZoneLatency = 4 * time.Millisecond
	// crossZoneEngine is the cost of an engine in another zone: its load is known
	// later, hosts of different zones with the same view collide there, and bytes
	// between zones are paid for. It is about a fifth of reading a prompt.
	crossZoneEngineCost = 40 * time.Millisecond
	// perRunning is the cost of each request in progress at a plain service, as latency.
	// It spreads requests over otherwise equal replicas.
	costPerRequest = 4 * time.Millisecond
	// failureCost is the cost of a replica that fails all requests: above any wait that
	// is in time.
	failureCost = time.Second
	// jitter spreads the choices of hosts that see the same state, by about a step of an
	// engine.
	costJitter = 6 * time.Millisecond
	// deadlineMargin is the part of the remaining time by which the first byte
	// must be expected.
	maxDeadlineShare = 0.8
	// lateBacklog is the backlog, in latency objectives, above which a request that
	// would be late anyway is refused: those behind it would be late too.
	maxLateBacklog = 0.5
	// favor is by how much that is more for teams of the highest priority.
	favoredBacklogFactor = 1.5
	// queueRounds is how many requests a slot of a plain service may have waiting.
	// It is the replicas' own queue of 24 for 6 slots.
	queuedPerSlot = 4
	// minRetryAfter lets a backlog shrink noticeably; maxRetryAfter is beyond a third
	// of the longest deadline, which is as long as callers wait.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// trialTime is in which a request finds out whether a replica can be connected to:
	// connections have half a second.
	connectTrialTime = 500 * time.Millisecond
	// noReplicaRetry is about the time in which a restarted replica is known.
	noReplicaRetryAfter = 500 * time.Millisecond
)

// Pick chooses a replica for the request, or tells why it is refused.
func (f *Fleet) Pick(q *Request, now time.Time) (*Lease, *Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state, retryAfter := f.poison.State(q.Fingerprint, now); state == quarantine.Quarantined {
		return nil, &Refusal{Reason: ReasonPoison, RetryAfter: retryAfter}
	}
	p := f.pool(q.Upstream)
	q.sources = f.copySources(p, q, now)
	best, full := f.choose(p, q, now)
	if best.replica == nil {
		if full {
			return nil, &Refusal{Reason: ReasonFull, RetryAfter: f.jitteredRetryAfter(q.Target)}
		}
		if wait, ok := p.unreachable(now); ok {
			return nil, &Refusal{Reason: ReasonUnreachable, RetryAfter: f.jitteredRetryAfter(wait)}
		}
		return nil, &Refusal{Reason: ReasonNoReplica, RetryAfter: f.jitteredRetryAfter(noReplicaRetryAfter)}
	}
	refusal := f.refuse(p, q, &best, now)
	if refusal != nil && p.upstream.Engine != nil {
		// The sample may have missed the replicas that have time.
		if other, _ := f.cheapest(p, q, now, true, anyRank); other.replica != nil && f.refuse(p, q, &other, now) == nil {
			best, refusal = other, nil
		}
	}
	if refusal != nil {
		if refusedForBacklog(q, &best) || !p.admission.admits(q.Priority, q.PromptTokens-best.cached, best.backlog, now) {
			p.admission.recordRefused(q.Priority, q.PromptTokens-best.cached, best.backlog, now)
		}
		return nil, refusal
	}
	if p.upstream.Engine != nil {
		p.admission.recordServed(q.Priority, now)
	}
	return f.acquire(p, q, best, now), nil
}

// Available tells whether a replica would take the request now.
func (f *Fleet) Available(q *Request, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pool(q.Upstream)
	q.sources = f.copySources(p, q, now)
	best, _ := f.choose(p, q, now)
	return best.replica != nil && f.refuse(p, q, &best, now) == nil
}

func anyRank(int) bool { return true }

// lacksRoom tells whether a refused request would be served without what is ahead. One that
// is too long for its deadline also on an idle replica tells nothing of room.
func refusedForBacklog(q *Request, best *candidate) bool {
	return best.backlog > 0 && best.expected-best.backlog <= time.Duration(maxDeadlineShare*float64(q.Left))
}

// choose weighs a part of the replicas on the request's side first, and a part of
// all replicas when it would be late there. All replicas are weighed only when
// these have none; those that failed of late come last, and those that cannot be
// connected to are left to one request at a time. full tells that replicas have no
// room.
func (f *Fleet) choose(p *pool, q *Request, now time.Time) (best candidate, full bool) {
	if p.upstream.Engine != nil {
		if best, _ = f.cheapest(p, q, now, true, f.sampleReplicas(p, q, f.rankFilter(p, q))); f.meetsTarget(q, &best) {
			return best, false
		}
		if other, _ := f.cheapest(p, q, now, true, f.sampleReplicas(p, q, anyRank)); other.replica != nil && (best.replica == nil || other.cost < best.cost) {
			best = other
		}
		if best.replica != nil {
			return best, false
		}
	}
	if best, full = f.cheapest(p, q, now, true, anyRank); best.replica == nil && !full {
		best, full = f.cheapest(p, q, now, false, anyRank)
	}
	return best, full
}

// unreachable tells, when no replica was chosen, whether some cannot be connected to,
// and after what time one is tried again.
func (p *pool) unreachable(now time.Time) (wait time.Duration, ok bool) {
	for _, r := range p.replicas {
		if !r.member.usable(now) || !r.unconnectable(now) {
			continue
		}
		if remaining := max(r.suspendedUntil.Sub(now), 0) + connectTrialTime; !ok || remaining < wait {
			wait, ok = remaining, true
		}
	}
	return wait, ok
}

// inTime tells whether the candidate is expected to meet the request's target.
func (f *Fleet) meetsTarget(q *Request, c *candidate) bool {
	return c.replica != nil && c.expected <= q.Target-q.Waited
}

type candidate struct {
	replica    *replica
	cost       time.Duration
	expected   time.Duration
	prefill    time.Duration
	overhead   time.Duration // of expected: what is neither the prompt's nor its backlog's
	cached     int
	backlog    time.Duration
	longAnswer bool
	eligible   int
	source     *replica // to copy from; nil when the replica reads the prompt itself
	copied     int      // tokens
}

// best returns the replica with the least cost of those that weigh accepts. healthy
// leaves out those that are suspended after failures; full tells that replicas were
// left out because they have no room.
func (f *Fleet) cheapest(p *pool, q *Request, now time.Time, healthy bool, accept func(rank int) bool) (best candidate, full bool) {
	eligible := 0
	for rank, r := range p.replicas {
		if !r.member.usable(now) || slices.Contains(q.Exclude, r.member.ID) || r.unconnectable(now) || healthy && !r.admissible(now) {
			continue
		}
		if !f.hasCapacity(p, r, q) {
			full = true
			continue
		}
		if !accept(rank) {
			continue
		}
		eligible++
		c := f.evaluate(p, rank, q, now)
		if best.replica == nil || c.cost < best.cost {
			best = c
		}
	}
	best.eligible = eligible
	return best, full
}

func (f *Fleet) hasCapacity(p *pool, r *replica, q *Request) bool {
	e := p.upstream.Engine
	if e == nil {
		return r.inFlight() < max(r.member.Slots, 1)*(1+queuedPerSlot)
	}
	if e.Slots > 0 && r.inFlight() >= e.Slots {
		return false
	}
	return e.MemoryTokens == 0 || r.totalMemoryTokens()+q.PromptTokens+q.OutputTokens <= e.MemoryTokens
}

func (f *Fleet) evaluate(p *pool, rank int, q *Request, now time.Time) candidate {
	r := p.replicas[rank]
	c := candidate{replica: r}
	if p.upstream.Engine != nil {
		f.evaluateEngine(&c, p, q, now)
	} else {
		c.expected = f.serviceLatency(p, r)
		c.cost = c.expected + time.Duration(r.inFlight())*costPerRequest
	}
	if r.member.Zone != f.opts.Zone {
		c.expected += crossZoneLatency
		c.overhead += crossZoneLatency
		c.cost += crossZoneLatency
		if p.upstream.Engine != nil {
			c.cost += crossZoneEngineCost
		}
		if f.inAvoidedZone(r, now) {
			c.cost += avoidedZoneCost
		}
	}
	c.cost += time.Duration(r.failureRate * float64(failureCost))
	c.cost += time.Duration(f.random.Int64N(int64(costJitter)))
	return c
}

// serviceLatency returns the expected latency of a plain service.
func (f *Fleet) serviceLatency(p *pool, r *replica) time.Duration {
	slots := max(r.member.Slots, 1)
	waiting := max(r.inFlight()+1-slots, 0)
	rounds := 1 + float64(waiting)/float64(slots)
	return time.Duration(rounds * r.slowness * float64(p.meanLatency))
}

// refuse decides whether the best replica is too late for the request. A request
// that is not urgent and would miss its target is served only where it delays
// no others: on replicas with a short backlog, shorter for teams that took more of the
// engines' time than others. While more urgent requests are refused, less urgent ones
// join short backlogs alone, even those that would be in time.
func (f *Fleet) refuse(p *pool, q *Request, best *candidate, now time.Time) *Refusal {
	admitted := p.admission.admits(q.Priority, q.PromptTokens-best.cached, best.backlog, now)
	if admitted && f.meetsTarget(q, best) {
		return nil
	}
	if best.expected <= time.Duration(maxDeadlineShare*float64(q.Left)) {
		maxBacklog := time.Duration(f.shares.backlogFactor(q.Team, now) * maxLateBacklog * float64(q.Target))
		if q.Favored {
			maxBacklog = time.Duration(favoredBacklogFactor * float64(maxBacklog))
		}
		if q.Urgent || q.Target == 0 || admitted && best.backlog <= maxBacklog {
			return nil
		}
	}
	reason := ReasonDeadline
	if !admitted {
		reason = ReasonPriority
	}
	return &Refusal{Reason: reason, Expected: best.expected, Backlog: best.backlog, RetryAfter: f.jitteredRetryAfter(best.backlog)}
}

// spread bounds a retry time and spreads it over half of it more, so that callers
// refused together do not return together.
func (f *Fleet) jitteredRetryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(f.random.Int64N(int64(wait/2)+1))
}

func (f *Fleet) acquire(p *pool, q *Request, c candidate, now time.Time) *Lease {
	r := c.replica
	l := &Lease{
		Choice: Choice{
			Member: r.member, Expected: c.expected, Cached: c.cached, Backlog: c.backlog,
			Running: r.inFlight(), Eligible: c.eligible, Copied: c.copied,
		},
		fleet: f, replica: r, started: now, prefill: c.prefill, fingerprint: q.Fingerprint,
	}
	if p.upstream.Engine != nil {
		l.memoryTokens = q.PromptTokens + q.OutputTokens
		l.longAnswer = c.longAnswer
		l.runningAtStart = r.inFlight()
		if c.backlog == 0 {
			unreadTokens := float64(q.PromptTokens - c.cached - c.copied)
			l.idle = &idleSample{tokens: unreadTokens * p.speed.model.prefillSlowdown(r.inFlight()), overhead: c.overhead}
		}
		f.shares.add(q.Team, c.prefill, now)
	}
	if c.source != nil {
		l.CopyFrom = c.source.member.Address
	}
	r.start(l, now)
	f.active[r] = struct{}{}
	cacheLimit := f.cacheCapacity(r)
	for i, part := range q.Prompt {
		r.addPart(part, now.Add(c.expected), cacheLimit)
		if i > 0 && i == len(q.Prompt)-1 {
			break // the last part belongs to this request alone
		}
		f.dispatchedParts = append(f.dispatchedParts, dispatchedPart{PromptUse{Replica: r.key, Part: part.Hash}, part.Tokens})
	}
	return l
}

// Result is how an attempt ended.
type Result int

const (
	// Served means that the replica gave a whole answer.
	Served Result = iota
	// Failed means that the replica answered with a failure or spoiled its answer.
	Failed
	// Unreachable means that the replica broke the connection.
	Unreachable
	// Unconnected means that no connection to the replica could be opened.
	Unconnected
	// Rejected means that the replica refused the request as not run.
	Rejected
	// Abandoned means that the caller left; it tells nothing of the replica.
	Abandoned
	// Misdirected means that another process has the address.
	Misdirected
)

// FirstByte records that the answer began.
func (l *Lease) FirstByte(now time.Time) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.ended {
		return
	}
	*f.zone(l.replica.member.Zone) = zone{}
	l.replica.consecutiveConnectFailures = 0
	latency := now.Sub(l.started)
	p := f.pool(l.replica.member.Upstream)
	if l.idle != nil && l.Copied == 0 {
		p.speed.recordFirstToken(l.idle.tokens, latency-l.idle.overhead, now)
	}
	if l.prefill > 0 {
		l.replica.prefillDone(l, now)
		l.replica.recordLatency(latency, l.Expected)
	} else if p.upstream.Engine == nil {
		l.replica.recordLatency(latency, max(p.meanLatency, l.Expected))
		p.meanLatency += time.Duration(latencyWeight / 4 * float64(latency-p.meanLatency))
	}
}

// Generated tells how long a complete stream took from its first event to its last.
func (l *Lease) Generated(events int, elapsed time.Duration, now time.Time) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pool(l.replica.member.Upstream)
	e := p.upstream.Engine
	if e == nil || e.TokensPerEvent <= 0 || events < minStreamEvents {
		return
	}
	tokens := (events - 1) * e.TokensPerEvent
	load := float64(l.runningAtStart+l.replica.inFlight()) / 2
	p.speed.recordPace(load, elapsed/time.Duration(tokens), now)
}

// End gives the place on the replica back. It returns true when the replica should
// be looked at, and the result told to Inspected: it broke off a request.
func (l *Lease) End(result Result, now time.Time) (inspect bool) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.ended {
		return false
	}
	l.ended = true
	r := l.replica
	r.end(l, now)
	if result != Unconnected && result != Abandoned {
		r.consecutiveConnectFailures = 0
	}
	switch result {
	case Served:
		r.recordSuccess()
		f.poison.Ended(l.fingerprint, true)
	case Failed:
		r.recordFailure(false, now)
	case Unreachable:
		r.recordFailure(true, now)
		r.forgetParts()
		f.zone(r.member.Zone).recordFailure(now)
		inspect = l.fingerprint != 0 && len(r.suspects) == 0
		r.suspects = append(r.suspects, l.fingerprint)
	case Unconnected:
		r.recordFailure(true, now)
		r.consecutiveConnectFailures++
		f.zone(r.member.Zone).recordFailure(now)
	case Misdirected:
		r.recordFailure(true, now)
		r.suspendedUntil = now.Add(maxSuspension)
	case Rejected, Abandoned:
	}
	return inspect
}
