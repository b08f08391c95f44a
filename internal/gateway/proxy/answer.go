package proxy

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/gateway/upstream"
)

// maxPlainBody is the longest answer that is held until it is complete, so that a
// broken one can be repeated or told as broken. Longer ones are passed on as they
// arrive.
const maxPlainBody = 1 << 20

// upstreamAnswer is a replica's complete answer.
type upstreamAnswer struct {
	status int
	header http.Header
	body   []byte
}

// droppedHeaders concern the connection to the replica.
var droppedHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Proxy-Connection", "Content-Length"}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	for _, name := range droppedHeaders {
		delete(dst, name)
	}
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// plain passes on an answer that is not a stream.
func (e *exchange) plain(response *upstream.Response, reply routing.Reply, lease *fleet.Lease, p *progress) verdict {
	lease.FirstByte(time.Now())
	body, whole, err := upstream.ReadAll(response.Body, maxPlainBody)
	if err != nil || !whole && p.started {
		return e.spoiled(err, lease)
	}
	success := response.Status < http.StatusMultipleChoices
	if success && !reply.Sealed {
		return e.spoiled(errors.New("answer has no seal"), lease)
	}
	if !whole {
		return e.passOnLong(response, body, lease)
	}
	response.Keep()
	answer := &upstreamAnswer{status: response.Status, header: response.Header, body: body}
	if response.Status >= http.StatusInternalServerError {
		lease.End(fleet.Failed, time.Now())
		p.rejected = answer
		return ranFailed
	}
	lease.End(fleet.Served, time.Now())
	if p.started {
		// A stream cannot go on with a plain answer.
		return ranFailed
	}
	e.passOn(answer)
	return done
}

// spoiled settles an attempt whose answer broke off or is not the replica's.
func (e *exchange) spoiled(err error, lease *fleet.Lease) verdict {
	result := fleet.Failed
	if e.r.Context().Err() != nil {
		result = fleet.Abandoned
	}
	lease.End(result, time.Now())
	e.server.opts.Logger.Info().Str("request", e.call.AttemptID).Str("replica", lease.Member.ID).
		Err(err).Msg("answer is incomplete")
	return mayHaveRun
}

// passOn sends a replica's complete answer to the caller.
func (e *exchange) passOn(a *upstreamAnswer) {
	h := e.w.Header()
	copyHeader(h, a.header)
	if e.server.draining.Load() {
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	e.record.served(a.status)
	e.w.WriteHeader(a.status)
	if _, err := e.w.Write(a.body); err != nil {
		e.record.outcome = outcomeCallerGone
	}
}

// passOnLong sends an answer that is too long to be held.
func (e *exchange) passOnLong(response *upstream.Response, head []byte, lease *fleet.Lease) verdict {
	copyHeader(e.w.Header(), response.Header)
	e.record.served(response.Status)
	e.w.WriteHeader(response.Status)
	_, writeErr := e.w.Write(head)
	_, copyErr := io.Copy(e.w, response.Body)
	if writeErr != nil || copyErr != nil {
		lease.End(fleet.Failed, time.Now())
		e.abort()
	}
	response.Keep()
	lease.End(fleet.Served, time.Now())
	return done
}

// stream passes the events of an answer on as they arrive.
func (e *exchange) stream(response *upstream.Response, reply routing.Reply, lease *fleet.Lease, p *progress, watchdog *time.Timer) verdict {
	if !reply.Sealed {
		return e.spoiled(errors.New("stream has no seal"), lease)
	}
	events := upstream.NewEventReader(response.Body)
	controller := http.NewResponseController(e.w)
	var began time.Time // the first event
	before := p.events
	var comments []byte // before the first event
	for {
		event, err := events.Next()
		if err == io.EOF {
			lease.RecordStream(p.events-before, time.Since(began), time.Now())
			return e.streamEnded(response, lease, p)
		}
		if err != nil {
			return e.streamBroken(err, lease, p, controller)
		}
		if event.Empty {
			comments, err = e.passComments(comments, event.Raw, p)
			switch {
			case errors.Is(err, upstream.ErrEndless):
				return e.streamBroken(err, lease, p, controller)
			case err != nil:
				return e.abandon(lease)
			}
			continue
		}
		if began.IsZero() {
			began = time.Now()
			lease.FirstByte(began)
		}
		e.rearm(watchdog)
		if !e.follows(event, p) {
			return e.streamBroken(errors.New("event is out of order"), lease, p, controller)
		}
		if !p.started {
			p.started = true
			copyHeader(e.w.Header(), response.Header)
			e.record.served(response.Status)
			e.record.first = time.Since(e.arrived)
			e.w.WriteHeader(response.Status)
			_, err = e.w.Write(comments)
		}
		if err == nil {
			_, err = e.w.Write(event.Raw)
		}
		if err == nil && !events.Pending() {
			err = controller.Flush()
		}
		if err != nil {
			return e.abandon(lease)
		}
		p.events++
		e.record.event(time.Now())
		if event.ID != "" {
			p.lastEvent = event.ID
		}
	}
}

// maxComments bounds the comments before the first event that are held back.
const maxComments = 4 << 10

// passComments passes comments on once the answer has begun. Those before the first event
// are held back until it comes: the answer has not begun, and may come from elsewhere.
func (e *exchange) passComments(held, comment []byte, p *progress) ([]byte, error) {
	if p.started {
		_, err := e.w.Write(comment)
		return nil, err
	}
	if len(held)+len(comment) > maxComments {
		return held, upstream.ErrEndless
	}
	return append(held, comment...), nil
}

// abandon ends a stream whose caller has left.
func (e *exchange) abandon(lease *fleet.Lease) verdict {
	lease.End(fleet.Abandoned, time.Now())
	e.record.outcome = outcomeCallerGone
	panic(http.ErrAbortHandler)
}

// rearm gives a stream that may go on elsewhere time for its next event.
func (e *exchange) rearm(watchdog *time.Timer) {
	if !watchdog.Stop() || e.route.GapTarget <= 0 {
		return
	}
	watchdog.Reset(max(time.Duration(stallGaps*float64(e.route.GapTarget)), leastAnswerWait))
}

// follows tells whether an event may come after the last one passed on: numbered
// events rise, one by one where the stream goes on at another replica.
func (e *exchange) follows(event upstream.Event, p *progress) bool {
	last, err1 := strconv.ParseInt(p.lastEvent, 10, 64)
	next, err2 := strconv.ParseInt(event.ID, 10, 64)
	if err1 != nil || err2 != nil {
		return true // identifiers that are no numbers have no order
	}
	return next == last+1
}

func (e *exchange) streamEnded(response *upstream.Response, lease *fleet.Lease, p *progress) verdict {
	if !p.started {
		return e.spoiled(errors.New("stream without an event"), lease)
	}
	response.Keep()
	lease.End(fleet.Served, time.Now())
	return done
}

// streamBroken settles an attempt whose stream broke off. The caller gets the
// whole events that arrived before.
func (e *exchange) streamBroken(err error, lease *fleet.Lease, p *progress, controller *http.ResponseController) verdict {
	if p.started {
		_ = controller.Flush() // a caller that left is noticed by its context
	}
	result := fleet.Unreachable
	if e.r.Context().Err() != nil || errors.Is(err, upstream.ErrTornEvent) {
		result = fleet.Failed
	}
	if e.callerGone() {
		result = fleet.Abandoned
	}
	e.end(lease, result, time.Now())
	e.server.opts.Logger.Info().Str("request", e.call.AttemptID).Str("replica", lease.Member.ID).
		Err(err).Msg("stream broke off")
	return mayHaveRun
}
