package relaytest

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// DialNarrow opens a connection that receives little more than what is read, over a path of small packets, for which the sender
// buffers less than is usual on loopback.
func DialNarrow(ctx context.Context, network, address string) (net.Conn, error) {
	const bufferBytes, segmentBytes = 4 << 10, 1400
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = errors.Join(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bufferBytes),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes))
		})
		return errors.Join(err, setErr)
	}}
	return dialer.DialContext(ctx, network, address)
}
