package proxy

import (
	"context"
	"net/http"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/origin"
)

const (
	// findOriginTimeout bounds the search for the origin of a stream at other hosts, which are some
	// milliseconds away.
	findOriginTimeout = 250 * time.Millisecond
	// unknownOriginRetryAfter is the retry time for a stream whose origin is not known. Hosts that know it
	// may be cut off for the moment.
	unknownOriginRetryAfter = time.Second
)

// Origins knows which software version of an upstream began a stream.
type Origins interface {
	// Record notes that the attempt brought the first event of a stream.
	Record(attemptID string, o origin.Origin, now time.Time)
	// Find returns the origin of the stream whose first event the attempt brought, if it is one of the
	// given upstreams.
	Find(ctx context.Context, attemptID string, upstreams []string) (origin.Origin, bool)
}

// findOrigin sets the origin of a stream that the caller takes up. If it is not known, findOrigin refuses
// the request and returns false: replicas of another version would go on with a text that does not fit.
func (e *exchange) findOrigin(ctx context.Context, p *progress) bool {
	upstreams := make([]string, len(e.route.WeightedUpstreams))
	for i, target := range e.route.WeightedUpstreams {
		upstreams[i] = target.Upstream
	}
	findCtx, cancel := context.WithTimeout(ctx, findOriginTimeout)
	defer cancel()
	o, known := e.server.opts.Origins.Find(findCtx, e.call.Resumes, upstreams)
	if !known {
		e.refuse(http.StatusServiceUnavailable, "unknown_origin", e.boundRetryAfter(unknownOriginRetryAfter))
		return false
	}
	p.origin, p.lastEventID = &o, e.call.LastEventID
	return true
}

// recordOrigin notes the origin of a stream when its first event has arrived.
func (e *exchange) recordOrigin(lease *fleet.Lease, p *progress) {
	if p.origin != nil {
		return // the caller takes the stream up
	}
	p.origin = &origin.Origin{Upstream: lease.Member.Upstream, Version: lease.Member.SoftwareVersion}
	e.server.opts.Origins.Record(e.call.AttemptID, *p.origin, time.Now())
}
