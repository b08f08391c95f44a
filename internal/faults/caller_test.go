package faults

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/standin/engine"
)

// answer is what a caller saw of one request.
type answer struct {
	kind    string // "chat" or "order"
	key     string // idempotency key of an order
	id      string
	status  int
	outcome outcome.Outcome // empty when the caller got none
	whole   bool            // every frame and the proper end arrived
	foreign string          // a frame that is not this request's next one
	err     error
}

// caller sends requests and keeps what it saw.
type caller struct {
	c       *cluster
	client  *http.Client // of orders
	mu      sync.Mutex
	answers []answer
	wait    sync.WaitGroup
	frames  chan string // id of a chat that got its first frame
	cancel  func()      // ends all requests in progress
}

func newCaller(c *cluster) *caller {
	return &caller{c: c, client: c.http, frames: make(chan string, 1000)}
}

func (a *caller) add(x answer) answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers = append(a.answers, x)
	return x
}

func (a *caller) all() []answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]answer(nil), a.answers...)
}

func request(ctx context.Context, h *host, method, path, class string, body io.Reader) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.callers+path, body)
	if err != nil {
		panic(err)
	}
	r.Header.Set("Authorization", "Bearer "+counterKey)
	r.Header.Set(outcome.HeaderClass, class)
	return r
}

func chatBody(prompt string) string {
	return fmt.Sprintf(`{"model":"glue-13b","stream":true,"messages":[{"role":"user","content":%q}]}`, prompt)
}

// chat sends a streamed chat completion and checks every frame.
func (a *caller) chat(ctx context.Context, h *host, class, prompt string, body io.Reader) answer {
	if body == nil {
		body = strings.NewReader(chatBody(prompt))
	}
	response, err := a.c.http.Do(request(ctx, h, http.MethodPost, "/v1/chat/completions", class, body))
	x := answer{kind: "chat"}
	if err != nil {
		x.err = err
		return a.add(x)
	}
	defer func() { _ = response.Body.Close() }()
	x.id = response.Header.Get(outcome.HeaderRequestID)
	x.status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		x.outcome = outcome.Outcome(response.Header.Get(outcome.HeaderOutcome))
		_, x.err = io.Copy(io.Discard, response.Body)
		return a.add(x)
	}
	a.readStream(response.Body, &x)
	return a.add(x)
}

type frame struct {
	ID      string `json:"id"`
	Index   int    `json:"index"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Outcome   outcome.Outcome `json:"outcome"`
	RequestID string          `json:"request_id"`
}

func (a *caller) readStream(body io.Reader, x *answer) {
	scanner := bufio.NewScanner(body)
	next, last, event := 0, false, ""
	for scanner.Scan() {
		line := scanner.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var f frame
		if err := json.Unmarshal([]byte(data), &f); err != nil {
			x.foreign = data
			continue
		}
		if event == "outcome" {
			x.outcome = f.Outcome
			continue
		}
		if last || f.ID != x.id || f.Index != next || len(f.Choices) != 1 || f.Choices[0].Delta.Content != engine.Token(x.id, next) {
			x.foreign = data
			continue
		}
		last = f.Choices[0].FinishReason != nil
		if next == 0 {
			a.frames <- x.id
		}
		next++
	}
	x.err = scanner.Err()
	x.whole = last && x.outcome != "" && x.foreign == ""
}

// order sends a call that must take effect at most once.
func (a *caller) order(ctx context.Context, h *host, key string) answer {
	r := request(ctx, h, http.MethodPost, "/services/warehouse/orders", "order", strings.NewReader(`{"item":"`+key+`"}`))
	r.Header.Set(outcome.HeaderKey, key)
	x := answer{kind: "order", key: key}
	response, err := a.client.Do(r)
	if err != nil {
		x.err = err
		return a.add(x)
	}
	defer func() { _ = response.Body.Close() }()
	x.id = response.Header.Get(outcome.HeaderRequestID)
	x.status = response.StatusCode
	x.outcome = outcome.Outcome(response.Header.Get(outcome.HeaderOutcome))
	_, x.err = io.Copy(io.Discard, response.Body)
	x.whole = x.err == nil
	return a.add(x)
}

// inBackground runs a request that the caller waits for at the end.
func (a *caller) inBackground(send func()) {
	a.wait.Go(send)
}
