package netio

import "net"

// Reset closes a connection with a TCP reset, which drops the bytes that have not been sent or acknowledged, and which
// the peer does not take for an orderly end.
func Reset(c net.Conn) error {
	for inner := c; inner != nil; {
		if tcp, ok := inner.(interface{ SetLinger(sec int) error }); ok {
			_ = tcp.SetLinger(0) // fails only if the connection is already closed
			break
		}
		wrapper, ok := inner.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		inner = wrapper.NetConn()
	}
	return c.Close()
}
