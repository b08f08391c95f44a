package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// unframed answers with the given bytes of a stream that has neither a length nor chunks, and calls
// before just before it closes the connection.
func unframed(text string, before func()) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Type: text/event-stream\r\n\r\n%s",
			attemptIDHeader, r.Header.Get(attemptIDHeader), sealHeader, text)
		time.Sleep(10 * time.Millisecond)
		before()
	}
}

var promptHeader = map[string]string{"Heatherbarrow-Prompt-Prefix": "f1:10,c0ffee:10,1:5", "Heatherbarrow-Model": "m"}

// Guards against crashes that are not noticed because the end of the process looks like the end of an
// answer without length or chunks: the parts of its prompt must become suspects.
func TestCrashDuringUnframedAnswerIsNoticed(t *testing.T) {
	for name, text := range map[string]string{"before the first event": "", "inside an event": "id: 0\ndata: a\n\nid: 1\nda"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		g := newTestGateway(t, http.NotFoundHandler())
		replica := &http.Server{Handler: unframed(text, func() { _ = listener.Close() })}
		go func() { _ = replica.Serve(listener) }()
		g.members[0].Address = listener.Addr().String()
		g.fleet.SetMembers(g.members)
		response, err := g.send(t.Context(), testRequest{path: "/match/x", header: promptHeader})
		require.NoError(t, err, name)
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		assert.True(t, err != nil || response.StatusCode == http.StatusBadGateway, "%s: a broken answer is not passed off as complete", name)
		assert.Eventually(t, func() bool { return len(g.fleet.PartReports(false, time.Now())) == 2 }, 5*time.Second, 5*time.Millisecond, name)
		_ = replica.Close()
	}
}

// Guards against complete answers without length or chunks that are taken for broken.
func TestUnframedStreamIsForwardedWhole(t *testing.T) {
	g := newTestGateway(t, unframed(eventsText(3), func() {}))
	status, body, _ := g.do(testRequest{path: "/match/x", header: promptHeader})
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, eventsText(3), body)
	assert.Empty(t, g.fleet.PartReports(false, time.Now()))
}
