package upstream

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// readEvents returns the bytes of each event up to the end of the text, and the IDs of those that are no comments.
func readEvents(t *testing.T, from io.Reader) (raw, ids []string) {
	t.Helper()
	r := NewEventReader(from)
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
