package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startFloodingReplica starts a replica that responds with prefix and then sends repeated
// over and over until the connection is closed.
func startFloodingReplica(t *testing.T, prefix, repeated string) *testReplica {
	t.Helper()
	return startReplica(t, func(c net.Conn, in *bufio.Reader) {
		if _, _, err := readRequest(in); err != nil {
			return
		}
		_, err := io.WriteString(c, prefix)
		block := strings.Repeat(repeated, max(16<<10/max(len(repeated), 1), 1))
		for err == nil {
			_, err = io.WriteString(c, block)
		}
	})
}

// Guards against a faulty replica that sends bytes without end as a response head, a
// response to another request or a trailer. Without a limit the memory of the host grows,
// or the request is blocked until its deadline and cannot be retried at another replica.
func TestUnboundedResponseReturnsErrNoResponse(t *testing.T) {
	for name, response := range map[string]struct{ prefix, repeated string }{
		"header lines":            {"HTTP/1.1 200 OK\r\n", "X-Filler: aaaaaaaaaaaaaaaaaaaa\r\n"},
		"one header line":         {"HTTP/1.1 200 OK\r\nX-Filler: ", "aaaaaaaaaaaaaaaa"},
		"status line":             {"HTTP/1.1 200 ", "OK"},
		"not an HTTP response":    {"", "garbage "},
		"empty lines":             {"", "\r\n"},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"responses to others":     {"", okResponse("other", "not yours")},
		"body for another":        {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "not yours"},
		"chunks for another":      {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		"chunk extension":         {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n4;", "aaaaaaaa"},
		"trailer":                 {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: aaaaaaaa\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			r := startFloodingReplica(t, response.prefix, response.repeated)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := newTestClient().Do(t.Context(), newRequest(r.address, "1"))
			runtime.ReadMemStats(&after)
			require.ErrorIs(t, err, ErrNoResponse)
			const maxAllocBytes = 16 << 20 // includes the buffers of the replica, which runs in the same process
			assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocBytes))
		})
	}
}

// Guards against endless trailers and chunk extensions after the body of a response that
// belongs to the request.
func TestUnboundedEndOfBodyReturnsError(t *testing.T) {
	for name, prefix := range map[string]string{
		"trailer":         "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n",
		"chunk extension": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n4;",
	} {
		t.Run(name, func(t *testing.T) {
			r := startFloodingReplica(t, prefix, "X: aaaaaaaaaaaaa\r\n")
			response, err := newTestClient().Do(t.Context(), newRequest(r.address, "1"))
			require.NoError(t, err)
			defer response.Close()
			_, _, err = response.ReadAll(1 << 20)
			assert.Error(t, err)
		})
	}
}

// Guards against a request that waits for a long or slow body of a response that rejected
// it as not run, although another replica could serve it.
func TestDiscardDoesNotWaitForLongOrSlowBodies(t *testing.T) {
	head := "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 1000000000\r\n\r\n"
	slow := startReplica(t, func(c net.Conn, in *bufio.Reader) {
		if _, _, err := readRequest(in); err != nil {
			return
		}
		_, err := io.WriteString(c, head)
		for err == nil {
			time.Sleep(time.Millisecond)
			_, err = io.WriteString(c, "x")
		}
	})
	for name, r := range map[string]*testReplica{"long": startFloodingReplica(t, head, "filler "), "slow": slow} {
		t.Run(name, func(t *testing.T) {
			client := newTestClient()
			response, err := client.Do(t.Context(), newRequest(r.address, "1"))
			require.NoError(t, err)
			response.Discard()
			response.Close()
			assert.Empty(t, client.pool.idle)
		})
	}
	r := startKeepAliveReplica(t, "")
	client := newTestClient()
	response, err := client.Do(t.Context(), newRequest(r.address, "1"))
	require.NoError(t, err)
	response.Discard()
	response.Close()
	_, reused := doRequest(t, client, newRequest(r.address, "2"))
	assert.True(t, reused, "a short body is read and the connection is reused")
}

// Guards against a late duplicate of a response without a request ID, which arrives on a
// reused connection and would be returned to the next caller.
func TestLateDuplicateWithoutIDIsSkipped(t *testing.T) {
	r := startReplica(t, func(c net.Conn, in *bufio.Reader) {
		stale := ""
		for {
			req, _, err := readRequest(in)
			if err != nil {
				return
			}
			body := "answer to " + req.Header.Get("Id")
			_, _ = io.WriteString(c, stale+okResponse(req.Header.Get("Id"), body))
			stale = "HTTP/1.1 200 OK\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
		}
	})
	client := newTestClient()
	for _, id := range []string{"1", "2"} {
		req := newRequest(r.address, id)
		req.Matches = func(_ int, h http.Header, reused bool) bool { return h.Get("Id") == id || h.Get("Id") == "" && !reused }
		body, reused := doRequest(t, client, req)
		assert.Equal(t, id == "2", reused)
		assert.Equal(t, "answer to "+id, body)
	}
}

// Guards against keep-alive comments that are taken for events.
func TestEventReaderMarksCommentOnlyEvents(t *testing.T) {
	events := NewEventReader(strings.NewReader(": wait\n\n:\n: more\n\n: with\nid: 1\ndata: x\n\ndata: y\n\n"), nil)
	for i, want := range []Event{
		{Raw: []byte(": wait\n\n"), CommentOnly: true}, {Raw: []byte(":\n: more\n\n"), CommentOnly: true},
		{Raw: []byte(": with\nid: 1\ndata: x\n\n"), ID: "1"}, {Raw: []byte("data: y\n\n")},
	} {
		got, err := events.Next()
		require.NoError(t, err)
		assert.Equal(t, want, got, i)
	}
}
