package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/proxy"
	"heatherbarrow/internal/scheduling/retry"
)

// withOneRetry lets the gateway use a retry budget that holds one retry until the returned clock is advanced. It delegates all
// requests if there are other hosts.
func (g *testGateway) withOneRetry(hosts *otherHosts) *clockwork.FakeClock {
	const slack = 2.5 // of which a host uses four fifths and saves half
	clock := clockwork.NewFakeClock()
	dial := (&net.Dialer{}).DialContext
	if hosts != nil {
		dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if !slices.Contains(hosts.addresses, address) {
				return nil, errRefused
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
	}
	g.restart(func(o *proxy.Options) {
		o.Budget = proxy.NewBudget(clock, clock.Now().Add(-time.Minute), 0, slack, 1)
		if hosts != nil {
			o.Helpers = hosts
		}
	}, dial)
	return clock
}

// refuseLate refuses a request after so long that it counts as taken.
func refuseLate(w http.ResponseWriter, r *http.Request) {
	time.Sleep(400 * time.Millisecond)
	refuseAsFull(w, r)
}

// Guards against a sound stream that this host gave up for another replica, which refused it late, and that is then broken off
// because the retry budget is empty for a moment.
func TestStreamGivenUpForALateRefusalWaitsForTheRetryBudget(t *testing.T) {
	for name, delegated := range map[string]bool{"own": false, "delegated": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var canceled atomic.Int64
			var mayTake atomic.Bool
			var clock *clockwork.FakeClock
			replicas := firstThen(3, pausingStream(5*time.Second, &canceled), func(i int64, w http.ResponseWriter, r *http.Request) {
				switch {
				case mayTake.Load():
					events("b", 4, -1)(w, r)
				case i > 1:
					refuseAsFull(w, r)
				default:
					refuseLate(w, r)
					time.AfterFunc(500*time.Millisecond, func() {
						mayTake.Store(true)
						clock.Advance(retry.Window)
					})
				}
			})
			var g *testGateway
			var hosts *otherHosts
			if delegated {
				g, hosts = cutOffGateway(t, replicas...)
			} else {
				g = newTestGateway(t, replicas...)
			}
			clock = g.withOneRetry(hosts)
			status, body, _ := g.do(testRequest{path: "/quote/1"})
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, eventsText(4), body)
			assert.NotZero(t, canceled.Load(), "the silent run has been given up")
		})
	}
}

// Guards against a stream that waits for the retry budget and outlives its caller, or takes retries that the budget does not have.
func TestStreamWaitingForTheRetryBudgetEndsWithItsCaller(t *testing.T) {
	var canceled, received atomic.Int64
	g := newTestGateway(t, firstThen(3, pausingStream(5*time.Second, &canceled), func(_ int64, w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		refuseLate(w, r)
	})...)
	g.withOneRetry(nil)
	ctx, leave := context.WithTimeout(t.Context(), 1500*time.Millisecond) // during the wait
	defer leave()
	response, err := g.send(ctx, testRequest{path: "/quote/1"})
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	require.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, eventsText(2), string(body))
	assert.Eventually(t, func() bool { return g.server.Active() == 0 }, 500*time.Millisecond, time.Millisecond)
	assert.Equal(t, int64(1), received.Load())
}

// Guards against a caller that is held by a stream which its replica broke off while the retry budget is empty: the caller can
// take it up at once.
func TestStreamBrokenOffByItsReplicaDoesNotWaitForTheRetryBudget(t *testing.T) {
	g := newTestGateway(t, newReplica(events("a", 8, 3)), newReplica(events("a", 8, 3)))
	g.withOneRetry(nil)
	status, body, _ := g.do(testRequest{path: "/quote/1"})
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, eventsText(8), body, "the retry is used")
	started := time.Now()
	response, err := g.send(t.Context(), testRequest{path: "/quote/1"})
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	_ = response.Body.Close()
	require.Error(t, err)
	assert.Less(t, time.Since(started), time.Second)
}

// Guards against sound streams that fall silent together and spend the whole retry budget on offers, so that those whose
// offers are refused late are lost.
func TestOffersLeaveRetriesForStreamsThatAreGivenUp(t *testing.T) {
	const streams, slack = 6, 10 // a host saves four retries
	var mu sync.Mutex
	requests := make(map[string]int)
	replica := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		id := r.Header.Get(attemptIDHeader)
		requests[id]++
		n := requests[id]
		mu.Unlock()
		switch n {
		case 1:
			var canceled atomic.Int64
			pausingStream(1500*time.Millisecond, &canceled)(w, r)
		case 2:
			refuseLate(w, r)
		default:
			events("b", 4, -1)(w, r)
		}
	}
	g := newTestGateway(t, newReplica(replica), newReplica(replica), newReplica(replica), newReplica(replica))
	clock := clockwork.NewFakeClock()
	g.restart(func(o *proxy.Options) {
		o.Budget = proxy.NewBudget(clock, clock.Now().Add(-time.Minute), 0, slack, 1)
	}, (&net.Dialer{}).DialContext)
	var callers sync.WaitGroup
	for i := range streams {
		callers.Go(func() {
			response, err := g.send(t.Context(), testRequest{path: "/quote/1", header: map[string]string{attemptIDHeader: fmt.Sprint("a", i)}})
			if !assert.NoError(t, err) {
				return
			}
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			assert.NoError(t, err)
			assert.Equal(t, eventsText(4), string(body))
		})
	}
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	offered := 0
	for _, n := range requests {
		offered += n - 1
	}
	assert.Positive(t, offered, "silent streams are offered to other replicas")
}

// Guards against a stream without an event that is answered 502 because this host gave it up for a replica which refused it late,
// and the retry budget is empty for a moment.
func TestStreamWithoutAnEventWaitsForTheRetryBudgetIfItWasGivenUp(t *testing.T) {
	var open atomic.Int64
	var mayTake atomic.Bool
	var clock *clockwork.FakeClock
	g := newTestGateway(t, firstThen(3, func(_ http.ResponseWriter, r *http.Request) { holdRun(&open, r) }, func(i int64, w http.ResponseWriter, r *http.Request) {
		switch {
		case mayTake.Load():
			events("b", 4, -1)(w, r)
		case i > 1:
			refuseAsFull(w, r)
		default:
			refuseLate(w, r)
			time.AfterFunc(500*time.Millisecond, func() {
				mayTake.Store(true)
				clock.Advance(retry.Window)
			})
		}
	})...)
	clock = g.withOneRetry(nil)
	status, body, _ := g.do(testRequest{path: "/quote/1"})
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, eventsText(4), body)
}

// Guards against a caller that is held for the retry budget although the latest run of its request has failed by itself.
func TestStreamWithoutAnEventDoesNotWaitForTheRetryBudgetIfItsRunFailed(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"broken": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"failure": func(w http.ResponseWriter, _ *http.Request) {
			setSeal(w)
			w.WriteHeader(http.StatusInternalServerError)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var open, failedAt atomic.Int64
			g := newTestGateway(t, firstThen(3, func(_ http.ResponseWriter, r *http.Request) { holdRun(&open, r) }, func(_ int64, w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				time.Sleep(400 * time.Millisecond)
				failedAt.Store(time.Now().UnixNano())
				answer(w, r)
			})...)
			g.allowRuns(3)
			g.withOneRetry(nil)
			status, _, _ := g.do(testRequest{path: "/quote/1"})
			assert.GreaterOrEqual(t, status, http.StatusInternalServerError)
			require.NotZero(t, failedAt.Load(), "another replica takes it over")
			assert.Less(t, time.Since(time.Unix(0, failedAt.Load())), 500*time.Millisecond)
		})
	}
}
