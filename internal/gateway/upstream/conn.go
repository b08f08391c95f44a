package upstream

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"heatherbarrow/internal/connends"
	"heatherbarrow/internal/gateway/netio"
	"heatherbarrow/internal/membudget"
)

const (
	readBufferBytes = 4 << 10
	// defaultIdleTimeout is how long a connection may be reused if the replica announces
	// no keep-alive timeout.
	defaultIdleTimeout = 2 * time.Second
	// maxIdlePerReplica limits the idle connections to each replica; see also Request.MaxIdle.
	maxIdlePerReplica = 16
	// MaxReserved limits the idle connections to each replica that are reserved for questions, see Request.Question.
	MaxReserved = 2
	// maxRefusedIDs bounds the refused requests that a connection remembers.
	maxRefusedIDs = 16
)

// conn is one connection to a replica.
type conn struct {
	net.Conn
	byteLimiter *byteLimiter // between the network connection and reader
	reader      *bufio.Reader
	reuseUntil  time.Time      // the connection must not be reused after this time
	usedBefore  bool           // it has served a request already
	refused     []string       // IDs of the latest requests that were refused on it
	tracking    *connends.Conn // nil if the connection is not tracked
}

func newConn(raw net.Conn) *conn {
	limiter := &byteLimiter{source: raw, remaining: unlimited}
	return &conn{Conn: raw, byteLimiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes)}
}

// unlimited is the byteLimiter setting that disables the limit.
const unlimited = math.MaxInt

// byteLimiter limits the bytes that may be read from a connection.
type byteLimiter struct {
	source     io.Reader
	remaining  int
	memory     *membudget.Account // of the head that is read; nil otherwise
	exhausted  error              // why the account could not hold the head
	failed     error              // of the connection
	endAwaited time.Duration      // how long the end of the connection was awaited, once nothing else was to be read
}

// setLimit sets the number of bytes that may still be read, and the account that holds them if they are a head.
func (l *byteLimiter) setLimit(bytes int, memory *membudget.Account) {
	l.remaining, l.memory, l.exhausted = bytes, memory, nil
}

// Read implements io.Reader.
func (l *byteLimiter) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, ErrResponseTooLarge
	}
	if l.failed != nil {
		return 0, l.failed
	}
	began := time.Now()
	n, err := l.source.Read(p[:min(len(p), l.remaining)])
	if n == 0 && err == io.EOF {
		l.endAwaited = time.Since(began)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		l.failed = err // the kernel reports a reset once, and an orderly end after it
	}
	if l.remaining != unlimited {
		l.remaining -= n
	}
	if l.exhausted = l.growByHead(p[:n]); l.exhausted != nil {
		return 0, l.exhausted
	}
	return n, err
}

// growByHead grows the account by a part of a head.
func (l *byteLimiter) growByHead(received []byte) error {
	if l.memory == nil {
		return nil
	}
	return l.memory.Grow(netio.HeadBytes(received))
}

// abort closes the connection with a TCP reset, which drops unsent and unacknowledged
// bytes of an abandoned request. After an orderly close the kernel would retransmit
// them, and a replica behind a network partition would receive and run the request once
// the partition heals.
func (c *conn) abort() error {
	c.untrack()
	return netio.Reset(c.Conn)
}

// Close closes the connection in order.
func (c *conn) Close() error {
	c.untrack()
	return c.Conn.Close()
}

func (c *conn) untrack() {
	if c.tracking != nil {
		c.tracking.Remove()
	}
}

// pool holds the idle connections to each replica, most recently used last.
type pool struct {
	mu       sync.Mutex
	idle     map[string][]*conn // by address
	reserved map[string][]*conn // by address; for questions, see Request.Question
}

// take removes and returns an idle connection that is still open and on which the request has not been
// refused, or returns nil if there is none. broken reports whether it found connections that the replica had closed
// before their time.
func (p *pool) take(address, id string, now time.Time) (idle *conn, broken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	for len(conns) > 0 {
		c := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		if now.Before(c.reuseUntil) && !slices.Contains(c.refused, id) {
			if c.idleAndOpen() {
				c.tracking.Use()
				p.idle[address] = conns
				return c, broken
			}
			broken = true
		}
		_ = c.Close()
	}
	delete(p.idle, address)
	return nil, broken
}

// reservedFor returns the number of connections to an address that are reserved for questions, and the time for which all of them may
// still be idle.
func (p *pool) reservedFor(address string, now time.Time) (idle time.Duration, reserved int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range p.reserved[address] {
		if left := c.reuseUntil.Sub(now); i == 0 || left < idle {
			idle = left
		}
	}
	return idle, len(p.reserved[address])
}

// takeReserved is take for the connections that are reserved for questions.
func (p *pool) takeReserved(address string, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conns := p.reserved[address]; len(conns) > 0; {
		c := conns[0]
		conns = conns[1:]
		p.reserved[address] = conns
		if now.Before(c.reuseUntil) && c.idleAndOpen() {
			c.tracking.Use()
			return c
		}
		_ = c.Close()
	}
	delete(p.reserved, address)
	return nil
}

// put adds an idle connection, or closes it if the replica already has as many as maxIdle (see
// Request.MaxIdle) and maxIdlePerReplica allow. One that served a question is reserved for the
// next one unless MaxReserved are, if another idle connection is allowed beside it.
func (p *pool) put(address string, c *conn, maxIdle int, question bool) {
	if maxIdle == 0 {
		maxIdle = maxIdlePerReplica
	}
	maxIdle = min(maxIdle, maxIdlePerReplica)
	c.tracking.KeepUntil(c.reuseUntil)
	p.mu.Lock()
	defer p.mu.Unlock()
	reserved := len(p.reserved[address])
	switch {
	case len(p.idle[address])+reserved >= maxIdle:
		_ = c.Close()
	case question && reserved < min(MaxReserved, maxIdle-1):
		if p.reserved == nil {
			p.reserved = make(map[string][]*conn)
		}
		c.tracking.Reserve(time.Time{})
		p.reserved[address] = append(p.reserved[address], c)
	default:
		p.idle[address] = append(p.idle[address], c)
	}
}

// closeIdle closes the idle connections whose reuse time has expired at now.
func (p *pool) closeIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	closeExpired(p.reserved, now)
	closeExpired(p.idle, now)
}

// closeExpired closes the connections whose reuse time has expired at now.
func closeExpired(all map[string][]*conn, now time.Time) {
	for address, conns := range all {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.reuseUntil) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		clear(conns[len(kept):])
		all[address] = kept
		if len(kept) == 0 {
			delete(all, address)
		}
	}
}

// idleAndOpen reports whether the connection is open and has no unread bytes, which
// would belong to no request.
func (c *conn) idleAndOpen() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, sockErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = sockErr == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// idleTimeout returns how long a connection may be reused after a response with the
// headers h, and whether the replica stated that.
func idleTimeout(h http.Header) (idle time.Duration, stated bool) {
	if idle, stated = connends.KeptFor(h); stated {
		return idle, true
	}
	return defaultIdleTimeout, false
}
