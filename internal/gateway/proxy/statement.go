package proxy

import (
	"net/http"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/gateway/upstream"
)

// recordLimit applies what a replica's answer says of the replica's request limit. An answer
// without a limit ends one only if the replica ran the request.
func (e *exchange) recordLimit(reply routing.Reply, status int, lease *fleet.Lease) {
	if reply.InvalidLimit != "" {
		e.server.opts.Logger.Warn().Str("request", e.call.AttemptID).Str("replica", lease.Member.ID).
			Str("value", reply.InvalidLimit).Msg("replica states a request limit that cannot be read")
		return
	}
	if status == http.StatusMisdirectedRequest || !reply.Limit.Limited && (!reply.Sealed || reply.NotExecuted) {
		return // from another process, or nothing that shows the end of a limit
	}
	if lease.RecordLimit(reply.Limit, time.Now()) {
		e.server.opts.Logger.Info().Str("request", e.call.AttemptID).Str("replica", lease.Member.ID).
			Bool("limited", reply.Limit.Limited).Float64("per_second", reply.Limit.PerSecond).Msg("request limit of replica changed")
	}
}

// recordBrittle applies what a replica's answer says of the rejections that it bears.
func (e *exchange) recordBrittle(reply routing.Reply, status int, lease *fleet.Lease) {
	if status == http.StatusMisdirectedRequest || !reply.Brittle && !reply.Sealed {
		return // from another process, or nothing that the replica itself says
	}
	if lease.RecordBrittle(reply.Brittle, reply.MaxRejections) {
		e.server.opts.Logger.Info().Str("request", e.call.AttemptID).Str("replica", lease.Member.ID).
			Bool("brittle", reply.Brittle).Float64("max_rejections_per_second", reply.MaxRejections).Msg("rejections that replica bears changed")
	}
}

// recordLeaving applies what an answer says of the replica's leaving. If another host delegated the request, the
// answer names the replica to it.
func (e *exchange) recordLeaving(reply routing.Reply, response *upstream.Response, lease *fleet.Lease) {
	if reply.InvalidLeaving != "" {
		e.server.opts.Logger.Warn().Str("request", e.call.AttemptID).Str("replica", lease.Member.ID).
			Str("value", reply.InvalidLeaving).Msg("replica states that it leaves in a way that cannot be read")
	}
	if !reply.Leaving || response.Status == http.StatusMisdirectedRequest {
		return // nothing said, or by another process
	}
	if e.delegated {
		response.Header.Set(servedByHeader, lease.Member.ID)
	}
	if lease.RecordLeaving(time.Now()) {
		e.server.noteLeaving(e.call.AttemptID, lease.Member.ID)
	}
}

// recordRest applies the time for which a replica that rejected the request wants none of this host.
func (e *exchange) recordRest(reply routing.Reply, lease *fleet.Lease) {
	if reply.InvalidRest != "" {
		e.server.opts.Logger.Warn().Str("request", e.call.AttemptID).Str("replica", lease.Member.ID).
			Str("value", reply.InvalidRest).Msg("replica states a time without requests that cannot be read")
	}
	if reply.Rest > 0 && lease.RecordRest(reply.Rest, time.Now()) {
		e.server.metrics.restingReplicas.Inc(1)
		e.server.opts.Logger.Info().Str("request", e.call.AttemptID).Str("replica", lease.Member.ID).
			Dur("rest_ms", reply.Rest).Msg("replica wants no requests for a time")
	}
}

// noteLeaving logs and counts a replica that has said that it leaves.
func (s *Server) noteLeaving(attemptID, replica string) {
	s.metrics.leavingReplicas.Inc(1)
	s.opts.Logger.Info().Str("request", attemptID).Str("replica", replica).Msg("replica says that it leaves")
}
