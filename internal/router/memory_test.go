package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/membudget"
	"heatherbarrow/internal/outcome"
)

// Guards against bodies of requests that together exceed the memory set aside for them, and against short ones that are
// refused meanwhile.
func TestRequestWhoseBodyHasNoMemoryIsRefused(t *testing.T) {
	h := newHost(t, hostOptions{})
	h.play(whole)
	h.server.BodyMemory = membudget.New(0, 1)
	long := strings.Replace(chatBody("m", true), "hello", strings.Repeat("x", 20<<10), 1)
	response, body := h.send(t, h.request(t, context.Background(), http.MethodPost, "/v1/chat/completions", long))
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Equal(t, string(outcome.NotRun), response.Header.Get(outcome.HeaderOutcome))
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	assert.Contains(t, body, "body_memory")
	assert.Zero(t, h.calls())
	response, _ = h.chat(t, "m", true)
	assert.Equal(t, http.StatusOK, response.StatusCode)
}

// longFrames answers with frames of 4 KB each.
func longFrames(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range testTokens {
		finish := "null"
		if i == testTokens-1 {
			finish = `"stop"`
		}
		_, _ = fmt.Fprintf(w, `data: {"id":%q,"index":%d,"choices":[{"index":0,"delta":{"content":%q},"finish_reason":%s}]}`+"\n\n",
			r.Header.Get("X-Request-Id"), i, strings.Repeat("x", 4<<10), finish)
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// Guards against collected answers that together exceed the memory set aside for answers, and against memory of answers
// and bodies that is not given back.
func TestCollectedAnswerTakesItsMemory(t *testing.T) {
	for limit, want := range map[int]int{0: http.StatusBadGateway, 16 << 20: http.StatusOK} {
		h := newHost(t, hostOptions{})
		h.play(longFrames)
		answers, bodies := membudget.New(limit, 1), membudget.New(16<<20, 1)
		h.server.AnswerMemory, h.server.BodyMemory = answers, bodies
		long := strings.Replace(chatBody("m", false), "hello", strings.Repeat("x", 20<<10), 1)
		response, body := h.send(t, h.request(t, context.Background(), http.MethodPost, "/v1/chat/completions", long))
		assert.Equal(t, want, response.StatusCode)
		if want != http.StatusOK {
			assert.Contains(t, body, "answer_too_large")
		}
		require.Eventually(t, func() bool { return h.server.inFlight.Load() == 0 }, patience, time.Millisecond)
		assert.Zero(t, answers.Held())
		assert.Zero(t, bodies.Held())
	}
}
