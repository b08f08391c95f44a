package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/connends"
	"heatherbarrow/internal/gateway/netio/relaytest"
)

// Guards against answers that are lost at a stop although replicas have sent all of them, because their callers read more
// slowly than the host's grace period allows. These read nothing until the process ends.
func TestStoppingHostLeavesAnswersToSlowCallers(t *testing.T) {
	checkUnreadAnswersAtStop(t, 0, 0)
}

// Guards against answers that are lost in the same way since the kernel's memory is divided among all requests in progress, most
// of which need none.
func TestStoppingHostLeavesMemoryToSlowCallers(t *testing.T) {
	const share, idle = 0.02, 120 // of 400 MB: 67 KB for each
	checkUnreadAnswersAtStop(t, share, idle)
}

// checkUnreadAnswersAtStop stops a host beside the given number of requests that have no answer yet.
func checkUnreadAnswersAtStop(t *testing.T, bufferShare float64, idle int) {
	t.Helper()
	const events, eventBytes = 200, 1 << 10
	event := "data: " + strings.Repeat("x", eventBytes) + "\n\n"
	var answered atomic.Int64
	g := startGatewayWith(t, func(g *testGateway) { g.GraceSeconds, g.BufferShare = 3, bufferShare }, func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		w.Header().Set("Heatherbarrow-Attempt-Id", q.Header.Get("Heatherbarrow-Attempt-Id"))
		w.Header().Set("Heatherbarrow-Server-Seal", "s")
		if strings.HasPrefix(q.URL.Path, "/events/") {
			w.Header().Set("Content-Type", "text/event-stream")
		}
		for i := range events {
			_, _ = fmt.Fprintf(w, "id: %d\n%s", i, event)
			_ = http.NewResponseController(w).Flush()
		}
		if q.Method == http.MethodPost {
			answered.Add(1)
		}
	})
	g.putRoutes(t, 1, "once", "again", "events")
	require.Eventually(t, g.isReady, 20*time.Second, 5*time.Millisecond)
	for i := range idle {
		conn, err := net.Dial("tcp", g.Listen)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "POST /once/1 HTTP/1.1\r\nHost: %s\r\nHeatherbarrow-Attempt-Id: idle-%d\r\nContent-Length: 4\r\n\r\n", g.host(), i)
		require.NoError(t, err)
	}
	paths := []string{"/events/1", "/events/2", "/again/1", "/once/1"}
	conns := make([]net.Conn, len(paths))
	for i, path := range paths {
		conn, err := relaytest.DialNarrow(t.Context(), "tcp", g.Listen)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		conns[i] = conn
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nHeatherbarrow-Attempt-Id: slow-%d\r\nContent-Length: 4\r\n\r\nbody", path, g.host(), i)
		require.NoError(t, err)
	}
	time.Sleep(300 * time.Millisecond)
	g.stop()
	require.Eventually(t, func() bool { return answered.Load() == int64(len(paths)) }, 2*time.Second, time.Millisecond, "replicas have answered")
	require.NoError(t, <-g.result)
	for i, path := range paths {
		response, err := http.ReadResponse(bufio.NewReader(conns[i]), nil)
		require.NoError(t, err, path)
		body, err := io.ReadAll(response.Body)
		assert.NoError(t, err, "%s: answer breaks off after %d bytes", path, len(body))
		assert.Equal(t, events, strings.Count(string(body), event), path)
	}
}

// Guards against answers without end that take more of the kernel's memory than is set aside when a host stops, or all of it for
// a few callers.
func TestUnreadAnswersShareTheMemoryAtStop(t *testing.T) {
	const callers, eventBytes = 6, 16 << 10
	const share, atFirst = 0.01, 128 << 10 // of 400 MB, and what a buffer holds at most before it grows
	event := "data: " + strings.Repeat("x", eventBytes) + "\n\n"
	g := startGatewayWith(t, func(g *testGateway) { g.GraceSeconds, g.BufferShare = 3, share }, func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		w.Header().Set("Heatherbarrow-Attempt-Id", q.Header.Get("Heatherbarrow-Attempt-Id"))
		w.Header().Set("Heatherbarrow-Server-Seal", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 0; q.Context().Err() == nil; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\n%s", i, event); err != nil {
				return
			}
		}
	})
	g.putRoutes(t, 1, "events")
	require.Eventually(t, g.isReady, 20*time.Second, 5*time.Millisecond)
	conns := make([]net.Conn, callers)
	for i := range conns {
		conn, err := relaytest.DialNarrow(t.Context(), "tcp", g.Listen)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		conns[i] = conn
		_, err = fmt.Fprintf(conn, "POST /events/1 HTTP/1.1\r\nHost: %s\r\nHeatherbarrow-Attempt-Id: endless-%d\r\nContent-Length: 4\r\n\r\nbody", g.host(), i)
		require.NoError(t, err)
	}
	begun := func(conn net.Conn) bool {
		info := connends.TCPInfo(conn)
		return info != nil && info.Bytes_received > 1<<10 // a refusal is shorter
	}
	require.Eventually(t, func() bool {
		return !slices.ContainsFunc(conns, func(conn net.Conn) bool { return !begun(conn) })
	}, 20*time.Second, 5*time.Millisecond, "each answer has begun")
	time.Sleep(300 * time.Millisecond) // the buffers fill
	g.stop()
	require.NoError(t, <-g.result)
	total, least := int64(0), int64(1<<40)
	for _, conn := range conns {
		n, _ := io.Copy(io.Discard, conn) // it breaks off
		total += n
		least = min(least, n)
	}
	memory := int64(share * float64(g.MemoryLimitMB) * (1 << 20))
	t.Logf("%d bytes, at least %d for each", total, least)
	assert.Less(t, total, memory+callers*atFirst)
	assert.Greater(t, least, memory/callers/4)
}
