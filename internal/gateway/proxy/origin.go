package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/origin"
)

const (
	// findOriginTimeout bounds the search for the origin of a stream at other hosts, which are some
	// milliseconds away.
	findOriginTimeout = 250 * time.Millisecond
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

// findOrigin sets the origin of a stream that the caller takes up. If it is not known, findOrigin refuses
// the request and returns false: replicas of another version would go on with a text that does not fit.
func (e *exchange) findOrigin(ctx context.Context, p *progress) bool {
	findCtx, cancel := context.WithTimeout(ctx, findOriginTimeout)
	defer cancel()
	o, err := e.server.opts.Origins.Find(findCtx, e.call.Resumes, e.route.Upstreams())
	switch {
	case errors.Is(err, origin.ErrUnreachable):
		e.refuse(http.StatusServiceUnavailable, "origin_unreachable", e.boundRetryAfter(originUnreachableRetryAfter))
		return false
	case err != nil:
		// No retry time: the stream cannot go on later either.
		e.refuse(http.StatusServiceUnavailable, "unknown_origin", 0)
		return false
	}
	p.origin, p.lastEventID = &o, e.call.LastEventID
	return true
}

// recordOrigin notes the origin of a stream when its first event has arrived.
func (e *exchange) recordOrigin(lease *fleet.Lease, p *progress) {
	if lease.Member.ID == "" {
		return // the host that runs the request records it
	}
	if p.origin == nil {
		p.origin = &origin.Origin{Upstream: lease.Member.Upstream, Version: lease.Member.SoftwareVersion}
	}
	if !e.route.Resumable {
		return // its caller cannot take it up
	}
	e.server.opts.Origins.Record(e.firstAttemptID(), *p.origin, time.Now())
}

// firstAttemptID returns the ID of the attempt that brought the first event of the stream.
func (e *exchange) firstAttemptID() string {
	if e.call.Continues() {
		return e.call.Resumes
	}
	return e.call.AttemptID
}
