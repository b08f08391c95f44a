package proxy

import (
	"net"
	"time"
)

// An http.Server takes its timeouts when it starts, but the configuration changes while it
// runs. The server is therefore given these sentinel timeouts, and WrapTimeouts replaces
// read deadlines about that far away by those of the configuration in force.
const (
	idleSentinel   = 48 * time.Hour
	headerSentinel = 24 * time.Hour
)

// Limits that apply until a configuration is known, or where it sets none.
const (
	defaultIdleTimeout   = 30 * time.Second
	defaultHeaderTimeout = 10 * time.Second
	defaultMaxBodyBytes  = 4 << 20
	// maxHeaderBytes is the largest request line and header that net/http reads; the
	// configured limit is checked afterwards.
	maxHeaderBytes = 256 << 10
)

// WrapTimeouts wraps a caller's connection so that the timeouts for idle connections and
// for reading request headers follow the configuration.
func (s *Server) WrapTimeouts(c net.Conn) net.Conn {
	return &timeoutConn{Conn: c, idle: s.idleTimeout, header: s.headerTimeout}
}

// timeoutConn replaces sentinel read deadlines by the configured timeouts.
type timeoutConn struct {
	net.Conn
	idle   func() time.Duration // timeout of idle connections
	header func() time.Duration // timeout for reading request headers
}

// NetConn returns the wrapped connection.
func (c *timeoutConn) NetConn() net.Conn { return c.Conn }

// SetReadDeadline implements net.Conn.
func (c *timeoutConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		switch remaining := time.Until(t); {
		case remaining > (idleSentinel+headerSentinel)/2:
			t = time.Now().Add(c.idle())
		case remaining > headerSentinel/2:
			t = time.Now().Add(c.header())
		}
	}
	return c.Conn.SetReadDeadline(t)
}

func (s *Server) idleTimeout() time.Duration {
	if t := s.opts.Table(); t != nil && t.Limits.IdleTimeout > 0 {
		return t.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

func (s *Server) headerTimeout() time.Duration {
	if t := s.opts.Table(); t != nil && t.Limits.HeaderTimeout > 0 {
		return t.Limits.HeaderTimeout
	}
	return defaultHeaderTimeout
}

// headerTooLarge reports whether the request line and header exceed the configured limit.
func (e *exchange) headerTooLarge() bool {
	limit := e.table.Limits.MaxHeaderBytes
	if limit <= 0 {
		return false
	}
	const separatorBytes = len(": \r\n")
	size := len(e.r.Method) + len(e.r.RequestURI)
	for name, values := range e.r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separatorBytes
		}
	}
	return size > limit
}
