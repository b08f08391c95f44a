package picker

import (
	"math"
	"time"

	"heatherbarrow/internal/bundle"
)

// Scorer rates a candidate in seconds of delay; lower is better.
type Scorer interface {
	// Name is the scorer's name for messages and tests.
	Name() string
	// Score returns the delay that the scorer expects, negative for a saving.
	Score(q *Query, c *Candidate) float64
}

// Candidate is a replica that passed the filters.
type Candidate struct {
	replica *Replica
	// expected is the first-token time to be expected, in seconds, without
	// preferences such as affinity.
	expected float64
	score    float64
}

const (
	// zoneCost is the delay added for a replica outside the zone. It covers the
	// round trips of the connection and keeps traffic local when all is equal.
	zoneCost = 5 * time.Millisecond
	// prefillShare is the share of the first-token time that a cached prompt
	// saves at most; the rest is queueing and the first decoding step.
	prefillShare = 0.7
	// interHorizon is the number of tokens over which an inter-token time above
	// the target counts as delay.
	interHorizon = 16
	// suspectCost is the delay that outweighs any ordinary difference between
	// replicas, so that other work avoids suspects and replicas on trial.
	suspectCost = 1.0
	minFactor   = 0.3
)

// defaultScorers lists the scorers. Those before affinity make up the expected
// time, the others are preferences.
func defaultScorers() []Scorer {
	return []Scorer{loadScorer{}, latencyScorer{}, affinityScorer{}, zoneScorer{}, trialScorer{}}
}

// expectedScorers is the number of scorers that make up the expected time.
const expectedScorers = 2

// loadScorer scales the usual first-token time by the corrected load relative
// to the mean of the upstream, and adds the wait for a slot.
type loadScorer struct{}

func (loadScorer) Name() string { return "load" }
func (loadScorer) Score(q *Query, c *Candidate) float64 {
	r := c.replica
	slots := float64(r.pool.slots)
	load := r.load()
	factor := max(1+(load-r.pool.meanLoad)/slots, minFactor)
	return q.base*factor + excess(load+1-slots, r.doubt)/slots*r.pool.serviced
}

// excess returns the mean of the part above zero of a value that is known up to
// a standard deviation, with the logistic distribution for the normal one.
func excess(mean, deviation float64) float64 {
	scale := deviation * math.Sqrt(3) / math.Pi
	if scale == 0 || math.Abs(mean) > maxExponent*scale {
		return max(mean, 0)
	}
	return scale * math.Log1p(math.Exp(mean/scale))
}

// maxExponent bounds the exponent in excess; beyond it both forms agree.
const maxExponent = 30

// latencyScorer adds what this host measured of the replica itself.
type latencyScorer struct{}

func (latencyScorer) Name() string { return "latency" }
func (latencyScorer) Score(q *Query, c *Candidate) float64 {
	r := c.replica
	delay := q.base * (r.slow - 1)
	if q.interTarget > 0 {
		delay += interHorizon * max(r.inter-q.interTarget, 0)
	}
	return delay
}

// affinityScorer credits the prefill that a cached prefix saves, unless the
// replica is not expected to meet the class's target without it.
type affinityScorer struct{}

func (affinityScorer) Name() string { return "affinity" }
func (affinityScorer) Score(q *Query, c *Candidate) float64 {
	if q.matched == 0 || c.expected > q.budget {
		return 0
	}
	return -prefillShare * q.base * q.match(c.replica)
}

// zoneScorer adds the cost of leaving the zone.
type zoneScorer struct{}

func (zoneScorer) Name() string { return "zone" }
func (zoneScorer) Score(_ *Query, c *Candidate) float64 {
	if c.replica.local {
		return 0
	}
	return zoneCost.Seconds()
}

// trialScorer keeps work away from replicas that run suspects, and top-tier
// work from replicas that were just readmitted.
type trialScorer struct{}

func (trialScorer) Name() string { return "trial" }
func (trialScorer) Score(q *Query, c *Candidate) float64 {
	cost := 0.0
	if n := c.replica.suspects; n > 0 {
		// One of the suspects of a crash is the cause at most, so that each of
		// many says little about its replica.
		cost += suspectCost * float64(n) / float64(max(c.replica.pool.suspects, n))
	}
	if q.class.Tier == bundle.TopTier && c.replica.health.Readmitted() {
		cost += suspectCost
	}
	return cost
}
