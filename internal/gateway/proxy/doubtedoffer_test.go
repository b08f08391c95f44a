package proxy_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a caller who gets no answer where connections are cut, although the late answer of its first replica has arrived, as
// the replica that was offered the request meanwhile is silent, fails or refuses it.
func TestLateAnswerIsNotLostToAnOpenOfferWhereConnectionsAreCut(t *testing.T) {
	refuseLate := func(w http.ResponseWriter) {
		time.Sleep(time.Second)
		w.Header().Set("Heatherbarrow-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	for name, offered := range map[string]func(p *endable, w http.ResponseWriter, r *http.Request){
		"silent":  func(_ *endable, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"refuses": func(_ *endable, w http.ResponseWriter, _ *http.Request) { refuseLate(w) },
		"fails": func(*endable, http.ResponseWriter, *http.Request) {
			time.Sleep(time.Second)
			panic(http.ErrAbortHandler)
		},
		"answers": func(p *endable, w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Second)
			wholeAnswer(p, w, r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int64
			c := &lonelyCuts{}
			for range 3 {
				c.replicas = append(c.replicas, newEndable(t, false, func(p *endable, w http.ResponseWriter, r *http.Request) {
					switch {
					case r.URL.Path == "/order/lasting":
						connection, _, err := http.NewResponseController(w).Hijack()
						if err == nil {
							time.AfterFunc(20*time.Millisecond, func() { _ = connection.Close() })
						}
					case runs.Add(1) == 1:
						time.Sleep(1300 * time.Millisecond)
						wholeAnswer(p, w, r)
					default:
						offered(p, w, r)
					}
				}))
			}
			c.testGateway = newEndableGateway(t, c.replicas...)
			c.sign()
			body, status, err := c.ask("/lookup/x", "attempt")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, wholeOf("/lookup/x"), body)
			t.Log(runs.Load(), "runs")
		})
	}
}
