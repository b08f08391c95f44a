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
	for range defaultMinRetriesPerWindow {
		_, ok = lowTraffic.Allow()
		require.True(t, ok)
	}
	_, ok = lowTraffic.Allow()
	require.False(t, ok)
	clock.Advance(time.Hour)
	_, ok = lowTraffic.Allow()
	require.True(t, ok)
}

// Guards against totals that differ from the events in the window.
func TestSlidingWindowMatchesEvents(t *testing.T) {
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
			now := sliceNumber(clock.Now())
			firstAttempts, retries := 0, 0
			for _, e := range events {
				switch {
				case e.slice <= now-sliceCount:
				case e.retry:
					retries++
				default:
					firstAttempts++
				}
			}
			if rapid.Bool().Draw(rt, "first") {
				b.First()
				events = append(events, event{slice: now})
				continue
			}
			_, ok := b.Allow()
			require.Equal(rt, retries < max(int(share*float64(firstAttempts)), defaultMinRetriesPerWindow), ok)
			if ok {
				events = append(events, event{slice: now, retry: true})
			}
		}
	})
}
