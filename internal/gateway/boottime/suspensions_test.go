package boottime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a suspension that is not detected, and against counting as a suspension the
// small difference that arises because the two clocks are not read at the same moment.
func TestSuspensionIsMeasuredFromClockOffset(t *testing.T) {
	s := NewDetector()
	assert.Zero(t, s.SinceLastCall())
	s.offset -= 3 * time.Second
	assert.InDelta(t, 3, s.SinceLastCall().Seconds(), 0.1)
	assert.Zero(t, s.SinceLastCall())
}

// Guards against a suspension that is taken to be before or after the moments that it separates.
func TestSuspensionsObserved(t *testing.T) {
	s := NewSuspensions()
	before := time.Now()
	s.Observe()
	s.detector.offset -= 3 * time.Second
	s.Observe()
	after := time.Now()
	now := after.Add(time.Second)
	assert.InDelta(t, (now.Sub(before) + 3*time.Second).Seconds(), s.Age(before, now).Seconds(), 0.1)
	assert.Equal(t, time.Second, s.Age(after, now))
}

// Guards against ages that change their meaning between hosts, of which one was suspended.
func TestAgesWithSuspensions(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	s := NewSuspensions()
	s.Add(at(10), 5*time.Second)
	s.Add(at(20), 7*time.Second)
	now := at(30)
	for _, c := range []struct{ at, age float64 }{{5, 37}, {10, 32}, {10.5, 26.5}, {15, 22}, {20, 17}, {20.5, 9.5}, {30, 0}} {
		age := s.Age(at(c.at), now)
		assert.Equal(t, time.Duration(c.age*float64(time.Second)), age, "at %v s", c.at)
		assert.Equal(t, now.Sub(at(c.at)), s.MonotonicAge(age, now), "at %v s", c.at)
	}
	assert.Equal(t, 12*time.Second, s.MonotonicAge(12*time.Second, now), "during the second suspension")
	assert.Equal(t, 18*time.Second, s.MonotonicAge(25*time.Second, now), "between them")
	assert.Equal(t, 2*time.Second, s.Age(at(5), at(7)), "before them")
}
