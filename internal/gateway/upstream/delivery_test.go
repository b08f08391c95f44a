package upstream

import (
	"bufio"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an abandoned request that reaches the replica later, when a network
// partition heals (seen as DRAIN on network-trouble): a TCP reset drops the queued bytes, an
// orderly close does not.
func TestAbortResetsConnection(t *testing.T) {
	readErr := make(chan error, 1)
	startReading := make(chan struct{})
	r := startReplica(t, func(c net.Conn, in *bufio.Reader) {
		<-startReading
		_, _, _ = readRequest(in)
		_, err := in.ReadByte()
		readErr <- err
	})
	raw, err := net.Dial("tcp", r.address)
	require.NoError(t, err)
	c := newConn(raw)
	_, err = c.Write([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"))
	require.NoError(t, err)
	require.NoError(t, c.abort())
	close(startReading)
	assert.ErrorIs(t, <-readErr, syscall.ECONNRESET)
}

// Guards against resetting a connection whose bytes have reached the replica's host while
// the replica has not read them yet or is slow to respond.
func TestDeliveredRequestIsNotReset(t *testing.T) {
	release := make(chan struct{})
	r := startReplica(t, func(_ net.Conn, _ *bufio.Reader) { <-release })
	defer close(release)
	raw, err := net.Dial("tcp", r.address)
	require.NoError(t, err)
	c := newConn(raw)
	defer func() { _ = c.Close() }()
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = c.Write(make([]byte, 64<<20)) // more than the socket buffers hold
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	// The replica's host has acknowledged what fits its receive buffer. The rest is still
	// queued on this host.
	require.Eventually(t, func() bool { return c.undeliveredBytes() == 0 }, 10*time.Second, time.Millisecond)
	d := watchDelivery(c)
	defer d.stop()
	d.check()
	d.check()
	assert.NoError(t, c.SetDeadline(time.Time{}), "the connection is still open")
}

// Guards against resetting a connection whose unacknowledged bytes cannot be determined
// because it is not a socket, and against a check after stop that clears the stopped state.
// The reset of a stalled connection is not covered here.
func TestDeliveryWatchIgnoresNonSocketConnections(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	c := newConn(local)
	assert.Zero(t, c.undeliveredBytes(), "unknown for a connection that is not a socket")
	d := watchDelivery(c)
	d.check()
	d.check()
	assert.NoError(t, local.SetDeadline(time.Time{}))
	d.stop()
	d.check()
	assert.True(t, d.stopped)
}
