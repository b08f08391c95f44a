package gateway

import (
	"time"

	"golang.org/x/sys/unix"

	"heatherbarrow/internal/gateway/boottime"
)

// minSuspension is the shortest time that counts as a suspension. Shorter differences
// arise because the two clocks are not read at the same moment.
const minSuspension = 200 * time.Millisecond

// suspensionDetector detects that the host was suspended. CLOCK_MONOTONIC stops during a
// suspension and CLOCK_BOOTTIME does not, so the offset between them grows.
type suspensionDetector struct{ offset time.Duration }

func newSuspensionDetector() *suspensionDetector { return &suspensionDetector{offset: clockOffset()} }

// sinceLastCall returns how long the host was suspended since the previous call.
func (s *suspensionDetector) sinceLastCall() time.Duration {
	offset := clockOffset()
	suspended := offset - s.offset
	s.offset = offset
	if suspended < minSuspension {
		return 0
	}
	return suspended
}

// clockOffset returns how far CLOCK_BOOTTIME is ahead of CLOCK_MONOTONIC.
func clockOffset() time.Duration {
	var monotonic unix.Timespec
	boot, ok := boottime.Now()
	if !ok || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0 // without both clocks no suspension can be detected
	}
	return boot - time.Duration(monotonic.Nano())
}
