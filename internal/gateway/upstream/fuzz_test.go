package upstream

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a stream whose bytes are altered, lost or reordered by EventReader, and
// against an incomplete event that is returned as a whole one.
func FuzzEventReader(f *testing.F) {
	for _, seed := range []string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\r\ndata: a\r\n\r\n", "data: torn", ":comment\n\n", "\n\n\n", "id:\n\n", "id: 7\nid: 8\n\n", "id: 7\r\rid: 8\r\n\r",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r := NewEventReader(bytes.NewReader(text), nil)
		var passed []byte
		for {
			event, err := r.Next()
			if errors.Is(err, io.EOF) {
				require.Equal(t, text, append([]byte{}, passed...))
				return
			}
			if err != nil {
				if len(passed) == len(text) { // the rest of the last line end is missing
					require.ErrorIs(t, err, ErrTruncatedEvent)
					require.Equal(t, byte('\r'), text[len(text)-1])
				}
				return
			}
			require.Contains(t, "\r\n", string(event.Raw[len(event.Raw)-1:]))
			passed = append(passed, event.Raw...)
			require.True(t, bytes.HasPrefix(text, passed))
		}
	})
}
