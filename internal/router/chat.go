package router

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherbarrow/internal/forward"
	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/scheduler"
	"heatherbarrow/internal/scheduling"
)

// charactersPerToken is a coarse ratio used to estimate a prompt's length.
const charactersPerToken = 4

// chatRequest is the part of a chat completion request that routing needs.
type chatRequest struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	MaxTokens int `json:"max_tokens"`
}

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	e, ok := s.begin(w, r)
	if !ok {
		return
	}
	var request chatRequest
	if err := json.Unmarshal(e.body, &request); err != nil {
		e.refuse(http.StatusBadRequest, "malformed_body", "the body is not a chat completion request: "+err.Error(), 0)
		return
	}
	if request.Model == "" || len(request.Messages) == 0 {
		e.refuse(http.StatusBadRequest, "malformed_body", "model and messages must be given", 0)
		return
	}
	if !e.snapshot.HasModel(request.Model) {
		e.refuse(http.StatusNotFound, "unknown_model", "no upstream serves model "+request.Model, 0)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), e.deadline)
	defer cancel()
	c := &chat{exchange: e, request: request, stream: request.Stream}
	c.run(ctx)
}

// chat is a chat completion in progress.
type chat struct {
	*exchange
	request  chatRequest
	stream   bool
	position int  // frames passed on or collected
	started  bool // the answer's header was sent
	content  strings.Builder
	tried    []scheduling.ReplicaID
}

func (c *chat) run(ctx context.Context) {
	for attempt := 0; ; attempt++ {
		assignment, err := c.acquire(ctx, attempt)
		if err != nil {
			c.refused(err)
			return
		}
		err = c.attempt(ctx, assignment)
		if err == nil {
			c.complete()
			return
		}
		if !c.mayRetry(ctx, err, attempt) {
			c.failed(ctx, err)
			return
		}
		c.tried = append(c.tried, assignment.Replica)
	}
}

func (c *chat) schedulingRequest(attempt int) scheduling.Request {
	text := make([]byte, 0, len(c.body))
	text = append(text, c.request.Model...)
	for i := range c.request.Messages {
		text = append(text, 0)
		text = append(text, c.request.Messages[i].Content...)
	}
	return scheduling.Request{
		ID:           c.id,
		Class:        c.classIdx,
		Team:         c.teamIdx,
		Upstreams:    c.snapshot.Engines(c.request.Model, c.classIdx),
		Model:        c.request.Model,
		Fingerprint:  xxhash.Sum64(text),
		PromptTokens: len(text)/charactersPerToken + 1,
		MaxTokens:    c.request.MaxTokens,
		Arrived:      c.arrived,
		Deadline:     c.deadline,
		Resumable:    true,
		Attempt:      attempt,
		Exclude:      c.tried,
	}
}

func (e *exchange) wait(ctx context.Context, request scheduling.Request) (*scheduler.Assignment, error) {
	ticket, err := e.server.Scheduler.Enqueue(request)
	if err != nil {
		return nil, err
	}
	select {
	case assignment := <-ticket.Granted():
		e.logDecision(assignment, request.Attempt)
		return assignment, nil
	case <-ctx.Done():
		ticket.Cancel()
		return nil, ctx.Err()
	}
}

func (c *chat) acquire(ctx context.Context, attempt int) (*scheduler.Assignment, error) {
	return c.wait(ctx, c.schedulingRequest(attempt))
}

func (e *exchange) logDecision(a *scheduler.Assignment, attempt int) {
	event := e.server.Logger.Info().Str("request", e.id).Str("class", e.class.Name).Str("team", e.team.Name).
		Str("upstream", a.Replica.Upstream).Str("replica", a.Replica.Replica).
		Float64("score", a.Decision.Score).Str("reason", a.Decision.Reason).
		Bool("cross_zone", a.Decision.CrossZone).Int("attempt", attempt).
		Dur("queued", time.Since(e.arrived))
	for i, alternative := range a.Decision.Alternatives {
		prefix := [...]string{"second", "third"}[i]
		event = event.Str(prefix, alternative.Replica.String()).Float64(prefix+"_score", alternative.Score)
	}
	event.Msg("routing decision")
}

// attempt runs the request on one replica and passes its frames on.
func (c *chat) attempt(ctx context.Context, a *scheduler.Assignment) error {
	before := c.position
	stream, err := c.server.Forward.Chat(ctx, forward.Chat{
		Address:      a.Address,
		RequestID:    c.id,
		Tier:         c.class.Tier,
		ResumeFrom:   c.position,
		Body:         c.body,
		FirstTimeout: time.Until(c.deadline),
		FrameTimeout: c.snapshot.Bundle.Limits.FrameTimeout.Std(),
		OnSend:       func() { c.server.records.Sent(c.id) },
	})
	if err == nil {
		err = c.passOn(stream, a)
		stream.Close()
	}
	a.Finish(resultOf(ctx, err, c.position-before))
	return err
}

func resultOf(ctx context.Context, err error, tokens int) scheduling.Result {
	result := scheduling.Result{Tokens: tokens, Outcome: outcome.Completed}
	if err == nil {
		return result
	}
	result.Outcome = outcomeOf(err)
	result.Canceled = ctx.Err() != nil
	result.Refused = errors.Is(err, forward.ErrRefused)
	result.TimedOut = errors.Is(err, forward.ErrTimeout)
	result.Crashed = !result.Canceled && (errors.Is(err, forward.ErrBroken) || errors.Is(err, forward.ErrMissingEnd))
	return result
}

func outcomeOf(err error) outcome.Outcome {
	var status *forward.StatusError
	switch {
	case errors.Is(err, forward.ErrNotSent), errors.Is(err, forward.ErrRefused):
		return outcome.NotRun
	case errors.As(err, &status):
		return outcome.Failed
	default:
		return outcome.Unknown
	}
}

func (c *chat) passOn(stream *forward.Stream, a *scheduler.Assignment) error {
	for {
		frame, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if c.position == 0 {
			a.FirstToken()
		}
		a.Token(1)
		if err := c.deliver(frame, stream.Buffered()); err != nil {
			return err
		}
		c.position++
	}
}

// errCallerGone means that the caller no longer reads the answer.
var errCallerGone = errors.New("caller hung up")

func (c *chat) deliver(frame forward.Frame, more bool) error {
	if !c.stream {
		return c.collect(frame)
	}
	if !c.started {
		c.started = true
		c.w.Header().Set("Content-Type", "text/event-stream")
		c.w.Header().Set("Cache-Control", "no-store")
		c.w.WriteHeader(http.StatusOK)
	}
	for _, part := range [][]byte{[]byte("data: "), frame.Data, []byte("\n\n")} {
		if _, err := c.w.Write(part); err != nil {
			return errCallerGone
		}
	}
	if more {
		return nil
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return errCallerGone
	}
	return nil
}

func (c *chat) collect(frame forward.Frame) error {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(frame.Data, &chunk); err != nil {
		return forward.ErrForeignFrame
	}
	if len(chunk.Choices) > 0 {
		c.content.WriteString(chunk.Choices[0].Delta.Content)
	}
	return nil
}

func (c *chat) mayRetry(ctx context.Context, err error, attempt int) bool {
	const maxAttempts = 3
	if ctx.Err() != nil || errors.Is(err, errCallerGone) || attempt+1 >= maxAttempts {
		return false
	}
	return outcomeOf(err) == outcome.NotRun || !c.started
}

func (c *chat) refused(err error) {
	var refusal *scheduling.RefusedError
	o := outcome.NotRun
	if c.position > 0 || len(c.tried) > 0 {
		o = outcome.Unknown
	}
	switch {
	case c.started:
		c.endStream(o)
	case errors.As(err, &refusal) && o == outcome.NotRun:
		c.refuse(http.StatusTooManyRequests, refusal.Reason, refusal.Error(), refusal.RetryAfter)
	case o == outcome.NotRun:
		c.refuse(http.StatusServiceUnavailable, scheduling.ReasonDeadline, "no replica was free before the deadline", time.Second)
	default:
		c.fail(http.StatusBadGateway, o, "no_replica", "the request could not be continued")
	}
}

func (c *chat) failed(_ context.Context, err error) {
	o := outcomeOf(err)
	if c.started {
		c.endStream(o)
		return
	}
	if o == outcome.NotRun {
		c.refuse(http.StatusServiceUnavailable, "upstream_unavailable", err.Error(), time.Second)
		return
	}
	c.fail(http.StatusBadGateway, o, "upstream_error", err.Error())
}

func (c *chat) complete() {
	if c.stream {
		_, _ = io.WriteString(c.w, "data: [DONE]\n\n")
		c.endStream(outcome.Completed)
		return
	}
	answer := completion{ID: c.id, Object: "chat.completion", Model: c.request.Model, Choices: []choice{{
		Message: answerMessage{Role: "assistant", Content: c.content.String()}, FinishReason: "stop",
	}}}
	answer.Usage.CompletionTokens = c.position
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Header().Set(outcome.HeaderOutcome, string(outcome.Completed))
	c.finish(outcome.Completed, http.StatusOK, "application/json", nil)
	_ = json.NewEncoder(c.w).Encode(answer)
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

type choice struct {
	Index        int           `json:"index"`
	Message      answerMessage `json:"message"`
	FinishReason string        `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// endStream writes the outcome event that ends every stream.
func (c *chat) endStream(o outcome.Outcome) {
	c.finish(o, http.StatusOK, "text/event-stream", nil)
	data, _ := json.Marshal(outcomeEvent{RequestID: c.id, Outcome: o})
	_, _ = io.WriteString(c.w, "event: outcome\ndata: "+string(data)+"\n\n")
	_ = http.NewResponseController(c.w).Flush()
}

type outcomeEvent struct {
	RequestID string          `json:"request_id"`
	Outcome   outcome.Outcome `json:"outcome"`
}
