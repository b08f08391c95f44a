package proxy_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/origin"
	"heatherbarrow/internal/gateway/proxy"
)

const declinedHeader = "Heatherbarrow-Declined"

// delegateAsEarlierBuild sends a request to the gateway as a host of the build of b6fae82 does that is cut off.
func (g *testGateway) delegateAsEarlierBuild(path string, header map[string]string) *http.Response {
	g.t.Helper()
	s := httptest.NewServer(g.server.DelegateHandler())
	g.t.Cleanup(s.Close)
	r, err := http.NewRequestWithContext(g.t.Context(), http.MethodPost, s.URL+proxy.DelegatePath+path, http.NoBody)
	require.NoError(g.t, err)
	r.Host = requestHost
	for name, value := range map[string]string{
		attemptIDHeader: "attempt-1", "Authorization": "Bearer " + apiKey, "Heatherbarrow-Deadline-Ms": "2000",
		"Heatherbarrow-Config-Version": "1", "Heatherbarrow-Delegation": "runs=2",
	} {
		r.Header.Set(name, value)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(r)
	require.NoError(g.t, err)
	g.t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// Guards against declines of one request that a host of the build of b6fae82 takes for declines of all requests, as it does
// each value that it does not know: it then offers nothing to this host for a second.
func TestEarlierBuildOffersOtherRequestsAfterADecline(t *testing.T) {
	notThisRequest := []string{"late", "behind"} // of what that build knows
	refuses := func(address string) func(context.Context, string, string) (net.Conn, error) {
		return func(ctx context.Context, network, to string) (net.Conn, error) {
			if address == "" || to == address {
				return nil, errRefused
			}
			return (&net.Dialer{}).DialContext(ctx, network, to)
		}
	}
	takeUp := map[string]string{"Resumes": "began", "Last-Event-Id": "4"}
	two := func() *testGateway {
		return newTestGateway(t, newProcess(registeredStart, events("a", 8, -1)), newProcess(registeredStart, events("b", 8, -1)))
	}

	g := two()
	g.setVersions("v1", "v2")
	g.origins.Record("began", origin.Origin{Upstream: "pool", Version: "v1"}, time.Now())
	g.restart(func(*proxy.Options) {}, refuses(g.members[0].Address))
	response := g.delegateAsEarlierBuild("/quote/1", takeUp)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Contains(t, notThisRequest, response.Header.Get(declinedHeader), "no replica of one version is reached")

	g = two()
	g.registered("v1", "v2")
	g.origins.Record("began", origin.Origin{Upstream: "pool", Version: origin.AssumedVersion(g.members[0].ID, registeredStart)}, time.Now())
	g.restart(func(*proxy.Options) {}, refuses(g.members[0].Address))
	response = g.delegateAsEarlierBuild("/quote/1", takeUp)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Contains(t, notThisRequest, response.Header.Get(declinedHeader), "which version began the stream is not known now")

	g = two()
	g.restart(func(*proxy.Options) {}, refuses(""))
	response = g.delegateAsEarlierBuild("/order/1", nil)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Contains(t, notThisRequest, response.Header.Get(declinedHeader), "no replica of the upstream is reached")
}

// Guards against a caller who is told something else, or a host that is offered nothing or too much, when a host of the
// build of b6fae82 answers a delegated request, or one of a later build declines it for a reason of its own.
func TestAnswersOfOtherBuildsToDelegatedRequests(t *testing.T) {
	for name, c := range map[string]struct {
		header   map[string]string
		status   int
		body     string
		served   bool // by the next host
		declined int32
	}{
		"declines all":           {header: map[string]string{declinedHeader: "1"}, status: 503, served: true, declined: 1},
		"stops":                  {header: map[string]string{declinedHeader: "stopping"}, status: 503, served: true},
		"stops too soon":         {header: map[string]string{declinedHeader: "late"}, status: 503, served: true},
		"older configuration":    {header: map[string]string{declinedHeader: "behind"}, status: 503, served: true},
		"a later reason":         {header: map[string]string{declinedHeader: "late", "Heatherbarrow-Declined-For": "reason"}, status: 503, served: true},
		"a value not known here": {header: map[string]string{declinedHeader: "later"}, status: 503, served: true, declined: 1},
		"refuses":                {status: 503, body: "unreachable\n", header: map[string]string{"Retry-After": "1"}},
		"answers":                {status: 200, body: "answer", header: map[string]string{"Heatherbarrow-Server-Seal": "s", "Heatherbarrow-Ran": "ran=replica-0"}},
	} {
		g := newTestGateway(t, newReplica(respondWith("answer")), newReplica(respondWith("answer")))
		earlier := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for name, value := range c.header {
				w.Header().Set(name, value)
			}
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}))
		t.Cleanup(earlier.Close)
		links := &cutLinks{open: make(chan net.Conn, 10)}
		hosts := g.addHelpersAt(links, []string{earlier.Listener.Addr().String()}, g.sibling())
		links.begin(refuses)
		status, body, header := g.do(testRequest{path: "/order/1", body: "text"})
		if c.served {
			assert.Equal(t, http.StatusOK, status, name)
			assert.Equal(t, "answertext", body, name)
		} else {
			assert.Equal(t, c.status, status, name)
			assert.Equal(t, c.body, body, name)
		}
		assert.Empty(t, header.Get(declinedHeader), "%s: callers do not see it", name)
		assert.Equal(t, c.declined, hosts.declined.Load(), name)
		assert.Zero(t, hosts.unreachable.Load(), name)
	}
}
