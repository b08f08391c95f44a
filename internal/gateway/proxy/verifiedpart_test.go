package proxy_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against part of an answer that is passed off as the whole one, although the run that verified its end had more of it before it
// broke off itself.
func TestPlainAnswerOfWhichABrokenRunHadMoreIsBroken(t *testing.T) {
	for name, breakOff := range map[string]func(p *endable, w http.ResponseWriter, r *http.Request, text string){
		"its process ends": func(p *endable, w http.ResponseWriter, r *http.Request, text string) {
			connection := writeUnframed(w, r, "text/plain", text)
			time.Sleep(100 * time.Millisecond)
			p.replace()
			_ = connection.Close()
		},
		"it states its length": func(_ *endable, w http.ResponseWriter, r *http.Request, text string) {
			connection, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s",
				attemptIDHeader, r.Header.Get(attemptIDHeader), sealHeader, len(wholeOf("/lookup/x")), text)
			_ = connection.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
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
				_, text := answerFor(r)
				if runs.Add(1) == 1 {
					_ = writeUnframed(w, r, "text/plain", text[:len(text)-2]).Close()
					return
				}
				breakOff(p, w, r, text[:len(text)-1])
			}
			c := &lonelyCuts{}
			for range 3 {
				c.replicas = append(c.replicas, newEndable(t, false, handler))
			}
			c.testGateway = newEndableGateway(t, c.replicas...)
			c.sign()
			body, status, err := c.ask("/lookup/x", "attempt")
			require.NoError(t, err)
			require.EqualValues(t, 2, runs.Load())
			assert.NotEqual(t, http.StatusOK, status, "%q looks complete", body)
		})
	}
}

// Guards against part of a stream that is passed off as the whole one, although the run that verified its end broke off within a
// further event.
func TestStreamOfWhichABrokenRunBeganAnotherEventIsBroken(t *testing.T) {
	t.Parallel()
	c := &lonelyCuts{}
	handler := func(_ *endable, w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/order/lasting":
			connection, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				time.AfterFunc(20*time.Millisecond, func() { _ = connection.Close() })
			}
		case r.Header.Get("Last-Event-Id") == "":
			_ = writeUnframed(w, r, "text/event-stream", eventsText(2)).Close()
		default:
			_ = writeUnframed(w, r, "text/event-stream", "id: 2\nda").Close()
		}
	}
	for range 3 {
		c.replicas = append(c.replicas, newEndable(t, false, handler))
	}
	c.testGateway = newEndableGateway(t, c.replicas...)
	c.sign()
	body, _, err := c.ask("/quote/x", "attempt")
	assert.Error(t, err, "%q looks complete", body)
}
