package retry

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against retries beyond the share, and against refusing them below it.
func TestShareOfTraffic(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := New(clock, 0.1)
	for range 200 {
		b.First()
	}
	for range 20 {
		_, ok := b.Allow()
		require.True(t, ok)
	}
	wait, ok := b.Allow()
	require.False(t, ok)
	require.Positive(t, wait)
	require.LessOrEqual(t, wait, Window)
	clock.Advance(wait)
	_, ok = b.Allow()
	require.True(t, ok, "the window has passed")
}

// Guards against a class without a budget retrying, and against one with little
// traffic never doing so.
func TestExtremes(t *testing.T) {
	clock := clockwork.NewFakeClock()
	_, ok := New(clock, 0).Allow()
	require.False(t, ok)
	quiet := New(clock, 0.1)
	for range minRetries {
		_, ok = quiet.Allow()
		require.True(t, ok)
	}
	_, ok = quiet.Allow()
	require.False(t, ok)
	clock.Advance(time.Hour)
	_, ok = quiet.Allow()
	require.True(t, ok)
}

// Guards against the window's sums drifting from the events in it.
func TestSlidingWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := clockwork.NewFakeClock()
		share := rapid.Float64Range(0.01, 1).Draw(rt, "share")
		b := New(clock, share)
		type event struct {
			slice int64
			retry bool
		}
		var events []event
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
			now := sliceOf(clock.Now())
			firsts, retries := 0, 0
			for _, e := range events {
				switch {
				case e.slice <= now-slices:
				case e.retry:
					retries++
				default:
					firsts++
				}
			}
			if rapid.Bool().Draw(rt, "first") {
				b.First()
				events = append(events, event{slice: now})
				continue
			}
			_, ok := b.Allow()
			require.Equal(rt, retries < max(int(share*float64(firsts)), minRetries), ok)
			if ok {
				events = append(events, event{slice: now, retry: true})
			}
		}
	})
}
