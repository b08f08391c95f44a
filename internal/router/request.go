package router

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rs/xid"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/outcome"
)

// exchange is one caller's request and its answer.
type exchange struct {
	server   *Server
	snapshot *bundle.Snapshot
	w        http.ResponseWriter
	r        *http.Request
	id       string
	team     *bundle.Team
	teamIdx  int
	class    *bundle.Class
	classIdx int
	body     []byte
	arrived  time.Time
	deadline time.Time
}

// begin authenticates a request and reads its body. It answers and returns
// false when the request cannot be accepted.
func (s *Server) begin(w http.ResponseWriter, r *http.Request) (*exchange, bool) {
	e := &exchange{server: s, w: w, r: r, id: xid.New().String(), arrived: time.Now()}
	w.Header().Set(outcome.HeaderRequestID, e.id)
	e.snapshot = s.snapshot.Load()
	if e.snapshot == nil {
		e.refuse(http.StatusServiceUnavailable, "not_ready", "the host has no bundle yet", time.Second)
		return nil, false
	}
	if !e.authenticate() || !e.readBody() {
		return nil, false
	}
	e.deadline = e.arrived.Add(e.class.Deadline.Std())
	s.records.Begin(outcome.Record{RequestID: e.id, Team: e.team.Name, Class: e.class.Name, Started: e.arrived})
	return e, true
}

func (e *exchange) authenticate() bool {
	key, ok := strings.CutPrefix(e.r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		e.refuse(http.StatusUnauthorized, "missing_key", "Authorization must be a Bearer key", 0)
		return false
	}
	e.team, e.teamIdx, ok = e.snapshot.TeamByKey(key)
	if !ok {
		e.refuse(http.StatusUnauthorized, "wrong_key", "the key belongs to no team", 0)
		return false
	}
	name := e.r.Header.Get(outcome.HeaderClass)
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
	controller := http.NewResponseController(e.w)
	_ = controller.SetReadDeadline(time.Now().Add(limits.BodyTimeout.Std()))
	body, err := io.ReadAll(http.MaxBytesReader(e.w, e.r.Body, limits.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		e.refuse(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than "+strconv.FormatInt(limits.MaxBodyBytes, 10)+" bytes", 0)
		return false
	case err != nil:
		e.refuse(http.StatusRequestTimeout, "body_incomplete", "the body did not arrive in time", 0)
		return false
	}
	_ = controller.SetReadDeadline(time.Time{})
	e.body = body
	return true
}

// errorBody is the body of every answer that reports an error.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
	RequestID string          `json:"request_id"`
	Outcome   outcome.Outcome `json:"outcome"`
}

// refuse answers with outcome not-run. retryAfter 0 means that a retry cannot help.
func (e *exchange) refuse(status int, code, message string, retryAfter time.Duration) {
	if retryAfter > 0 {
		seconds := int((retryAfter + time.Second - 1) / time.Second)
		e.w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	e.fail(status, outcome.NotRun, code, message)
}

// fail answers with an error and records the outcome.
func (e *exchange) fail(status int, o outcome.Outcome, code, message string) {
	e.finish(o, status, "", nil)
	body := errorBody{RequestID: e.id, Outcome: o}
	body.Error.Code = code
	body.Error.Message = message
	e.w.Header().Set("Content-Type", "application/json")
	e.w.Header().Set(outcome.HeaderOutcome, string(o))
	e.w.WriteHeader(status)
	_ = json.NewEncoder(e.w).Encode(body)
}

// finish records the outcome and logs it.
func (e *exchange) finish(o outcome.Outcome, status int, contentType string, body []byte) {
	e.server.records.Finish(e.id, o, status, contentType, body)
	event := e.server.Logger.Info().Str("request", e.id).Str("outcome", string(o)).Int("status", status).
		Dur("elapsed", time.Since(e.arrived))
	if e.class != nil && e.team != nil {
		event = event.Str("class", e.class.Name).Str("team", e.team.Name)
	}
	event.Msg("request finished")
}
