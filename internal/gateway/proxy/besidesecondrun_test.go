package proxy_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against part of a stream that is passed off as the whole one, although others were cut in the same moment, because its last run
// went on with one that had broken off long before.
func TestLastRunOfAStreamIsBrokenBesideOthersThatWereCut(t *testing.T) {
	var began sync.WaitGroup
	began.Add(3)
	cut := make(chan struct{})
	c := &lonelyCuts{}
	handler := func(p *endable, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/order/lasting" {
			connection, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				time.AfterFunc(20*time.Millisecond, func() { _ = connection.Close() })
			}
			return
		}
		select {
		case <-cut: // the runs that verify the other streams
			wholeAnswer(p, w, r)
			return
		default:
		}
		if r.URL.Path == "/quote/x" && r.Header.Get("Last-Event-Id") == "" {
			_ = writeUnframed(w, r, "text/event-stream", eventsText(2)+"id: 2\nda").Close()
			return
		}
		text := eventsText(2)
		if r.URL.Path == "/quote/x" {
			text = eventsText(3)[len(text):]
		}
		connection := writeUnframed(w, r, "text/event-stream", text)
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
	for i, path := range []string{"/quote/1", "/quote/2"} {
		others.Go(func() { bodies[i], _, _ = c.ask(path, "attempt"+path) })
	}
	others.Go(func() {
		began.Wait()
		time.Sleep(300 * time.Millisecond)
		close(cut)
	})
	body, status, err := c.ask("/quote/x", "attempt")
	others.Wait()
	require.Equal(t, [2]string{eventsText(4), eventsText(4)}, bodies)
	assert.Equal(t, http.StatusOK, status)
	assert.True(t, err != nil || body == eventsText(4), "%q looks complete", body)
}
