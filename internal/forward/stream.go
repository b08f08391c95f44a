package forward

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"heatherbarrow/internal/membudget"
)

const (
	maxFrameBytes = 256 << 10
	// maxKeptLineBytes is the largest buffer of a line that is kept for the next one.
	maxKeptLineBytes = 8 << 10
	// readBufferSize is small because it is held for every open stream; the
	// connection below has a buffer of its own.
	readBufferSize = 2 << 10
	// endTimeout bounds the wait for the end of a body after the end of its
	// stream, so that the connection can be used again.
	endTimeout = 50 * time.Millisecond
)

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// readers are kept for reuse, since each stream needs one.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// Frame is one event of a stream.
type Frame struct {
	Data    []byte // the JSON document; valid until the next call of Next
	Index   int    // token position; that of the finish reason for a trailer
	Last    bool   // the frame has a finish reason
	Trailer bool   // the frame follows the finish reason and has no choices, for example usage
}

// Stream is an answer in progress. One goroutine uses it.
type Stream struct {
	// SoftwareVersion is the replica's, as the head of the answer states it.
	SoftwareVersion string

	frameTimer
	id        string
	prefix    []byte // beginning of a frame of this request in the common layout
	next      int
	body      io.ReadCloser
	reader    *bufio.Reader
	timeout   time.Duration
	begun     bool // the first frame was read, so timeout applies
	buffered  bool // Buffered found the next frame, so that it needs no wait
	finished  bool // the frame with the finish reason was read
	ended     bool // the proper end was read
	trailing  int  // bytes of the frames behind the finish reason
	lineBytes []byte
	memory    *membudget.Account // holds lineBytes
}

func newStream(call *Chat, memory *membudget.Account, cancel context.CancelFunc) *Stream {
	s := &Stream{
		id: call.RequestID, prefix: commonPrefix(call.RequestID), next: call.ResumeFrom,
		timeout: call.FrameTimeout, memory: memory,
	}
	s.start(call.FirstTimeout, cancel)
	return s
}

func (s *Stream) read(body io.ReadCloser) {
	s.body = body
	s.reader = readers.Get().(*bufio.Reader)
	s.reader.Reset(body)
}

// Next returns the next frame. It returns io.EOF after the proper end of the stream.
func (s *Stream) Next() (Frame, error) {
	data, err := s.nextData()
	if err != nil {
		return Frame{}, s.readError(err)
	}
	if !bytes.Equal(data, doneMarker) {
		return s.check(data)
	}
	if !s.finished {
		return Frame{}, ErrMissingEnd
	}
	s.ended = true
	return Frame{}, io.EOF
}

func (s *Stream) check(data []byte) (Frame, error) {
	if s.finished {
		return s.trailer(data)
	}
	index, last, ok := parseCommon(data, s.prefix)
	if !ok {
		var err error
		if index, last, err = s.decode(data); err != nil {
			return Frame{}, err
		}
	}
	if index != s.next {
		return Frame{}, eris.Wrapf(ErrForeignFrame, "frame is not at position %d", s.next)
	}
	s.next++
	s.finished = last
	return Frame{Data: data, Index: index, Last: last}, nil
}

// trailer checks a frame behind the one with the finish reason. Engines send the
// usage that way; it has no token and so no position.
func (s *Stream) trailer(data []byte) (Frame, error) {
	// The router holds these frames back until the end, so they are bounded.
	if s.trailing += len(data); s.trailing > maxFrameBytes {
		return Frame{}, eris.Wrap(ErrForeignFrame, "too much behind the finish reason")
	}
	c, err := s.unmarshal(data)
	if err != nil {
		return Frame{}, err
	}
	if len(c.Choices) > 0 {
		return Frame{}, eris.Wrap(ErrForeignFrame, "frame has a choice behind the finish reason")
	}
	return Frame{Data: data, Index: s.next - 1, Trailer: true}, nil
}

// chunk is the part of a frame that is checked.
type chunk struct {
	ID      string `json:"id"`
	Index   *int   `json:"index"`
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// decode reads a frame in any layout.
func (s *Stream) decode(data []byte) (index int, last bool, err error) {
	c, err := s.unmarshal(data)
	if err != nil {
		return 0, false, err
	}
	if c.Index == nil {
		return 0, false, eris.Wrap(ErrForeignFrame, "frame has no position")
	}
	last = len(c.Choices) > 0 && c.Choices[0].FinishReason != nil
	return *c.Index, last, nil
}

func (s *Stream) unmarshal(data []byte) (*chunk, error) {
	c := new(chunk)
	if err := json.Unmarshal(data, c); err != nil {
		return nil, eris.Wrap(ErrForeignFrame, err.Error())
	}
	if c.ID != s.id {
		return nil, eris.Wrapf(ErrForeignFrame, "frame of request %q", c.ID)
	}
	return c, nil
}

func (s *Stream) readError(err error) error {
	switch {
	case s.timedOut.Load():
		return ErrTimeout
	case errors.Is(err, io.EOF):
		return ErrMissingEnd
	case errors.Is(err, bufio.ErrBufferFull):
		return eris.Wrap(ErrForeignFrame, "frame is too large")
	default:
		return eris.Wrap(ErrBroken, err.Error())
	}
}

// nextData returns the data of the next event. Events of the engines have one
// data line each; other fields and comments are passed over.
func (s *Stream) nextData() ([]byte, error) {
	if s.begun && !s.buffered {
		s.begin()
	}
	for {
		line, err := s.readLine()
		if err != nil {
			return nil, err
		}
		if data, ok := bytes.CutPrefix(line, dataPrefix); ok {
			s.noteFrame()
			return bytes.TrimSpace(data), nil
		}
	}
}

func (s *Stream) noteFrame() {
	s.end()
	s.buffered = false
	if !s.begun {
		s.begun = true
		s.setLimit(s.timeout)
	}
}

func (s *Stream) readLine() ([]byte, error) {
	s.lineBytes = s.lineBytes[:0]
	if cap(s.lineBytes) > maxKeptLineBytes {
		s.memory.Shrink(cap(s.lineBytes))
		s.lineBytes = nil
	}
	line, err := s.reader.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	for {
		var exhausted error
		if s.lineBytes, exhausted = s.memory.Append(s.lineBytes, line, maxFrameBytes); exhausted != nil {
			return nil, exhausted
		}
		if !errors.Is(err, bufio.ErrBufferFull) || len(s.lineBytes) > maxFrameBytes {
			return s.lineBytes, err
		}
		line, err = s.reader.ReadSlice('\n')
	}
}

// Buffered tells whether the next event has arrived completely, so that it is worth reading on before flushing.
func (s *Stream) Buffered() bool {
	pending, _ := s.reader.Peek(s.reader.Buffered())
	s.buffered = false
	for {
		line, rest, complete := bytes.Cut(pending, []byte{'\n'})
		if !complete {
			return false
		}
		if bytes.HasPrefix(line, dataPrefix) {
			s.buffered = true
			return true
		}
		pending = rest
	}
}

// Position returns the position of the next frame.
func (s *Stream) Position() int { return s.next }

// Close ends the attempt; work still running on the replica is canceled. After
// the proper end of the stream the connection is kept for the next request.
func (s *Stream) Close() {
	defer s.memory.Close()
	if s.ended {
		s.begin()
		s.setLimit(endTimeout)
		_, _ = s.reader.Peek(s.reader.Buffered() + 1)
	}
	s.stop()
	s.cancel()
	if s.body == nil {
		return
	}
	_ = s.body.Close()
	s.reader.Reset(nil)
	readers.Put(s.reader)
	s.reader = nil
}
