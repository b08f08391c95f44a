package proxy_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against sound streams that are broken, or verified more than twice, because the replicas that have nothing to add do not say so
// at once, and against a second verification where they do.
func TestSoundStreamIsCompleteWhereVerificationsEndLate(t *testing.T) {
	for name, c := range map[string]struct {
		after     time.Duration // the head of a continuation
		maxRuns   int
		wantAsked int64
	}{
		"at once":               {0, 4, 1},
		"late":                  {40 * time.Millisecond, 4, 2},
		"late, one run allowed": {40 * time.Millisecond, 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := &lonelyCuts{}
			var asked atomic.Int64
			for range 4 {
				l.replicas = append(l.replicas, newEndable(t, false, func(p *endable, w http.ResponseWriter, r *http.Request) {
					switch {
					case r.URL.Path == "/order/lasting":
						connection, _, err := http.NewResponseController(w).Hijack()
						if err == nil {
							time.AfterFunc(20*time.Millisecond, func() { _ = connection.Close() })
						}
					case r.Header.Get("Last-Event-Id") == "":
						wholeAnswer(p, w, r)
					default:
						asked.Add(1)
						connection := writeUnframed(w, r, "text/event-stream", "")
						time.Sleep(c.after)
						_ = connection.Close()
					}
				}))
			}
			l.testGateway = newEndableGateway(t, l.replicas...)
			l.allowRuns(c.maxRuns)
			l.sign()
			body, err := l.receive(map[string]string{attemptIDHeader: "attempt"})
			require.NoError(t, err)
			assert.Equal(t, eventsText(4), body)
			assert.Equal(t, c.wantAsked, asked.Load())
		})
	}
}
