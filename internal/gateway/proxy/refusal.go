package proxy

import (
	"net/http"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/gateway/upstream"
)

// reasonRefusalUnproven is given to the caller of a request whose replica refused it and may have run it all the same.
const reasonRefusalUnproven = "refusal_unproven"

// isRefusal reports whether callers take the status for the promise that the request has not run and never will. They send one that
// must run once again after such an answer, and after no other.
func isRefusal(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// refusalUnproven reports whether an answer that does not say that the request has not run would promise just that to the caller.
// Requests that may be repeated are not concerned: their callers send them again after any failure.
func (e *exchange) refusalUnproven(status int) bool {
	return isRefusal(status) && !e.route.Repeatable()
}

// withholdRefusal ends an attempt for which refusalUnproven holds. The caller gets an answer of the gateway that promises nothing.
// It has no seal, as a sealed answer bears the replica's own status.
func (e *exchange) withholdRefusal(response *upstream.Response, lease *fleet.Lease, p *progress) attemptResult {
	p.refusalUnproven, p.possibleRuns = true, max(p.possibleRuns, 1)
	lease.FirstByte(time.Now())
	e.endLease(lease, e.brokenResult(fleet.Failed), time.Now())
	response.Discard()
	e.server.metrics.unprovenRefusals.Inc(1)
	e.server.opts.Logger.Warn().Str("request", e.call.AttemptID).Str("replica", lease.Member.ID).Str("helper", e.record.helper).
		Int("status", response.Status).Msg("replica's refusal does not say that the request has not run")
	return attemptMayHaveRun
}

// refusedByHost reports whether a host has refused the request itself, so that no replica runs it. A replica's answer that the host
// passes on has the seal or the ID of the request, or the host names the replicas that ran it.
func refusedByHost(response *upstream.Response, reply routing.Reply) bool {
	return isRefusal(response.Status) && !reply.Sealed && reply.AttemptID == "" && response.Header.Get(ranHeader) == ""
}
