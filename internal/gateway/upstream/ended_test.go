package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/connends"
)

// anotherMoment is longer than the time in which the connections of a process that ends are seen to end.
const anotherMoment = 300 * time.Millisecond

// accepted is a connection that a replica has accepted, with the request on it read.
func accepted(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	c, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = http.ReadRequest(bufio.NewReader(c))
	require.NoError(t, err)
	return c
}

// Guards against an answer without a length that is taken for whole although all connections to its replica ended with it,
// and against one that is taken for broken although no other connection ended, or only others that would have anyway.
func TestOtherConnections(t *testing.T) {
	const (
		framed   = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		closing  = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
		unframed = "HTTP/1.1 200 OK\r\n\r\nok"
	)
	for _, c := range []struct {
		name           string
		others         []string      // responses on other connections; "" for none yet
		endsBefore     time.Duration // of the other connections
		living         bool          // the other connections live on
		open, together bool
	}{
		{name: "no other"},
		{name: "idle, lives on", others: []string{framed}, living: true, open: true},
		{name: "idle, ends", others: []string{framed}, together: true},
		{name: "idle, ended before", others: []string{framed}, endsBefore: anotherMoment},
		{name: "awaits a response", others: []string{""}, together: true},
		{name: "response ended its connection", others: []string{closing}},
		{name: "another unframed one", others: []string{unframed}},
		{name: "two unframed ones", others: []string{unframed, unframed}, together: true},
		{name: "two unframed ones, before", others: []string{unframed, unframed}, endsBefore: anotherMoment},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			client := NewClient((&net.Dialer{}).DialContext, nil)
			address := listener.Addr().String()
			begin := func(text string) (replica net.Conn, read func() *Response) {
				answered := make(chan *Response, 1)
				go func() {
					response, doErr := client.Do(t.Context(), &Request{Address: address, Method: http.MethodGet, Target: "/", Host: "h", NewConnection: true})
					if doErr != nil {
						response = nil // the replica ended before it answered
					}
					answered <- response
				}()
				replica = accepted(t, listener)
				_, err := fmt.Fprint(replica, text)
				require.NoError(t, err)
				return replica, func() *Response {
					response := <-answered
					if response != nil {
						_, err := io.ReadAll(response.Body)
						require.NoError(t, err)
					}
					return response
				}
			}
			ending, readEnding := begin(unframed)
			var others []net.Conn
			var unread []func() *Response
			for _, text := range c.others {
				replica, read := begin(text)
				others = append(others, replica)
				if text == framed || text == closing {
					response := read()
					response.MarkComplete()
					response.Close()
					continue
				}
				unread = append(unread, read)
			}
			if !c.living {
				for _, other := range others {
					_ = other.Close()
				}
			}
			time.Sleep(c.endsBefore)
			_ = ending.Close()
			response := readEnding()
			endedAt := time.Now()
			for _, read := range unread {
				if other := read(); other != nil {
					other.MarkComplete()
					other.Close()
				}
			}
			time.Sleep(50 * time.Millisecond) // as the replica is asked in the meantime
			open, together := client.OtherConnections(response, endedAt)
			assert.Equal(t, c.open, open, "open")
			assert.Equal(t, c.together, together, "together")
			open, together = client.OtherConnections(&Response{address: "127.0.0.1:1", conn: response.conn}, endedAt)
			assert.False(t, open || together, "at an address without connections")
			open, together = client.OtherConnections(&Response{address: "127.0.0.1:1", conn: response.conn}, endedAt, address)
			assert.Equal(t, c.open, open, "open, at a further address")
			assert.Equal(t, c.together, together, "together, at a further address")
			response.Close()
			client.CloseIdle(endedAt.Add(time.Hour))
			assert.Zero(t, client.ends.Addresses())
		})
	}
}

// Guards against a host that has no idle connection to compare others with, because requests take the one that a question
// left, and against one that keeps more idle connections than allowed, or only the one for questions.
func TestConnectionIsReservedForQuestions(t *testing.T) {
	for maxIdle, reserved := range map[int]bool{2: true, 1: false} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.RemoteAddr) })}
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
		client := NewClient((&net.Dialer{}).DialContext, nil)
		send := func(question bool) (from string) {
			response, err := client.Do(t.Context(), &Request{
				Address: listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", MaxIdle: maxIdle, Question: question,
			})
			require.NoError(t, err)
			defer response.Close()
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			response.MarkComplete()
			return string(body)
		}
		first := send(true)
		request := send(false)
		assert.Equal(t, reserved, first != request, "maxIdle %d", maxIdle)
		assert.Equal(t, first, send(true), "maxIdle %d", maxIdle)
		assert.Equal(t, request, send(false), "maxIdle %d", maxIdle)
		client.CloseIdle(time.Now().Add(time.Hour))
		assert.Zero(t, client.ends.Addresses())
		assert.NotEqual(t, first, send(true), "its time was over")
		client.CloseIdle(time.Now().Add(time.Hour))
	}
}

// Guards against a cut that is not noticed because the end of the answer seems to be later than it was read: its replica's host sends an
// end again while its acknowledgment is delayed.
func TestAnswerEndsNoLaterThanItsEndIsRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	client := NewClient((&net.Dialer{}).DialContext, nil)
	begin := func(text string) (replica net.Conn, response *Response) {
		answered := make(chan *Response, 1)
		go func() {
			response, doErr := client.Do(t.Context(), &Request{Address: listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", NewConnection: true})
			if doErr != nil {
				response = nil
			}
			answered <- response
		}()
		replica = accepted(t, listener)
		_, err := fmt.Fprint(replica, text)
		require.NoError(t, err)
		response = <-answered
		require.NotNil(t, response)
		return replica, response
	}
	ending, response := begin("HTTP/1.1 200 OK\r\n\r\nok")
	var idle []net.Conn
	for range 2 {
		replica, framed := begin("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=4\r\n\r\nok")
		_, err = io.ReadAll(framed.Body)
		require.NoError(t, err)
		framed.MarkComplete()
		framed.Close()
		idle = append(idle, replica)
	}
	// The end that is read at the given time reaches this host again, later.
	require.NoError(t, idle[0].Close())
	time.Sleep(5 * time.Millisecond)
	read := time.Now()
	time.Sleep(40 * time.Millisecond)
	require.NoError(t, ending.Close())
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, read, client.EndedAt(response, read))
	seen := client.UnframedEnd(response, read)
	assert.Equal(t, 1, seen.Ended)
	assert.Equal(t, 1, seen.Open)
	assert.True(t, seen.Cut)
	response.Close()
	client.CloseIdle(time.Now().Add(time.Hour))
}

// Guards against a sound answer that is taken for cut because idle connections that ended long before it seem to have ended with it:
// the kernel of their replica acknowledges the keep-alive probes of this host, also when it has closed them.
func TestEndOfIdleConnectionIsNotThatOfItsLastProbe(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	probing := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}}
	client := NewClient(probing.DialContext, nil)
	begin := func(text string) (replica net.Conn, response *Response) {
		answered := make(chan *Response, 1)
		go func() {
			response, doErr := client.Do(t.Context(), &Request{Address: listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", NewConnection: true, Question: true})
			if doErr != nil {
				response = nil
			}
			answered <- response
		}()
		replica = accepted(t, listener)
		_, err := fmt.Fprint(replica, text)
		require.NoError(t, err)
		response = <-answered
		require.NotNil(t, response)
		return replica, response
	}
	ending, response := begin("HTTP/1.1 200 OK\r\n\r\nok")
	replica, framed := begin("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=4\r\n\r\nok")
	_, err = io.ReadAll(framed.Body)
	require.NoError(t, err)
	framed.MarkComplete()
	framed.Close()
	require.NoError(t, replica.Close())
	time.Sleep(5 * time.Millisecond)
	client.CloseIdle(time.Now())
	segments := func() uint32 { return connends.TCPInfo(framed.conn.Conn).Segs_in }
	before := segments()
	require.Eventually(t, func() bool { return segments() > before }, 4*time.Second, time.Millisecond, "the probe is acknowledged")
	require.NoError(t, ending.Close())
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
	seen := client.UnframedEnd(response, time.Now())
	assert.Equal(t, 0, seen.Ended)
	assert.False(t, seen.Cut)
	response.Close()
	client.CloseIdle(time.Now().Add(time.Hour))
}
