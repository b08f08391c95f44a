package estimator

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/settings"
)

var draft = bundle.Class{
	Name: "draft", Tier: 4, ExpectedTokens: 60,
	FirstTokenTarget: settings.Duration(time.Second), InterTokenTarget: settings.Duration(50 * time.Millisecond),
}

// Guards against zero estimates before the first answers.
func TestDefaultsComeFromClass(t *testing.T) {
	e := New(clockwork.NewFakeClock())
	got := e.Series(&draft, "m").Estimate()
	require.Equal(t, 60, got.TokensP50)
	require.Equal(t, 3*time.Second, got.ServiceP50)
	lookup := bundle.Class{Name: "lookup", AnswerTarget: settings.Duration(300 * time.Millisecond)}
	require.Equal(t, 150*time.Millisecond, e.Series(&lookup, "").Estimate().ServiceP50)
}

// Guards against quantiles that differ from those of the measured answers.
func TestLearnsQuantiles(t *testing.T) {
	s := New(clockwork.NewFakeClock()).Series(&draft, "m")
	random := rand.New(rand.NewPCG(1, 2))
	for range 4000 {
		n := 1 + random.IntN(1000)
		s.Observe(n, time.Duration(n)*10*time.Millisecond)
	}
	got := s.Estimate()
	require.InEpsilon(t, 500, got.TokensMean, 0.1)
	require.InEpsilon(t, 500, got.TokensP50, 0.1)
	require.InEpsilon(t, 900, got.TokensP90, 0.1)
	require.InEpsilon(t, 1, got.ServiceP10.Seconds(), 0.15)
	require.InEpsilon(t, 5, got.ServiceP50.Seconds(), 0.1)
	require.InEpsilon(t, 9, got.ServiceP90.Seconds(), 0.1)
}

// Guards against estimates that old answers dominate forever, and against mixing the
// answers of different models.
func TestOldAnswersExpireAndModelsAreSeparate(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := New(clock)
	series := e.Series(&draft, "m")
	for range 1000 {
		series.Observe(1000, 10*time.Second)
	}
	for range 3 {
		clock.Advance(windowDuration)
		for range refreshSamples {
			series.Observe(10, time.Second)
		}
	}
	require.InDelta(t, 10, series.Estimate().TokensP90, 1)
	require.Equal(t, 60, e.Series(&draft, "other").Estimate().TokensP50)
	require.Same(t, series, e.Series(&draft, "m"))
}
