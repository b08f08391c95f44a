// Package requestlimit bounds the requests that all hosts together send to a replica which states
// a limit in its answers: the requests per second that it takes. It performs no I/O and takes the
// time as an argument.
//
// A limit is divided into equal parts of at least one request per second, or is a single part if
// it is lower. The hosts are ordered by the replica, and each of the first ones holds a part, which
// it may use without asking others. The hosts tell each other what they know of the limit and how
// many requests they sent; from that, each host counts the requests of all hosts in a token bucket,
// which no host overdraws knowingly. The hosts that follow those with a part may use tokens that
// stay unused. Parts shrink while hosts are silent, because a silent host may be cut off and go on
// using its part.
package requestlimit

import (
	"math"
	"strconv"
	"time"
)

const (
	// minPartPerSecond is the smallest part of a limit. With smaller ones the hosts would hold
	// more unused tokens, which they could all spend at the same moment, than the replica takes
	// in a second.
	minPartPerSecond = 1.0
	// burstTime is the time whose requests a host may send to the replica at once, if its part is
	// large enough for more than one.
	burstTime = 250 * time.Millisecond
	// substitutes is the number of hosts, after those with a part, that may use unused tokens.
	substitutes = 3
	// minPerSecond is the lowest limit that is applied: a replica that takes no requests still
	// gets one in ten seconds, as only an answer shows that the limit has ended.
	minPerSecond = 0.1
	// staleAfter is the age of a statement from which the other hosts too may use unused tokens, one
	// after the other, to learn whether the limit still holds.
	staleAfter = 30 * time.Second
	// endReportTime is how long other hosts are told that a limit has ended.
	endReportTime = 10 * time.Second
	// reportLifetime is how long a host's previous report is compared with the next one. The
	// requests in between are not counted after a longer gap, as they may have been counted by
	// way of another host.
	reportLifetime = 2 * time.Second
	// minReportAdvance is how much later than the known statement an equal one of a report must be.
	// The age of a statement does not include the time that the report took, so that statements
	// which hosts report to each other would otherwise seem newer each time.
	minReportAdvance = 500 * time.Millisecond
	// neverWait is the wait of a host that may not send any requests to the replica.
	neverWait = time.Duration(math.MaxInt64)
)

// Statement is what a replica's answer says of its request limit.
type Statement struct {
	Limited   bool    // false if the replica states no limit
	PerSecond float64 // valid if Limited
}

// Parse reads the value of a header that states a limit; without a value, the answer states none.
// ok is false if the value is not a limit.
func Parse(text string) (s Statement, ok bool) {
	if text == "" {
		return Statement{}, true
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || !(perSecond >= 0) || math.IsInf(perSecond, 1) {
		return Statement{}, false
	}
	return Statement{Limited: true, PerSecond: perSecond}, true
}

// Report is what a host, or the hosts of an availability zone together, tell others of a limit.
type Report struct {
	Statement
	Age  time.Duration // since the statement was made
	Sent uint64        // requests that the host, or the zone's hosts, sent to the replica; only differences count
}

// Known is the newest statement of a replica that a host knows of.
type Known struct {
	Statement
	At time.Time // when it was made; zero if the replica never stated a limit
}

// Observe applies a statement of an answer and reports whether it changed the one in force. A
// statement that is older than the one in force is ignored.
func (k *Known) Observe(s Statement, at time.Time) (changed bool) {
	if at.Before(k.At) || !s.Limited && !k.Limited {
		return false
	}
	changed = s != k.Statement
	k.Statement, k.At = s, at
	return changed
}

// ObserveReport applies a statement that another host reports, with the age that the report gives
// it, and reports whether it changed the one in force.
func (k *Known) ObserveReport(s Statement, age time.Duration, now time.Time) (changed bool) {
	at := now.Add(-age)
	if s == k.Statement && at.Sub(k.At) < minReportAdvance {
		return false
	}
	return k.Observe(s, at)
}

// Reportable reports whether other hosts are to be told of the statement: it states a limit, or
// ended one recently.
func (k *Known) Reportable(now time.Time) bool {
	return k.Limited || !k.At.IsZero() && now.Sub(k.At) < endReportTime
}

// Limit is a host's state of the request limit of one replica. The zero value is a replica that
// has not stated a limit.
type Limit struct {
	known Known

	sent         uint64 // requests of this host
	neighborSent uint64 // sum of the increases that hosts of this zone reported
	reported     map[string]hostReport

	refilled time.Time // when the tokens were last refilled
	tokens   float64   // of the limit, for the requests of all hosts; negative after an overdraft
	own      float64   // of this host's part
	unused   time.Time // since when the bucket has been full; zero if it is not

	hosts    *Hosts // for which position was computed
	position int
}

// hostReport is the latest report of a host and when it arrived.
type hostReport struct {
	sent uint64
	at   time.Time
}

// Current returns the statement in force.
func (l *Limit) Current() Statement { return l.known.Statement }

// LastStated returns when the statement in force was made.
func (l *Limit) LastStated() time.Time { return l.known.At }

// Observe applies a statement of an answer and reports whether it changed the one in force.
func (l *Limit) Observe(s Statement, at, now time.Time) (changed bool) {
	return l.update(now, func() bool { return l.known.Observe(s, at) })
}

// ObserveReport applies a statement that another host reports, and reports whether it changed the
// one in force.
func (l *Limit) ObserveReport(s Statement, age time.Duration, now time.Time) (changed bool) {
	return l.update(now, func() bool { return l.known.ObserveReport(s, age, now) })
}

// update applies a statement and empties the buckets if it begins a limit: the first token is due
// after an interval, as requests have just been sent.
func (l *Limit) update(now time.Time, observe func() bool) (changed bool) {
	wasLimited := l.known.Limited
	changed = observe()
	if l.known.Limited && !wasLimited {
		l.refilled, l.tokens, l.own, l.unused = now, 0, 0, time.Time{}
	}
	return changed
}

// perSecond returns the limit that is applied to the hosts that this one exchanges state with.
func (l *Limit) perSecond(h *Hosts) float64 {
	return max(l.known.PerSecond, minPerSecond) * h.Reachable
}

// parts returns the number of hosts that hold a part of the limit.
func (l *Limit) parts(h *Hosts) int {
	return int(min(max(l.known.PerSecond/minPartPerSecond, 1), float64(h.count())))
}

// burst returns the number of requests that the holder of a part may send at once.
func (l *Limit) burst(h *Hosts) float64 {
	return max(l.perSecond(h)/float64(l.parts(h))*burstTime.Seconds(), 1)
}

// refill adds the tokens that are due since the last call.
func (l *Limit) refill(h *Hosts, now time.Time) {
	elapsed := now.Sub(l.refilled)
	if elapsed <= 0 {
		return
	}
	l.refilled = now
	rate, parts, burst := l.perSecond(h), float64(l.parts(h)), l.burst(h)
	l.own = min(l.own+rate/parts*elapsed.Seconds(), burst)
	tokens, capacity := l.tokens+rate*elapsed.Seconds(), parts*burst
	l.tokens = min(tokens, capacity)
	if tokens >= capacity && l.unused.IsZero() {
		l.unused = now.Add(-time.Duration((tokens - capacity) / rate * float64(time.Second)))
	}
}

// spend takes the tokens of requests that were sent. The debt is bounded, so that a replica is
// not left without requests for long after many were sent at once.
func (l *Limit) spend(h *Hosts, requests float64) {
	l.tokens = max(l.tokens-requests, -1-l.perSecond(h))
	l.unused = time.Time{}
}

// turn returns the position of this host after those that hold a part; 0 means that it holds one.
func (l *Limit) turn(h *Hosts, replica uint64, zone string) int {
	if l.hosts != h {
		l.hosts, l.position = h, h.position(replica, zone)
	}
	return max(l.position-l.parts(h)+1, 0)
}

// Allows reports whether this host may send a request to the replica now. zone is the replica's
// availability zone.
func (l *Limit) Allows(h *Hosts, replica uint64, zone string, now time.Time) bool {
	return !l.known.Limited || l.Wait(h, replica, zone, now) <= 0
}

// Wait returns the time until this host may send a request to the replica if no other host sends
// any meanwhile.
func (l *Limit) Wait(h *Hosts, replica uint64, zone string, now time.Time) time.Duration {
	if !l.known.Limited {
		return 0
	}
	l.refill(h, now)
	rate, parts := l.perSecond(h), float64(l.parts(h))
	untilTokens := func(missing, perSecond float64) time.Duration {
		return time.Duration(max(missing, 0) / perSecond * float64(time.Second))
	}
	turn := l.turn(h, replica, zone)
	if turn == 0 {
		return max(untilTokens(1-l.tokens, rate), untilTokens(1-l.own, rate/parts))
	}
	unused := l.unused
	if unused.IsZero() {
		unused = now.Add(untilTokens(parts*l.burst(h)-l.tokens, rate))
	}
	if h.ExchangeDelay == 0 {
		return neverWait
	}
	wait := unused.Add(time.Duration(min(turn, substitutes+1)) * h.ExchangeDelay).Sub(now)
	if turn > substitutes {
		wait = max(wait, l.untilSlot(h, turn, now))
	}
	return wait
}

// untilSlot returns the time until a host that is not among the substitutes may use unused tokens.
// Once the statement is stale, each host has a slot of ExchangeDelay in turn.
func (l *Limit) untilSlot(h *Hosts, turn int, now time.Time) time.Duration {
	slot, round := time.Duration(turn)*h.ExchangeDelay, time.Duration(h.count())*h.ExchangeDelay
	age := now.Sub(l.known.At) - staleAfter
	if age < 0 {
		return slot - age
	}
	if phase := age % round; phase < slot {
		return slot - phase
	} else if phase >= slot+h.ExchangeDelay {
		return slot - phase + round
	}
	return 0
}

// Take records that this host sends a request to the replica.
func (l *Limit) Take(h *Hosts, now time.Time) {
	l.sent++
	if l.known.Limited {
		l.refill(h, now)
		l.spend(h, 1)
		l.own = max(l.own-1, 0)
	}
}

// Share returns this host's mean share of the requests per second that the replica takes.
func (l *Limit) Share(h *Hosts) float64 { return l.perSecond(h) / float64(h.count()) }

// Report returns what this host tells the others. ok is false if there is nothing to tell.
func (l *Limit) Report(now time.Time) (r Report, ok bool) {
	return Report{Statement: l.known.Statement, Age: now.Sub(l.known.At), Sent: l.sent}, l.known.Reportable(now)
}

// ZoneReport returns what the hosts of this zone together tell those of other zones.
func (l *Limit) ZoneReport(now time.Time) (r Report, ok bool) {
	r, ok = l.Report(now)
	r.Sent += l.neighborSent
	return r, ok
}

// Apply applies the report of another host, or that of another zone under a name that stands for
// it, and reports whether it changed the statement in force. neighbor means that the host is in
// this host's zone.
func (l *Limit) Apply(host string, neighbor bool, r Report, h *Hosts, now time.Time) (changed bool) {
	changed = l.ObserveReport(r.Statement, r.Age, now)
	previous, ok := l.reported[host]
	if l.reported == nil {
		l.reported = make(map[string]hostReport)
	}
	l.reported[host] = hostReport{sent: r.Sent, at: now}
	if !ok || now.Sub(previous.at) > reportLifetime || r.Sent <= previous.sent {
		return changed // the first report, or none were sent, or the host was restarted
	}
	increase := r.Sent - previous.sent
	if neighbor {
		l.neighborSent += increase
	}
	if l.known.Limited {
		l.refill(h, now)
		l.spend(h, float64(increase))
	}
	return changed
}
