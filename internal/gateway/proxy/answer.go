package proxy

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"heatherbarrow/internal/connends"
	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/gateway/upstream"
	"heatherbarrow/internal/membudget"
)

// maxBufferedBodyBytes is the longest non-streaming response body that is buffered
// completely before anything is sent to the caller, so that a truncated response can be
// retried or reported as an error. Longer bodies are forwarded as they arrive.
const maxBufferedBodyBytes = 1 << 20

// bufferedResponse is a replica's complete response.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// connectionHeaders describe the connection to the replica and the framing of the body on
// it. They are not forwarded to the caller.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Proxy-Connection", "Content-Length"}

// copyResponseHeader copies all headers except connectionHeaders.
func copyResponseHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	for _, name := range connectionHeaders {
		delete(dst, name)
	}
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// forwardPlain forwards a response that is not an event stream. A 5xx or 421 response is kept in
// p.replicaFailure instead, in case another replica succeeds.
func (e *exchange) forwardPlain(response *upstream.Response, reply routing.Reply, lease *fleet.Lease, p *progress, watchdog *watchdog) attemptResult {
	lease.FirstByte(time.Now())
	body, complete, err := e.bufferBody(response, p)
	e.notePlainPart(body, response.Status, reply, p)
	switch {
	case err != nil:
		return e.handleUnusable(err, fleet.Truncated, lease)
	case complete && e.mayBePart(response, lease, p):
		return e.handleUnusable(errMayBePart, fleet.ConnectionLost, lease)
	case !complete && p.headerSent:
		return e.handleUnusable(errors.New("response is too long to continue a stream"), fleet.Failed, lease)
	}
	success := response.Status < http.StatusMultipleChoices
	if success && !reply.Sealed {
		return e.handleUnusable(errors.New("response has no server seal"), fleet.Failed, lease)
	}
	if !complete {
		if !watchdog.received() {
			return e.handleUnusable(errStalled, fleet.Failed, lease)
		}
		return e.sendUnbuffered(response, body, lease, p)
	}
	response.MarkComplete()
	buffered := &bufferedResponse{status: response.Status, header: response.Header, body: body}
	if response.Status >= http.StatusInternalServerError || response.Status == http.StatusMisdirectedRequest {
		lease.End(fleet.Failed, time.Now())
		e.keepFailure(buffered, response, p)
		return attemptFailed
	}
	e.endServed(response, lease)
	if !p.headerSent && success && e.doubts(response, p) {
		return e.doubtPlain(buffered, response, lease, p)
	}
	if p.headerSent {
		// A plain response cannot continue the stream that the caller has begun to receive.
		return attemptFailed
	}
	if p.doubted != nil {
		if !success {
			return attemptFailed
		}
		e.answerVerified(buffered, response, p)
		return attemptDone
	}
	if e.route.Kind != routing.Streaming {
		watchdog.received() // ends what runs beside this attempt before the answer is written
	}
	e.sendBuffered(buffered)
	return attemptDone
}

// bufferBody reads the body of a response that is not an event stream. If there is no memory to buffer it, the body counts
// as one that is too long to be buffered, unless the response is a failure and another attempt may follow.
func (e *exchange) bufferBody(response *upstream.Response, p *progress) (body []byte, complete bool, err error) {
	body, complete, err = response.ReadAll(maxBufferedBodyBytes)
	mayFollow := e.route.Repeatable() && p.possibleRuns < e.maxAttempts()
	if !errors.Is(err, membudget.ErrExhausted) || response.Status >= http.StatusInternalServerError && mayFollow {
		return body, complete, err
	}
	e.server.metrics.exhaustedAnswers.Inc(1)
	e.server.opts.Logger.Info().Str("request", e.call.AttemptID).Err(err).Msg("answer is not buffered")
	return body, false, nil
}

// keepFailure keeps a replica's 5xx or 421 response in case no other attempt succeeds.
func (e *exchange) keepFailure(failure *bufferedResponse, response *upstream.Response, p *progress) {
	p.replicaFailure = failure
	e.failureMemory.Close()
	e.failureMemory = response.TakeMemory()
}

// exhausted reports whether an attempt is given up because its answer has no room in memory, and counts it.
func (e *exchange) exhausted(err error) bool {
	if !errors.Is(err, membudget.ErrExhausted) {
		return false
	}
	e.server.metrics.exhaustedAnswers.Inc(1)
	return true
}

// endServed ends the lease of a complete response.
func (e *exchange) endServed(response *upstream.Response, lease *fleet.Lease) {
	result := fleet.Served
	if response.Unframed {
		result = fleet.ServedUnframed
	}
	e.endLease(lease, result, time.Now())
}

// handleUnusable ends an attempt whose response broke off, had no events, lacked the server
// seal (a header that shows that the replica itself produced the response) or is too long to
// buffer although the caller has begun to receive a stream.
func (e *exchange) handleUnusable(err error, leaseResult fleet.Result, lease *fleet.Lease) attemptResult {
	if e.exhausted(err) || errors.Is(err, errOutOfTime) {
		leaseResult = fleet.Failed
	}
	if e.abandoned() {
		leaseResult = fleet.Abandoned
	}
	e.endLease(lease, leaseResult, time.Now())
	e.server.opts.Logger.Info().Str("request", e.call.AttemptID).Str("replica", lease.Member.ID).
		Str("parts", e.partIDs()).Err(err).Msg("answer is incomplete")
	return attemptMayHaveRun
}

// sendBuffered sends a replica's complete response to the caller.
func (e *exchange) sendBuffered(a *bufferedResponse) {
	h := e.w.Header()
	copyResponseHeader(h, a.header)
	if e.server.drain.Begun() {
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	e.record.responded(a.status)
	e.boundLastWrite()
	e.w.WriteHeader(a.status)
	if _, err := e.w.Write(a.body); err != nil {
		e.record.outcome = outcomeCallerGone
	}
}

// sendUnbuffered forwards a response longer than maxBufferedBodyBytes as it arrives.
// bodyStart is the part of the body that has been read already.
func (e *exchange) sendUnbuffered(response *upstream.Response, bodyStart []byte, lease *fleet.Lease, p *progress) attemptResult {
	p.headerSent = true
	copyResponseHeader(e.w.Header(), response.Header)
	e.record.responded(response.Status)
	e.w.WriteHeader(response.Status)
	caller := &callerWriter{w: e.w}
	_, _ = caller.Write(bodyStart) // an error is that of the copy too
	response.Drop(bodyStart)
	_, err := io.Copy(caller, response.Body)
	if err == nil && e.mayBePart(response, lease, p) {
		err = errMayBePart
	}
	if caller.err != nil {
		return e.endCallerGone(lease)
	}
	if err != nil {
		e.endLease(lease, e.brokenResult(fleet.Truncated), time.Now())
		e.abortResponse()
	}
	response.MarkComplete()
	e.endServed(response, lease)
	return attemptDone
}

// callerWriter writes to the caller and keeps the error, which says nothing about the replica.
type callerWriter struct {
	w   io.Writer
	err error
}

// Write implements io.Writer.
func (c *callerWriter) Write(p []byte) (n int, err error) {
	if c.err == nil {
		n, c.err = c.w.Write(p)
	}
	return n, c.err
}

// brokenResult returns the result of an attempt whose answer broke off in the given way, unless this host has ended it: as
// it stops, as the caller has disconnected, or as the time of the request is over. In the last case the replica failed to
// end the answer in time, but no connection was lost.
func (e *exchange) brokenResult(broken fleet.Result) fleet.Result {
	switch {
	case e.abandoned():
		return fleet.Abandoned
	case !time.Now().Before(e.deadline.Add(-connends.DeadlineMargin)):
		return fleet.Failed
	}
	return broken
}

// errStalled means that the watchdog has given the attempt up.
var errStalled = errors.New("replica took too long")

// forwardStream forwards the events of a stream as they arrive.
func (e *exchange) forwardStream(response *upstream.Response, reply routing.Reply, lease *fleet.Lease, p *progress, watchdog *watchdog) attemptResult {
	if !reply.Sealed {
		return e.handleUnusable(errors.New("stream has no server seal"), fleet.Failed, lease)
	}
	events := response.Events()
	if p.headerSent {
		events.Continue()
	}
	controller := http.NewResponseController(e.w)
	var firstEventAt time.Time
	eventsBefore := p.events
	var bufferedComments []byte // received before the first event
	for {
		event, err := events.Next()
		begun := p.events > eventsBefore
		if err == io.EOF && (e.streamMayBePart(response, lease, p, begun) || !begun && e.emptyMayBePart(response, lease, p)) {
			err = errMayBePart
		}
		if err == io.EOF {
			lease.RecordStream(p.events-eventsBefore, time.Since(firstEventAt), time.Now())
			switch {
			case begun && e.doubts(response, p):
				return e.doubtStream(response, lease, p)
			case !begun && e.emptyVerifiesNothing(response, p):
				response.MarkComplete()
				e.endServed(response, lease)
				return attemptDoubted
			}
			return e.handleStreamEnd(response, lease, p, begun)
		}
		if err != nil {
			if events.Partial() {
				e.notePart(p.doubted)
			}
			return e.handleBrokenStream(err, response, lease, p, controller)
		}
		if event.CommentOnly {
			bufferedComments, err = e.forwardComments(bufferedComments, event.Raw, p)
			if err == nil && p.headerSent && !events.Pending() {
				err = controller.Flush()
			}
			switch {
			case errors.Is(err, upstream.ErrResponseTooLarge):
				return e.handleBrokenStream(err, response, lease, p, controller)
			case err != nil:
				return e.endCallerGone(lease)
			}
			continue
		}
		if firstEventAt.IsZero() {
			firstEventAt = time.Now()
			lease.FirstByte(firstEventAt)
			e.countRun(lease, firstEventAt)
			e.record.attemptFirst = lease.Age(firstEventAt)
		}
		if !p.inSequence(event.ID, begun) {
			return e.handleBrokenStream(errOutOfSequence, response, lease, p, controller)
		}
		if !watchdog.received() {
			return e.handleBrokenStream(errStalled, response, lease, p, controller)
		}
		err = e.forwardEvent(&event, bufferedComments, response, lease, p)
		bufferedComments = nil
		if err == nil && !events.Pending() {
			err = controller.Flush()
		}
		if err != nil {
			return e.endCallerGone(lease)
		}
		e.awaitEvent(watchdog, p)
	}
}

// forwardEvent forwards an event, after the header and the comments received before it if it is the caller's first.
func (e *exchange) forwardEvent(event *upstream.Event, comments []byte, response *upstream.Response, lease *fleet.Lease, p *progress) error {
	if !p.headerSent {
		e.recordOrigin(lease, response.Checked || !e.processMatters(lease), p)
		e.record.firstEventAfter = time.Since(e.arrived)
		e.sendStreamHeader(response, p)
		if _, err := e.w.Write(comments); err != nil {
			return err
		}
	}
	if _, err := e.w.Write(event.Raw); err != nil {
		return err
	}
	e.notePart(p.doubted)
	p.noteEvent(event.ID)
	e.record.event(event.ID, time.Now())
	return nil
}

// maxBufferedCommentBytes bounds the comments that are buffered before the first event.
const maxBufferedCommentBytes = 4 << 10

// forwardComments forwards stream comments once the caller has received the response
// header. Comments before the first event are buffered until that event arrives, because
// until then another replica may still serve the response. It returns the buffered comments.
func (e *exchange) forwardComments(buffered, comment []byte, p *progress) ([]byte, error) {
	if p.headerSent {
		_, err := e.w.Write(comment)
		return nil, err
	}
	if len(buffered)+len(comment) > maxBufferedCommentBytes {
		return buffered, upstream.ErrResponseTooLarge
	}
	return append(buffered, comment...), nil
}

// endCallerGone ends an attempt whose caller has disconnected. It panics with
// http.ErrAbortHandler and does not return.
func (e *exchange) endCallerGone(lease *fleet.Lease) attemptResult {
	lease.End(fleet.Abandoned, time.Now())
	e.record.outcome = outcomeCallerGone
	e.closeCaller()
	return attemptDone
}

// sendStreamHeader sends the header of a replica's stream to the caller.
func (e *exchange) sendStreamHeader(response *upstream.Response, p *progress) {
	p.headerSent = true
	copyResponseHeader(e.w.Header(), response.Header)
	e.record.responded(response.Status)
	e.w.WriteHeader(response.Status)
}

// handleStreamEnd ends an attempt whose stream ended properly. begun means that the replica sent an
// event. The caller may have all events but not the end, so that a continuation may have none.
func (e *exchange) handleStreamEnd(response *upstream.Response, lease *fleet.Lease, p *progress, begun bool) attemptResult {
	if !begun && p.lastEventID == "" {
		leaseResult := fleet.Failed
		if response.Unframed {
			leaseResult = fleet.Truncated
		}
		return e.handleUnusable(errors.New("stream ended without an event"), leaseResult, lease)
	}
	response.MarkComplete()
	e.endServed(response, lease)
	p.assumed.stop()
	if !p.headerSent {
		e.sendStreamHeader(response, p)
	}
	e.server.opts.Origins.Complete(e.firstAttemptID())
	return attemptDone
}

// emptyMayBePart reports whether an unframed continuation without events may have been cut before the first one. Where there are
// signs of cuts, it is the end of the stream only if a second replica has nothing to add either. If none may be asked, it is unless
// another run has broken off within this answer: the caller can take the stream up then.
func (e *exchange) emptyMayBePart(response *upstream.Response, lease *fleet.Lease, p *progress) bool {
	switch {
	case !response.Unframed, p.lastEventID == "", p.doubted != nil, p.emptyBefore, !e.server.cutSuspected():
		return false
	case p.possibleRuns > 1, e.delegation != nil && len(e.delegation.ran) > 0:
	case !e.mayVerify(p):
		return false
	default:
		others := e.fleetRequest(e.record.upstream, p)
		others.Exclude = append(slices.Clone(p.exclude), lease.Member.ID)
		if !e.server.opts.Fleet.Available(others, time.Now()) {
			return false
		}
	}
	p.emptyBefore = true
	return true
}

// handleBrokenStream ends an attempt whose stream broke off, carried an event out of sequence,
// or had an event or comments above a size limit. The caller receives the complete events that
// arrived before.
func (e *exchange) handleBrokenStream(err error, response *upstream.Response, lease *fleet.Lease, p *progress, controller *http.ResponseController) attemptResult {
	if p.headerSent {
		_ = controller.Flush() // an error is ignored: callerGone below detects a disconnected caller
	}
	leaseResult := fleet.ConnectionLost
	switch {
	case e.exhausted(err):
		leaseResult = fleet.Failed
	case errors.Is(err, upstream.ErrTruncatedEvent):
		// A framed body that ends in the middle of an event was sent that way.
		leaseResult = fleet.Failed
		if response.Unframed {
			leaseResult = fleet.Truncated
			e.server.opts.Client.NoteCutSign(response, time.Now())
		}
	}
	leaseResult = e.brokenResult(leaseResult)
	e.endLease(lease, leaseResult, time.Now())
	e.server.opts.Logger.Info().Str("request", e.call.AttemptID).Str("replica", lease.Member.ID).Str("software", lease.Member.SoftwareVersion).
		Int("events", p.events).Str("parts", e.partIDs()).Err(err).Msg("stream broke off")
	return attemptMayHaveRun
}
