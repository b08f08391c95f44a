// Package health detects stragglers and dead engines from the first-token and
// inter-token times that this host measures, and readmits them gradually. The
// replicas of an upstream form a Pool and are compared with each other.
package health

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// MaxEjectedShare bounds the ejected replicas of an upstream. Half is the
	// most that a median can identify as outliers.
	MaxEjectedShare = 0.5
	// slowFactor is the multiple of the median at which a replica is an outlier.
	// A batch that is full and prefilling takes up to three times the step time
	// of an idle one, so a smaller factor ejects replicas for being busy.
	slowFactor = 3.0
	// queueFactor is the multiple of the median inter-token time below which slow
	// first tokens are put down to queueing.
	queueFactor = 2.0
	// minExcess is the least delay over the expected one that matters to a caller.
	minExcess = 100 * time.Millisecond
	// silence is the time without any token after which a replica with overdue
	// requests counts as frozen.
	silence = 600 * time.Millisecond
	// overdueFactor is the multiple of the expected first-token time after which
	// a request counts as overdue.
	overdueFactor = 3.0
	minSamples    = 2.0
	minObserved   = 0.25        // seconds of streaming
	sampleHalf    = time.Second // half-life of measurements

	slowEjection    = 2 * time.Second
	crashEjection   = time.Second
	maxEjection     = 30 * time.Second
	rampStep        = time.Second // the limit of a readmitted replica doubles each step
	forgetFailures  = time.Minute
	sizeBuckets     = 24
	tiers           = 5
	baselineRate    = 0.02 // weight of a new sample in the upstream's baseline
	baselineWarm    = 5
	maxBaselineStep = 1.4 // bound on the log deviation of one sample, a factor of four
)

// Kind groups requests whose first-token times are comparable.
type Kind struct {
	Tier         int
	PromptTokens int
}

func (k Kind) bucket() (tier, size int) {
	return min(max(k.Tier, 0), tiers-1), min(bits.Len(uint(max(k.PromptTokens, 0))), sizeBuckets-1)
}

// Pool holds the replicas of one upstream.
type Pool struct {
	// InterTokenTarget is the strictest inter-token target of the classes
	// served; a replica that meets it is not ejected for its inter-token time.
	InterTokenTarget time.Duration

	baseline [tiers][sizeBuckets]baseline
	members  []*Member
	scratch  []float64
}

type baseline struct {
	log   float64
	count float64
}

func (b *baseline) add(x float64) {
	b.count++
	if b.count > baselineWarm {
		x = b.log + min(max(x-b.log, -maxBaselineStep), maxBaselineStep)
	}
	b.log += max(1/b.count, baselineRate) * (x - b.log)
}

// Expected returns the upstream's usual first-token time for the kind, and
// whether enough was measured to tell.
func (p *Pool) Expected(k Kind) (time.Duration, bool) {
	tier, size := k.bucket()
	b := &p.baseline[tier][size]
	if b.count < baselineWarm {
		return 0, false
	}
	return time.Duration(math.Exp(b.log) * float64(time.Second)), true
}

// Add adds a replica to the pool.
func (p *Pool) Add() *Member {
	m := &Member{pool: p}
	p.members = append(p.members, m)
	return m
}

// Remove takes a replica out of the pool.
func (p *Pool) Remove(m *Member) {
	p.members = slices.DeleteFunc(p.members, func(other *Member) bool { return other == m })
}

// Evaluate ejects frozen replicas and outliers. It is called every tick.
func (p *Pool) Evaluate(now time.Time) {
	slow, slowKnown := p.median(func(m *Member) (float64, bool) { return m.slowness(now) })
	inter, interKnown := p.median(func(m *Member) (float64, bool) { return m.interToken(now) })
	for _, m := range p.members {
		m.advance(now)
		if m.state == ejected {
			continue
		}
		switch {
		case m.frozen(now, slow):
			p.eject(m, now, slowEjection, "frozen")
		case slowKnown && m.slowOutlier(now, slow, inter):
			p.eject(m, now, slowEjection, "first_token")
		case interKnown && m.interOutlier(now, inter):
			p.eject(m, now, slowEjection, "inter_token")
		}
	}
}

// median returns the median over the replicas with a value, and whether at
// least two have one.
func (p *Pool) median(value func(*Member) (float64, bool)) (float64, bool) {
	p.scratch = p.scratch[:0]
	for _, m := range p.members {
		if v, ok := value(m); ok && m.state != ejected {
			p.scratch = append(p.scratch, v)
		}
	}
	if len(p.scratch) < 2 {
		return 0, false
	}
	slices.Sort(p.scratch)
	// The lower middle keeps the faster one of two as the reference.
	return p.scratch[(len(p.scratch)-1)/2], true
}

func (p *Pool) eject(m *Member, now time.Time, base time.Duration, reason string) {
	if m.state != ejected && !p.mayEject() {
		return
	}
	m.eject(now, base, reason)
}

func (p *Pool) mayEject() bool {
	count := 1
	for _, m := range p.members {
		if m.state == ejected {
			count++
		}
	}
	return float64(count) <= MaxEjectedShare*float64(len(p.members))
}
