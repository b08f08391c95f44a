package upstream

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// deliveryCheck is the pause between two looks at whether a request arrives. Two looks
// without progress end it: 1.5 s are three retransmissions on a link that loses
// packets, and less than the 2.5 s after which the kernel gives the connection up.
const deliveryCheck = 750 * time.Millisecond

// delivery resets the connection of a request whose bytes are not acknowledged. What a
// cut network still holds of it is dropped then; once the kernel has given the
// connection up no reset can be sent, and a replica that comes back within reach would
// run a request that has been given up.
type delivery struct {
	conn *conn

	mu      sync.Mutex
	timer   *time.Timer
	last    int // unacknowledged bytes at the last look
	stopped bool
}

// watchDelivery begins to look at the connection's unacknowledged bytes until stop.
func watchDelivery(c *conn) *delivery {
	d := &delivery{conn: c}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = time.AfterFunc(deliveryCheck, d.look)
	return d
}

func (d *delivery) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
}

func (d *delivery) look() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	waiting := d.conn.unacknowledged()
	if waiting > 0 && waiting == d.last {
		_ = d.conn.abort() // the reader of the answer gets the error
		return
	}
	d.last = waiting
	if waiting > 0 {
		d.timer.Reset(deliveryCheck)
	}
}

// unacknowledged returns how many bytes the peer's host has not acknowledged although
// they were sent. It is 0 when they wait only for the peer to read, or when that
// cannot be told.
func (c *conn) unacknowledged() int {
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	waiting := 0
	err = raw.Control(func(fd uintptr) {
		info, failure := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if failure != nil || info.Unacked == 0 {
			return
		}
		if queued, failure := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); failure == nil {
			waiting = queued
		}
	})
	if err != nil {
		return 0
	}
	return waiting
}
