package statement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1e9, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against values that cannot be read and have an effect, and against rests without a bound.
func TestParse(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": 0, "0": 0, "1": time.Second, "2.5": 2500 * time.Millisecond, "1e300": MaxRest, "3600": MaxRest, "Inf": MaxRest,
	} {
		rest, ok := ParseRest(text)
		require.True(t, ok, text)
		require.Equal(t, want, rest, text)
	}
	for _, text := range []string{"-1", "NaN", "soon", "1s", "Wed, 21 Oct 2015 07:28:00 GMT", " 1"} {
		rest, ok := ParseRest(text)
		require.False(t, ok, text)
		require.Zero(t, rest, text)
	}
	for text, want := range map[string][2]bool{"": {false, true}, "0": {false, true}, "1": {true, true}, "true": {}, "2": {}} {
		leaving, ok := ParseLeaving(text)
		require.Equal(t, want, [2]bool{leaving, ok}, text)
	}
}

// Guards against a process without an identifier that is held back for ever, and against a named one that returns.
func TestUnnamedProcessLeavesForATime(t *testing.T) {
	var s State
	change := s.Observe(Statement{Leaving: true}, start, at(time.Second))
	require.Equal(t, Change{Leaving: true, Until: at(time.Second + UnnamedLeaving)}, change)
	require.True(t, s.Held(at(UnnamedLeaving)))
	require.False(t, s.Held(at(time.Second+UnnamedLeaving)))
	require.True(t, s.Observe(Statement{Leaving: true}, at(time.Hour), at(time.Hour)).Leaving)
	require.Equal(t, Change{Replaced: true, Leaving: true}, s.Observe(Statement{Process: "p", Leaving: true}, at(time.Hour), at(time.Hour)))
	require.Zero(t, s.Observe(Statement{Leaving: true}, at(2*time.Hour), at(2*time.Hour)))
	require.Zero(t, s.Observe(Statement{Process: "p"}, at(3*time.Hour), at(3*time.Hour)))
	require.True(t, s.Held(at(1000*time.Hour)))
}

// Guards against a rest that a shorter one ends, and against a log line for each of many answers that state the same one.
func TestLongestRestHolds(t *testing.T) {
	var s State
	require.Equal(t, Change{Resting: true, Until: at(3 * time.Second)}, s.Observe(Statement{Rest: 3 * time.Second}, start, start))
	require.Zero(t, s.Observe(Statement{Rest: time.Second}, start, at(time.Millisecond)))
	require.Zero(t, s.Observe(Statement{Rest: 3 * time.Second}, start, at(time.Millisecond)))
	require.True(t, s.Held(at(3*time.Second)))
	require.False(t, s.Held(at(3*time.Second+time.Millisecond)))
	require.True(t, s.Observe(Statement{Rest: 2 * MaxRest}, start, start).Resting)
	require.False(t, s.Held(at(MaxRest)))
}

// Guards against an answer of an earlier process, read late, that takes the place of its successor.
func TestLateAnswerOfEarlierProcessIsPassedOver(t *testing.T) {
	var s State
	s.Observe(Statement{Process: "first", Rest: time.Minute}, at(0), at(1))
	require.Equal(t, Change{Replaced: true}, s.Observe(Statement{Process: "second"}, at(2), at(10)))
	for _, said := range []Statement{{Process: "first", Leaving: true}, {Process: "first", Rest: time.Second}, {Leaving: true}, {Rest: time.Second}} {
		require.Zero(t, s.Observe(said, at(9), at(20)))
		require.False(t, s.Held(at(20)))
	}
	require.True(t, s.Observe(Statement{Process: "second", Leaving: true}, at(0), at(30)).Leaving)
	require.Equal(t, "second", s.Process())
}
