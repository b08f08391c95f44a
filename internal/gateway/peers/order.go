package peers

import (
	"cmp"
	"time"
)

// earlierProcessTime is how long a host must have been silent until a datagram of a process that seems to have started
// earlier counts as one of its next process, whose time of day was set back. A live host is never silent for so long; datagrams
// from before a restart have arrived by then.
const earlierProcessTime = 2 * maxHeartbeatInterval

// sentOrder is the place of the last datagram from a sender in the order in which its processes send them.
type sentOrder struct {
	incarnation int64
	sequence    uint64
	receivedAt  time.Time
}

// precedes reports whether a datagram that arrives now was sent after that one.
func (o *sentOrder) precedes(incarnation int64, sequence uint64, now time.Time) bool {
	switch c := cmp.Compare(incarnation, o.incarnation); {
	case c == 0:
		return sequence > o.sequence
	case c < 0:
		return now.Sub(o.receivedAt) > earlierProcessTime
	}
	return true
}
