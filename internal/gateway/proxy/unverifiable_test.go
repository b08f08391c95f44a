package proxy_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// eventsWithoutID are n events of a stream whose events have no IDs.
func eventsWithoutID(n int) (text string) {
	for i := range n {
		text += fmt.Sprintf("data: event %d\n\n", i)
	}
	return text
}

// Guards against part of an answer that is passed off as the whole one because its request may be repeated, although it is not
// verified at another replica, and others were cut in the same moment.
func TestRepeatableAnswerThatIsNotVerifiedIsBrokenBesideOthersThatWereCut(t *testing.T) {
	for name, way := range map[string]struct{ path, contentType, part, delegation string }{
		"events without IDs":   {"/quote/x", "text/event-stream", eventsWithoutID(2), ""},
		"longer than buffered": {"/lookup/long", "text/plain", wholeOf("/lookup/long")[:3<<19], ""},
		"delegated stream":     {"/quote/x", "text/event-stream", eventsText(2), "runs=1"},
		"delegated plain":      {"/lookup/x", "text/plain", "the answe", "runs=1"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var began sync.WaitGroup
			began.Add(3)
			end := make(chan struct{})
			handler := func(p *endable, w http.ResponseWriter, r *http.Request) {
				contentType, part := "text/event-stream", eventsText(2)
				switch r.URL.Path {
				case "/order/lasting":
					connection, _, err := http.NewResponseController(w).Hijack()
					if err == nil {
						time.AfterFunc(20*time.Millisecond, func() { _ = connection.Close() })
					}
					return
				case way.path:
					contentType, part = way.contentType, way.part
				}
				if closed := func() bool {
					select {
					case <-end:
						return true
					default:
						return false
					}
				}(); closed {
					wholeAnswer(p, w, r)
					return
				}
				connection := writeUnframed(w, r, contentType, part)
				began.Done()
				<-end
				_ = connection.Close()
			}
			c := &lonelyCuts{replicas: []*endable{newEndable(t, false, handler), newEndable(t, false, handler), newEndable(t, false, handler)}}
			c.testGateway = newEndableGateway(t, c.replicas...)
			c.sign()
			var done sync.WaitGroup
			for _, path := range []string{"/quote/1", "/quote/2"} {
				done.Go(func() {
					body, _, err := c.ask(path, "attempt"+path)
					assert.NoError(t, err)
					assert.Equal(t, eventsText(4), body)
				})
			}
			var body string
			var status int
			var err error
			done.Go(func() {
				if way.delegation != "" {
					body, status, err = c.delegateTo(way.path, "attempt", way.delegation, nil)
				} else {
					body, status, err = c.ask(way.path, "attempt")
				}
			})
			began.Wait()
			time.Sleep(50 * time.Millisecond)
			close(end)
			done.Wait()
			assert.True(t, err != nil || status != http.StatusOK, "%d, %d bytes look complete", status, len(body))
		})
	}
}
