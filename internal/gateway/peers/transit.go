package peers

import (
	"context"
	"time"

	"heatherbarrow/internal/gateway/boottime"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/scheduling/poisonpart"
)

const (
	// transitWindow is the time for which the fastest datagram of a sender counts, and at most twice that. Clocks drift
	// by some milliseconds in it.
	transitWindow = time.Minute
	// maxTransitDelay bounds the delay of a datagram. A longer one is a change of a clock.
	maxTransitDelay = 5 * time.Minute
	// A sender whose datagrams all exceed slowTransit is measured anew after maxSlowDatagrams, over at least
	// maxSlowTime: its clock has stood still. The datagrams that a paused host finds waiting are read in less.
	slowTransit      = 500 * time.Millisecond
	maxSlowDatagrams = 10
	maxSlowTime      = 3 * time.Second
	// minStall is the time for which this host does nothing at all from which it may have been paused.
	minStall = 400 * time.Millisecond
	// stallCheckInterval is the interval at which this host shows that it is not paused.
	stallCheckInterval = 100 * time.Millisecond
	// backlogTime is the time within which the datagrams that came during a pause are read after it.
	backlogTime = time.Second
)

// transit measures how late the datagrams of one sender are read, for example because this host was paused. The zero
// transit knows of no datagram.
type transit struct {
	incarnation      int64
	fastest, earlier time.Duration // smallest differences between the clocks in this window and in the one before
	windowEnd        time.Time
	slow             slowDatagrams
}

// slowDatagrams are those of a sender since the last one that was not slow.
type slowDatagrams struct {
	count   int
	since   time.Time
	fastest time.Duration
}

// add adds a datagram and reports whether there are so many that they are not late.
func (s *slowDatagrams) add(difference time.Duration, now time.Time) bool {
	if s.count == 0 {
		*s = slowDatagrams{since: now, fastest: difference}
	}
	s.count++
	s.fastest = min(s.fastest, difference)
	return s.count >= maxSlowDatagrams && now.Sub(s.since) >= maxSlowTime
}

// stalls tells for how long this host may have been paused. Only then a datagram is known to be late because it waited
// here, and not because the clock of its sender stood still.
type stalls struct {
	seen        time.Duration // when this host was last seen not to be paused
	from, until time.Duration // of the last stall
}

// note records that this host is not paused, by its clock with suspensions included.
func (s *stalls) note(now time.Duration) {
	inBacklog := s.until > 0 && now-s.until < backlogTime
	if now-s.seen >= minStall && !inBacklog {
		s.from, s.until = s.seen, now
	}
	s.seen = max(s.seen, now)
}

// longestWait returns how long a datagram that is read now may have waited.
func (s *stalls) longestWait(now time.Duration) time.Duration {
	if s.until == 0 || now-s.until > backlogTime {
		return 0
	}
	return now - s.from
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
	if delay < slowTransit {
		t.slow = slowDatagrams{}
	} else if t.slow.add(difference, now) {
		delay -= t.slow.fastest - min(t.fastest, t.earlier)
		t.fastest, t.earlier, t.slow = t.slow.fastest, t.slow.fastest, slowDatagrams{}
		return delay
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

// transitDelay returns for how long a datagram waited on this host, as far as it was read later than the fastest ones of
// its sender. It is 0 for hosts that do not tell when they send, and for those that this host does not know yet.
func (e *Exchange) transitDelay(m *rpc.Beat, now time.Time) time.Duration {
	incarnation := m.Incarnation
	if m.ZoneDigest != nil {
		incarnation = m.ZoneDigest.Incarnation
	}
	read := e.suspensions.Age(e.created, now)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalls.note(read)
	p, ok := e.peers[m.PullAddress]
	if !ok || m.SentMs == 0 || incarnation < p.transit.incarnation && incarnation != p.incarnation {
		return 0
	}
	delay := p.transit.delay(incarnation, time.Duration(m.SentMs)*time.Millisecond, read, now)
	return min(delay, e.stalls.longestWait(read))
}

// stallLoop notes when this host is not paused until ctx ends.
func (e *Exchange) stallLoop(ctx context.Context) {
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.suspensions.Observe()
		read := e.suspensions.Age(e.created, time.Now())
		e.mu.Lock()
		e.stalls.note(read)
		e.mu.Unlock()
	}
}

// trueAges changes entries so that the ages of their crashes include the suspensions of this host, for other hosts.
func (e *Exchange) trueAges(entries []poisonpart.Entry, now time.Time) []poisonpart.Entry {
	for _, entry := range entries {
		for i := range entry.Crashes {
			c := &entry.Crashes[i]
			c.At = now.Add(-e.suspensions.Age(c.At, now))
		}
	}
	return entries
}

// suspectEntries decodes the suspects of a datagram that is read after a delay. Ages of hosts that do not tell when they
// send lack their suspensions, and are taken as they are.
func (e *Exchange) suspectEntries(m *rpc.Beat, suspects []*rpc.SuspectPart, delay time.Duration, now time.Time) []poisonpart.Entry {
	entries := rpc.SuspectPartEntries(suspects, now.Add(-delay))
	if m.SentMs == 0 {
		return entries
	}
	for _, entry := range entries {
		for i := range entry.Crashes {
			c := &entry.Crashes[i]
			c.At = now.Add(-e.suspensions.MonotonicAge(now.Sub(c.At), now))
		}
	}
	return entries
}
