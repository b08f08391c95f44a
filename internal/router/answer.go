package router

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"heatherbarrow/internal/forward"
	"heatherbarrow/internal/outcome"
)

const (
	// maxCollectedBytes bounds a plain answer, which is held in memory whole.
	maxCollectedBytes = 8 << 20
	// maxBatchBytes bounds the frames that are written with one flush.
	maxBatchBytes = 8 << 10
)

var errAnswerTooLong = errors.New("answer is too long to be sent in one piece; use a stream")

func isProperEnd(err error) bool { return errors.Is(err, io.EOF) }

// answer passes a chat completion on to the caller. The frame with the finish
// reason is held back until the proper end of the stream was received, so that
// no caller takes a broken stream for a complete one, and so that a stream which
// broke just before its end can continue from there.
type answer interface {
	// add takes the next frame. The frame's data is copied.
	add(f forward.Frame) error
	// flush passes on the frames added and returns their number.
	flush() (int, error)
	// settle counts the frames that complete will pass on, among them the frame
	// with the finish reason, and returns their number.
	settle() int
	// dropEnd forgets the frame with the finish reason and those behind it.
	dropEnd()
	// position is the number of frames passed on, or kept for a plain answer.
	position() int
	// started tells whether the caller has received any part of the answer.
	started() bool
	// restart forgets all frames. It is called only while started is false.
	restart()
	// complete passes on the end of an answer whose proper end was received.
	complete() error
	// abort ends a started answer that has no proper end.
	abort(o outcome.Outcome, code string)
}

func newAnswer(e *exchange, request *chatRequest) answer {
	if request.Stream {
		return &streamAnswer{exchange: e}
	}
	return newPlainAnswer(e, request.Model)
}

// streamAnswer passes frames on as server-sent events.
type streamAnswer struct {
	*exchange
	headerSent bool
	out        []byte // frames not yet written
	pending    int    // number of frames in out
	held       []byte // event with the finish reason, and those behind it
	passed     int
}

func (a *streamAnswer) add(f forward.Frame) error {
	if f.Last || f.Trailer {
		a.held = appendEvent(a.held, f.Data)
		return nil
	}
	a.out = appendEvent(a.out, f.Data)
	a.pending++
	if len(a.out) < maxBatchBytes {
		return nil
	}
	return a.write()
}

func appendEvent(out, data []byte) []byte {
	out = append(out, "data: "...)
	out = append(out, data...)
	return append(out, "\n\n"...)
}

// write hands the frames to the server's buffer, which writes on its own when full.
func (a *streamAnswer) write() error {
	if !a.headerSent {
		a.headerSent = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-store")
		a.w.WriteHeader(http.StatusOK)
	}
	a.extendWriteDeadline()
	_, err := a.w.Write(a.out)
	a.out = a.out[:0]
	if err != nil {
		return errCallerGone
	}
	return nil
}

func (a *streamAnswer) flush() (int, error) {
	n := a.pending
	if n == 0 {
		return 0, nil
	}
	if err := a.writeAndFlush(); err != nil {
		return 0, err
	}
	a.pending = 0
	a.passed += n
	return n, nil
}

func (a *streamAnswer) writeAndFlush() error {
	defer a.endWrite()
	if err := a.write(); err != nil {
		return err
	}
	if a.controller.Flush() != nil {
		return errCallerGone
	}
	return nil
}

func (a *streamAnswer) settle() int {
	n := a.pending + 1
	a.pending = 0
	a.passed += n
	return n
}

func (a *streamAnswer) dropEnd()      { a.held = nil }
func (a *streamAnswer) position() int { return a.passed }
func (a *streamAnswer) started() bool { return a.headerSent }
func (a *streamAnswer) restart()      {}

func (a *streamAnswer) complete() error {
	a.out = append(a.out, a.held...)
	a.out = append(a.out, "data: [DONE]\n\n"...)
	a.appendOutcome(outcomeEvent{RequestID: a.id, Outcome: outcome.Completed})
	return a.writeAndFlush()
}

func (a *streamAnswer) abort(o outcome.Outcome, code string) {
	a.out = a.out[:0]
	a.appendOutcome(outcomeEvent{RequestID: a.id, Outcome: o, Code: code})
	_ = a.writeAndFlush()
}

func (a *streamAnswer) appendOutcome(event outcomeEvent) {
	data, _ := json.Marshal(event)
	a.out = append(a.out, "event: outcome\ndata: "...)
	a.out = append(a.out, data...)
	a.out = append(a.out, "\n\n"...)
}

// outcomeEvent is the data of the event that ends every stream.
type outcomeEvent struct {
	RequestID string          `json:"request_id"`
	Outcome   outcome.Outcome `json:"outcome"`
	Code      string          `json:"code,omitempty"` // why the stream did not complete
}
