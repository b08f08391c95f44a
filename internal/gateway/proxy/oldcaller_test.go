package proxy_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/kernel"
	"heatherbarrow/internal/listen"
)

// dialOldCaller returns a connection to the host, through the listener of the program, with a request of HTTP/1.0.
func dialOldCaller(t *testing.T, g *testGateway) net.Conn {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := free.Addr().String()
	require.NoError(t, free.Close())
	callers := &listen.Service{
		ServiceName: "callers", Address: address, Wrap: g.server.WrapTimeouts,
		Server: func(*kernel.Registry) (*http.Server, error) { return g.server.HTTPServer(), nil },
	}
	require.NoError(t, callers.Provision(nil))
	require.NoError(t, callers.Start(t.Context()))
	t.Cleanup(func() { assert.NoError(t, callers.Stop(context.Background())) })
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, "POST /match/1 HTTP/1.0\r\nHost: "+requestHost+"\r\nAuthorization: Bearer "+apiKey+"\r\n"+attemptIDHeader+": a\r\n\r\n")
	require.NoError(t, err)
	return c
}

// Guards against a stream that breaks off and looks complete to a caller of HTTP/1.0, for whom the end of the
// connection is the end of the answer. Callers are served through the listener of the program.
func TestBrokenStreamIsResetForOldCallers(t *testing.T) {
	g := newTestGateway(t, newReplica(events("a", 8, 3)))
	c := dialOldCaller(t, g)
	text, err := io.ReadAll(c)
	assert.Error(t, err, "the answer looks complete: %q", text)
}

// Guards against a stream that looks complete to a caller of HTTP/1.0 that has closed its side of the connection after
// the request, as such callers may, and is taken to be gone.
func TestStreamOfHalfClosedOldCallerIsReset(t *testing.T) {
	g := newTestGateway(t, newReplica(func(w http.ResponseWriter, r *http.Request) {
		events("a", 2, -1)(w, r)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	c := dialOldCaller(t, g)
	first := make([]byte, 1)
	_, err := io.ReadFull(c, first)
	require.NoError(t, err)
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	text, err := io.ReadAll(c)
	assert.Error(t, err, "the answer looks complete: %q", text)
}
