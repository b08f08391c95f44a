package fleet

import (
	"slices"
	"time"

	"heatherbarrow/internal/gateway/origin"
	"heatherbarrow/internal/scheduling/requestlimit"
)

// Request holds the properties of a request that decide which replica serves it.
type Request struct {
	Upstream     string
	Prompt       []PromptPart  // empty for a plain service
	PromptTokens int           // length of the prompt
	OutputTokens int           // expected length of the answer
	Target       time.Duration // target for the time to the first byte; 0 for none
	MaxGap       time.Duration // longest allowed pause between streamed events; 0 for the default, which is also the maximum
	TimeLeft     time.Duration // time until the caller's deadline
	Waited       time.Duration // time since the caller's first attempt, as far as known
	Urgent       bool          // whether Priority is 0; set by the caller of Pick
	Priority     int           // the route's; 0 is the highest
	Favored      bool          // the team has the highest priority
	Exclude      []string      // IDs of replicas that must not be picked
	Fingerprint  uint64        // identifies the request; equal when the caller sends it again; 0 for none
	Parts        []uint64      // IDs of the prompt parts that other requests may contain: all but the last
	Team         string
	// Session is the hash of the prompt part that later requests of the same session
	// share; 0 for none.
	Session uint64

	// SoftwareVersion is the only version of the replicas' software that may serve the request; nil for any.
	SoftwareVersion *string
	// Resumable means that the answer is a stream that other replicas of the same software version may continue.
	Resumable bool

	overflowDraw float64 // random; the request belongs to the share of each zone whose share is larger

	homeReplica *replica // home replica of the session, cached
	sources     []source // replicas to copy the prompt from, cached
	version     string   // SoftwareVersion, or that of the registration for which it stands
	process     string   // ID of the replica whose process SoftwareVersion stands for, if its registration is not known
	noVersion   bool     // no replica is known to have SoftwareVersion, as it was not stated and others are
}

// prepare sets the cached fields.
func (q *Request) prepare(f *Fleet, p *pool, now time.Time) {
	f.updateOverflow(p, now)
	f.drawOverflow(p, q)
	q.sources = f.sources(p, q, now)
	if q.SoftwareVersion == nil {
		return
	}
	q.version = f.resolveVersion(*q.SoftwareVersion)
	q.process, _, _ = origin.ParseProcessVersion(q.version)
	q.noVersion = q.version == "" && p.statesVersions()
}

// Reasons for refusals.
const (
	// ReasonNoReplica means that no replica may receive requests.
	ReasonNoReplica = "no_replica"
	// ReasonFull means that all replicas are at capacity.
	ReasonFull = "full"
	// ReasonResting means that the replicas have said that they want no requests of this host for a time.
	ReasonResting = "resting"
	// ReasonLimited means that the replicas with capacity have stated request limits that are used
	// up.
	ReasonLimited = "limited"
	// ReasonDeadline means that the answer would be too late: after the deadline, or after
	// the target behind a backlog that the request may not join.
	ReasonDeadline = "deadline"
	// ReasonPriority means that requests of higher priority were refused recently and that
	// this one would take their capacity.
	ReasonPriority = "priority"
	// ReasonUnreachable means that no replica could be picked, and that at least one of
	// them does not accept connections.
	ReasonUnreachable = "unreachable"
	// ReasonVersionGone means that no replica of the software version that began the stream may receive
	// requests.
	ReasonVersionGone = "version_gone"
	// ReasonPoison means that the request crashed the replicas that ran it.
	ReasonPoison = "poison"
	// ReasonPoisonPart means that a part of the prompt crashed the replicas that answered requests
	// with it.
	ReasonPoisonPart = "poison_part"
)

// Refusal says why no replica should run the request now.
type Refusal struct {
	Reason     string
	Expected   time.Duration // predicted latency on the best replica
	Backlog    time.Duration // expected wait there for prompts ahead
	RetryAfter time.Duration
	Part       uint64 // for ReasonPoisonPart
}

// Choice describes the replica that was picked and the prediction behind it.
type Choice struct {
	Member   Member
	Expected time.Duration // predicted time to the first byte of the answer
	Cached   int           // prompt tokens that the replica should have cached
	Backlog  time.Duration // expected wait for prompts ahead
	Running  int           // in-flight requests of all hosts
	// RunningElsewhere and BacklogElsewhere are the parts of Running and of the pending prefill time that
	// other hosts have reported. Slowness is that of the replica at the time of the choice.
	RunningElsewhere int
	BacklogElsewhere time.Duration
	Slowness         float64
	Eligible         int                    // number of replicas that were compared
	Limit            requestlimit.Statement // that the replica had made
	// OtherZone tells whether the replica is in another availability zone, ZoneCost the cost
	// that was added for that.
	OtherZone bool
	ZoneCost  time.Duration
	// CopyFrom is the address of a replica from which the picked one should copy the KV
	// cache of Copied prompt tokens instead of reading them; empty for no copy.
	CopyFrom string
	Copied   int
}

const (
	// crossZoneLatency is the latency added by a replica in another zone: the link takes a
	// few milliseconds.
	crossZoneLatency = 4 * time.Millisecond
	// crossZoneEngineCost is the additional cost of an engine in another zone: its load is
	// known later, hosts of different zones that see the same state pick it at the same
	// time, and traffic between zones is billed. It is about a fifth of the 200 ms in which a
	// prompt of 7,000 tokens is read.
	crossZoneEngineCost = 40 * time.Millisecond
	// costPerRequest is the cost of each in-flight request on a plain service. It spreads
	// requests over otherwise equal replicas.
	costPerRequest = 4 * time.Millisecond
	// failureCost is the cost of a replica that fails all requests. It exceeds the wait
	// that still meets most targets.
	failureCost = time.Second
	// unknownVersionCost is the cost of a replica whose software version is not known, as no other replica can continue
	// its streams, or is in doubt, for a stream that goes on at one version only.
	unknownVersionCost = 50 * time.Millisecond
	// costJitter bounds the random cost that spreads the choices of hosts which see the
	// same state. It is about one step of an engine.
	costJitter = 6 * time.Millisecond
	// maxDeadlineShare is the share of the remaining time within which the first byte must
	// be expected.
	maxDeadlineShare = 0.8
	// maxLateBacklogFactor is the backlog, as a multiple of the target, above which a
	// request that would miss its target is refused: it would make the requests behind it
	// late too.
	maxLateBacklogFactor = 0.5
	// favoredBacklogFactor multiplies maxLateBacklogFactor for teams of the highest priority.
	favoredBacklogFactor = 1.5
	// queuedPerSlot is how many requests may wait for each slot of a plain service. It
	// matches the replicas' own queue of 24 for 6 slots.
	queuedPerSlot = 4
	// minRetryAfter lets a backlog shrink noticeably. maxRetryAfter is the upper bound
	// before jitter, which adds up to half of it. It is more than a third of the longest
	// deadline, and callers wait no longer than their deadline.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// connectTrialTime is the time in which a trial request finds out whether a replica
	// accepts connections. It equals netio.DialTimeout.
	connectTrialTime = 500 * time.Millisecond
	// noReplicaRetryAfter is about the time until hosts know of a restarted replica.
	noReplicaRetryAfter = 500 * time.Millisecond
	// versionGoneRetryAfter is about the time in which a crashed replica restarts with the same version.
	// One that has left does not return.
	versionGoneRetryAfter = 2 * time.Second
)

// Pick chooses a replica for the request, or returns why the request is refused.
func (f *Fleet) Pick(q *Request, now time.Time) (*Lease, *Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if remaining, refused := f.isQuarantined(q.Fingerprint, now); refused {
		return nil, &Refusal{Reason: ReasonPoison, RetryAfter: remaining}
	}
	if expires, refused := f.refusesRequest(q.Fingerprint, now); refused {
		return nil, &Refusal{Reason: ReasonPoison, RetryAfter: expires.Sub(now)}
	}
	if part, expires, blamed := f.parts.Blamed(q.Parts, now); blamed {
		return nil, &Refusal{Reason: ReasonPoisonPart, RetryAfter: expires.Sub(now), Part: part}
	}
	p := f.pool(q.Upstream)
	q.prepare(f, p, now)
	best, skipped := f.choose(p, q, now)
	if best.replica == nil {
		switch skipped {
		case skippedLimited:
			return nil, &Refusal{Reason: ReasonLimited, RetryAfter: f.limitedRetryAfter(p, now)}
		case skippedResting:
			return nil, &Refusal{Reason: ReasonResting, RetryAfter: f.jitteredRetryAfter(p.soonestRestEnd(q, now))}
		case skippedFull:
			return nil, &Refusal{Reason: ReasonFull, RetryAfter: f.jitteredRetryAfter(q.Target)}
		case skippedNone:
		}
		if wait, ok := p.nextConnectTrial(q, now); ok {
			return nil, &Refusal{Reason: ReasonUnreachable, RetryAfter: f.jitteredRetryAfter(wait)}
		}
		if q.SoftwareVersion != nil && p.usableReplicas(now) > 0 {
			return nil, &Refusal{Reason: ReasonVersionGone, RetryAfter: f.jitteredRetryAfter(versionGoneRetryAfter)}
		}
		return nil, &Refusal{Reason: ReasonNoReplica, RetryAfter: f.jitteredRetryAfter(noReplicaRetryAfter)}
	}
	refusal := f.refuse(p, q, &best, now)
	if refusal != nil && p.upstream.Engine != nil {
		// The sample may have missed a replica with a shorter backlog.
		if other, admitted := f.bestAdmitted(p, q, now, accepting, anyRank); admitted {
			best, refusal = other, nil
		}
	}
	if refusal != nil {
		// A request that is refused anyway loses nothing at a replica that may reject it.
		rejecting := func(rank int) bool { return p.replicas[rank].rejections.rejecting(now) }
		if other, admitted := f.bestAdmitted(p, q, now, retriable, rejecting); admitted {
			best, refusal = other, nil
		}
	}
	test := refusal != nil && p.mayTest(q, &best, refusal)
	if refusal != nil && !test {
		if refusedForBacklog(q, &best) || !p.admission.admits(q.Priority, q.PromptTokens-best.cachedOrPendingTokens, best.backlog, now) {
			p.admission.recordRefused(q.Priority, q.PromptTokens-best.cachedOrPendingTokens, best.backlog, now)
		}
		return nil, refusal
	}
	if p.upstream.Engine != nil {
		p.admission.recordAdmitted(q.Priority, now)
	}
	lease := f.acquire(p, q, best, now)
	if test {
		best.replica.latencyTest = lease
	}
	return lease, nil
}

// Available reports whether a replica would accept the request now.
func (f *Fleet) Available(q *Request, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, _, blamed := f.parts.Blamed(q.Parts, now); blamed {
		return false
	}
	p := f.pool(q.Upstream)
	q.prepare(f, p, now)
	best, _ := f.choose(p, q, now)
	return best.replica != nil && !best.replica.rejections.rejecting(now) && f.refuse(p, q, &best, now) == nil
}

// OthersMayServe reports whether a replica that the request does not exclude may serve it, as far as the registrations
// tell: what this host knows of loads and connections does not matter to other hosts.
func (f *Fleet) OthersMayServe(q *Request, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pool(q.Upstream)
	q.prepare(f, p, now)
	return slices.ContainsFunc(p.replicas, func(r *replica) bool {
		return q.allows(r, now) && !slices.Contains(q.Exclude, r.member.ID)
	})
}

// skipReason tells why replicas were not compared that could otherwise serve the request.
type skipReason int

const (
	skippedNone    skipReason = iota
	skippedResting            // they want no requests of this host for a time
	skippedFull               // they have no capacity
	skippedLimited            // at least one has capacity, but its request limit is used up
)

// anyRank accepts every replica. A replica's rank is its index in pool.replicas.
func anyRank(int) bool { return true }

// refusedForBacklog reports whether a refused request would be served without the backlog
// ahead of it. A request that would miss its deadline even on an idle replica says nothing
// about capacity.
func refusedForBacklog(q *Request, best *candidate) bool {
	return best.backlog > 0 && !q.late(best.expected-best.backlog)
}

// choose returns the best replica for the request. For engines it compares a sample of the
// decode group if the request mostly generates, of the other replicas if not, and a sample of
// all replicas if the request would be late there. It compares all replicas for plain
// services or if both samples are empty. It compares replicas that rejected requests recently
// only if there are no others, as does Pick before it refuses a request, and those that failed
// recently only if there is nothing else. Unconnectable replicas get one request at a time.
func (f *Fleet) choose(p *pool, q *Request, now time.Time) (best candidate, skipped skipReason) {
	if p.upstream.Engine != nil {
		if best, _ = f.best(p, q, now, accepting, f.sampleReplicas(p, q, f.rankFilter(p, q))); f.meetsTarget(q, &best) {
			return best, skippedNone
		}
		if other, _ := f.best(p, q, now, accepting, f.sampleReplicas(p, q, anyRank)); other.replica != nil && (best.replica == nil || other.cost < best.cost) {
			best = other
		}
		if best.replica != nil {
			return best, skippedNone
		}
	}
	if best, skipped = f.best(p, q, now, accepting, anyRank); best.replica == nil {
		best, skipped = f.best(p, q, now, healthy, anyRank)
	}
	if best.replica == nil && skipped == skippedNone {
		best, skipped = f.best(p, q, now, usable, anyRank)
	}
	return best, skipped
}

// nextConnectTrial returns the time until the next trial of a connection to an unconnectable
// replica ends. ok reports whether there is such a replica.
func (p *pool) nextConnectTrial(q *Request, now time.Time) (wait time.Duration, ok bool) {
	for _, r := range p.replicas {
		if !q.allows(r, now) || !r.unconnectable(now) {
			continue
		}
		if remaining := max(r.suspendedUntil.Sub(now), 0) + connectTrialTime; !ok || remaining < wait {
			wait, ok = remaining, true
		}
	}
	return wait, ok
}

// allows reports whether the replica's registration, and what is known of its process, permit this request to it.
func (q *Request) allows(r *replica, now time.Time) bool {
	if !r.member.usable(now) || q.SoftwareVersion == nil {
		return r.member.usable(now)
	}
	return !q.noVersion && (q.version == r.version() || q.process == r.member.ID) && !r.process.silent(now)
}

// usableReplicas returns the number of replicas whose registration allows requests.
func (p *pool) usableReplicas(now time.Time) (n int) {
	for _, r := range p.replicas {
		if r.member.usable(now) {
			n++
		}
	}
	return n
}

// meetsTarget reports whether the candidate is expected to meet the request's target.
func (f *Fleet) meetsTarget(q *Request, c *candidate) bool {
	return c.replica != nil && c.expected <= q.Target-q.Waited
}

// refuse decides whether the best replica is too late for the request; nil means that the
// request is admitted. A request that is not urgent and would miss its target is admitted
// only where the backlog is too short for it to delay others. The limit is lower for teams
// that used more prefill time than others. While requests of higher priority are being
// refused, those of lower priority join only short backlogs, even if they would meet their
// targets.
func (f *Fleet) refuse(p *pool, q *Request, best *candidate, now time.Time) *Refusal {
	admitted := p.admission.admits(q.Priority, q.PromptTokens-best.cachedOrPendingTokens, best.backlog, now)
	if admitted && f.meetsTarget(q, best) {
		return nil
	}
	if !q.late(best.expected) {
		maxBacklog := time.Duration(f.teamShares.backlogFactor(q.Team, now) * maxLateBacklogFactor * float64(q.Target))
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

// jitteredRetryAfter bounds a retry time and adds up to half of it at random, so that
// callers refused together do not return together.
func (f *Fleet) jitteredRetryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(f.random.Int64N(int64(wait/2)+1))
}

// failedOn reports whether a replica has failed on which the request was tried.
func (f *Fleet) failedOn(q *Request) bool {
	return slices.ContainsFunc(q.Exclude, func(id string) bool {
		r, ok := f.replicas[id]
		return ok && r.consecutiveFailures > 0
	})
}

// acquire records the request as in flight on the candidate's replica.
func (f *Fleet) acquire(p *pool, q *Request, c candidate, now time.Time) *Lease {
	r := c.replica
	l := &Lease{
		Choice: Choice{
			Member: r.member, Expected: c.expected, Cached: c.cachedOrPendingTokens, Backlog: c.backlog,
			Running: r.inFlight(), Eligible: c.eligible, Copied: c.copied, Limit: r.statedLimit(),
			OtherZone: r.member.Zone != f.opts.Zone, ZoneCost: c.zoneCost,
			RunningElsewhere: r.peerRunning, BacklogElsewhere: r.peerPendingPrefill, Slowness: r.slowness,
		},
		fleet: f, replica: r, started: now, prefill: c.prefill, fingerprint: q.Fingerprint, parts: q.Parts,
		retried: f.failedOn(q),
	}
	if p.upstream.Engine != nil {
		l.kvCacheTokens = q.PromptTokens + q.OutputTokens
		l.longAnswer = c.longAnswer
		l.runningAtStart = r.inFlight()
		if c.backlog == 0 {
			unreadTokens := float64(q.PromptTokens - c.cachedOrPendingTokens - c.copied)
			l.idle = &idleSample{tokens: unreadTokens * p.speed.model.prefillSlowdown(r.inFlight()), overhead: c.overhead}
		}
		f.teamShares.add(q.Team, c.prefill, now)
	}
	if c.source != nil {
		l.CopyFrom = c.source.member.Address
	}
	r.start(l, now)
	r.rejections.start(l)
	if r.limit != nil {
		r.limit.Take(f.limitHosts, now)
	}
	f.active[r] = struct{}{}
	cacheCapacity := f.cacheCapacity(r)
	for i, part := range q.Prompt {
		r.addPart(part, now.Add(c.expected), cacheCapacity)
		if i > 0 && i == len(q.Prompt)-1 {
			break // the last part is unique to this request
		}
		f.dispatchedParts = append(f.dispatchedParts, dispatchedPart{PromptUse{Replica: r.key, Part: part.Hash}, part.Tokens})
	}
	return l
}
