package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine answers each request with frames of the engines' protocol, each flushed
// on its own. Like an engine with continuous batching it makes one frame for
// every paced stream in one step; other streams are written as fast as possible.
type engine struct {
	mu    sync.Mutex
	hold  chan struct{} // while not nil, streams wait after their first frame
	paced []*stream
}

// stream is an answer in progress.
type stream struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	prefix     string
	frame      []byte
	next       int
	total      int
	ended      chan struct{}
}

// engineRequest is the part of a request's body that the engine reads. max_tokens
// is the number of frames.
type engineRequest struct {
	MaxTokens int  `json:"max_tokens"`
	Paced     bool `json:"paced"`
}

// run makes a step of the paced streams in every interval until ctx ends.
func (e *engine) run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var streams []*stream
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			streams = e.step(append(streams, e.takeNew()...))
		}
	}
}

func (e *engine) takeNew() []*stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	fresh := e.paced
	e.paced = nil
	return fresh
}

// step writes one frame to each stream and returns those that have more.
func (e *engine) step(streams []*stream) []*stream {
	kept := streams[:0]
	for _, s := range streams {
		if s.writeFrame() && s.next < s.total {
			kept = append(kept, s)
			continue
		}
		close(s.ended)
	}
	return kept
}

// holdStreams makes streams wait until the returned function is called.
func (e *engine) holdStreams() (release func()) {
	hold := make(chan struct{})
	e.setHold(hold)
	return func() {
		e.setHold(nil)
		close(hold)
	}
}

func (e *engine) setHold(hold chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hold = hold
}

func (e *engine) held() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hold
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request engineRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	s := &stream{
		w: w, controller: http.NewResponseController(w), total: request.MaxTokens,
		prefix: `data: {"id":"` + r.Header.Get("X-Request-Id") + `","index":`, ended: make(chan struct{}),
	}
	if request.Paced {
		e.mu.Lock()
		e.paced = append(e.paced, s)
		e.mu.Unlock()
		<-s.ended
	}
	for s.next < s.total && s.writeFrame() {
		if hold := e.held(); hold != nil {
			<-hold
		}
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

// writeFrame returns false when the connection broke.
func (s *stream) writeFrame() bool {
	s.frame = append(s.frame[:0], s.prefix...)
	s.frame = strconv.AppendInt(s.frame, int64(s.next), 10)
	s.frame = append(s.frame, `,"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"token "},"finish_reason":`...)
	s.next++
	if s.next == s.total {
		s.frame = append(s.frame, "\"stop\"}]}\n\n"...)
	} else {
		s.frame = append(s.frame, "null}]}\n\n"...)
	}
	_, err := s.w.Write(s.frame)
	return err == nil && s.controller.Flush() == nil
}
