package health

import (
	"math"
	"slices"
	"time"

	"heatherbarrow/internal/bundle"
)

type state int

const (
	healthy state = iota
	ejected
	readmitted
)

// Member is one replica as this host measures it.
type Member struct {
	pool     *Pool
	slow     decayed // log of measured over expected first-token time
	inter    decayed // seconds per token
	first    decayed // seconds to the first token
	pending  []attempt
	progress time.Time // when the replica last gave a token or an answer
	state    state
	since    time.Time // when the state was entered
	until    time.Time // when the ejection ends
	failures int
	reason   string
}

// attempt is a request without a first token.
type attempt struct {
	id       string
	started  time.Time
	expected time.Duration
	least    time.Duration // wait that counts as overdue at least
}

// decayed is a mean whose samples lose half their weight every sampleHalf.
type decayed struct {
	weight float64
	sum    float64
	at     time.Time
}

func (d *decayed) add(now time.Time, x, weight float64) {
	f := d.factor(now)
	d.weight = d.weight*f + weight
	d.sum = d.sum*f + x*weight
	d.at = now
}

func (d *decayed) factor(now time.Time) float64 {
	if d.weight == 0 {
		return 0
	}
	return math.Exp2(-float64(now.Sub(d.at)) / float64(sampleHalf))
}

func (d *decayed) mean(now time.Time, minWeight float64) (float64, bool) {
	if d.weight*d.factor(now) < minWeight {
		return 0, false
	}
	return d.sum / d.weight, true
}

// Start records that a request was sent to the replica.
func (m *Member) Start(now time.Time, id string, k Kind) {
	expected, known := m.pool.Expected(k)
	if !known {
		expected = silence
	}
	least := silence
	if k.Tier > bundle.TopTier {
		least *= 2 // engines serve lower tiers after the top tier
	}
	m.pending = append(m.pending, attempt{id: id, started: now, expected: expected, least: least})
}

// FirstToken records the time to the first token of a request.
func (m *Member) FirstToken(now time.Time, id string, k Kind, latency time.Duration) {
	m.end(id)
	m.progress = now
	x := math.Log(max(latency.Seconds(), 1e-4))
	tier, size := k.bucket()
	b := &m.pool.baseline[tier][size]
	if b.count >= baselineWarm {
		m.slow.add(now, x-b.log, 1)
	}
	m.first.add(now, latency.Seconds(), 1)
	b.add(x)
}

// Tokens records n further tokens that took elapsed since the ones before.
func (m *Member) Tokens(now time.Time, n int, elapsed time.Duration) {
	m.progress = now
	if n > 0 {
		// The weight is the time, as a slow replica gives few tokens.
		m.inter.add(now, elapsed.Seconds()/float64(n), elapsed.Seconds())
	}
}

// Finish forgets a request that ended. An answer without a first token before,
// such as that of a plain service, counts as first token.
func (m *Member) Finish(now time.Time, id string, k Kind, answered bool) {
	if !answered {
		m.end(id)
		return
	}
	m.progress = now
	i := slices.IndexFunc(m.pending, func(a attempt) bool { return a.id == id })
	if i >= 0 {
		m.FirstToken(now, id, k, now.Sub(m.pending[i].started))
	}
}

// Timeout ejects the replica if it gave nothing to any request lately; under
// overload a single request may time out on a healthy replica.
func (m *Member) Timeout(now time.Time) {
	if now.Sub(m.progress) >= silence {
		m.Crash(now)
	}
}

// Crash ejects the replica at once, for a time that grows with each crash.
func (m *Member) Crash(now time.Time) {
	if m.state != ejected {
		m.pool.eject(m, now, crashEjection, "crash")
	}
}

func (m *Member) end(id string) {
	i := slices.IndexFunc(m.pending, func(a attempt) bool { return a.id == id })
	if i >= 0 {
		m.pending = slices.Delete(m.pending, i, i+1)
	}
}

// slowness returns measured over expected first-token time. Requests that
// still wait longer than expected count with the time waited so far.
func (m *Member) slowness(now time.Time) (float64, bool) {
	sum, weight := m.slowSum(now)
	if weight < minSamples {
		return 0, false
	}
	return math.Exp(sum / weight), true
}

func (m *Member) slowSum(now time.Time) (sum, weight float64) {
	factor := m.slow.factor(now)
	sum, weight = m.slow.sum*factor, m.slow.weight*factor
	for i := range m.pending {
		a := &m.pending[i]
		if ratio := float64(now.Sub(a.started)) / float64(a.expected); ratio > 1 {
			sum += math.Log(ratio)
			weight++
		}
	}
	return sum, weight
}

func (m *Member) interToken(now time.Time) (float64, bool) { return m.inter.mean(now, minObserved) }

func (m *Member) slowOutlier(now time.Time, median, inter float64) bool {
	v, known := m.slowness(now)
	if !known || v < slowFactor*max(median, 1) {
		return false
	}
	// A replica that gives its tokens as fast as the others is not slow; its
	// requests wait for a place in the batch.
	if own, known := m.interToken(now); known && inter > 0 && own < queueFactor*inter {
		return false
	}
	first, known := m.first.mean(now, 0.5)
	excess := time.Duration(first * (1 - 1/v) * float64(time.Second))
	return !known || excess > minExcess
}

func (m *Member) interOutlier(now time.Time, median float64) bool {
	v, known := m.interToken(now)
	target := m.pool.InterTokenTarget.Seconds()
	return known && v > slowFactor*median && v > target
}

// frozen tells whether requests are overdue and the replica gives no token at
// all. median is the upstream's present slowness: under overload all requests
// wait longer than expected.
func (m *Member) frozen(now time.Time, median float64) bool {
	if now.Sub(m.progress) < silence {
		return false
	}
	for i := range m.pending {
		a := &m.pending[i]
		overdue := max(time.Duration(overdueFactor*max(median, 1)*float64(a.expected)), a.least)
		if now.Sub(a.started) > overdue {
			return true
		}
	}
	return false
}

func (m *Member) eject(now time.Time, base time.Duration, reason string) {
	m.failures++
	m.state = ejected
	m.since = now
	m.until = now.Add(min(base<<min(m.failures-1, 6), maxEjection))
	m.reason = reason
}

func (m *Member) advance(now time.Time) {
	switch {
	case m.state == ejected && !now.Before(m.until):
		m.state = readmitted
		m.since = m.until
		// The requests that led to the ejection say nothing of the replica now.
		m.slow, m.inter, m.first = decayed{}, decayed{}, decayed{}
		m.pending = m.pending[:0]
	case m.state == readmitted && now.Sub(m.since) > maxReadmission:
		m.state = healthy
		m.since = now
	case m.state == healthy && m.failures > 0 && now.Sub(m.since) > forgetFailures:
		m.failures = 0
	}
}

// maxReadmission is the time after which a readmitted replica has no limit of
// its own; its limit has then passed the slots of any upstream.
const maxReadmission = 6 * rampStep

// Limit returns how many of the slots this host may use now.
func (m *Member) Limit(now time.Time, slots int) int {
	switch m.state {
	case ejected:
		return 0
	case readmitted:
		return min(slots, 1<<min(int(max(now.Sub(m.since), 0)/rampStep), 16))
	default:
		return slots
	}
}

// Ejected tells whether the replica takes no requests.
func (m *Member) Ejected() bool { return m.state == ejected }

// Readmitted tells whether the replica has yet to prove itself.
func (m *Member) Readmitted() bool { return m.state == readmitted }

// Reason tells why the replica was last ejected.
func (m *Member) Reason() string { return m.reason }

// priorSamples is the weight of the upstream's usual time in Slowness; it keeps
// a single slow answer from steering traffic.
const priorSamples = 2

// Slowness returns the replica's first-token time relative to the upstream's
// usual one, drawn towards 1 when little was measured.
func (m *Member) Slowness(now time.Time) float64 {
	sum, weight := m.slowSum(now)
	if weight == 0 {
		return 1
	}
	return math.Exp(sum / (weight + priorSamples))
}

// InterToken returns the recent mean inter-token time; 0 when little was measured.
func (m *Member) InterToken(now time.Time) time.Duration {
	v, _ := m.interToken(now)
	return time.Duration(v * float64(time.Second))
}
