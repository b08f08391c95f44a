package relaytest

import (
	"net"

	"golang.org/x/sys/unix"
)

// RefusingAddress returns a loopback address at which connections are refused until release is called. The port is
// held meanwhile: one that is merely free may be given to the next listener of any process.
func RefusingAddress() (address string, release func(), err error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, err
	}
	release = func() { _ = unix.Close(fd) }
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		release()
		return "", nil, err
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		release()
		return "", nil, err
	}
	in := bound.(*unix.SockaddrInet4)
	return (&net.TCPAddr{IP: in.Addr[:], Port: in.Port}).String(), release, nil
}
