package health

import (
	"math"
	"slices"
	"time"

	"heatherbarrow/internal/bundle"
)

// state is a replica's place in the ejection cycle.
type state int

const (
	healthy    state = iota
	ejected          // takes no requests
	readmitted       // takes a growing number of requests
)

// Member holds this host's measurements of one replica and its ejection state.
type Member struct {
	pool              *Pool
	logSlowness       decayingMean // logarithm of the ratio of first-token time to baseline
	perToken          decayingMean // seconds per token after the first
	firstTokenSeconds decayingMean
	pending           []pendingRequest
	lastProgress      time.Time // time of the latest token or answer
	state             state
	stateSince        time.Time // when the current state began
	ejectedUntil      time.Time // when the current ejection ends
	ejections         int       // since the replica was last healthy for ejectionResetTime
	ejectionReason    string
}

// pendingRequest is a request that has not received its first token.
type pendingRequest struct {
	id             string
	started        time.Time
	expected       time.Duration
	minOverdueWait time.Duration // a shorter wait never counts as overdue
}

// decayingMean is a weighted mean whose samples lose half their weight every
// sampleHalfLife.
type decayingMean struct {
	weight    float64
	sum       float64
	updatedAt time.Time
}

func (d *decayingMean) add(now time.Time, value, weight float64) {
	factor := d.decayFactor(now)
	d.weight = d.weight*factor + weight
	d.sum = d.sum*factor + value*weight
	d.updatedAt = now
}

// decayFactor returns the factor by which weight and sum have decayed since the
// last sample.
func (d *decayingMean) decayFactor(now time.Time) float64 {
	if d.weight == 0 {
		return 0
	}
	return math.Exp2(-float64(now.Sub(d.updatedAt)) / float64(sampleHalfLife))
}

// mean returns the mean, or false when the decayed weight is below minWeight.
func (d *decayingMean) mean(now time.Time, minWeight float64) (float64, bool) {
	if d.weight*d.decayFactor(now) < minWeight {
		return 0, false
	}
	return d.sum / d.weight, true
}

// Start records that a request was sent to the replica.
func (m *Member) Start(now time.Time, id string, k RequestKind) {
	expected, ok := m.pool.ExpectedFirstToken(k)
	if !ok {
		expected = stallTimeout
	}
	minOverdueWait := stallTimeout
	if k.Tier > bundle.TopTier {
		minOverdueWait *= 2 // engines serve the top tier before the others
	}
	m.pending = append(m.pending, pendingRequest{id: id, started: now, expected: expected, minOverdueWait: minOverdueWait})
}

// FirstToken records the time to the first token of a request.
func (m *Member) FirstToken(now time.Time, id string, k RequestKind, latency time.Duration) {
	m.removePending(id)
	m.lastProgress = now
	logLatency := math.Log(max(latency.Seconds(), 1e-4))
	tier, size := k.bucket()
	b := &m.pool.baseline[tier][size]
	if b.count >= minBaselineSamples {
		m.logSlowness.add(now, logLatency-b.meanLog, 1)
	}
	m.firstTokenSeconds.add(now, latency.Seconds(), 1)
	b.add(logLatency)
}

// Tokens records n tokens that arrived within elapsed after the previous ones.
func (m *Member) Tokens(now time.Time, n int, elapsed time.Duration) {
	m.lastProgress = now
	if n > 0 {
		// Samples are weighted by time rather than by tokens, because a slow
		// replica returns too few tokens to reach the minimum weight.
		m.perToken.add(now, elapsed.Seconds()/float64(n), elapsed.Seconds())
	}
}

// Finish records the end of a request. When the request was answered without a
// preceding first token, as by a plain service, the answer counts as its first
// token.
func (m *Member) Finish(now time.Time, id string, k RequestKind, answered bool) {
	if !answered {
		m.removePending(id)
		return
	}
	m.lastProgress = now
	i := slices.IndexFunc(m.pending, func(r pendingRequest) bool { return r.id == id })
	if i >= 0 {
		m.FirstToken(now, id, k, now.Sub(m.pending[i].started))
	}
}

// Timeout records that a request timed out. The replica is ejected only if no
// request received a token or an answer from it within stallTimeout, because under
// overload single requests time out on healthy replicas too. The ejection has the
// length and the reason of a crash.
func (m *Member) Timeout(now time.Time) {
	if now.Sub(m.lastProgress) >= stallTimeout {
		m.Crash(now)
	}
}

// Crash ejects the replica at once, unless it is ejected already or MaxEjectedShare is
// reached. The length of the ejection doubles with each successive one.
func (m *Member) Crash(now time.Time) {
	if m.state != ejected {
		m.pool.eject(m, now, crashEjectionTime, "crash")
	}
}

// removePending removes the request from those that wait for a first token.
func (m *Member) removePending(id string) {
	i := slices.IndexFunc(m.pending, func(r pendingRequest) bool { return r.id == id })
	if i >= 0 {
		m.pending = slices.Delete(m.pending, i, i+1)
	}
}

// meanSlowness returns the geometric mean of the ratios of first-token time to
// baseline. A pending request that has waited longer than expected counts with its
// wait so far. meanSlowness returns false when there are too few samples.
func (m *Member) meanSlowness(now time.Time) (float64, bool) {
	sum, weight := m.slownessSum(now)
	if weight < minSampleWeight {
		return 0, false
	}
	return math.Exp(sum / weight), true
}

// slownessSum returns the decayed sum of the logarithms of the ratios that
// meanSlowness averages, and the sum of their weights.
func (m *Member) slownessSum(now time.Time) (sum, weight float64) {
	decayFactor := m.logSlowness.decayFactor(now)
	sum, weight = m.logSlowness.sum*decayFactor, m.logSlowness.weight*decayFactor
	for i := range m.pending {
		r := &m.pending[i]
		if ratio := float64(now.Sub(r.started)) / float64(r.expected); ratio > 1 {
			sum += math.Log(ratio)
			weight++
		}
	}
	return sum, weight
}

// tokenTime returns the mean inter-token time in seconds, or false when too little
// streaming was measured.
func (m *Member) tokenTime(now time.Time) (float64, bool) { return m.perToken.mean(now, minStreamed) }

// firstTokenOutlier reports whether the replica's first tokens are late compared
// with both the baseline and the other replicas, and queueing does not explain it.
func (m *Member) firstTokenOutlier(now time.Time, medianSlowness, medianInterToken float64) bool {
	slowness, ok := m.meanSlowness(now)
	if !ok || slowness < outlierFactor*max(medianSlowness, 1) {
		return false
	}
	// A replica that generates tokens about as fast as the others is not slow: its
	// requests wait for a place in the batch.
	if interToken, ok := m.tokenTime(now); ok && medianInterToken > 0 && interToken < queueingFactor*medianInterToken {
		return false
	}
	// With less than half a sample the excess is unknown, and the replica counts as an
	// outlier.
	firstTokenSeconds, ok := m.firstTokenSeconds.mean(now, 0.5)
	excess := time.Duration(firstTokenSeconds * (1 - 1/slowness) * float64(time.Second))
	return !ok || excess > minExcessDelay
}

// interTokenOutlier reports whether the replica's inter-token time misses the
// target and is far above the median.
func (m *Member) interTokenOutlier(now time.Time, medianInterToken float64) bool {
	interToken, ok := m.tokenTime(now)
	target := m.pool.InterTokenTarget.Seconds()
	return ok && interToken > outlierFactor*medianInterToken && interToken > target
}

// frozen reports whether a request is overdue and the replica has returned no
// token or answer to any request within stallTimeout. The overdue time scales with
// the median slowness of the upstream, because under overload the requests on all
// replicas wait longer than expected.
func (m *Member) frozen(now time.Time, medianSlowness float64) bool {
	if now.Sub(m.lastProgress) < stallTimeout {
		return false
	}
	for i := range m.pending {
		r := &m.pending[i]
		overdueWait := max(time.Duration(overdueFactor*max(medianSlowness, 1)*float64(r.expected)), r.minOverdueWait)
		if now.Sub(r.started) > overdueWait {
			return true
		}
	}
	return false
}

// eject starts an ejection. Its length is baseTime doubled with each successive
// ejection, up to maxEjectionTime.
func (m *Member) eject(now time.Time, baseTime time.Duration, ejectionReason string) {
	m.ejections++
	m.state = ejected
	m.stateSince = now
	m.ejectedUntil = now.Add(min(baseTime<<min(m.ejections-1, 6), maxEjectionTime))
	m.ejectionReason = ejectionReason
}

// advanceState makes the state transitions that are due.
func (m *Member) advanceState(now time.Time) {
	switch {
	case m.state == ejected && !now.Before(m.ejectedUntil):
		m.state = readmitted
		m.stateSince = m.ejectedUntil
		// Measurements from before the ejection do not describe the replica after it.
		m.logSlowness, m.perToken, m.firstTokenSeconds = decayingMean{}, decayingMean{}, decayingMean{}
		m.pending = m.pending[:0]
	case m.state == readmitted && now.Sub(m.stateSince) > readmissionTime:
		m.state = healthy
		m.stateSince = now
	case m.state == healthy && m.ejections > 0 && now.Sub(m.stateSince) > ejectionResetTime:
		m.ejections = 0
	}
}

// readmissionTime is how long the limit of a readmitted replica doubles before the
// replica counts as healthy. The limit has then reached 64; a replica with more slots
// gets all of them at once.
const readmissionTime = 6 * rampInterval

// Limit returns how many of the replica's slots this host may use: none while the
// replica is ejected, and a limit that doubles every rampInterval after that.
func (m *Member) Limit(now time.Time, slots int) int {
	switch m.state {
	case ejected:
		return 0
	case readmitted:
		return min(slots, 1<<min(int(max(now.Sub(m.stateSince), 0)/rampInterval), 16))
	default:
		return slots
	}
}

// Ejected reports whether the replica is ejected and takes no requests.
func (m *Member) Ejected() bool { return m.state == ejected }

// Readmitted reports whether the replica's limit is still growing after an
// ejection.
func (m *Member) Readmitted() bool { return m.state == readmitted }

// Reason returns the reason of the replica's most recent ejection, empty when there
// was none.
func (m *Member) Reason() string { return m.ejectionReason }

// priorWeight is the weight, in samples, of the prior slowness of 1 in Slowness. It
// keeps a single slow answer from shifting traffic away from a replica.
const priorWeight = 2

// Slowness returns the replica's first-token time relative to the upstream's
// baseline. It is close to 1 when there are few samples, and 1 without any.
func (m *Member) Slowness(now time.Time) float64 {
	sum, weight := m.slownessSum(now)
	if weight == 0 {
		return 1
	}
	return math.Exp(sum / (weight + priorWeight))
}

// InterToken returns the mean inter-token time, or 0 when too little streaming was
// measured.
func (m *Member) InterToken(now time.Time) time.Duration {
	seconds, _ := m.tokenTime(now)
	return time.Duration(seconds * float64(time.Second))
}
