package tlsconf

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// drainTime is how long a closing listener accepts what waits in the kernel's queue. The
// queue is empty after a moment unless the process has no processor time.
const drainTime = 30 * time.Millisecond

// drainingListener accepts the connections that the kernel has opened already before it
// closes. Closing at once would reset them, with requests that callers have sent.
type drainingListener struct {
	*net.TCPListener
	closing atomic.Bool
}

// Accept implements net.Listener. While the listener closes it returns the waiting
// connections, and then net.ErrClosed.
func (l *drainingListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err != nil && l.closing.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		_ = l.TCPListener.Close() // closed already when the backstop of Close was first
		return nil, net.ErrClosed
	}
	return conn, err
}

// Close implements net.Listener. The listener closes when Accept has found the queue empty,
// or soon after when nothing accepts.
func (l *drainingListener) Close() error {
	if l.closing.Swap(true) {
		return nil
	}
	if err := l.SetDeadline(time.Now().Add(drainTime)); err != nil {
		return l.TCPListener.Close()
	}
	time.AfterFunc(2*drainTime, func() { _ = l.TCPListener.Close() }) // Accept may have closed it
	return nil
}
