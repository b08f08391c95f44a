package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a caller that sets headers reserved for the gateway, an API key that is
// forwarded to a replica, and a path or body that is changed on the way.
func TestForwardedRequestCarriesGatewayHeaders(t *testing.T) {
	replica := newReplica(respondWith("got "))
	g := newTestGateway(t, replica)
	status, body, header := g.do(testRequest{path: "/lookup/a%2Fb?x=1", body: "text", header: map[string]string{
		"Heatherbarrow-Tenant": "other", "Heatherbarrow-Hold": "h", "Heatherbarrow-Pin-Ms": "9", "Kv-From": "x",
		"Heatherbarrow-Kv-Backup": "y", "Heatherbarrow-Expect-Replica": "z", "Heatherbarrow-Deadline-Ms": "900", "X-Own": "kept",
		"Connection": "X-Drop, Heatherbarrow-Attempt-Id", "X-Drop": "1",
	}})
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, "got text", body)
	assert.Equal(t, "sealed", header.Get(sealHeader))
	h := replica.lastRequest.Header
	assert.Equal(t, "/lookup/a%2Fb?x=1", replica.lastRequest.RequestURI)
	assert.Equal(t, requestHost, replica.lastRequest.Host)
	assert.Equal(t, teamName, h.Get("Heatherbarrow-Tenant"))
	assert.Equal(t, "r0", h.Get("Heatherbarrow-Expect-Replica"))
	assert.Equal(t, "attempt-1", h.Get(attemptIDHeader))
	assert.Equal(t, "kept", h.Get("X-Own"))
	for _, name := range []string{"Heatherbarrow-Hold", "Heatherbarrow-Pin-Ms", "Kv-From", "Heatherbarrow-Kv-Backup", "Authorization", "X-Drop", "Connection"} {
		assert.Empty(t, h.Get(name), name)
	}
	var deadlineMs int
	_, err := fmt.Sscan(h.Get("Heatherbarrow-Deadline-Ms"), &deadlineMs)
	require.NoError(t, err)
	assert.LessOrEqual(t, deadlineMs, 900)
}

// Guards against invalid requests that reach a replica and against wrong status codes. A
// gateway without a configuration responds with 503.
func TestInvalidRequestsAreRefusedWithoutReplica(t *testing.T) {
	replica := newReplica(respondWith("x"))
	g := newTestGateway(t, replica)
	for name, c := range map[string]struct {
		request testRequest
		status  int
	}{
		"no route":        {testRequest{path: "/nothing/"}, http.StatusNotFound},
		"unknown key":     {testRequest{path: "/order/1", header: map[string]string{"Authorization": "Bearer wrong"}}, http.StatusUnauthorized},
		"no key":          {testRequest{path: "/order/1", header: map[string]string{"Authorization": ""}}, http.StatusUnauthorized},
		"header too long": {testRequest{path: "/order/1", header: map[string]string{"X": strings.Repeat("x", 2000)}}, http.StatusRequestHeaderFieldsTooLarge},
		"body too long":   {testRequest{path: "/order/1", body: strings.Repeat("x", 1001)}, http.StatusRequestEntityTooLarge},
	} {
		status, _, _ := g.do(c.request)
		assert.Equal(t, c.status, status, name)
	}
	assert.Zero(t, replica.received.Load())
	status, _, _ := g.do(testRequest{path: "/open/1", header: map[string]string{"Authorization": ""}})
	assert.Equal(t, http.StatusOK, status, "a public route needs no key")
	g.table.Store(nil)
	status, _, header := g.do(testRequest{path: "/order/1"})
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.NotEmpty(t, header.Get("Retry-After"))
	assert.False(t, g.server.Ready())
}

// Guards against a caller that sends a part of the body and occupies the gateway forever.
func TestStalledRequestBodyTimesOut(t *testing.T) {
	replica := newReplica(respondWith("x"))
	g := newTestGateway(t, replica)
	conn, err := net.Dial("tcp", g.frontend.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /short/1 HTTP/1.1\r\nHost: "+requestHost+"\r\nAuthorization: Bearer "+apiKey+"\r\nContent-Length: 10\r\n\r\nhalf")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	assert.Zero(t, replica.received.Load())
}

// Guards against a non-idempotent request that runs twice, and against a lost response that
// is reported to the caller as a request that did not run.
func TestLostResponseOfNonIdempotentRequestIsNotRetried(t *testing.T) {
	first, second := newReplica(abortConnection), newReplica(abortConnection)
	g := newTestGateway(t, first, second)
	for _, path := range []string{"/order/1", "/match/1"} {
		receivedBefore := totalReceived(first, second)
		status, _, _ := g.do(testRequest{path: path, body: "order"})
		assert.Equal(t, http.StatusBadGateway, status)
		assert.Equal(t, receivedBefore+1, totalReceived(first, second))
	}
}

// Guards against a request that fails because one replica is full. A replica that refuses a
// request as not run allows a retry even if the route is not repeatable.
func TestRequestRefusedAsNotRunIsRetriedElsewhere(t *testing.T) {
	saturated, idle := newReplica(refuseNotExecuted), newReplica(respondWith("served"))
	g := newTestGateway(t, saturated, idle)
	for i := range 10 {
		status, body, _ := g.do(testRequest{path: "/order/1"})
		assert.Equal(t, http.StatusOK, status, i)
		assert.Equal(t, "served", body)
	}
	assert.Equal(t, int64(10), idle.received.Load())
}

// Guards against a 5xx response without Retry-After when no replica ran the request.
func TestAllReplicasFullReturns503WithRetryAfter(t *testing.T) {
	g := newTestGateway(t, newReplica(refuseNotExecuted), newReplica(refuseNotExecuted))
	status, _, header := g.do(testRequest{path: "/order/1"})
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.NotEmpty(t, header.Get("Retry-After"))
	assert.Empty(t, header.Get(sealHeader))
}

// Guards against a Retry-After that is bounded by the route's short timeout although the
// caller waits much longer: the caller would retry while the replica is still full.
func TestRetryAfterFollowsCallerDeadline(t *testing.T) {
	g := newTestGateway(t, newReplica(refuseNotExecuted))
	status, _, header := g.do(testRequest{path: "/short/1", header: map[string]string{"Heatherbarrow-Deadline-Ms": "3000"}})
	assert.Equal(t, http.StatusServiceUnavailable, status)
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	require.NoError(t, err)
	assert.GreaterOrEqual(t, seconds, 0.5, "a third of the route's timeout of 150 ms would be 0.05 s")
}

// Guards against an idempotent request that fails because one replica loses its response.
func TestIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	failing, healthy := newReplica(abortConnection), newReplica(respondWith("served"))
	g := newTestGateway(t, failing, healthy)
	for range 5 {
		status, body, _ := g.do(testRequest{path: "/lookup/1"})
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, "served", body)
	}
}

// Guards against more runs than the route allows, and against a replica's error response
// that the gateway replaces by its own.
func TestReplicaFailureIsForwardedUnchanged(t *testing.T) {
	fail := func(w http.ResponseWriter, _ *http.Request) {
		setSeal(w)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "broken")
	}
	replicas := []*countingReplica{newReplica(fail), newReplica(fail), newReplica(fail)}
	g := newTestGateway(t, replicas[0], replicas[1], replicas[2])
	status, body, header := g.do(testRequest{path: "/lookup/1"})
	assert.Equal(t, http.StatusInternalServerError, status)
	assert.Equal(t, "broken", body)
	assert.Equal(t, "sealed", header.Get(sealHeader))
	assert.Equal(t, int64(2), totalReceived(replicas...))
}

// Guards against a success response that is truncated or lacks the server seal and is
// forwarded as a success.
func TestUnsealedOrTruncatedSuccessIsNotForwarded(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"no seal": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") },
		"cut": func(w http.ResponseWriter, _ *http.Request) {
			setSeal(w)
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "x")
			panic(http.ErrAbortHandler)
		},
	} {
		g := newTestGateway(t, newReplica(h))
		status, _, header := g.do(testRequest{path: "/order/1"})
		assert.Equal(t, http.StatusBadGateway, status, name)
		assert.Empty(t, header.Get(sealHeader), name)
	}
}

// Guards against a request that outlives the timeout of its route.
func TestRouteTimeoutEndsRequest(t *testing.T) {
	released := make(chan struct{})
	g := newTestGateway(t, newReplica(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(released)
	}))
	status, _, _ := g.do(testRequest{path: "/short/1"})
	assert.Equal(t, http.StatusGatewayTimeout, status)
	<-released
}

// events returns a handler that writes the events 0 to n-1, or those after Last-Event-Id if the
// request has it. A stream that starts at event 0 breaks off in the middle of event number
// breakAt, unless breakAt is negative. The handler sends name in the header Served-By.
func events(name string, n, breakAt int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		lastID := -1
		if text := r.Header.Get("Last-Event-Id"); text != "" {
			_, _ = fmt.Sscan(text, &lastID)
		}
		setSeal(w)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Served-By", name)
		for i := lastID + 1; i < n; i++ {
			if i == breakAt && lastID < 0 {
				_, _ = io.WriteString(w, "id: 99\ndata: torn")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// eventsText returns the text of the events 0 to n-1.
func eventsText(n int) string {
	var text strings.Builder
	for i := range n {
		_, _ = fmt.Fprintf(&text, "id: %d\ndata: e%d\n\n", i, i)
	}
	return text.String()
}

// Guards against a stream that breaks off although it may continue on another replica, and
// against a missing, duplicate or partial event where it continues.
func TestResumableStreamContinuesElsewhere(t *testing.T) {
	for range 4 {
		g := newTestGateway(t, newReplica(events("a", 8, 3)), newReplica(events("b", 8, 5)))
		status, body, header := g.do(testRequest{path: "/quote/1"})
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, eventsText(8), body)
		assert.NotEmpty(t, header.Get("Served-By"))
	}
}

// Guards against a broken stream that looks complete to the caller.
func TestBrokenStreamAbortsResponse(t *testing.T) {
	replica := newReplica(events("a", 8, 3))
	g := newTestGateway(t, replica, newReplica(events("b", 8, 3)))
	response, err := g.send(t.Context(), testRequest{path: "/match/1"})
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.Error(t, err)
	assert.Equal(t, eventsText(3), string(body))
}

// Guards against a success response for a stream that breaks off before its first event.
func TestStreamWithoutEventsReturns502(t *testing.T) {
	g := newTestGateway(t, newReplica(events("a", 8, 0)))
	status, _, _ := g.do(testRequest{path: "/match/1"})
	assert.Equal(t, http.StatusBadGateway, status)
}

// Guards against events that are buffered until the stream ends.
func TestEventsAreForwardedImmediately(t *testing.T) {
	release := make(chan struct{})
	g := newTestGateway(t, newReplica(func(w http.ResponseWriter, r *http.Request) {
		events("a", 1, -1)(w, r)
		<-release
		_, _ = io.WriteString(w, "id: 1\ndata: e1\n\n")
	}))
	response, err := g.send(t.Context(), testRequest{path: "/match/1"})
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	line, err := reader.ReadString('\n')
	require.NoError(t, err)
	assert.Equal(t, "id: 0\n", line)
	close(release)
	rest, err := io.ReadAll(reader)
	require.NoError(t, err)
	assert.Equal(t, "data: e0\n\nid: 1\ndata: e1\n\n", string(rest))
}

// Guards against a complete event that waits at the host for the rest of what arrived with a part of it: the next
// event, or a comment, which is no event.
func TestEventIsForwardedBeforeTheNextIsComplete(t *testing.T) {
	for name, c := range map[string]struct{ part, rest string }{
		"next event": {"id: 1\nda", "ta: e1\n\n"},
		"comment":    {": wait\n\n", "id: 1\ndata: e1\n\n"},
		"empty line": {"\n", "id: 1\ndata: e1\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			time.AfterFunc(3*time.Second, func() { close(release) })
			g := newTestGateway(t, newReplica(func(w http.ResponseWriter, _ *http.Request) {
				setSeal(w)
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, eventsText(1)+c.part)
				_ = http.NewResponseController(w).Flush()
				<-release
				_, _ = io.WriteString(w, c.rest)
			}))
			started := time.Now()
			response, err := g.send(t.Context(), testRequest{path: "/match/1"})
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			first := make([]byte, len(eventsText(1)))
			_, err = io.ReadFull(response.Body, first)
			require.NoError(t, err)
			assert.Equal(t, eventsText(1), string(first))
			assert.Less(t, time.Since(started), 2*time.Second)
			rest, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			assert.Equal(t, c.part+c.rest, string(rest))
		})
	}
}

// Guards against a stream that waits for a stalled replica although it may continue on
// another one.
func TestStalledResumableStreamContinuesElsewhere(t *testing.T) {
	stalled := newReplica(func(w http.ResponseWriter, r *http.Request) {
		events("a", 2, -1)(w, r)
		<-r.Context().Done()
	})
	g := newTestGateway(t, stalled, newReplica(events("b", 4, -1)))
	for range 2 {
		_, body, _ := g.do(testRequest{path: "/quote/1"})
		assert.Equal(t, eventsText(4), body)
	}
}

// Guards against a replica that keeps running a request after the caller has disconnected.
func TestCallerDisconnectCancelsReplicaRequest(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	g := newTestGateway(t, newReplica(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	}))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	response, err := g.send(ctx, testRequest{path: "/order/1"})
	if err == nil {
		_ = response.Body.Close()
	}
	<-ended
	assert.Eventually(t, func() bool { return g.server.Active() == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against a draining host that keeps its callers' connections open.
func TestDrainingHostClosesCallerConnections(t *testing.T) {
	g := newTestGateway(t, newReplica(respondWith("x")))
	g.server.Drain(time.Now().Add(time.Minute), time.Now().Add(time.Hour))
	assert.False(t, g.server.Ready())
	response, err := g.send(t.Context(), testRequest{path: "/order/1"})
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.True(t, response.Close)
}

// Guards against requests that fail because another process listens at a replica's address.
func TestMisdirectedRequestIsRetriedElsewhere(t *testing.T) {
	wrongProcess := newReplica(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
	healthy := newReplica(respondWith("served"))
	g := newTestGateway(t, wrongProcess, healthy)
	for range 5 {
		status, _, _ := g.do(testRequest{path: "/order/1"})
		assert.Equal(t, http.StatusOK, status)
	}
	assert.LessOrEqual(t, wrongProcess.received.Load(), int64(1), "the replica receives no further requests for a while")
}

// Guards against a stated request limit that is ignored, hidden from the caller, taken from another
// process at the replica's address, or kept after the replica has ceased to state it.
func TestStatedRequestLimitIsKept(t *testing.T) {
	var limited, misdirected atomic.Bool
	limited.Store(true)
	replica := newReplica(func(w http.ResponseWriter, r *http.Request) {
		if limited.Load() {
			w.Header().Set("Server-Limit", "5")
		}
		if misdirected.Load() {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		respondWith("answer")(w, r)
	})
	g := newTestGateway(t, replica)
	misdirected.Store(true)
	g.do(testRequest{path: "/order/x"})
	assert.Zero(t, g.fleet.LimitedReplicas("pool"))
	misdirected.Store(false)
	g.fleet.SetMembers(nil)
	g.fleet.SetMembers(g.members) // the replica is no longer suspended

	status, _, header := g.do(testRequest{path: "/order/x"})
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, "5", header.Get("Server-Limit"))
	status, _, header = g.do(testRequest{path: "/order/x"})
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.NotEmpty(t, header.Get("Retry-After"))
	limited.Store(false)
	assert.Eventually(t, func() bool {
		status, _, _ := g.do(testRequest{path: "/order/x"})
		return status == http.StatusOK && g.fleet.LimitedReplicas("pool") == 0
	}, 10*time.Second, 20*time.Millisecond)
	for range 5 {
		status, _, _ := g.do(testRequest{path: "/order/x"})
		assert.Equal(t, http.StatusOK, status)
	}
}
