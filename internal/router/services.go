package router

import (
	"context"
	"maps"
	"net/http"
	"net/url"
	"path"
	"strings"

	"github.com/go-chi/chi/v5"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/forward"
	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/scheduler"
	"heatherbarrow/internal/scheduling"
)

func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	e, ok := s.begin(w, r)
	if !ok {
		return
	}
	defer e.releaseMemory()
	c, ok := e.serviceCall()
	if !ok {
		return
	}
	e.accepted = true
	ctx, cancel := e.context()
	defer cancel()
	c.run(ctx)
}

// serviceCall is a call to a plain service in progress.
type serviceCall struct {
	*exchange
	route    *bundle.Route
	upstream int
	path     string // below /services/{upstream}
	rawPath  string // percent-encoded path
	claimed  bool
	claimKey []byte
	tried    []scheduling.ReplicaID
}

// serviceCall finds the route of a request. It answers and returns false when
// there is none.
func (e *exchange) serviceCall() (*serviceCall, bool) {
	name := chi.URLParam(e.r, "upstream")
	upstream, index, ok := e.snapshot.Upstream(name)
	if !ok || upstream.Kind != bundle.KindService {
		e.refuse(http.StatusNotFound, "unknown_upstream", "no service is named "+name, 0)
		return nil, false
	}
	if !e.snapshot.UpstreamServes(index, e.classIdx) {
		e.refuse(http.StatusForbidden, "class_not_allowed", name+" does not serve class "+e.class.Name, 0)
		return nil, false
	}
	c := &serviceCall{exchange: e, upstream: index}
	c.rawPath = strings.TrimPrefix(e.r.URL.EscapedPath(), "/services/"+name)
	if c.path, ok = plainPath(c.rawPath); !ok {
		e.refuse(http.StatusBadRequest, "malformed_path", "the path must not have empty or dot segments", 0)
		return nil, false
	}
	if c.route, ok = e.snapshot.Route(name, e.r.Method, c.path); !ok {
		e.refuse(http.StatusNotFound, "unknown_route", "the bundle has no route for "+e.r.Method+" "+c.path, 0)
		return nil, false
	}
	return c, true
}

// plainPath decodes a path. It refuses paths that a service could take for
// another one than the route was found for, such as /stock/../orders.
func plainPath(raw string) (string, bool) {
	decoded, err := url.PathUnescape(raw)
	if err != nil || !strings.HasPrefix(decoded, "/") {
		return "", false
	}
	clean := path.Clean(decoded)
	return decoded, clean == decoded || clean+"/" == decoded
}

func (c *serviceCall) run(ctx context.Context) {
	if !c.route.Repeatable && !c.claim(ctx) {
		return
	}
	var lastErr error
	var attempts attemptCount
	for {
		request := c.schedulingRequest()
		request.Attempt = attempts.all
		request.PreviousNotRun = lastErr != nil && outcomeOf(lastErr) == outcome.NotRun
		assignment, err := c.acquire(ctx, request)
		if err != nil {
			c.giveUp(err)
			return
		}
		answer, err := c.attempt(ctx, assignment)
		if err == nil {
			defer answer.Release()
			c.passOn(answer)
			return
		}
		c.tried = append(c.tried, assignment.Replica)
		attempts = attempts.after(err)
		if !attempts.left() || !c.mayRetry(ctx, err) {
			c.giveUp(err)
			return
		}
		lastErr = err
		c.server.metrics.class(c.class).retries.Inc(1)
	}
}

func (c *serviceCall) schedulingRequest() scheduling.Request {
	return scheduling.Request{
		ID: c.id, Class: c.classIdx, Team: c.teamIdx, Upstreams: []int{c.upstream},
		Arrived: c.arrived, Deadline: c.deadline, Exclude: c.tried, Generation: c.snapshot.Generation,
	}
}

// attempt makes the call on one replica and notes the attempt's outcome.
func (c *serviceCall) attempt(ctx context.Context, a *scheduler.Assignment) (*forward.ServiceAnswer, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, c.route.Timeout.Std(), errRouteTimeout)
	defer cancel()
	answer, err := c.server.Forward.Service(ctx, forward.ServiceCall{
		Address: a.Address, Method: c.r.Method, Path: c.rawPath, Query: c.r.URL.RawQuery,
		Header: c.requestHeader(), Body: c.body, Others: func() []string { return c.otherAddresses(a.Replica) }, Repeatable: c.route.Repeatable,
		OnSend: func() { c.server.records.Sent(c.id) }, OnLimit: c.recordLimit(a),
		MayStart: func() bool { return !a.Held() }, OnStatement: c.recordStatement(a),
	})
	cause := ended(ctx)
	a.Finish(resultOf(cause, err, 0))
	if err == nil {
		return answer, nil
	}
	c.outcome = outcome.Combine(c.outcome, outcomeOf(err))
	if cause != nil {
		return nil, cause
	}
	return nil, err
}

// otherAddresses returns the addresses of the service's replicas but the given one.
func (c *serviceCall) otherAddresses(replica scheduling.ReplicaID) []string {
	upstream := &c.snapshot.Bundle.Upstreams[c.upstream]
	addresses := make([]string, 0, len(upstream.Replicas))
	for i := range upstream.Replicas {
		if upstream.Replicas[i].ID != replica.Replica {
			addresses = append(addresses, upstream.Replicas[i].Address)
		}
	}
	return addresses
}

// requestHeader is what the service receives. The key that identifies the team
// stays with the router.
func (c *serviceCall) requestHeader() http.Header {
	header := passedHeader(c.r.Header)
	header.Del("Authorization")
	header.Set("X-Request-Id", c.id)
	if !c.route.Repeatable {
		// The answer is kept for a repeated key without its encoding.
		header.Del("Accept-Encoding")
	}
	return header
}

// mayRetry tells whether another attempt is made: no earlier attempt may have
// run, or the route is repeatable.
func (c *serviceCall) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || !c.hasUntried([]int{c.upstream}, c.tried) {
		return false
	}
	if c.route.Repeatable {
		return outcomeOf(err) != outcome.Failed
	}
	return c.outcome == outcome.NotRun
}

// giveUp ends a call that no attempt completed.
func (c *serviceCall) giveUp(err error) {
	c.record(c.outcome, http.StatusBadGateway)
	c.answerError(err, c.retryAfter(c.schedulingRequest()))
}

// passOn answers with the service's answer. The request is completed only when
// the caller's connection took all of it; the claim keeps how the call itself
// ended, so that a caller who repeats the key after a broken connection learns
// it. The answer of a claimed call is kept before it is passed on.
func (c *serviceCall) passOn(a *forward.ServiceAnswer) {
	contentType := a.Header.Get("Content-Type")
	if c.claimed {
		c.server.records.Received(c.id, a.Status, contentType, a.Body)
	}
	o := answeredOutcome(a.Status)
	answered := passedHeader(a.Header)
	answered.Del("Date")
	maps.Copy(c.w.Header(), answered)
	c.w.Header().Set(outcome.HeaderOutcome, string(o))
	err := c.writeWhole(a.Status, contentType, a.Body)
	c.record(o, a.Status)
	if err != nil {
		c.abandon(outcome.Unknown)
	}
	c.finish(o, a.Status, "")
}

// answeredOutcome returns the outcome of a call whose whole answer was received.
func answeredOutcome(status int) outcome.Outcome {
	if status >= http.StatusInternalServerError {
		return outcome.Failed
	}
	return outcome.Completed
}
