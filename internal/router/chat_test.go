package router

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/settings"
)

// Guards against an outcome that is not true of what the replicas did, above all
// a not-run after an attempt that may have run, and a broken stream that ends
// like a complete one.
func TestOutcomeOfEveryEnd(t *testing.T) {
	tests := []struct {
		name   string
		model  string // m is resumable, f is not
		script []behavior
		status int
		want   outcome.Outcome
		calls  int
		text   string // of a stream
	}{
		{"whole answer", "m", []behavior{whole}, 200, outcome.Completed, 1, wholeText},
		{"refused everywhere", "m", []behavior{refuse}, 503, outcome.NotRun, 2, ""},
		{"refused once", "m", []behavior{refuse, whole}, 200, outcome.Completed, 2, wholeText},
		{"broken before a frame, then refused", "m", []behavior{breakAfter(0), refuse}, 502, outcome.Unknown, 2, ""},
		{"failed, then refused", "f", []behavior{status(500), refuse}, 502, outcome.Failed, 2, ""},
		{"failed, then broken", "f", []behavior{status(500), breakAfter(0)}, 502, outcome.Unknown, 2, ""},
		{"caller's error", "m", []behavior{status(422)}, 422, outcome.Failed, 1, ""},
		{"redirect is not followed", "m", []behavior{status(302)}, 502, outcome.Failed, 1, ""},
		{"broken before a frame", "f", []behavior{breakAfter(0), whole}, 200, outcome.Completed, 2, wholeText},
		{"no frame in time", "f", []behavior{hangAfter(0), whole}, 200, outcome.Completed, 2, wholeText},
		{"resumed after a break", "m", []behavior{breakAfter(2), whole}, 200, outcome.Completed, 2, wholeText},
		{"resumed after silence", "m", []behavior{hangAfter(2), whole}, 200, outcome.Completed, 2, wholeText},
		{"resumed after silence inside a frame", "m", []behavior{hangInside(2), whole}, 200, outcome.Completed, 2, wholeText},
		{"silent inside a frame, cannot resume", "f", []behavior{hangInside(2)}, 200, outcome.Unknown, 1, "t0 t1 "},
		{"resumed after a foreign frame", "m", []behavior{foreignAfter(2), whole}, 200, outcome.Completed, 2, wholeText},
		{"resumed after a repeated frame", "m", []behavior{repeatAfter(2), whole}, 200, outcome.Completed, 2, wholeText},
		{"resumed after a missing end", "m", []behavior{endAfter(5), whole}, 200, outcome.Completed, 2, wholeText},
		{"resumed, then refused", "m", []behavior{breakAfter(2), refuse}, 200, outcome.Unknown, 2, "t0 t1 "},
		{"resumed, then failed", "m", []behavior{breakAfter(2), status(500)}, 200, outcome.Unknown, 2, "t0 t1 "},
		{"resumed, then an error of the caller", "m", []behavior{breakAfter(2), status(422)}, 200, outcome.Unknown, 2, "t0 t1 "},
		{"broken, cannot resume", "f", []behavior{breakAfter(2)}, 200, outcome.Unknown, 1, "t0 t1 "},
		{"silent, cannot resume", "f", []behavior{hangAfter(2)}, 200, outcome.Unknown, 1, "t0 t1 "},
		{"foreign frame, cannot resume", "f", []behavior{foreignAfter(2)}, 200, outcome.Unknown, 1, "t0 t1 "},
		{"no end, cannot resume", "f", []behavior{endAfter(5)}, 200, outcome.Unknown, 1, "t0 t1 t2 t3 "},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t, hostOptions{deadline: "3s"})
			h.play(test.script...)
			response, body := h.chat(t, test.model, true)
			require.Equal(t, test.status, response.StatusCode, body)
			require.Equal(t, test.calls, h.calls())
			require.Equal(t, test.want, h.recorded(t, response))
			if test.status != http.StatusOK {
				requireError(t, response, body, test.want)
				return
			}
			text, event := streamed(body)
			require.Equal(t, test.text, text)
			require.Contains(t, event, `"outcome":"`+string(test.want)+`"`)
			require.Equal(t, test.want == outcome.Completed, containsDone(body))
			require.Equal(t, test.want == outcome.Completed, containsFinish(body))
		})
	}
}

func requireError(t *testing.T, response *http.Response, body string, want outcome.Outcome) {
	t.Helper()
	var parsed errorBody
	require.NoError(t, json.Unmarshal([]byte(body), &parsed))
	require.Equal(t, want, parsed.Outcome)
	require.NotEmpty(t, parsed.Error.Code)
	require.Equal(t, string(want), response.Header.Get(outcome.HeaderOutcome))
	require.Equal(t, parsed.RequestID, response.Header.Get(outcome.HeaderRequestID))
	if want != outcome.NotRun {
		require.Empty(t, response.Header.Get("Retry-After"))
	}
}

func containsDone(body string) bool   { return strings.Contains(body, "data: [DONE]") }
func containsFinish(body string) bool { return strings.Contains(body, `"finish_reason":"stop"`) }

// Guards against fragments in a plain answer when an attempt broke half-way: the
// second attempt starts again, or continues where the upstream can resume.
func TestPlainAnswerAfterBreak(t *testing.T) {
	for _, model := range []string{"m", "f"} {
		h := newHost(t, hostOptions{})
		h.play(breakAfter(2), whole)
		response, body := h.chat(t, model, false)
		require.Equal(t, http.StatusOK, response.StatusCode, body)
		require.Equal(t, "completed", response.Header.Get(outcome.HeaderOutcome))
		require.JSONEq(t, fmt.Sprintf(`{"id":%q,"object":"chat.completion","model":%q,"usage":{"completion_tokens":%d},
			"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}]}`,
			response.Header.Get(outcome.HeaderRequestID), model, testTokens, wholeText), body)
	}
}

// Guards against parts of an answer that are lost on the way: tool calls, log
// probabilities, fields of engines' own, and the usage behind the finish reason.
func TestAnswerKeepsEveryField(t *testing.T) {
	chunks := []string{
		`"choices":[{"index":0,"delta":{"role":"assistant","content":null,"reasoning":"a"},"logprobs":{"content":[{"token":"x"}]},"finish_reason":null}]`,
		`"choices":[{"index":0,"delta":{"role":"assistant","reasoning":"b","tool_calls":[{"index":0,"id":"c1","type":"function","function":{"name":"stock","arguments":"{\"i"}}]},"logprobs":{"content":[{"token":"y"}]},"finish_reason":null}]`,
		`"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"\":1}"}},{"index":1,"id":"c2","type":"function","function":{"name":"n","arguments":""}}]},"finish_reason":null}]`,
		`"choices":[{"index":0,"delta":{},"finish_reason":"tool_calls"}]`,
		`"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":4,"total_tokens":11}`,
	}
	h := newHost(t, hostOptions{})
	h.play(func(w http.ResponseWriter, r *http.Request) {
		for i, chunk := range chunks {
			fmt.Fprintf(w, "data: {\"id\":%q,\"index\":%d,%s}\n\n", r.Header.Get("X-Request-Id"), i, chunk)
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	response, body := h.chat(t, "m", false)
	require.JSONEq(t, fmt.Sprintf(`{"id":%q,"object":"chat.completion","model":"m","usage":{"prompt_tokens":7,"completion_tokens":4,"total_tokens":11},
		"choices":[{"index":0,"finish_reason":"tool_calls","logprobs":{"content":[{"token":"x"},{"token":"y"}]},
		"message":{"role":"assistant","content":null,"reasoning":"ab","tool_calls":[
			{"id":"c1","type":"function","function":{"name":"stock","arguments":"{\"i\":1}"}},
			{"id":"c2","type":"function","function":{"name":"n","arguments":""}}]}}]}`, response.Header.Get(outcome.HeaderRequestID)), body)
	response, body = h.chat(t, "m", true)
	require.Equal(t, outcome.Completed, h.recorded(t, response))
	for _, chunk := range chunks {
		require.Contains(t, body, chunk)
	}
}

// Guards against a list that shows models which the team may not use.
func TestModelsOfATeam(t *testing.T) {
	h := newHost(t, hostOptions{})
	response, body := h.send(t, h.request(t, context.Background(), http.MethodGet, "/v1/models", ""))
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.JSONEq(t, `{"object":"list","data":[
		{"id":"f","object":"model","owned_by":"fixed","classes":["quote"]},
		{"id":"m","object":"model","owned_by":"models","classes":["quote"]}]}`, body)
	response, _ = h.send(t, h.request(t, context.Background(), http.MethodGet, "/v1/models", "", "Authorization", "Bearer wrong"))
	require.Equal(t, http.StatusUnauthorized, response.StatusCode)
}

// Guards against work that goes on upstream after the caller hung up, before and
// after the first frame, and against a request that stays in the queue.
func TestCallerHangsUp(t *testing.T) {
	for _, sent := range []int{0, 2} {
		h := newHost(t, hostOptions{slots: 1})
		h.play(hangAfter(sent))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			response, err := http.DefaultClient.Do(h.request(t, ctx, http.MethodPost, "/v1/chat/completions", chatBody("m", true)))
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		}()
		require.Eventually(t, func() bool { return h.calls() == 1 }, patience, time.Millisecond)
		cancel()
		<-done
		require.Eventually(t, func() bool {
			return len(h.engines[0].canceled)+len(h.engines[1].canceled) == 1
		}, patience, time.Millisecond)
		require.Eventually(t, func() bool { return h.server.inFlight.Load() == 0 }, patience, time.Millisecond)
		require.Equal(t, 1, h.calls(), "a request given up on is not tried again")
	}
}

// Guards against a queued request that outlives its caller or its deadline.
func TestQueuedRequestEnds(t *testing.T) {
	h := newHost(t, hostOptions{slots: 1, deadline: "1500ms"})
	h.play(hangAfter(1))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range h.engines {
		go func() {
			if response, err := http.DefaultClient.Do(h.request(t, ctx, http.MethodPost, "/v1/chat/completions",
				chatBody("m", true), outcome.HeaderClass, "draft", "Authorization", "Bearer other-key")); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		}()
	}
	require.Eventually(t, func() bool { return h.calls() == 2 }, patience, time.Millisecond)
	queued, hangUp := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, hangUp)
	_, err := http.DefaultClient.Do(h.request(t, queued, http.MethodPost, "/v1/chat/completions", chatBody("m", true)))
	require.ErrorIs(t, err, context.Canceled)
	require.Eventually(t, func() bool { return h.server.inFlight.Load() <= 2 }, patience, time.Millisecond)
}

// Guards against a deadline that is not kept, and against calling a request that
// was sent not-run.
func TestDeadline(t *testing.T) {
	h := newHost(t, hostOptions{deadline: "1s"})
	h.play(func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	response, body := h.chat(t, "m", false)
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode, body)
	requireError(t, response, body, outcome.Unknown)
}

// Guards against a caller that does not read and holds a replica's slot for
// ever, and against an answer that piles up in memory meanwhile.
func TestStalledCaller(t *testing.T) {
	h := newHost(t, hostOptions{settings: Settings{WriteTimeout: settings.Duration(300 * time.Millisecond)}})
	h.play(func(w http.ResponseWriter, r *http.Request) {
		for i := 0; r.Context().Err() == nil; i++ {
			writeFrame(w, r.Header.Get("X-Request-Id"), i, false)
		}
	})
	response, err := http.DefaultClient.Do(h.request(t, context.Background(), http.MethodPost, "/v1/chat/completions", chatBody("m", true)))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Eventually(t, func() bool { return h.server.inFlight.Load() == 0 }, patience, time.Millisecond)
	require.Equal(t, outcome.Unknown, h.recorded(t, response))
}

// Guards against a crash that control hears of late or without the data to
// quarantine the request, and against waiting for control to send it back.
func TestCrashIsReported(t *testing.T) {
	h := newHost(t, hostOptions{})
	h.play(breakAfter(1), whole)
	_, body := h.chat(t, "m", true)
	text, _ := streamed(body)
	require.Equal(t, wholeText, text)
	require.Eventually(t, func() bool {
		h.server.viewMu.Lock()
		defer h.server.viewMu.Unlock()
		return h.server.view != nil && len(h.server.view.Quarantine) == 1
	}, patience, time.Millisecond)
	h.feed.mu.Lock()
	defer h.feed.mu.Unlock()
	// The completion of the second attempt is told at the same time.
	i := slices.IndexFunc(h.feed.crashes, func(r *rpc.CrashRequest) bool { return !r.Completed })
	require.GreaterOrEqual(t, i, 0)
	crash := h.feed.crashes[i]
	require.Equal(t, "models", crash.Upstream)
	require.Equal(t, "m", crash.Model)
	require.NotZero(t, crash.Fingerprint)
	h.server.viewMu.Lock()
	defer h.server.viewMu.Unlock()
	require.Equal(t, crash.Fingerprint, h.server.view.Quarantine[0].Fingerprint)
}

// Guards against a preempted stream that loses or repeats tokens, ends without
// its proper end, or leaves the work running on the replica.
func TestPreemptedStreamContinues(t *testing.T) {
	h := newHost(t, hostOptions{slots: 1})
	release := make(chan struct{})
	resumed := make(chan string, 2)
	h.play(func(w http.ResponseWriter, r *http.Request) {
		switch from := r.Header.Get("X-Resume-From"); {
		case r.Header.Get("X-Priority") == "1":
			<-release
			whole(w, r)
		case from != "":
			resumed <- from
			whole(w, r)
		default:
			hangAfter(2)(w, r)
		}
	})
	h.server.snapshot.Load().Bundle.Limits.FrameTimeout = settings.Duration(time.Minute)
	results := make(chan string, 3)
	start := func(class, key string) {
		response, err := http.DefaultClient.Do(h.request(t, context.Background(), http.MethodPost, "/v1/chat/completions",
			chatBody("m", true), outcome.HeaderClass, class, "Authorization", "Bearer "+key))
		if err != nil {
			results <- err.Error()
			return
		}
		go func() {
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			results <- string(body)
		}()
	}
	start("draft", "other-key") // returns when the first frame was passed on
	go start("quote", "key")
	go start("quote", "key")
	require.Eventually(t, func() bool {
		return len(h.engines[0].canceled)+len(h.engines[1].canceled) == 1
	}, patience, time.Millisecond)
	close(release)
	for range 3 {
		text, event := streamed(<-results)
		require.Equal(t, wholeText, text)
		require.Contains(t, event, `"completed"`)
	}
	require.NotEmpty(t, <-resumed)
}

// Guards against a queued request that is answered after its deadline, called
// anything but not-run, or not told when to come back.
func TestDeadlineInQueue(t *testing.T) {
	h := newHost(t, hostOptions{slots: 1, deadline: "2s"})
	b := h.server.snapshot.Load().Bundle
	b.Limits.FrameTimeout = settings.Duration(time.Minute)
	b.Classes[1].Preemptible = false
	snapshot := bundle.Compile(b, 2, "")
	h.server.Scheduler.Update(snapshot, nil)
	h.server.snapshot.Store(snapshot)
	h.play(hangAfter(1))
	for range h.engines { // drafts hold all slots beyond the deadline of the quote
		response, err := http.DefaultClient.Do(h.request(t, context.Background(), http.MethodPost, "/v1/chat/completions",
			chatBody("m", true), outcome.HeaderClass, "draft", "Authorization", "Bearer other-key"))
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
	}
	response, body := h.chat(t, "m", true)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, body)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	requireError(t, response, body, outcome.NotRun)
	require.Equal(t, 2, h.calls())
}

// addReplicas gives every upstream n replicas that share the scripts of its first
// one, and class quote the retry budget.
func (h *host) addReplicas(t *testing.T, n int, budget float64) {
	t.Helper()
	b := *h.server.snapshot.Load().Bundle
	b.Classes = slices.Clone(b.Classes)
	b.Classes[0].RetryBudget = budget
	b.Upstreams = slices.Clone(b.Upstreams)
	for i := range b.Upstreams {
		u := &b.Upstreams[i]
		first := u.Replicas[0]
		u.Replicas = nil
		for j := range n {
			first.ID = fmt.Sprint("r", j)
			u.Replicas = append(u.Replicas, first)
		}
	}
	snapshot := bundle.Compile(&b, 2, "")
	h.server.snapshot.Store(snapshot)
	h.server.Scheduler.Update(snapshot, nil)
}

// Guards against attempts that did not run using up the attempts of a request or
// its class's retry budget, and against attempts that ran using neither.
func TestAttemptsThatDidNotRunAreNotCounted(t *testing.T) {
	tests := []struct {
		name   string
		budget float64
		script []behavior
		want   outcome.Outcome
		calls  int
	}{
		{"refused four times without a budget", 0, []behavior{refuse, refuse, refuse, refuse, whole}, outcome.Completed, 5},
		{"refused between two that ran", 1, []behavior{refuse, status(500), refuse, refuse, status(500), refuse, whole}, outcome.Completed, 7},
		{"three that ran", 1, []behavior{status(500), refuse, status(500), refuse, status(500), whole}, outcome.Failed, 5},
		{"one that ran without a budget", 0, []behavior{refuse, breakAfter(0), whole}, outcome.Unknown, 2},
		{"refused by all", 1, []behavior{refuse}, outcome.NotRun, maxTries},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t, hostOptions{})
			h.addReplicas(t, maxTries+2, test.budget)
			h.play(test.script...)
			response, body := h.chat(t, "m", true)
			require.Equal(t, test.want, h.recorded(t, response), body)
			require.Equal(t, test.calls, h.calls())
		})
	}
}

// Guards against the same for calls to services.
func TestServiceAttemptsThatDidNotRunAreNotCounted(t *testing.T) {
	ok := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }
	h := newHost(t, hostOptions{})
	h.addReplicas(t, maxTries+2, 0)
	h.service.play(refuse, refuse, refuse, refuse, ok)
	response, body := h.send(t, h.request(t, context.Background(), http.MethodGet, "/services/warehouse/stock/1", ""))
	require.Equal(t, http.StatusNoContent, response.StatusCode, body)
	require.Equal(t, 5, h.service.count())
}
