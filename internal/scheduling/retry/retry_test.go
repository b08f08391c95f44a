package retry

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against allowing retries beyond the share, and against refusing retries
// below it.
func TestRetriesAreBoundedByShareOfFirstAttempts(t *testing.T) {
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
	require.True(t, ok, "the oldest retry has left the window")
}

// Guards against allowing retries when the share is zero, and against never allowing
// one when there is little traffic.
func TestZeroShareAndLowTraffic(t *testing.T) {
	clock := clockwork.NewFakeClock()
	_, ok := New(clock, 0).Allow()
	require.False(t, ok)
	lowTraffic := New(clock, 0.1)
	for range minRetriesPerWindow {
		_, ok = lowTraffic.Allow()
		require.True(t, ok)
	}
	_, ok = lowTraffic.Allow()
	require.False(t, ok)
	clock.Advance(time.Hour)
	_, ok = lowTraffic.Allow()
	require.True(t, ok)
}

// Guards against totals that differ from the events in the window, and against retries that are forgotten while
// they are less than Window old: the oldest second was dropped as a whole.
func TestSlidingWindowMatchesEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := clockwork.NewFakeClock()
		start := clock.Now()
		share := rapid.Float64Range(0.01, 1).Draw(rt, "share")
		longestPause := rapid.IntRange(1, 1500).Draw(rt, "longest pause")
		b := New(clock, share)
		type event struct {
			at    time.Time
			slice time.Duration
			retry bool
		}
		var events []event
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, longestPause).Draw(rt, "ms")) * time.Millisecond)
			now := event{at: clock.Now(), slice: clock.Since(start) / sliceDuration}
			firstAttempts, retries, trueFirstAttempts := 0, 0, 0
			for _, e := range events {
				inWindow := now.at.Sub(e.at) < Window
				if e.retry {
					retries += count(inWindow)
					continue
				}
				firstAttempts += count(e.slice > now.slice-sliceCount)
				trueFirstAttempts += count(inWindow)
			}
			if rapid.Bool().Draw(rt, "first") {
				b.First()
				events = append(events, now)
				continue
			}
			wait, ok := b.Allow()
			require.Equal(rt, retries < max(int(share*float64(firstAttempts)), minRetriesPerWindow), ok)
			if ok {
				require.Less(rt, retries, max(int(share*float64(trueFirstAttempts)), minRetriesPerWindow))
				now.retry = true
				events = append(events, now)
			} else {
				require.Positive(rt, wait)
				require.LessOrEqual(rt, wait, Window)
			}
		}
	})
}

func count(in bool) int {
	if in {
		return 1
	}
	return 0
}
