package proxy_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against part of a stream that is passed off as the whole one because the run that was to verify its end was cut too, although a
// third replica can go on with it.
func TestUnframedStreamIsVerifiedAgainWhereTheVerificationIsCut(t *testing.T) {
	t.Parallel()
	playUntilMet(t, func() string {
		body, status, unmet, err := verificationIsCut(t)
		if unmet == "" {
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, wholeOf("/quote/x"), body)
		}
		return unmet
	})
}

// verificationIsCut returns the answer to a request whose first run is cut after two events, and whose second one is cut before any event.
func verificationIsCut(t *testing.T) (body string, status int, unmet string, err error) {
	t.Helper()
	var runs atomic.Int64
	c := &lonelyCuts{}
	cut := make(chan string, 1)
	handler := func(p *endable, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/order/lasting" {
			connection, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				time.AfterFunc(20*time.Millisecond, func() { _ = connection.Close() })
			}
			return
		}
		switch runs.Add(1) {
		case 1:
			_ = writeUnframed(w, r, "text/event-stream", eventsText(2)).Close()
		case 2:
			connection := writeUnframed(w, r, "text/event-stream", "")
			unmet := c.keepsOneIdle(p)
			if late := cutInTime(p.closeAll); unmet == "" {
				unmet = late
			}
			_ = connection.Close()
			cut <- unmet
		default:
			wholeAnswer(p, w, r)
		}
	}
	for range 3 {
		p := newEndable(t, false, handler)
		p.keeps.Store(5)
		c.replicas = append(c.replicas, p)
	}
	c.testGateway = newEndableGateway(t, c.replicas...)
	c.allowSilence(3)
	c.sign()
	body, status, err = c.ask("/quote/x", "attempt")
	select {
	case unmet = <-cut:
	default: // the answer was not verified, which is judged by its body
	}
	return body, status, unmet, err
}
