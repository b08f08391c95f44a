package netio

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Guards against connections that never detect an unreachable peer.
func TestDialSetsDeadPeerDetection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	c, err := Dial(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	raw, err := c.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	options := map[[2]int]int{
		{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT}: int(userTimeout.Milliseconds()),
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE}:      1,
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE}:     int(keepAliveIdle.Seconds()),
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT}:      keepAliveProbes,
	}
	for option, want := range options {
		var got int
		var optionErr error
		require.NoError(t, raw.Control(func(fd uintptr) {
			got, optionErr = unix.GetsockoptInt(int(fd), option[0], option[1])
		}))
		require.NoError(t, optionErr)
		assert.Equal(t, want, got, option)
	}
}
