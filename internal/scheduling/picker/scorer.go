package picker

import (
	"math"
	"time"

	"heatherbarrow/internal/bundle"
)

// Scorer rates a candidate in seconds of delay; lower is better. The scores of all scorers
// are added.
type Scorer interface {
	// Name returns the scorer's name.
	Name() string
	// Score returns the expected delay in seconds; a negative value is a saving.
	Score(q *Query, c *Candidate) float64
}

// Candidate is a replica that passed the filters.
type Candidate struct {
	replica *Replica
	// expectedSeconds is the expected first-token time without preferences such as
	// affinity.
	expectedSeconds float64
	score           float64 // sum of all scorers, in seconds; lower is better
}

const (
	// crossZoneCost is the delay added for a replica in another zone. It covers the
	// round trips of the connection and keeps traffic in the zone when replicas are
	// otherwise equal.
	crossZoneCost = 5 * time.Millisecond
	// maxPrefillShare is the maximum share of the first-token time that a cached
	// prompt saves; the rest is queueing and the first decode step.
	maxPrefillShare = 0.7
	// interTokenHorizonTokens is the number of tokens for which an inter-token time above
	// the target counts as delay.
	interTokenHorizonTokens = 16
	// avoidancePenaltySeconds is a delay larger than any ordinary difference between
	// replicas. It keeps requests away from replicas that run suspects and top-tier
	// requests away from readmitted replicas.
	avoidancePenaltySeconds = 1.0
	// minLoadFactor is the minimum factor by which a load below the mean scales the
	// first-token time.
	minLoadFactor = 0.3
)

// defaultScorers returns the scorers. Those before affinityScorer add up to the expected
// first-token time; the others are preferences.
func defaultScorers() []Scorer {
	return []Scorer{loadScorer{}, latencyScorer{}, affinityScorer{}, zoneScorer{}, trialScorer{}}
}

// estimateScorers is the number of scorers that add up to the expected first-token time.
const estimateScorers = 2

// loadScorer scales the upstream's expected first-token time by the replica's estimated load
// relative to the mean load of the upstream, and adds the expected wait for a slot.
type loadScorer struct{}

func (loadScorer) Name() string { return "load" }
func (loadScorer) Score(q *Query, c *Candidate) float64 {
	r := c.replica
	slotsPerReplica := float64(r.pool.slotsPerReplica)
	load := r.load()
	factor := max(1+(load-r.pool.meanLoad)/slotsPerReplica, minLoadFactor)
	return q.baseSeconds*factor + expectedExcess(load+1-slotsPerReplica, r.otherLoadDeviation)/slotsPerReplica*r.pool.meanService
}

// expectedExcess returns the expected value of max(x, 0) for a random x with the given
// mean and standard deviation. It uses the logistic distribution in place of the normal
// one.
func expectedExcess(mean, deviation float64) float64 {
	scale := deviation * math.Sqrt(3) / math.Pi
	if scale == 0 || math.Abs(mean) > maxExponent*scale {
		return max(mean, 0)
	}
	return scale * math.Log1p(math.Exp(mean/scale))
}

// maxExponent bounds the exponent in expectedExcess. Beyond it the result is
// practically max(mean, 0).
const maxExponent = 30

// latencyScorer adds the delay that follows from this host's measurements of the replica:
// its first-token time relative to the expected one, and its inter-token time above the
// target.
type latencyScorer struct{}

func (latencyScorer) Name() string { return "latency" }
func (latencyScorer) Score(q *Query, c *Candidate) float64 {
	r := c.replica
	delay := q.baseSeconds * (r.slowness - 1)
	if q.interTokenTargetSeconds > 0 {
		delay += interTokenHorizonTokens * max(r.interTokenSeconds-q.interTokenTargetSeconds, 0)
	}
	return delay
}

// affinityScorer credits the prefill time that a cached prefix saves, but only if the
// replica is expected to meet the class's target without the saving.
type affinityScorer struct{}

func (affinityScorer) Name() string { return "affinity" }
func (affinityScorer) Score(q *Query, c *Candidate) float64 {
	if q.matchCount == 0 || c.expectedSeconds > q.budgetSeconds {
		return 0
	}
	return -maxPrefillShare * q.baseSeconds * q.match(c.replica)
}

// zoneScorer adds the cost of a replica in another zone.
type zoneScorer struct{}

func (zoneScorer) Name() string { return "zone" }
func (zoneScorer) Score(_ *Query, c *Candidate) float64 {
	if c.replica.inZone {
		return 0
	}
	return crossZoneCost.Seconds()
}

// trialScorer penalizes replicas that run suspects and, for top-tier requests, replicas
// that were readmitted recently.
type trialScorer struct{}

func (trialScorer) Name() string { return "trial" }
func (trialScorer) Score(q *Query, c *Candidate) float64 {
	cost := 0.0
	if n := c.replica.suspectsInFlight; n > 0 {
		// At most one of the suspects of a crash caused it. The more suspects run on the
		// upstream, the less likely it is that a given replica runs the cause.
		cost += avoidancePenaltySeconds * float64(n) / float64(max(c.replica.pool.suspectsInFlight, n))
	}
	if q.class.Tier == bundle.TopTier && c.replica.health.Readmitted() {
		cost += avoidancePenaltySeconds
	}
	return cost
}
