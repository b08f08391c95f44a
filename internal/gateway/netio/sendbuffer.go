package netio

import (
	"errors"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// GrowSendBuffer lets the kernel use up to the given number of bytes for what the peer of a connection has not taken, or as many
// as a process may ask for. They are never fewer than before: the kernel may have chosen more by itself.
func GrowSendBuffer(c net.Conn, bytes int) error {
	return control(c, func(fd int) error {
		size, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF)
		if err == nil && size < min(bytes, largestSendBuffer()) {
			err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, bytes/sendBufferOverhead)
		}
		return err
	})
}

// SendBuffer returns the size of the buffer for what the peer of a connection has not taken. crowded means that about half of it
// is in use and it may grow.
func SendBuffer(c net.Conn) (size int, crowded bool, err error) {
	err = control(c, func(fd int) error {
		var sizeErr error
		size, sizeErr = unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF)
		unread, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		crowded = 2*sendBufferOverhead*unread >= size && size < largestSendBuffer()
		return errors.Join(sizeErr, err)
	})
	return size, crowded, err
}

// control calls f with the socket of a connection, which may be wrapped.
func control(c net.Conn, f func(fd int) error) error {
	for {
		if socket, ok := c.(syscall.Conn); ok {
			raw, err := socket.SyscallConn()
			if err != nil {
				return err
			}
			var controlErr error
			err = raw.Control(func(fd uintptr) { controlErr = f(int(fd)) })
			return errors.Join(err, controlErr)
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return errors.ErrUnsupported
		}
		c = wrapper.NetConn()
	}
}

// sendBufferOverhead is the factor by which the kernel raises a size that is asked for, to have room for its own records.
const sendBufferOverhead = 2

// largestSendBuffer returns the size of the largest send buffer that a process may ask for, which is 0 if it is not known.
var largestSendBuffer = sync.OnceValue(func() int {
	const largest = 1 << 30
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0
	}
	defer func() { _ = unix.Close(fd) }()
	if unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, largest) != nil {
		return 0
	}
	size, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF)
	if err != nil {
		return 0
	}
	return size
})
