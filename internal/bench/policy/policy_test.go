package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/bundle"
)

func play(p policy, priorities bool) *summary {
	s := poison()
	s.duration = 13 * time.Second
	s.poison = s.poison[:2]
	snapshot := bundle.Compile(s.bundle, 1, "test")
	return summarize(s, snapshot, newWorld(s, snapshot, p, priorities).run(generate(s, snapshot)))
}

// Guards against figures that change from run to run, which would make the
// comparison of two commits meaningless.
func TestSameSeedSameFigures(t *testing.T) {
	require.Equal(t, play(baseline{}, false), play(baseline{}, false))
	require.Equal(t, play(heatherbarrow{}, true), play(heatherbarrow{}, true))
}

// Guards against an engine that loses or repeats requests, computes more than
// it was asked for, or takes no longer under load.
func TestEngineCompletesAndSlowsUnderLoad(t *testing.T) {
	alone := completeAll(t, 1)
	loaded := completeAll(t, 16)
	require.Greater(t, loaded, alone)
	require.Greater(t, completeAll(t, 32), loaded)
}

// completeAll runs n equal requests on one engine and returns when the last ended.
func completeAll(t *testing.T, n int) time.Duration {
	t.Helper()
	l := newLoop()
	e := &engine{loop: l, slots: 16, slowdown: 1, cache: make(map[uint64]cacheEntry)}
	ended := 0
	for range n {
		s := &sequence{prefill: 100, decode: 20}
		tokens := 0
		s.token = func() { tokens++ }
		s.ended = func(how ending) {
			ended++
			require.Equal(t, endComplete, how)
			require.Equal(t, 20, tokens)
			require.Equal(t, 120, s.computed)
		}
		e.submit(s)
	}
	l.run(epoch.Add(time.Hour))
	require.Equal(t, n, ended)
	return l.now().Sub(epoch)
}
