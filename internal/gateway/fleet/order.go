package fleet

import (
	"math"
	"time"
)

const (
	// orderMemory is the time constant of the counts of requests: long enough for a few
	// requests of each class, short enough that less urgent requests return soon.
	classTimeConstant = 2 * time.Second
	// leastRefused is the share of refused requests below which a class holds no other
	// back: single prompts that are too long are refused also where there is room.
	minRefusedShare = 0.01
	// mostRefused is the share at which larger less urgent requests are not served at
	// all; half of the twelfth that the operators' rule allows.
	maxRefusedShare = 1.0 / 24
	// leastCount is the count of refusals, of all hosts, from which mostRefused counts: at
	// half the pace that the rule allows, ten in five seconds, the decayed count is 2.
	minRefusals = 2
	// orderShare is the part of the backlog at which a more urgent request was refused
	// that less urgent ones may join. What they leave free is room for the next more
	// urgent one, also where hosts see each other's work late.
	lowerPriorityBacklogShare = 0.5
)

// ClassCount is what became of the requests of one priority on one host, since its start.
type ClassCount struct {
	Upstream string
	Priority int
	Sent     uint64
	Refused  uint64 // because of what was ahead of them
}

// order keeps what share of the requests of each priority an upstream had no room for of
// late, over all hosts.
type priorityAdmission struct {
	classes map[int]*classStats // by priority
}

// classOrder is what became of the requests of one priority.
type classStats struct {
	// Decaying counts of all hosts.
	at            time.Time
	sent, refused float64
	tokens        float64 // unread prompt tokens of this host's refused requests

	backlog        time.Duration        // the shortest at which this host refused one of late
	localCounts    ClassCount           // of this host
	neighborCounts ClassCount           // of its neighbors, as far as they told of them; never falls
	peerCounts     map[string]peerCount // by other hosts, the last of each
}

type peerCount struct {
	ClassCount
	at time.Time
}

func (o *priorityAdmission) class(priority int) *classStats {
	if o.classes == nil {
		o.classes = make(map[int]*classStats)
	}
	c, ok := o.classes[priority]
	if !ok {
		c = &classStats{peerCounts: make(map[string]peerCount)}
		o.classes[priority] = c
	}
	return c
}

func (c *classStats) decay(now time.Time) {
	if !now.After(c.at) {
		return
	}
	factor := math.Exp(-float64(now.Sub(c.at)) / float64(classTimeConstant))
	c.at, c.sent, c.refused, c.tokens = now, factor*c.sent, factor*c.refused, factor*c.tokens
}

// served counts a request that began.
func (o *priorityAdmission) recordServed(priority int, now time.Time) {
	c := o.class(priority)
	c.decay(now)
	c.sent++
	c.localCounts.Sent++
}

// refusedAt counts a request that was refused because of a backlog.
func (o *priorityAdmission) recordRefused(priority, tokens int, backlog time.Duration, now time.Time) {
	c := o.class(priority)
	c.decay(now)
	if c.refused < minRefusals {
		c.backlog = backlog
	}
	c.backlog = min(c.backlog, backlog)
	c.sent++
	c.refused++
	c.tokens += float64(tokens)
	c.localCounts.Sent++
	c.localCounts.Refused++
}

// apply counts what another host tells beyond what it told before. neighbor tells that it
// is of this host's availability zone.
func (c *classStats) apply(host string, neighbor bool, count ClassCount, now time.Time) {
	previous, ok := c.peerCounts[host]
	c.peerCounts[host] = peerCount{ClassCount: count, at: now}
	if !ok || now.Sub(previous.at) > classTimeConstant || count.Sent < previous.Sent || count.Refused < previous.Refused {
		return // of an unknown time, or of a process that started again
	}
	c.decay(now)
	sent, refused := count.Sent-previous.Sent, count.Refused-previous.Refused
	c.sent += float64(sent)
	c.refused += float64(refused)
	if neighbor {
		c.neighborCounts.Sent += sent
		c.neighborCounts.Refused += refused
	}
}

// admits tells whether the order of priorities lets a request of so many unread prompt
// tokens join a backlog. More urgent ones that were refused of late hold it back: the
// more of them, the shorter the backlog, and in the end also on an idle replica, where
// it would take the room of several.
func (o *priorityAdmission) admits(priority, tokens int, backlog time.Duration, now time.Time) bool {
	for otherPriority, c := range o.classes {
		if otherPriority >= priority {
			continue
		}
		c.decay(now)
		share := c.refused / max(c.sent, 1)
		if share < minRefusedShare {
			continue
		}
		maxBacklog := time.Duration(lowerPriorityBacklogShare * max(1-share/maxRefusedShare, 0) * float64(c.backlog))
		if backlog > maxBacklog {
			return false
		}
		if share >= maxRefusedShare && c.refused >= minRefusals && float64(tokens) > c.tokens/c.refused {
			return false
		}
	}
	return true
}

// ClassCounts returns what became of this host's requests, for the other hosts.
func (f *Fleet) ClassCounts() []ClassCount {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []ClassCount
	for name, p := range f.pools {
		for priority, c := range p.admission.classes {
			if c.localCounts.Sent > 0 {
				out = append(out, ClassCount{Upstream: name, Priority: priority, Sent: c.localCounts.Sent, Refused: c.localCounts.Refused})
			}
		}
	}
	return out
}

// ZoneCounts returns what became of the requests of this host and of its neighbors. The
// counts rise by what neighbors newly tell: a neighbor that comes back after a silence does
// not bring all that it ever counted.
func (f *Fleet) ZoneCounts() []ClassCount {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []ClassCount
	for name, p := range f.pools {
		for priority, c := range p.admission.classes {
			out = append(out, ClassCount{
				Upstream: name, Priority: priority, Sent: c.localCounts.Sent + c.neighborCounts.Sent, Refused: c.localCounts.Refused + c.neighborCounts.Refused,
			})
		}
	}
	return out
}

// ApplyClassCounts takes what became of the requests of another host, or of those of an
// availability zone under a name of its own.
func (f *Fleet) ApplyClassCounts(host string, neighbor bool, counts []ClassCount, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, count := range counts {
		if p, ok := f.pools[count.Upstream]; ok && p.upstream.Engine != nil {
			p.admission.class(count.Priority).apply(host, neighbor, count, now)
		}
	}
}
