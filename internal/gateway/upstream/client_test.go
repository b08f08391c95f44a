package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/netio/relaytest"
)

// testReplica is a TCP listener. The serve function given to startReplica is called once
// for each accepted connection.
type testReplica struct {
	address     string
	connections atomic.Int64
}

func startReplica(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) *testReplica {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	r := &testReplica{address: listener.Addr().String()}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			r.connections.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return r
}

func newTestClient() *Client {
	return NewClient((&net.Dialer{Timeout: time.Second}).DialContext, nil)
}

func readRequest(r *bufio.Reader) (*http.Request, []byte, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(req.Body)
	return req, body, err
}

// okResponse returns a 200 response with a request ID and a keep-alive timeout.
func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nKeep-Alive: timeout=10\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	const digits = "0123456789"
	if n < 10 {
		return digits[n : n+1]
	}
	return itoa(n/10) + digits[n%10:n%10+1]
}

// fixedHeader returns a Request.Header with one line.
func fixedHeader(name, value string) func() http.Header {
	return func() http.Header { return http.Header{name: {value}} }
}

// newRequest returns a request that accepts responses with its ID or without one.
func newRequest(address, id string) *Request {
	return &Request{
		Address: address, Method: http.MethodPost, Target: "/a/b?c=%20d", Host: "models.example",
		Header: fixedHeader("Id", id), Body: []byte("body"),
		Matches: func(_ int, h http.Header, _ bool) bool { return h.Get("Id") == "" || h.Get("Id") == id },
	}
}

// Guards against idle connections that take up the connections which a replica accepts from all
// its clients together.
func TestIdleConnectionsAreBounded(t *testing.T) {
	for maxIdle, want := range map[int]int{2: 2, -1: 0, 0: maxIdlePerReplica, 100: maxIdlePerReplica} {
		r := startKeepAliveReplica(t, "")
		c := newTestClient()
		var open []*Response
		for i := range maxIdlePerReplica + 2 {
			request := newRequest(r.address, itoa(i))
			request.MaxIdle = maxIdle
			response, err := c.Do(t.Context(), request)
			require.NoError(t, err)
			_, _, err = response.ReadAll(1000)
			require.NoError(t, err)
			response.MarkComplete()
			open = append(open, response)
		}
		for _, response := range open {
			response.Close()
		}
		assert.Len(t, c.pool.idle[r.address], want, "maxIdle %d", maxIdle)
	}
}

// Guards against a request whose target, host or body is altered on its way to the
// replica.
func TestRequestReachesReplicaUnchanged(t *testing.T) {
	requests := make(chan *http.Request, 1)
	bodies := make(chan []byte, 1)
	r := startReplica(t, func(c net.Conn, in *bufio.Reader) {
		req, body, err := readRequest(in)
		if err == nil {
			requests <- req
			bodies <- body
			_, _ = io.WriteString(c, okResponse("1", "answer"))
		}
	})
	response, err := newTestClient().Do(t.Context(), newRequest(r.address, "1"))
	require.NoError(t, err)
	defer response.Close()
	body, complete, err := response.ReadAll(100)
	require.NoError(t, err)
	assert.True(t, complete)
	assert.Equal(t, "answer", string(body))
	req := <-requests
	assert.Equal(t, "/a/b?c=%20d", req.RequestURI)
	assert.Equal(t, "models.example", req.Host)
	assert.Equal(t, "body", string(<-bodies))
}

// Guards against a refused connection that is reported as a request that may have run.
func TestRefusedConnectionReturnsErrNotSent(t *testing.T) {
	address, release, err := relaytest.RefusingAddress()
	require.NoError(t, err)
	t.Cleanup(release)
	_, err = newTestClient().Do(t.Context(), newRequest(address, "1"))
	assert.ErrorIs(t, err, ErrNotSent)
}

// Guards against a request that is sent again, or reported as not sent, after the replica
// has read it and closed the connection.
func TestConnectionClosedAfterRequestReturnsErrNoResponseWithoutRetry(t *testing.T) {
	r := startReplica(t, func(_ net.Conn, in *bufio.Reader) { _, _, _ = readRequest(in) })
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		req := newRequest(r.address, "1")
		req.Method = method
		connectionsBefore := r.connections.Load()
		_, err := newTestClient().Do(t.Context(), req)
		assert.ErrorIs(t, err, ErrNoResponse)
		assert.NotErrorIs(t, err, ErrNotSent)
		assert.Equal(t, connectionsBefore+1, r.connections.Load())
	}
}

// startKeepAliveReplica starts a replica that serves any number of requests on a connection
// and sends trailing after each response.
func startKeepAliveReplica(t *testing.T, trailing string) *testReplica {
	return startReplica(t, func(c net.Conn, in *bufio.Reader) {
		for {
			req, _, err := readRequest(in)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, okResponse(req.Header.Get("Id"), "answer to "+req.Header.Get("Id"))+trailing)
		}
	})
}

// doRequest sends a request, reads the whole response and returns the connection to the
// pool.
func doRequest(t *testing.T, c *Client, req *Request) (body string, reused bool) {
	t.Helper()
	response, err := c.Do(t.Context(), req)
	require.NoError(t, err)
	defer response.Close()
	data, _, err := response.ReadAll(1000)
	require.NoError(t, err)
	response.MarkComplete()
	return string(data), response.Reused
}

// Guards against a new connection for every request, which costs a handshake each time.
func TestConnectionIsReused(t *testing.T) {
	r := startKeepAliveReplica(t, "")
	client := newTestClient()
	for _, id := range []string{"1", "2", "3"} {
		body, _ := doRequest(t, client, newRequest(r.address, id))
		assert.Equal(t, "answer to "+id, body)
	}
	assert.Equal(t, int64(1), r.connections.Load())
	req := newRequest(r.address, "4")
	req.NewConnection = true
	doRequest(t, client, req)
	assert.Equal(t, int64(2), r.connections.Load(), "the request asked for a new connection")
}

// Guards against a surplus response on a reused connection that is returned as the
// response to a later request (fault "garble: extra").
func TestExtraResponseIsNotReturnedForLaterRequest(t *testing.T) {
	r := startKeepAliveReplica(t, okResponse("stale", "late answer"))
	client := newTestClient()
	for _, id := range []string{"1", "2", "3"} {
		body, _ := doRequest(t, client, newRequest(r.address, id))
		assert.Equal(t, "answer to "+id, body)
	}
}

// Guards against a surplus response that arrives only after the next request was sent and
// is returned as the response to it.
func TestLateExtraResponseIsSkipped(t *testing.T) {
	r := startReplica(t, func(c net.Conn, in *bufio.Reader) {
		stale := ""
		for {
			req, _, err := readRequest(in)
			if err != nil {
				return
			}
			id := req.Header.Get("Id")
			_, _ = io.WriteString(c, stale+okResponse(id, "answer to "+id))
			stale = okResponse(id, "again "+id)
		}
	})
	client := newTestClient()
	for _, id := range []string{"1", "2"} {
		body, _ := doRequest(t, client, newRequest(r.address, id))
		assert.Equal(t, "answer to "+id, body)
	}
}

// Guards against reusing an idle connection that the replica has closed, which would lose
// the next request.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	r := startReplica(t, func(c net.Conn, in *bufio.Reader) {
		req, _, err := readRequest(in)
		if err == nil {
			_, _ = io.WriteString(c, okResponse(req.Header.Get("Id"), "answer"))
		}
	})
	client := newTestClient()
	doRequest(t, client, newRequest(r.address, "1"))
	require.Eventually(t, func() bool {
		client.pool.mu.Lock()
		defer client.pool.mu.Unlock()
		conns := client.pool.idle[r.address]
		return len(conns) == 1 && !conns[0].idleAndOpen()
	}, 10*time.Second, time.Millisecond)
	_, reused := doRequest(t, client, newRequest(r.address, "2"))
	assert.False(t, reused)
}

// Guards against idle connections that are reused after the keep-alive timeout that the
// replica announced.
func TestIdleTimeoutIsBelowAnnouncedTimeout(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": defaultIdleTimeout, "timeout=5, max=100": 2500 * time.Millisecond, "timeout=0": 0, "timeout=x": 0,
	} {
		idle, stated := idleTimeout(http.Header{"Keep-Alive": {value}})
		assert.Equal(t, want, idle, value)
		assert.Equal(t, value != "", stated, value)
	}
	r := startKeepAliveReplica(t, "")
	client := newTestClient()
	doRequest(t, client, newRequest(r.address, "1"))
	client.CloseIdle(time.Now().Add(time.Hour))
	assert.Empty(t, client.pool.idle)
}

// Guards against a deadlock with a replica that responds to a long request before it has
// read the body.
func TestResponseBeforeLongBodyIsSent(t *testing.T) {
	r := startReplica(t, func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			_, _ = io.WriteString(c, okResponse("1", "too long"))
			_, _ = io.Copy(io.Discard, in)
		}
	})
	client := newTestClient()
	req := newRequest(r.address, "1")
	req.Body = bytes.Repeat([]byte("x"), 8<<20)
	body, _ := doRequest(t, client, req)
	assert.Equal(t, "too long", body)
}

// Guards against a replica that keeps working after the caller has canceled the request.
func TestCancelClosesConnection(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan struct{})
	r := startReplica(t, func(_ net.Conn, in *bufio.Reader) {
		_, _, _ = readRequest(in)
		close(arrived)
		_, _ = in.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		_, err := newTestClient().Do(ctx, newRequest(r.address, "1"))
		failed <- err
	}()
	<-arrived // wait for the request: after accept alone, the client may still be connecting
	cancel()
	assert.ErrorIs(t, <-failed, ErrNoResponse)
	<-closed
}

// Guards against a truncated response body that is reported as complete.
func TestTruncatedBodyReturnsError(t *testing.T) {
	for _, head := range []string{"Content-Length: 10\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"} {
		r := startReplica(t, func(c net.Conn, in *bufio.Reader) {
			_, _, _ = readRequest(in)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head)
		})
		response, err := newTestClient().Do(t.Context(), newRequest(r.address, "1"))
		require.NoError(t, err)
		_, _, err = response.ReadAll(100)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		response.Close()
	}
}

// Guards against events that are merged, split or returned incomplete.
func TestEventReaderReturnsWholeEvents(t *testing.T) {
	r := NewEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\nda"), nil)
	var got []string
	for {
		e, err := r.Next()
		if err != nil {
			assert.ErrorIs(t, err, ErrTruncatedEvent)
			break
		}
		got = append(got, e.ID+"|"+string(e.Raw))
	}
	assert.Equal(t, []string{"1|id: 1\ndata: a\n\n", "2|id: 2\r\ndata: b\r\n\r\n", "|data: c\n\n"}, got)
	_, err := NewEventReader(strings.NewReader(""), nil).Next()
	assert.True(t, errors.Is(err, io.EOF))
	long := "data: " + strings.Repeat("x", 3*readBufferBytes) + "\n\n"
	e, err := NewEventReader(strings.NewReader(long), nil).Next()
	require.NoError(t, err)
	assert.Equal(t, long, string(e.Raw))
}
