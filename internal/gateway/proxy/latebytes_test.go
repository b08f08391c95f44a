package proxy_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/netio/relaytest"
)

// Guards against part of an answer that is passed off as the whole one, because the last bytes of a process that has ended arrive after
// the news of the next one, as where packets are lost, and are taken for bytes of that.
func TestUnframedAnswerOfWhichTheLastBytesWereDelayedOnTheWayIsBroken(t *testing.T) {
	const delay = 400 * time.Millisecond
	for _, path := range []string{"/match/x", "/quote/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			var g *testGateway
			p := newEndable(t, true, func(p *endable, w http.ResponseWriter, r *http.Request) {
				c := writeUnframed(w, r, "text/event-stream", eventsText(1))
				time.Sleep(200 * time.Millisecond)
				p.relay.Begin(relaytest.Fault{Direction: relaytest.FromTarget, Latency: delay})
				_, _ = io.WriteString(c, eventsText(2)[len(eventsText(1)):])
				time.Sleep(20 * time.Millisecond)
				p.replace()
				g.members[0].Started = p.born.Load()
				g.fleet.SetMembers(g.members)
				time.AfterFunc(delay, p.relay.Heal)
			})
			g = newEndableGateway(t, p)
			response, err := g.send(t.Context(), testRequest{path: path})
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			assert.Error(t, err, "%q looks complete", body)
		})
	}
}
