package router

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/outcome"
)

// lastRefusal is the time after a rest of 5 s began until which calls with a deadline of 1 s are refused. Later ones wait for
// its end, which a call that a busy machine holds up must not be taken for.
const lastRefusal = 4 * time.Second

// restingFor is a behavior that asks for rest. Marked tells whether it declares that the request did not run.
func restingFor(code int, seconds string, marked bool) behavior {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", seconds)
		if marked {
			w.Header().Set(outcome.HeaderOutcome, "not-run")
		}
		w.WriteHeader(code)
	}
}

// leaving is a behavior whose process states that it leaves.
func leaving(process string, act behavior) behavior {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Heatherbarrow-Boot", process)
		w.Header().Set("Heatherbarrow-Leaving", "1")
		act(w, r)
	}
}

// Guards against further requests to an engine that asked for rest while another one takes them, and against an engine
// that is held back after its rest.
func TestRestingEngineGetsNoRequests(t *testing.T) {
	const rest = 2 * time.Second
	for name, asks := range map[string]behavior{
		"503 not run": restingFor(503, "2", true),
		"429 not run": restingFor(429, "2", true),
		"503 failed":  restingFor(503, "2", false),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t, hostOptions{})
			h.engines[0].play(asks)
			h.engines[1].play(whole)
			begin := time.Now()
			for h.engines[0].count() == 0 {
				response, _ := h.chat(t, "m", true)
				require.Equal(t, http.StatusOK, response.StatusCode)
			}
			asked := time.Now()
			for ; time.Since(begin) < rest-200*time.Millisecond; time.Sleep(time.Millisecond) {
				response, _ := h.chat(t, "m", true)
				calls := h.engines[0].count()
				if time.Since(begin) >= rest {
					break // the machine was busy, the request may have been sent after the rest
				}
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.Equal(t, 1, calls, "%s after it asked", time.Since(asked))
			}
			require.Eventually(t, func() bool {
				h.chat(t, "m", true)
				return h.engines[0].count() > 1
			}, patience, time.Millisecond)
		})
	}
}

// Guards against further calls to a service that asked for rest, and against a refusal that tells callers to come back too
// early or whose outcome is not that nothing ran.
func TestRestingServiceGetsNoCalls(t *testing.T) {
	for name, marked := range map[string]bool{"not run": true, "failed": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t, hostOptions{deadline: "1s"})
			h.service.play(restingFor(503, "5", marked), reply(200, "42"))
			call := func() *http.Response {
				response, _ := h.send(t, h.request(t, context.Background(), http.MethodGet, "/services/warehouse/stock/1", ""))
				return response
			}
			asked := time.Now()
			first := call()
			require.Equal(t, http.StatusServiceUnavailable, first.StatusCode)
			require.Equal(t, "5", first.Header.Get("Retry-After"))
			for ; time.Since(asked) < 1700*time.Millisecond; time.Sleep(10 * time.Millisecond) {
				left := 5*time.Second - time.Since(asked)
				response := call()
				if time.Since(asked) >= lastRefusal {
					break
				}
				require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
				require.Equal(t, string(outcome.NotRun), response.Header.Get(outcome.HeaderOutcome))
				after, err := strconv.Atoi(response.Header.Get("Retry-After"))
				require.NoError(t, err)
				require.GreaterOrEqual(t, time.Duration(after)*time.Second, left-100*time.Millisecond)
				require.LessOrEqual(t, after, 5)
				require.Equal(t, 1, h.service.count())
			}
			require.Eventually(t, func() bool { return call().StatusCode == http.StatusOK }, patience, 10*time.Millisecond)
			require.Equal(t, 2, h.service.count())
			require.GreaterOrEqual(t, time.Since(asked), 5*time.Second)
		})
	}
}

// Guards against a refused caller whose time outlasts the rest of all replicas, and against a call that is sent early.
func TestCallWaitsForEndOfRest(t *testing.T) {
	h := newHost(t, hostOptions{deadline: "20s"})
	h.service.play(restingFor(503, "3", false), reply(200, "42"))
	call := func() *http.Response {
		response, _ := h.send(t, h.request(t, context.Background(), http.MethodGet, "/services/warehouse/stock/1", ""))
		return response
	}
	asked := time.Now()
	require.Equal(t, http.StatusServiceUnavailable, call().StatusCode)
	require.Equal(t, http.StatusOK, call().StatusCode)
	require.GreaterOrEqual(t, time.Since(asked), 3*time.Second)
	require.Equal(t, 2, h.service.count())
}

// Guards against a rest that is cut short by the shorter one of a request that was in flight at the same time.
func TestLongestRestOfRequestsInFlightHolds(t *testing.T) {
	h := newHost(t, hostOptions{deadline: "1s"})
	short := make(chan struct{})
	var begun atomic.Int32
	h.service.play(func(w http.ResponseWriter, r *http.Request) {
		if begun.Add(1) == 1 {
			<-short
			restingFor(503, "1", false)(w, r)
			return
		}
		restingFor(503, "5", false)(w, r)
		close(short)
	}, func(w http.ResponseWriter, r *http.Request) {
		begun.Add(1)
		restingFor(503, "5", false)(w, r)
		close(short)
	}, reply(200, "42"))
	call := func() *http.Response {
		response, _ := h.send(t, h.request(t, context.Background(), http.MethodGet, "/services/warehouse/stock/1", ""))
		return response
	}
	first := make(chan struct{})
	go func() {
		defer close(first)
		call()
	}()
	require.Eventually(t, func() bool { return begun.Load() == 1 }, patience, time.Millisecond)
	asked := time.Now()
	call()
	<-first
	for ; time.Since(asked) < 1700*time.Millisecond; time.Sleep(10 * time.Millisecond) {
		response := call()
		if time.Since(asked) >= lastRefusal {
			break
		}
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.Equal(t, 2, h.service.count())
	}
}

// Guards against requests to a replica that says in its answers that it leaves, while control tells nothing.
func TestLeavingEngineGetsNoRequests(t *testing.T) {
	h := newHost(t, hostOptions{})
	h.engines[0].play(leaving("p1", whole))
	h.engines[1].play(whole)
	for h.engines[0].count() == 0 {
		h.chat(t, "m", true)
	}
	for range 100 {
		response, _ := h.chat(t, "m", true)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	require.Equal(t, 1, h.engines[0].count())
}

// Guards against queued calls that are sent to a replica which asked for rest after they had arrived, or that wait for it
// although their time is over first.
func TestQueuedCallsAreRefusedWhenRestBegins(t *testing.T) {
	const slots, queued = 8, 20
	h := newHost(t, hostOptions{deadline: "10s"})
	release := make(chan struct{})
	h.service.play(func(w http.ResponseWriter, r *http.Request) {
		<-release
		restingFor(503, "60", true)(w, r)
	})
	answers := make(chan *http.Response, slots+queued)
	for range slots + queued {
		r := h.request(t, context.Background(), http.MethodGet, "/services/warehouse/stock/1", "")
		go func() {
			response, err := http.DefaultClient.Do(r)
			if err == nil {
				_ = response.Body.Close()
			}
			answers <- response
		}()
	}
	require.Eventually(t, func() bool { return h.service.count() == slots && h.server.inFlight.Load() == slots+queued }, patience, time.Millisecond)
	begin := time.Now()
	close(release)
	for range slots + queued {
		response := <-answers
		require.NotNil(t, response)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.Equal(t, string(outcome.NotRun), response.Header.Get(outcome.HeaderOutcome))
		after, err := strconv.Atoi(response.Header.Get("Retry-After"))
		require.NoError(t, err)
		require.LessOrEqual(t, after, 60)
		require.GreaterOrEqual(t, time.Duration(after)*time.Second, time.Minute-time.Since(begin))
	}
	require.Less(t, time.Since(begin), 5*time.Second) // half of their time
	require.Equal(t, slots, h.service.count())
}
