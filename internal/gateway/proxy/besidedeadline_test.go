package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a sound answer that arrives in time and reaches its caller late, as it awaits the verification of another one that
// ended in the same moment.
func TestAnswerIsForwardedBeforeTheDeadlineWhereAnotherOneIsVerified(t *testing.T) {
	const deadline = 300 * time.Millisecond
	end := make(chan struct{})
	var began sync.WaitGroup
	began.Add(2)
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
		case <-end: // the run that verifies the end of the lookup
			<-r.Context().Done()
			return
		default:
		}
		contentType, text := answerFor(r)
		connection := writeUnframed(w, r, contentType, text)
		began.Done()
		<-end
		_ = connection.Close()
	}
	for range 3 {
		c.replicas = append(c.replicas, newEndable(t, false, handler))
	}
	c.testGateway = newEndableGateway(t, c.replicas...)
	c.sign()
	var others sync.WaitGroup
	others.Go(func() { _, _, _ = c.ask("/lookup/x", "attempt-lookup") })
	others.Go(func() {
		began.Wait()
		time.Sleep(50 * time.Millisecond)
		close(end)
	})
	defer others.Wait()
	sentAt := time.Now()
	response, err := c.send(t.Context(), testRequest{path: "/order/x", header: map[string]string{"Heatherbarrow-Deadline-Ms": fmt.Sprint(deadline.Milliseconds())}})
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode, string(body))
	assert.Less(t, time.Since(sentAt), deadline)
}
