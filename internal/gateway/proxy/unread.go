package proxy

import (
	"net"
	"sync"
	"time"

	"heatherbarrow/internal/gateway/netio"
	"heatherbarrow/internal/membudget"
)

// callerConn is the context key of a caller's connection.
type callerConn struct{}

const (
	// unreadCheckInterval is the time between two checks whether the kernel should take more of an answer.
	unreadCheckInterval = 100 * time.Millisecond
	// minSendGrowth is the smallest growth of a send buffer, in bytes.
	minSendGrowth = 16 << 10
	// sendShareMultiple is how much of the kernel's memory an answer may take, as a multiple of what it leaves to others.
	sendShareMultiple = 4
)

// unreadAnswer is the part of an answer that its caller has not read when the host stops.
type unreadAnswer struct {
	conn   net.Conn
	memory *membudget.Budget // for the kernel's buffers

	mu      sync.Mutex
	ended   bool               // the request has ended
	account *membudget.Account // by which the buffer has grown; nil if it has not
}

// keepUnreadAtStop lets the kernel take much more of the answer than the caller reads, once this host stops: a slow caller may
// read what replicas have answered after this process has ended. The returned function is called when the request ends.
func (e *exchange) keepUnreadAtStop() func() {
	s := e.server
	c, ok := e.r.Context().Value(callerConn{}).(net.Conn)
	if !ok || s.sendMemory == nil {
		return func() {}
	}
	u := &unreadAnswer{conn: c, memory: s.sendMemory}
	stop := s.drain.AfterBegin(u.growWhileNeeded)
	return func() {
		if !stop() {
			u.end()
		}
	}
}

// growWhileNeeded grows the buffer until the request has ended.
func (u *unreadAnswer) growWhileNeeded() {
	for u.grow() {
		time.Sleep(unreadCheckInterval)
	}
}

// grow doubles the buffer if much of it is in use, or adds as much as there is. It returns false if the request has ended.
func (u *unreadAnswer) grow() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
		return false
	}
	size, crowded, err := netio.SendBuffer(u.conn)
	if err != nil || !crowded {
		return true // the caller may have left
	}
	if u.account == nil {
		u.account = u.memory.Open(u.conn.RemoteAddr().String())
	}
	for more := size; more >= minSendGrowth; more /= 2 {
		if u.account.Grow(more) == nil {
			_ = netio.GrowSendBuffer(u.conn, size+more)
			return true
		}
	}
	return true
}

// end is called when the request ends. The end of its answer may still have to be written; what the caller has not read stays
// in the buffer until the process ends.
func (u *unreadAnswer) end() {
	u.grow()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended = true
	if u.account == nil {
		return
	}
	if _, crowded, err := netio.SendBuffer(u.conn); err != nil || !crowded {
		u.account.Close()
	}
}
