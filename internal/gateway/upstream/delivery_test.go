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

// Guards against a request that is given up and arrives later, when a cut has healed
// (DRAIN on network-trouble): a reset makes the network drop what it holds, a closing in
// order does not.
func TestAbandonedRequestIsReset(t *testing.T) {
	seen := make(chan error, 1)
	read := make(chan struct{})
	r := newReplica(t, func(c net.Conn, in *bufio.Reader) {
		<-read
		_, _, _ = readRequest(in)
		_, err := in.ReadByte()
		seen <- err
	})
	raw, err := net.Dial("tcp", r.address)
	require.NoError(t, err)
	c := newConn(raw)
	_, err = c.Write([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"))
	require.NoError(t, err)
	require.NoError(t, c.abort())
	close(read)
	assert.ErrorIs(t, <-seen, syscall.ECONNRESET)
}

// Guards against requests that are broken off while a replica only does not read yet,
// or takes its time to answer.
func TestDeliveredRequestIsNotBrokenOff(t *testing.T) {
	release := make(chan struct{})
	r := newReplica(t, func(_ net.Conn, _ *bufio.Reader) { <-release })
	defer close(release)
	raw, err := net.Dial("tcp", r.address)
	require.NoError(t, err)
	c := newConn(raw)
	defer func() { _ = c.Close() }()
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = c.Write(make([]byte, 64<<20)) // more than the buffers hold
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	// The replica's host has acknowledged what its buffers take; the rest waits.
	require.Eventually(t, func() bool { return c.unacknowledged() == 0 }, 10*time.Second, time.Millisecond)
	d := watchDelivery(c)
	defer d.stop()
	d.look()
	d.look()
	assert.NoError(t, c.SetDeadline(time.Time{}), "it is still open")
}

// Guards against a connection that is not reset although nothing of the request
// arrives, and against one that is reset although the request moves on.
func TestLookEndsOnlyWhatDoesNotMove(t *testing.T) {
	ours, theirs := net.Pipe()
	defer func() { _ = theirs.Close() }()
	c := newConn(ours)
	assert.Zero(t, c.unacknowledged(), "it cannot be told of a connection that is no socket")
	d := watchDelivery(c)
	d.look()
	d.look()
	assert.NoError(t, ours.SetDeadline(time.Time{}))
	d.stop()
	d.look()
	assert.True(t, d.stopped)
}
