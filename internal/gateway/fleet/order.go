package fleet

import (
	"math"
	"time"
)

const (
	// refusalTimeConstant is the time constant with which the request counts decay: long
	// enough to cover a few requests of each priority, short enough that requests of lower
	// priority are soon admitted again.
	refusalTimeConstant = 2 * time.Second
	// minRefusedShare is the share of refused requests below which a priority holds back
	// no other. Single prompts that are too long are refused even where there is capacity.
	minRefusedShare = 0.01
	// noBacklogShare is the share of refused requests from which requests of lower
	// priority may not join any backlog. Those larger than the refused ones are then not
	// admitted even on idle replicas, see minRefusals. The value is half of the twelfth
	// that the operators' rule allows: a class must not have ten or more requests refused
	// within five seconds, and more than a twelfth of its requests, while requests of lower
	// priority and more than twice their size are admitted.
	noBacklogShare = 1.0 / 24
	// minRefusals is the decayed count of refusals, over all hosts, from which large
	// requests of lower priority are not admitted on idle replicas. While the count is
	// below it, each refusal also replaces the shortest backlog of a refusal. Half the rate
	// that the operators' rule allows gives a decayed count of 2.
	minRefusals = 2
	// minShareRequests is the smallest number of requests that the share of refused ones is taken
	// of. With fewer, a single refusal would count as a large share and hold back all requests of
	// lower priority, whose refusals would then do the same to those below them. The value makes
	// minRefusals refusals of few requests count as noBacklogShare.
	minShareRequests = minRefusals / noBacklogShare
	// lowerPriorityBacklogShare limits requests of lower priority to this share of the
	// shortest backlog at which a request was refused. The rest is left to the next request
	// of the higher priority, even where hosts learn of each other's requests late.
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
	byPriority map[int]*priorityStats
}

// priorityStats holds the request counts of one priority.
type priorityStats struct {
	// Decaying counts of all hosts, as of at.
	at            time.Time
	sent, refused float64
	tokens        float64 // unread prompt tokens of the requests that this host, not others, refused

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

// statsFor returns the counts of a priority and creates them if needed.
func (a *admission) statsFor(priority int) *priorityStats {
	if a.byPriority == nil {
		a.byPriority = make(map[int]*priorityStats)
	}
	c, ok := a.byPriority[priority]
	if !ok {
		c = &priorityStats{reported: make(map[string]peerReport)}
		a.byPriority[priority] = c
	}
	return c
}

// decay ages the decaying counts to now.
func (c *priorityStats) decay(now time.Time) {
	if !now.After(c.at) {
		return
	}
	factor := math.Exp(-float64(now.Sub(c.at)) / float64(refusalTimeConstant))
	c.at, c.sent, c.refused, c.tokens = now, factor*c.sent, factor*c.refused, factor*c.tokens
}

// recordAdmitted counts an admitted request.
func (a *admission) recordAdmitted(priority int, now time.Time) {
	c := a.statsFor(priority)
	c.decay(now)
	c.sent++
	c.localCounts.Sent++
}

// recordRefused counts a request that was refused because of a backlog or of refusals
// of a higher priority. tokens is the number of its unread prompt tokens.
func (a *admission) recordRefused(priority, tokens int, backlog time.Duration, now time.Time) {
	c := a.statsFor(priority)
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
func (c *priorityStats) apply(host string, neighbor bool, reported ClassCount, now time.Time) {
	previous, ok := c.reported[host]
	c.reported[host] = peerReport{ClassCount: reported, at: now}
	if !ok || now.Sub(previous.at) > refusalTimeConstant || reported.Sent < previous.Sent || reported.Refused < previous.Refused {
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
// share, the shorter the backlog that may be joined. From noBacklogShare and minRefusals on,
// large requests are not admitted even on an idle replica, where they would take the capacity
// of several smaller ones. Large are those with more tokens than c.tokens/c.refused; as
// tokens are counted on this host and refusals on all, this is at most the mean size of a
// request refused by this host.
func (a *admission) admits(priority, tokens int, backlog time.Duration, now time.Time) bool {
	for otherPriority, c := range a.byPriority {
		if otherPriority >= priority {
			continue
		}
		c.decay(now)
		share := c.refused / max(c.sent, minShareRequests)
		if share < minRefusedShare {
			continue
		}
		maxBacklog := time.Duration(lowerPriorityBacklogShare * max(1-share/noBacklogShare, 0) * float64(c.backlog))
		if backlog > maxBacklog {
			return false
		}
		if share >= noBacklogShare && c.refused >= minRefusals && float64(tokens) > c.tokens/c.refused {
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
		for priority, c := range p.admission.byPriority {
			if c.localCounts.Sent > 0 {
				out = append(out, ClassCount{Upstream: name, Priority: priority, Sent: c.localCounts.Sent, Refused: c.localCounts.Refused})
			}
		}
	}
	return out
}

// ZoneCounts returns the combined request counts of this host and its neighbors in the
// zone. The neighbors' part grows only by increases between reports, so a neighbor that
// reports again after a silence does not add all its requests at once.
func (f *Fleet) ZoneCounts() []ClassCount {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []ClassCount
	for name, p := range f.pools {
		for priority, c := range p.admission.byPriority {
			out = append(out, ClassCount{
				Upstream: name, Priority: priority, Sent: c.localCounts.Sent + c.neighborCounts.Sent, Refused: c.localCounts.Refused + c.neighborCounts.Refused,
			})
		}
	}
	return out
}

// ApplyClassCounts applies the request counts of another host, or those of an availability
// zone; host is then a name that stands for the zone.
func (f *Fleet) ApplyClassCounts(host string, neighbor bool, counts []ClassCount, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, count := range counts {
		if p, ok := f.pools[count.Upstream]; ok && p.upstream.Engine != nil {
			p.admission.statsFor(count.Priority).apply(host, neighbor, count, now)
		}
	}
}
