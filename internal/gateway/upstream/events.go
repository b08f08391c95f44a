package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"heatherbarrow/internal/membudget"
)

const (
	// maxEventBytes limits the size of each event.
	maxEventBytes = 1 << 20
	// smallEventBytes is the size of a buffer that is kept for the next event, maxKeptEventBytes that of the largest that
	// is kept after an event that fills at least a part of it.
	smallEventBytes   = 4 << 10
	maxKeptEventBytes = 32 << 10
	keptEventDivisor  = 4
)

// ErrTruncatedEvent means that a stream ended in the middle of an event.
var ErrTruncatedEvent = errors.New("stream ended in the middle of an event")

// Event is one event of a server-sent event stream.
type Event struct {
	Raw []byte // the bytes as received, including the terminating empty line; valid until the next call of Next
	ID  string // empty if the event has none
	// CommentOnly reports whether the event consists only of comments, or of nothing but
	// the empty line. A server sends comments to keep the connection open, so they do not
	// count as progress of the response.
	CommentOnly bool
}

// EventReader splits a stream into server-sent events. A "\n" that comes later than the "\r" with which an event ends is an
// event of its own that consists of nothing.
type EventReader struct {
	reader      *bufio.Reader
	buf         []byte
	memory      *membudget.Account
	endedWithCR bool  // the last byte read is a "\r" after which a "\n" may follow
	usesCRLF    bool  // lines have ended with "\r\n"
	begun       bool  // a line has been read
	continues   bool  // see Continue
	failed      error // of a look for the rest of a line end; a body may tell of an early end only once
}

// NewEventReader returns an EventReader that reads from body. The account holds the events.
func NewEventReader(body io.Reader, memory *membudget.Account) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(body, readBufferBytes), memory: memory}
}

// byteOrderMark may come before the first event. Callers skip it there only.
var byteOrderMark = []byte("\ufeff")

// Continue makes the reader drop a byte order mark, as the events follow others that the caller has. It is called before Next.
func (r *EventReader) Continue() { r.continues = true }

// Next returns the next event. The error is io.EOF if the stream ended after a complete
// event, and ErrTruncatedEvent or the read error if it broke off. An event longer than
// maxEventBytes gives an error too, and so does one that the account cannot hold.
func (r *EventReader) Next() (Event, error) {
	e := Event{CommentOnly: true}
	r.dropLargeBuffer()
	r.buf = r.buf[:0]
	lineStart := 0
	for {
		if r.restOfLineEnd() {
			if err := r.add([]byte{'\n'}); err != nil {
				return Event{}, err
			}
			if len(r.buf) == 1 {
				e.Raw = r.buf
				return e, nil
			}
			lineStart++
		}
		line, err := r.readLine()
		if exhausted := r.add(line); exhausted != nil {
			return Event{}, exhausted
		}
		if errors.Is(err, bufio.ErrBufferFull) && len(r.buf) < maxEventBytes {
			continue
		}
		if err != nil {
			markOnly := !r.begun && bytes.Equal(r.buf, byteOrderMark)
			if errors.Is(err, io.EOF) && !markOnly && (len(r.buf) > 0 || r.endedWithCR && r.usesCRLF) {
				err = ErrTruncatedEvent
			}
			return Event{}, err
		}
		if len(r.buf) > maxEventBytes {
			return Event{}, errors.New("event exceeds its size limit")
		}
		if !r.begun {
			r.begun = true
			lineStart = r.skipMark()
		}
		text := bytes.TrimRight(r.buf[lineStart:], "\r\n")
		lineStart = len(r.buf)
		if len(text) == 0 {
			e.Raw = r.buf
			return e, nil
		} else if text[0] == ':' {
			continue
		} else if id, ok := bytes.CutPrefix(text, []byte("id:")); ok && bytes.IndexByte(id, 0) < 0 {
			e.ID = string(bytes.TrimSpace(id))
		}
		e.CommentOnly = false
	}
}

// dropLargeBuffer drops the buffer if it is much larger than most events need.
func (r *EventReader) dropLargeBuffer() {
	size := cap(r.buf)
	if size <= smallEventBytes || size <= maxKeptEventBytes && len(r.buf) >= size/keptEventDivisor {
		return
	}
	r.memory.Shrink(size)
	r.buf = nil
}

// add appends to the buffer, whose capacity the account holds.
func (r *EventReader) add(data []byte) (err error) {
	r.buf, err = r.memory.Append(r.buf, data, maxEventBytes)
	return err
}

// skipMark returns the length of the byte order mark before the first line, or drops the mark.
func (r *EventReader) skipMark() int {
	rest, found := bytes.CutPrefix(r.buf, byteOrderMark)
	switch {
	case !found:
		return 0
	case r.continues:
		r.buf = append(r.buf[:0], rest...)
		return 0
	}
	return len(byteOrderMark)
}

// lineLength returns the length of the first line of a text with its end, which is "\r\n", "\n" or "\r", or 0 if it has none.
func lineLength(text []byte) int {
	lf := bytes.IndexByte(text, '\n')
	if lf >= 0 {
		text = text[:lf]
	}
	if cr := bytes.IndexByte(text, '\r'); cr >= 0 && cr+1 != lf {
		return cr + 1
	}
	return lf + 1
}

// readLine returns the next line with its end. It does not wait for more after "\r"; see restOfLineEnd. The line is valid
// until the next read. The errors are those of bufio.Reader.ReadSlice.
func (r *EventReader) readLine() ([]byte, error) {
	if r.failed != nil {
		return nil, r.failed
	}
	for {
		received, _ := r.reader.Peek(r.reader.Buffered()) // never fails
		n, err := lineLength(received), error(nil)
		switch {
		case n > 0:
			r.usesCRLF = r.usesCRLF || n > 1 && received[n-2] == '\r'
			r.endedWithCR = n == len(received) && received[n-1] == '\r'
		case len(received) == r.reader.Size():
			n, err = len(received), bufio.ErrBufferFull
		default:
			if _, err = r.reader.Peek(len(received) + 1); err == nil {
				continue
			}
			received, _ = r.reader.Peek(len(received))
			n = len(received)
		}
		_, _ = r.reader.Discard(n) // never fails: the bytes are buffered
		return received[:n], err
	}
}

// restOfLineEnd skips a "\n" that belongs to the "\r" at the end of the line before it, and reports whether there was one.
func (r *EventReader) restOfLineEnd() bool {
	if !r.endedWithCR {
		return false
	}
	next, err := r.reader.Peek(1)
	if err != nil {
		r.failed = err
		return false
	}
	r.endedWithCR = false
	if next[0] != '\n' {
		return false
	}
	r.usesCRLF = true
	_, _ = r.reader.Discard(1) // never fails: the byte is buffered
	return true
}

// Partial reports whether part of an event, other than a comment, was received before Next returned an error.
func (r *EventReader) Partial() bool { return len(r.buf) > 0 && r.buf[0] != ':' }

// Pending reports whether the next event has been received completely.
func (r *EventReader) Pending() bool {
	received, _ := r.reader.Peek(r.reader.Buffered()) // never fails
	for {
		n := lineLength(received)
		if n == 0 {
			return false
		}
		if len(bytes.TrimRight(received[:n], "\r\n")) == 0 {
			return true
		}
		received = received[n:]
	}
}
