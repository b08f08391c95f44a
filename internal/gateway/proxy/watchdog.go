package proxy

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"heatherbarrow/internal/gateway/fleet"
)

const (
	// responseTimeoutTargets is how far a response may exceed its predicted latency, as a
	// multiple of the route's latency objective, before a repeatable request is sent to
	// another replica.
	responseTimeoutTargets = 2.5
	// minResponseTimeout is the lower bound of the timeouts for a response and for the next
	// event of a stream. It is also the time until a watchdog that was not allowed to cancel
	// its attempt checks again.
	minResponseTimeout = 500 * time.Millisecond
	// unsetTimerDelay is the initial delay of a timer that is reset or stopped right after it
	// is created, long enough that the timer cannot fire before.
	unsetTimerDelay = 24 * time.Hour
)

// watchdog cancels an attempt that takes much longer than expected.
type watchdog struct {
	timer    *time.Timer
	software atomic.Pointer[string] // the version of the replicas that may continue the stream; nil for any

	mu        sync.Mutex
	ended     bool // the attempt has ended
	paidUntil int  // what progress.paidAttempts becomes if the watchdog has taken a retry; 0 if it has not
}

func newWatchdog(timer *time.Timer) *watchdog { return &watchdog{timer: timer} }

// end stops the watchdog at the end of its attempt and records the retry that it has taken.
func (w *watchdog) end(p *progress) {
	w.timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	p.paidAttempts = max(p.paidAttempts, w.paidUntil)
}

// stoppedTimer returns a timer that does not fire.
func stoppedTimer() *time.Timer {
	t := time.NewTimer(unsetTimerDelay)
	t.Stop()
	return t
}

// startWatchdog returns a timer that cancels an attempt of a repeatable request that takes
// much longer than expected. The timer is stopped if no other attempt is allowed, if another host decides
// on it, or if its timeout exceeds half of the time left. When it fires, it cancels the attempt only if
// another replica is available and it gets a retry from the retry budget: otherwise a slow response is
// better than none.
func (e *exchange) startWatchdog(ctx context.Context, cancel context.CancelFunc, lease *fleet.Lease, p *progress) *watchdog {
	if !e.route.Repeatable() || p.possibleRuns+1 >= e.maxAttempts() || p.triedReplicas >= maxTriedReplicas || e.delegation != nil {
		return newWatchdog(stoppedTimer())
	}
	timeout := lease.Expected + time.Duration(responseTimeoutTargets*float64(e.route.Target))
	timeout = max(timeout, minResponseTimeout)
	req := e.fleetRequest(lease.Member.Upstream, p)
	req.Target = 0 // by the time the watchdog fires, the latency objective is missed
	req.Exclude = append(slices.Clone(p.exclude), lease.Member.ID)
	w := newWatchdog(nil)
	w.software.Store(req.SoftwareVersion)
	paidAttempts, paidUntil := p.paidAttempts, p.sentAttempts+2 // this attempt, if it is sent, and the retry
	w.timer = time.AfterFunc(unsetTimerDelay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		req.TimeLeft, req.SoftwareVersion = e.timeLeft(time.Now()), w.software.Load()
		switch {
		case w.ended || ctx.Err() != nil:
		case (e.server.opts.Fleet.CutOff() || e.server.opts.Fleet.Available(req, time.Now())) &&
			(paidAttempts >= paidUntil || e.server.opts.Budget.Allow(req.Upstream)):
			w.paidUntil = paidUntil
			cancel()
		default:
			w.timer.Reset(minResponseTimeout)
		}
	})
	if timeout <= e.timeLeft(time.Now())/2 {
		w.timer.Reset(timeout)
	} else {
		w.timer.Stop()
	}
	return w
}
