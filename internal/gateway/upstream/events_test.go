package upstream

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// readEvents returns the bytes of each event up to the end of the text, and the IDs of those that are no comments.
func readEvents(t *testing.T, from io.Reader) (raw, ids []string) {
	t.Helper()
	return readAllEvents(t, NewEventReader(from, nil))
}

func readAllEvents(t *testing.T, r *EventReader) (raw, ids []string) {
	t.Helper()
	for {
		e, err := r.Next()
		if errors.Is(err, io.EOF) {
			return raw, ids
		}
		require.NoError(t, err, "after %q", raw)
		raw = append(raw, string(e.Raw))
		if !e.CommentOnly {
			ids = append(ids, e.ID)
		}
	}
}

// Guards against an event that is passed on without its end, or with a wrong ID, because a line that fills the buffer to its last
// byte is continued by nothing, or by what looks like another line.
func TestEventWithLineThatFillsTheBuffer(t *testing.T) {
	for buffers := 1; buffers <= 3; buffers++ {
		for _, rest := range []string{"", "id: 99", ": 99", "\r"} {
			line := "data: " + strings.Repeat("x", buffers*readBufferBytes-len("data: ")) + rest
			for _, text := range []string{"id: 7\n" + line + "\n\n", line + "\nid: 7\n\n"} {
				raw, ids := readEvents(t, strings.NewReader(text+"id: 8\n\n"))
				if assert.Len(t, raw, 2, "%d buffers and %q", buffers, rest) {
					assert.Equal(t, text, raw[0])
				}
				assert.Equal(t, []string{"7", "8"}, ids, "%d buffers and %q", buffers, rest)
			}
		}
	}
}

// Guards against events whose lines end with CR that are joined to one, held back, or have the rest of the event as ID.
func TestLinesOfEventsMayEndWithCR(t *testing.T) {
	for _, end := range []string{"\n", "\r\n", "\r"} {
		events := []string{": comment\n\n", "id: 1\ndata: a\n\n", "retry: 5\nid: 2\ndata: b\ndata: c\n\n", "data: d\n\n", "id: 3\n\n"}
		for i := range events {
			events[i] = strings.ReplaceAll(events[i], "\n", end)
		}
		text := strings.Join(events, "")
		raw, ids := readEvents(t, strings.NewReader(text))
		assert.Equal(t, events, raw, "%q", end)
		assert.Equal(t, []string{"1", "2", "", "3"}, ids, "%q", end)

		raw, ids = readEvents(t, iotest.OneByteReader(strings.NewReader(text)))
		assert.Equal(t, text, strings.Join(raw, ""), "%q, one byte a time", end)
		assert.Equal(t, []string{"1", "2", "", "3"}, ids, "%q, one byte a time", end)

		reader, writer := io.Pipe()
		passed := make(chan Event)
		go func() {
			e, _ := NewEventReader(reader, nil).Next()
			passed <- e
		}()
		_, _ = io.WriteString(writer, events[1])
		select {
		case e := <-passed:
			assert.Equal(t, "1", e.ID, "%q", end)
		case <-time.After(5 * time.Second):
			t.Errorf("an event waits for bytes after its end: %q", end)
		}
		_ = reader.Close()
	}
}

// Guards against a stream cut after a CR that is taken for one cut inside an event, or the reverse.
func TestStreamCutBetweenCRAndLF(t *testing.T) {
	for text, want := range map[string]error{
		"id: 1\r\ndata: a\r\n\r": ErrTruncatedEvent, "id: 1\r\ndata: a\r\n": ErrTruncatedEvent, "id: 1\r\ndata: a\r": ErrTruncatedEvent, "id: 1\rdata: a\r\r": io.EOF,
	} {
		for _, from := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
			r := NewEventReader(from, nil)
			var err error
			for err == nil {
				_, err = r.Next()
			}
			assert.ErrorIs(t, err, want, fmt.Sprintf("%q", text))
		}
	}
}

// Guards against a first event that counts as one without an ID after a byte order mark, so that no replica can go on, and against a
// mark in the middle of what the caller gets.
func TestByteOrderMarkComesBeforeTheFirstEventOnly(t *testing.T) {
	const first, rest = "id: 1\ndata: a\n\n", "id: 2\ndata: \ufeff\n\n"
	for _, mark := range []string{"", "\ufeff"} {
		raw, ids := readEvents(t, strings.NewReader(mark+first+rest))
		assert.Equal(t, []string{mark + first, rest}, raw)
		assert.Equal(t, []string{"1", "2"}, ids)

		r := NewEventReader(strings.NewReader(mark+first+rest), nil)
		r.Continue()
		raw, ids = readAllEvents(t, r)
		assert.Equal(t, []string{first, rest}, raw)
		assert.Equal(t, []string{"1", "2"}, ids)
	}
}

// Guards against an ID that callers ignore, and that no header can carry.
func TestIDsWithNULAreIgnored(t *testing.T) {
	_, ids := readEvents(t, strings.NewReader("id: 1\nid: 2\x00\ndata: a\n\nid: \x00\ndata: b\n\nid: 3\n\n"))
	assert.Equal(t, []string{"1", "", "3"}, ids)
}

// Guards against a continuation without events that is taken for a broken one, because a byte order mark comes before its end.
func TestStreamOfByteOrderMarkAloneHasNoEvents(t *testing.T) {
	for text, want := range map[string]error{"": io.EOF, "\ufeff": io.EOF, "\ufeff\ufeff": ErrTruncatedEvent, "\ufeffid": ErrTruncatedEvent, "id: 1\n\n\ufeff": ErrTruncatedEvent} {
		r := NewEventReader(strings.NewReader(text), nil)
		var err error
		for err == nil {
			_, err = r.Next()
		}
		assert.ErrorIs(t, err, want, "%q", text)
	}
}
