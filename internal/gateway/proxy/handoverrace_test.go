package proxy_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/routing"
)

// allowRuns lets requests of all routes run at the given number of replicas.
func (g *testGateway) allowRuns(n int) {
	config := testConfig()
	for i := range config.Routes {
		config.Routes[i].MaxAttempts = n
	}
	g.table.Store(routing.Compile(config))
}

// holdRun keeps a request until it is canceled, and counts it meanwhile.
func holdRun(open *atomic.Int64, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	open.Add(1)
	defer open.Add(-1)
	<-r.Context().Done()
}

// Guards against a replica that works on for a caller who has the answer of another one already.
func TestOpenOfferEndsWhenTheSlowAnswerArrives(t *testing.T) {
	var open, offered atomic.Int64
	var answeredAt, endedAt atomic.Int64
	slow := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(1500 * time.Millisecond)
		answeredAt.Store(time.Now().UnixNano())
		respondWith("answer")(w, r)
	}
	g := newTestGateway(t, firstThen(3, slow, func(_ int64, _ http.ResponseWriter, r *http.Request) {
		offered.Add(1)
		holdRun(&open, r)
		endedAt.Store(time.Now().UnixNano())
	})...)
	status, body, _ := g.do(testRequest{path: "/lookup/1", body: "text"})
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, "answer", body)
	assert.Equal(t, int64(1), offered.Load(), "runs beside the first, of two that the route allows")
	require.Eventually(t, func() bool { return endedAt.Load() != 0 }, time.Second, time.Millisecond)
	assert.Less(t, time.Duration(endedAt.Load()-answeredAt.Load()), 200*time.Millisecond)
}

// Guards against a request that waits for its deadline at two replicas which have died, although the route allows a third run,
// and against runs beyond those that it allows.
func TestRequestOfTwoSilentReplicasIsOfferedToAThird(t *testing.T) {
	for name, silent := range map[string]int64{"third answers": 1, "none answers": 5} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var open, runs atomic.Int64
			hold := func(_ http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				holdRun(&open, r)
			}
			g := newTestGateway(t, firstThen(5, hold, func(i int64, w http.ResponseWriter, r *http.Request) {
				if i <= silent {
					hold(w, r)
					return
				}
				runs.Add(1)
				respondWith("answer")(w, r)
			})...)
			g.allowRuns(3)
			status, body, _ := g.do(testRequest{path: "/lookup/1"})
			if silent == 1 {
				assert.Equal(t, http.StatusOK, status)
				assert.Equal(t, "answer", body)
			} else {
				assert.Equal(t, http.StatusGatewayTimeout, status)
			}
			assert.Equal(t, int64(3), runs.Load())
			assert.Eventually(t, func() bool { return open.Load() == 0 }, 500*time.Millisecond, time.Millisecond)
		})
	}
}

// Guards against a request that fails with its silent run although another replica is at work on it, and against a further run
// beside that one.
func TestOpenOfferGoesOnWhenTheSilentRunFails(t *testing.T) {
	var runs atomic.Int64
	g := newTestGateway(t, firstThen(3, func(_ http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(1200 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}, func(_ int64, w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		time.Sleep(1200 * time.Millisecond)
		respondWith("answer")(w, r)
	})...)
	g.allowRuns(3)
	g.withOneRetry(nil)
	status, body, _ := g.do(testRequest{path: "/lookup/1"})
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, "answer", body)
	assert.Equal(t, int64(2), runs.Load())
}

// Guards against replicas that work on for a caller who has left while its slow request was offered to another one.
func TestAllRunsOfAPlainRequestEndWhenItsCallerLeaves(t *testing.T) {
	var open, runs atomic.Int64
	hold := func(_ http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		holdRun(&open, r)
	}
	g := newTestGateway(t, firstThen(4, hold, func(_ int64, w http.ResponseWriter, r *http.Request) { hold(w, r) })...)
	g.allowRuns(3)
	ctx, leave := context.WithTimeout(t.Context(), 1800*time.Millisecond)
	defer leave()
	response, err := g.send(ctx, testRequest{path: "/lookup/1", body: "text"})
	if err == nil {
		_ = response.Body.Close()
	}
	require.Error(t, err)
	assert.Equal(t, int64(3), runs.Load())
	assert.Eventually(t, func() bool { return open.Load() == 0 }, 500*time.Millisecond, time.Millisecond)
	assert.Eventually(t, func() bool { return g.server.Active() == 0 }, 500*time.Millisecond, time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, int64(3), runs.Load(), "no request follows")
}
