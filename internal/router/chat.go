package router

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/drain"
	"heatherbarrow/internal/forward"
	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/scheduler"
	"heatherbarrow/internal/scheduling"
)

const (
	// maxAttempts bounds the attempts of one request that may have run; the class's
	// retry budget, which the scheduler keeps, bounds those of all requests.
	maxAttempts = 3
	// maxTries bounds all attempts of one request. One that certainly did not run
	// costs the fleet next to nothing, and several in a row are usual before a large
	// loss of replicas is known.
	maxTries = 10
	// firstTokenFactor is how many times its class's first-token target a replica
	// may take. It leaves the straggler detection time to act first.
	firstTokenFactor = 4
	minFirstTimeout  = time.Second
)

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	e, ok := s.begin(w, r)
	if !ok {
		return
	}
	defer e.releaseMemory()
	request, err := parseChatRequest(e.body)
	if err != nil {
		e.refuse(http.StatusBadRequest, "malformed_body", "the body is not a chat completion request: "+err.Error(), 0)
		return
	}
	if !e.snapshot.HasModel(request.Model) {
		e.refuse(http.StatusNotFound, "unknown_model", "no upstream serves model "+request.Model, 0)
		return
	}
	e.accepted = true
	ctx, cancel := e.context()
	defer cancel()
	c := &chat{exchange: e, model: request.Model, maxTokens: request.MaxTokens, prompt: request.summary()}
	c.answer = newAnswer(e, request)
	c.run(ctx)
}

// chat is a chat completion in progress.
type chat struct {
	*exchange
	answer    answer
	model     string
	maxTokens int
	prompt    prompt
	upstream  int // upstream of the last attempt
	attempts  attemptCount
	software  string // version of the replica that began the answer
	lastErr   error
	tried     []scheduling.ReplicaID

	preemptions int
}

func (c *chat) run(ctx context.Context) {
	for {
		assignment, err := c.acquire(ctx, c.schedulingRequest())
		if err != nil {
			c.giveUp(err)
			return
		}
		_, c.upstream, _ = c.snapshot.Upstream(assignment.Replica.Upstream)
		err = c.attempt(ctx, assignment)
		switch {
		case err == nil:
			c.complete()
			return
		case errors.Is(err, errPreempted):
			// The delivered tokens are kept and the rest is queued again.
			c.preemptions++
			c.lastErr = err
		case c.mayRetry(ctx, assignment, err):
			c.prepareRetry(assignment, err)
		default:
			c.giveUp(err)
			return
		}
	}
}

func (c *chat) schedulingRequest() scheduling.Request {
	return scheduling.Request{
		ID:           c.id,
		Class:        c.classIdx,
		Team:         c.teamIdx,
		Upstreams:    c.upstreams(),
		Model:        c.model,
		Fingerprint:  c.prompt.fingerprint,
		Parts:        c.prompt.parts,
		PrefixHashes: c.prompt.prefixes,
		PromptTokens: c.prompt.tokens,
		MaxTokens:    c.maxTokens,
		Arrived:      c.arrived,
		Deadline:     c.deadline,
		Resumable:    c.allResumable(),
		Attempt:      c.attempts.all,
		Exclude:      c.tried,
		Generation:   c.snapshot.Generation,
		Progress:     c.answer.position(),
		Preempted:    errors.Is(c.lastErr, errPreempted),
		Preemptions:  c.preemptions,

		PreviousNotRun: c.lastErr != nil && outcomeOf(c.lastErr) == outcome.NotRun,
	}
}

// upstreams are those that may run the next attempt. Once frames were passed on,
// only the same upstream continues the answer in the same way.
func (c *chat) upstreams() []int {
	if c.answer.position() > 0 {
		return []int{c.upstream}
	}
	return c.snapshot.Engines(c.model, c.classIdx)
}

func (c *chat) allResumable() bool {
	for _, u := range c.upstreams() {
		if !c.snapshot.Bundle.Upstreams[u].Resumable {
			return false
		}
	}
	return true
}

func (c *chat) resumable() bool { return c.snapshot.Bundle.Upstreams[c.upstream].Resumable }

// acquire queues a request until a replica is assigned to it.
func (e *exchange) acquire(ctx context.Context, request scheduling.Request) (*scheduler.Assignment, error) {
	queued := time.Now()
	ticket, err := e.server.Scheduler.Enqueue(request)
	if err != nil {
		return nil, err
	}
	assignment, err := ticket.Wait(ctx)
	waited := time.Since(queued)
	if cause := ended(ctx); err != nil && cause != nil {
		return nil, cause
	}
	if err != nil {
		return nil, err
	}
	e.server.metrics.queueWait[e.class.Tier].RecordDuration(waited)
	e.server.metrics.decided(assignment.Decision.Reason)
	e.logDecision(assignment, request.Attempt, waited)
	return assignment, nil
}

func (e *exchange) logDecision(a *scheduler.Assignment, attempt int, queued time.Duration) {
	event := e.server.Logger.Info().Str("request", e.id).Str("class", e.class.Name).Str("team", e.team.Name).
		Str("upstream", a.Replica.Upstream).Str("replica", a.Replica.Replica).
		Float64("score", a.Decision.Score).Str("reason", a.Decision.Reason).
		Bool("cross_zone", a.Decision.CrossZone).Int("attempt", attempt).
		Dur("queued", queued)
	for i, prefix := range [...]string{"second", "third"} {
		if i >= len(a.Decision.Alternatives) {
			break
		}
		alternative := &a.Decision.Alternatives[i]
		event = event.Str(prefix, alternative.Replica.String()).Float64(prefix+"_score", alternative.Score)
	}
	event.Msg("routing decision")
}

// attempt runs the request on one replica and passes its frames on. It notes
// the attempt's outcome and returns nil after the proper end of the stream.
func (c *chat) attempt(ctx context.Context, a *scheduler.Assignment) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if preempted := a.Preempted(); preempted != nil {
		go cancelWhenPreempted(ctx, cancel, preempted)
	}
	before := c.answer.position()
	stream, err := c.server.Forward.Chat(ctx, forward.Chat{
		Address:    a.Address,
		RequestID:  c.id,
		Tier:       c.class.Tier,
		ResumeFrom: before, SoftwareVersion: c.software,
		Body:         c.body,
		FirstTimeout: firstTimeout(c.class, &c.snapshot.Bundle.Limits),
		FrameTimeout: c.snapshot.Bundle.Limits.FrameTimeout.Std(),
		OnSend:       func() { c.server.records.Sent(c.id) },
		MayStart:     func() bool { return !a.Held() },
		OnLimit:      c.recordLimit(a),
		OnStatement:  c.recordStatement(a),
	})
	if err == nil {
		if before == 0 {
			c.software = stream.SoftwareVersion
		}
		err = c.passOn(stream, a)
		stream.Close()
	}
	cause := ended(ctx)
	a.Finish(resultOf(cause, err, c.answer.position()-before))
	c.server.reportSuspects()
	c.logCrash(cause, err, a)
	if err == nil {
		return nil
	}
	c.outcome = outcome.Combine(c.outcome, outcomeOf(err))
	if cause != nil {
		return cause
	}
	return err
}

func cancelWhenPreempted(ctx context.Context, cancel context.CancelCauseFunc, preempted <-chan struct{}) {
	select {
	case <-preempted:
		cancel(errPreempted)
	case <-ctx.Done():
	}
}

// firstTimeout bounds the wait for the first frame of an attempt. The deadline
// of the request bounds it too.
func firstTimeout(class *bundle.Class, limits *bundle.Limits) time.Duration {
	if class.FirstTokenTarget == 0 {
		return limits.FrameTimeout.Std()
	}
	return max(firstTokenFactor*class.FirstTokenTarget.Std(), minFirstTimeout)
}

// resultOf tells the scheduler how an attempt ended. cause is why its context
// ended, or nil.
func resultOf(cause, err error, tokens int) scheduling.Result {
	result := scheduling.Result{Tokens: tokens, Outcome: outcome.Completed}
	if err == nil {
		return result
	}
	result.Outcome = outcomeOf(err)
	result.Canceled = errors.Is(cause, errCallerGone) || errors.Is(cause, errPreempted) || errors.Is(cause, drain.ErrHostStops) || errors.Is(err, errCallerGone)
	result.Refused = errors.Is(err, forward.ErrRefused) || errors.Is(err, forward.ErrHeld)
	result.TimedOut = errors.Is(err, forward.ErrTimeout) || errors.Is(cause, errRouteTimeout)
	result.Crashed = cause == nil && (errors.Is(err, forward.ErrBroken) || errors.Is(err, forward.ErrMissingEnd))
	return result
}

// outcomeOf returns the outcome of an attempt that did not complete.
func outcomeOf(err error) outcome.Outcome {
	var status *forward.StatusError
	switch {
	case errors.Is(err, forward.ErrNotSent), errors.Is(err, forward.ErrRefused), errors.Is(err, forward.ErrHeld):
		return outcome.NotRun
	case errors.As(err, &status), errors.Is(err, forward.ErrTooLarge), errors.Is(err, errAnswerTooLong):
		return outcome.Failed
	default:
		return outcome.Unknown
	}
}

// attemptCount counts the attempts of a request that ended in an error.
type attemptCount struct {
	all int
	ran int // may have run
}

// after returns the count with a further attempt that ended in err.
func (n attemptCount) after(err error) attemptCount {
	n.all++
	if outcomeOf(err) != outcome.NotRun {
		n.ran++
	}
	return n
}

// left tells whether the bounds leave another attempt.
func (n attemptCount) left() bool { return n.ran < maxAttempts && n.all < maxTries }

// mayRetry tells whether another attempt is made: the last one certainly did not
// run, or the work may be repeated because no byte has reached the caller, or
// the stream can continue from the position passed on.
func (c *chat) mayRetry(ctx context.Context, a *scheduler.Assignment, err error) bool {
	if ctx.Err() != nil || !c.attempts.after(err).left() {
		return false
	}
	if errors.Is(err, errCallerGone) || errors.Is(err, errAnswerTooLong) {
		return false
	}
	var status *forward.StatusError
	if errors.As(err, &status) && status.Status < http.StatusInternalServerError {
		// Another replica would refuse the same request in the same way.
		return false
	}
	if c.answer.position() > 0 && !c.resumable() && c.answer.started() {
		return false
	}
	return c.hasUntried(c.retryUpstreams(), append(slices.Clip(c.tried), a.Replica))
}

// retryUpstreams are those that may run the attempt after a failed one.
func (c *chat) retryUpstreams() []int {
	if c.answer.position() > 0 && c.resumable() {
		return []int{c.upstream}
	}
	return c.snapshot.Engines(c.model, c.classIdx)
}

// hasUntried tells whether an upstream has a replica that is not among tried.
// Without one a request would wait in the queue until its deadline.
func (e *exchange) hasUntried(upstreams []int, tried []scheduling.ReplicaID) bool {
	for _, u := range upstreams {
		upstream := &e.snapshot.Bundle.Upstreams[u]
		for i := range upstream.Replicas {
			id := scheduling.ReplicaID{Upstream: upstream.Name, Replica: upstream.Replicas[i].ID}
			if !slices.Contains(tried, id) {
				return true
			}
		}
	}
	return false
}

func (c *chat) prepareRetry(a *scheduler.Assignment, err error) {
	c.attempts = c.attempts.after(err)
	c.lastErr = err
	c.tried = append(c.tried, a.Replica)
	c.server.metrics.class(c.class).retries.Inc(1)
	if c.answer.position() > 0 && !c.resumable() {
		c.waste(wasteRetry)
		c.answer.restart()
	}
}

func (c *chat) waste(cause string) {
	c.server.metrics.class(c.class).wasted[cause].Inc(int64(c.answer.position()))
}

func (c *chat) passOn(stream *forward.Stream, a *scheduler.Assignment) error {
	for received := 0; ; received++ {
		frame, err := stream.Next()
		if err != nil {
			return c.endAttempt(err, a)
		}
		if received == 0 {
			a.FirstToken()
		}
		if err := c.answer.add(frame); err != nil {
			return err
		}
		if stream.Buffered() {
			continue
		}
		if err := c.flush(a); err != nil {
			return err
		}
	}
}

// endAttempt passes on what was received before the end of an attempt.
func (c *chat) endAttempt(err error, a *scheduler.Assignment) error {
	if isProperEnd(err) {
		c.noteTokens(c.answer.settle(), a)
		return nil
	}
	c.answer.dropEnd()
	if flushErr := c.flush(a); flushErr != nil {
		return flushErr
	}
	return err
}

func (c *chat) flush(a *scheduler.Assignment) error {
	n, err := c.answer.flush()
	if n > 0 {
		c.noteTokens(n, a)
	}
	return err
}

// noteTokens keeps the times that attainment is judged by. It is called once for
// each batch of tokens.
func (c *chat) noteTokens(n int, a *scheduler.Assignment) {
	a.Token(n)
	c.timing.tokens += n
	c.timing.last = time.Now()
	if c.timing.first.IsZero() {
		c.timing.first = c.timing.last
		c.server.metrics.class(c.class).firstToken.RecordDuration(c.timing.first.Sub(c.arrived))
	}
}

// complete passes the end of the answer on. The outcome is completed only when
// the caller's connection took all of it.
func (c *chat) complete() {
	if err := c.answer.complete(); err != nil {
		c.waste(wasteCanceled)
		c.abandon(outcome.Unknown)
	}
	c.finish(outcome.Completed, http.StatusOK, "")
}

// giveUp ends a request that no attempt completed.
func (c *chat) giveUp(err error) {
	if errors.Is(err, errCallerGone) {
		c.waste(wasteCanceled)
		c.abandon(c.outcome)
	}
	c.waste(wasteBroken)
	var refusal *scheduling.RefusedError
	if errors.As(err, &refusal) && c.outcome != outcome.NotRun && c.lastErr != nil && !errors.Is(c.lastErr, errPreempted) {
		// A refused retry does not hide why it was needed.
		err = c.lastErr
	}
	if !c.answer.started() {
		c.answerError(err, c.retryAfter(c.schedulingRequest()))
		return
	}
	c.finish(c.outcome, http.StatusOK, errorCode(err))
	c.answer.abort(c.outcome, errorCode(err))
}
