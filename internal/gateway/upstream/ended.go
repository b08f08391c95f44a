package upstream

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// A process that ends loses all of its connections at once, while those that are open live on at a host to which only new
// ones are refused. What has become of the other connections to a replica therefore tells the two apart.

const (
	// endedTogetherTime is the time in which the connections of a process that ends are seen to end.
	endedTogetherTime = 100 * time.Millisecond
	// endedAtOnceTime is that time where nothing delays the ends. Fewer connections suffice if they end within it:
	// atOnceFactor tells by how much they may be fewer than those that ended before.
	endedAtOnceTime = 20 * time.Millisecond
	atOnceFactor    = 4
	// usualEndsTime is how far the ends reach back that tell how many are usual.
	usualEndsTime = 500 * time.Millisecond
	// endRetention and maxEnds bound what is kept of the ends of connections to one replica.
	endRetention = 2 * time.Second
	maxEnds      = 64
	// minExpectedEnds is the number of connections which would have ended with their answer anyway, as unframed ones do,
	// that must end together to show that their process ended.
	minExpectedEnds = 2
)

// The values of the kernel's tcp_state that matter here.
const (
	tcpEstablished = 1
	tcpCloseWait   = 8 // the peer has closed the connection in order
)

// connEnd is the end of a connection by the replica.
type connEnd struct {
	openedAt, at time.Time
	expected     bool // it would have ended with the answer on it
}

// ends are the connections of a client that are open, and those that replicas have lately ended in order, by address.
type ends struct {
	mu    sync.Mutex
	open  map[string]map[*conn]struct{}
	ended map[string][]connEnd
}

// tracking is the part of a connection that ends needs.
type tracking struct {
	ends          *ends // nil if the connection is not tracked
	address       string
	endsWithReply atomic.Bool // the replica closes it after the response on it
	done          atomic.Bool // that response is complete
}

// add begins to track a connection.
func (e *ends) add(address string, c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.open == nil {
		e.open, e.ended = make(map[string]map[*conn]struct{}), make(map[string][]connEnd)
	}
	if e.open[address] == nil {
		e.open[address] = make(map[*conn]struct{})
	}
	c.tracking.ends, c.tracking.address = e, address
	e.open[address][c] = struct{}{}
}

// remove ends the tracking of a connection that this host is about to close.
func (e *ends) remove(c *conn, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := c.tracking.address
	if _, ok := e.open[address][c]; !ok {
		return
	}
	delete(e.open[address], c)
	if len(e.open[address]) == 0 {
		delete(e.open, address)
	}
	if end, _, ended := c.state(now); ended && !c.tracking.done.Load() {
		e.ended[address] = append(recent(e.ended[address], now), end)
	}
}

// recent returns the ends that are worth keeping, without the oldest if another one could not be added.
func recent(all []connEnd, now time.Time) []connEnd {
	kept := all[:0]
	for _, end := range all {
		if now.Sub(end.at) < endRetention {
			kept = append(kept, end)
		}
	}
	return kept[max(len(kept)-maxEnds+1, 0):]
}

// prune forgets ends that are long past.
func (e *ends) prune(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, all := range e.ended {
		if e.ended[address] = recent(all, now); len(e.ended[address]) == 0 {
			delete(e.ended, address)
		}
	}
}

// state returns how the replica has ended a connection, or whether it is open. Both are false if it ended otherwise.
func (c *conn) state(now time.Time) (end connEnd, open, ended bool) {
	info := c.tcpInfo()
	if info == nil || info.State != tcpCloseWait {
		return connEnd{}, info != nil && info.State == tcpEstablished, false
	}
	// The end of the connection carried the replica's last acknowledgment.
	at := now.Add(-time.Duration(info.Last_ack_recv) * time.Millisecond)
	return connEnd{openedAt: c.openedAt, at: at, expected: c.tracking.endsWithReply.Load()}, false, true
}

// tcpInfo returns the kernel's state of the connection, or nil. It does not change that state, as reading would.
func (c *conn) tcpInfo() (info *unix.TCPInfo) {
	c.control(func(fd int) {
		if read, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = read
		}
	})
	return info
}

// OtherConnections tells what has become of the connections to the response's replica, and to those at further addresses,
// other than that of the response which were opened before the given time, when the response ended: whether any is open,
// and whether those that were have ended together with it.
func (c *Client) OtherConnections(r *Response, endedAt time.Time, further ...string) (open, endedTogether bool) {
	e, now := &c.ends, time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	at := endedAt
	if end, _, ended := r.conn.state(now); ended {
		at = end.at // the end may have been read later
	}
	var ends []connEnd
	for _, address := range append([]string{r.address}, further...) {
		for _, end := range e.ended[address] {
			if !end.openedAt.After(endedAt) {
				ends = append(ends, end)
			}
		}
		for other := range e.open[address] {
			if other == r.conn || other.openedAt.After(endedAt) {
				continue
			}
			end, isOpen, isEnded := other.state(now)
			open = open || isOpen
			if isEnded {
				ends = append(ends, end)
			}
		}
	}
	return open, !open && together(ends, at)
}

// together reports whether connections ended at the given time, so many that a process has ended, and none later. Those
// that would have ended with their answers must be more than before, as sound answers may end at any time.
func together(ends []connEnd, at time.Time) bool {
	unexpected, then, atOnce, before := 0, 0, 0, 0
	for _, end := range ends {
		after := end.at.Sub(at)
		if after > endedTogetherTime {
			return false
		}
		switch {
		case after < -usualEndsTime:
		case after < -endedTogetherTime:
			before++
		case !end.expected:
			unexpected++
		default:
			then++
			if after.Abs() <= endedAtOnceTime {
				atOnce++
			}
		}
	}
	return unexpected > 0 || then >= minExpectedEnds && then > before || atOnce >= minExpectedEnds && atOnce*atOnceFactor > before
}
