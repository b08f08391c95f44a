// Package proxy serves callers: it reads a request, finds its route and team, sends it to a
// replica and forwards the response.
package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/singleflight"

	"heatherbarrow/internal/drain"
	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/gateway/upstream"
	"heatherbarrow/internal/membudget"
)

const (
	// defaultDeadline applies if neither the caller nor the route sets one.
	defaultDeadline = 30 * time.Second
	// noConfigRetryAfter is the retry time while no configuration is known: a starting host
	// usually receives it from the store within that time.
	noConfigRetryAfter = 200 * time.Millisecond
	// hostStopsRetryAfter is the retry time of a host that stops: the balancer sends the caller to another one.
	hostStopsRetryAfter = 10 * time.Millisecond
	// requestMemoryRetryAfter is the retry time while other requests occupy the memory set aside for heads and bodies. They
	// leave it when their requests end.
	requestMemoryRetryAfter = 500 * time.Millisecond
)

// Options configure a Server.
type Options struct {
	Dialect routing.Dialect
	Fleet   *fleet.Fleet
	Budget  *Budget
	Client  *upstream.Client
	Origins Origins
	Helpers Helpers // nil if there are no other hosts
	// Table returns the configuration in force, or nil if none is known.
	Table func() *routing.Table
	// Known reports whether the host knows a configuration and the replicas, which it needs
	// to serve.
	Known func() bool
	// RegistrationsCurrent reports whether the registrations of the replicas are up to date; nil if they always are.
	RegistrationsCurrent func() bool
	// RefreshRegistrations brings them up to date: when it returns nil, they include all changes that were confirmed when it was
	// called. If nil, they always are.
	RefreshRegistrations func(ctx context.Context) error
	// RequestMemory is what the heads and bodies of all requests may occupy together; nil sets no bound.
	RequestMemory *membudget.Budget
	// SendMemory is what the kernel may use for answers that callers have not read while this host stops; 0 leaves that to the
	// kernel.
	SendMemory int
	// ObserveSuspension calls Server.AddSuspension if the host was suspended lately and that is not recorded yet; nil if nothing tells.
	ObserveSuspension func()
	// CountRun is told the team of each request that began to run at a replica, and when; nil if usage is not counted.
	CountRun func(team string, at time.Time)
	// BeginRun is told when a request whose answer is not a stream is sent, which CountRun may be told of only once it
	// is answered. The function that it returns is called then. It is nil if usage is not counted.
	BeginRun func(at time.Time) (end func())
	Logger   zerolog.Logger
	Metrics  tally.Scope
}

// Server forwards the requests of callers to replicas.
type Server struct {
	opts          Options
	metrics       *metrics
	waitEstimator waitEstimator
	drain         *drain.Drain
	active        atomic.Int64
	questions     questions
	unframedEnds  unframedEnds
	probes        probes
	contactTrials singleflight.Group
	sendMemory    *membudget.Budget // nil if the kernel alone decides
	// suspendedNanos is how long the host has been suspended since the start. The monotonic
	// clock, which deadlines are compared with, does not advance during that time.
	suspendedNanos atomic.Int64
}

// New returns a Server.
func New(opts Options) *Server {
	s := &Server{opts: opts, metrics: newMetrics(opts.Metrics), drain: drain.New()}
	if opts.SendMemory > 0 {
		s.sendMemory = membudget.New(opts.SendMemory, sendShareMultiple)
	}
	return s
}

// HTTPServer returns the HTTP server for callers. Its connections must be wrapped by
// WrapTimeouts.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		ReadHeaderTimeout: headerSentinel,
		IdleTimeout:       idleSentinel,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, callerConn{}, c) },
	}
}

// ReadyHandler returns the handler of the load balancer's readiness checks.
func (s *Server) ReadyHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !s.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

// Ready reports whether the load balancer should send new connections to the server.
func (s *Server) Ready() bool { return !s.drain.Begun() && s.opts.Known() }

// Drain makes the server not ready. The server continues to serve requests, but asks callers
// to close their connections. After lastCall it refuses requests that it may not be able to finish, and
// at end it answers all that are still in progress.
func (s *Server) Drain(lastCall, end time.Time) { s.drain.Begin(lastCall, end) }

// AddSuspension records that the host was suspended for d, which reduces the remaining time of
// all in-flight requests.
func (s *Server) AddSuspension(d time.Duration) { s.suspendedNanos.Add(int64(d)) }

// Active returns the number of in-flight requests.
func (s *Server) Active() int64 { return s.active.Load() }

// Refusals returns the number of requests refused since the start, by reason.
func (s *Server) Refusals() map[string]uint64 { return s.metrics.refusalTotals() }

// exchange is one request of a caller and its response.
type exchange struct {
	server         *Server
	w              http.ResponseWriter
	r              *http.Request
	call           routing.Call
	table          *routing.Table
	route          *routing.Route
	team           *routing.Team
	runCounted     bool   // countRun has counted the request
	endRun         func() // tells Options.BeginRun that the attempt has been answered; nil if that is not told
	body           []byte
	arrived        time.Time
	deadline       time.Time // for the end of the response, before suspensions since the arrival are subtracted
	suspendedNanos int64     // value of Server.suspendedNanos at the arrival
	prompt         []fleet.PromptPart
	sharedParts    []uint64      // IDs of the prompt parts that other requests may contain
	fingerprint    uint64        // the same when the caller sends the request again
	waitedBefore   time.Duration // estimate of the caller's wait in earlier attempts

	delegated  bool        // another host has delegated the request to this one
	lastResort bool        // and no host that does not stop runs it
	delegation *delegation // nil if the other host sent none, as its build is an earlier one
	target     string      // path and query as the caller sent them

	bodyMemory    *membudget.Account // of the request
	failureMemory *membudget.Account // of progress.replicaFailure

	end       *verifiedEnd // of the latest unframed answer, while connections are cut; nil otherwise
	runSentAt time.Time    // when the latest run that was answered was sent to its replica
	// probed is the replica from which an unframed answer arrives; nil otherwise.
	probed *probedReplica

	record record
}

// serve handles one request of a caller.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	s.handle(&exchange{w: w, r: r, target: target})
}

// handle handles a request that a caller or another host has sent.
func (s *Server) handle(e *exchange) {
	s.active.Add(1)
	defer s.active.Add(-1)
	e.server, e.arrived, e.suspendedNanos = s, time.Now(), s.suspendedNanos.Load()
	if s.drain.Begun() {
		e.w.Header().Set("Connection", "close")
	}
	defer e.finish()
	defer e.releaseMemory()
	defer e.keepUnreadAtStop()()
	if !e.admit() || !e.readBody() || !e.admitAtStop() {
		e.discardBody()
		return
	}
	e.boundWrites(e.deadline.Add(lastWriteTimeout))
	e.setFingerprint()
	bound, unbind := s.drain.Bound(e.r.Context())
	defer unbind()
	ctx, cancel := context.WithDeadline(bound, e.deadline)
	defer cancel()
	e.dispatch(ctx)
}

// releaseMemory gives back the memory of what is kept until the request ends.
func (e *exchange) releaseMemory() {
	e.bodyMemory.Close()
	e.failureMemory.Close()
}

// admit finds the route and team of the request and sets its deadline. If the request must
// not be served, admit refuses it and returns false.
func (e *exchange) admit() bool {
	s := e.server
	e.table = s.opts.Table()
	if e.table == nil {
		e.refuse(http.StatusServiceUnavailable, "no_configuration", noConfigRetryAfter)
		return false
	}
	if e.headerTooLarge() {
		e.refuse(http.StatusRequestHeaderFieldsTooLarge, "head_too_large", 0)
		return false
	}
	path, _, _ := strings.Cut(e.requestTarget(), "?")
	e.route = e.table.Match(e.r.Host, path)
	if e.route == nil {
		e.refuse(http.StatusNotFound, "no_route", 0)
		return false
	}
	var err error
	e.call, err = s.opts.Dialect.Call(e.r.Header)
	if err != nil {
		s.opts.Logger.Warn().Err(err).Str("request", e.call.AttemptID).Msg("invalid request header ignored")
	}
	if !e.route.Public && len(e.table.Teams) > 0 {
		e.team = e.table.TeamByKey(e.call.Key)
		if e.call.Key == "" || e.team == nil {
			e.refuse(http.StatusUnauthorized, "unknown_key", 0)
			return false
		}
	}
	timeout := defaultDeadline
	if e.call.TimeLimit > 0 {
		timeout = e.call.TimeLimit
	}
	if e.route.Timeout > 0 {
		timeout = min(timeout, e.route.Timeout)
	}
	e.deadline = e.arrived.Add(timeout)
	e.waitedBefore = s.waitEstimator.waitedBefore(e.route.Name, e.call.TimeLimit)
	e.prompt = promptParts(&e.call)
	e.sharedParts = sharedPartIDs(e.call.Prompt)
	return true
}

// suspendedTime returns how long the host has been suspended since the arrival.
func (e *exchange) suspendedTime() time.Duration {
	return time.Duration(e.server.suspendedNanos.Load() - e.suspendedNanos)
}

// timeLeft returns the time until the request's deadline, or until this host ends its requests as it stops.
func (e *exchange) timeLeft(now time.Time) time.Duration {
	return min(e.deadline.Sub(now)-e.suspendedTime(), e.server.drain.Left(now))
}

// admitAtStop refuses the request and returns false if this host stops and may not be able to finish it. It follows
// the body, which may take any part of the time that the host has. A request that may run again is taken as a last
// resort: nobody else runs it, and a stream that breaks off again goes on elsewhere later.
func (e *exchange) admitAtStop() bool {
	d := e.server.drain
	if !d.TooLate(time.Now(), e.deadline.Add(-e.suspendedTime())) || e.lastResort && e.route.Repeatable() && !d.Over() {
		return true
	}
	e.refuseAtStop()
	return false
}

// refuseAtStop refuses the request because this host stops. A host that has delegated it offers it to others.
func (e *exchange) refuseAtStop() {
	if e.delegated {
		e.w.Header().Set(declinedHeader, declinedLate)
	}
	e.w.Header().Set("Connection", "close")
	e.refuse(http.StatusServiceUnavailable, "host_stops", hostStopsRetryAfter)
}

// callerTimeLeft returns how long the caller still waits, which can be longer than timeLeft
// because the route's timeout does not apply.
func (e *exchange) callerTimeLeft(now time.Time) time.Duration {
	if e.call.TimeLimit <= 0 {
		return e.timeLeft(now)
	}
	return e.call.TimeLimit - now.Sub(e.arrived) - e.suspendedTime()
}

// requestTarget returns the path and query as the caller sent them.
func (e *exchange) requestTarget() string { return e.target }

// promptParts returns the parts of the caller's prompt. The hash of a part covers the model
// and all parts before it.
func promptParts(c *routing.Call) []fleet.PromptPart {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(c.Model) // never fails
	parts := make([]fleet.PromptPart, 0, len(c.Prompt))
	for _, p := range c.Prompt {
		var id [8]byte
		for i := range id {
			id[i] = byte(p.ID >> (8 * i))
		}
		_, _ = digest.Write(id[:])
		parts = append(parts, fleet.PromptPart{Hash: digest.Sum64(), Tokens: p.Tokens})
	}
	return parts
}

// sharedPartIDs returns the IDs of all parts but the last, which belongs to the request itself.
func sharedPartIDs(parts []routing.PromptPart) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	ids := make([]uint64, len(parts)-1)
	for i := range ids {
		ids[i] = parts[i].ID
	}
	return ids
}

// sessionHash returns the hash of the last prompt part that the requests of a session share.
// This is the last but one, as the last part belongs to the request itself. The hash is 0 if
// the prompt has fewer than two parts.
func sessionHash(parts []fleet.PromptPart) uint64 {
	if len(parts) < 2 {
		return 0
	}
	return parts[len(parts)-2].Hash
}

// readBody reads the complete body, so that it can be sent again in a retry. If it cannot, it
// refuses the request and returns false, or panics with http.ErrAbortHandler if the caller has
// disconnected.
func (e *exchange) readBody() bool {
	limit := e.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if e.r.ContentLength > limit {
		e.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return false
	}
	if e.r.ContentLength == 0 {
		return true
	}
	unbound := e.server.drain.BoundRead(http.NewResponseController(e.w).SetReadDeadline, e.deadline)
	e.bodyMemory = e.server.opts.RequestMemory.Open(e.teamName())
	body, complete, err := e.bodyMemory.ReadAll(e.r.Body, max(int(e.r.ContentLength), 0), int(limit))
	unbound(err == nil && complete)
	if err != nil || !complete {
		// The rest of the body is not read, so the connection cannot be reused.
		e.w.Header().Set("Connection", "close")
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && e.server.drain.Over():
		e.refuseAtStop()
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.refuse(http.StatusRequestTimeout, "body_timeout", 0)
		return false
	case errors.Is(err, membudget.ErrExhausted):
		e.refuse(http.StatusServiceUnavailable, "body_memory", e.boundRetryAfter(requestMemoryRetryAfter))
		return false
	case errors.Is(err, io.ErrUnexpectedEOF), err != nil && e.r.Context().Err() != nil:
		e.record.outcome = outcomeCallerGone
		panic(http.ErrAbortHandler)
	case err != nil:
		e.refuse(http.StatusBadRequest, "unreadable_body", 0)
		return false
	case !complete:
		e.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return false
	}
	e.body = body
	return true
}

const (
	// maxDiscardBytes and discardTimeout bound what is read of the body of a refused request.
	maxDiscardBytes = 256 << 10
	discardTimeout  = 500 * time.Millisecond
)

// discardBody reads the rest of the body of a refused request whose caller wants the connection closed: closed with unread
// bytes it would be reset, which can take the refusal away from the caller. net/http reads the bodies of the others.
func (e *exchange) discardBody() {
	if !e.r.Close {
		return
	}
	controller := http.NewResponseController(e.w)
	if controller.Flush() != nil || controller.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return // the caller has disconnected, or there is no connection, as in a test
	}
	_, _ = io.CopyN(io.Discard, e.r.Body, maxDiscardBytes) // the refusal has been sent
}

// teamName returns the name of the request's team, or "".
func (e *exchange) teamName() string {
	if e.team == nil {
		return ""
	}
	return e.team.Name
}

// setFingerprint sets the fingerprint of the request. It covers what stays the same when the
// caller sends the request again.
func (e *exchange) setFingerprint() {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(e.r.Method + " " + e.requestTarget() + "\n") // never fails
	if e.team != nil {
		_, _ = digest.WriteString(e.team.Name)
	}
	_, _ = digest.Write(e.body)
	e.fingerprint = digest.Sum64()
}

// refuse responds with an error to a request that was not run by any replica.
func (e *exchange) refuse(status int, reason string, retryAfter time.Duration) {
	e.record.outcome = outcomeNotRun
	e.record.reason = reason
	e.respondError(status, reason, retryAfter)
}

// respondError sends an error response that the gateway itself creates.
func (e *exchange) respondError(status int, reason string, retryAfter time.Duration) {
	e.record.status = status
	h := e.w.Header()
	if retryAfter > 0 {
		e.record.retryAfter = retryAfter
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	text := reason + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	e.boundLastWrite()
	e.w.WriteHeader(status)
	_, _ = io.WriteString(e.w, text) // the caller may have disconnected
}
