package proxy_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against part of an answer that is passed off as the whole one because the run that was to verify its end lost its connection
// before or within its answer, although a third replica can go on with it.
func TestUnframedAnswerIsVerifiedAgainWhereTheVerificationLosesItsConnection(t *testing.T) {
	lose := map[string]func(w http.ResponseWriter, r *http.Request, contentType string) net.Conn{
		"ended before the head": func(w http.ResponseWriter, _ *http.Request, _ string) net.Conn {
			connection, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			return connection
		},
		"reset after the head": func(w http.ResponseWriter, r *http.Request, contentType string) net.Conn {
			connection := writeUnframed(w, r, contentType, "")
			_ = connection.(*net.TCPConn).SetLinger(0)
			return connection
		},
	}
	for name, begin := range lose {
		for _, path := range []string{"/quote/x", "/lookup/x"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				var runs atomic.Int64
				handler := func(p *endable, w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/order/lasting" {
						connection, _, err := http.NewResponseController(w).Hijack()
						if err == nil {
							time.AfterFunc(20*time.Millisecond, func() { _ = connection.Close() })
						}
						return
					}
					contentType, text := answerFor(r)
					switch runs.Add(1) {
					case 1:
						text = text[:len(text)-1]
						if contentType == "text/event-stream" {
							text = eventsText(2)
						}
						_ = writeUnframed(w, r, contentType, text).Close()
					case 2:
						connection := begin(w, r, contentType)
						time.Sleep(50 * time.Millisecond)
						_ = connection.Close()
					default:
						wholeAnswer(p, w, r)
					}
				}
				c := &lonelyCuts{}
				for range 3 {
					c.replicas = append(c.replicas, newEndable(t, false, handler))
				}
				c.testGateway = newEndableGateway(t, c.replicas...)
				c.allowRuns(3)
				c.sign()
				body, status, err := c.ask(path, "attempt")
				require.NoError(t, err)
				assert.Equal(t, http.StatusOK, status)
				assert.Equal(t, wholeOf(path), body)
				assert.EqualValues(t, 3, runs.Load())
			})
		}
	}
}
