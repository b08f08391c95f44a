// Package boottime measures ages that include the time in which the host was suspended, unlike the monotonic
// clock of package time.
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host's boot, suspensions included. ok is false if the clock cannot be read.
func Now() (now time.Duration, ok bool) {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}

// Stamp is a moment that is recorded and read by several goroutines. The zero Stamp is none.
type Stamp struct{ at atomic.Int64 }

// Set records the current moment.
func (s *Stamp) Set() {
	now, ok := Now()
	if !ok {
		now = 0
	}
	s.at.Store(int64(now))
}

// Within reports whether the recorded moment is at most d ago.
func (s *Stamp) Within(d time.Duration) bool {
	now, ok := Now()
	at := time.Duration(s.at.Load())
	return ok && at > 0 && now-at <= d
}

// Age returns how long ago the recorded moment was, or a negative time if none is recorded.
func (s *Stamp) Age() time.Duration {
	now, ok := Now()
	at := time.Duration(s.at.Load())
	if !ok || at <= 0 {
		return -1
	}
	return now - at
}
