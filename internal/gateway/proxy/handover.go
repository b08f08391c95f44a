package proxy

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/origin"
	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/gateway/upstream"
)

// A replica that falls silent may go on at any moment, and those that could be picked instead may refuse. The request is
// therefore sent to another replica while the silent one still runs it, and that run is ended only when the other
// replica has taken the request, see also race.

// acceptTime is the time after which a replica that has not refused a request counts as having taken it: full replicas
// refuse at once, while others may send nothing before the first token. It bounds how long two runs may overlap, which
// operators limit to 400 ms.
const acceptTime = 200 * time.Millisecond

// handover is an attempt that has begun while the one before it still ran.
type handover struct {
	helper    string // address of the host that is offered the request; empty for a replica
	lease     *fleet.Lease
	ctx       context.Context // of the attempt
	cancel    context.CancelFunc
	startedAt time.Time
	writing   chan struct{} // closed when the request is about to be written
	done      chan struct{} // closed once the following are set
	response  *upstream.Response
	err       error

	mu        sync.Mutex
	withdrawn bool // before the request was about to be written
}

// beginHandover sends the request in the background. What request uses must not change until done is closed.
func (e *exchange) beginHandover(ctx context.Context, lease *fleet.Lease, request *upstream.Request) *handover {
	h := &handover{lease: lease, startedAt: time.Now(), writing: make(chan struct{}), done: make(chan struct{})}
	h.ctx, h.cancel = context.WithCancel(ctx)
	header := request.Header
	request.Header = func() http.Header {
		h.mu.Lock()
		defer h.mu.Unlock()
		if !h.withdrawn && !closed(h.writing) {
			close(h.writing)
		}
		return header()
	}
	go func() {
		defer close(h.done)
		h.response, h.err = e.server.opts.Client.Do(h.ctx, request)
	}()
	return h
}

// drop ends an attempt that nobody goes on with.
func (h *handover) drop() {
	h.cancel()
	go func() {
		<-h.done
		if h.response != nil {
			h.response.Close()
		}
		h.lease.End(fleet.Abandoned, time.Now())
	}()
}

// withdraw cancels the attempt and returns true, or returns false if the request may be written already. Client.Do writes
// nothing once its context has ended.
func (h *handover) withdraw() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if closed(h.writing) {
		return false
	}
	h.withdrawn = true
	h.cancel()
	return true
}

// decide returns when the replica has answered or counts as having taken the request, and reports whether it has
// answered. It withdraws the offer if the run before it goes on before the request is written.
func (h *handover) decide(revived <-chan struct{}) (answered bool) {
	select {
	case <-h.done:
		return true
	case <-h.writing:
	case <-revived:
		if h.withdraw() {
			<-h.done
			return true
		}
	}
	timer := time.NewTimer(acceptTime)
	defer timer.Stop()
	select {
	case <-h.done:
		return true
	case <-timer.C:
		return false
	}
}

// handOver offers the request to other replicas until one has taken it, and returns that attempt. It returns nil if none
// has, or if the replica that runs it has gone on meanwhile, which closes revived. left means that the silent run must be
// ended: either another one has taken the request, or it was run elsewhere and failed there, and a stream must not be at work
// at two replicas for longer. p is the progress that the request would have if its current attempt were given up. A host that
// ends before the stream's time is over may not find another replica if the first one refuses it late, and offers none.
func (e *exchange) handOver(ctx context.Context, p *progress, revived <-chan struct{}) (next *handover, left bool) {
	s := e.server
	if e.route.Kind != routing.Streaming {
		return e.race(ctx, p, revived)
	}
	if p.headerSent && (e.cutShort() || !e.settleEarly(ctx, p)) {
		return nil, false
	}
	for range maxTriedReplicas {
		if ctx.Err() != nil || closed(revived) || p.possibleRuns >= e.maxAttempts() {
			return nil, false
		}
		request := e.fleetRequest(e.record.upstream, p)
		request.Target = 0 // the latency objective is missed
		if !s.opts.Fleet.Available(request, time.Now()) || !e.payRetry(p) {
			return nil, false
		}
		lease, refusal := s.opts.Fleet.Pick(request, time.Now())
		if refusal != nil {
			return nil, false
		}
		h := e.beginHandover(ctx, lease, e.upstreamRequest(lease, p))
		answered := h.decide(revived)
		if !answered || e.takes(h, p) {
			s.opts.Logger.Info().Str("request", e.call.AttemptID).Str("replica", lease.Member.ID).Int("events", p.events).
				Bool("answered", answered).Msg("another replica takes the request over")
			return h, true
		}
		runs := p.possibleRuns
		e.endHandover(h, p)
		if !closed(revived) && e.ranBeside(h, p, runs) {
			return nil, true
		}
	}
	return nil, false
}

// cutShort reports whether this host stops and ends the request before its own time is over.
func (e *exchange) cutShort() bool {
	now := time.Now()
	return e.server.drain.Left(now) < e.deadline.Sub(now)-e.suspendedTime()
}

// ranBeside reports whether a stream, with this number of possible runs before the offer, may have been run beside its silent
// run. An offer whose connection was reset without an answer seldom was, as full replicas reset connections: the silent run is
// kept if it is the last that the route allows.
func (e *exchange) ranBeside(h *handover, p *progress, runs int) bool {
	switch {
	case p.possibleRuns == runs:
		return false
	case e.route.Kind != routing.Streaming:
		return false // other requests that may be repeated may run at several replicas at a time
	case errors.Is(h.err, syscall.ECONNRESET) && p.possibleRuns >= e.maxAttempts():
		return false
	}
	e.server.opts.Logger.Info().Str("request", e.call.AttemptID).Int("events", p.events).
		Msg("another replica ran the stream and failed, the silent run is given up too")
	return true
}

// payRetry takes the offer of a request out of the retry budget, unless it is paid for already. The rest of the budget is for
// requests whose run has ended, also of those that are given up for an offer which is refused late.
func (e *exchange) payRetry(p *progress) bool { return e.payOffer(p, 0) }

// payOffer is payRetry beside the given number of offers that are paid for and open.
func (e *exchange) payOffer(p *progress, open int) bool {
	if p.paidAttempts <= p.sentAttempts+open && !e.server.opts.Budget.AllowOffer(e.record.upstream) {
		return false
	}
	p.paidAttempts = p.sentAttempts + open + 1
	return true
}

// settleEarly replaces an assumed origin in the progress by what is known, and reports whether other replicas may go on.
func (e *exchange) settleEarly(ctx context.Context, p *progress) bool {
	if a := p.assumed; a != nil && p.origin != nil && origin.Assumed(p.origin.Version) {
		if !a.lease.ProcessProved() {
			a.ask(ctx)
		}
		if !a.lease.ProcessProved() {
			return false
		}
		settled := a.origin
		p.origin = &settled
	}
	return p.mayContinue()
}

// takes reports whether the replica's answer goes on with the request, as far as its head shows.
func (e *exchange) takes(h *handover, p *progress) bool {
	if h.err != nil {
		return false
	}
	reply := e.server.opts.Dialect.Reply(h.response.Status, h.response.Header)
	if reply.NotExecuted || !reply.Sealed {
		return false
	}
	if p.headerSent {
		return h.response.Status == http.StatusOK && isEventStream(h.response.Header)
	}
	return h.response.Status < http.StatusInternalServerError
}

// endHandover ends an attempt whose replica has not taken the request.
func (e *exchange) endHandover(h *handover, p *progress) {
	defer h.cancel()
	e.server.metrics.repeatedAttempts.Inc(1)
	p.exclude = append(p.exclude, h.lease.Member.ID)
	if h.err != nil {
		if h.ctx.Err() != nil {
			h.lease.End(fleet.Abandoned, time.Now()) // ended by this host
		}
		if h.withdrawn {
			return // the replica has not been sent the request
		}
		e.handleNoResponse(h.err, h.lease, p)
		return
	}
	defer h.response.Close()
	if reply := e.noteHead(h.startedAt, h.response, h.lease, p); reply.NotExecuted {
		e.handleNotExecuted(h.response, h.lease)
		return
	}
	e.noteRun(p, h.lease.Member.ID)
	_ = e.handleUnusable(errNotTakenOver, fleet.Failed, h.lease) // the run before it goes on
}

// errNotTakenOver means that a replica's answer cannot replace that of a replica which has fallen silent.
var errNotTakenOver = errors.New("answer cannot replace that of another replica")

// takeOver goes on with an attempt that has begun while the one before it still ran.
func (e *exchange) takeOver(ctx context.Context, h *handover, p *progress) attemptResult {
	defer h.cancel()
	if h.helper != "" {
		return e.takeOverOffer(ctx, h, p)
	}
	e.noteAttempt(h.lease, p)
	watchdog := e.startWatchdog(ctx, h.ctx, h.cancel, h.lease, p)
	defer watchdog.stop()
	<-h.done
	result := e.forward(h.startedAt, h.response, h.err, h.lease, p, watchdog)
	p.exclude = append(p.exclude, h.lease.Member.ID)
	return result
}

// attemptSoFar returns the progress that a request has if its current attempt is given up.
func attemptSoFar(p *progress, lease *fleet.Lease) progress {
	q := *p
	q.sentAttempts++
	q.possibleRuns++
	q.ran = append(slices.Clone(p.ran), lease.Member.ID)
	return q
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
