package proxy_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"heatherbarrow/internal/gateway/netio/relaytest"
	"heatherbarrow/internal/gateway/proxy"
)

// Guards against part of an answer without a length that is passed off as the whole answer, although connections are cut, its
// replica answers no question after the end, and no retry is left to verify it.
func TestUnframedAnswerWithoutEvidenceIsBrokenWhereConnectionsAreCut(t *testing.T) {
	for _, way := range []struct{ path, delegation string }{
		{"/quote/x", ""}, {"/lookup/x", ""}, {"/open/x", ""}, {"/quote/x", "runs=1"}, {"/lookup/x", "runs=1"},
	} {
		t.Run(way.path+way.delegation, func(t *testing.T) {
			t.Parallel()
			c := &lonelyCuts{}
			cut := func(p *endable, w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/order/lasting" {
					connection, _, err := http.NewResponseController(w).Hijack()
					if err == nil {
						time.AfterFunc(20*time.Millisecond, func() { _ = connection.Close() })
					}
					return
				}
				contentType, text := answerFor(r)
				text = text[:len(text)-1]
				if contentType == "text/event-stream" {
					text = eventsText(2)
				}
				connection := writeUnframed(w, r, contentType, text)
				time.Sleep(20 * time.Millisecond)
				p.relay.Begin(relaytest.Fault{Direction: relaytest.ToTarget, Silent: true})
				_ = connection.Close()
			}
			c.replicas = append(c.replicas, newEndable(t, true, cut), newEndable(t, true, cut))
			c.testGateway = newEndableGateway(t, c.replicas...)
			c.restart(func(o *proxy.Options) { o.Budget.SetBounds(0, 0) }, (&net.Dialer{}).DialContext)
			c.sign()
			ask := c.ask
			if way.delegation != "" {
				ask = func(path, id string) (string, int, error) { return c.delegateTo(path, id, way.delegation, nil) }
			}
			body, status, err := ask(way.path, "attempt")
			if status == http.StatusOK {
				assert.Error(t, err, "%q", body)
			}
		})
	}
}
