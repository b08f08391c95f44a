package proxy

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"heatherbarrow/internal/gateway/netio"
	"heatherbarrow/internal/membudget"
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
	// refusalTimeout bounds the write of a refusal to a caller that may not read.
	refusalTimeout = 100 * time.Millisecond
	// lastWriteTimeout bounds the writes of an answer that is not complete when its request's time is over.
	lastWriteTimeout = 500 * time.Millisecond
)

// WrapTimeouts wraps a caller's connection so that the timeouts for idle connections and
// for reading request headers follow the configuration.
func (s *Server) WrapTimeouts(c net.Conn) net.Conn {
	address := c.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		address = host
	}
	return &timeoutConn{
		Conn: c, idle: s.idleTimeout, header: s.headerTimeout, memory: s.opts.RequestMemory.Open("caller " + address), metrics: s.metrics,
	}
}

// timeoutConn replaces sentinel read deadlines by the configured timeouts. They also show when a head is read, whose memory
// an account holds until the next one.
type timeoutConn struct {
	net.Conn
	idle    func() time.Duration // timeout of idle connections
	header  func() time.Duration // timeout for reading request headers
	metrics *metrics

	mu     sync.Mutex
	memory *membudget.Account
	inHead bool // a head is read, or the next one is awaited
	closed bool
}

// NetConn returns the wrapped connection.
func (c *timeoutConn) NetConn() net.Conn { return c.Conn }

// SetReadDeadline implements net.Conn.
func (c *timeoutConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		c.setInHead(false)
		return c.Conn.SetReadDeadline(t)
	}
	switch remaining := time.Until(t); {
	case remaining > (idleSentinel+headerSentinel)/2:
		c.dropHead()
		c.setInHead(true)                        // net/http waits for the first bytes of the next one
		_ = c.Conn.SetWriteDeadline(time.Time{}) // of the request before
		t = time.Now().Add(c.idle())
	case remaining > headerSentinel/2:
		c.setInHead(true)
		t = time.Now().Add(c.header())
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *timeoutConn) setInHead(inHead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = inHead && !c.closed
}

// dropHead gives back the memory of the head that was read last.
func (c *timeoutConn) dropHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.Close()
}

// Close implements net.Conn.
func (c *timeoutConn) Close() error {
	c.mu.Lock()
	c.memory.Close()
	c.inHead, c.closed = false, true
	c.mu.Unlock()
	return c.Conn.Close()
}

// Read implements net.Conn. If there is no memory for a head, it refuses the request and fails in a way that lets net/http
// close the connection without another answer.
func (c *timeoutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if exhausted := c.growByHead(p[:n]); exhausted != nil {
		c.refuseHead()
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: exhausted}
	}
	return n, err
}

func (c *timeoutConn) growByHead(received []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead {
		return nil
	}
	return c.memory.Grow(netio.HeadBytes(received))
}

// refuseHead refuses a request whose head is being read. No earlier answer is under way on the connection then.
func (c *timeoutConn) refuseHead() {
	const reason = "head_memory"
	c.metrics.countRefusal(reason)
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 503 "+http.StatusText(http.StatusServiceUnavailable)+
		"\r\nConnection: close\r\nRetry-After: "+strconv.FormatFloat(requestMemoryRetryAfter.Seconds(), 'f', 2, 64)+
		"\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: "+strconv.Itoa(len(reason)+1)+"\r\n\r\n"+reason+"\n") // the caller may be gone
}

// boundWrites lets writes to the caller fail after the given time, so that a caller that does not read holds nothing for
// longer. A host that has delegated the request bounds its own writes and closes the connection.
func (e *exchange) boundWrites(until time.Time) {
	if !e.delegated {
		_ = http.NewResponseController(e.w).SetWriteDeadline(until) // fails if the connection has no deadlines, as in a test
	}
}

// boundLastWrite is boundWrites for an answer of which nothing more is awaited, and for which no replica is held. The caller
// may take it as long as an idle connection.
func (e *exchange) boundLastWrite() {
	until := time.Now().Add(e.server.idleTimeout())
	if e.deadline.After(until) {
		until = e.deadline
	}
	e.boundWrites(until)
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
