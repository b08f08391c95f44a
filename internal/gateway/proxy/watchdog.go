package proxy

import (
	"context"
	"slices"
	"sync"
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
	// unsetTimerDelay is the initial delay of a timer that is reset right after it
	// is created, long enough that the timer cannot fire before.
	unsetTimerDelay = 24 * time.Hour
)

// watchdog cancels an attempt while it awaits something from the replica for much longer than expected. The zero
// watchdog never does.
type watchdog struct {
	timer *time.Timer // nil if the attempt must not be canceled

	mu        sync.Mutex
	awaiting  bool    // the response or the next event is awaited
	canceled  bool    // the attempt has been canceled
	software  *string // the version of the replicas that may continue the stream; nil for any
	paidUntil int     // what progress.paidAttempts becomes if the watchdog has taken a retry; 0 if it has not
}

// received stops the wait and returns true, or returns false if the attempt has been canceled before. What a canceled
// attempt has received must not be forwarded: it may end a stream in a state from which no other attempt goes on.
func (w *watchdog) received() bool {
	if w.timer == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.awaiting = false
	w.timer.Stop()
	return !w.canceled
}

// await starts the wait for an event of a stream that replicas of the given version may continue.
func (w *watchdog) await(timeout time.Duration, software *string) {
	if w.timer == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.awaiting, w.software = true, software
	w.timer.Reset(timeout)
}

// end stops the watchdog at the end of its attempt and records the retry that it has taken.
func (w *watchdog) end(p *progress) {
	w.received()
	p.paidAttempts = max(p.paidAttempts, w.paidUntil)
}

// startWatchdog returns a watchdog that cancels an attempt of a repeatable request that takes much longer than
// expected. It never does if no other attempt is allowed, if another host decides on it, or if its timeout exceeds half
// of the time left. Otherwise it cancels the attempt only if another replica is available and it gets a retry from the
// retry budget: a slow response is better than none.
func (e *exchange) startWatchdog(ctx context.Context, cancel context.CancelFunc, lease *fleet.Lease, p *progress) *watchdog {
	w := &watchdog{}
	if !e.route.Repeatable() || p.possibleRuns+1 >= e.maxAttempts() || p.triedReplicas >= maxTriedReplicas || e.delegation != nil {
		return w
	}
	timeout := lease.Expected + time.Duration(responseTimeoutTargets*float64(e.route.Target))
	timeout = max(timeout, minResponseTimeout)
	if timeout > e.timeLeft(time.Now())/2 {
		return w
	}
	req := e.fleetRequest(lease.Member.Upstream, p)
	req.Target = 0 // by the time the watchdog fires, the latency objective is missed
	req.Exclude = append(slices.Clone(p.exclude), lease.Member.ID)
	w.awaiting, w.software = true, req.SoftwareVersion
	paidAttempts, paidUntil := p.paidAttempts, p.sentAttempts+2 // this attempt, if it is sent, and the retry
	w.timer = time.AfterFunc(unsetTimerDelay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		req.TimeLeft, req.SoftwareVersion = e.timeLeft(time.Now()), w.software
		switch {
		case !w.awaiting || ctx.Err() != nil:
		case (e.server.opts.Fleet.CutOff() || e.server.opts.Fleet.Available(req, time.Now())) &&
			(paidAttempts >= paidUntil || e.server.opts.Budget.Allow(req.Upstream)):
			w.canceled, w.paidUntil = true, paidUntil
			cancel()
		default:
			w.timer.Reset(minResponseTimeout)
		}
	})
	w.timer.Reset(timeout)
	return w
}

// awaitEvent lets the watchdog wait for the next event of a stream, if the route bounds the time between events and
// another replica may go on with the stream.
func (e *exchange) awaitEvent(w *watchdog, p *progress) {
	if e.route.GapTarget <= 0 || !p.mayContinue() {
		return
	}
	var software *string
	if p.origin != nil {
		software = &p.origin.Version
	}
	w.await(max(time.Duration(stallTimeoutGaps*float64(e.route.GapTarget)), minResponseTimeout), software)
}
