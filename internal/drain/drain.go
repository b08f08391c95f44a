// Package drain lets a process that stops answer each request before it ends.
package drain

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// ErrHostStops is the cause for which the context of a request ends when its process does.
var ErrHostStops = errors.New("host stops")

const (
	// maxAnswerMargin bounds AnswerMargin.
	maxAnswerMargin     = 200 * time.Millisecond
	answerMarginDivisor = 20
)

// AnswerMargin returns the time between the end of the requests in progress and that of their connections, in which
// they are answered, for a process that stops within the given time; a stop of 0 has no bound.
func AnswerMargin(stop time.Duration) time.Duration {
	if stop == 0 {
		return maxAnswerMargin
	}
	return min(maxAnswerMargin, stop/answerMarginDivisor)
}

// Drain is the stop of a process. It is safe for concurrent use.
type Drain struct {
	times atomic.Pointer[times]
	begun context.Context
	begin context.CancelFunc
	over  context.Context
	end   context.CancelFunc
}

// times are the times of a stop that has begun.
type times struct {
	lastCall time.Time
	end      time.Time // zero if the process waits for its requests without bound
}

// New returns a drain that has not begun.
func New() *Drain {
	begun, begin := context.WithCancel(context.Background())
	over, end := context.WithCancel(context.Background())
	return &Drain{begun: begun, begin: begin, over: over, end: end}
}

// Begin begins the stop. The balancer sends no new connections after lastCall. At end, the requests in progress are
// ended, so that they can be answered before the process ends; a zero end sets no bound. Begin may be called again,
// which sets the end if none was set.
func (d *Drain) Begin(lastCall, end time.Time) {
	if t := (&times{lastCall: lastCall, end: end}); !d.times.CompareAndSwap(nil, t) {
		begun := d.times.Load()
		t.lastCall = begun.lastCall
		if !begun.end.IsZero() || !d.times.CompareAndSwap(begun, t) {
			return
		}
	}
	d.begin()
	if !end.IsZero() {
		time.AfterFunc(time.Until(end), d.End)
	}
}

// AfterBegin calls f in its own goroutine when the process stops, or now if it does. The returned function prevents a
// call that has not begun.
func (d *Drain) AfterBegin(f func()) (stop func() bool) { return context.AfterFunc(d.begun, f) }

// Begun reports whether the process stops.
func (d *Drain) Begun() bool { return d.times.Load() != nil }

// End ends the requests in progress now.
func (d *Drain) End() { d.end() }

// Over reports whether the requests in progress have been ended.
func (d *Drain) Over() bool { return d.over.Err() != nil }

// Left returns the time until the requests in progress are ended.
func (d *Drain) Left(now time.Time) time.Duration {
	t := d.times.Load()
	if t == nil || t.end.IsZero() {
		return math.MaxInt64
	}
	return t.end.Sub(now)
}

// TooLate reports whether a request that has been read completely at now must be refused. After the last call, only
// requests whose own deadline is before the end are taken: any other could be broken off although its caller would
// still wait, and other hosts take it.
func (d *Drain) TooLate(now, deadline time.Time) bool {
	if d.Over() {
		return true
	}
	t := d.times.Load()
	return t != nil && !t.end.IsZero() && now.After(t.lastCall) && deadline.After(t.end)
}

// Bound returns a context that ends with ctx, or with the cause ErrHostStops when the requests in progress are ended.
func (d *Drain) Bound(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(d.over, func() { cancel(ErrHostStops) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// BoundRead sets the read deadline of a connection, and lets its reads fail when the requests in progress are ended.
// The returned function must be called when the read has ended. It removes the deadline if the connection is read
// again.
func (d *Drain) BoundRead(setDeadline func(time.Time) error, deadline time.Time) (unbound func(readAgain bool)) {
	if setDeadline(deadline) != nil {
		return func(bool) {} // the connection has no deadlines, as in a test
	}
	var mu sync.Mutex
	reading := true
	stop := context.AfterFunc(d.over, func() {
		mu.Lock()
		defer mu.Unlock()
		if reading {
			_ = setDeadline(time.Now()) // setting a deadline succeeded above
		}
	})
	return func(readAgain bool) {
		stop()
		mu.Lock()
		defer mu.Unlock()
		reading = false
		if readAgain {
			_ = setDeadline(time.Time{})
		}
	}
}
