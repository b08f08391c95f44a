package listen

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/kernel"
)

func startService(t *testing.T) (*Service, chan error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	s := &Service{ServiceName: "callers", Address: address, Server: func(*kernel.Registry) (*http.Server, error) {
		return &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })}, nil
	}}
	require.NoError(t, s.Provision(nil))
	require.NoError(t, s.Start(context.Background()))
	return s, make(chan error, 1)
}

func dial(t *testing.T, s *Service) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Guards against a stop that cuts off a request whose header is still on its way,
// and against a connection without a request that is left open.
func TestStopWaitsForAHeaderOnItsWay(t *testing.T) {
	s, stopped := startService(t)
	silent, late := dial(t, s), dial(t, s)
	_, err := late.Write([]byte("GET / HTTP/1.1\r\n"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.connections.expected(time.Now().Add(firstByteWait)) }, 10*time.Second, time.Millisecond)
	go func() { stopped <- s.Stop(context.Background()) }()
	<-s.served
	_, err = late.Write([]byte("Host: h\r\n\r\n"))
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(late), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusNoContent, response.StatusCode)
	require.NoError(t, <-stopped)
	_, err = silent.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a stop that waits for a connection without a request, and against
// an HTTP/2 connection that is closed with an open stream or before its caller knows.
func TestOnlyConnectionsWithoutARequestAreUnused(t *testing.T) {
	c, now := newConnections(), time.Now()
	conn, other := net.Pipe()
	defer func() { _ = other.Close() }()
	c.setState(conn, http.StateNew)
	require.True(t, c.expected(now))
	require.False(t, c.expected(time.Now().Add(firstByteWait)))
	require.Len(t, c.unused(now, now), 1)
	c.setState(conn, http.StateIdle)
	require.Empty(t, c.unused(now, now.Add(goAwayWait-1)))
	require.Len(t, c.unused(now, now.Add(goAwayWait)), 1)
	c.setState(conn, http.StateActive)
	require.Empty(t, c.unused(now, now.Add(goAwayWait)))
}
