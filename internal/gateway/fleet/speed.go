package fleet

import (
	"math"
	"time"
)

const (
	// speedMemory is the number of samples after which an older one counts for little.
	speedSampleWindow = 200
	// priorSamples is the weight of the figures from settings, in samples: a few requests
	// outweigh them.
	priorSamples = 1
	// sampleDelayed is the weight of a sample above the line. Such latencies mostly hold
	// waits that this host cannot see; those below cannot be too short.
	aboveLineWeight = 0.25
	// learnedSamples is the number of samples from which they are told apart in this way.
	// Before, the line is that of the settings, and may be far below all samples.
	minLearnedSamples = 24
	// sampleBound bounds a sample as a multiple of its prediction, so that a replica in
	// trouble moves the line little.
	maxSampleRatio = 3.0
	// leastStreamEvents is the number of events from which a stream's pace is a sample.
	minStreamEvents = 4
	// speedBound bounds the ratio of learned figures to those of the settings.
	maxSpeedRatio = 16.0
	// toldSpeedLife is how long what another host measured counts without news of it.
	peerSpeedLifetime = time.Minute
)

// Line holds the weighted sums from which y = intercept + slope*x is fitted by least
// squares. Sums of several hosts add up.
type Line struct {
	Weight, X, Y, XX, XY float64
}

// sample counts a sample; older ones count less.
func (l *Line) addSample(x, y, weight float64) {
	decay := 1 - weight/speedSampleWindow
	*l = Line{Weight: l.Weight * decay, X: l.X * decay, Y: l.Y * decay, XX: l.XX * decay, XY: l.XY * decay}
	l.add(Line{Weight: weight, X: weight * x, Y: weight * y, XX: weight * x * x, XY: weight * x * y})
}

func (l *Line) add(other Line) {
	l.Weight += other.Weight
	l.X += other.X
	l.Y += other.Y
	l.XX += other.XX
	l.XY += other.XY
}

// fit returns the line; both figures are at least 0.
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

// sound tells whether sums of another host can be those of a line.
func (l *Line) valid() bool {
	for _, v := range []float64{l.Weight, l.X, l.Y, l.XX, l.XY} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return false
		}
	}
	return l.Weight <= speedSampleWindow
}

// measure is a line that this host, others and the settings contribute to.
type lineEstimate struct {
	prior, local Line
	peers        map[string]peerLine // by host
}

type peerLine struct {
	line Line
	at   time.Time
}

// all returns the sums of all.
func (m *lineEstimate) total(now time.Time) Line {
	sum := m.prior
	sum.add(m.local)
	for host, t := range m.peers {
		if now.Sub(t.at) > peerSpeedLifetime {
			delete(m.peers, host)
			continue
		}
		sum.add(t.line)
	}
	return sum
}

// sample counts a sample of this host and returns the line.
func (m *lineEstimate) addSample(x float64, latency time.Duration, now time.Time) (intercept, slope float64) {
	line := m.total(now)
	intercept, slope = line.fit()
	y, weight := max(milliseconds(latency), 0), 1.0
	if predicted := intercept + slope*x; y > predicted {
		mean := line.Y / max(line.Weight, 1)
		y = min(y, maxSampleRatio*max(predicted, mean))
		if line.Weight >= minLearnedSamples {
			weight = aboveLineWeight
		}
	}
	m.local.addSample(x, y, weight)
	line = m.total(now)
	return line.fit()
}

// engineSpeed learns how fast the engines of an upstream are, from the first tokens of
// requests that found no prompts ahead of them, and from the pace of streams.
type engineSpeed struct {
	prior   EngineModel
	model   EngineModel  // in force
	prompts lineEstimate // ms to the first token, by prompt tokens
	steps   lineEstimate // ms for a token of each stream, by requests in progress
}

// newEngineSpeed begins with the figures of a model, as if they had been measured a few
// times.
func newEngineSpeed(prior EngineModel) *engineSpeed {
	const shortPrompt, longPrompt, fewRequests, manyRequests = 0, 8000, 0, 32
	s := &engineSpeed{prior: prior, model: prior}
	for _, tokens := range []int{shortPrompt, longPrompt} {
		s.prompts.prior.addSample(float64(tokens), milliseconds(prior.First+prior.prefill(tokens)), priorSamples/2.0)
	}
	for _, load := range []int{fewRequests, manyRequests} {
		s.steps.prior.addSample(float64(load), milliseconds(prior.step(load)), priorSamples/2.0)
	}
	s.prompts.peers, s.steps.peers = make(map[string]peerLine), make(map[string]peerLine)
	return s
}

// firstToken takes the time to a first token, without that of a step and of copies. tokens
// are the prompt's, stretched by the steps of other requests between its chunks.
func (s *engineSpeed) recordFirstToken(tokens float64, latency time.Duration, now time.Time) {
	s.setPrefill(s.prompts.addSample(tokens, latency, now))
}

func (s *engineSpeed) setPrefill(firstTokenMs, msPerToken float64) {
	s.model.First = duration(firstTokenMs)
	if msPerToken > 0 {
		s.model.PrefillTokensPerMs = clampToPrior(1/msPerToken, s.prior.PrefillTokensPerMs)
	}
}

// pace takes the mean time that a token of a stream took beside other requests.
func (s *engineSpeed) recordPace(load float64, perToken time.Duration, now time.Time) {
	s.setStep(s.steps.addSample(load, perToken, now))
}

func (s *engineSpeed) setStep(stepMs, msPerRequest float64) {
	s.model.Step = duration(clampToPrior(stepMs, milliseconds(s.prior.Step)))
	s.model.StepPerRequest = duration(msPerRequest)
}

// apply takes what another host measured.
func (s *engineSpeed) applyPeer(host string, prompts, steps Line, now time.Time) {
	s.prompts.peers[host] = peerLine{line: prompts, at: now}
	s.steps.peers[host] = peerLine{line: steps, at: now}
	sum := s.prompts.total(now)
	s.setPrefill(sum.fit())
	sum = s.steps.total(now)
	s.setStep(sum.fit())
}

func clampToPrior(value, prior float64) float64 {
	if prior <= 0 {
		return value
	}
	return min(max(value, prior/maxSpeedRatio), prior*maxSpeedRatio)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}

// step returns the time of a token of each of a number of running requests.
func (m EngineModel) step(running int) time.Duration {
	return m.Step + time.Duration(running)*m.StepPerRequest
}

// prefill returns the time to read prompt tokens.
func (m EngineModel) prefill(tokens int) time.Duration {
	return duration(float64(max(tokens, 0)) / m.PrefillTokensPerMs)
}

// stretch returns by how much running requests lengthen the reading of a prompt: each
// chunk is read in a step, which takes longer beside them than alone.
func (m EngineModel) prefillSlowdown(running int) float64 {
	alone := m.Step + m.prefill(m.Chunk)
	return 1 + float64(m.step(running)-m.Step)/float64(max(alone, 1))
}

// packed returns how many generating streams share a replica: those with which a step
// takes twice as long as alone, and no more than most of its places.
func (m EngineModel) streamsPerReplica(slots int) float64 {
	streams := float64(m.Step) / float64(max(m.StepPerRequest, 1))
	if slots > 0 {
		streams = min(streams, maxStreamSlotShare*float64(slots))
	}
	return max(streams, 1)
}

// Speed is what a host measured of the engines of an upstream.
type Speed struct {
	Upstream       string
	Prompts, Steps Line
	Model          EngineModel // what this host believes by all measurements
}

// Speeds returns what this host has measured of the engines of each upstream.
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

// ApplySpeeds takes what another host has measured.
func (f *Fleet) ApplySpeeds(host string, speeds []Speed, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, speed := range speeds {
		p, ok := f.pools[speed.Upstream]
		if ok && p.upstream.Engine != nil && speed.Prompts.valid() && speed.Steps.valid() {
			p.speed.applyPeer(host, speed.Prompts, speed.Steps, now)
		}
	}
}
