package fleet

import (
	"math"
	"time"
)

const (
	// speedSampleWindow is the number of samples after which the weight of an older sample
	// has decayed by a factor of e.
	speedSampleWindow = 200
	// priorSamples is the weight of the configured values, in samples, so that a few
	// requests outweigh them.
	priorSamples = 1
	// aboveLineWeight is the weight of a sample above the fitted line. Such latencies
	// mostly include waits that this host cannot see, whereas a latency below the line
	// cannot be too short.
	aboveLineWeight = 0.25
	// minLearnedSamples is the number of samples from which aboveLineWeight applies.
	// Before that the line mostly reflects the configuration and may be far below all
	// samples.
	minLearnedSamples = 24
	// maxSampleRatio bounds a sample as a multiple of its prediction, or of the mean of all
	// samples if that is larger, so that a faulty replica moves the line little.
	maxSampleRatio = 3.0
	// minStreamEvents is the number of events from which the pace of a stream is sampled.
	minStreamEvents = 4
	// maxSpeedRatio bounds the ratio of the learned to the configured value, and its
	// inverse, for PrefillTokensPerMs and Step.
	maxSpeedRatio = 16.0
	// peerSpeedLifetime is how long the measurements of another host count without an
	// update.
	peerSpeedLifetime = time.Minute
)

// Line holds the weighted sums of a least-squares fit of y = intercept + slope*x. The sums
// of several hosts can be added.
type Line struct {
	Weight, X, Y, XX, XY float64
}

// addSample adds a sample and decays the older ones.
func (l *Line) addSample(x, y, weight float64) {
	decay := 1 - weight/speedSampleWindow
	*l = Line{Weight: l.Weight * decay, X: l.X * decay, Y: l.Y * decay, XX: l.XX * decay, XY: l.XY * decay}
	l.add(Line{Weight: weight, X: weight * x, Y: weight * y, XX: weight * x * x, XY: weight * x * y})
}

// add adds the sums of another line.
func (l *Line) add(other Line) {
	l.Weight += other.Weight
	l.X += other.X
	l.Y += other.Y
	l.XX += other.XX
	l.XY += other.XY
}

// fit returns the fitted intercept and slope; both are at least 0.
func (l *Line) fit() (intercept, slope float64) {
	det := l.Weight*l.XX - l.X*l.X
	if l.Weight <= 0 || det <= 0 {
		return 0, 0
	}
	slope = max((l.Weight*l.XY-l.X*l.Y)/det, 0)
	intercept = (l.Y - slope*l.X) / l.Weight
	if intercept < 0 {
		return 0, l.XY / l.XX
	}
	return intercept, slope
}

// valid reports whether sums received from another host are plausible.
func (l *Line) valid() bool {
	for _, v := range []float64{l.Weight, l.X, l.Y, l.XX, l.XY} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return false
		}
	}
	return l.Weight <= speedSampleWindow
}

// lineEstimate combines the sums of the configured prior, of this host and of other hosts.
type lineEstimate struct {
	prior, local Line
	peers        map[string]peerLine // by host
}

// peerLine holds the sums reported by another host and when they arrived.
type peerLine struct {
	line Line
	at   time.Time
}

// total returns the combined sums and deletes those of hosts that have not reported for
// peerSpeedLifetime.
func (e *lineEstimate) total(now time.Time) Line {
	sum := e.prior
	sum.add(e.local)
	for host, peer := range e.peers {
		if now.Sub(peer.at) > peerSpeedLifetime {
			delete(e.peers, host)
			continue
		}
		sum.add(peer.line)
	}
	return sum
}

// addSample adds a sample of this host and returns the updated fit.
func (e *lineEstimate) addSample(x float64, latency time.Duration, now time.Time) (intercept, slope float64) {
	line := e.total(now)
	intercept, slope = line.fit()
	y, weight := max(milliseconds(latency), 0), 1.0
	if predicted := intercept + slope*x; y > predicted {
		mean := line.Y / max(line.Weight, 1)
		y = min(y, maxSampleRatio*max(predicted, mean))
		if line.Weight >= minLearnedSamples {
			weight = aboveLineWeight
		}
	}
	e.local.addSample(x, y, weight)
	line = e.total(now)
	return line.fit()
}

// engineSpeed estimates the speed of an upstream's engines from the time to first token of
// requests that found no prompts ahead of them, and from the pace of streams.
type engineSpeed struct {
	prior   EngineModel  // configured values
	model   EngineModel  // current estimate
	prompts lineEstimate // ms to the first token as a function of unread prompt tokens
	steps   lineEstimate // ms per token of a stream as a function of in-flight requests
}

// newEngineSpeed returns an estimate that starts from the prior, weighted as priorSamples.
func newEngineSpeed(prior EngineModel) *engineSpeed {
	const shortPromptTokens, longPromptTokens, fewRequests, manyRequests = 0, 8000, 0, 32
	s := &engineSpeed{prior: prior, model: prior}
	for _, tokens := range []int{shortPromptTokens, longPromptTokens} {
		s.prompts.prior.addSample(float64(tokens), milliseconds(prior.First+prior.prefill(tokens)), priorSamples/2.0)
	}
	for _, load := range []int{fewRequests, manyRequests} {
		s.steps.prior.addSample(float64(load), milliseconds(prior.step(load)), priorSamples/2.0)
	}
	s.prompts.peers, s.steps.peers = make(map[string]peerLine), make(map[string]peerLine)
	return s
}

// recordFirstToken adds a measured time to first token, without a decode step and the
// cross-zone latency. Requests with copies are not recorded. tokens is the number of unread
// prompt tokens, scaled by prefillSlowdown.
func (s *engineSpeed) recordFirstToken(tokens float64, latency time.Duration, now time.Time) {
	s.setPrefill(s.prompts.addSample(tokens, latency, now))
}

// setPrefill updates the model from a fit of prompts.
func (s *engineSpeed) setPrefill(firstTokenMs, msPerToken float64) {
	s.model.First = duration(firstTokenMs)
	if msPerToken > 0 {
		s.model.PrefillTokensPerMs = clampToPrior(1/msPerToken, s.prior.PrefillTokensPerMs)
	}
}

// recordPace adds the mean time per token of a stream, at a mean number of in-flight
// requests.
func (s *engineSpeed) recordPace(load float64, perToken time.Duration, now time.Time) {
	s.setStep(s.steps.addSample(load, perToken, now))
}

// setStep updates the model from a fit of steps.
func (s *engineSpeed) setStep(stepMs, msPerRequest float64) {
	s.model.Step = duration(clampToPrior(stepMs, milliseconds(s.prior.Step)))
	s.model.StepPerRequest = duration(msPerRequest)
}

// applyPeer replaces the measurements of another host.
func (s *engineSpeed) applyPeer(host string, prompts, steps Line, now time.Time) {
	s.prompts.peers[host] = peerLine{line: prompts, at: now}
	s.steps.peers[host] = peerLine{line: steps, at: now}
	total := s.prompts.total(now)
	s.setPrefill(total.fit())
	total = s.steps.total(now)
	s.setStep(total.fit())
}

// clampToPrior bounds the ratio of a value to its configured one by maxSpeedRatio.
func clampToPrior(value, prior float64) float64 {
	if prior <= 0 {
		return value
	}
	return min(max(value, prior/maxSpeedRatio), prior*maxSpeedRatio)
}

// milliseconds converts a duration to milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// duration converts milliseconds, rounded to nanoseconds.
func duration(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}

// step returns the duration of a decode step with the given number of running requests.
func (m EngineModel) step(running int) time.Duration {
	return m.Step + time.Duration(running)*m.StepPerRequest
}

// prefill returns the time to read the given number of prompt tokens.
func (m EngineModel) prefill(tokens int) time.Duration {
	return duration(float64(max(tokens, 0)) / m.PrefillTokensPerMs)
}

// prefillSlowdown returns the factor by which running requests lengthen prefill: each
// chunk is read in a step, which takes longer while other requests run.
func (m EngineModel) prefillSlowdown(running int) float64 {
	alone := m.Step + m.prefill(m.Chunk)
	return 1 + float64(m.step(running)-m.Step)/float64(max(alone, 1))
}

// streamTarget returns the number of generating streams that a replica should have at
// most: as many as double the duration of a decode step, and no more than maxStreamSlotShare
// of its slots. More are allowed but cost extra.
func (m EngineModel) streamTarget(slots int) float64 {
	streams := float64(m.Step) / float64(max(m.StepPerRequest, 1))
	if slots > 0 {
		streams = min(streams, maxStreamSlotShare*float64(slots))
	}
	return max(streams, 1)
}

// Speed holds a host's measurements of the engines of an upstream.
type Speed struct {
	Upstream       string
	Prompts, Steps Line
	Model          EngineModel // this host's current estimate from all measurements
}

// Speeds returns this host's measurements of the engines of each upstream.
func (f *Fleet) Speeds() []Speed {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Speed
	for name, p := range f.pools {
		if p.upstream.Engine != nil {
			out = append(out, Speed{Upstream: name, Prompts: p.speed.prompts.local, Steps: p.speed.steps.local, Model: p.speed.model})
		}
	}
	return out
}

// ApplySpeeds applies the measurements of another host.
func (f *Fleet) ApplySpeeds(host string, speeds []Speed, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, measured := range speeds {
		p, ok := f.pools[measured.Upstream]
		if ok && p.upstream.Engine != nil && measured.Prompts.valid() && measured.Steps.valid() {
			p.speed.applyPeer(host, measured.Prompts, measured.Steps, now)
		}
	}
}
