package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"heatherbarrow/internal/drain"
	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/netio"
	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/gateway/upstream"
)

const (
	// maxTriedReplicas bounds the replicas tried for a request, including those that refused
	// it or were unreachable: an unreachable one can take up to netio.DialTimeout, half a
	// second.
	maxTriedReplicas = 4
	// stallTimeoutGaps is the pause after which a resumable stream continues on another
	// replica, as a multiple of the longest pause that the route allows between events.
	stallTimeoutGaps = 3.0
	// minTimeLeft is the time before the deadline below which no further replica is tried,
	// because a replica needs at least that long for a response.
	minTimeLeft = 20 * time.Millisecond
)

// attemptResult is how an attempt ended. It decides whether the request may be sent to
// another replica.
type attemptResult int

const (
	attemptDone       attemptResult = iota // the response has been sent, or the caller has disconnected
	attemptNotRun                          // the replica did not run the request
	attemptMayHaveRun                      // no usable response; the request may have run
	attemptFailed                          // the replica's response is an error or cannot continue the stream
	attemptDoubted                         // the response is complete unless it was cut on the way, see exchange.doubts
)

// dispatch sends the request to replicas until one of them responds or no further attempt
// is allowed.
func (e *exchange) dispatch(ctx context.Context) {
	upstreamName := e.route.PickUpstream(e.call.AttemptID)
	p := e.newProgress()
	if e.call.Continues() {
		var ok bool
		if upstreamName, ok = e.findOrigin(ctx, &p); !ok {
			return
		}
	}
	e.record.upstream = upstreamName
	defer func() { p.dropNext() }()
	for {
		result, ended := e.attemptVerified(ctx, &p)
		if ended || result == attemptDone {
			return
		}
		if e.callerGone() {
			e.record.outcome = outcomeCallerGone
			e.closeCaller()
		}
		p.settleOrigin(ctx)
		if p.headerSent && !p.mayContinue() {
			p.dropNext()
		}
		if p.next == nil && p.triedReplicas >= maxTriedReplicas {
			e.awaitRoom(ctx, &p)
		}
		if ctx.Err() != nil || p.next == nil && !e.mayRetry(ctx, result, &p, upstreamName) {
			e.giveUp(ctx, &p)
			return
		}
	}
}

// attemptOnce sends the request to a replica, or lets another host run it. It returns true if there is neither,
// and the request has been answered.
func (e *exchange) attemptOnce(ctx context.Context, p *progress) (result attemptResult, ended bool) {
	s := e.server
	if next := p.next; next != nil {
		p.next = nil
		return e.takeOver(ctx, next, p), false
	}
	if e.shouldDelegate(p) {
		if result, taken := e.delegate(ctx, p); taken {
			return result, false
		}
	}
	if p.originElsewhere && !p.headerSent {
		e.endWithoutOrigin(ctx, p)
		return attemptNotRun, true
	}
	if p.headerSent && p.origin == nil { // only the hosts that ran the request know which replicas may go on
		if e.awaitHosts(ctx, p) {
			return attemptNotRun, false
		}
		e.abortResponse()
	}
	if e.reachedNone(p, nil) && s.cutOff() {
		e.endWithoutReplica(p, &fleet.Refusal{Reason: fleet.ReasonUnreachable, RetryAfter: notAcceptedRetryAfter})
		return attemptNotRun, true
	}
	if !p.counted {
		p.counted = true
		s.opts.Budget.First(e.record.upstream)
	}
	lease, refusal := s.opts.Fleet.Pick(e.fleetRequest(e.record.upstream, p), time.Now())
	if refusal != nil && (refusal.Reason == fleet.ReasonUnreachable || p.unconnected > 0) && !p.unreachable {
		p.unreachable = true // the replicas that are left out may be those that only this host does not reach
		return e.attemptOnce(ctx, p)
	}
	if refusal != nil && (mayPass(refusal, p) && e.awaitRoom(ctx, p) || e.goBack(refusal, p)) {
		return attemptNotRun, false
	}
	if refusal != nil {
		e.endWithoutReplica(p, refusal)
		return attemptNotRun, true
	}
	result = e.attempt(ctx, lease, p)
	p.exclude = append(p.exclude, lease.Member.ID)
	return result, false
}

// abandoned reports whether the caller has disconnected or this host, which stops, has ended the request.
func (e *exchange) abandoned() bool { return e.r.Context().Err() != nil || e.server.drain.Over() }

// callerGone reports whether the caller has disconnected.
func (e *exchange) callerGone() bool { return errors.Is(e.r.Context().Err(), context.Canceled) }

// fleetRequest returns what the fleet needs to know to pick a replica.
func (e *exchange) fleetRequest(upstreamName string, p *progress) *fleet.Request {
	outputTokens := e.call.MaxTokens
	if e.call.ExpectedTokens > 0 {
		outputTokens = min(max(e.call.ExpectedTokens, 1), max(outputTokens, 1))
	}
	target := e.route.Target
	if p.headerSent {
		target = 0 // the objective covers the start of the response, which has been sent
	}
	now := time.Now()
	req := &fleet.Request{
		Upstream: upstreamName, Prompt: e.prompt, PromptTokens: e.call.PromptTokens, OutputTokens: outputTokens,
		Target: target, MaxGap: e.route.GapTarget, TimeLeft: e.timeLeft(now), Waited: e.waitedBefore + now.Sub(e.arrived) + e.suspendedTime(),
		Urgent: e.route.Priority == 0, Priority: e.route.Priority,
		Resumable: e.route.Resumable, Exclude: p.exclude, Fingerprint: e.fingerprint, Parts: e.sharedParts, Session: sessionHash(e.prompt),
	}
	if p.origin != nil {
		req.SoftwareVersion = &p.origin.Version
	}
	if e.team != nil {
		req.Team = e.team.Name
		req.Favored = e.team.Priority != nil && *e.team.Priority == 0
	}
	return req
}

// mayRetry reports whether the request may be sent to another replica, and takes a retry
// from the retry budget if it needs one.
func (e *exchange) mayRetry(ctx context.Context, result attemptResult, p *progress, upstreamName string) bool {
	if p.triedReplicas >= maxTriedReplicas || e.timeLeft(time.Now()) < minTimeLeft {
		return false
	}
	if p.headerSent && !p.mayContinue() {
		return false
	}
	if result != attemptNotRun && (!e.route.Repeatable() || p.possibleRuns >= e.maxAttempts() || e.delegation != nil) {
		return false // or the host that delegated the request decides
	}
	if p.sentAttempts == 0 || p.paidAttempts > p.sentAttempts {
		return true // no replica has received the request, or the last retry, so the next attempt is not a further one
	}
	allow := e.server.opts.Budget.Allow
	if p.possibleRuns == 0 && !p.headerSent {
		allow = e.server.opts.Budget.AllowRejected
	}
	if !allow(upstreamName) && !e.awaitBudget(ctx, p, allow) {
		e.record.reason = "retry_budget"
		return false
	}
	p.paidAttempts = p.sentAttempts + 1
	return true
}

// endWithoutReplica ends a request for which the fleet picked no replica.
func (e *exchange) endWithoutReplica(p *progress, refusal *fleet.Refusal) {
	e.record.refusal = refusal
	switch {
	case p.headerSent:
		e.record.reason = refusal.Reason
		e.abortResponse()
	case p.replicaFailure != nil:
		e.sendBuffered(p.replicaFailure)
	case p.possibleRuns > 0:
		e.failUnknown(http.StatusBadGateway, refusal.Reason)
	default:
		if e.reachedNone(p, refusal) {
			e.declineUnreached(p, refusal)
		}
		e.refuse(http.StatusServiceUnavailable, refusal.Reason, e.boundRetryAfter(refusal.RetryAfter))
	}
}

// endWithoutOrigin ends a request that only hosts which find the origin of its stream may run, after all have been tried.
func (e *exchange) endWithoutOrigin(ctx context.Context, p *progress) {
	if p.possibleRuns == 0 && p.replicaFailure == nil && ctx.Err() == nil {
		e.refuseWithoutOrigin()
		return
	}
	e.giveUp(ctx, p)
}

// boundRetryAfter limits the retry time given to the caller to a third of the caller's remaining
// time, so that it can send the request again well before its deadline. The result is at least
// 1 ms.
func (e *exchange) boundRetryAfter(wait time.Duration) time.Duration {
	const timeLeftDivisor = 3
	return max(min(wait, e.callerTimeLeft(time.Now())/timeLeftDivisor), time.Millisecond)
}

// giveUp ends a request for which no further attempt is allowed.
func (e *exchange) giveUp(ctx context.Context, p *progress) {
	switch {
	case p.headerSent:
		e.abortResponse()
	case p.replicaFailure != nil:
		e.sendBuffered(p.replicaFailure)
	case p.possibleRuns == 0 && hostStops(ctx):
		e.refuseAtStop()
	case p.possibleRuns == 0:
		if e.reachedNone(p, nil) {
			e.declineUnreached(p, nil)
		}
		e.refuse(http.StatusServiceUnavailable, "not_accepted", e.boundRetryAfter(notAcceptedRetryAfter))
	case p.refusalUnproven:
		e.failUnknown(http.StatusBadGateway, reasonRefusalUnproven)
	case hostStops(ctx):
		e.failUnknown(http.StatusGatewayTimeout, "host_stops")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.failUnknown(http.StatusGatewayTimeout, "timeout")
	default:
		e.failUnknown(http.StatusBadGateway, "no_answer")
	}
}

// hostStops reports whether a request's context has ended because its host stops.
func hostStops(ctx context.Context) bool { return errors.Is(context.Cause(ctx), drain.ErrHostStops) }

// notAcceptedRetryAfter is the retry time for a request that no replica accepted, because
// the replicas tried were unreachable or refused it. They recover within seconds.
const notAcceptedRetryAfter = 500 * time.Millisecond

// failUnknown responds with an error to a request that may have run.
func (e *exchange) failUnknown(status int, reason string) {
	e.record.outcome = outcomeUnknown
	if e.record.reason == "" {
		e.record.reason = reason
	}
	e.respondError(status, reason, 0)
}

// abortResponse closes the caller's connection, so that the caller does not take the response for a complete one. It
// does not return.
func (e *exchange) abortResponse() {
	e.record.outcome = outcomeBroken
	e.closeCaller()
}

// closeCaller panics with http.ErrAbortHandler, which closes the caller's connection. That of a caller that knows no
// chunks is reset, as an orderly end is the end of the response for it. It may still read if it has closed its own side.
func (e *exchange) closeCaller() {
	if !e.r.ProtoAtLeast(1, 1) {
		if c, _, err := http.NewResponseController(e.w).Hijack(); err == nil {
			_ = netio.Reset(c) // nothing more can be done for the caller
		}
	}
	panic(http.ErrAbortHandler)
}

// attempt sends the request to the leased replica and forwards its response.
func (e *exchange) attempt(ctx context.Context, lease *fleet.Lease, p *progress) attemptResult {
	e.noteAttempt(lease, p)
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := e.startWatchdog(ctx, attemptCtx, cancel, lease, p)
	defer watchdog.stop()
	startedAt := time.Now()
	if begin := e.server.opts.BeginRun; begin != nil && e.route.Kind != routing.Streaming {
		e.endRun = sync.OnceFunc(begin(startedAt))
		defer e.endRun()
	}
	response, err := e.server.opts.Client.Do(attemptCtx, e.upstreamRequest(lease, p))
	return e.forward(startedAt, response, err, lease, p, watchdog)
}

// noteAttempt counts and records an attempt.
func (e *exchange) noteAttempt(lease *fleet.Lease, p *progress) {
	s := e.server
	p.triedReplicas++
	e.record.attempt(lease)
	if p.triedReplicas > 1 {
		s.metrics.repeatedAttempts.Inc(1)
	}
	s.metrics.copiedPromptTokens.Inc(int64(lease.Copied))
	s.metrics.zones.attempt(&lease.Choice)
	if lease.Limit.Limited {
		s.metrics.limitedAttempts.Inc(1)
	}
}

// forward forwards the response of an attempt, or handles the error without one.
func (e *exchange) forward(startedAt time.Time, response *upstream.Response, err error, lease *fleet.Lease, p *progress, watchdog *watchdog) (result attemptResult) {
	defer func() {
		if result != attemptDone {
			watchdog.collect(p)
		}
	}()
	if err != nil {
		return e.handleNoResponse(err, lease, p)
	}
	defer response.Close()
	reply := e.noteHead(startedAt, response, lease, p)
	if reply.NotExecuted {
		return e.handleNotExecuted(response, lease)
	}
	e.noteRun(p, lease.Member.ID)
	p.gaveUp, e.runSentAt = false, startedAt
	lease.HeadReceived()
	if response.Unframed {
		e.beginProbes(lease)
		defer e.endProbes()
	}
	if response.Header.Get("Content-Length") == "" && response.Status < http.StatusMultipleChoices {
		response.Body = &inTimeReader{Reader: response.Body, exchange: e}
	}
	stream := e.route.Kind == routing.Streaming && response.Status == http.StatusOK && isEventStream(response.Header)
	if !stream {
		e.countRun(lease, startedAt)
	}
	if e.endRun != nil {
		e.endRun()
	}
	switch {
	case stream:
		return e.forwardStream(response, reply, lease, p, watchdog)
	case e.refusalUnproven(response.Status):
		return e.withholdRefusal(response, lease, p)
	}
	return e.forwardPlain(response, reply, lease, p, watchdog)
}

// countRun counts the usage of a request when it begins to run at a replica for the first time. Requests that other
// hosts run are counted there.
func (e *exchange) countRun(lease *fleet.Lease, at time.Time) {
	if e.server.opts.CountRun == nil || e.runCounted || e.team == nil || lease.Member.ID == "" {
		return
	}
	e.runCounted = true
	e.server.opts.CountRun(e.team.Name, at)
}

// noteHead records what the head of a response tells.
func (e *exchange) noteHead(startedAt time.Time, response *upstream.Response, lease *fleet.Lease, p *progress) routing.Reply {
	for _, name := range []string{declinedHeader, declinedForHeader, servedByHeader, ranHeader} {
		response.Header.Del(name) // only hosts set them
	}
	p.sentAttempts++
	e.server.metrics.firstByte.RecordDuration(time.Since(startedAt))
	reply := e.server.opts.Dialect.Reply(response.Status, response.Header)
	e.recordLimit(reply, response.Status, lease)
	e.recordBrittle(reply, response.Status, lease)
	e.recordLeaving(reply, response, lease)
	e.recordRest(reply, lease)
	return reply
}

// upstreamRequest returns the request to the leased replica.
func (e *exchange) upstreamRequest(lease *fleet.Lease, p *progress) *upstream.Request {
	return &upstream.Request{
		Address: lease.Member.Address, ID: e.call.AttemptID, Method: e.r.Method, Target: e.requestTarget(), Host: e.r.Host,
		Header: func() http.Header { return e.upstreamHeader(lease, p) }, Body: e.body,
		NewConnection: !e.route.Repeatable() && e.route.Kind != routing.Streaming,
		MaxIdle:       e.maxIdle(lease.Member.Upstream),
		Check:         e.processCheck(lease, p),
		Matches: func(status int, h http.Header, reused bool) bool {
			id := e.server.opts.Dialect.Reply(status, h).AttemptID
			// On a reused connection, a response without an ID may be a late duplicate of
			// the response to an earlier request.
			return id == e.call.AttemptID || id == "" && !reused
		},
	}
}

// upstreamHeader returns the header of a request that is written to the leased replica now.
func (e *exchange) upstreamHeader(lease *fleet.Lease, p *progress) http.Header {
	dispatch := routing.Dispatch{
		ReplicaID: lease.Member.ID, Remaining: e.timeLeft(time.Now()), Urgency: -1, LastEventID: p.lastEventID,
		CopyFrom: lease.CopyFrom,
	}
	if e.team != nil {
		dispatch.Team = e.team.Name
	}
	if e.route.Kind == routing.Streaming {
		dispatch.Urgency = e.urgency()
	}
	return e.server.opts.Dialect.Forward(e.r.Header, dispatch)
}

// maxIdle returns the limit of idle connections to a replica of the upstream.
func (e *exchange) maxIdle(upstreamName string) int {
	u := e.table.Upstream(upstreamName)
	if u == nil {
		return 0
	}
	return maxIdlePerHost(u.MaxConns, e.server.opts.Budget.Hosts())
}

// maxIdlePerHost divides half of the connections that a replica accepts among the hosts, for idle
// ones; the others remain for requests. The result is that of upstream.Request.MaxIdle.
func maxIdlePerHost(maxConns, hosts int) int {
	const idleDivisor = 2
	if maxConns <= 0 {
		return 0
	}
	if share := maxConns / idleDivisor / hosts; share > 0 {
		return share
	}
	return -1
}

// urgency ranks a request on the engines' scale from 0, the most urgent, to 9. The team's
// priority ranks first, the route's priority second; without a team priority, the route's
// alone decides.
func (e *exchange) urgency() int {
	// routePriorities is the number of route priorities distinguished within a team priority.
	const routePriorities, leastUrgent = 3, 9
	rank := e.route.Priority
	if e.team != nil && e.team.Priority != nil {
		rank = *e.team.Priority*routePriorities + min(e.route.Priority, routePriorities-1)
	}
	return min(max(rank, 0), leastUrgent)
}

// handleNoResponse ends an attempt without a response.
func (e *exchange) handleNoResponse(err error, lease *fleet.Lease, p *progress) attemptResult {
	now := time.Now()
	result, leaseResult := attemptMayHaveRun, fleet.ConnectionLost
	if errors.Is(err, upstream.ErrNotConnected) {
		leaseResult = fleet.Unconnected
		p.noteUnconnected(err)
	}
	if errors.Is(err, upstream.ErrNotSent) {
		result = attemptNotRun
	} else {
		p.sentAttempts++
		e.noteRun(p, lease.Member.ID)
		p.gaveUp = false
	}
	if e.exhausted(err) {
		leaseResult = fleet.Failed
	}
	if e.abandoned() || errors.Is(err, upstream.ErrUnexpectedProcess) {
		leaseResult = fleet.Abandoned
	}
	e.endLease(lease, leaseResult, now)
	e.server.opts.Logger.Info().Str("request", e.call.AttemptID).Str("replica", lease.Member.ID).Str("software", lease.Member.SoftwareVersion).
		Bool("sent", result == attemptMayHaveRun).Str("parts", e.partIDs()).Err(err).Msg("attempt had no answer")
	return result
}

// partIDs returns the IDs of the prompt parts in order, as the caller gave them.
func (e *exchange) partIDs() string {
	var b []byte
	for i, p := range e.call.Prompt {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendUint(b, p.ID, 16)
	}
	return string(b)
}

// endLease ends the lease and inspects the replica if it may have crashed.
func (e *exchange) endLease(lease *fleet.Lease, leaseResult fleet.Result, now time.Time) {
	if lease.End(leaseResult, now) {
		go e.server.inspect(lease.Member, e.call.AttemptID)
	}
}

// handleNotExecuted ends an attempt whose request the replica refused without running it.
func (e *exchange) handleNotExecuted(response *upstream.Response, lease *fleet.Lease) attemptResult {
	leaseResult := fleet.Rejected
	if response.Status == http.StatusMisdirectedRequest {
		leaseResult = fleet.Misdirected
	}
	lease.End(leaseResult, time.Now())
	response.MarkRefused()
	response.Discard()
	e.server.opts.Logger.Info().Str("request", e.call.AttemptID).Str("replica", lease.Member.ID).
		Int("status", response.Status).Msg("replica refused the request as not run")
	return attemptNotRun
}
