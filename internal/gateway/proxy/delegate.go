package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/netio"
	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/gateway/upstream"
)

// A host may lose its links to all replicas while callers and other hosts still reach it. The balancer may go
// on sending callers there, so the host delegates their requests: another host runs them as if the caller had
// sent them there, and the answer passes through this host.

const (
	// DelegatePath precedes the path of a delegated request.
	DelegatePath = "/delegate"
	// declinedHeader marks the answer of a host that does not take the delegated request. Its value is
	// declinedStopping if the host stops and takes only requests that no other host runs, which have
	// lastResortHeader.
	declinedHeader   = "Heatherbarrow-Declined"
	declinedStopping = "stopping"
	lastResortHeader = "Heatherbarrow-Last-Resort"
	// servedByHeader names, in the answer to a delegated request, a replica that says that it leaves.
	servedByHeader = "Heatherbarrow-Served-By"
	// maxHelpers bounds the hosts that a request is offered to. One may have died, one may be cut off too.
	maxHelpers = 3
	// maxUnconnected is the number of replicas that must refuse a connection before a request is delegated.
	// One may have crashed.
	maxUnconnected = 2
)

// Helpers knows the hosts that requests can be delegated to.
type Helpers interface {
	// Helper returns the address of a host that is not among the tried ones.
	Helper(tried []string) (address string, ok bool)
	// Declined notes that a host takes no delegated requests now.
	Declined(address string)
}

// DelegateHandler returns the handler of requests that other hosts delegate to this one.
func (s *Server) DelegateHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		decline := ""
		switch {
		case !s.opts.Known() || s.opts.Fleet.CutOff():
			decline = "1"
		case s.draining.Load() && r.Header.Get(lastResortHeader) == "":
			decline = declinedStopping
		}
		r.Header.Del(lastResortHeader)
		if decline != "" {
			w.Header().Set(declinedHeader, decline)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.serveFrom(w, r, strings.TrimPrefix(r.RequestURI, DelegatePath), true)
	})
}

// shouldDelegate reports whether another host should run the request.
func (e *exchange) shouldDelegate(p *progress) bool {
	if e.delegated || p.noHelper || e.server.opts.Helpers == nil {
		return false
	}
	return p.delegated || p.unreachable || p.unconnected >= maxUnconnected || e.server.opts.Fleet.CutOff()
}

// noteUnconnected records that an attempt could not connect to its replica.
func (p *progress) noteUnconnected(err error) {
	p.unconnected++
	var timeout net.Error
	p.unreachable = p.unreachable || errors.As(err, &timeout) && timeout.Timeout()
}

// delegate offers the request to other hosts and forwards the answer of the one that takes it. It returns
// false if there is none. Hosts that stop come last, as they may not be able to finish it.
func (e *exchange) delegate(ctx context.Context, p *progress) (attemptResult, bool) {
	go e.server.tryContact()
	for len(p.helpers) < maxHelpers {
		address, ok := e.server.opts.Helpers.Helper(p.helpers)
		if !ok {
			break
		}
		p.helpers = append(p.helpers, address)
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
	s := e.server
	request := e.delegatedRequest(address, p)
	if lastResort {
		request.Header.Set(lastResortHeader, "1")
	}
	response, err := s.opts.Client.Do(ctx, request)
	if err != nil {
		s.opts.Logger.Info().Str("request", e.call.AttemptID).Str("helper", address).Err(err).Msg("host does not take the request over")
		if errors.Is(err, upstream.ErrNotSent) {
			return attemptNotRun, false
		}
		p.sentAttempts++
		p.possibleRuns++
		return attemptMayHaveRun, true
	}
	defer response.Close()
	if reason := response.Header.Get(declinedHeader); reason != "" {
		response.Discard()
		if reason == declinedStopping {
			p.stopping = append(p.stopping, address)
		} else {
			s.opts.Helpers.Declined(address)
		}
		return attemptNotRun, false
	}
	s.metrics.delegated.Inc(1)
	e.record.helper = address
	p.delegated = true
	p.sentAttempts++
	return e.forwardDelegated(response, p), true
}

// delegatedRequest returns the caller's request as it is sent to another host.
func (e *exchange) delegatedRequest(address string, p *progress) *upstream.Request {
	d := routing.Delegation{Remaining: e.timeLeft(time.Now()), LastEventID: p.lastEventID}
	if p.headerSent {
		d.Resumes = e.firstAttemptID()
	}
	return &upstream.Request{
		Address: address, ID: e.call.AttemptID, Method: e.r.Method, Target: DelegatePath + e.requestTarget(), Host: e.r.Host,
		Header: e.server.opts.Dialect.Delegate(e.r.Header, d), Body: e.body, NewConnection: !e.route.Repeatable(),
	}
}

// forwardDelegated forwards the answer of the host that runs the request.
func (e *exchange) forwardDelegated(response *upstream.Response, p *progress) attemptResult {
	lease := fleet.Delegated()
	reply := e.server.opts.Dialect.Reply(response.Status, response.Header)
	if id := response.Header.Get(servedByHeader); id != "" {
		response.Header.Del(servedByHeader)
		if reply.Leaving && e.server.opts.Fleet.RecordLeaving(id, time.Now()) {
			e.server.noteLeaving(e.call.AttemptID, id)
		}
	}
	if e.route.Kind == routing.Streaming && response.Status == http.StatusOK && isEventStream(response.Header) {
		p.possibleRuns++
		return e.forwardStream(response, reply, lease, p, newWatchdog(stoppedTimer()))
	}
	refused := response.Status == http.StatusServiceUnavailable && !reply.Sealed
	if !refused {
		p.possibleRuns++
	}
	body, complete, err := upstream.ReadAll(response.Body, maxBufferedBodyBytes)
	switch {
	case err != nil:
		return e.handleUnusable(err, fleet.Truncated, lease)
	case p.headerSent, refused && p.possibleRuns > 0:
		return attemptFailed
	case !complete:
		return e.sendUnbuffered(response, body, lease)
	}
	response.MarkComplete()
	e.sendBuffered(&bufferedResponse{status: response.Status, header: response.Header, body: body})
	switch {
	case refused:
		e.record.outcome, e.record.reason = outcomeNotRun, "refused_by_helper"
	case !reply.Sealed && response.Status >= http.StatusInternalServerError:
		e.record.outcome, e.record.reason = outcomeUnknown, "failed_at_helper"
	}
	return attemptDone
}

// tryContact tries to connect to a replica if this host seems to be cut off from all of them.
func (s *Server) tryContact() {
	member, due := s.opts.Fleet.ContactTrial(time.Now())
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), netio.DialTimeout)
	defer cancel()
	err := s.opts.Client.Connect(ctx, member.Address, 0)
	if err == nil {
		s.opts.Fleet.RecordContact(time.Now())
	}
	s.opts.Logger.Info().Str("replica", member.ID).Err(err).Msg("host cut off from replicas tried to connect")
}
