// Package engine is a stand-in for a model engine, for tests and the demo. It
// batches continuously: each step spends a limited number of tokens on the
// running requests, so that load slows it down.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Options configure the engine.
type Options struct {
	Models        []string
	Slots         int           // requests that run at once
	StepTime      time.Duration // duration of one step of the batch
	TokensPerStep int           // tokens made in one step over all running requests
	PrefillTokens int           // prompt tokens processed in one step
}

// Server is the stand-in.
type Server struct {
	opts Options

	mu      sync.Mutex
	running map[*job]struct{}
	waiting []*job
}

type job struct {
	priority int
	prefill  int // prompt tokens still to process
	tokens   chan struct{}
	produced int
	total    int
}

// New returns an engine; Run must be called for it to make tokens.
func New(opts Options) *Server {
	return &Server{opts: opts, running: make(map[*job]struct{})}
}

// Run makes tokens until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(s.opts.StepTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.step()
		}
	}
}

func (s *Server) step() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.running) < s.opts.Slots && len(s.waiting) > 0 {
		best := 0
		for i, j := range s.waiting {
			if j.priority < s.waiting[best].priority {
				best = i
			}
		}
		s.running[s.waiting[best]] = struct{}{}
		s.waiting = append(s.waiting[:best], s.waiting[best+1:]...)
	}
	prefill, tokens := s.opts.PrefillTokens, s.opts.TokensPerStep
	for j := range s.running {
		if j.prefill > 0 {
			n := min(j.prefill, prefill)
			j.prefill -= n
			prefill -= n
			continue
		}
		if tokens > 0 && j.produced < j.total {
			j.produced++
			tokens--
			j.tokens <- struct{}{}
		}
	}
}

// Handler returns the HTTP handler of the engine.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", s.complete)
	r.Get("/v1/load", s.load)
	return r
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	resume, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	text, prompt := "", 0
	for _, m := range request.Messages {
		text += m.Content
	}
	prompt = len(text)/4 + 1
	total := answerLength(text, request.MaxTokens)
	j := &job{priority: priority, prefill: prompt, total: total - resume, tokens: make(chan struct{}, total+1)}
	s.mu.Lock()
	s.waiting = append(s.waiting, j)
	s.mu.Unlock()
	defer s.drop(j)
	s.stream(w, r, j, resume)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, j *job, resume int) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := range j.total {
		select {
		case <-j.tokens:
		case <-r.Context().Done():
			return
		}
		index := resume + i
		finish := "null"
		if i == j.total-1 {
			finish = `"stop"`
		}
		fmt.Fprintf(w, "data: {\"id\":%q,\"index\":%d,\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"},\"finish_reason\":%s}]}\n\n", id, index, index, finish)
		if controller.Flush() != nil {
			return
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (s *Server) drop(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, j)
	for i, other := range s.waiting {
		if other == j {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// answerLength derives the length of an answer from the prompt, so that a
// resumed request has the same continuation on every replica.
func answerLength(text string, limit int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	n := 8 + int(h.Sum32()%57)
	if limit > 0 {
		n = min(n, limit)
	}
	return n
}

// Load is the engine's report of its load.
type Load struct {
	Running int      `json:"running"`
	Waiting int      `json:"waiting"`
	Models  []string `json:"models"`
	AgeMS   int      `json:"age_ms"`
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := Load{Running: len(s.running), Waiting: len(s.waiting), Models: s.opts.Models}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}
