package listen

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstByteWait is how long after its opening a connection may still bring its
	// first request when the server stops. It covers one lost packet, which is sent
	// again after 200 ms. net/http alone would wait 5 s for it.
	firstByteWait = 400 * time.Millisecond
	// headerWait is the same for a connection that has brought a part of a request's
	// header or of a handshake.
	headerWait = 5 * time.Second
	// goAwayWait is the time in which a caller learns that its idle HTTP/2
	// connection ends, so that it sends no further request on it. net/http alone
	// would wait 1 s.
	goAwayWait = 200 * time.Millisecond
	// stopInterval is how often a stopping server looks at its connections.
	stopInterval = 20 * time.Millisecond
)

// connections knows a server's connections on which no request is in progress.
type connections struct {
	mu    sync.Mutex
	fresh map[net.Conn]time.Time // that have brought no request, by their opening
	idle  map[net.Conn]struct{}
}

func newConnections() *connections {
	return &connections{fresh: make(map[net.Conn]time.Time), idle: make(map[net.Conn]struct{})}
}

// setState is the ConnState hook of the server.
func (c *connections) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.fresh, conn)
	delete(c.idle, conn)
	switch state {
	case http.StateNew:
		c.fresh[conn] = time.Now()
	case http.StateIdle:
		c.idle[conn] = struct{}{}
	}
}

// expected tells whether a connection may still bring its first request.
func (c *connections) expected(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, opened := range c.fresh {
		wait := firstByteWait
		if heard(conn) {
			wait = headerWait
		}
		if now.Sub(opened) < wait {
			return true
		}
	}
	return false
}

// unused returns the connections that need no further wait, in a shutdown that
// began at began when no first request was expected any longer.
func (c *connections) unused(began, now time.Time) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []net.Conn
	for conn := range c.fresh {
		out = append(out, conn)
	}
	if now.Sub(began) < goAwayWait {
		return out
	}
	for conn := range c.idle {
		out = append(out, conn)
	}
	return out
}

// heard tells whether a server's connection has brought a byte.
func heard(conn net.Conn) bool {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	f, ok := conn.(*firstByteConn)
	return ok && f.heard.Load()
}

// firstByteConn notes that a byte has come.
type firstByteConn struct {
	net.Conn
	heard atomic.Bool
}

func noteFirstByte(conn net.Conn) net.Conn { return &firstByteConn{Conn: conn} }

// NetConn returns the wrapped connection.
func (f *firstByteConn) NetConn() net.Conn { return f.Conn }

// Read implements net.Conn.
func (f *firstByteConn) Read(p []byte) (int, error) {
	n, err := f.Conn.Read(p)
	if n > 0 && !f.heard.Load() {
		f.heard.Store(true)
	}
	return n, err
}
