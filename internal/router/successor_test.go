package router

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// Guards against a process that is held back for what the one before it at the same address said, and against one that is
// sent requests again because a question to it was answered or not answered.
func TestSuccessorOfLeavingEngineBeginsAfresh(t *testing.T) {
	h := newHost(t, hostOptions{})
	var process atomic.Pointer[string] // nil while none answers
	name := func(s string) { process.Store(&s) }
	var requests atomic.Int32
	name("p1")
	h.engines[0].play(func(w http.ResponseWriter, r *http.Request) {
		current := process.Load()
		switch {
		case current == nil:
			panic(http.ErrAbortHandler)
		case r.Method == http.MethodHead:
			require.Equal(t, "/heatherbarrow/boot", r.URL.Path)
			w.Header().Set("Heatherbarrow-Boot", *current)
			return
		}
		requests.Add(1)
		if *current == "p1" {
			leaving(*current, restingFor(503, "600", true))(w, r)
			return
		}
		whole(w, r)
	})
	h.engines[1].play(whole)
	send := func(n int) {
		for range n {
			response, _ := h.chat(t, "m", true)
			require.Equal(t, http.StatusOK, response.StatusCode)
		}
	}
	for requests.Load() == 0 {
		send(1)
	}
	h.server.askHeld(context.Background()) // the same process
	send(20)
	process.Store(nil)
	h.server.askHeld(context.Background())
	send(20)
	require.EqualValues(t, 1, requests.Load())
	name("p2")
	h.server.askHeld(context.Background())
	require.Eventually(t, func() bool {
		send(1)
		return requests.Load() > 1
	}, patience, time.Millisecond)
	require.Empty(t, h.server.Scheduler.HeldProcesses())
	counted := func(name string) int64 { return counterOf(h.scope, name) }
	require.EqualValues(t, 1, counted("replicas_said_leaving"))
	require.EqualValues(t, 1, counted("replicas_resting"))
}

func counterOf(scope tally.TestScope, name string) int64 {
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == name && len(c.Tags()) == 0 {
			return c.Value()
		}
	}
	return -1
}

// Guards against a statement that cannot be read and holds a replica back.
func TestUnreadableStatementsHaveNoEffect(t *testing.T) {
	h := newHost(t, hostOptions{})
	h.service.play(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Heatherbarrow-Leaving", "yes")
		restingFor(503, "Wed, 21 Oct 2015 07:28:00 GMT", false)(w, r)
	})
	for range 20 {
		response, _ := h.send(t, h.request(t, context.Background(), http.MethodGet, "/services/warehouse/stock/1", ""))
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	}
	require.Equal(t, 20, h.service.count())
}
