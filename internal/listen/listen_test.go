package listen

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/kernel"
)

func startService(t *testing.T) (*Service, chan error) {
	t.Helper()
	return startServiceWith(t, nil, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }), make(chan error, 1)
}

// startServiceWith starts a service whose connections are wrapped unless wrap is nil.
func startServiceWith(t *testing.T, wrap func(net.Conn) net.Conn, handler http.HandlerFunc) *Service {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	s := &Service{ServiceName: "callers", Address: address, Wrap: wrap, Server: func(*kernel.Registry) (*http.Server, error) {
		return &http.Server{Handler: handler}, nil
	}}
	require.NoError(t, s.Provision(nil))
	require.NoError(t, s.Start(context.Background()))
	return s
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

// heldConn holds what it has read while held is set, as a process does that gets no processor time.
type heldConn struct {
	net.Conn
	held    atomic.Bool
	read    chan struct{} // receives a value when something is held
	release chan struct{}
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.held.CompareAndSwap(true, false) {
		c.read <- struct{}{}
		<-c.release
	}
	return n, err
}

// Guards against a stop that closes an idle connection and then serves the request that has just been read from it:
// it runs, and its caller gets no answer.
func TestRequestOfClosedConnectionIsNotServed(t *testing.T) {
	var served atomic.Int64
	conns := make(chan *heldConn, 1)
	s := startServiceWith(t, func(c net.Conn) net.Conn {
		held := &heldConn{Conn: c, read: make(chan struct{}, 1), release: make(chan struct{})}
		conns <- held
		return held
	}, func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		w.WriteHeader(http.StatusNoContent)
	})
	caller := dial(t, s)
	in, request := bufio.NewReader(caller), []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	_, err := caller.Write(request)
	require.NoError(t, err)
	_, err = http.ReadResponse(in, nil)
	require.NoError(t, err)
	conn := <-conns
	require.Eventually(t, func() bool {
		s.connections.mu.Lock()
		defer s.connections.mu.Unlock()
		return len(s.connections.idle) == 1
	}, 10*time.Second, time.Millisecond)
	conn.held.Store(true)
	_, err = caller.Write(request)
	require.NoError(t, err)
	<-conn.read
	require.NoError(t, s.Stop(context.Background()))
	close(conn.release)
	_, err = http.ReadResponse(in, nil)
	require.Error(t, err, "the connection is closed")
	time.Sleep(100 * time.Millisecond)
	require.EqualValues(t, 1, served.Load(), "requests served")
}
