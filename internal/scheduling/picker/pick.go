package picker

import (
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/quarantine"
)

const (
	// maxVisited bounds the replicas that one decision looks at, first in the
	// zone and then in the other zones.
	maxVisited = 64
	// targetMargin scales the expected time before it is compared with the
	// target, because the target holds for nearly all requests, not for the mean.
	targetMargin = 2.0
	// unknownShare is the share of the target assumed as first-token time before
	// any was measured.
	unknownShare = 0.2
	// suspectSpread makes the choice for suspects nearly even, as hosts do not see
	// each other's: drawn to the least loaded replicas, innocent ones meet the
	// cause of the crash there.
	suspectSpread = 100
	maxMatches    = 8
	// resumeHold is how long an answer that had begun before a crash waits for the
	// suspects that had not: the cause is more likely among those, and shows itself
	// by the next crash before the answer can meet it there. An isolated fingerprint
	// waits as long for control, which counts its crash.
	resumeHold = 100 * time.Millisecond
	// suspectHold is how long a suspect waits after its crash for a replica without
	// other suspects. Beside the cause of the crash it would be lost by the next one,
	// while the cause alone is stopped by it.
	suspectHold = 2 * time.Second
	// elsewhereHold is how long a suspect waits after the news of a crash on another
	// host: that host runs its request again at once, and its end tells whether this
	// one may run.
	elsewhereHold = 500 * time.Millisecond
	// prefixTokens is the length of the shortest prefix: 256 bytes at 4 a token.
	prefixTokens = 64
)

// Reasons of a decision.
const (
	reasonInZone   = "in_zone"
	reasonAffinity = "affinity"
	reasonZoneFull = "zone_full" // no replica of the zone may take the request
	reasonZoneSlow = "zone_slow" // the zone is not expected to meet the target
	reasonSuspect  = "suspect"   // suspects spread over all zones
)

// besides is what a suspect may run beside.
type besides int

const (
	besideLower    besides = iota // lower tiers only
	besideTop                     // any work but other suspects
	besideSuspects                // any work
)

// Query is the request being placed, with what the filters and scorers need.
type Query struct {
	request     *scheduling.Request
	class       *bundle.Class
	now         time.Time
	level       int
	model       int     // index into the upstream's models
	base        float64 // usual first-token time of such a request, seconds
	budget      float64 // expected time up to which the target is met, seconds
	interTarget float64 // seconds; 0 when there is none
	unknown     float64 // load that other hosts may have added since their reports, as a score
	state       quarantine.State
	beside      besides // what a suspect may run beside
	matches     [maxMatches]match
	matched     int
}

type match struct {
	replica  *Replica
	fraction float64 // of the prompt that is cached
}

func (q *Query) match(r *Replica) float64 {
	for i := range q.matches[:q.matched] {
		if q.matches[i].replica == r {
			return q.matches[i].fraction
		}
	}
	return 0
}

func (p *Picker) prepare(q *Query, r *scheduling.Request, now time.Time) bool {
	if p.snapshot == nil || r.Class >= len(p.snapshot.Bundle.Classes) {
		return false
	}
	q.request = r
	q.now = now
	q.class = &p.snapshot.Bundle.Classes[r.Class]
	q.level = levelLower
	if q.class.Tier == bundle.TopTier || r.UseReserve {
		q.level = levelTop
	}
	q.matched = 0
	q.beside = besideLower
	return true
}

// Pick implements scheduling.Picker.
func (p *Picker) Pick(r *scheduling.Request) (scheduling.Choice, bool) {
	now := p.opts.Clock.Now()
	q := &p.query
	if !p.prepare(q, r, now) {
		return scheduling.Choice{}, false
	}
	q.state, _ = p.quarantine.State(r.Fingerprint, now)
	if q.state != quarantine.Clear && p.held(q) {
		return scheduling.Choice{}, false
	}
	p.match(q)
	reason := p.search(q)
	for p.best.n == 0 && q.beside < p.mostBeside(q) {
		q.beside++
		reason = p.search(q)
	}
	if p.best.n == 0 {
		return scheduling.Choice{}, false
	}
	volume := q.unknown
	if q.state != quarantine.Clear {
		volume *= suspectSpread
	}
	chosen := p.best.choose(p.random.Float64(), volume)
	return p.take(q, chosen, reason), true
}

// held tells whether a suspect may not start on any replica now.
func (p *Picker) held(q *Query) bool {
	fingerprint := q.request.Fingerprint
	if q.state == quarantine.Quarantined || p.quarantine.Running(fingerprint) {
		return true
	}
	waits := q.state == quarantine.Isolated || q.request.Progress > 0
	return waits && p.quarantine.CrashedWithin(fingerprint, resumeHold, q.now) || p.quarantine.RemoteSuspectWithin(fingerprint, elsewhereHold, q.now)
}

// mostBeside returns the last step by which the search for a suspect's replica is
// widened.
func (p *Picker) mostBeside(q *Query) besides {
	switch {
	case q.state == quarantine.Clear:
		return besideLower
	case p.quarantine.CrashedWithin(q.request.Fingerprint, suspectHold, q.now):
		return besideTop
	default:
		return besideSuspects
	}
}

// search fills the shortlist from the zone, and from the other zones when the
// zone is not expected to meet the target or the request is a suspect.
func (p *Picker) search(q *Query) string {
	p.best.n = 0
	p.scan(q, true)
	if q.state != quarantine.Clear {
		p.scan(q, false)
		return reasonSuspect
	}
	if p.best.n > 0 && p.meets(q) {
		return reasonInZone
	}
	reason := reasonZoneSlow
	if p.best.n == 0 {
		reason = reasonZoneFull
	}
	p.scan(q, false)
	return reason
}

// meets tells whether the zone's best candidate is expected to meet the target.
func (p *Picker) meets(q *Query) bool {
	best := p.best.best()
	return best.expected <= q.budget && (q.interTarget == 0 || best.replica.inter <= q.interTarget)
}

func (p *Picker) scan(q *Query, local bool) {
	for _, index := range q.request.Upstreams {
		if index >= len(p.pools) {
			continue // the request came in under another bundle
		}
		u := p.pools[index]
		model, ok := u.model(q.request.Model)
		if !ok || !p.snapshot.UpstreamServes(index, q.request.Class) {
			continue
		}
		q.model = model
		p.expect(q, u)
		if local {
			p.visit(q, u.local)
			continue
		}
		p.visit(q, u.remote)
	}
}

// expect sets the usual first-token time and the part of it that the target allows.
func (p *Picker) expect(q *Query, u *pool) {
	target := q.class.FirstTokenTarget.Std()
	if target == 0 {
		target = q.class.AnswerTarget.Std()
	}
	q.interTarget = q.class.InterTokenTarget.Std().Seconds()
	q.base = unknownShare * target.Seconds()
	if expected, known := u.health.ExpectedFirstToken(p.kind(q.request)); known {
		q.base = expected.Seconds()
	}
	// A request that waited long cannot meet its target; it still prefers the
	// zone while that is as fast as usual.
	left := max(target-q.now.Sub(q.request.Arrived), target/2)
	q.budget = left.Seconds() / targetMargin
	q.unknown = max(u.unknown, 1) * q.base / float64(u.slots)
}

// visit scores the replicas that may take the request. Where there are more
// than maxVisited it starts at a random one.
func (p *Picker) visit(q *Query, replicas []*Replica) {
	n := len(replicas)
	from := 0
	if n > maxVisited {
		from = p.random.IntN(n)
	}
	for i := range min(n, maxVisited) {
		r := replicas[(from+i)%n]
		if p.admit(q, r) {
			p.best.add(p.score(q, r))
		}
	}
}

func (p *Picker) admit(q *Query, r *Replica) bool {
	for _, f := range p.filters {
		if !f.Admit(q, r) {
			return false
		}
	}
	return true
}

func (p *Picker) score(q *Query, r *Replica) Candidate {
	// The candidate is kept in the picker, because one passed through an
	// interface would be allocated for each replica.
	c := &p.candidate
	*c = Candidate{replica: r}
	for i, s := range p.scorers {
		c.score += s.Score(q, c)
		if i+1 == expectedScorers {
			c.expected = c.score
		}
	}
	return *c
}

// match finds the replicas that hold a prefix of the prompt, longest first.
func (p *Picker) match(q *Query) {
	hashes := q.request.PrefixHashes
	for i := len(hashes) - 1; i >= 0 && q.matched < maxMatches; i-- {
		holders, found := p.affinity.holders(hashes[i])
		if !found {
			continue
		}
		fraction := min(float64(int(prefixTokens)<<i)/float64(max(q.request.PromptTokens, 1)), 1)
		for _, r := range holders {
			if r != nil && q.matched < maxMatches && q.match(r) == 0 {
				q.matches[q.matched] = match{r, fraction}
				q.matched++
			}
		}
	}
}

func (p *Picker) take(q *Query, chosen int, reason string) scheduling.Choice {
	c := p.best.items[chosen]
	r := c.replica
	f := flight{
		id: q.request.ID, fingerprint: q.request.Fingerprint, started: q.now,
		top: q.class.Tier == bundle.TopTier, suspect: q.state != quarantine.Clear,
	}
	r.start(f)
	r.pool.recent++
	r.health.Start(q.now, f.id, p.kind(q.request))
	if f.suspect {
		p.quarantine.Started(f.fingerprint, q.now)
	}
	cached := int(q.match(r) * float64(q.request.PromptTokens))
	for _, prefix := range q.request.PrefixHashes {
		p.affinity.put(prefix, r)
	}
	r.recount(q.now)
	if reason == reasonInZone && q.match(r) > 0 {
		reason = reasonAffinity
	}
	return scheduling.Choice{Replica: r.id, Address: r.address, Decision: scheduling.Decision{
		Score: c.score, Alternatives: p.best.alternatives(chosen), Reason: reason, CrossZone: !r.local,
	}, CachedTokens: cached}
}
