package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/origin"
	"heatherbarrow/internal/gateway/upstream"
)

const (
	// findOriginTimeout bounds the search for the origin of a stream at other hosts and in the store. A caller that is
	// refused waits as long before it comes back.
	findOriginTimeout = originUnreachableRetryAfter
	// originUnreachableRetryAfter is the retry time while hosts that may know the origin of a stream cannot be
	// asked. They are cut off or restarting, which takes seconds.
	originUnreachableRetryAfter = time.Second
)

// Origins knows which software version of an upstream began a stream.
type Origins interface {
	// Record notes that the attempt brought the first event of a stream.
	Record(attemptID string, o origin.Origin, now time.Time)
	// Complete notes that the caller has been sent all of that stream.
	Complete(attemptID string)
	// Find returns the origin of the stream whose first event the attempt brought, if it is one of the
	// given upstreams, or origin.ErrUnknown or origin.ErrUnreachable.
	Find(ctx context.Context, attemptID string, upstreams []string) (origin.Origin, error)
}

// findOrigin sets the origin of a stream that the caller takes up, and returns its upstream. If the origin is not known,
// findOrigin refuses the request and returns false: replicas of another version would go on with a text that does not fit.
// A process that only this host cannot ask for it may answer another one, which then runs the request.
func (e *exchange) findOrigin(ctx context.Context, p *progress) (upstreamName string, ok bool) {
	findCtx, cancel := context.WithTimeout(ctx, findOriginTimeout)
	defer cancel()
	o, err := e.lookUpOrigin(findCtx, e.call.Resumes)
	p.lastEventID = e.call.LastEventID
	switch {
	case errors.Is(err, origin.ErrUnreachable):
		if o.Upstream != "" && !e.delegated && e.server.opts.Helpers != nil {
			p.originElsewhere = true
			return o.Upstream, true
		}
		e.refuseWithoutOrigin()
		return "", false
	case err != nil, o.Version == origin.UnknownVersion:
		// No retry time: the stream cannot go on later either.
		e.refuse(http.StatusServiceUnavailable, "unknown_origin", 0)
		return "", false
	}
	p.origin = &o
	return o.Upstream, true
}

// refuseWithoutOrigin refuses a request whose stream's origin may be known later. A host that has delegated it offers it to
// others.
func (e *exchange) refuseWithoutOrigin() {
	if e.delegated {
		e.decline(declinedOrigin)
	}
	e.refuse(http.StatusServiceUnavailable, "origin_unreachable", e.boundRetryAfter(originUnreachableRetryAfter))
}

// mayGoOnElsewhere reports whether another host can send the rest of a stream, whose beginning the caller has, to a
// replica that has not run it: hosts know the origin of the stream, and there is such a replica of its version. It is
// called while the stream's next event is awaited.
func (e *exchange) mayGoOnElsewhere(ctx context.Context, p *progress) bool {
	ctx, cancel := context.WithTimeout(ctx, findOriginTimeout)
	defer cancel()
	o, err := e.lookUpOrigin(ctx, e.firstAttemptID())
	if err != nil || o.Version == origin.UnknownVersion {
		return false
	}
	req := e.fleetRequest(o.Upstream, p)
	req.SoftwareVersion, req.Exclude = &o.Version, p.ran
	return e.server.opts.Fleet.OthersMayServe(req, time.Now())
}

// recordOrigin notes the origin of a stream when its first event has arrived. processKnown means that it is known
// which process sent it.
func (e *exchange) recordOrigin(lease *fleet.Lease, processKnown bool, p *progress) {
	if lease.Member.ID == "" {
		return // the host that runs the request records it
	}
	if p.origin == nil {
		p.origin = &origin.Origin{Upstream: lease.Member.Upstream, Version: lease.SoftwareVersion()}
		switch {
		case !processKnown:
			p.origin.Version = origin.UnknownVersion
		case e.processMatters(lease) && !lease.ProcessProved():
			p.assumed = &assumption{
				server: e.server, attemptID: e.firstAttemptID(), lease: lease, origin: *p.origin,
				maxIdle: e.maxIdle(lease.Member.Upstream),
			}
			p.origin.Version = origin.AssumedVersion(lease.Member.ID, lease.Member.Started)
		}
	}
	if !e.route.Resumable {
		return // its caller cannot take it up
	}
	e.server.opts.Origins.Record(e.firstAttemptID(), *p.origin, time.Now())
	if p.assumed != nil {
		p.assumed.proveLater()
	}
}

// firstAttemptID returns the ID of the attempt that brought the first event of the stream.
func (e *exchange) firstAttemptID() string {
	if e.call.Continues() {
		return e.call.Resumes
	}
	return e.call.AttemptID
}

// registrationsCurrent reports whether the registrations of the replicas are up to date.
func (s *Server) registrationsCurrent() bool {
	return s.opts.RegistrationsCurrent == nil || s.opts.RegistrationsCurrent()
}

// processMatters reports whether it matters, and can be told, which process of the replica runs a stream: other replicas
// may continue it, and the registration states the start of its process.
func (e *exchange) processMatters(lease *fleet.Lease) bool {
	return e.route.Resumable && lease.Member.Started != 0
}

// checkTimeout bounds the time in which a replica's process tells which one it is. It needs no slot for that.
const checkTimeout = 200 * time.Millisecond

// processCheck returns the check that finds which process of the replica a stream is sent to, and that a stream that
// goes on is sent to one of its software version; nil if that does not matter.
func (e *exchange) processCheck(lease *fleet.Lease, p *progress) *upstream.Check {
	if !e.processMatters(lease) {
		return nil
	}
	s := e.server
	fits := func() bool { return p.origin == nil || lease.HasVersion(p.origin.Version) }
	check := &upstream.Check{
		Target: s.opts.Dialect.ProcessTarget(), Required: p.origin != nil,
		Broken: func() { lease.DoubtProcess(time.Now()) },
		Known: func(openedAt time.Time) bool {
			return lease.ProcessKnown(openedAt, s.registrationsCurrent() && p.origin == nil, time.Now()) && fits()
		},
	}
	check.Matches = s.answersQuestion
	check.Verify = func(askedAt time.Time, status int, body []byte) bool {
		if _, stated := s.recordProcess(lease, e.call.AttemptID, askedAt, status, body); !stated {
			return false
		}
		return fits()
	}
	if lease.MayAskProcess(time.Now()) {
		check.Timeout = checkTimeout
	}
	return check
}
