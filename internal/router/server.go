// Package router serves callers: it authenticates requests, queues them, forwards
// them to replicas and ends each in a truthful outcome.
package router

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/drain"
	"heatherbarrow/internal/forward"
	"heatherbarrow/internal/membudget"
	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/scheduler"
	"heatherbarrow/internal/scheduling"
)

const (
	recordCapacity    = 100_000
	recordTTL         = 10 * time.Minute
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	drainPollInterval = 20 * time.Millisecond
)

// Dependencies are what a Server works with.
type Dependencies struct {
	Settings  *Settings
	Logger    zerolog.Logger
	Scheduler *scheduler.Scheduler
	Forward   *forward.Client
	Feed      rpc.Feed // control on this host
	// AnswerMemory and BodyMemory are what answers that are collected, and bodies of requests, may occupy together; nil
	// sets no bound.
	AnswerMemory   *membudget.Budget
	BodyMemory     *membudget.Budget
	Metrics        tally.Scope  // nil drops all metrics
	MetricsHandler http.Handler // nil serves no /metrics
}

// Server is the callers' side of a host.
type Server struct {
	Dependencies
	snapshot  atomic.Pointer[bundle.Snapshot]
	notReady  atomic.Pointer[string] // why there is no bundle
	drain     *drain.Drain
	inFlight  atomic.Int64
	records   *outcome.Store
	recorder  *recorder
	ejections ejections
	metrics   *metrics
	viewMu    sync.Mutex
	view      *scheduling.View // last view from control, with the quarantine learned since
	drainOnce sync.Once
	drained   chan struct{}
}

// NewServer returns a server without a bundle.
func NewServer(d Dependencies) *Server {
	if d.Metrics == nil {
		d.Metrics = tally.NoopScope
	}
	s := &Server{
		Dependencies: d,
		records:      outcome.NewStore(recordCapacity, recordTTL),
		metrics:      newMetrics(d.Metrics),
		ejections:    newEjections(d.Metrics),
		drain:        drain.New(),
		drained:      make(chan struct{}),
	}
	s.recorder = newRecorder(d.Feed, d.Logger, s.metrics)
	reason := "no bundle received from control"
	s.notReady.Store(&reason)
	return s
}

// Handler returns the callers' HTTP interface.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	r.Get("/readyz", s.serveReady)
	if s.MetricsHandler != nil {
		r.Method(http.MethodGet, "/metrics", s.MetricsHandler)
	}
	r.Post("/v1/chat/completions", s.serveChat)
	r.Get("/v1/models", s.serveModels)
	r.Get("/v1/requests/{id}", s.serveLookup)
	r.HandleFunc("/services/{upstream}/*", s.serveService)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		s.newExchange(w, r).refuse(http.StatusNotFound, "unknown_path", "nothing is served at "+r.URL.Path, 0)
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		s.newExchange(w, r).refuse(http.StatusMethodNotAllowed, "method_not_allowed", r.Method+" is not allowed at "+r.URL.Path, 0)
	})
	return s.boundConnections(r)
}

// boundConnections bounds the writing of answers that set no deadline of their
// own, and asks callers to leave their connections while the host drains. HTTP/2
// needs neither: its deadlines end with their request, and a shutdown tells it.
func (s *Server) boundConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.Settings.WriteTimeout.Std()))
			if s.drain.Begun() {
				w.Header().Set("Connection", "close")
			}
		}
		next.ServeHTTP(w, r)
	})
}

// HTTPServer returns an HTTP server for the callers' interface.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Addr:              s.Settings.Listen,
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if s.drain.Begun() {
		http.Error(w, "not ready: draining", http.StatusServiceUnavailable)
		return
	}
	if reason := s.notReady.Load(); reason != nil {
		http.Error(w, "not ready: "+*reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Drain makes the host not ready, waits for the balancer's lag and then until
// no request is in progress, or until ctx ends. Requests that arrive during the
// balancer's lag are still served.
func (s *Server) Drain(ctx context.Context) error {
	s.beginDrain(time.Time{})
	s.drainOnce.Do(func() {
		s.Logger.Info().Int64("in_progress", s.inFlight.Load()).Msg("drain started")
		go s.finishDrain()
	})
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		s.Logger.Warn().Int64("in_progress", s.inFlight.Load()).Msg("drain ended with requests in progress")
		return ctx.Err()
	}
}

// beginDrain makes the host not ready. Requests that are in progress at end are ended; a zero end sets no bound.
func (s *Server) beginDrain(end time.Time) {
	s.drain.Begin(time.Now().Add(s.Settings.BalancerLag.Std()), end)
}

func (s *Server) finishDrain() {
	time.Sleep(s.Settings.BalancerLag.Std())
	for s.inFlight.Load() > 0 {
		time.Sleep(drainPollInterval)
	}
	s.Logger.Info().Msg("drain finished")
	close(s.drained)
}
