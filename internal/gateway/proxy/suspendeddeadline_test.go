package proxy_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/proxy"
)

// Guards against part of an answer without a length that is passed off as the whole answer, because its replica stopped work at its
// deadline while this host was suspended, which the host has not noticed yet when it reads the end.
func TestUnframedAnswerThatEndsAtItsDeadlineWhileTheHostIsSuspendedIsBroken(t *testing.T) {
	const suspended = 400 * time.Millisecond
	for _, path := range []string{"/quote/x", "/match/x", "/lookup/x", "/order/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			var unnoticed atomic.Int64
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
				unnoticed.Store(int64(suspended))
				_ = c.Close()
			}
			g := newEndableGateway(t, newEndable(t, false, stop))
			g.restart(func(o *proxy.Options) {
				o.ObserveSuspension = func() { g.server.AddSuspension(time.Duration(unnoticed.Swap(0))) }
			}, (&net.Dialer{}).DialContext)
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
