package fleet

import (
	"math"
	"time"
)

const (
	// classTimeConstant is the time constant with which the request counts decay: long
	// enough to cover a few requests of each priority, short enough that requests of lower
	// priority are soon admitted again.
	classTimeConstant = 2 * time.Second
	// minRefusedShare is the share of refused requests below which a priority holds back
	// no other. Single prompts that are too long are refused even where there is capacity.
	minRefusedShare = 0.01
	// maxRefusedShare is the share of refused requests from which larger requests of lower
	// priority are not admitted at all. It is half of the twelfth that the operators' rule
	// allows.
	maxRefusedShare = 1.0 / 24
	// minRefusals is the decayed count of refusals, over all hosts, from which
	// maxRefusedShare applies. Half the rate that the rule allows (ten in five seconds)
	// gives a decayed count of 2.
	minRefusals = 2
	// lowerPriorityBacklogShare is the share of the backlog at which a request was refused
	// that requests of lower priority may join. The rest is left to the next request of
	// the higher priority, even where hosts learn of each other's requests late.
	lowerPriorityBacklogShare = 0.5
)

// ClassCount counts the requests of one priority on one host since its start.
type ClassCount struct {
	Upstream string
	Priority int
	Sent     uint64 // all requests, including the refused ones
	Refused  uint64 // refused because of the backlog ahead of them
}

// admission tracks how many requests of each priority an upstream recently
// refused, over all hosts, and holds back requests of lower priority accordingly.
type admission struct {
	classes map[int]*classStats // by priority
}

// classStats holds the request counts of one priority.
type classStats struct {
	// Decaying counts of all hosts, as of at.
	at            time.Time
	sent, refused float64
	tokens        float64 // unread prompt tokens of the requests that this host refused

	backlog        time.Duration         // shortest backlog at which this host recently refused a request
	localCounts    ClassCount            // this host, since its start
	neighborCounts ClassCount            // sum of the increases reported by hosts of this zone; never decreases
	reported       map[string]peerReport // latest report of each host
}

// peerReport is a report of another host and when it arrived.
type peerReport struct {
	ClassCount
	at time.Time
}

// class returns the counts of a priority and creates them if needed.
func (a *admission) class(priority int) *classStats {
	if a.classes == nil {
		a.classes = make(map[int]*classStats)
	}
	c, ok := a.classes[priority]
	if !ok {
		c = &classStats{reported: make(map[string]peerReport)}
		a.classes[priority] = c
	}
	return c
}

// decay ages the decaying counts to now.
func (c *classStats) decay(now time.Time) {
	if !now.After(c.at) {
		return
	}
	factor := math.Exp(-float64(now.Sub(c.at)) / float64(classTimeConstant))
	c.at, c.sent, c.refused, c.tokens = now, factor*c.sent, factor*c.refused, factor*c.tokens
}

// recordServed counts an admitted request.
func (a *admission) recordServed(priority int, now time.Time) {
	c := a.class(priority)
	c.decay(now)
	c.sent++
	c.localCounts.Sent++
}

// recordRefused counts a request that was refused because of a backlog. tokens is the
// number of its unread prompt tokens.
func (a *admission) recordRefused(priority, tokens int, backlog time.Duration, now time.Time) {
	c := a.class(priority)
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

// apply adds the increase since the previous report of the same host. neighbor means that
// the host is in this host's availability zone.
func (c *classStats) apply(host string, neighbor bool, reported ClassCount, now time.Time) {
	previous, ok := c.reported[host]
	c.reported[host] = peerReport{ClassCount: reported, at: now}
	if !ok || now.Sub(previous.at) > classTimeConstant || reported.Sent < previous.Sent || reported.Refused < previous.Refused {
		return // the period of the increase is unknown, or the process restarted
	}
	c.decay(now)
	sent, refused := reported.Sent-previous.Sent, reported.Refused-previous.Refused
	c.sent += float64(sent)
	c.refused += float64(refused)
	if neighbor {
		c.neighborCounts.Sent += sent
		c.neighborCounts.Refused += refused
	}
}

// admits reports whether a request with the given number of unread prompt tokens may join
// a backlog. Recent refusals of higher priorities limit the backlog: the larger their
// share, the shorter the backlog that may be joined. At the highest shares large requests
// are not admitted even on an idle replica, where they would take the capacity of several
// smaller ones.
func (a *admission) admits(priority, tokens int, backlog time.Duration, now time.Time) bool {
	for otherPriority, c := range a.classes {
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

// ClassCounts returns the request counts of this host, for the other hosts.
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

// ZoneCounts returns the combined request counts of this host and its neighbors in the
// zone. The neighbors' part grows only by increases between reports, so a neighbor that is
// heard again after a silence does not add all its requests at once.
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

// ApplyClassCounts applies the request counts of another host, or those of an availability
// zone under a name of its own.
func (f *Fleet) ApplyClassCounts(host string, neighbor bool, counts []ClassCount, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, count := range counts {
		if p, ok := f.pools[count.Upstream]; ok && p.upstream.Engine != nil {
			p.admission.class(count.Priority).apply(host, neighbor, count, now)
		}
	}
}
