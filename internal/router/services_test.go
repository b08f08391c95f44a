package router

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/rpc"
)

func (h *host) order(t *testing.T, ctx context.Context) *http.Request {
	return h.request(t, ctx, http.MethodPost, "/services/warehouse/orders?x=1", "{}", outcome.HeaderKey, "k1")
}

func reply(code int, body string) behavior {
	return func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(code)
		_, _ = io.WriteString(w, body)
	}
}

// Guards against a non-repeatable call that is made twice, and against an
// outcome, told or recorded, that is not true of what the service did.
func TestOutcomeOfNonRepeatableCall(t *testing.T) {
	tests := []struct {
		name   string
		act    behavior
		status int
		want   outcome.Outcome
	}{
		{"answered", reply(201, "done"), 201, outcome.Completed},
		{"caller's error", reply(409, "no"), 409, outcome.Completed},
		{"service's error", reply(500, "no"), 500, outcome.Failed},
		{"refused", refuse, 503, outcome.NotRun},
		{"answer lost", breakAfter(0), 502, outcome.Unknown},
		{"no answer in time", hangAfter(0), 504, outcome.Unknown},
		{"answer too large", reply(200, strings.Repeat("x", 5<<20)), 502, outcome.Failed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			o := hostOptions{}
			if test.status != http.StatusGatewayTimeout {
				// Only the time-out's own case is about time: a long answer takes a busy
				// machine longer than the short default.
				o.orderTimeout = "20s"
			}
			h := newHost(t, o)
			h.feed.claim.Result = rpc.ClaimResult_CLAIM_RESULT_GRANTED
			h.service.play(test.act)
			response, body := h.send(t, h.order(t, context.Background()))
			require.Equal(t, test.status, response.StatusCode, body)
			require.Equal(t, string(test.want), response.Header.Get(outcome.HeaderOutcome))
			require.Equal(t, test.want == outcome.NotRun, response.Header.Get("Retry-After") != "")
			require.Equal(t, 1, h.service.count())
			require.Eventually(t, func() bool { return len(h.feed.outcomes()) == 1 }, patience, time.Millisecond)
			require.Equal(t, []string{string(test.want)}, h.feed.outcomes())
			require.Equal(t, test.want, h.recorded(t, response))
		})
	}
}

// Guards against part of an answer without a length that is told to be the completed answer after the process of the
// service ended.
func TestUnframedAnswerOfEndedServiceIsNotCompleted(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		h := newHost(t, hostOptions{})
		h.feed.claim.Result = rpc.ClaimResult_CLAIM_RESULT_GRANTED
		h.service.play(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf of the ans")
			_ = h.service.Listener.Close()
		})
		request := h.order(t, t.Context())
		if method == http.MethodGet {
			request = h.request(t, t.Context(), method, "/services/warehouse/stock/glue", "")
		}
		response, body := h.send(t, request)
		require.Equal(t, http.StatusBadGateway, response.StatusCode, body)
		require.Equal(t, string(outcome.Unknown), response.Header.Get(outcome.HeaderOutcome), method)
	}
}

// Guards against part of an answer without a length that is told to be the completed answer after the next process of
// the service took the address, and against a whole one that is taken for a part.
func TestUnframedAnswerIsCompletedWhileItsProcessAnswers(t *testing.T) {
	for answering, want := range map[string]outcome.Outcome{"first": outcome.Completed, "second": outcome.Unknown} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			h := newHost(t, hostOptions{})
			h.feed.claim.Result = rpc.ClaimResult_CLAIM_RESULT_GRANTED
			h.service.play(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodHead {
					w.Header().Set("Heatherbarrow-Boot", answering)
					return
				}
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nHeatherbarrow-Boot: first\r\n\r\nanswer")
			})
			request := h.order(t, t.Context())
			if method == http.MethodGet {
				request = h.request(t, t.Context(), method, "/services/warehouse/stock/glue", "")
			}
			response, body := h.send(t, request)
			require.Equal(t, string(want), response.Header.Get(outcome.HeaderOutcome), method+body)
			require.Equal(t, want == outcome.Completed, response.StatusCode == http.StatusOK, body)
			require.Empty(t, response.Header.Get("Heatherbarrow-Boot"))
			if method == http.MethodPost {
				require.Eventually(t, func() bool { return len(h.feed.outcomes()) == 1 }, patience, time.Millisecond)
				require.Equal(t, []string{string(want)}, h.feed.outcomes())
			}
		}
	}
}

// Guards against headers that are lost between caller and service, against a
// team's key that reaches a service, and against an outcome told by a service.
func TestServiceHeaders(t *testing.T) {
	h := newHost(t, hostOptions{})
	var got http.Header
	h.service.play(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		w.Header().Set("Location", "/orders/7")
		w.Header().Add("Set-Cookie", "a=1")
		w.Header().Add("Set-Cookie", "b=2")
		w.Header().Set(outcome.HeaderOutcome, "unknown")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.WriteHeader(200)
	})
	response, _ := h.send(t, h.request(t, context.Background(), http.MethodGet, "/services/warehouse/stock/glue", "",
		"If-None-Match", "v1", "Connection", "X-Mine", "X-Mine", "1"))
	require.Equal(t, "v1", got.Get("If-None-Match"))
	require.Equal(t, response.Header.Get(outcome.HeaderRequestID), got.Get("X-Request-Id"))
	for _, name := range []string{"Authorization", outcome.HeaderClass, "X-Mine"} {
		require.Empty(t, got.Get(name), name)
	}
	require.Equal(t, "/orders/7", response.Header.Get("Location"))
	require.Equal(t, []string{"a=1", "b=2"}, response.Header.Values("Set-Cookie"))
	require.Equal(t, []string{"completed"}, response.Header.Values(outcome.HeaderOutcome))
	require.Empty(t, response.Header.Get("X-Hop"))
	require.Equal(t, "gzip", got.Get("Accept-Encoding"))
	h.feed.claim.Result = rpc.ClaimResult_CLAIM_RESULT_GRANTED
	h.send(t, h.order(t, context.Background()))
	require.Empty(t, got.Get("Accept-Encoding"), "a kept answer has no encoding")
}

// Guards against running a call without a claim of its own.
func TestNoCallWithoutClaim(t *testing.T) {
	tests := []struct {
		claim  rpc.ClaimResult
		status int
		want   outcome.Outcome
	}{
		{rpc.ClaimResult_CLAIM_RESULT_UNAVAILABLE, 503, outcome.NotRun},
		{rpc.ClaimResult_CLAIM_RESULT_CONFLICT, 409, outcome.NotRun},
		{rpc.ClaimResult_CLAIM_RESULT_IN_PROGRESS, 409, outcome.Unknown},
	}
	h := newHost(t, hostOptions{})
	h.service.play(reply(200, ""))
	for _, test := range tests {
		h.feed.claim.Result = test.claim
		response, body := h.send(t, h.order(t, context.Background()))
		require.Equal(t, test.status, response.StatusCode)
		requireError(t, response, body, test.want)
	}
	h.feed.claimErr = io.ErrUnexpectedEOF
	response, body := h.send(t, h.order(t, context.Background()))
	requireError(t, response, body, outcome.NotRun)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Eventually(t, func() bool { return len(h.feed.outcomes()) == 1 }, patience, time.Millisecond, "a claim whose answer was lost is given back")
	require.Zero(t, h.service.count())
}

// Guards against a repeated key that runs the call again or loses the answer
// that the first caller did not receive.
func TestRepeatedKeyGetsFirstAnswer(t *testing.T) {
	h := newHost(t, hostOptions{})
	h.service.play(reply(200, ""))
	h.feed.claim = rpc.ClaimResponse{Result: rpc.ClaimResult_CLAIM_RESULT_FINISHED, Outcome: "unknown", FirstAttempt: "first"}
	h.feed.answer = rpc.StoredAnswer{Found: true, Outcome: "unknown", Status: 201, Body: []byte("order 7")}
	response, body := h.send(t, h.order(t, context.Background()))
	require.Equal(t, 201, response.StatusCode)
	require.Equal(t, "order 7", body)
	require.Equal(t, "completed", response.Header.Get(outcome.HeaderOutcome))
	h.feed.claim.Result = rpc.ClaimResult_CLAIM_RESULT_IN_PROGRESS
	response, body = h.send(t, h.order(t, context.Background()))
	require.Equal(t, 201, response.StatusCode, "the answer is there before the log has the outcome")
	require.Equal(t, "order 7", body)
	h.feed.claim.Result = rpc.ClaimResult_CLAIM_RESULT_FINISHED
	h.feed.answer = rpc.StoredAnswer{}
	response, body = h.send(t, h.order(t, context.Background()))
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	requireError(t, response, body, outcome.Unknown)
	require.Zero(t, h.service.count())
}

// Guards against recording completed for a caller that has gone, and against
// losing the answer that a repeated key is owed.
func TestServiceCallerHangsUp(t *testing.T) {
	h := newHost(t, hostOptions{})
	h.feed.claim.Result = rpc.ClaimResult_CLAIM_RESULT_GRANTED
	h.service.play(hangAfter(0))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for h.service.count() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := http.DefaultClient.Do(h.order(t, ctx))
	require.ErrorIs(t, err, context.Canceled)
	<-h.service.canceled
	require.Eventually(t, func() bool { return len(h.feed.outcomes()) == 1 }, patience, time.Millisecond)
	require.Equal(t, []string{"unknown"}, h.feed.outcomes())
}

// Guards against an outcome that is lost because control is away when the call ends.
func TestOutcomeIsHandedOverWhenControlReturns(t *testing.T) {
	h := newHost(t, hostOptions{})
	h.feed.claim.Result = rpc.ClaimResult_CLAIM_RESULT_GRANTED
	h.feed.down = true
	h.service.play(reply(200, "done"))
	response, _ := h.send(t, h.order(t, context.Background()))
	require.Equal(t, 200, response.StatusCode, "the answer does not wait for control")
	require.Empty(t, h.feed.outcomes())
	h.feed.mu.Lock()
	h.feed.down = false
	h.feed.mu.Unlock()
	require.Eventually(t, func() bool { return h.server.inFlight.Load() == 0 }, patience, time.Millisecond)
	h.server.recorder.flush(context.Background())
	require.Equal(t, []string{"completed"}, h.feed.outcomes())
}

// Guards against a path that arrives at the service in another form than the
// caller sent.
func TestServiceRequestIsPassedOn(t *testing.T) {
	h := newHost(t, hostOptions{})
	got := make(chan string, 1)
	h.service.play(func(w http.ResponseWriter, r *http.Request) {
		got <- r.Method + " " + r.RequestURI + " " + r.Header.Get("X-Request-Id") + " " + r.Header.Get("Accept")
	})
	response, _ := h.send(t, h.request(t, context.Background(), http.MethodGet, "/services/warehouse/stock/a%20b%23c%2Fd?q=%41", "", "Accept", "text/plain"))
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "GET /stock/a%20b%23c%2Fd?q=%41 "+response.Header.Get(outcome.HeaderRequestID)+" text/plain", <-got)
}
