package scheduler

import (
	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/limits"
	"heatherbarrow/internal/scheduling/retry"
)

// installBundle makes the bundle the current one and converts the indexes of the
// waiting and running requests to it.
func (s *Scheduler) installBundle(snapshot *bundle.Snapshot) {
	waiting := s.allWaiting()
	for _, t := range waiting {
		s.removeFromQueue(t)
	}
	s.previousSnapshot, s.snapshot = s.snapshot, snapshot
	s.installClasses()
	s.installUpstreams()
	s.remapRunning()
	for _, t := range waiting {
		s.remapWaiting(t)
	}
}

// installClasses rebuilds the class list from the current bundle and keeps the state
// of known classes.
func (s *Scheduler) installClasses() {
	for _, c := range s.classesByName {
		c.index = -1
	}
	s.classes = s.classes[:0]
	for i := range s.snapshot.Bundle.Classes {
		definition := &s.snapshot.Bundle.Classes[i]
		c, ok := s.classesByName[definition.Name]
		if !ok {
			c = &class{
				counterIndex:      len(s.classesByName),
				outstandingByTeam: make(map[*limits.Team]int),
				retryBudget:       retry.New(s.opts.Clock, definition.RetryBudget),
			}
			s.classesByName[definition.Name] = c
		}
		c.Class = definition
		c.index = i
		c.retryBudget.SetShare(definition.RetryBudget)
		s.classes = append(s.classes, c)
	}
	total := 0.0
	for i := range s.snapshot.Bundle.Teams {
		total += s.snapshot.Bundle.Teams[i].TokensPerSecond
	}
	s.meanEntitlement = total / float64(max(len(s.snapshot.Bundle.Teams), 1))
}

// installUpstreams rebuilds the upstream list from the current bundle, keeps the
// state of known upstreams and discards all pools.
func (s *Scheduler) installUpstreams() {
	s.upstreams = s.upstreams[:0]
	clear(s.pools)
	s.poolList = nil
	for _, u := range s.upstreamsByName {
		u.pools = nil
		u.growCounters(len(s.classesByName))
	}
	for i := range s.snapshot.Bundle.Upstreams {
		s.upstreams = append(s.upstreams, s.upstream(s.snapshot.Bundle.Upstreams[i].Name))
	}
}

// upstream returns the state of the named upstream and creates it if necessary.
func (s *Scheduler) upstream(name string) *upstream {
	u, ok := s.upstreamsByName[name]
	if !ok {
		u = &upstream{name: name}
		u.growCounters(len(s.classesByName))
		s.upstreamsByName[name] = u
	}
	return u
}

// growCounters extends the per-class counters to the given number of classes.
func (u *upstream) growCounters(classes int) {
	for len(u.running) < classes {
		u.running = append(u.running, 0)
	}
}

// remapRunning converts the indexes of the running requests. A request that remap
// cannot convert gets class 0, team 0 and no upstreams: these are valid, and only the
// replica of a running request matters.
func (s *Scheduler) remapRunning() {
	for _, u := range s.upstreamsByName {
		for tier := range u.runningByTier {
			for a := u.runningByTier[tier].newest; a != nil; a = a.older {
				if !remap(&a.ticket.request, s.previousSnapshot, s.snapshot) {
					a.ticket.request.Class = 0
					a.ticket.request.Team = 0
					a.ticket.request.Upstreams = nil
				}
			}
		}
	}
}

// remapWaiting converts the indexes of a waiting request and queues it again, or
// refuses it when remap cannot convert it.
func (s *Scheduler) remapWaiting(t *Ticket) {
	if !remap(&t.request, s.previousSnapshot, s.snapshot) {
		s.refuse(t, &scheduling.RefusedError{Reason: scheduling.ReasonNoReplica, RetryAfter: noBundleRetryAfter})
		return
	}
	p := s.pool(&t.request)
	s.addToQueue(t, s.classQueue(p, t.class, t.classQueue.restricted))
}

// remap converts the request's indexes from one bundle to another and drops the
// upstreams that no longer exist or no longer serve the class. It returns false when
// the class or the team no longer exists or no upstream remains; in the latter case
// the request has been changed nevertheless.
func remap(r *scheduling.Request, from, to *bundle.Snapshot) bool {
	if r.Class >= len(from.Bundle.Classes) || r.Team >= len(from.Bundle.Teams) {
		return false
	}
	_, class, classOK := to.Class(from.Bundle.Classes[r.Class].Name)
	_, team, teamOK := to.Team(from.Bundle.Teams[r.Team].Name)
	if !classOK || !teamOK {
		return false
	}
	upstreams := make([]int, 0, len(r.Upstreams))
	for _, oldIndex := range r.Upstreams {
		if _, u, ok := to.Upstream(from.Bundle.Upstreams[oldIndex].Name); ok && to.UpstreamServes(u, class) {
			upstreams = append(upstreams, u)
		}
	}
	r.Class, r.Team, r.Upstreams = class, team, upstreams
	r.Generation = to.Generation
	return len(upstreams) > 0
}
