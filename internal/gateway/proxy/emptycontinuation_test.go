package proxy_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/proxy"
)

// cutBeforeEvents is a gateway in front of replicas whose first stream breaks off within an event, and of whose continuations, which
// have no length, one is cut on the way before its first event.
func cutBeforeEvents(t *testing.T) *lonelyCuts {
	t.Helper()
	c := &lonelyCuts{}
	var cuts atomic.Int64
	for range 3 {
		c.replicas = append(c.replicas, newEndable(t, false, func(p *endable, w http.ResponseWriter, r *http.Request) {
			switch {
			case r.URL.Path == "/order/lasting":
				connection, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					time.AfterFunc(20*time.Millisecond, func() { _ = connection.Close() })
				}
			case r.Header.Get("Last-Event-Id") == "":
				_ = writeUnframed(w, r, "text/event-stream", eventsText(2)+"id: 2\nda").Close()
			case cuts.Add(1) > 1:
				wholeAnswer(p, w, r)
			default:
				connection := writeUnframed(w, r, "text/event-stream", "")
				time.Sleep(50 * time.Millisecond)
				_ = connection.Close()
			}
		}))
	}
	c.testGateway = newEndableGateway(t, c.replicas...)
	c.sign()
	return c
}

// receive sends a request for a stream and returns the body of the answer.
func (c *lonelyCuts) receive(header map[string]string) (body string, err error) {
	c.t.Helper()
	response, err := c.send(c.t.Context(), testRequest{path: "/quote/x", header: header})
	require.NoError(c.t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(c.t, http.StatusOK, response.StatusCode)
	read, err := io.ReadAll(response.Body)
	return string(read), err
}

// delegateTo sends a request to the server as another host does that delegates it, and returns the answer.
func (g *testGateway) delegateTo(path, id, delegation string, header map[string]string) (body string, status int, err error) {
	g.t.Helper()
	helper := httptest.NewServer(g.server.DelegateHandler())
	defer helper.Close()
	r, err := http.NewRequestWithContext(g.t.Context(), http.MethodPost, helper.URL+proxy.DelegatePath+path, nil)
	require.NoError(g.t, err)
	r.Host = requestHost
	for name, value := range map[string]string{attemptIDHeader: id, "Authorization": "Bearer " + apiKey, "Heatherbarrow-Delegation": delegation} {
		r.Header.Set(name, value)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	require.NoError(g.t, err)
	read, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return string(read), response.StatusCode, err
}

// Guards against a stream that counts as complete before its last event, because its continuation without a length was cut on
// the way before its first event, where connections were cut before.
func TestUnframedContinuationThatIsCutBeforeItsEventsIsBroken(t *testing.T) {
	t.Parallel()
	body, err := cutBeforeEvents(t).receive(map[string]string{attemptIDHeader: "attempt"})
	assert.Error(t, err)
	assert.Equal(t, eventsText(2), body)
}

// Guards against the same where the caller takes the stream up.
func TestUnframedStreamIsTakenUpThoughAContinuationIsCutBeforeItsEvents(t *testing.T) {
	t.Parallel()
	body, err := cutBeforeEvents(t).receive(map[string]string{attemptIDHeader: "attempt", "Resumes": "before", "Last-Event-Id": "1"})
	require.NoError(t, err)
	assert.Equal(t, eventsText(4)[len(eventsText(2)):], body)
}

// Guards against a stream whose caller has all events and never gets its end, where connections were cut before.
func TestUnframedStreamWithoutFurtherEventsEndsWhereConnectionsAreCut(t *testing.T) {
	t.Parallel()
	c := newLonelyCuts(t, false, 3)
	c.sign()
	body, err := c.receive(map[string]string{attemptIDHeader: "attempt", "Resumes": "before", "Last-Event-Id": "3"})
	require.NoError(t, err)
	assert.Empty(t, body)
}

// Guards against a stream that counts as complete before its last event, because its continuation was cut on the way before its
// first event at another host, which does not know that the run before broke off.
func TestDelegatedContinuationThatIsCutBeforeItsEventsIsBroken(t *testing.T) {
	t.Parallel()
	c := cutBeforeEvents(t)
	body, status, err := c.delegateTo("/quote/x", "attempt", "runs=1&counted=1&ran="+c.members[0].ID, map[string]string{"Resumes": "before", "Last-Event-Id": "1"})
	assert.True(t, err != nil || status != http.StatusOK, "%d, %q looks complete", status, body)
}
