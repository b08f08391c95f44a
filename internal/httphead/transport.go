package httphead

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"

	"heatherbarrow/internal/connreset"
)

// maxHeadBytes bounds the informational heads that are kept until they are complete.
const maxHeadBytes = 64 << 10

// Transport is an HTTP/1.1 transport that fails with ErrInvalid, and closes the connection, if a server sends a head that is not
// valid. A response that ends with its connection fails if the connection was reset.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport with the settings of t, whose connections it wraps; t must not be used otherwise before.
func NewTransport(t *http.Transport) *Transport {
	WrapDials(t)
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var state *tls.ConnectionState
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		ExpectHead(info.Conn)
		if c, ok := info.Conn.(*conn); ok {
			state = c.tlsState()
		}
	}}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err == nil && response.TLS == nil {
		response.TLS = state // net/http knows it only of connections that are not wrapped
	}
	return response, err
}

// WrapDials wraps the connections that a transport opens, so that they check the head which ExpectHead announces.
func WrapDials(t *http.Transport) {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = wrapDial(dial)
	if t.DialTLSContext != nil {
		t.DialTLSContext = wrapDial(t.DialTLSContext)
	}
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

func wrapDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: inner}, nil
	}
}

// ExpectHead tells that a request is written next to a connection that httptrace.GotConnInfo names, so that its next bytes are the
// head of a response. It has no effect on other connections.
func ExpectHead(c net.Conn) {
	if wrapped, ok := c.(*conn); ok {
		wrapped.mu.Lock()
		defer wrapped.mu.Unlock()
		wrapped.expecting, wrapped.head = true, nil
	}
}

// conn checks the heads of responses as they are read.
type conn struct {
	net.Conn

	mu        sync.Mutex
	expecting bool   // the head of a final response has not been read
	head      []byte // the part of a head that has been read
	invalid   error  // of a head

	writing     sync.Mutex // held during a write
	writeFailed error      // with which the connection failed, as a write was told; guarded by writing
}

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// tlsState returns the state of the TLS connection, or nil without TLS.
func (c *conn) tlsState() *tls.ConnectionState {
	inner, ok := c.Conn.(*tls.Conn)
	if !ok {
		return nil
	}
	state := inner.ConnectionState()
	return &state
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if invalid := c.check(p[:n]); invalid != nil {
		return 0, invalid
	}
	if n == 0 && err == io.EOF {
		// The kernel reports a reset once. If a concurrent write was told, the read finds an orderly end.
		if failed := c.endWrites(); failed != nil {
			return 0, fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, failed)
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if connreset.Took(err) {
		c.writeFailed = err
	}
	return n, err
}

// endWrites ends a write in progress and returns the error with which the connection failed, if a write was told.
func (c *conn) endWrites() error {
	_ = c.SetWriteDeadline(time.Now()) // fails if the connection is closed, which ends writes too
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeFailed
}

// check checks the heads in received bytes. All reads fail after an invalid one.
func (c *conn) check(received []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.invalid == nil && c.expecting && len(received) > 0 {
		c.head = append(c.head, received...)
		c.invalid = c.checkHeads()
	}
	return c.invalid
}

// checkHeads checks the heads that have been read, up to that of the final response.
func (c *conn) checkHeads() error {
	for len(c.head) > 0 {
		line, _, complete := bytes.Cut(c.head, []byte{'\n'})
		if !complete {
			break
		}
		_, status, _ := strings.Cut(string(bytes.TrimSuffix(line, []byte{'\r'})), " ")
		final, err := checkStatus(strings.TrimLeft(status, " "))
		if err != nil {
			return err
		}
		if final {
			c.expecting, c.head = false, nil
			return nil
		}
		end := headEnd(c.head)
		if end < 0 {
			break
		}
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(c.head[:end])), nil)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrInvalid, err)
		}
		if err := Check(response); err != nil {
			return err
		}
		c.head = c.head[end:]
	}
	if len(c.head) > maxHeadBytes {
		return fmt.Errorf("%w: informational response is too long", ErrInvalid)
	}
	return nil
}

// headEnd returns the length of the head at the beginning of b, or -1 if it is not complete.
func headEnd(b []byte) int {
	end := -1
	for _, blank := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(b, []byte(blank)); i >= 0 && (end < 0 || i+len(blank) < end) {
			end = i + len(blank)
		}
	}
	return end
}
