package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against part of a stream with chunks that is passed off as the whole one, because its replica stopped work when its time was
// over, and its server wrote the last chunk as the handler returned.
func TestStreamWithChunksThatEndsAtItsDeadlineIsBroken(t *testing.T) {
	for _, left := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond} {
		for _, path := range []string{"/quote/x", "/match/x"} {
			for i := range 8 {
				t.Run(fmt.Sprint(left, path, i), func(t *testing.T) {
					t.Parallel()
					stop := func(_ *endable, w http.ResponseWriter, r *http.Request) {
						received := time.Now()
						w.Header().Set(attemptIDHeader, r.Header.Get(attemptIDHeader))
						w.Header().Set(sealHeader, "s")
						w.Header().Set("Content-Type", "text/event-stream")
						_, _ = io.WriteString(w, eventsText(2))
						_ = http.NewResponseController(w).Flush()
						beforeDeadline(r, received, left)
					}
					g := newEndableGateway(t, newEndable(t, false, stop), newEndable(t, false, stop))
					response, err := g.send(t.Context(), testRequest{path: path, header: map[string]string{"Heatherbarrow-Deadline-Ms": "400"}})
					require.NoError(t, err)
					body, err := io.ReadAll(response.Body)
					_ = response.Body.Close()
					if response.StatusCode == http.StatusOK {
						assert.Error(t, err, "%q looks complete", body)
					}
				})
			}
		}
	}
}
