package connends

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"
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

// connEnd is the end of a connection by the replica.
type connEnd struct {
	conn         *Conn
	openedAt, at time.Time
	lastOpen     time.Time // when the connection was last known to be open
	expected     bool      // it would have ended with the answer on it
	atWill       bool      // it was idle, and the replica had not said for how long it keeps idle ones
	answering    bool      // part of an answer had been received on it
	apart        bool      // it came more than SameInstant after the last bytes
	reserved     bool      // it was idle and reserved for questions, and used lately
}

// Tracker knows the connections of a client that are open, and those that replicas have lately ended in order, by address. Its
// zero value is ready for use. It is safe for concurrent use.
type Tracker struct {
	mu    sync.Mutex
	open  map[string]map[*Conn]struct{}
	ended map[string][]connEnd
	cuts  []time.Time          // the latest moments at which connections were found to be cut
	signs map[string]time.Time // when the latest sign of a cut was seen, by address
	// signMoments are the moments in which signs were seen.
	signMoments []time.Time
	pruned      time.Time // when what is long past was last forgotten
	// unread is the earliest end of a connection whose answer is still read, at the latest call of Prune; zero for none.
	unread time.Time
}

// Add begins to track a connection to an address.
func (e *Tracker) Add(address string, raw net.Conn) *Conn {
	c := &Conn{raw: raw, openedAt: time.Now(), tracker: e, address: address}
	c.noteReceived()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.open == nil {
		e.open, e.ended = make(map[string]map[*Conn]struct{}), make(map[string][]connEnd)
	}
	if e.open[address] == nil {
		e.open[address] = make(map[*Conn]struct{})
	}
	e.open[address][c] = struct{}{}
	if c.openedAt.Sub(e.pruned) > endRetention {
		e.prune(c.openedAt)
	}
	return c
}

// recent returns the ends that are worth keeping, without the oldest if another one could not be added. Those around an end that is not
// read yet are. The caller holds e.mu.
func (e *Tracker) recent(all []connEnd, now time.Time) []connEnd {
	if !e.unread.IsZero() && e.unread.Before(now) {
		now = e.unread
	}
	kept := all[:0]
	for _, end := range all {
		if now.Sub(end.at) < endRetention {
			kept = append(kept, end)
		}
	}
	return kept[max(len(kept)-maxEnds+1, 0):]
}

// Prune forgets ends that are long past, and dates those of connections that nobody reads: it should be called more often than the
// kernel sends keep-alive probes.
func (e *Tracker) Prune(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unread = time.Time{}
	for _, conns := range e.open {
		for c := range conns {
			if end, _, ended := c.state(); ended && end.answering && (e.unread.IsZero() || end.at.Before(e.unread)) {
				e.unread = end.at
			}
		}
	}
	e.prune(now)
}

// prune forgets ends that are long past. The caller holds e.mu.
func (e *Tracker) prune(now time.Time) {
	e.pruned = now
	e.pruneSigns(now)
	for address, all := range e.ended {
		if e.ended[address] = e.recent(all, now); len(e.ended[address]) == 0 {
			delete(e.ended, address)
		}
	}
}

// Addresses returns the number of addresses of which open connections or ends are known.
func (e *Tracker) Addresses() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := maps.Clone(e.ended)
	for address := range e.open {
		known[address] = nil
	}
	return len(known)
}

// Others tells what has become of the connections to the addresses, other than the given one, which were opened before the given time,
// when the end of the answer on that one was read: whether any is open, and whether those that were have ended together with it.
func (e *Tracker) Others(c *Conn, endedAt time.Time, addresses ...string) (open, endedTogether bool) {
	others := e.others(c, endedAt, addresses)
	return others.open > 0, others.open == 0 && together(others.ends, others.at)
}

// EarlierOpen reports whether a connection to the address of the given one is open that was opened before it, so that it leads to no
// later process.
func (e *Tracker) EarlierOpen(c *Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	open, _ := e.at(c.address, c, c.openedAt)
	return open > 0
}

// EndOfAnswer is what the connections to a replica show of the end of an answer on one of them.
type EndOfAnswer struct {
	Idle  time.Duration // from the last bytes of the answer to its end; 0 if unknown
	Open  int           // other connections to the replica that live on
	Ended int           // other connections to the replica that ended with it and would have lived on
	// Elsewhere is the number of other replicas with connections that ended with it and would have lived on. It is not set
	// if those to its replica show a cut.
	Elsewhere int
	// Near and NearElsewhere are Ended and Elsewhere of a longer time. AtOnce is the number of other connections to the replica that
	// ended in the same instant with an answer which ends its connection, but not right after its last bytes: what holds up the bytes
	// of several sound answers lets them go together.
	Near, NearElsewhere, AtOnce int
	// Apart means that the end would count as one of AtOnce for other answers.
	Apart bool
	// Cut means that more connections to the replica ended with the answer than by chance: if the replica's process
	// lives on, something between this host and the replica has ended them.
	Cut bool
}

// EndOfAnswer returns what the connections to the address of the given one show of the end of the answer on it, which was read at the
// given time. What ends a share of the connections of this host may leave those to this replica alone, and shows at other replicas.
func (e *Tracker) EndOfAnswer(c *Conn, endedAt time.Time) EndOfAnswer {
	others := e.others(c, endedAt, []string{c.address})
	seen := EndOfAnswer{Open: others.open}
	cuts := e.recentCuts(others.at)
	seen.Ended, seen.Cut = cut(others.ends, others.at, others.open > 0, cuts)
	elsewhere := e.elsewhere(c, endedAt)
	if !seen.Cut {
		seen.Elsewhere, seen.Cut = cutElsewhere(elsewhere, others.at, others.open > 0, cuts)
	}
	seen.Near, seen.AtOnce = near(others.ends, others.at)
	for _, ends := range elsewhere {
		if n, _ := near(ends, others.at); n > 0 {
			seen.NearElsewhere++
		}
	}
	if end, _, ended := c.state(); ended {
		seen.Apart = end.expected && end.apart
	}
	if seen.Cut {
		e.noteCut(others.at)
	}
	if info := TCPInfo(c.raw); info != nil && info.Last_data_recv > info.Last_ack_recv {
		seen.Idle = time.Duration(info.Last_data_recv-info.Last_ack_recv) * time.Millisecond
	}
	return seen
}

// noteCut records that connections were cut at the given time.
func (e *Tracker) noteCut(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cuts = append(e.cuts[max(len(e.cuts)-maxEnds+1, 0):], at)
}

// recentCuts returns the moments before the given time at which connections were cut and of which ends are still kept.
func (e *Tracker) recentCuts(at time.Time) []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cuts = slices.DeleteFunc(e.cuts, func(t time.Time) bool { return at.Sub(t) > 2*endRetention })
	return slices.Clone(e.cuts)
}

// AwaitOthers waits for the given time after the end of an answer, or until the context ends, so that the ends of other
// connections which ended together with it can arrive. It returns at once if no other one is open.
func (e *Tracker) AwaitOthers(ctx context.Context, c *Conn, endedAt time.Time, within time.Duration) {
	if !e.anyBeside(c) {
		return
	}
	timer := time.NewTimer(time.Until(endedAt.Add(within)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// anyBeside reports whether any other connection is open.
func (e *Tracker) anyBeside(except *Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, conns := range e.open {
		for c := range conns {
			if c != except {
				return true
			}
		}
	}
	return false
}

// otherEnds are the connections at some addresses other than that of an answer.
type otherEnds struct {
	at   time.Time // when the answer ended
	open int
	ends []connEnd
}

// others returns the connections that were opened before the given time, when the end of the answer was read.
func (e *Tracker) others(c *Conn, endedAt time.Time, addresses []string) otherEnds {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := otherEnds{at: c.EndedAt(endedAt)}
	for _, address := range addresses {
		open, ended := e.at(address, c, endedAt)
		found.open += open
		found.ends = append(found.ends, ended...)
	}
	return found
}

// at returns the number of open connections to an address, and the ends of others, of those other than the given one that
// were opened before the given time. The caller holds e.mu.
func (e *Tracker) at(address string, except *Conn, openedBefore time.Time) (open int, ended []connEnd) {
	for _, end := range e.ended[address] {
		if end.conn != except && !end.openedAt.After(openedBefore) {
			ended = append(ended, end)
		}
	}
	for other := range e.open[address] {
		if other == except || other.openedAt.After(openedBefore) {
			continue
		}
		end, isOpen, isEnded := other.state()
		if isOpen {
			open++
		}
		if isEnded {
			ended = append(ended, end)
			e.noteEnd(address, &end)
		}
	}
	return open, ended
}

// elsewhere returns the ends of connections to each other address than that of the given one.
func (e *Tracker) elsewhere(c *Conn, endedAt time.Time) (ends [][]connEnd) {
	e.mu.Lock()
	defer e.mu.Unlock()
	addresses := make(map[string]struct{})
	for address := range e.ended {
		addresses[address] = struct{}{}
	}
	for address := range e.open {
		addresses[address] = struct{}{}
	}
	delete(addresses, c.address)
	for address := range addresses {
		if _, ended := e.at(address, nil, endedAt); len(ended) > 0 {
			ends = append(ends, ended)
		}
	}
	return ends
}

// cut returns the number of connections that ended at the given time, of those that would have lived on, and whether that
// shows a common cause: a replica may close connections without notice at any time, so that they must be more than the
// moments at which others ended before, other than cuts. A replica may break off one answer by itself, too. It does not close a
// connection that has just been used for a question, so that one of these suffices, or two where it states no time for which it keeps idle
// ones.
func cut(ends []connEnd, at time.Time, anyOpen bool, cuts []time.Time) (then int, common bool) {
	within := togetherTime(anyOpen)
	answering, reserved, reservedAtWill := 0, 0, 0
	var before []time.Time
	for _, end := range ends {
		after := end.at.Sub(at)
		switch {
		case end.atWill && end.reserved && after.Abs() <= endedAtOnceTime:
			reservedAtWill++
		case end.expected || end.atWill:
		case after.Abs() <= within:
			then++
			if end.answering {
				answering++
			}
			if end.reserved {
				reserved++
			}
		case after < 0 && after > -endRetention:
			before = append(before, end.at)
		}
	}
	return then, reserved > 0 || reservedAtWill > 1 || then > moments(before, cuts) && (then > answering || answering > 1)
}

// togetherTime returns the time within which connections end that one cause ends. Others that live on show that nothing delays the ends.
func togetherTime(anyOpen bool) time.Duration {
	if anyOpen {
		return endedAtOnceTime
	}
	return endedTogetherTime
}

// cutElsewhere returns the number of other addresses with connections that ended at the given time, of those that would have
// lived on, and whether that shows a common cause: a process that ends causes it at one address only.
func cutElsewhere(ends [][]connEnd, at time.Time, anyOpen bool, cuts []time.Time) (addresses int, common bool) {
	within, reserved := togetherTime(anyOpen), 0
	var before []time.Time
	for _, ofAddress := range ends {
		then, ofReserved := false, false
		for _, end := range ofAddress {
			after := end.at.Sub(at)
			switch {
			case end.expected || end.atWill:
			case after.Abs() <= within:
				then, ofReserved = true, ofReserved || end.reserved
			case after < 0 && after > -endRetention:
				before = append(before, end.at)
			}
		}
		if then {
			addresses++
		}
		if ofReserved {
			reserved++
		}
	}
	return addresses, reserved > 1 || addresses > max(1, moments(before, cuts))
}

// moments returns the number of moments at which connections ended, other than by a cut.
func moments(ends, cuts []time.Time) (n int) {
	slices.SortFunc(ends, time.Time.Compare)
	var moment time.Time
	for _, t := range ends {
		byCut := slices.ContainsFunc(cuts, func(at time.Time) bool { return t.Sub(at).Abs() <= endedTogetherTime })
		if !byCut && (n == 0 || t.Sub(moment) > endedAtOnceTime) {
			n, moment = n+1, t
		}
	}
	return n
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
