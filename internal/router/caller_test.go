package router

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/settings"
)

// Guards against bad input that gets no defined answer, reaches a replica, or is
// told to come back although a retry cannot help.
func TestBadInput(t *testing.T) {
	chat, good := "/v1/chat/completions", chatBody("m", true)
	tests := []struct {
		name, method, path, body string
		header                   []string
		status                   int
		code                     string
	}{
		{"no key", "POST", chat, good, []string{"Authorization", ""}, 401, "missing_key"},
		{"wrong key", "POST", chat, good, []string{"Authorization", "Bearer nobody"}, 401, "wrong_key"},
		{"no class", "POST", chat, good, []string{outcome.HeaderClass, ""}, 400, "missing_class"},
		{"unknown class", "POST", chat, good, []string{outcome.HeaderClass, "gold"}, 400, "unknown_class"},
		{"class of another team", "POST", chat, good, []string{outcome.HeaderClass, "draft"}, 403, "class_not_allowed"},
		{"not JSON", "POST", chat, "{", nil, 400, "malformed_body"},
		{"trailing data", "POST", chat, good + "{}", nil, 400, "malformed_body"},
		{"wrong type", "POST", chat, `{"model":7,"messages":[{}]}`, nil, 400, "malformed_body"},
		{"no model", "POST", chat, `{"messages":[{"role":"user","content":"x"}]}`, nil, 400, "malformed_body"},
		{"no messages", "POST", chat, `{"model":"m"}`, nil, 400, "malformed_body"},
		{"negative max_tokens", "POST", chat, `{"model":"m","max_tokens":-1,"messages":[{"content":"x"}]}`, nil, 400, "malformed_body"},
		{"two choices", "POST", chat, `{"model":"m","n":2,"messages":[{"content":"x"}]}`, nil, 400, "malformed_body"},
		{"unknown model", "POST", chat, chatBody("q", true), nil, 404, "unknown_model"},
		{"too large", "POST", chat, strings.Repeat(" ", 70_000), nil, 413, "body_too_large"},
		{"unknown service", "GET", "/services/none/stock/x", "", nil, 404, "unknown_upstream"},
		{"engine as a service", "GET", "/services/models/v1", "", nil, 404, "unknown_upstream"},
		{"unknown route", "GET", "/services/warehouse/admin", "", nil, 404, "unknown_route"},
		{"dot segments", "GET", "/services/warehouse/stock/%2e%2e/orders", "", nil, 400, "malformed_path"},
		{"no idempotency key", "POST", "/services/warehouse/orders", "", nil, 400, "missing_idempotency_key"},
		{"long idempotency key", "POST", "/services/warehouse/orders", "", []string{outcome.HeaderKey, strings.Repeat("k", 257)}, 400, "missing_idempotency_key"},
		{"unknown path", "GET", "/v2", "", nil, 404, "unknown_path"},
		{"wrong method", "GET", chat, "", nil, 405, "method_not_allowed"},
	}
	h := newHost(t, hostOptions{})
	h.play(whole)
	h.service.play(status(200))
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			response, body := h.send(t, h.request(t, context.Background(), test.method, test.path, test.body, test.header...))
			require.Equal(t, test.status, response.StatusCode, body)
			require.Contains(t, body, `"code":"`+test.code+`"`)
			require.Empty(t, response.Header.Get("Retry-After"))
			requireError(t, response, body, outcome.NotRun)
		})
	}
	require.Zero(t, h.calls()+h.service.count())
	h.server.snapshot.Store(nil)
	response, body := h.chat(t, "m", true)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "1", response.Header.Get("Retry-After"))
	requireError(t, response, body, outcome.NotRun)
}

// Guards against bodies that never end: one that stalls, one without a declared
// length that is too large, and one cut off by a hang-up.
func TestUnfinishedBody(t *testing.T) {
	tests := map[string]struct {
		framing, body string
		status        int
	}{
		"stalled":   {"Content-Length: 100", "{", 408},
		"oversized": {"Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n", 70_000, strings.Repeat(" ", 70_000)), 413},
		"malformed": {"Transfer-Encoding: chunked", "zz\r\n", 400},
	}
	h := newHost(t, hostOptions{})
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", h.Listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n%s: quote\r\n%s\r\n\r\n%s",
				outcome.HeaderClass, test.framing, test.body)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, test.status, response.StatusCode)
			require.True(t, response.Close)
			_, err = io.ReadAll(response.Body)
			require.NoError(t, err)
		})
	}
	conn, err := net.Dial("tcp", h.Listener.Addr().String())
	require.NoError(t, err)
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n%s: quote\r\nContent-Length: 9\r\n\r\n{", outcome.HeaderClass)
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return h.server.inFlight.Load() == 0 }, patience, time.Millisecond)
}

// Guards against a lookup that leaks another team's request, and against an
// error that reads like the outcome of the request asked about.
func TestLookup(t *testing.T) {
	h := newHost(t, hostOptions{})
	h.play(whole)
	response, _ := h.chat(t, "m", true)
	path := "/v1/requests/" + response.Header.Get(outcome.HeaderRequestID)
	get := func(header ...string) (*http.Response, string) {
		return h.send(t, h.request(t, context.Background(), http.MethodGet, path, "", header...))
	}
	require.Eventually(t, func() bool {
		response, body := get()
		return response.StatusCode == 200 && strings.Contains(body, `"outcome":"completed"`)
	}, patience, time.Millisecond)
	foreign := []string{"Authorization", "Bearer other-key"}
	response, body := get(foreign...)
	require.Equal(t, http.StatusNotFound, response.StatusCode)
	require.NotContains(t, body, "outcome")
	response, _ = get("Authorization", "Bearer nobody")
	require.Equal(t, http.StatusUnauthorized, response.StatusCode)
	h.feed.lookErr = io.ErrUnexpectedEOF
	response, _ = get(foreign...)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "1", response.Header.Get("Retry-After"))
	h.feed.lookErr = nil
	h.feed.answer = rpc.StoredAnswer{Found: true, Outcome: "failed"}
	response, body = get(foreign...)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Contains(t, body, `"outcome":"failed"`)
}

// Guards against a request that is still queued being told as not-run, which would
// let its caller send it again while it may still run.
func TestLookupOfRequestInProgress(t *testing.T) {
	h := newHost(t, hostOptions{})
	h.server.records.Begin(outcome.Record{RequestID: "queued", Team: "counter"})
	stored := h.server.lookup("queued", "counter")
	require.Equal(t, string(outcome.Unknown), stored.Outcome)
	require.True(t, stored.InProgress)
	h.server.records.Finish("queued", outcome.NotRun, http.StatusTooManyRequests)
	stored = h.server.lookup("queued", "counter")
	require.Equal(t, string(outcome.NotRun), stored.Outcome)
	require.False(t, stored.InProgress)
}

// Guards against a drain that refuses new requests during the balancer's lag,
// cuts a stream, or finishes before the last one.
func TestDrainCutsNoStream(t *testing.T) {
	const streams = 200
	h := newHost(t, hostOptions{settings: Settings{BalancerLag: noWait}})
	// On a busy machine the usual timeouts would start further attempts, whose
	// calls this test would count as new streams.
	b := h.server.snapshot.Load().Bundle
	b.Limits.FrameTimeout = settings.Duration(time.Minute)
	for i := range b.Classes {
		b.Classes[i].FirstTokenTarget = settings.Duration(time.Minute)
	}
	release := make(chan struct{})
	h.play(func(w http.ResponseWriter, r *http.Request) {
		id := frames(w, r, 2)
		<-release
		for i := 2; i < testTokens; i++ {
			writeFrame(w, id, i, i == testTokens-1)
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	results := make(chan string, streams+1)
	start := func() {
		response, err := http.DefaultClient.Do(h.request(t, context.Background(), http.MethodPost, "/v1/chat/completions", chatBody("m", true)))
		if err != nil {
			results <- err.Error()
			return
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		results <- string(body)
	}
	for range streams {
		go start()
	}
	require.Eventually(t, func() bool { return h.calls() == streams }, patience, time.Millisecond)
	drained := make(chan error, 1)
	go func() { drained <- h.server.Drain(context.Background()) }()
	require.Eventually(t, h.server.drain.Begun, patience, time.Millisecond)
	ready, err := http.Get(h.URL + "/readyz")
	require.NoError(t, err)
	require.NoError(t, ready.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, ready.StatusCode)
	go start()
	require.Eventually(t, func() bool { return h.calls() == streams+1 }, patience, time.Millisecond)
	bounded, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, h.server.Drain(bounded), context.DeadlineExceeded, "the wait is bounded by its context")
	close(release)
	require.NoError(t, <-drained)
	for range streams + 1 {
		text, event := streamed(<-results)
		require.Equal(t, wholeText, text)
		require.Contains(t, event, `"completed"`)
	}
}

// Guards against reports that lack what control needs to know of the host.
func TestReport(t *testing.T) {
	h := newHost(t, hostOptions{})
	h.play(whole)
	_, _ = h.chat(t, "m", true)
	h.server.drain.Begin(time.Now(), time.Time{})
	h.server.sendReport(context.Background())
	report := <-h.feed.reports
	require.EqualValues(t, 1, report.Generation)
	require.True(t, report.Draining)
}

// Guards against metrics that miss a request or count a refusal as attained.
func TestMetrics(t *testing.T) {
	h := newHost(t, hostOptions{})
	h.play(whole, refuse)
	_, _ = h.chat(t, "m", true)
	_, _ = h.chat(t, "m", true)
	require.Eventually(t, func() bool { return h.server.inFlight.Load() == 0 }, patience, time.Millisecond)
	counts := make(map[string]int64)
	for _, c := range h.scope.Snapshot().Counters() {
		tags, err := json.Marshal(c.Tags())
		require.NoError(t, err)
		counts[c.Name()+string(tags)] += c.Value()
	}
	require.EqualValues(t, 1, counts[`requests{"class":"quote","outcome":"completed"}`])
	require.EqualValues(t, 1, counts[`requests{"class":"quote","outcome":"not-run"}`])
	require.EqualValues(t, 2, counts[`requests_accepted{"class":"quote"}`])
	require.EqualValues(t, testTokens, counts[`tokens{"class":"quote"}`])
	require.EqualValues(t, 1, counts[`refusals{"reason":"upstream_refused"}`])
	require.EqualValues(t, 1, counts[`retries{"class":"quote"}`])
}
