package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes limits the size of each event.
const maxEventBytes = 1 << 20

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
}

// NewEventReader returns an EventReader that reads from body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(body, readBufferBytes)}
}

// Next returns the next event. The error is io.EOF if the stream ended after a complete
// event, and ErrTruncatedEvent or the read error if it broke off. An event longer than
// maxEventBytes gives an error too.
func (r *EventReader) Next() (Event, error) {
	e := Event{CommentOnly: true}
	r.buf = r.buf[:0]
	lineStart := 0
	for {
		line, err := r.reader.ReadSlice('\n')
		r.buf = append(r.buf, line...)
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
		text := bytes.TrimRight(r.buf[lineStart:], "\r\n")
		lineStart = len(r.buf)
		if len(text) == 0 {
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
