package boottime

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minSuspension is the shortest time that counts as a suspension. Shorter differences arise because the two clocks
	// are not read at the same moment.
	minSuspension = 200 * time.Millisecond
	// maxReadTime bounds the time in which both clocks are read, so that a pause between them is no suspension.
	maxReadTime = minSuspension / 4
	// maxSuspensions bounds the suspensions that are remembered.
	maxSuspensions = 64
)

// Detector detects that the host was suspended. CLOCK_MONOTONIC stops during a suspension and CLOCK_BOOTTIME does not,
// so that the offset between them grows.
type Detector struct {
	offset time.Duration
	known  bool // the offset has been measured
}

// NewDetector returns a Detector of suspensions from now on.
func NewDetector() *Detector {
	offset, ok := clockOffset()
	return &Detector{offset: offset, known: ok}
}

// SinceLastCall returns how long the host was suspended since the previous call.
func (d *Detector) SinceLastCall() time.Duration {
	offset, ok := clockOffset()
	if !ok {
		return 0
	}
	suspended, known := offset-d.offset, d.known
	d.offset, d.known = offset, true
	if !known || suspended < minSuspension {
		return 0
	}
	return suspended
}

// clockOffset returns how far CLOCK_BOOTTIME is ahead of CLOCK_MONOTONIC. ok is false if they could not be read at
// about the same moment.
func clockOffset() (offset time.Duration, ok bool) {
	var before, after unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) != nil {
		return 0, false
	}
	boot, ok := Now()
	if !ok || unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) != nil || after.Nano()-before.Nano() > int64(maxReadTime) {
		return 0, false
	}
	return boot - time.Duration(before.Nano()), true
}

// Suspensions converts between times of the monotonic clock of package time and ages that include suspensions. It may
// be used by several goroutines.
type Suspensions struct {
	mu       sync.Mutex
	detector *Detector
	observed time.Time
	known    []suspension // in order of time
}

// suspension is one of the host. Moments up to after were before it; for later ones that is not known.
type suspension struct {
	after  time.Time
	length time.Duration
}

// NewSuspensions returns Suspensions that know of those from now on.
func NewSuspensions() *Suspensions {
	return &Suspensions{detector: NewDetector(), observed: time.Now()}
}

// Observe detects a suspension since the previous call.
func (s *Suspensions) Observe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if length := s.detector.SinceLastCall(); length > 0 {
		s.add(s.observed, length)
	}
	s.observed = time.Now()
}

// Add adds a suspension that began after the given time.
func (s *Suspensions) Add(after time.Time, length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(after, length)
}

func (s *Suspensions) add(after time.Time, length time.Duration) {
	s.known = append(s.known, suspension{after, length})
	if len(s.known) > maxSuspensions {
		s.known = s.known[1:]
	}
}

// Age returns the time from at to now, suspensions included.
func (s *Suspensions) Age(at, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := now.Sub(at)
	for _, k := range s.known {
		if !at.After(k.after) && k.after.Before(now) {
			age += k.length
		}
	}
	return age
}

// MonotonicAge returns how long ago, by the monotonic clock, something was that has an age with suspensions included.
// What was during a suspension keeps its age: it is not known to be from before the suspension.
func (s *Suspensions) MonotonicAge(age time.Duration, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.known) - 1; i >= 0; i-- {
		k := s.known[i]
		if age < now.Sub(k.after)+k.length {
			break
		}
		if k.after.Before(now) {
			age -= k.length
		}
	}
	return age
}
