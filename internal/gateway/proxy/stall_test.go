package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/proxy"
	"heatherbarrow/internal/gateway/routing"
)

// writeRepeatedly writes a piece every 10 ms until the request is canceled.
func writeRepeatedly(w http.ResponseWriter, r *http.Request, piece string) {
	for r.Context().Err() == nil {
		if _, err := io.WriteString(w, piece); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a stalled stream that is kept open by comments or parts of an event. These
// are no progress, whether they come before the first event or after it.
func TestStreamWithoutProgressContinuesElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		events int
		piece  string
	}{
		"comments first":     {0, ": wait\n\n"},
		"comments later":     {2, ": wait\n\n"},
		"half an event":      {2, "data: x\n"},
		"bytes of a line":    {2, "x"},
		"comment lines only": {0, ": wait\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stalled := newReplica(func(w http.ResponseWriter, r *http.Request) {
				events("a", c.events, -1)(w, r)
				writeRepeatedly(w, r, c.piece)
			})
			g := newTestGateway(t, stalled, newReplica(events("b", 4, -1)))
			for range 2 {
				_, body, _ := g.do(testRequest{path: "/quote/1"})
				for i := range 4 {
					assert.Contains(t, body, fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i))
				}
			}
		})
	}
}

// Guards against a stalled stream that cannot continue on another replica and outlives the
// timeout of its route because it still sends comments.
func TestStreamWithoutProgressEndsAtRouteTimeout(t *testing.T) {
	g := newTestGateway(t, newReplica(func(w http.ResponseWriter, r *http.Request) {
		events("a", 2, -1)(w, r)
		writeRepeatedly(w, r, ": wait\n\n")
	}))
	c := testConfig()
	for i := range c.Routes {
		c.Routes[i].Timeout = 200 * time.Millisecond
	}
	g.table.Store(routing.Compile(c))
	response, err := g.send(t.Context(), testRequest{path: "/match/1"})
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	assert.Error(t, err, "the stream is aborted")
}

// Guards against a slow stream that is canceled because of a long pause although no other
// replica could continue it.
func TestSlowStreamIsNotCanceledWithoutAnotherReplica(t *testing.T) {
	const pause = 700 * time.Millisecond // above minResponseTimeout and three times the longest allowed pause
	var runs atomic.Int32
	slow := newReplica(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		events("a", 2, -1)(w, r)
		time.Sleep(pause)
		_, _ = io.WriteString(w, "id: 2\ndata: e2\n\n")
	})
	g := newTestGateway(t, slow)
	status, body, _ := g.do(testRequest{path: "/quote/1"})
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, eventsText(3), body)
	assert.Equal(t, int32(1), runs.Load())
}

// Guards against slow answers that are given up together for retries of which the budget has fewer.
func TestNoMoreAnswersAreGivenUpThanTheBudgetRetries(t *testing.T) {
	const requests, slack, retries = 24, 5, 4 // of the slack, a host uses four fifths
	var ran atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		ran.Add(1)
		time.Sleep(1500 * time.Millisecond)
		respondWith("x")(w, r)
	}
	g := newTestGateway(t, newReplica(handler), newReplica(handler), newReplica(handler), newReplica(handler))
	g.restart(func(o *proxy.Options) {
		o.Budget = proxy.NewBudget(clockwork.NewRealClock(), time.Now().Add(-time.Minute), 0, slack, 1)
	}, (&net.Dialer{}).DialContext)
	var failed atomic.Int64
	var wg sync.WaitGroup
	for range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if status, _, _ := g.do(testRequest{path: "/lookup/1", body: "text"}); status != http.StatusOK {
				failed.Add(1)
			}
		}()
	}
	wg.Wait()
	assert.Zero(t, failed.Load())
	assert.Greater(t, ran.Load(), int64(requests), "slow answers are given up while the budget allows it")
	assert.LessOrEqual(t, ran.Load(), int64(requests+retries))
}

// Guards against a slow answer to a delegated request that is given up for a retry which only the other host may allow.
func TestSlowAnswerToDelegatedRequestIsNotGivenUp(t *testing.T) {
	var ran atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		time.Sleep(1500 * time.Millisecond)
		respondWith("x")(w, r)
	}
	g := newTestGateway(t, newReplica(handler), newReplica(handler))
	r := httptest.NewRequest(http.MethodPost, proxy.DelegatePath+"/lookup/1", http.NoBody)
	r.Host = requestHost
	r.Header.Set(attemptIDHeader, "attempt-1")
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("Heatherbarrow-Delegation", "runs=2&counted=1")
	w := httptest.NewRecorder()
	g.server.DelegateHandler().ServeHTTP(w, r)
	assert.Equal(t, http.StatusOK, w.Code)
	assert.Equal(t, int64(1), ran.Load())
}

// Guards against an event without an ID that a caller gets twice when a stream goes on after the event before it.
func TestEventWithoutIDIsNotRepeated(t *testing.T) {
	const last = "data: b\n\n"
	replica := func(w http.ResponseWriter, r *http.Request) {
		setSeal(w)
		w.Header().Set("Content-Type", "text/event-stream")
		if r.Header.Get("Last-Event-Id") == "" {
			_, _ = io.WriteString(w, "id: x\ndata: a\n\n"+last)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, last+"id: y\ndata: c\n\n")
	}
	g := newTestGateway(t, newReplica(replica), newReplica(replica))
	response, err := g.send(t.Context(), testRequest{path: "/quote/1"})
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.Error(t, err, "the stream ends visibly broken")
	assert.Equal(t, "id: x\ndata: a\n\n"+last, string(body))
}

// Guards against a slow stream that is cut for a retry that is then refused, as the last event has no ID after which
// another replica could go on.
func TestSlowStreamWithoutEventIDsIsNotCanceled(t *testing.T) {
	for name, begin := range map[string]string{"no IDs": "data: a\n\n", "last event has no ID": "id: 0\ndata: a\n\ndata: b\n\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const end = "data: c\n\n"
			slow := func(w http.ResponseWriter, _ *http.Request) {
				setSeal(w)
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, begin)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(1500 * time.Millisecond) // three times minResponseTimeout
				_, _ = io.WriteString(w, end)
			}
			replicas := []*countingReplica{newReplica(slow), newReplica(slow)}
			g := newTestGateway(t, replicas[0], replicas[1])
			response, err := g.send(t.Context(), testRequest{path: "/quote/1"})
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			assert.NoError(t, err)
			assert.Equal(t, begin+end, string(body))
			assert.Equal(t, int64(1), totalReceived(replicas...))
		})
	}
}

// Guards against a long answer that is cut while it is forwarded, for a retry that is no longer possible.
func TestLongAnswerIsNotCanceledWhileForwarded(t *testing.T) {
	const piece, pieces = 1 << 20, 4
	slow := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		setSeal(w)
		w.Header().Set("Content-Length", strconv.Itoa(pieces*piece))
		for range pieces {
			_, _ = io.WriteString(w, strings.Repeat("x", piece))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(400 * time.Millisecond)
		}
	}
	replicas := []*countingReplica{newReplica(slow), newReplica(slow)}
	g := newTestGateway(t, replicas[0], replicas[1])
	response, err := g.send(t.Context(), testRequest{path: "/lookup/1"})
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	n, err := io.Copy(io.Discard, response.Body)
	assert.NoError(t, err)
	assert.Equal(t, int64(pieces*piece), n)
}
