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

// Guards against a stream that breaks off and looks complete to a caller of HTTP/1.0, for whom the end of the
// connection is the end of the answer. Callers are served through the listener of the program.
func TestBrokenStreamIsResetForOldCallers(t *testing.T) {
	g := newTestGateway(t, newReplica(events("a", 8, 3)))
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
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /match/1 HTTP/1.0\r\nHost: "+requestHost+"\r\nAuthorization: Bearer "+apiKey+"\r\n"+attemptIDHeader+": a\r\n\r\n")
	require.NoError(t, err)
	text, err := io.ReadAll(c)
	assert.Error(t, err, "the answer looks complete: %q", text)
}
