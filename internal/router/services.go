package router

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/forward"
	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/scheduler"
	"heatherbarrow/internal/scheduling"
)

// maxKeyLength bounds an idempotency key.
const maxKeyLength = 256

// outcomeTimeout bounds the call that hands an outcome to control.
const outcomeTimeout = 2 * time.Second

// passedHeaders are the request headers handed on to a plain service.
var passedHeaders = []string{"Content-Type", "Accept", outcome.HeaderKey}

func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	e, ok := s.begin(w, r)
	if !ok {
		return
	}
	name := chi.URLParam(r, "upstream")
	path := "/" + chi.URLParam(r, "*")
	upstream, index, ok := e.snapshot.Upstream(name)
	if !ok || upstream.Kind != bundle.KindService {
		e.refuse(http.StatusNotFound, "unknown_upstream", "no service is named "+name, 0)
		return
	}
	if !e.snapshot.UpstreamServes(index, e.classIdx) {
		e.refuse(http.StatusForbidden, "class_not_allowed", name+" does not serve class "+e.class.Name, 0)
		return
	}
	route, ok := e.snapshot.Route(name, r.Method, path)
	if !ok {
		e.refuse(http.StatusNotFound, "unknown_route", "the bundle has no route for "+r.Method+" "+path, 0)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), e.deadline)
	defer cancel()
	c := &serviceCall{exchange: e, route: route, upstream: index, path: path}
	c.run(ctx)
}

// serviceCall is a call to a plain service in progress.
type serviceCall struct {
	*exchange
	route    *bundle.Route
	upstream int
	path     string
	claimed  bool
	claimKey []byte
	tried    []scheduling.ReplicaID
}

func (c *serviceCall) run(ctx context.Context) {
	if !c.route.Repeatable && !c.claim(ctx) {
		return
	}
	for attempt := 0; ; attempt++ {
		assignment, err := c.wait(ctx, scheduling.Request{
			ID: c.id, Class: c.classIdx, Team: c.teamIdx, Upstreams: []int{c.upstream},
			Arrived: c.arrived, Deadline: c.deadline, Attempt: attempt, Exclude: c.tried,
		})
		if err != nil {
			c.refused(err)
			return
		}
		answer, err := c.attempt(ctx, assignment)
		if err == nil {
			c.answer(answer)
			return
		}
		if !c.mayRetry(ctx, err, attempt) {
			c.failed(err)
			return
		}
		c.tried = append(c.tried, assignment.Replica)
	}
}

// claim obtains the right to run the call once. It answers and returns false
// when there is none.
func (c *serviceCall) claim(ctx context.Context) bool {
	key := c.r.Header.Get(outcome.HeaderKey)
	if key == "" || len(key) > maxKeyLength {
		c.refuse(http.StatusBadRequest, "missing_idempotency_key", "this route needs an Idempotency-Key of 1 to 256 bytes", 0)
		return false
	}
	c.claimKey = digest(c.team.Name, c.route.Upstream, c.route.Method, c.path, key)
	response, err := c.server.Feed.Claim(ctx, &rpc.ClaimRequest{
		Key:      c.claimKey,
		BodyHash: digest(c.r.Method, c.r.URL.RequestURI(), string(c.body)),
		Attempt:  c.id,
		WaitMs:   uint32(c.snapshot.Bundle.Limits.ClaimWait.Std().Milliseconds()),
	})
	if err != nil {
		c.refuse(http.StatusServiceUnavailable, "claim_unavailable", "no claim could be obtained, the call was not run", time.Second)
		return false
	}
	switch response.Result {
	case rpc.ClaimResult_CLAIM_RESULT_GRANTED:
		c.claimed = true
		return true
	case rpc.ClaimResult_CLAIM_RESULT_CONFLICT:
		c.refuse(http.StatusConflict, "key_conflict", "the Idempotency-Key was used with a different request", 0)
	case rpc.ClaimResult_CLAIM_RESULT_IN_PROGRESS:
		c.fail(http.StatusConflict, outcome.Unknown, "in_progress", "request "+response.FirstAttempt+" holds this Idempotency-Key and its outcome is not known")
	case rpc.ClaimResult_CLAIM_RESULT_FINISHED:
		c.repeatAnswer(ctx, response)
	default:
		c.refuse(http.StatusServiceUnavailable, "claim_unavailable", "no claim could be obtained: "+response.Reason, time.Second)
	}
	return false
}

// repeatAnswer answers a repeated key with the first outcome, and with the
// first answer where the host that ran the call still has it.
func (c *serviceCall) repeatAnswer(ctx context.Context, first *rpc.ClaimResponse) {
	o := outcome.Outcome(first.Outcome)
	stored, err := c.server.Feed.Lookup(ctx, &rpc.LookupRequest{RequestId: first.FirstAttempt, Team: c.team.Name})
	c.w.Header().Set("Heatherbarrow-First-Request-Id", first.FirstAttempt)
	if err != nil || !stored.Found || stored.Status == 0 {
		status := http.StatusOK
		if o != outcome.Completed {
			status = http.StatusBadGateway
		}
		c.fail(status, o, "answer_not_kept", "request "+first.FirstAttempt+" ran this call; its answer is no longer kept")
		return
	}
	c.answerWith(o, int(stored.Status), stored.ContentType, stored.Body)
}

func digest(parts ...string) []byte {
	h := sha256.New()
	for _, part := range parts {
		var length [8]byte
		for i := range length {
			length[i] = byte(len(part) >> (8 * i))
		}
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(part))
	}
	return h.Sum(nil)
}

func (c *serviceCall) attempt(ctx context.Context, a *scheduler.Assignment) (*forward.ServiceAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.route.Timeout.Std())
	defer cancel()
	header := make(http.Header)
	for _, name := range passedHeaders {
		if value := c.r.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	header.Set("X-Request-Id", c.id)
	path := c.path
	if c.r.URL.RawQuery != "" {
		path += "?" + c.r.URL.RawQuery
	}
	answer, err := c.server.Forward.Service(ctx, forward.ServiceCall{
		Address: a.Address, Method: c.r.Method, Path: path, Header: header, Body: c.body,
		OnSend: func() { c.server.records.Sent(c.id) },
	})
	a.Finish(resultOf(ctx, err, 0))
	return answer, err
}

func (c *serviceCall) mayRetry(ctx context.Context, err error, attempt int) bool {
	const maxAttempts = 3
	if ctx.Err() != nil || attempt+1 >= maxAttempts {
		return false
	}
	return outcomeOf(err) == outcome.NotRun || c.route.Repeatable
}

func (c *serviceCall) refused(err error) {
	c.record(outcome.NotRun, 0)
	var refusal *scheduling.RefusedError
	if errors.As(err, &refusal) {
		c.refuse(http.StatusTooManyRequests, refusal.Reason, refusal.Error(), refusal.RetryAfter)
		return
	}
	c.refuse(http.StatusServiceUnavailable, scheduling.ReasonDeadline, "no replica was free before the deadline", time.Second)
}

func (c *serviceCall) failed(err error) {
	o := outcomeOf(err)
	c.record(o, http.StatusBadGateway)
	if o == outcome.NotRun {
		c.refuse(http.StatusServiceUnavailable, "upstream_unavailable", err.Error(), time.Second)
		return
	}
	c.fail(http.StatusBadGateway, o, "upstream_error", err.Error())
}

func (c *serviceCall) answer(a *forward.ServiceAnswer) {
	o := outcome.Completed
	if a.Status >= http.StatusInternalServerError {
		o = outcome.Failed
	}
	c.record(o, a.Status)
	c.answerWith(o, a.Status, a.Header.Get("Content-Type"), a.Body)
}

func (c *serviceCall) answerWith(o outcome.Outcome, status int, contentType string, body []byte) {
	kept := body
	if c.route.Repeatable {
		kept = nil
	}
	c.finish(o, status, contentType, kept)
	if contentType != "" {
		c.w.Header().Set("Content-Type", contentType)
	}
	c.w.Header().Set(outcome.HeaderOutcome, string(o))
	c.w.WriteHeader(status)
	_, _ = c.w.Write(body)
}

// record hands the outcome of a claimed call to control. The caller may be gone
// by now, so the call does not depend on its context.
func (c *serviceCall) record(o outcome.Outcome, status int) {
	if !c.claimed {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.r.Context()), outcomeTimeout)
	defer cancel()
	_, err := c.server.Feed.RecordOutcome(ctx, &rpc.OutcomeRequest{
		Key: c.claimKey, Attempt: c.id, Outcome: string(o), Status: uint32(status),
	})
	if err != nil {
		c.server.Logger.Warn().Err(err).Str("request", c.id).Msg("outcome could not be recorded")
	}
}

func (s *Server) serveLookup(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	snapshot := s.snapshot.Load()
	if snapshot == nil {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	team, _, ok := snapshot.TeamByKey(key)
	if !ok {
		http.Error(w, "the key belongs to no team", http.StatusUnauthorized)
		return
	}
	stored, err := s.Feed.Lookup(r.Context(), &rpc.LookupRequest{RequestId: id, Team: team.Name})
	if local := s.lookup(id, team.Name); local.Found {
		stored, err = local, nil
	}
	if err != nil || !stored.Found {
		http.Error(w, "no host that can be reached knows this request", http.StatusNotFound)
		return
	}
	w.Header().Set(outcome.HeaderRequestID, id)
	w.Header().Set(outcome.HeaderOutcome, stored.Outcome)
	writeJSON(w, outcomeEvent{RequestID: id, Outcome: outcome.Outcome(stored.Outcome)})
}

// lookup returns the record of a request of the team. A request in progress has
// the outcome that would be true if the host stopped now.
func (s *Server) lookup(id, team string) *rpc.StoredAnswer {
	record, ok := s.records.Get(id)
	if !ok || record.Team != team {
		return &rpc.StoredAnswer{}
	}
	return &rpc.StoredAnswer{
		Found: true, Outcome: string(record.Outcome), Status: uint32(record.Status),
		ContentType: record.ContentType, Body: record.Body,
	}
}
