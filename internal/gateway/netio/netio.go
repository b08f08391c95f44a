// Package netio opens TCP connections that detect a peer that has become unreachable, and
// bounds the responses that are read from a peer.
package netio

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle and keepAliveInterval are the time before the first keep-alive probe and
	// between probes, which the kernel takes in whole seconds. An idle connection to an
	// unreachable peer is closed when the first probe after userTimeout is due, which is the
	// one at 3 s. For the same 3 s the platform excuses the failures of a machine whose
	// connections were disrupted.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// userTimeout bounds how long sent data may remain unacknowledged. It leaves time for
	// three retransmissions on a link that loses packets.
	userTimeout = 2500 * time.Millisecond
	// DialTimeout bounds the opening of a connection. The longest link takes some ten
	// milliseconds. The kernel retransmits a lost SYN packet only after a second, so a dial
	// whose SYN is lost fails.
	DialTimeout = 500 * time.Millisecond
)

var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}

// Dial opens a connection with keep-alive probes and a TCP user timeout.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: DialTimeout, KeepAliveConfig: keepAliveConfig, Control: setUserTimeout}
	return d.DialContext(ctx, network, address)
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
