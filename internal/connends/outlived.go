package connends

import "time"

// A replica may end long after an answer and yet before it is asked about that. Its other connections ended with its process then, and
// later than the answer.

const (
	// outlivedTime is the time after the end of an answer for which another connection must have been open to show that the process lived on:
	// what ends both ends them within NearTime.
	outlivedTime = 2 * NearTime
	// minOutlived is the number of such connections, as the end of one may have been lost on the way and sent again.
	minOutlived = 2
	// maxUnseenTime is how long before the date of an end the connection must have been seen open: less than the second after which the
	// kernel sends the first keep-alive probe, whose acknowledgment would move the date.
	maxUnseenTime = 900 * time.Millisecond
)

// LeadsTo records that the connection leads to the process with the given start.
func (c *Conn) LeadsTo(started int64) { c.process.Store(started) }

// Outlived returns the starts of the processes to which other connections to the address of the given one were open for long after the
// end of the answer on it, which was read at the given time. It returns none if any other connection that would have lived on ended near
// the answer.
func (e *Tracker) Outlived(c *Conn, read time.Time) (processes []int64) {
	at, now := c.EndedAt(read), time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	// Connections that were opened near the end may lead to the next process.
	_, ends := e.at(c.address, c, at.Add(-outlivedTime))
	lasted := make(map[int64]int)
	for _, end := range ends {
		if !end.expected && end.at.Sub(at).Abs() <= outlivedTime {
			return nil
		}
		if end.lastOpen.Sub(at) > outlivedTime {
			lasted[end.conn.process.Load()]++
		}
	}
	for other := range e.open[c.address] {
		if _, open, _ := other.state(); open && other != c && at.Sub(other.openedAt) >= outlivedTime && now.Sub(at) > outlivedTime {
			lasted[other.process.Load()]++
		}
	}
	for started, n := range lasted {
		if started != 0 && n >= minOutlived {
			processes = append(processes, started)
		}
	}
	return processes
}

// noteOpen records that the connection was seen open at the given time.
func (c *Conn) noteOpen(at time.Time) { c.seenOpen.Store(&at) }

// lastOpen returns when the connection was last known to be open, given the date of its end. That may be late, unless the connection was seen
// open shortly before.
func (c *Conn) lastOpen(end time.Time) time.Time {
	seen := c.openedAt
	if at := c.seenOpen.Load(); at != nil {
		seen = *at
	}
	if end.Sub(seen) < maxUnseenTime {
		return end
	}
	return seen
}
