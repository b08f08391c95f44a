package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/origin"
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

	mu         sync.Mutex
	awaiting   bool    // the response or the next event is awaited
	canceled   bool    // the attempt has been canceled
	forwarding bool    // the caller has events of this attempt
	software   *string // then, the version of the replicas that may continue the stream, if this host knows it
	paidUntil  int     // what progress.paidAttempts becomes if the watchdog has taken a retry; 0 if it has not
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
	w.awaiting, w.forwarding, w.software = true, true, software
	w.timer.Reset(timeout)
}

// end stops the watchdog at the end of its attempt and records the retry that it has taken.
func (w *watchdog) end(p *progress) {
	w.received()
	p.paidAttempts = max(p.paidAttempts, w.paidUntil)
}

// startWatchdog returns a watchdog that cancels an attempt of a repeatable request that takes much longer than
// expected. It never does if no other attempt is allowed or another host decides on it. Otherwise it cancels the attempt
// only if another replica is available: a slow response is better than none.
func (e *exchange) startWatchdog(ctx context.Context, cancel context.CancelFunc, lease *fleet.Lease, p *progress) *watchdog {
	if p.triedReplicas >= maxTriedReplicas || e.delegation != nil {
		return &watchdog{}
	}
	s := e.server
	req := e.fleetRequest(lease.Member.Upstream, p)
	req.Target = 0 // by the time the watchdog fires, the latency objective is missed
	req.Exclude = append(slices.Clone(p.exclude), lease.Member.ID)
	available := func(w *watchdog) bool {
		req.TimeLeft = e.timeLeft(time.Now())
		if w.forwarding {
			req.SoftwareVersion = w.software
			if w.software != nil && origin.Assumed(*w.software) && lease.ProcessProved() {
				version := lease.SoftwareVersion()
				req.SoftwareVersion = &version
			}
		}
		return s.opts.Fleet.CutOff() || s.opts.Fleet.Available(req, time.Now())
	}
	return e.newWatchdog(ctx, cancel, lease.Expected, p, available)
}

// startDelegationWatchdog is startWatchdog for an attempt at another host, which does not give it up itself.
func (e *exchange) startDelegationWatchdog(ctx context.Context, cancel context.CancelFunc, address string, p *progress) *watchdog {
	s := e.server
	tried, ranElsewhere := slices.Clone(p.helpers), len(p.ranAt) > 0
	available := func(w *watchdog) bool {
		if _, ok := s.opts.Helpers.Helper(tried); !ranElsewhere && (!ok || len(tried) >= maxHelpers) {
			return false
		}
		if w.forwarding && !e.mayGoOnElsewhere(ctx, p) {
			return false
		}
		s.opts.Logger.Info().Str("request", e.call.AttemptID).Str("helper", address).Msg("host takes too long with the delegated request")
		return true
	}
	return e.newWatchdog(ctx, cancel, e.route.Target, p, available) // the prediction of the other host is not known
}

// newWatchdog returns a watchdog for an attempt whose response is expected after the given time. It cancels the attempt
// if available returns true, which is called in the meantime of two events, and there is a retry in the retry budget.
// The watchdog never cancels the attempt if the route allows no other one, or if it would do so after more than half of
// the time left.
func (e *exchange) newWatchdog(ctx context.Context, cancel context.CancelFunc, expected time.Duration, p *progress, available func(*watchdog) bool) *watchdog {
	w := &watchdog{awaiting: true}
	timeout := max(expected+time.Duration(responseTimeoutTargets*float64(e.route.Target)), minResponseTimeout)
	if !e.route.Repeatable() || p.possibleRuns+1 >= e.maxAttempts() || timeout > e.timeLeft(time.Now())/2 {
		return w
	}
	upstreamName := e.record.upstream
	paidAttempts, paidUntil := p.paidAttempts, p.sentAttempts+2 // this attempt, if it is sent, and the retry
	w.timer = time.AfterFunc(unsetTimerDelay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case !w.awaiting || ctx.Err() != nil:
		case available(w) && (paidAttempts >= paidUntil || e.server.opts.Budget.Allow(upstreamName)):
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
