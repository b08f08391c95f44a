package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// frameTimer cancels an attempt when the replica is silent for too long. It runs
// only while a frame is awaited, so that a slow caller is not taken for a slow
// replica. Since this is done for every token, a wait only stores its time; the
// timer fires at least once in each limit and looks at it.
type frameTimer struct {
	base     time.Time
	waiting  atomic.Int64 // when the wait began, in nanoseconds since base; 0 for no wait
	limit    atomic.Int64 // greatest wait in nanoseconds
	timedOut atomic.Bool
	cancel   context.CancelFunc

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (t *frameTimer) start(limit time.Duration, cancel context.CancelFunc) {
	t.base = time.Now()
	t.cancel = cancel
	t.waiting.Store(1)
	t.limit.Store(int64(limit))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(limit, t.fire)
}

// begin starts a wait.
func (t *frameTimer) begin() { t.waiting.Store(int64(time.Since(t.base))) }

// end ends a wait.
func (t *frameTimer) end() { t.waiting.Store(0) }

// setLimit changes the limit of the waits that follow.
func (t *frameTimer) setLimit(limit time.Duration) {
	t.limit.Store(int64(limit))
	t.reset(limit)
}

func (t *frameTimer) reset(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.timer.Reset(d)
	}
}

func (t *frameTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

func (t *frameTimer) fire() {
	limit := time.Duration(t.limit.Load())
	began := t.waiting.Load()
	if began == 0 {
		t.reset(limit)
		return
	}
	left := limit - (time.Since(t.base) - time.Duration(began))
	if left > 0 {
		t.reset(left)
		return
	}
	t.timedOut.Store(true)
	t.cancel()
}
