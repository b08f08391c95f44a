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

// EventReader splits a stream into server-sent events.
type EventReader struct {
	reader *bufio.Reader
	buf    []byte
	memory *membudget.Account
}

// NewEventReader returns an EventReader that reads from body. The account holds the events.
func NewEventReader(body io.Reader, memory *membudget.Account) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(body, readBufferBytes), memory: memory}
}

// Next returns the next event. The error is io.EOF if the stream ended after a complete
// event, and ErrTruncatedEvent or the read error if it broke off. An event longer than
// maxEventBytes gives an error too, and so does one that the account cannot hold.
func (r *EventReader) Next() (Event, error) {
	e := Event{CommentOnly: true}
	r.dropLargeBuffer()
	r.buf = r.buf[:0]
	for {
		line, err := r.reader.ReadSlice('\n')
		var exhausted error
		if r.buf, exhausted = r.memory.Append(r.buf, line, maxEventBytes); exhausted != nil {
			return Event{}, exhausted
		}
		if errors.Is(err, bufio.ErrBufferFull) && len(r.buf) < maxEventBytes {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(r.buf) > 0 {
				err = ErrTruncatedEvent
			}
			return Event{}, err
		}
		if len(r.buf) > maxEventBytes {
			return Event{}, errors.New("event exceeds its size limit")
		}
		if text := bytes.TrimRight(line, "\r\n"); len(text) == 0 {
			e.Raw = r.buf
			return e, nil
		} else if text[0] == ':' {
			continue
		} else if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
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

// Pending reports whether the next event has been received completely.
func (r *EventReader) Pending() bool {
	received, _ := r.reader.Peek(r.reader.Buffered()) // never fails
	for {
		line, rest, found := bytes.Cut(received, []byte{'\n'})
		if !found {
			return false
		}
		if len(bytes.TrimRight(line, "\r")) == 0 {
			return true
		}
		received = rest
	}
}
