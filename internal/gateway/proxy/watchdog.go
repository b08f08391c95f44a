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

// watchdog gives an attempt up while it awaits something from the replica for much longer than expected, and the request
// can go on elsewhere. The zero watchdog never does.
type watchdog struct {
	timer *time.Timer // nil if the attempt must not be given up
	// handOver begins an attempt that goes on with the request, or returns nil. left means that the current attempt must be
	// given up; without it, next is dropped unless that attempt has ended. p is the progress that the request has then. revived
	// is closed when the replica goes on or the attempt ends.
	handOver func(p *progress, revived <-chan struct{}) (next *handover, left bool)

	ctx    context.Context // of the attempt
	cancel context.CancelFunc
	runsAt string // ID of the replica of the attempt; empty if another host runs it

	mu       sync.Mutex
	awaiting bool          // the response or the next event is awaited
	canceled bool          // the attempt has been canceled
	failed   bool          // the attempt has ended without its answer
	stopped  bool          // the attempt has ended
	deciding chan struct{} // closed when handOver has returned; nil if it is not running
	revived  chan struct{} // of the running call of handOver
	before   progress      // of the request if the attempt is given up, without what the calls of handOver have added
	after    progress      // the same with it
	next     *handover     // that goes on with the request
}

// received stops the wait and returns true, or returns false if the attempt has been canceled before. What a canceled
// attempt has received must not be forwarded: it may end a stream in a state from which no other attempt goes on.
func (w *watchdog) received() bool {
	if w.timer == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endWait()
	return !w.canceled
}

// endWait ends the wait. If a replica has just been offered the request, it waits until that one's answer is known. The
// caller must hold w.mu.
func (w *watchdog) endWait() {
	w.awaiting = false
	w.timer.Stop()
	deciding := w.deciding
	if deciding == nil {
		return
	}
	if w.revived != nil {
		close(w.revived)
		w.revived = nil
	}
	w.mu.Unlock()
	<-deciding
	w.mu.Lock()
}

// await starts the wait for the next event of a stream.
func (w *watchdog) await(timeout time.Duration, p *progress) {
	if w.timer == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.awaiting = true
	w.after.headerSent, w.after.events, w.after.assumed = p.headerSent, p.events, p.assumed
	w.after.lastEventID, w.after.unidentified = p.lastEventID, p.unidentified
	if len(w.before.ran) != len(p.ran) { // another host has told of runs
		w.after.ran = append(slices.Clone(p.ran), w.after.ran[len(w.before.ran):]...)
		w.before.ran = slices.Clone(p.ran)
	}
	w.after.possibleRuns += p.possibleRuns - w.before.possibleRuns
	w.before.possibleRuns = p.possibleRuns
	if p.origin != nil && (w.after.origin == nil || *w.after.origin != *p.origin) {
		o := *p.origin // it is settled in place when the attempt has ended
		w.after.origin = &o
	}
	w.timer.Reset(timeout)
}

// collect adds what the watchdog has done to the progress of the request whose attempt has ended without its answer.
func (w *watchdog) collect(p *progress) {
	if w.timer == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed = true
	w.endWait()
	paid := w.after.paidAttempts > w.after.sentAttempts
	p.sentAttempts += w.after.sentAttempts - w.before.sentAttempts
	p.possibleRuns += w.after.possibleRuns - w.before.possibleRuns
	p.unconnected += w.after.unconnected - w.before.unconnected
	p.unreachable = p.unreachable || w.after.unreachable
	p.ran = append(p.ran, w.after.ran[len(w.before.ran):]...)
	if paid {
		p.paidAttempts = max(p.paidAttempts, p.sentAttempts+1)
	}
	p.next, w.next = w.next, nil
	p.gaveUp = p.gaveUp || w.canceled
	if w.canceled && w.runsAt != "" {
		p.givenUp = append(p.givenUp, w.runsAt)
	}
}

// stop ends the watchdog with its attempt. What collect has not taken is dropped.
func (w *watchdog) stop() {
	if w.timer == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.awaiting, w.stopped = false, true
	w.timer.Stop()
	if w.revived != nil {
		close(w.revived)
		w.revived = nil
	}
	if w.next != nil {
		w.next.drop()
		w.next = nil
	}
}

// expired gives the attempt up if the request can go on elsewhere, or waits on.
func (w *watchdog) expired() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.awaiting || w.ctx.Err() != nil {
		return
	}
	deciding, revived := make(chan struct{}), make(chan struct{})
	w.deciding, w.revived = deciding, revived
	after := w.after
	after.exclude = slices.Clone(w.after.ran)
	w.mu.Unlock()
	next, left := w.handOver(&after, revived)
	w.mu.Lock()
	defer close(deciding)
	w.deciding, w.revived, w.after = nil, nil, after
	switch {
	case next != nil && (w.stopped || !left && !w.failed):
		next.drop()
	case left || next != nil:
		w.canceled, w.next = true, next
		w.cancel()
	case w.awaiting:
		w.timer.Reset(minResponseTimeout)
	}
}

// startWatchdog returns a watchdog that gives an attempt of a repeatable request up when it takes much longer than
// expected and another replica has taken the request: a slow response is better than none. It never does if another host
// decides on further attempts. ctx is that of the request, and attemptCtx that of the attempt, which cancel ends.
func (e *exchange) startWatchdog(ctx, attemptCtx context.Context, cancel context.CancelFunc, lease *fleet.Lease, p *progress) *watchdog {
	if e.delegation != nil {
		return &watchdog{}
	}
	handOver := func(p *progress, revived <-chan struct{}) (*handover, bool) {
		if !e.delegated && e.server.opts.Helpers != nil && e.server.opts.Fleet.CutOff() {
			return e.handOverToHost(ctx, p, true, revived)
		}
		return e.handOver(ctx, p, revived)
	}
	w := e.newWatchdog(attemptCtx, cancel, lease.Expected, p, attemptSoFar(p, lease), handOver)
	w.runsAt = lease.Member.ID
	return w
}

// startDelegationWatchdog is startWatchdog for an attempt at another host, which does not give it up itself.
func (e *exchange) startDelegationWatchdog(ctx, attemptCtx context.Context, cancel context.CancelFunc, p *progress) *watchdog {
	handOver := func(q *progress, revived <-chan struct{}) (*handover, bool) {
		return e.handOverToHost(ctx, q, q.headerSent, revived)
	}
	given := *p
	given.sentAttempts++
	given.possibleRuns++
	given.helpers, given.ranAt = slices.Clone(p.helpers), slices.Clone(p.ranAt)
	return e.newWatchdog(attemptCtx, cancel, e.route.Target, p, given, handOver) // the prediction of the other host is not known
}

// newWatchdog returns a watchdog for an attempt whose response is expected after the given time. given is the progress that
// the request has if the attempt is given up, and handOver is that of watchdog. The watchdog never gives the attempt up if
// the route allows no other one, or if it would do so after more than half of the time left.
func (e *exchange) newWatchdog(
	ctx context.Context, cancel context.CancelFunc, expected time.Duration, p *progress, given progress,
	handOver func(*progress, <-chan struct{}) (*handover, bool),
) *watchdog {
	timeout := e.responseTimeout(expected)
	if !e.route.Repeatable() || p.possibleRuns+1 >= e.maxAttempts() || timeout > e.timeLeft(time.Now())/2 {
		return &watchdog{}
	}
	w := &watchdog{awaiting: true, handOver: handOver, ctx: ctx, cancel: cancel, before: given, after: given}
	w.timer = time.AfterFunc(unsetTimerDelay, w.expired) // expired uses the timer
	w.timer.Reset(timeout)
	return w
}

// responseTimeout returns how long a response may take that is expected after the given time.
func (e *exchange) responseTimeout(expected time.Duration) time.Duration {
	return max(expected+time.Duration(responseTimeoutTargets*float64(e.route.Target)), minResponseTimeout)
}

// awaitEvent lets the watchdog wait for the next event of a stream, if the route bounds the time between events and
// another replica may go on with the stream.
func (e *exchange) awaitEvent(w *watchdog, p *progress) {
	if e.route.GapTarget <= 0 || !p.mayContinue() {
		return
	}
	w.await(max(time.Duration(stallTimeoutGaps*float64(e.route.GapTarget)), minResponseTimeout), p)
}
