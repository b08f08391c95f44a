package fleet

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/routing"
)

// simulateSpeed runs requests one at a time on engines of the actual speed and returns the
// fleet that measured them. distort alters the latency of request i.
func simulateSpeed(t *testing.T, actual EngineModel, requests int, distort func(i int, latency time.Duration) time.Duration) *Fleet {
	t.Helper()
	f := newFleet(8)
	f.SetUpstreams([]routing.Upstream{{Name: engines, Engine: &routing.Engine{Slots: 64, KVCacheTokens: 1 << 30, TokensPerEvent: 4}}})
	random := rand.New(rand.NewPCG(7, 7))
	now := start
	for i := range requests {
		tokens := 500 + random.IntN(20_000)
		q := longPromptRequest(uint64(i+1), tokens)
		q.Target, q.TimeLeft = time.Minute, time.Hour
		l := pick(t, f, q, now)
		latency := actual.First + actual.step(0) + actual.prefill(tokens)
		latency = distort(i, time.Duration((0.9+0.2*random.Float64())*float64(latency)))
		now = now.Add(latency)
		l.FirstByte(now)
		const events = 20
		streamTime := time.Duration(4*(events-1)) * actual.step(0)
		l.RecordStream(events, streamTime, now)
		now = now.Add(streamTime)
		l.End(Served, now)
		now = now.Add(time.Second)
	}
	return f
}

// undistorted leaves latencies unchanged.
func undistorted(_ int, latency time.Duration) time.Duration { return latency }

// Guards against decisions based on the configured speed where engines differ from it:
// some read prompts three times slower or five times faster, or have longer steps.
func TestSpeedIsLearned(t *testing.T) {
	for name, actual := range map[string]EngineModel{
		"fast prompts, slow steps": {PrefillTokensPerMs: 180, Step: 15 * time.Millisecond, First: 60 * time.Millisecond, Chunk: 2048},
		"slow prompts, fast steps": {PrefillTokensPerMs: 12, Step: 2 * time.Millisecond, First: 10 * time.Millisecond, Chunk: 2048},
		"long start":               {PrefillTokensPerMs: 62.4, Step: 6550 * time.Microsecond, First: 120 * time.Millisecond, Chunk: 4096},
	} {
		t.Run(name, func(t *testing.T) {
			f := simulateSpeed(t, actual, 300, undistorted)
			m := f.Speeds()[0].Model
			assert.InEpsilon(t, actual.PrefillTokensPerMs, m.PrefillTokensPerMs, 0.25)
			assert.InEpsilon(t, float64(actual.Step), float64(m.Step), 0.25)
			for _, tokens := range []int{1000, 9000, 20_000} {
				assert.InEpsilon(t, float64(actual.First+actual.prefill(tokens)), float64(m.First+m.prefill(tokens)), 0.25, tokens)
			}
		})
	}
}

// Guards against a faulty replica that distorts the estimate of the whole upstream.
func TestSpeedWithstandsOutliers(t *testing.T) {
	f := simulateSpeed(t, testModel, 300, func(i int, latency time.Duration) time.Duration {
		if i%10 == 0 {
			return 20 * latency
		}
		return latency
	})
	m := f.Speeds()[0].Model
	assert.InEpsilon(t, testModel.PrefillTokensPerMs, m.PrefillTokensPerMs, 0.3)
}

// Guards against implausible estimates, from the first request on.
func TestSpeedIsValidFromTheStart(t *testing.T) {
	f := newFleet(2)
	assert.Equal(t, testModel, f.Speeds()[0].Model)
	for i, latency := range []time.Duration{0, time.Nanosecond, time.Hour, 0} {
		l := pick(t, f, longPromptRequest(uint64(i+1), 3000*(i+1)), start)
		l.FirstByte(start.Add(latency))
		l.End(Served, start.Add(latency))
		m := f.Speeds()[0].Model
		assert.Greater(t, m.PrefillTokensPerMs, testModel.PrefillTokensPerMs/maxSpeedRatio/2)
		assert.Less(t, m.PrefillTokensPerMs, testModel.PrefillTokensPerMs*maxSpeedRatio*2)
		assert.GreaterOrEqual(t, m.First, time.Duration(0))
	}
}

// Guards against hosts that learn only from their own requests, and against a host that
// joins a running deployment and starts without the measurements of the others.
func TestSpeedIsLearnedAcrossHosts(t *testing.T) {
	actual := EngineModel{PrefillTokensPerMs: 62.4, Step: 6550 * time.Microsecond, First: 120 * time.Millisecond, Chunk: 4096}
	f := newFleet(2)
	for host := range 6 {
		speeds := simulateSpeed(t, actual, 6, undistorted).Speeds()
		require.Len(t, speeds, 1)
		f.ApplySpeeds(string(rune('a'+host)), speeds, start)
	}
	m := f.Speeds()[0].Model
	assert.InEpsilon(t, actual.PrefillTokensPerMs, m.PrefillTokensPerMs, 0.25)
	for _, tokens := range []int{1000, 9000, 20_000} {
		assert.InEpsilon(t, float64(actual.First+actual.prefill(tokens)), float64(m.First+m.prefill(tokens)), 0.25, tokens)
	}
	before := m
	f.ApplySpeeds("b", []Speed{{Upstream: engines, Prompts: Line{Weight: math.NaN()}}, {Upstream: "unknown"}}, start)
	f.ApplySpeeds("b", []Speed{{Upstream: engines, Prompts: Line{Weight: 1e30, X: 1e30, Y: 1e30, XX: 1e30, XY: 1e30}}}, start)
	assert.Equal(t, before, f.Speeds()[0].Model, "invalid sums are ignored")
}

// Guards against estimates that take minutes to converge: the first seconds after a
// restart of all hosts matter as much as any others.
func TestSpeedIsLearnedFromFewRequests(t *testing.T) {
	actual := EngineModel{PrefillTokensPerMs: 62.4, Step: 6550 * time.Microsecond, First: 120 * time.Millisecond, Chunk: 4096}
	m := simulateSpeed(t, actual, 20, undistorted).Speeds()[0].Model
	for _, tokens := range []int{1000, 9000, 20_000} {
		assert.InEpsilon(t, float64(actual.First+actual.prefill(tokens)), float64(m.First+m.prefill(tokens)), 0.25, tokens)
	}
}
