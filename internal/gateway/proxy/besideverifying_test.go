package proxy_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against part of an answer that is passed off as the whole one, although others were cut in the same moment, because it is that of
// the run that verified a shorter part.
func TestAnswerOfAVerifyingRunIsBrokenBesideOthersThatWereCut(t *testing.T) {
	for _, path := range []string{"/quote/x", "/lookup/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			var began sync.WaitGroup
			began.Add(3)
			cut := make(chan struct{})
			var runs atomic.Int64
			c := &lonelyCuts{}
			handler := func(p *endable, w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/order/lasting" {
					connection, _, err := http.NewResponseController(w).Hijack()
					if err == nil {
						time.AfterFunc(20*time.Millisecond, func() { _ = connection.Close() })
					}
					return
				}
				contentType, text := answerFor(r)
				switch {
				case r.URL.Path == path && runs.Add(1) == 1:
					text = text[:len(text)-2]
					if contentType == "text/event-stream" {
						text = eventsText(2)
					}
					_ = writeUnframed(w, r, contentType, text).Close()
					return
				case r.URL.Path == path:
					text = text[:len(text)-1]
					if contentType == "text/event-stream" {
						text = eventsText(3)[len(eventsText(2)):]
					}
				case closedChannel(cut): // the runs that verify the other streams
					wholeAnswer(p, w, r)
					return
				default:
					text = eventsText(2)
				}
				connection := writeUnframed(w, r, contentType, text)
				began.Done()
				<-cut
				_ = connection.Close()
			}
			for range 3 {
				c.replicas = append(c.replicas, newEndable(t, false, handler))
			}
			c.testGateway = newEndableGateway(t, c.replicas...)
			c.sign()
			var bodies [2]string
			var others sync.WaitGroup
			for i, other := range []string{"/quote/1", "/quote/2"} {
				others.Go(func() { bodies[i], _, _ = c.ask(other, "attempt"+other) })
			}
			others.Go(func() {
				began.Wait()
				time.Sleep(150 * time.Millisecond)
				close(cut)
			})
			body, status, err := c.ask(path, "attempt")
			others.Wait()
			require.Equal(t, [2]string{eventsText(4), eventsText(4)}, bodies)
			require.EqualValues(t, 2, runs.Load())
			assert.True(t, err != nil || status != http.StatusOK || body == wholeOf(path), "%d, %q looks complete", status, body)
		})
	}
}

// closedChannel reports whether the channel is closed.
func closedChannel(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
