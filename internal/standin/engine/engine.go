// Package engine is a stand-in for a model engine, for tests and the demo. It
// batches continuously: each step spends a limited number of tokens on the
// running requests, so that load slows it down. It caches prompt prefixes,
// honors priorities, resumes and cancels streams, reports its load with a lag
// and has switches for faults.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/xid"

	"heatherbarrow/internal/standin/admin"
)

const (
	defaultReportLag  = 500 * time.Millisecond
	defaultLoadTime   = time.Second
	defaultCacheSize  = 1024 // prefixes
	defaultEventLimit = 4096
)

// Options configure the engine. Zero values of the last five fields take defaults.
type Options struct {
	Models        []string
	Slots         int           // requests that run at once
	StepTime      time.Duration // duration of one step of the batch
	TokensPerStep int           // tokens made in one step over all running requests
	PrefillTokens int           // prompt tokens processed in one step
	ChecksFencing bool          // refuse placement orders with a stale fencing token
	ReportLag     time.Duration // age of the load figures reported
	LoadTime      time.Duration // time that loading a model takes
	CacheSize     int           // prefixes kept
	Seed          uint64        // seed of the gaps in cache events
}

func (o *Options) setDefaults() {
	if o.ReportLag == 0 {
		o.ReportLag = defaultReportLag
	}
	if o.LoadTime == 0 {
		o.LoadTime = defaultLoadTime
	}
	if o.CacheSize == 0 {
		o.CacheSize = defaultCacheSize
	}
}

// Server is the stand-in.
type Server struct {
	opts Options

	mu      sync.Mutex
	batch   batch
	faults  Faults
	crashed time.Time // end of the downtime after a crash
	crashes chan struct{}
	boot    string
	reports []timedReport
	cache   prefixCache
	orders  orderBook
	counts  Counts
}

// Counts are what the engine did since its process started.
type Counts struct {
	Requests map[string]int `json:"requests"` // runs by request id
	Tokens   uint64         `json:"tokens"`
	Crashes  int            `json:"crashes"`
	Canceled int            `json:"canceled"`
}

// New returns an engine; Run must be called for it to make tokens.
func New(opts Options) *Server {
	opts.setDefaults()
	return &Server{
		opts:    opts,
		batch:   batch{slots: opts.Slots, tokensPerStep: opts.TokensPerStep, prefillPerStep: opts.PrefillTokens},
		crashes: make(chan struct{}),
		boot:    xid.New().String(),
		cache:   newPrefixCache(opts.CacheSize, opts.Seed),
		orders:  newOrderBook(opts.Models),
		counts:  Counts{Requests: make(map[string]int)},
	}
}

// Run makes tokens until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(s.opts.StepTime)
	defer ticker.Stop()
	slow := 0
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			slow++
			s.mu.Lock()
			if !s.faults.Frozen && slow >= max(s.faults.SlowFactor, 1) {
				slow = 0
				s.counts.Tokens += uint64(s.batch.step())
			}
			s.noteLoad(now)
			s.mu.Unlock()
		}
	}
}

// Handler returns the HTTP handler of the engine and of its switches under /admin.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(s.abortWhileCrashed, s.stateProcess)
		r.Head("/heatherbarrow/boot", func(http.ResponseWriter, *http.Request) {})
		r.Post("/v1/chat/completions", s.serveCompletion)
		r.Get("/v1/load", s.serveLoad)
		r.Get("/v1/cache-events", s.serveCacheEvents)
		r.Post("/v1/orders", s.serveOrder)
	})
	r.Put("/admin/faults", admin.Put(s.SetFaults))
	r.Get("/admin/counts", admin.Get(s.Counts))
	r.Get("/admin/orders", admin.Get(s.Orders))
	return r
}

// Counts returns a copy of the counts.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.counts
	out.Requests = make(map[string]int, len(s.counts.Requests))
	for id, n := range s.counts.Requests {
		out.Requests[id] = n
	}
	return out
}
