package upstream

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"heatherbarrow/internal/connends"
)

// deliveryCheckInterval is the time between two checks of the unacknowledged bytes of a
// request. The connection is reset when two consecutive checks see the same number of
// bytes. The resulting 1.5 s allow for three retransmissions on a lossy link and are
// shorter than the 2.5 s (the TCP user timeout that netio.Dial sets) after which the
// kernel drops the connection.
const deliveryCheckInterval = 750 * time.Millisecond

// deliveryWatch resets the connection of a request whose bytes are not acknowledged, so
// that bytes still queued in a partitioned network are dropped. Once the kernel has
// dropped the connection no reset can be sent, and a replica that becomes reachable
// again would run a request that has been abandoned.
type deliveryWatch struct {
	conn *conn

	mu              sync.Mutex
	timer           *time.Timer
	lastUndelivered int // undeliveredBytes at the previous check
	stopped         bool
}

// watchDelivery starts checking the connection's unacknowledged bytes. The checks end when
// no sent byte is known to be unacknowledged (even if others are still queued), the
// connection is reset, or stop is called.
func watchDelivery(c *conn) *deliveryWatch {
	d := &deliveryWatch{conn: c}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = time.AfterFunc(deliveryCheckInterval, d.check)
	return d
}

// stop ends the checks.
func (d *deliveryWatch) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
}

// check resets the connection if the number of undelivered bytes is not 0 and has not changed
// since the previous check.
func (d *deliveryWatch) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	undelivered := d.conn.undeliveredBytes()
	if undelivered > 0 && undelivered == d.lastUndelivered {
		_ = d.conn.abort() // the pending read of the response returns an error
		return
	}
	d.lastUndelivered = undelivered
	if undelivered > 0 {
		d.timer.Reset(deliveryCheckInterval)
	}
}

// undeliveredBytes returns the length of the send queue, unsent bytes included, if some of
// its bytes were sent and not acknowledged. It returns 0 if the bytes only wait for the peer
// to read, or if the state of the connection cannot be determined.
func (c *conn) undeliveredBytes() int {
	undelivered := 0
	connends.Control(c.Conn, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil || info.Unacked == 0 {
			return
		}
		if queued, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			undelivered = queued
		}
	})
	return undelivered
}
