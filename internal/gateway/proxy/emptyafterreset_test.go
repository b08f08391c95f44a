package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"heatherbarrow/internal/gateway/netio"
)

// Guards against a stream that counts as complete before its last event, because its first run was reset and its continuation, which
// has no length, was cut on the way before its first event, where no other connection was cut.
func TestUnframedContinuationThatIsCutBeforeItsEventsAfterAResetIsBroken(t *testing.T) {
	t.Parallel()
	c := &lonelyCuts{}
	for range 3 {
		c.replicas = append(c.replicas, newEndable(t, false, func(_ *endable, w http.ResponseWriter, r *http.Request) {
			first := r.Header.Get("Last-Event-Id") == ""
			text := ""
			if first {
				text = eventsText(2)
			}
			connection := writeUnframed(w, r, "text/event-stream", text)
			time.Sleep(100 * time.Millisecond)
			if first {
				_ = netio.Reset(connection)
				return
			}
			_ = connection.Close()
		}))
	}
	c.testGateway = newEndableGateway(t, c.replicas...)
	body, _, err := c.ask("/quote/x", "attempt")
	assert.Error(t, err, "%q looks complete", body)
}
