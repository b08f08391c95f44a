package proxy_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against part of an answer without a length that is passed off as the whole answer, because its replica stopped work at its
// deadline while this host was suspended, which the host notices only after it has read the end.
func TestUnframedAnswerThatEndsAtItsDeadlineWhileTheHostIsSuspendedIsBroken(t *testing.T) {
	const suspended, noticedAfter = 400 * time.Millisecond, 20 * time.Millisecond
	for _, path := range []string{"/quote/x", "/match/x", "/lookup/x", "/order/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			var g *testGateway
			// By the monotonic clock of a host that was suspended meanwhile, the time of its replica is over sooner.
			stop := func(_ *endable, w http.ResponseWriter, r *http.Request) {
				received := time.Now()
				contentType, text := answerFor(r)
				if contentType == "text/event-stream" {
					text = eventsText(2)
				} else {
					text = text[:len(text)-1]
				}
				c := writeUnframed(w, r, contentType, text)
				beforeDeadline(r, received, suspended)
				time.AfterFunc(noticedAfter, func() { g.server.AddSuspension(suspended) })
				_ = c.Close()
			}
			g = newEndableGateway(t, newEndable(t, false, stop))
			response, err := g.send(t.Context(), testRequest{path: path, header: map[string]string{"Heatherbarrow-Deadline-Ms": "700"}})
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				assert.Error(t, err, "%q looks complete", body)
			}
		})
	}
}
