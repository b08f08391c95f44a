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

// play lets engines of a true speed serve requests and returns the fleet that measured them.
func play(t *testing.T, truth EngineModel, requests int, disturb func(i int, took time.Duration) time.Duration) *Fleet {
	t.Helper()
	f := newFleet(8)
	f.SetUpstreams([]routing.Upstream{{Name: engines, Engine: &routing.Engine{Slots: 64, KVCacheTokens: 1 << 30, TokensPerEvent: 4}}})
	random := rand.New(rand.NewPCG(7, 7))
	now := start
	for i := range requests {
		tokens := 500 + random.IntN(20_000)
		q := document(uint64(i+1), tokens)
		q.Target, q.Left = time.Minute, time.Hour
		l := pick(t, f, q, now)
		took := truth.First + truth.step(0) + truth.prefill(tokens)
		took = disturb(i, time.Duration((0.9+0.2*random.Float64())*float64(took)))
		now = now.Add(took)
		l.FirstByte(now)
		const events = 20
		streamed := time.Duration(4*(events-1)) * truth.step(0)
		l.Generated(events, streamed, now)
		now = now.Add(streamed)
		l.End(Served, now)
		now = now.Add(time.Second)
	}
	return f
}

func undisturbed(_ int, took time.Duration) time.Duration { return took }

// Guards against decisions by the figures of one deployment's engines: others read
// prompts three times slower or five times faster, and take longer for a step.
func TestSpeedIsLearned(t *testing.T) {
	for name, truth := range map[string]EngineModel{
		"fast prompts, slow steps": {PrefillTokensPerMs: 180, Step: 15 * time.Millisecond, First: 60 * time.Millisecond, Chunk: 2048},
		"slow prompts, fast steps": {PrefillTokensPerMs: 12, Step: 2 * time.Millisecond, First: 10 * time.Millisecond, Chunk: 2048},
		"long start":               {PrefillTokensPerMs: 62.4, Step: 6550 * time.Microsecond, First: 120 * time.Millisecond, Chunk: 4096},
	} {
		t.Run(name, func(t *testing.T) {
			f := play(t, truth, 300, undisturbed)
			m := f.Speeds()[0].Model
			assert.InEpsilon(t, truth.PrefillTokensPerMs, m.PrefillTokensPerMs, 0.25)
			assert.InEpsilon(t, float64(truth.Step), float64(m.Step), 0.25)
			for _, tokens := range []int{1000, 9000, 20_000} {
				assert.InEpsilon(t, float64(truth.First+truth.prefill(tokens)), float64(m.First+m.prefill(tokens)), 0.25, tokens)
			}
		})
	}
}

// Guards against a replica in trouble that moves the figures of the whole upstream.
func TestSpeedWithstandsOutliers(t *testing.T) {
	f := play(t, sheet, 300, func(i int, took time.Duration) time.Duration {
		if i%10 == 0 {
			return 20 * took
		}
		return took
	})
	m := f.Speeds()[0].Model
	assert.InEpsilon(t, sheet.PrefillTokensPerMs, m.PrefillTokensPerMs, 0.3)
}

// Guards against figures that are no speed at all, from the first request on.
func TestSpeedIsSoundFromTheStart(t *testing.T) {
	f := newFleet(2)
	assert.Equal(t, sheet, f.Speeds()[0].Model)
	for i, took := range []time.Duration{0, time.Nanosecond, time.Hour, 0} {
		l := pick(t, f, document(uint64(i+1), 3000*(i+1)), start)
		l.FirstByte(start.Add(took))
		l.End(Served, start.Add(took))
		m := f.Speeds()[0].Model
		assert.Greater(t, m.PrefillTokensPerMs, sheet.PrefillTokensPerMs/speedBound/2)
		assert.Less(t, m.PrefillTokensPerMs, sheet.PrefillTokensPerMs*speedBound*2)
		assert.GreaterOrEqual(t, m.First, time.Duration(0))
	}
}

// Guards against hosts that each learn alone, and against a host that starts in a running
// deployment and knows nothing of the engines.
func TestSpeedIsLearnedTogether(t *testing.T) {
	truth := EngineModel{PrefillTokensPerMs: 62.4, Step: 6550 * time.Microsecond, First: 120 * time.Millisecond, Chunk: 4096}
	f := newFleet(2)
	for host := range 6 {
		told := play(t, truth, 6, undisturbed).Speeds()
		require.Len(t, told, 1)
		f.ApplySpeeds(string(rune('a'+host)), told, start)
	}
	m := f.Speeds()[0].Model
	assert.InEpsilon(t, truth.PrefillTokensPerMs, m.PrefillTokensPerMs, 0.25)
	for _, tokens := range []int{1000, 9000, 20_000} {
		assert.InEpsilon(t, float64(truth.First+truth.prefill(tokens)), float64(m.First+m.prefill(tokens)), 0.25, tokens)
	}
	before := m
	f.ApplySpeeds("b", []Speed{{Upstream: engines, Prompts: Line{Weight: math.NaN()}}, {Upstream: "unknown"}}, start)
	f.ApplySpeeds("b", []Speed{{Upstream: engines, Prompts: Line{Weight: 1e30, X: 1e30, Y: 1e30, XX: 1e30, XY: 1e30}}}, start)
	assert.Equal(t, before, f.Speeds()[0].Model, "sums that are no line change nothing")
}

// Guards against figures that take minutes to learn: after a restart of all hosts the first
// seconds count as much as any other.
func TestSpeedIsLearnedFromFewRequests(t *testing.T) {
	truth := EngineModel{PrefillTokensPerMs: 62.4, Step: 6550 * time.Microsecond, First: 120 * time.Millisecond, Chunk: 4096}
	m := play(t, truth, 20, undisturbed).Speeds()[0].Model
	for _, tokens := range []int{1000, 9000, 20_000} {
		assert.InEpsilon(t, float64(truth.First+truth.prefill(tokens)), float64(m.First+m.prefill(tokens)), 0.25, tokens)
	}
}
