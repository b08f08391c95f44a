package picker

import (
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/quarantine"
)

const (
	// maxExamined bounds the replicas that one decision examines on an upstream, once
	// for this host's zone and once for the other zones.
	maxExamined = 64
	// targetMargin is the factor by which the target must exceed the expected time,
	// because nearly all requests must meet the target, not only the mean.
	targetMargin = 2.0
	// initialTargetShare is the share of the target that is assumed as the first-token
	// time until enough requests were measured.
	initialTargetShare = 0.2
	// suspectVolumeFactor scales the volume of the random choice for suspects, which
	// makes the choice nearly uniform. Hosts do not see each other's suspects: if all
	// of them preferred the least loaded replicas, innocent suspects would run there
	// together with the cause of the crash.
	suspectVolumeFactor = 100
	maxMatches          = 8 // replicas with a cached prefix that one decision considers
	// resumeDelay is how long an answer that had started before a crash waits before
	// it is resumed. The cause of the crash is more likely a suspect whose answer had
	// not started. That suspect runs first and crashes its replica again before the
	// answer can be placed on the same replica. An isolated fingerprint waits for the
	// same time, so that control can count its crash.
	resumeDelay = 100 * time.Millisecond
	// suspectSharingDelay is how long after its crash a suspect may run only on a
	// replica without other suspects. On the same replica as the cause of the crash it
	// would also be lost in the next crash, whereas a cause that runs alone is
	// identified and stopped by its next crash.
	suspectSharingDelay = 2 * time.Second
	// otherHostCrashDelay is how long a suspect waits after this host learned of its crash
	// on another host. That host retries the request at once, and the result of the
	// retry decides whether the fingerprint may run here.
	otherHostCrashDelay = 500 * time.Millisecond
	// minPrefixTokens is the length of the shortest hashed prefix: 256 bytes at 4 bytes
	// per token.
	minPrefixTokens = 64
)

// Reasons for a decision.
const (
	reasonInZone   = "in_zone"
	reasonAffinity = "affinity"
	reasonZoneFull = "zone_full" // no replica of the zone can serve the request
	reasonZoneSlow = "zone_slow" // the zone is not expected to meet the target
	reasonSuspect  = "suspect"   // the request is a suspect; suspects are spread over all zones
)

// coLocation is the kind of requests that a suspect may share a replica with. Each value
// includes the ones before it.
type coLocation int

const (
	coLocateLowerTiers coLocation = iota // requests of lower tiers that are not suspects
	coLocateTopTier                      // requests of any tier that are not suspects
	coLocateSuspects                     // any requests
)

// Query is the request to place, with the data that the filters and scorers need.
type Query struct {
	request                 *scheduling.Request
	class                   *bundle.Class
	now                     time.Time
	level                   int     // slot level
	modelIndex              int     // index into the models of the upstream being scanned
	baseSeconds             float64 // upstream's expected first-token time for requests of the same kind
	budgetSeconds           float64 // maximum expected first-token time for which the target is likely to be met
	interTokenTargetSeconds float64 // 0 when the class has none
	unreported              float64 // load that other hosts may have added since the replicas' reports, as a score in seconds
	quarantineState         quarantine.State
	allowedCoLocation       coLocation // requests that a suspect may share a replica with
	matches                 [maxMatches]match
	matchCount              int
}

// match is a replica that holds a prefix of the prompt in its cache.
type match struct {
	replica        *Replica
	cachedFraction float64 // cached part of the prompt, from 0 to 1
}

// match returns the fraction of the prompt that the replica is expected to have
// cached, 0 if none.
func (q *Query) match(r *Replica) float64 {
	for i := range q.matches[:q.matchCount] {
		if q.matches[i].replica == r {
			return q.matches[i].cachedFraction
		}
	}
	return 0
}

// prepare initializes the query for the request. It returns false when there is no bundle
// or the bundle lacks the class.
func (p *Picker) prepare(q *Query, req *scheduling.Request, now time.Time) bool {
	if p.snapshot == nil || req.Class >= len(p.snapshot.Bundle.Classes) {
		return false
	}
	q.request = req
	q.now = now
	q.class = &p.snapshot.Bundle.Classes[req.Class]
	q.level = levelLower
	if q.class.Tier == bundle.TopTier || req.UseReserve {
		q.level = levelTop
	}
	q.matchCount = 0
	q.allowedCoLocation = coLocateLowerTiers
	return true
}

// Pick implements scheduling.Picker.
func (p *Picker) Pick(req *scheduling.Request) (scheduling.Choice, bool) {
	now := p.opts.Clock.Now()
	q := &p.query
	if !p.prepare(q, req, now) {
		return scheduling.Choice{}, false
	}
	q.quarantineState, _ = p.quarantine.UnexplainedState(req.Fingerprint, now, p.crashByPart)
	if q.quarantineState != quarantine.Clear && p.mustWait(q) {
		return scheduling.Choice{}, false
	}
	p.match(q)
	reason := p.search(q)
	for p.best.count == 0 && q.allowedCoLocation < p.maxCoLocation(q) {
		q.allowedCoLocation++
		reason = p.search(q)
	}
	if p.best.count == 0 {
		return scheduling.Choice{}, false
	}
	volume := q.unreported
	if q.quarantineState != quarantine.Clear {
		volume *= suspectVolumeFactor
	}
	chosen := p.best.choose(p.rng.Float64(), volume)
	return p.dispatch(q, chosen, reason), true
}

// mustWait reports whether the query's suspect may not run on any replica now.
func (p *Picker) mustWait(q *Query) bool {
	fingerprint := q.request.Fingerprint
	if q.quarantineState == quarantine.Quarantined || p.quarantine.Running(fingerprint) {
		return true
	}
	delayed := q.quarantineState == quarantine.Isolated || q.request.Progress > 0
	return delayed && p.quarantine.CrashedWithin(fingerprint, resumeDelay, q.now) || p.quarantine.RemoteSuspectWithin(fingerprint, otherHostCrashDelay, q.now)
}

// maxCoLocation returns the widest co-location allowed in the search for a replica.
func (p *Picker) maxCoLocation(q *Query) coLocation {
	switch {
	case q.quarantineState == quarantine.Clear:
		return coLocateLowerTiers
	case p.quarantine.CrashedWithin(q.request.Fingerprint, suspectSharingDelay, q.now):
		return coLocateTopTier
	default:
		return coLocateSuspects
	}
}

// search fills the shortlist with candidates of this host's zone, and also of the other
// zones when this zone is not expected to meet the target or the request is a suspect. It
// returns the reason for the decision.
func (p *Picker) search(q *Query) string {
	p.best.count = 0
	p.scanUpstreams(q, true)
	if q.quarantineState != quarantine.Clear {
		p.scanUpstreams(q, false)
		return reasonSuspect
	}
	if p.best.count > 0 && p.meetsTarget(q) {
		return reasonInZone
	}
	reason := reasonZoneSlow
	if p.best.count == 0 {
		reason = reasonZoneFull
	}
	p.scanUpstreams(q, false)
	return reason
}

// meetsTarget reports whether the best candidate on the shortlist is expected to stay within
// the first-token budget and the inter-token target.
func (p *Picker) meetsTarget(q *Query) bool {
	best := p.best.best()
	return best.expectedSeconds <= q.budgetSeconds && (q.interTokenTargetSeconds == 0 || best.replica.interTokenSeconds <= q.interTokenTargetSeconds)
}

// scanUpstreams adds the candidates of the request's upstreams to the shortlist, either
// those in this host's zone or those in the other zones.
func (p *Picker) scanUpstreams(q *Query, inZone bool) {
	for _, index := range q.request.Upstreams {
		if index >= len(p.pools) {
			continue // the request's indexes refer to another bundle
		}
		upstreamPool := p.pools[index]
		modelIndex, ok := upstreamPool.modelIndex(q.request.Model)
		if !ok || !p.snapshot.UpstreamServes(index, q.request.Class) {
			continue
		}
		q.modelIndex = modelIndex
		p.estimate(q, upstreamPool)
		if inZone {
			p.scoreReplicas(q, upstreamPool.inZone)
			continue
		}
		p.scoreReplicas(q, upstreamPool.otherZones)
	}
}

// estimate sets the query's expected first-token time and unreported load for the upstream
// and the time budget that the class's target leaves.
func (p *Picker) estimate(q *Query, upstreamPool *pool) {
	target := q.class.FirstTokenTarget.Std()
	if target == 0 {
		target = q.class.AnswerTarget.Std()
	}
	q.interTokenTargetSeconds = q.class.InterTokenTarget.Std().Seconds()
	q.baseSeconds = initialTargetShare * target.Seconds()
	if expected, known := upstreamPool.health.ExpectedFirstToken(p.healthKind(q.request)); known {
		q.baseSeconds = expected.Seconds()
	}
	// A request that waited too long cannot meet its target. At least half of the
	// target counts as remaining, so that the request still prefers the zone while the
	// zone's replicas are as fast as expected.
	remaining := max(target-q.now.Sub(q.request.Arrived), target/2)
	q.budgetSeconds = remaining.Seconds() / targetMargin
	q.unreported = max(upstreamPool.unreported, 1) * q.baseSeconds / float64(upstreamPool.slotsPerReplica)
}

// scoreReplicas scores the replicas that pass the filters and adds them to the shortlist.
// If there are more than maxExamined replicas, it examines that many, starting at a random
// one.
func (p *Picker) scoreReplicas(q *Query, replicas []*Replica) {
	n := len(replicas)
	offset := 0
	if n > maxExamined {
		offset = p.rng.IntN(n)
	}
	for i := range min(n, maxExamined) {
		r := replicas[(offset+i)%n]
		if p.passesFilters(q, r) {
			p.best.add(p.score(q, r))
		}
	}
}

// passesFilters reports whether all filters admit the replica.
func (p *Picker) passesFilters(q *Query, r *Replica) bool {
	for _, f := range p.filters {
		if !f.Admit(q, r) {
			return false
		}
	}
	return true
}

// score returns the replica as a candidate with the sum of its scores.
func (p *Picker) score(q *Query, r *Replica) Candidate {
	// The candidate is a field of the picker, because a local one would escape to the
	// heap through the Scorer interface, with an allocation for each replica.
	c := &p.candidate
	*c = Candidate{replica: r}
	for i, s := range p.scorers {
		c.score += s.Score(q, c)
		if i+1 == estimateScorers {
			c.expectedSeconds = c.score
		}
	}
	return *c
}

// match sets the query's matches: the replicas that hold a prefix of the
// prompt, those with the longest prefix first.
func (p *Picker) match(q *Query) {
	hashes := q.request.PrefixHashes
	for i := len(hashes) - 1; i >= 0 && q.matchCount < maxMatches; i-- {
		holders, found := p.affinity.holders(hashes[i])
		if !found {
			continue
		}
		// The last hash is that of the whole prompt, which may be shorter than the power
		// of two.
		fraction := min(float64(int(minPrefixTokens)<<i)/float64(max(q.request.PromptTokens, 1)), 1)
		for _, r := range holders {
			if r != nil && q.matchCount < maxMatches && q.match(r) == 0 {
				q.matches[q.matchCount] = match{r, fraction}
				q.matchCount++
			}
		}
	}
}

// dispatch records the request on the chosen candidate's replica and returns the choice.
func (p *Picker) dispatch(q *Query, chosen int, reason string) scheduling.Choice {
	c := p.best.candidates[chosen]
	r := c.replica
	f := inFlightRequest{
		id: q.request.ID, fingerprint: q.request.Fingerprint, started: q.now,
		topTier: q.class.Tier == bundle.TopTier, suspect: q.quarantineState != quarantine.Clear,
	}
	r.addInFlight(f)
	r.pool.recentDispatches++
	if r.limit != nil {
		r.limit.Take(p.limitHosts, q.now)
	}
	r.health.Start(q.now, f.id, p.healthKind(q.request))
	if f.suspect {
		p.quarantine.Started(f.fingerprint, q.now)
	}
	cachedTokens := int(q.match(r) * float64(q.request.PromptTokens))
	for _, prefix := range q.request.PrefixHashes {
		p.affinity.insert(prefix, r)
	}
	r.updateFreeSlots(q.now)
	if reason == reasonInZone && q.match(r) > 0 {
		reason = reasonAffinity
	}
	return scheduling.Choice{Replica: r.id, Address: r.address, Decision: scheduling.Decision{
		Score: c.score, Alternatives: p.best.alternatives(chosen), Reason: reason, CrossZone: !r.inZone,
	}, CachedTokens: cachedTokens}
}
