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
)

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

// Guards against sound answers that end one after another while the host is cut off, the last ones of which are taken for
// broken.
func TestEndsAreTogetherOnlyIfTheyAreMoreThanUsual(t *testing.T) {
	at := time.Now()
	const step = 40 * time.Millisecond // four others end within endedTogetherTime
	var ends []connEnd
	for i := range 10 {
		ends = append(ends, connEnd{at: at.Add(-time.Duration(i) * step), expected: true})
	}
	assert.False(t, together(ends, at), "the last of many that end one after another")
	assert.False(t, together(ends, at.Add(-5*step)), "others end later")
	assert.True(t, together(ends[:3], at), "none before")
	few := append(ends[6:9:9], connEnd{at: at, expected: true}, connEnd{at: at.Add(time.Millisecond), expected: true})
	assert.True(t, together(few, at), "two at once, three before")
	assert.False(t, together(append(ends[3:10:10], few[3:]...), at.Add(-endedAtOnceTime-1)), "not at once")
	ends = append(ends, connEnd{at: at, expected: false})
	assert.True(t, together(ends, at), "one ends that would have lived on")
	assert.False(t, together(ends, at.Add(-5*step)))
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
		{name: "idle, ended before", others: []string{framed}, endsBefore: 3 * endedTogetherTime},
		{name: "awaits a response", others: []string{""}, together: true},
		{name: "response ended its connection", others: []string{closing}},
		{name: "another unframed one", others: []string{unframed}},
		{name: "two unframed ones", others: []string{unframed, unframed}, together: true},
		{name: "two unframed ones, before", others: []string{unframed, unframed}, endsBefore: 3 * endedTogetherTime},
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
			assert.Empty(t, client.ends.ended)
			assert.Empty(t, client.ends.open)
		})
	}
}
