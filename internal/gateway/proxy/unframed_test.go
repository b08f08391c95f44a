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

// endingReplica makes the first member a process that answers with the given status, content type and bytes, with
// neither a length nor chunks, and then ends, as a killed process does: the kernel closes its connections in order.
func (g *testGateway) endingReplica(status int, contentType, text string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(g.t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d OK\r\n%s: %s\r\n%s: s\r\nContent-Type: %s\r\n\r\n%s",
			status, attemptIDHeader, r.Header.Get(attemptIDHeader), sealHeader, contentType, text)
		_ = listener.Close()
	})}
	go func() { _ = server.Serve(listener) }()
	g.t.Cleanup(func() { _ = server.Close() })
	g.members[0].Address = listener.Addr().String()
	g.fleet.SetMembers(g.members)
}

// Guards against a stream without a length or chunks that ends between two events because the process of its replica
// ended, and is passed off as complete.
func TestUnframedStreamOfEndedProcessIsNotComplete(t *testing.T) {
	for _, path := range []string{"/match/x", "/quote/x"} {
		g := newTestGateway(t, http.NotFoundHandler())
		g.endingReplica(http.StatusOK, "text/event-stream", eventsText(2))
		response, err := g.send(t.Context(), testRequest{path: path, header: promptHeader})
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		require.Error(t, err, "%s looks complete after %q", path, body)
		assert.Equal(t, eventsText(2), string(body), path)
	}
}

// Guards against a resumable stream that ends for good with the process of its replica, although another one can go on.
func TestUnframedStreamOfEndedProcessGoesOnElsewhere(t *testing.T) {
	next := newReplica(func(w http.ResponseWriter, r *http.Request) {
		setSeal(w)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, eventsText(4)[len(eventsText(2)):])
		assert.Equal(t, "1", r.Header.Get("Last-Event-Id"))
	})
	g := newTestGateway(t, http.NotFoundHandler(), next)
	g.endingReplica(http.StatusOK, "text/event-stream", eventsText(2))
	for next.received.Load() == 0 {
		status, body, _ := g.do(testRequest{path: "/quote/x", header: promptHeader})
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, eventsText(4), body)
	}
}

// Guards against part of an answer without a length that is passed off as the whole answer after the process of its
// replica ended.
func TestUnframedAnswerOfEndedProcessIsNotComplete(t *testing.T) {
	for _, path := range []string{"/order/x", "/lookup/x"} {
		g := newTestGateway(t, http.NotFoundHandler())
		g.endingReplica(http.StatusOK, "text/plain", "half of the ans")
		status, body, _ := g.do(testRequest{path: path})
		assert.Equal(t, http.StatusBadGateway, status, "%s: %q", path, body)
	}
}

// Guards against complete answers without a length that are taken for broken.
func TestUnframedAnswerIsForwardedWhole(t *testing.T) {
	g := newTestGateway(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n\r\nanswer", attemptIDHeader, r.Header.Get(attemptIDHeader), sealHeader)
	}))
	status, body, _ := g.do(testRequest{path: "/order/x"})
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, "answer", body)
}

// Guards against the last answers of a replica that leaves being taken for broken, although its process lives on for a moment.
func TestUnframedAnswerOfLeavingReplicaIsComplete(t *testing.T) {
	for name, header := range map[string]string{"by its registration": "", "by its answer": "Server-Leaving: 1\r\n"} {
		g := newTestGateway(t, http.NotFoundHandler())
		begun, finish := make(chan struct{}), make(chan struct{})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%s\r\nanswer", attemptIDHeader, r.Header.Get(attemptIDHeader), sealHeader, header)
			close(begun)
			<-finish
			_ = c.Close()
			time.Sleep(200 * time.Millisecond)
			_ = listener.Close()
		})}
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
		g.members[0].Address = listener.Addr().String()
		g.fleet.SetMembers(g.members)
		go func() {
			<-begun
			if header == "" {
				g.members[0].Leaving = true
				g.fleet.SetMembers(g.members)
			}
			close(finish)
		}()
		status, body, _ := g.do(testRequest{path: "/order/x"})
		assert.Equal(t, http.StatusOK, status, name)
		assert.Equal(t, "answer", body, name)
	}
}

// Guards against complete answers without a length that a host takes for broken while new connections to all replicas are
// refused to it and open ones live on.
func TestUnframedAnswerIsForwardedWhileNewConnectionsAreRefused(t *testing.T) {
	for _, path := range []string{"/order/x", "/match/x"} {
		links := &cutLinks{open: make(chan net.Conn, 100)}
		handler := func(w http.ResponseWriter, r *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			links.begin(halfAlive)
			contentType, body := "text/plain", "answer"
			if path == "/match/x" {
				contentType, body = "text/event-stream", eventsText(4)
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Type: %s\r\n\r\n%s", attemptIDHeader, r.Header.Get(attemptIDHeader), sealHeader, contentType, body)
		}
		g := newTestGateway(t, http.HandlerFunc(handler), http.HandlerFunc(handler))
		g.addHelpers(links, g.sibling())
		response, err := g.send(t.Context(), testRequest{path: path, header: promptHeader})
		if assert.NoError(t, err, path) {
			_, err = io.ReadAll(response.Body)
			assert.NoError(t, err, path)
			assert.Equal(t, http.StatusOK, response.StatusCode, path)
			_ = response.Body.Close()
		}
	}
}
