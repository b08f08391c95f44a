package forward

import (
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"time"

	"heatherbarrow/internal/connends"
	"heatherbarrow/internal/connreset"
	"heatherbarrow/internal/httphead"
)

// countedConn counts the writes to a connection, so that an attempt that failed
// can be proven not to have sent a byte. The ends of those that serve plain services are tracked.
type countedConn struct {
	net.Conn

	mu      sync.Mutex
	writes  uint64
	sealed  bool
	closed  bool
	tracked trackedConn

	writing sync.Mutex // held during a write
	failed  error      // with which the connection failed, as a write was told; guarded by writing
}

func newCountedConn(conn net.Conn) net.Conn { return &countedConn{Conn: conn} }

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.tracked.remove()
	}
	return n, err
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeLocked()
}

// closeLocked closes the connection. The caller holds c.mu.
func (c *countedConn) closeLocked() error {
	c.closed = true
	c.tracked.drop()
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if connreset.Took(err) {
		c.failed = err
	}
	return n, err
}

// endWrites ends a write in progress and returns the error with which the connection failed, if a write was told.
func (c *countedConn) endWrites() error {
	_ = c.SetWriteDeadline(time.Now()) // fails if the connection is closed, which ends writes too
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failed
}

func (c *countedConn) written() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal closes the connection and returns true when no write began after the
// mark. Later writes fail, so the answer stays true.
func (c *countedConn) seal(mark uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != mark {
		return false
	}
	c.sealed = true
	_ = c.closeLocked()
	return true
}

// sendTracker notes the connection that a request is written to.
type sendTracker struct {
	onSend   func()
	mayStart MayStart
	ends     *connends.Tracker // tracks the connection; nil for none
	question bool              // the request asks a service for its process
	closes   bool              // the request asks the service to close the connection

	mu     sync.Mutex
	conn   *countedConn
	mark   uint64 // writes to conn before this request
	use    uint64 // of conn, by this request
	reused bool
	held   bool // mayStart did not allow the request
	sent   bool // a byte may have left this host and it cannot be told
}

func (t *sendTracker) trace() *httptrace.ClientTrace {
	if t.ends == nil {
		return &httptrace.ClientTrace{GotConn: t.gotConn}
	}
	return &httptrace.ClientTrace{GotConn: t.gotConn, GotFirstResponseByte: t.gotFirstByte, PutIdleConn: t.putIdle}
}

// gotConn is called before the request is written to a connection.
func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	httphead.ExpectHead(info.Conn)
	conn, known := underlying(info.Conn)
	held := known && t.mayStart != nil && !t.mayStart()
	if !held && t.onSend != nil {
		t.onSend()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && !t.conn.seal(t.mark) {
		t.sent = true
	}
	if !known {
		t.sent = true
		return
	}
	t.conn, t.mark, t.reused, t.held = conn, conn.written(), info.Reused, held
	t.use = conn.begin(t.ends)
	if held {
		conn.seal(t.mark) // its writes fail
	}
}

// wasHeld reports whether the request was not allowed on the connection that it got last.
func (t *sendTracker) wasHeld() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held
}

// notSent tells whether provably no byte of the request was written. It is
// called after the attempt has failed.
func (t *sendTracker) notSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent {
		return false
	}
	return t.conn == nil || t.conn.seal(t.mark)
}

// connFailure returns the error with which the connection failed, if the write of the request was told instead of the read
// of the answer. It must be called when the answer has ended with its connection.
func (t *sendTracker) connFailure() error {
	t.mu.Lock()
	conn := t.conn
	t.mu.Unlock()
	if conn == nil {
		return nil
	}
	return conn.endWrites()
}

// closeConn closes the connection. Requests that were given it meanwhile fail as not sent.
func (t *sendTracker) closeConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return
	}
	t.conn.mu.Lock()
	defer t.conn.mu.Unlock()
	t.conn.sealed = true
	_ = t.conn.closeLocked()
}

func underlying(conn net.Conn) (*countedConn, bool) {
	for {
		if counted, ok := conn.(*countedConn); ok {
			return counted, true
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		conn = wrapper.NetConn()
	}
}
