package router

import (
	"errors"
	"net/http"
	"time"

	"heatherbarrow/internal/drain"
	"heatherbarrow/internal/forward"
	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/scheduler"
	"heatherbarrow/internal/scheduling"
)

// codeHostStops is the code of requests that end because their host stops.
const codeHostStops = "host_stops"

// retrySoon is the time after which a caller may retry a request that a replica
// or control could not take at the moment.
const retrySoon = time.Second

// answerError answers a request that no attempt completed, with the outcome of
// all its attempts. retryAfter applies if nothing ran and the error has no time of its own.
func (e *exchange) answerError(err error, retryAfter time.Duration) {
	var refusal *scheduling.RefusedError
	var status *forward.StatusError
	code := errorCode(err)
	notRun := e.outcome == outcome.NotRun
	switch {
	case errors.Is(err, errCallerGone):
		e.abandon(e.outcome)
	case errors.As(err, &refusal) && notRun:
		e.refuse(refusalStatus(refusal), code, refusal.Error(), refusal.RetryAfter)
	case notRun && errors.Is(err, errDeadline):
		e.refuse(http.StatusServiceUnavailable, code, "no replica was free before the deadline", retryAfter)
	case notRun && errors.Is(err, drain.ErrHostStops):
		e.refuseAtStop()
	case notRun:
		e.refuse(http.StatusServiceUnavailable, code, err.Error(), retryAfter)
	case errors.As(err, &status) && status.Status/100 == http.StatusBadRequest/100:
		e.fail(status.Status, e.outcome, code, err.Error())
	case errors.Is(err, errDeadline), errors.Is(err, drain.ErrHostStops), errors.Is(err, errRouteTimeout), errors.Is(err, forward.ErrTimeout):
		e.fail(http.StatusGatewayTimeout, e.outcome, code, err.Error())
	default:
		e.fail(http.StatusBadGateway, e.outcome, code, err.Error())
	}
}

func refusalStatus(r *scheduling.RefusedError) int {
	switch r.Reason {
	case scheduling.ReasonQuarantined, scheduling.ReasonPartQuarantined:
		return http.StatusUnprocessableEntity
	case scheduling.ReasonNoReplica, scheduling.ReasonDeadline, scheduler.ReasonResting:
		return http.StatusServiceUnavailable
	default:
		return http.StatusTooManyRequests
	}
}

// errorCode returns the code that callers, logs and metrics know an error by.
func errorCode(err error) string {
	var refusal *scheduling.RefusedError
	var status *forward.StatusError
	switch {
	case errors.As(err, &refusal):
		return refusal.Reason
	case errors.As(err, &status):
		return "upstream_error"
	}
	for _, known := range [...]struct {
		err  error
		code string
	}{
		{errCallerGone, "caller_gone"},
		{errPreempted, "preempted"},
		{errDeadline, scheduling.ReasonDeadline},
		{drain.ErrHostStops, codeHostStops},
		{errRouteTimeout, "upstream_timeout"},
		{errAnswerTooLong, "answer_too_large"},
		{forward.ErrTooLarge, "answer_too_large"},
		{forward.ErrTimeout, "upstream_timeout"},
		{forward.ErrNotSent, "upstream_unreachable"},
		{forward.ErrRefused, "upstream_refused"},
		{forward.ErrHeld, "upstream_refused"},
		{forward.ErrForeignFrame, "foreign_frame"},
		{forward.ErrMissingEnd, "missing_end"},
	} {
		if errors.Is(err, known.err) {
			return known.code
		}
	}
	return "upstream_broken"
}

// abandon ends a request whose caller has gone. It breaks the connection,
// because returning would end the answer as if it were whole.
func (e *exchange) abandon(o outcome.Outcome) {
	e.finish(o, statusCallerGone, errorCode(errCallerGone))
	panic(http.ErrAbortHandler)
}
