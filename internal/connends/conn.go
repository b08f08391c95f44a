package connends

import (
	"math"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The values of the kernel's tcp_state that matter here.
const (
	tcpEstablished = 1
	tcpCloseWait   = 8 // the peer has closed the connection in order
)

const (
	// maxInfoTime is how long reading the kernel's state of a connection may take, which tells times before that moment.
	maxInfoTime = time.Millisecond
	// infoTries bounds how often it is read because this process was stopped meanwhile.
	infoTries = 3
)

// Conn is a connection that is tracked. Its methods tell what is known of it, so that its end can be judged.
type Conn struct {
	raw           net.Conn
	openedAt      time.Time
	tracker       *Tracker
	address       string
	endsWithReply atomic.Bool // the replica closes it after the response on it
	answering     atomic.Bool // part of an answer has been received on it
	idleAtWill    atomic.Bool // it is idle, and the replica may close it at any time
	done          atomic.Bool // that response is complete
	// reservedUntil is when the time ends for which it is idle and reserved for questions, in Unix nanoseconds; 0 if it is not.
	reservedUntil atomic.Int64
	// receivedBefore is the number of bytes that had been received on it when it was opened or last became idle.
	receivedBefore atomic.Uint64
	// keptUntil is when the time ends for which it is idle, in Unix nanoseconds, after which the replica may close it; 0 if it is not.
	keptUntil atomic.Int64
	seen      atomic.Pointer[endSeen]   // the replica's end of it, when that was first seen; nil before
	end       atomic.Pointer[connEnd]   // as it was when the tracking ended; nil before, or if the replica had not ended it
	seenOpen  atomic.Pointer[time.Time] // when it was last seen open; nil if it was not since it was opened
	process   atomic.Int64              // the start of the process it leads to; 0 if unknown
}

// endSeen is what the kernel told of an end when it was first seen.
type endSeen struct {
	at       time.Time
	apart    bool // it came later than the last bytes
	lastOpen time.Time
}

// Use records that the connection is idle no more.
func (c *Conn) Use() {
	c.idleAtWill.Store(false)
	c.reservedUntil.Store(0)
	c.keptUntil.Store(0)
}

// noteReceived records that what has been received so far is no part of an answer to come.
func (c *Conn) noteReceived() {
	if info := TCPInfo(c.raw); info != nil {
		c.receivedBefore.Store(info.Bytes_received)
	}
}

// BeginAnswer records that part of an answer has been received on the connection, and whether the replica closes it afterwards.
func (c *Conn) BeginAnswer(endsWithReply bool) {
	c.endsWithReply.Store(endsWithReply)
	c.answering.Store(true)
}

// EndAnswer records that no answer is received on the connection any more, and whether the replica may close it at any time from now on.
func (c *Conn) EndAnswer(atWill bool) {
	c.noteReceived()
	c.idleAtWill.Store(atWill)
	c.answering.Store(false)
}

// CloseAnswer records that the connection is about to be closed, as the answer on it ends with it. whole means that the end of the
// connection tells nothing of the answer.
func (c *Conn) CloseAnswer(whole bool) { c.done.Store(whole) }

// KeepUntil records that the connection is idle, and that the replica keeps it until the given time.
func (c *Conn) KeepUntil(t time.Time) { c.keptUntil.Store(t.UnixNano()) }

// Reserve records that the connection is idle and serves questions only. Its end shows something until the given time, or for as long
// as it is idle if that is zero.
func (c *Conn) Reserve(until time.Time) {
	if until.IsZero() {
		c.reservedUntil.Store(math.MaxInt64)
		return
	}
	c.reservedUntil.Store(until.UnixNano())
}

// Address returns the address that the connection was opened to.
func (c *Conn) Address() string { return c.address }

// OpenedAt returns when the connection was opened.
func (c *Conn) OpenedAt() time.Time { return c.openedAt }

// Remove ends the tracking of a connection that this host is about to close.
func (c *Conn) Remove() {
	e, now := c.tracker, time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	address := c.address
	if _, ok := e.open[address][c]; !ok {
		return
	}
	delete(e.open[address], c)
	if len(e.open[address]) == 0 {
		delete(e.open, address)
	}
	end, _, ended := c.state()
	if ended {
		c.end.Store(&end)
	}
	if ended && !c.done.Load() {
		e.ended[address] = append(e.recent(e.ended[address], now), end)
		e.noteEnd(address, &end)
	}
}

// state returns how the replica has ended a connection, or whether it is open. Both are false if it ended otherwise.
func (c *Conn) state() (end connEnd, open, ended bool) {
	if end := c.end.Load(); end != nil {
		return *end, false, true
	}
	info, now := datedTCPInfo(c.raw)
	if info == nil || info.State != tcpCloseWait {
		if open = info != nil && info.State == tcpEstablished; open {
			c.noteOpen(now)
		}
		return connEnd{}, open, false
	}
	// The end of the connection carried the replica's last acknowledgment, until the replica's kernel answers the next keep-alive
	// probe or sends the end again.
	sinceEnd, sinceBytes := time.Duration(info.Last_ack_recv)*time.Millisecond, time.Duration(info.Last_data_recv)*time.Millisecond
	seen := &endSeen{at: now.Add(-sinceEnd), apart: sinceBytes-sinceEnd > SameInstant, lastOpen: c.lastOpen(now.Add(-sinceEnd))}
	if !c.seen.CompareAndSwap(nil, seen) {
		seen = c.seen.Load()
	}
	until := c.keptUntil.Load()
	atWill := c.idleAtWill.Load() || until != 0 && seen.at.UnixNano() > until
	answering := c.answering.Load()
	// An answer that ends with the connection may have begun without being noticed yet. The end itself counts as one byte.
	begun := info.Bytes_received > c.receivedBefore.Load()+1
	expected := c.endsWithReply.Load() || !answering && begun
	return connEnd{conn: c, openedAt: c.openedAt, at: seen.at, expected: expected, atWill: atWill, apart: seen.apart, lastOpen: seen.lastOpen,
		answering: answering, reserved: seen.at.UnixNano() <= c.reservedUntil.Load()}, false, true
}

// EndedAt returns when the connection ended, of which the end was read at the given time. An end that is sent again, as its
// acknowledgment is delayed, seems to be later than that.
func (c *Conn) EndedAt(read time.Time) time.Time {
	if end, _, ended := c.state(); ended && end.at.Before(read) {
		return end.at
	}
	return read
}

// TCPInfo returns the kernel's state of a connection, or nil. It does not change that state, as reading would.
func TCPInfo(raw net.Conn) (info *unix.TCPInfo) {
	Control(raw, func(fd int) {
		if read, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = read
		}
	})
	return info
}

// datedTCPInfo returns TCPInfo and when it was read.
func datedTCPInfo(raw net.Conn) (info *unix.TCPInfo, at time.Time) {
	for range infoTries {
		at = time.Now()
		if info = TCPInfo(raw); time.Since(at) <= maxInfoTime {
			break
		}
	}
	return info, at
}

// Control calls f with the file descriptor of a connection, if it has one.
func Control(raw net.Conn, f func(fd int)) {
	tcp, ok := raw.(syscall.Conn)
	if !ok {
		return
	}
	if control, err := tcp.SyscallConn(); err == nil {
		_ = control.Control(func(fd uintptr) { f(int(fd)) }) // fails on a closed connection
	}
}
