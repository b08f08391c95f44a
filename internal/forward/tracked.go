package forward

import (
	"net/http"
	"time"

	"heatherbarrow/internal/connends"
)

// reservedTime is how long a connection that served a question is known to be kept by a service that closes idle ones.
const reservedTime = time.Second

// trackedConn is a connection whose end tells something of the ends of others. It is guarded by the mutex of its countedConn.
type trackedConn struct {
	conn     *connends.Conn // nil if it is not tracked
	uses     uint64         // requests that it was given
	framed   bool           // an answer with a length or chunks is received on it
	idle     bool
	idleFrom time.Time
	keptFor  time.Duration // how long the service keeps it idle
	stated   bool          // keptFor is known
}

// remove ends the tracking, as the end of the connection was read. It is not read behind a whole answer with a length or chunks.
func (t *trackedConn) remove() {
	if t.conn == nil {
		return
	}
	if t.framed {
		t.conn.BeginAnswer(false)
	}
	t.conn.Remove()
}

// drop ends the tracking, as this host closes the connection.
func (t *trackedConn) drop() {
	if t.conn != nil {
		t.conn.CloseAnswer(true)
		t.conn.Remove()
	}
}

// begin records that a request is given the connection, and returns the number of that use. Nil ends the tracking.
func (c *countedConn) begin(ends *connends.Tracker) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &c.tracked
	t.uses++
	t.idle, t.framed = false, false
	switch {
	case ends == nil:
		t.drop()
		t.conn = nil
	case t.conn != nil:
		t.conn.Use()
	case !c.closed:
		t.conn = ends.Add(c.RemoteAddr().String(), c.Conn)
	}
	return t.uses
}

// during calls f if the connection is tracked and still serves the given use, or is idle after it.
func (c *countedConn) during(use uint64, f func(*trackedConn)) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tracked.conn != nil && c.tracked.uses == use {
		f(&c.tracked)
	}
}

// keep records that the connection is idle.
func (t *trackedConn) keep(question bool) {
	t.conn.BeginAnswer(false)
	t.conn.EndAnswer(!t.stated)
	if t.stated {
		t.conn.KeepUntil(t.idleFrom.Add(t.keptFor))
	}
	if question {
		t.conn.Reserve(t.idleFrom.Add(reservedTime))
	}
}

// gotFirstByte is called before the head of the answer is read. Until that is known, the answer may end with its connection.
func (t *sendTracker) gotFirstByte() {
	conn, use := t.current()
	conn.during(use, func(tracked *trackedConn) { tracked.conn.BeginAnswer(true) })
}

// putIdle is called when the connection has become idle or cannot.
func (t *sendTracker) putIdle(err error) {
	if err != nil {
		return
	}
	conn, use := t.current()
	conn.during(use, func(tracked *trackedConn) {
		tracked.idle, tracked.idleFrom, tracked.framed = true, time.Now(), false
		tracked.keep(t.question)
	})
}

// gotHead records the head of the answer. The connection may be idle already.
func (t *sendTracker) gotHead(response *http.Response) {
	conn, use := t.current()
	conn.during(use, func(tracked *trackedConn) {
		tracked.keptFor, tracked.stated = connends.KeptFor(response.Header)
		if tracked.idle {
			tracked.keep(t.question)
			return
		}
		tracked.framed = !isUnframed(response)
		tracked.conn.BeginAnswer(response.Close || t.closes)
	})
}

// current returns the connection that the request was given, and the number of that use.
func (t *sendTracker) current() (*countedConn, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn, t.use
}

// endTracker returns what tracks the connection of an answer, or nil if it is not tracked.
func (t *sendTracker) endTracker() *connends.Conn {
	conn, _ := t.current()
	if conn == nil {
		return nil
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.tracked.conn
}
