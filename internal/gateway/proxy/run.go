package proxy

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/gateway/upstream"
)

const (
	// maxSends bounds the replicas that a request is offered to, those included
	// that could not be reached or refused it: each takes up to half a second.
	maxSends = 4
	// answerTargets is the time, in latency objectives, after which a repeatable
	// request without an answer goes to another replica; leastAnswerWait is the
	// least such time.
	answerTargets   = 2.5
	leastAnswerWait = 500 * time.Millisecond
	// stallGaps is the pause, in longest allowed pauses, after which a stream goes
	// on at another replica.
	stallGaps = 3.0
	// leastLeft is the time that a replica needs at least to be of use.
	leastLeft = 20 * time.Millisecond
	// never is a time after which a timer that waits to be set may go off.
	never = 24 * time.Hour
	// inspectTimeout is the time in which a live replica takes a connection.
	inspectTimeout = 500 * time.Millisecond
)

// state of a request between two attempts.
type progress struct {
	sends     int  // attempts that reached a replica
	offers    int  // attempts, those included that reached none
	runs      int  // attempts that may have run
	started   bool // the head of the answer has been sent to the caller
	lastEvent string
	events    int
	exclude   []string
	rejected  *upstreamAnswer // a replica's own refusal or failure, to be passed on
}

// verdict is what an attempt came to.
type verdict int

const (
	done       verdict = iota // the caller has its answer, or has left
	notRun                    // the replica did not run the request
	mayHaveRun                // no usable answer; the request may have run
	ranFailed                 // the replica's own failure, kept in progress.rejected
)

// run sends the request to replicas until one answers or no further attempt is
// allowed.
func (e *exchange) run(ctx context.Context) {
	s := e.server
	name := e.route.PickUpstream(e.call.AttemptID)
	e.record.upstream = name
	s.opts.Budget.First(name)
	var p progress
	for {
		lease, refusal := s.opts.Fleet.Pick(e.request(name, &p), time.Now())
		if refusal != nil {
			e.noReplica(&p, refusal)
			return
		}
		v := e.attempt(ctx, lease, &p)
		if v == done {
			return
		}
		if e.callerGone() {
			e.record.outcome = outcomeCallerGone
			panic(http.ErrAbortHandler)
		}
		if ctx.Err() != nil || !e.mayRepeat(v, &p, name) {
			e.giveUp(ctx, &p)
			return
		}
		p.exclude = append(p.exclude, lease.Member.ID)
	}
}

func (e *exchange) callerGone() bool { return errors.Is(e.r.Context().Err(), context.Canceled) }

func (e *exchange) request(name string, p *progress) *fleet.Request {
	output := e.call.MaxTokens
	if e.call.ExpectTokens > 0 {
		output = min(max(e.call.ExpectTokens, 1), max(output, 1))
	}
	target := e.route.Target
	if p.started {
		target = 0 // the answer has begun, so that no target for its beginning is left
	}
	now := time.Now()
	q := &fleet.Request{
		Upstream: name, Prompt: e.prompt, PromptTokens: e.call.PromptTokens, OutputTokens: output,
		Target: target, MaxGap: e.route.GapTarget, TimeLeft: e.left(now), Waited: e.waited + now.Sub(e.arrived) + e.stoodStill(),
		Urgent: e.route.Priority == 0, Priority: e.route.Priority,
		Exclude: p.exclude, Fingerprint: e.fingerprint, Session: session(e.prompt),
	}
	if e.team != nil {
		q.Team = e.team.Name
		q.Favored = e.team.Priority != nil && *e.team.Priority == 0
	}
	return q
}

// mayRepeat decides whether the request goes to another replica.
func (e *exchange) mayRepeat(v verdict, p *progress, name string) bool {
	if p.offers >= maxSends || e.left(time.Now()) < leastLeft {
		return false
	}
	if v != notRun && (!e.route.Repeatable() || p.runs >= e.route.MaxAttempts) {
		return false
	}
	if p.sends == 0 {
		return true // no replica has seen the request, so that nothing is repeated
	}
	if !e.server.opts.Budget.Allow(name) {
		e.record.reason = "retry_budget"
		return false
	}
	return true
}

// noReplica ends a request for which no replica was picked.
func (e *exchange) noReplica(p *progress, refusal *fleet.Refusal) {
	e.record.refusal = refusal
	switch {
	case p.started:
		e.record.reason = refusal.Reason
		e.abort()
	case p.rejected != nil:
		e.passOn(p.rejected)
	case p.runs > 0:
		e.fail(http.StatusBadGateway, refusal.Reason)
	default:
		e.refuse(http.StatusServiceUnavailable, refusal.Reason, e.boundRetry(refusal.RetryAfter))
	}
}

// boundRetry keeps a retry time within what the caller can use: it has to come
// back well before its deadline.
func (e *exchange) boundRetry(wait time.Duration) time.Duration {
	const usable = 3 // callers wait at most a third of the time they have left
	return max(min(wait, e.callerLeft(time.Now())/usable), time.Millisecond)
}

// giveUp ends a request that no further attempt is allowed for.
func (e *exchange) giveUp(ctx context.Context, p *progress) {
	switch {
	case p.started:
		e.abort()
	case p.rejected != nil:
		e.passOn(p.rejected)
	case p.runs == 0:
		e.refuse(http.StatusServiceUnavailable, "not_accepted", e.boundRetry(noReplicaWait))
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.fail(http.StatusGatewayTimeout, "timeout")
	default:
		e.fail(http.StatusBadGateway, "no_answer")
	}
}

// noReplicaWait is the retry time after replicas that could not be reached or
// refused; they return within seconds.
const noReplicaWait = 500 * time.Millisecond

// fail answers a request that may have run.
func (e *exchange) fail(status int, reason string) {
	e.record.outcome = outcomeUnknown
	if e.record.reason == "" {
		e.record.reason = reason
	}
	e.answer(status, reason, 0)
}

// abort breaks the answer off, so that the caller does not take it as complete.
func (e *exchange) abort() {
	e.record.outcome = outcomeBroken
	panic(http.ErrAbortHandler)
}

// attempt sends the request to the leased replica and passes its answer on.
func (e *exchange) attempt(ctx context.Context, lease *fleet.Lease, p *progress) verdict {
	s := e.server
	p.offers++
	e.record.attempt(lease)
	if p.offers > 1 {
		s.metrics.repeats.Inc(1)
	}
	s.metrics.copied.Inc(int64(lease.Copied))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := e.watch(ctx, cancel, lease, p)
	defer watchdog.Stop()

	began := time.Now()
	response, err := s.opts.Client.Do(ctx, e.upstreamRequest(lease, p))
	if err != nil {
		return e.unanswered(err, lease, p)
	}
	defer response.Close()
	p.sends++
	s.metrics.firstByte.RecordDuration(time.Since(began))
	reply := s.opts.Dialect.Reply(response.Status, response.Header)
	if reply.NotExecuted {
		return e.notExecuted(response, lease)
	}
	p.runs++
	if e.route.Kind == routing.Streaming && response.Status == http.StatusOK && isEventStream(response.Header) {
		return e.stream(response, reply, lease, p, watchdog)
	}
	return e.plain(response, reply, lease, p)
}

func (e *exchange) upstreamRequest(lease *fleet.Lease, p *progress) *upstream.Request {
	d := routing.Dispatch{
		ReplicaID: lease.Member.ID, Left: e.left(time.Now()), Urgency: -1, LastEventID: p.lastEvent,
		CopyFrom: lease.CopyFrom,
	}
	if e.team != nil {
		d.Team = e.team.Name
	}
	if e.route.Kind == routing.Streaming {
		d.Urgency = e.urgency()
	}
	return &upstream.Request{
		Address: lease.Member.Address, Method: e.r.Method, Target: e.target(), Host: e.r.Host,
		Header: e.server.opts.Dialect.Forward(e.r.Header, d), Body: e.body,
		Fresh: !e.route.Repeatable() && e.route.Kind != routing.Streaming,
		Mine: func(status int, h http.Header, reused bool) bool {
			id := e.server.opts.Dialect.Reply(status, h).AttemptID
			// Without an id it may be a late copy of the answer before on that connection.
			return id == e.call.AttemptID || id == "" && !reused
		},
	}
}

// urgency ranks a request on an engine's scale from 0, the most urgent, to 9: by the
// team's priority, and by the route's among teams of the same.
func (e *exchange) urgency() int {
	const routes, last = 3, 9 // priorities of routes told apart
	rank := e.route.Priority
	if e.team != nil && e.team.Priority != nil {
		rank = *e.team.Priority*routes + min(e.route.Priority, routes-1)
	}
	return min(max(rank, 0), last)
}

// watch cancels an attempt of a repeatable request that takes much longer than
// expected, if there is enough time left for another one and a replica to go to. With
// none a slow answer is better than no answer.
func (e *exchange) watch(ctx context.Context, cancel context.CancelFunc, lease *fleet.Lease, p *progress) *time.Timer {
	if !e.route.Repeatable() || p.runs+1 >= e.route.MaxAttempts {
		idle := time.NewTimer(never)
		idle.Stop()
		return idle
	}
	wait := lease.Expected + time.Duration(answerTargets*float64(e.route.Target))
	wait = max(wait, leastAnswerWait)
	q := e.request(lease.Member.Upstream, p)
	q.Target = 0 // it is late already
	q.Exclude = append(slices.Clone(p.exclude), lease.Member.ID)
	var timer *time.Timer
	timer = time.AfterFunc(never, func() {
		q.TimeLeft = e.left(time.Now())
		switch {
		case ctx.Err() != nil:
		case !e.server.opts.Budget.Spent(q.Upstream) && e.server.opts.Fleet.Available(q, time.Now()):
			cancel()
		default:
			timer.Reset(leastAnswerWait)
		}
	})
	if wait <= e.left(time.Now())/2 {
		timer.Reset(wait)
	} else {
		timer.Stop()
	}
	return timer
}

// unanswered settles an attempt without an answer.
func (e *exchange) unanswered(err error, lease *fleet.Lease, p *progress) verdict {
	now := time.Now()
	v, result := mayHaveRun, fleet.Unreachable
	if errors.Is(err, upstream.ErrNotConnected) {
		result = fleet.Unconnected
	}
	if errors.Is(err, upstream.ErrNotSent) {
		v = notRun
	} else {
		p.sends++
		p.runs++
	}
	if e.r.Context().Err() != nil {
		result = fleet.Abandoned
	}
	e.end(lease, result, now)
	e.server.opts.Logger.Info().Str("request", e.call.AttemptID).Str("replica", lease.Member.ID).
		Bool("sent", v == mayHaveRun).Err(err).Msg("attempt had no answer")
	return v
}

// end gives the lease back and looks at the replica if it may have crashed.
func (e *exchange) end(lease *fleet.Lease, result fleet.Result, now time.Time) {
	if lease.End(result, now) {
		go e.server.inspect(lease.Member, e.call.AttemptID)
	}
}

// inspect finds out whether a replica that broke off a request is down.
func (s *Server) inspect(m fleet.Member, request string) {
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	down := s.opts.Client.Down(ctx, m.Address)
	s.opts.Fleet.RecordInspection(m.ID, down, time.Now())
	s.opts.Logger.Info().Str("request", request).Str("replica", m.ID).Bool("down", down).Msg("replica broke off requests")
}

// notExecuted settles an attempt that the replica refused as not run.
func (e *exchange) notExecuted(response *upstream.Response, lease *fleet.Lease) verdict {
	result := fleet.Rejected
	if response.Status == http.StatusMisdirectedRequest {
		result = fleet.Misdirected
	}
	lease.End(result, time.Now())
	response.Discard()
	e.server.opts.Logger.Info().Str("request", e.call.AttemptID).Str("replica", lease.Member.ID).
		Int("status", response.Status).Msg("replica refused the request as not run")
	return notRun
}
