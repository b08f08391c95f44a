package router

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rs/xid"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/membudget"
	"heatherbarrow/internal/outcome"
)

// statusCallerGone is logged for requests whose caller hung up. No caller sees it.
const statusCallerGone = 499

// Causes for which a request's or an attempt's context ends.
var (
	errCallerGone   = errors.New("caller hung up or does not read the answer")
	errDeadline     = errors.New("deadline of the request has passed")
	errRouteTimeout = errors.New("service did not answer within the route's timeout")
	errPreempted    = errors.New("stream was preempted by a higher tier")
)

// exchange is one caller's request and its answer.
type exchange struct {
	server     *Server
	snapshot   *bundle.Snapshot
	w          http.ResponseWriter
	controller *http.ResponseController
	r          *http.Request
	id         string
	team       *bundle.Team
	teamIdx    int
	class      *bundle.Class
	classIdx   int
	body       []byte
	arrived    time.Time
	deadline   time.Time
	accepted   bool // the request was well-formed and its caller known
	// outcome is what the attempts so far amount to, while none has completed.
	outcome     outcome.Outcome
	deadlineSet time.Time // when the write deadline was last set
	timing      timing

	bodyMemory   *membudget.Account
	answerMemory *membudget.Account // of an answer that is collected
}

// releaseMemory gives back the memory of the request and of its answer.
func (e *exchange) releaseMemory() {
	e.bodyMemory.Close()
	e.answerMemory.Close()
}

// timing is what attainment is judged by.
type timing struct {
	first  time.Time // first token
	last   time.Time // last token
	tokens int
}

func (s *Server) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	e := &exchange{
		server: s, w: w, controller: http.NewResponseController(w), r: r,
		id: xid.New().String(), arrived: time.Now(), outcome: outcome.NotRun,
	}
	w.Header().Set(outcome.HeaderRequestID, e.id)
	return e
}

// begin authenticates a request and reads its body. It answers and returns
// false when the request cannot be accepted.
func (s *Server) begin(w http.ResponseWriter, r *http.Request) (*exchange, bool) {
	e := s.newExchange(w, r)
	e.snapshot = s.snapshot.Load()
	if e.snapshot == nil {
		e.refuse(http.StatusServiceUnavailable, "not_ready", "the host has no bundle yet", time.Second)
		return nil, false
	}
	if !e.authenticate() || !e.readBody() {
		e.releaseMemory()
		return nil, false
	}
	e.deadline = e.arrived.Add(e.class.Deadline.Std())
	if s.drain.TooLate(time.Now(), e.deadline) {
		e.releaseMemory()
		e.refuseAtStop()
		return nil, false
	}
	if left := s.drain.Left(time.Now()); left < time.Until(e.deadline) {
		e.deadline = time.Now().Add(left) // no replica may be free by then
	}
	s.records.Begin(outcome.Record{RequestID: e.id, Team: e.team.Name, Class: e.class.Name, Started: e.arrived})
	return e, true
}

// context returns the context of the request's work, which ends with the caller, the deadline or the host.
func (e *exchange) context() (context.Context, context.CancelFunc) {
	bound, unbind := e.server.drain.Bound(e.r.Context())
	ctx, cancel := context.WithDeadlineCause(bound, e.deadline, errDeadline)
	return ctx, func() {
		cancel()
		unbind()
	}
}

func (e *exchange) authenticate() bool {
	key, ok := strings.CutPrefix(e.r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		e.refuse(http.StatusUnauthorized, "missing_key", "Authorization must be a Bearer key", 0)
		return false
	}
	// The key is looked up by its hash, so the time taken tells nothing of the key.
	e.team, e.teamIdx, ok = e.snapshot.TeamByKey(key)
	if !ok {
		e.refuse(http.StatusUnauthorized, "wrong_key", "the key belongs to no team", 0)
		return false
	}
	name := e.r.Header.Get(outcome.HeaderClass)
	if name == "" {
		e.refuse(http.StatusBadRequest, "missing_class", "the header "+outcome.HeaderClass+" must name a class of service", 0)
		return false
	}
	e.class, e.classIdx, ok = e.snapshot.Class(name)
	if !ok {
		e.refuse(http.StatusBadRequest, "unknown_class", "no class is named "+strconv.Quote(name), 0)
		return false
	}
	if !e.snapshot.TeamMayUse(e.teamIdx, e.classIdx) {
		e.refuse(http.StatusForbidden, "class_not_allowed", "the team may not use class "+name, 0)
		return false
	}
	return true
}

func (e *exchange) readBody() bool {
	limits := &e.snapshot.Bundle.Limits
	if e.r.ContentLength > limits.MaxBodyBytes {
		e.refuseBody(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than "+strconv.FormatInt(limits.MaxBodyBytes, 10)+" bytes", 0)
		return false
	}
	unbound := e.server.drain.BoundRead(e.controller.SetReadDeadline, time.Now().Add(limits.BodyTimeout.Std()))
	e.bodyMemory = e.server.BodyMemory.Open(e.team.Name)
	// MaxBytesReader fails before the body is longer than the limit of ReadAll.
	body, _, err := e.bodyMemory.ReadAll(http.MaxBytesReader(e.w, e.r.Body, limits.MaxBodyBytes), max(int(e.r.ContentLength), 0), int(limits.MaxBodyBytes))
	unbound(err == nil)
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case err == nil:
	case errors.Is(err, membudget.ErrExhausted):
		e.refuseBody(http.StatusServiceUnavailable, "body_memory", "the bodies of other requests occupy the memory of the host", retrySoon)
		return false
	case errors.As(err, &tooLarge):
		e.refuseBody(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than "+strconv.FormatInt(limits.MaxBodyBytes, 10)+" bytes", 0)
		return false
	case errors.As(err, &timeout) && timeout.Timeout() && e.server.drain.Over():
		e.refuseAtStop()
		return false
	case errors.As(err, &timeout) && timeout.Timeout():
		e.refuseBody(http.StatusRequestTimeout, "body_timeout", "the body did not arrive within "+limits.BodyTimeout.Std().String(), 0)
		return false
	default:
		e.refuseBody(http.StatusBadRequest, "body_incomplete", "the body is not complete", 0)
		return false
	}
	e.body = body
	return true
}

// refuseBody refuses a request whose body was not read to its end, so that its
// connection cannot be used again.
func (e *exchange) refuseBody(status int, code, message string, retryAfter time.Duration) {
	if e.r.ProtoMajor == 1 {
		e.w.Header().Set("Connection", "close")
	}
	e.refuse(status, code, message, retryAfter)
}

// refuseAtStop refuses a request that may not end before its host does. With HTTP/2 too, net/http lets the caller
// leave its connection when the answer has this header.
func (e *exchange) refuseAtStop() {
	e.w.Header().Set("Connection", "close")
	e.refuse(http.StatusServiceUnavailable, codeHostStops, "the host stops, other hosts take the request", retrySoon)
}

// errorBody is the body of every answer that reports an error.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
	RequestID string          `json:"request_id"`
	Outcome   outcome.Outcome `json:"outcome,omitempty"`
}

// refuse answers with outcome not-run. retryAfter 0 means that a retry cannot help.
func (e *exchange) refuse(status int, code, message string, retryAfter time.Duration) {
	if retryAfter > 0 {
		seconds := int((retryAfter + time.Second - 1) / time.Second)
		e.w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	e.server.metrics.refused(code)
	e.fail(status, outcome.NotRun, code, message)
}

// fail records the outcome and answers with an error.
func (e *exchange) fail(status int, o outcome.Outcome, code, message string) {
	e.finish(o, status, code)
	e.w.Header().Set(outcome.HeaderOutcome, string(o))
	e.writeError(status, o, code, message)
}

func (e *exchange) writeError(status int, o outcome.Outcome, code, message string) {
	body := errorBody{RequestID: e.id, Outcome: o}
	body.Error.Code = code
	body.Error.Message = message
	data, _ := json.Marshal(body)
	_ = e.writeWhole(status, "application/json", append(data, '\n'))
}

// writeWhole writes an answer of known length. No error means that the whole
// answer was handed to the connection.
func (e *exchange) writeWhole(status int, contentType string, body []byte) error {
	if contentType != "" {
		e.w.Header().Set("Content-Type", contentType)
	}
	if status != http.StatusNoContent && status != http.StatusNotModified && e.r.Method != http.MethodHead {
		e.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	e.extendWriteDeadline()
	defer e.endWrite()
	e.w.WriteHeader(status)
	if len(body) > 0 && e.r.Method != http.MethodHead {
		if _, err := e.w.Write(body); err != nil {
			return errCallerGone
		}
	}
	if e.controller.Flush() != nil {
		return errCallerGone
	}
	return nil
}

// extendWriteDeadline gives the caller the whole write timeout again. With
// HTTP/1.1 it skips the call while most of the timeout is left, because it is made
// for each token.
func (e *exchange) extendWriteDeadline() {
	const fraction = 8
	timeout := e.server.Settings.WriteTimeout.Std()
	now := time.Now()
	if e.r.ProtoMajor == 1 && now.Sub(e.deadlineSet) < timeout/fraction {
		return
	}
	e.deadlineSet = now
	_ = e.controller.SetWriteDeadline(now.Add(timeout))
}

// endWrite ends the bound on a write. With HTTP/2 a deadline that passes resets
// the stream although nothing is being written, for example while the request
// waits in the queue; with HTTP/1.1 it only fails the next write.
func (e *exchange) endWrite() {
	if e.r.ProtoMajor != 1 {
		_ = e.controller.SetWriteDeadline(time.Time{})
	}
}

// ended tells why a request's or attempt's context has ended; nil while it has not.
func ended(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	cause := context.Cause(ctx)
	if errors.Is(cause, context.Canceled) {
		return errCallerGone
	}
	return cause
}

// finish records the outcome, counts and logs it.
func (e *exchange) finish(o outcome.Outcome, status int, code string) {
	e.server.records.Finish(e.id, o, status)
	elapsed := time.Since(e.arrived)
	event := e.server.Logger.Info().Str("request", e.id).Str("outcome", string(o)).Int("status", status).Dur("elapsed", elapsed)
	if code != "" {
		event = event.Str("code", code)
	}
	if e.class != nil && e.team != nil {
		event = event.Str("class", e.class.Name).Str("team", e.team.Name)
	}
	if e.timing.tokens > 0 {
		event = event.Int("tokens", e.timing.tokens).Dur("first_token", e.timing.first.Sub(e.arrived))
	}
	event.Msg("request finished")
	e.server.metrics.finished(e, o, elapsed)
}
