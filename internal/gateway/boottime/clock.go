package boottime

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock returns a clock whose Now goes on while the host is suspended, other than that of package time. Its times must
// only be compared with each other. Timers and tickers are those of package time.
func Clock() clockwork.Clock { return clock{clockwork.NewRealClock()} }

type clock struct{ clockwork.Clock }

// Now implements clockwork.Clock. It falls back to the clock of package time if that of the host cannot be read.
func (c clock) Now() time.Time {
	now, ok := Now()
	if !ok {
		return c.Clock.Now()
	}
	return time.Unix(0, int64(now))
}

// Wall tells the time of day by the clock that counts from the host's boot, so that later steps of the time of day do
// not matter.
type Wall struct{ bootMs int64 } // Unix milliseconds of the boot, as seen when the Wall was created

// NewWall returns a Wall that takes the time of day from now.
func NewWall() Wall {
	now, _ := Now() // 0 if it cannot be read, here and in UnixMilli
	return Wall{bootMs: time.Now().UnixMilli() - now.Milliseconds()}
}

// UnixMilli returns the time of day in Unix milliseconds.
func (w Wall) UnixMilli() int64 {
	now, ok := Now()
	if !ok {
		return time.Now().UnixMilli()
	}
	return w.bootMs + now.Milliseconds()
}
