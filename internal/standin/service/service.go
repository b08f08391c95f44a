// Package service is a stand-in for a plain service, for tests and the demo. It
// counts each effect by idempotency key, so that a second effect is seen.
package service

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/xid"

	"heatherbarrow/internal/standin/admin"
)

// Faults are the switches of the stand-in.
type Faults struct {
	DelayMS     int  `json:"delay_ms"`     // delay of every answer
	LoseAnswers int  `json:"lose_answers"` // number of calls that take effect without an answer
	Refuse      bool `json:"refuse"`       // refuse with status 503 before any effect
	RestSeconds int  `json:"rest_seconds"` // ask for so long without calls in these refusals
	Leaving     bool `json:"leaving"`      // say in all answers that the service leaves
}

// Server is the stand-in.
type Server struct {
	boot string // identifies this start

	mu      sync.Mutex
	effects map[string]int // by idempotency key
	faults  Faults
}

// New returns a service without effects.
func New() *Server {
	return &Server{boot: xid.New().String(), effects: make(map[string]int)}
}

// Handler returns the HTTP handler of the service and of its switches under /admin.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(s.stateBoot)
	r.Head("/heatherbarrow/boot", func(http.ResponseWriter, *http.Request) {})
	r.Put("/admin/faults", admin.Put(s.SetFaults))
	r.Get("/admin/effects", admin.Get(s.Effects))
	r.Get("/*", s.lookUp)
	r.Post("/*", s.takeEffect)
	return r
}

// stateBoot states the process in each answer, and whether it leaves.
func (s *Server) stateBoot(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Heatherbarrow-Boot", s.boot)
		s.mu.Lock()
		leaving := s.faults.Leaving
		s.mu.Unlock()
		if leaving {
			w.Header().Set("Heatherbarrow-Leaving", "1")
		}
		next.ServeHTTP(w, r)
	})
}

// SetFaults sets the switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Effects returns the number of effects by idempotency key.
func (s *Server) Effects() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.effects))
	for key, n := range s.effects {
		out[key] = n
	}
	return out
}

func (s *Server) lookUp(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	admin.WriteJSON(w, map[string]string{"path": r.URL.Path, "state": "found"})
}

func (s *Server) takeEffect(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	faults := s.faults
	if faults.Refuse {
		s.mu.Unlock()
		if faults.RestSeconds > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(faults.RestSeconds))
		}
		w.Header().Set("Heatherbarrow-Outcome", "not-run")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	s.effects[key]++
	s.mu.Unlock()
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	if s.losesAnswer() {
		panic(http.ErrAbortHandler)
	}
	admin.WriteJSON(w, map[string]any{"path": r.URL.Path, "key": key, "bytes": len(body)})
}

// losesAnswer is asked after the delay, so that an answer can be lost after its
// effect was seen.
func (s *Server) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}
