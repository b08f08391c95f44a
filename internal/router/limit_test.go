package router

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/outcome"
)

// Guards against a request limit that an engine or a service states in its answers and the router
// ignores, and against one that outlasts its statement.
func TestStatedRequestLimitIsKept(t *testing.T) {
	const perSecond, observed = 4, 2 * time.Second
	var limited atomic.Bool
	limited.Store(true)
	stating := func(act behavior) behavior {
		return func(w http.ResponseWriter, r *http.Request) {
			if limited.Load() {
				w.Header().Set("Heatherbarrow-Request-Limit", "4")
			}
			act(w, r)
		}
	}
	h := newHost(t, hostOptions{deadline: "2s"})
	h.service.play(stating(reply(200, "42")))
	h.play(stating(whole))
	for name, path := range map[string]string{"service": "/services/warehouse/stock/1", "engine": "/v1/chat/completions"} {
		limited.Store(true)
		calls := h.calls
		send := func() int {
			method, body := http.MethodGet, ""
			if name == "engine" {
				method, body = http.MethodPost, chatBody("m", false)
			}
			response, _ := h.send(t, h.request(t, context.Background(), method, path, body))
			if response.StatusCode != http.StatusOK {
				require.Equal(t, string(outcome.NotRun), response.Header.Get(outcome.HeaderOutcome))
			}
			return response.StatusCode
		}
		replicas := 2
		if name == "service" {
			calls, replicas = h.service.count, 1
		}
		for range replicas + 1 {
			send() // each replica has stated its limit
		}
		before := calls()
		for end := time.Now().Add(observed); time.Now().Before(end); {
			send()
		}
		allowed := replicas * (int(perSecond*(observed+2*time.Second).Seconds()) + 1) // the last request may wait for 2 s
		require.LessOrEqual(t, calls()-before, allowed, name)
		require.GreaterOrEqual(t, calls()-before, replicas*perSecond*int(observed.Seconds())/2, name)

		limited.Store(false)
		h.server.Scheduler.Report() // leaves only later statements to report
		inForce := make(map[string]bool)
		require.Eventually(t, func() bool {
			send()
			for _, l := range h.server.Scheduler.Report().Limits {
				inForce[l.ID.String()] = l.Limited
			}
			ended := 0
			for _, limited := range inForce {
				if !limited {
					ended++
				}
			}
			return ended == replicas
		}, patience, time.Millisecond, name)
		before = calls()
		for range 100 {
			require.Equal(t, http.StatusOK, send(), name)
		}
		require.Equal(t, 100, calls()-before, name)
	}
}
