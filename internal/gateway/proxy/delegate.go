package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/gateway/upstream"
)

// A host may lose its links to all replicas while callers and other hosts still reach it. The balancer may go
// on sending callers there, so the host delegates their requests: another host runs them as if the caller had
// sent them there, and the answer passes through this host.

const (
	// DelegatePath precedes the path of a delegated request.
	DelegatePath = "/delegate"
	// declinedHeader marks the answer of a host that does not take the delegated request. Its value is declined, or
	// declinedStopping if the host stops and takes only requests that no other host runs, which have
	// lastResortHeader, declinedBehind if its configuration is older than the version in configVersionHeader, with which
	// the delegating host has admitted the request, or declinedLate if it may take the next request: it stops before the
	// time limit of this one, or declinedForHeader tells why. Hosts of other versions take a value that they do not know
	// for declined, so that new reasons go into declinedForHeader.
	declinedHeader   = "Heatherbarrow-Declined"
	declined         = "1"
	declinedStopping = "stopping"
	declinedLate     = "late"
	declinedBehind   = "behind"
	// declinedForHeader comes with declinedLate. Its value is declinedUnreachable if the host has found no replica of the
	// request's upstream that it reaches, declinedUnreached if it has reached none that it may send this request to but
	// may reach others, or declinedOrigin if it cannot tell now which version began the stream.
	declinedForHeader   = "Heatherbarrow-Declined-For"
	declinedUnreachable = "unreachable"
	declinedUnreached   = "unreached"
	declinedOrigin      = "origin"
	lastResortHeader    = "Heatherbarrow-Last-Resort"
	configVersionHeader = "Heatherbarrow-Config-Version"
	// servedByHeader names, in the answer to a delegated request, a replica that says that it leaves.
	servedByHeader = "Heatherbarrow-Served-By"
	// delegationHeader holds the delegation of a request, see parseDelegation. Hosts of earlier versions neither
	// send nor read it.
	delegationHeader = "Heatherbarrow-Delegation"
	// ranHeader lists, in the answer to a request with delegationHeader, the IDs of the replicas that may have
	// run it.
	ranHeader = "Heatherbarrow-Ran"
	// maxHelpers bounds the hosts that a request is offered to. One may have died, one may be cut off too.
	maxHelpers = 3
	// maxUnconnected is the number of replicas that must refuse a connection before a request is delegated.
	// One may have crashed.
	maxUnconnected = 2
)

// Helpers knows the hosts that requests can be delegated to.
type Helpers interface {
	// Helper returns the address of a host that is not among the tried ones and may reach replicas of the upstream.
	Helper(upstream string, tried []string) (address string, ok bool)
	// Declined notes that a host takes no delegated requests now.
	Declined(address string)
	// Unreachable notes that a host reaches no replica of the upstream now.
	Unreachable(address, upstream string)
}

// delegation is what the host that took a request from its caller tells the one that it delegates it to. The
// request may run once there: the first host knows all of its runs, and decides on further ones.
type delegation struct {
	runsLeft int      // runs that the route still allows
	counted  bool     // the request counts for the retry budget, and its next arrival at a replica is paid for
	ran      []string // IDs of the replicas that may have run the request
}

// String returns the delegation as it is sent.
func (d *delegation) String() string {
	v := url.Values{"runs": {strconv.Itoa(d.runsLeft)}, "ran": d.ran}
	if d.counted {
		v.Set("counted", "1")
	}
	return v.Encode()
}

// parseDelegation is the inverse of String. It returns nil for a request of a host of an earlier version.
func parseDelegation(text string) *delegation {
	v, err := url.ParseQuery(text)
	runsLeft, numberErr := strconv.Atoi(v.Get("runs"))
	if err != nil || numberErr != nil {
		return nil
	}
	return &delegation{runsLeft: runsLeft, counted: v.Get("counted") != "", ran: v["ran"]}
}

// maxAttempts returns the number of replicas that may run the request at this host.
func (e *exchange) maxAttempts() int {
	if e.delegation != nil {
		return e.delegation.runsLeft
	}
	return e.route.MaxAttempts
}

// newProgress returns the progress of a request before its first attempt at this host.
func (e *exchange) newProgress() progress {
	if e.delegation == nil {
		return progress{}
	}
	return progress{counted: e.delegation.counted, exclude: slices.Clone(e.delegation.ran)}
}

// noteRun records that a replica may have run the request.
func (e *exchange) noteRun(p *progress, replicaID string) {
	p.possibleRuns++
	p.ran = append(p.ran, replicaID)
	if e.delegation != nil && !p.headerSent {
		e.w.Header().Set(ranHeader, url.Values{"ran": p.ran}.Encode())
	}
}

// noteDelegatedRuns records the runs that the answer to a delegated request names. A host of an earlier version
// names none and may have used all that the route allows.
func (e *exchange) noteDelegatedRuns(p *progress, h http.Header) {
	text := h.Get(ranHeader)
	h.Del(ranHeader)
	if v, err := url.ParseQuery(text); err == nil && text != "" {
		p.possibleRuns += len(v["ran"])
		p.ran = append(p.ran, v["ran"]...)
		return
	}
	p.possibleRuns = max(p.possibleRuns, e.route.MaxAttempts)
}

// DelegateHandler returns the handler of requests that other hosts delegate to this one.
func (s *Server) DelegateHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lastResort := r.Header.Get(lastResortHeader) != ""
		decline := ""
		switch {
		case !s.opts.Known() || s.cutOff():
			decline = declined
		case s.opts.Table().Version < configVersionOf(r):
			decline = declinedBehind
		case s.drain.Begun() && !lastResort:
			decline = declinedStopping
		}
		d := parseDelegation(r.Header.Get(delegationHeader))
		r.Header.Del(lastResortHeader)
		r.Header.Del(configVersionHeader)
		r.Header.Del(delegationHeader)
		if decline != "" {
			w.Header().Set(declinedHeader, decline)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.handle(&exchange{
			w: w, r: r, target: strings.TrimPrefix(r.RequestURI, DelegatePath), delegated: true, lastResort: lastResort, delegation: d,
		})
	})
}

// reachedNone reports whether this host runs a request for another one, has sent it to no replica, and could not connect
// to one. A host whose kept connections live on does not take itself for cut off, although no new connection leads to a replica.
func (e *exchange) reachedNone(p *progress, refusal *fleet.Refusal) bool {
	if !e.delegated || p.sentAttempts > 0 {
		return false
	}
	if refusal == nil {
		return p.unconnected > 0
	}
	switch refusal.Reason {
	case fleet.ReasonPoison, fleet.ReasonPoisonPart:
		return false
	case fleet.ReasonUnreachable:
		return true
	}
	return p.unconnected > 0
}

// declineUnreached declines a request for which reachedNone holds. A software version that has crashed, or replicas with a
// backlog, say nothing about other requests of the upstream.
func (e *exchange) declineUnreached(p *progress, refusal *fleet.Refusal) {
	reason := declinedUnreached
	if p.origin == nil && (refusal == nil || refusal.Reason == fleet.ReasonUnreachable || refusal.Reason == fleet.ReasonNoReplica) {
		reason = declinedUnreachable
	}
	e.decline(reason)
}

// decline lets the host that delegated the request, which is refused next, offer it to another one. The reason is a value of
// declinedForHeader.
func (e *exchange) decline(reason string) {
	e.record.declined = reason
	e.w.Header().Set(declinedHeader, declinedLate)
	e.w.Header().Set(declinedForHeader, reason)
}

// declineOf returns why a host does not take the request, or "" if it has taken it. A reason that is not known here is
// left out.
func declineOf(h http.Header) (reason string) {
	reason = h.Get(declinedHeader)
	if known := h.Get(declinedForHeader); reason == declinedLate && slices.Contains([]string{declinedUnreachable, declinedUnreached, declinedOrigin}, known) {
		return known
	}
	return reason
}

// configVersionOf returns the version of the configuration with which another host has admitted a request, or 0 if
// that host does not tell it.
func configVersionOf(r *http.Request) int64 {
	version, err := strconv.ParseInt(r.Header.Get(configVersionHeader), 10, 64)
	if err != nil {
		return 0
	}
	return version
}

// shouldDelegate reports whether another host should run the request.
func (e *exchange) shouldDelegate(p *progress) bool {
	if e.delegated || p.noHelper || e.server.opts.Helpers == nil {
		return false
	}
	return p.delegated || p.originElsewhere || p.unreachable || p.unconnected >= maxUnconnected || e.server.opts.Fleet.CutOff()
}

// noteUnconnected records that an attempt could not connect to its replica. Hosts that took no requests before it may do so now.
func (p *progress) noteUnconnected(err error) {
	p.unconnected++
	p.noHelper = false
	var timeout net.Error
	p.unreachable = p.unreachable || errors.As(err, &timeout) && timeout.Timeout()
}

// delegate offers the request to other hosts and forwards the answer of the one that takes it. It returns
// false if there is none. Hosts that ran it before come after others, and those that stop come last, as they may not
// be able to finish it.
func (e *exchange) delegate(ctx context.Context, p *progress) (attemptResult, bool) {
	go e.server.tryContact()
	for len(p.helpers) < maxHelpers {
		address, ok := e.server.opts.Helpers.Helper(e.record.upstream, p.helpers)
		if !ok {
			break
		}
		p.helpers = append(p.helpers, address)
		if result, taken := e.offer(ctx, address, false, p); taken {
			return result, true
		}
	}
	for len(p.ranAt) > 0 {
		address := p.ranAt[0]
		p.ranAt = p.ranAt[1:]
		if result, taken := e.offer(ctx, address, false, p); taken {
			return result, true
		}
	}
	for len(p.stopping) > 0 {
		address := p.stopping[0]
		p.stopping = p.stopping[1:]
		if result, taken := e.offer(ctx, address, true, p); taken {
			return result, true
		}
	}
	p.noHelper = true
	return attemptNotRun, false
}

// offer offers the request to another host and forwards the answer if the host takes it.
func (e *exchange) offer(ctx context.Context, address string, lastResort bool, p *progress) (result attemptResult, taken bool) {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := e.startDelegationWatchdog(ctx, attemptCtx, cancel, p)
	defer watchdog.stop()
	response, err := e.server.opts.Client.Do(attemptCtx, e.delegatedRequest(address, lastResort, p))
	return e.forwardOffer(address, response, err, p, watchdog)
}

// delegatedRequest returns the request to another host.
func (e *exchange) delegatedRequest(address string, lastResort bool, p *progress) *upstream.Request {
	return &upstream.Request{
		Address: address, ID: e.call.AttemptID, Method: e.r.Method, Target: DelegatePath + e.requestTarget(), Host: e.r.Host,
		Header: func() http.Header { return e.delegatedHeader(lastResort, p) }, Body: e.body, NewConnection: !e.route.Repeatable(),
	}
}

// forwardOffer forwards the answer of a host that was offered the request, or handles the error without one. It returns
// false if the host does not take the request.
func (e *exchange) forwardOffer(address string, response *upstream.Response, err error, p *progress, watchdog *watchdog) (result attemptResult, taken bool) {
	s := e.server
	if err != nil {
		s.opts.Logger.Info().Str("request", e.call.AttemptID).Str("helper", address).Err(err).Msg("host does not take the request over")
		if errors.Is(err, upstream.ErrNotSent) {
			return attemptNotRun, false
		}
		if !watchdog.received() {
			s.opts.Helpers.Declined(address) // it may be paused
		}
		p.sentAttempts++
		p.possibleRuns++
		p.delegated, p.counted = true, true
		watchdog.collect(p)
		return attemptMayHaveRun, true
	}
	defer response.Close()
	if reason := declineOf(response.Header); reason != "" {
		response.Discard()
		e.noteDeclined(reason, address, p)
		return attemptNotRun, false
	}
	s.metrics.delegated.Inc(1)
	e.record.helper = address
	p.delegated, p.counted = true, true
	p.sentAttempts++
	runs := len(p.ran)
	result = e.forwardDelegated(response, p, watchdog)
	if len(p.ran) > runs {
		p.ranAt = append(p.ranAt, address)
	}
	if result != attemptDone {
		watchdog.collect(p)
	}
	return result, true
}

// noteDeclined notes that a host does not take the request, for the reason that declineOf returned.
func (e *exchange) noteDeclined(reason, address string, p *progress) {
	e.server.opts.Logger.Info().Str("request", e.call.AttemptID).Str("helper", address).Str("declined", reason).Msg("host does not take the request over")
	switch reason {
	case declinedStopping:
		p.stopping = append(p.stopping, address)
	case declinedBehind, declinedLate, declinedUnreached, declinedOrigin: // it may take the next request
	case declinedUnreachable:
		e.server.opts.Helpers.Unreachable(address, e.record.upstream)
	default:
		e.server.opts.Helpers.Declined(address)
	}
}

// delegatedHeader returns the header of the caller's request as it is written to another host now.
func (e *exchange) delegatedHeader(lastResort bool, p *progress) http.Header {
	d := routing.Delegation{Remaining: e.timeLeft(time.Now()), LastEventID: p.lastEventID}
	if p.headerSent {
		d.Resumes = e.firstAttemptID()
	}
	header := e.server.opts.Dialect.Delegate(e.r.Header, d)
	header.Set(configVersionHeader, strconv.FormatInt(e.table.Version, 10))
	header.Del(lastResortHeader) // of the caller
	if lastResort {
		header.Set(lastResortHeader, "1")
	}
	header.Set(delegationHeader, (&delegation{runsLeft: max(e.route.MaxAttempts, 1) - p.possibleRuns, counted: p.counted, ran: p.ran}).String())
	return header
}

// forwardDelegated forwards the answer of the host that runs the request.
func (e *exchange) forwardDelegated(response *upstream.Response, p *progress, watchdog *watchdog) attemptResult {
	lease := fleet.Delegated()
	reply := e.server.opts.Dialect.Reply(response.Status, response.Header)
	if id := response.Header.Get(servedByHeader); id != "" {
		response.Header.Del(servedByHeader)
		if reply.Leaving && e.server.opts.Fleet.RecordLeaving(id, time.Now()) {
			e.server.noteLeaving(e.call.AttemptID, id)
		}
	}
	refused := refusedByHost(response, reply)
	if !refused {
		e.noteDelegatedRuns(p, response.Header)
	}
	if !refused && e.refusalUnproven(response.Status) {
		return e.withholdRefusal(response, lease, p)
	}
	if e.route.Kind == routing.Streaming && response.Status == http.StatusOK && isEventStream(response.Header) {
		return e.forwardStream(response, reply, lease, p, watchdog)
	}
	body, complete, err := e.bufferBody(response, p)
	switch {
	case err != nil:
		return e.handleUnusable(err, fleet.Truncated, lease)
	case complete && e.mayBePart(response, lease, p):
		return e.handleUnusable(errMayBePart, fleet.ConnectionLost, lease)
	case p.headerSent, refused && p.possibleRuns > 0:
		return attemptFailed
	case !complete && !watchdog.received():
		return e.handleUnusable(errStalled, fleet.Failed, lease)
	case !complete:
		return e.sendUnbuffered(response, body, lease, p)
	}
	response.MarkComplete()
	buffered := &bufferedResponse{status: response.Status, header: response.Header, body: body}
	switch {
	case refused:
		e.sendBuffered(buffered)
		e.record.outcome, e.record.reason = outcomeNotRun, "refused_by_helper"
		return attemptDone
	case response.Status < http.StatusInternalServerError:
		e.sendBuffered(buffered)
		return attemptDone
	case reply.Sealed:
		e.keepFailure(buffered, response, p)
		return attemptFailed
	}
	return attemptMayHaveRun
}
