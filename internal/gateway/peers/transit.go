package peers

import (
	"time"

	"heatherbarrow/internal/gateway/boottime"
	"heatherbarrow/internal/rpc"
)

const (
	// transitWindow is the time for which the fastest datagram of a sender counts, and at most twice that. Clocks drift
	// by some milliseconds in it.
	transitWindow = time.Minute
	// maxTransitDelay bounds the delay of a datagram. A longer one is a change of a clock.
	maxTransitDelay = 5 * time.Minute
)

// transit measures how late the datagrams of one sender are read, for example because this host was paused. The zero
// transit knows of no datagram.
type transit struct {
	incarnation      int64
	fastest, earlier time.Duration // smallest differences between the clocks in this window and in the one before
	windowEnd        time.Time
}

// delay returns how much later a datagram was read than the fastest ones. sent is when it was sent, by the sender's
// clock, read when it was read, by this host's, whose time is now. Only differences between the two clocks count.
func (t *transit) delay(incarnation int64, sent, read time.Duration, now time.Time) time.Duration {
	difference := read - sent
	delay := difference - min(t.fastest, t.earlier)
	if t.windowEnd.IsZero() || incarnation != t.incarnation || delay > maxTransitDelay {
		*t = transit{incarnation: incarnation, fastest: difference, earlier: difference, windowEnd: now.Add(transitWindow)}
		return 0
	}
	if now.After(t.windowEnd) {
		t.earlier, t.fastest, t.windowEnd = t.fastest, difference, now.Add(transitWindow)
	}
	t.fastest = min(t.fastest, difference)
	return max(delay, 0)
}

// sentMs returns the time for Beat.SentMs. Unlike the monotonic clock of package time, it does not stop while the host
// is suspended.
func sentMs() uint64 {
	now, ok := boottime.Now()
	if !ok {
		return 0
	}
	return uint64(now.Milliseconds())
}

// transitDelay returns how much later a datagram was read than the fastest ones of its sender. It is 0 for hosts that do
// not tell when they send, and for those that this host does not know yet.
func (e *Exchange) transitDelay(m *rpc.Beat, now time.Time) time.Duration {
	incarnation := m.Incarnation
	if m.ZoneDigest != nil {
		incarnation = m.ZoneDigest.Incarnation
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.peers[m.PullAddress]
	if !ok || m.SentMs == 0 || incarnation < p.transit.incarnation {
		return 0
	}
	return p.transit.delay(incarnation, time.Duration(m.SentMs)*time.Millisecond, now.Sub(e.created), now)
}
