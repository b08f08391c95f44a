package proxy_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"heatherbarrow/internal/gateway/proxy"
)

// connectTime is how long slowDial takes.
const connectTime = 300 * time.Millisecond

// slowDial opens a connection late, as on a link with a long queue or at a replica that accepts slowly.
func slowDial(ctx context.Context, network, address string) (net.Conn, error) {
	time.Sleep(connectTime)
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// statedTime returns what a request states of the time that is left.
func statedTime(t *testing.T, r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get("Heatherbarrow-Deadline-Ms"))
	assert.NoError(t, err)
	return time.Duration(ms) * time.Millisecond
}

// Guards against replicas that are handed more time than is left, because it is computed before a connection has been
// opened: by a first attempt, a repeat, or a stream that goes on.
func TestTimeToConnectReducesTimeLeft(t *testing.T) {
	const timeLimit = 4 * time.Second // of the caller
	for name, c := range map[string]struct {
		path     string
		requests int64
		answer   http.HandlerFunc // the first request
	}{
		"once":           {"/order/1", 1, respondWith("x")},
		"repeat":         {"/lookup/1", 2, abortConnection},
		"stream":         {"/quote/1", 1, events("a", 4, -1)},
		"stream goes on": {"/quote/1", 2, events("a", 4, 2)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int64
			handler := func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				number := requests.Add(1)
				assert.LessOrEqual(t, statedTime(t, r), timeLimit-time.Duration(number)*connectTime, "request %d", number)
				switch {
				case number == 1:
					c.answer(w, r)
				case c.path == "/quote/1":
					events("a", 4, -1)(w, r)
				default:
					respondWith("x")(w, r)
				}
			}
			g := newTestGateway(t, newReplica(handler), newReplica(handler))
			g.restart(func(*proxy.Options) {}, slowDial)
			status, _, _ := g.do(testRequest{path: c.path, header: map[string]string{"Heatherbarrow-Deadline-Ms": "4000"}})
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, c.requests, requests.Load())
		})
	}
}

// Guards against replicas that are handed more time than is left by a host that another one has delegated the request
// to, because the first host computes it before it has a connection to the second.
func TestTimeToConnectToHelperReducesTimeLeft(t *testing.T) {
	var requests atomic.Int64
	g := newTestGateway(t, newReplica(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		assert.LessOrEqual(t, statedTime(t, r), 5*time.Second-connectTime)
		respondWith("x")(w, r)
	}))
	hosts := g.addHelpers(&cutLinks{}, g.sibling())
	g.restart(func(o *proxy.Options) { o.Helpers = hosts }, func(ctx context.Context, network, address string) (net.Conn, error) {
		if address != hosts.addresses[0] {
			return nil, errRefused
		}
		return slowDial(ctx, network, address)
	})
	status, _, _ := g.do(testRequest{path: "/order/1"})
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, int64(1), requests.Load())
}

// Guards against replicas that are handed more time than is left, because it is computed before the process at the
// other end of the connection has told which one it is.
func TestTimeToAskProcessReducesTimeLeft(t *testing.T) {
	const answerAfter = 100 * time.Millisecond
	var requests atomic.Int64
	replica := newProcess(registeredStart, func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		assert.LessOrEqual(t, statedTime(t, r), 10*time.Second-answerAfter)
		events("a", 2, -1)(w, r)
	})
	g := newTestGateway(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/report" {
			time.Sleep(answerAfter)
		}
		replica.ServeHTTP(w, r)
	}))
	g.withoutStore()
	g.setVersions("v")
	status, _, _ := g.do(testRequest{path: "/quote/1"})
	assert.Equal(t, http.StatusOK, status)
	assert.Positive(t, replica.asked.Load())
	assert.Equal(t, int64(1), requests.Load())
}
