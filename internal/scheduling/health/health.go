// Package health detects slow, frozen and crashed replicas from the first-token
// and inter-token times that this host measures, ejects them for a time and
// readmits them gradually. The replicas of an upstream form a Pool and are
// compared with each other.
package health

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// MaxEjectedShare is the maximum share of an upstream's replicas that may be
	// ejected at once. A comparison with the median can identify at most half of
	// them as outliers.
	MaxEjectedShare = 0.5
	// outlierFactor is the multiple of the median from which a replica is an outlier. A
	// replica whose inter-token time is exactly this multiple is not one. A step of a
	// full batch with prefill takes up to three times as long as one of an idle
	// engine, so a smaller factor would eject busy replicas.
	outlierFactor = 3.0
	// queueingFactor is the multiple of the median inter-token time below which the
	// slow first tokens of a replica are attributed to queueing, not to the replica.
	queueingFactor = 2.0
	// minExcessDelay is the minimum delay beyond the expected first-token time for
	// which a replica is ejected; callers do not notice a shorter one.
	minExcessDelay = 100 * time.Millisecond
	// stallTimeout is the time without any token or answer after which a replica
	// with overdue requests counts as frozen. It is also the minimum wait that counts
	// as overdue for the top tier, and the expected first-token time without a
	// baseline.
	stallTimeout = 600 * time.Millisecond
	// overdueFactor is the multiple of the expected first-token time after which
	// a request without a first token counts as overdue.
	overdueFactor   = 3.0
	minSampleWeight = 2.0         // decayed number of first-token samples required for a mean slowness
	minStreamed     = 0.25        // decayed seconds of streaming required for a mean inter-token time
	sampleHalfLife  = time.Second // half-life of a measurement's weight

	// The first ejection lasts slowEjectionTime for a slow or frozen replica and
	// crashEjectionTime for a crashed one. The time doubles with each further
	// ejection, up to maxEjectionTime.
	slowEjectionTime  = 2 * time.Second
	crashEjectionTime = time.Second
	maxEjectionTime   = 30 * time.Second

	rampInterval      = time.Second // the request limit of a readmitted replica doubles after each interval
	ejectionResetTime = time.Minute // healthy time after which ejections start at the base time again

	promptSizeBuckets  = 24   // one for each bit length of the prompt's token count
	tierCount          = 5    // indexes 0 to bundle.MaxTier
	minBaselineWeight  = 0.02 // minimum weight of a new sample in the baseline's mean
	minBaselineSamples = 5    // samples after which the baseline is used
	// maxBaselineDeviation bounds the deviation of one sample from the baseline, as a
	// natural logarithm. It stands for a factor of about four.
	maxBaselineDeviation = 1.4
)

// RequestKind describes a request by the properties that determine its expected
// first-token time.
type RequestKind struct {
	Tier         int
	PromptTokens int
}

// bucket returns the indexes of the kind's baseline in Pool.baseline.
func (k RequestKind) bucket() (tier, size int) {
	return min(max(k.Tier, 0), tierCount-1), min(bits.Len(uint(max(k.PromptTokens, 0))), promptSizeBuckets-1)
}

// Pool holds the replicas of one upstream and the baseline of their first-token
// times. It is not safe for concurrent use.
type Pool struct {
	// InterTokenTarget is the shortest inter-token target of the classes that the
	// upstream serves; a replica that meets it is not ejected for its inter-token
	// time. Zero means that there is no target.
	InterTokenTarget time.Duration

	// baseline has one entry per tier and bucket of prompt lengths.
	baseline [tierCount][promptSizeBuckets]baseline
	members  []*Member
	scratch  []float64
}

// baseline is a running mean of the logarithm of first-token times in seconds.
type baseline struct {
	meanLog float64
	count   float64
}

// add updates the mean with a sample, whose deviation is bounded once the baseline
// is in use.
func (b *baseline) add(logLatency float64) {
	b.count++
	if b.count > minBaselineSamples {
		logLatency = b.meanLog + min(max(logLatency-b.meanLog, -maxBaselineDeviation), maxBaselineDeviation)
	}
	b.meanLog += max(1/b.count, minBaselineWeight) * (logLatency - b.meanLog)
}

// ExpectedFirstToken returns the upstream's baseline first-token time for requests of the
// kind. It returns false while the baseline has too few samples.
func (p *Pool) ExpectedFirstToken(k RequestKind) (time.Duration, bool) {
	tier, size := k.bucket()
	b := &p.baseline[tier][size]
	if b.count < minBaselineSamples {
		return 0, false
	}
	return time.Duration(math.Exp(b.meanLog) * float64(time.Second)), true
}

// Add adds a replica to the pool.
func (p *Pool) Add() *Member {
	m := &Member{pool: p}
	p.members = append(p.members, m)
	return m
}

// Remove removes a replica from the pool.
func (p *Pool) Remove(m *Member) {
	p.members = slices.DeleteFunc(p.members, func(other *Member) bool { return other == m })
}

// Evaluate ends ejections whose time is over, and ejects frozen replicas and
// outliers. It is called on each tick (see scheduling.Picker.Tick).
func (p *Pool) Evaluate(now time.Time) {
	medianSlowness, hasSlowness := p.median(func(m *Member) (float64, bool) { return m.meanSlowness(now) })
	medianInterToken, hasInterToken := p.median(func(m *Member) (float64, bool) { return m.tokenTime(now) })
	for _, m := range p.members {
		m.advanceState(now)
		if m.state == ejected {
			continue
		}
		switch {
		case m.frozen(now, medianSlowness):
			p.eject(m, now, slowEjectionTime, "frozen")
		case hasSlowness && m.firstTokenOutlier(now, medianSlowness, medianInterToken):
			p.eject(m, now, slowEjectionTime, "first_token")
		case hasInterToken && m.interTokenOutlier(now, medianInterToken):
			p.eject(m, now, slowEjectionTime, "inter_token")
		}
	}
}

// median returns the median of the value over the replicas that are not ejected
// and have one. It returns false when fewer than two have a value.
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
	// Of an even number of values the lower middle one is taken, so that of two
	// replicas the faster one is the reference.
	return p.scratch[(len(p.scratch)-1)/2], true
}

// eject ejects the replica, or restarts its ejection when it is ejected already. It has
// no effect on a replica that is not ejected when one more would exceed MaxEjectedShare.
func (p *Pool) eject(m *Member, now time.Time, baseTime time.Duration, reason string) {
	if m.state != ejected && !p.canEject() {
		return
	}
	m.eject(now, baseTime, reason)
}

// canEject reports whether one more replica may be ejected under MaxEjectedShare.
func (p *Pool) canEject() bool {
	ejectedCount := 1
	for _, m := range p.members {
		if m.state == ejected {
			ejectedCount++
		}
	}
	return float64(ejectedCount) <= MaxEjectedShare*float64(len(p.members))
}
