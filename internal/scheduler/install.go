package scheduler

import (
	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/limits"
	"heatherbarrow/internal/scheduling/retry"
)

// install brings a bundle into force and moves the waiting and running requests
// over to its indexes.
func (s *Scheduler) install(snapshot *bundle.Snapshot) {
	waiting := s.allWaiting()
	for _, t := range waiting {
		s.leave(t)
	}
	s.previous, s.snapshot = s.snapshot, snapshot
	s.installClasses()
	s.installUpstreams()
	s.moveRunning()
	for _, t := range waiting {
		s.moveWaiting(t)
	}
}

func (s *Scheduler) installClasses() {
	for _, c := range s.known {
		c.index = -1
	}
	s.classes = s.classes[:0]
	for i := range s.snapshot.Bundle.Classes {
		definition := &s.snapshot.Bundle.Classes[i]
		c, ok := s.known[definition.Name]
		if !ok {
			c = &class{
				slot:        len(s.known),
				outstanding: make(map[*limits.Team]int),
				budget:      retry.New(s.opts.Clock, definition.RetryBudget),
			}
			s.known[definition.Name] = c
		}
		c.Class = definition
		c.index = i
		c.budget.SetShare(definition.RetryBudget)
		s.classes = append(s.classes, c)
	}
	total := 0.0
	for i := range s.snapshot.Bundle.Teams {
		total += s.snapshot.Bundle.Teams[i].TokensPerSecond
	}
	s.meanEntitlement = total / float64(max(len(s.snapshot.Bundle.Teams), 1))
}

func (s *Scheduler) installUpstreams() {
	s.upstreams = s.upstreams[:0]
	clear(s.pools)
	s.poolList = nil
	for _, u := range s.byName {
		u.pools = nil
		u.grow(len(s.known))
	}
	for i := range s.snapshot.Bundle.Upstreams {
		s.upstreams = append(s.upstreams, s.upstream(s.snapshot.Bundle.Upstreams[i].Name))
	}
}

// upstream returns the state of the named upstream and creates it when needed.
func (s *Scheduler) upstream(name string) *upstream {
	u, ok := s.byName[name]
	if !ok {
		u = &upstream{name: name}
		u.grow(len(s.known))
		s.byName[name] = u
	}
	return u
}

func (u *upstream) grow(classes int) {
	for len(u.running) < classes {
		u.running = append(u.running, 0)
	}
}

// moveRunning renumbers the running requests. The class or team of a request may
// be gone; it then keeps indexes that exist, as only its replica matters.
func (s *Scheduler) moveRunning() {
	for _, u := range s.byName {
		for tier := range u.lists {
			for a := u.lists[tier].newest; a != nil; a = a.older {
				if !remap(&a.ticket.request, s.previous, s.snapshot) {
					a.ticket.request.Class = 0
					a.ticket.request.Team = 0
					a.ticket.request.Upstreams = nil
				}
			}
		}
	}
}

func (s *Scheduler) moveWaiting(t *Ticket) {
	if !remap(&t.request, s.previous, s.snapshot) {
		s.refuse(t, &scheduling.RefusedError{Reason: scheduling.ReasonNoReplica, RetryAfter: noBundleRetry})
		return
	}
	p := s.pool(&t.request)
	s.attach(t, s.lane(p, t.class, t.lane.restricted))
}

// remap renumbers the request from one bundle to another. It returns false when
// its class, its team or all of its upstreams are gone.
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
	for _, i := range r.Upstreams {
		if _, u, ok := to.Upstream(from.Bundle.Upstreams[i].Name); ok && to.UpstreamServes(u, class) {
			upstreams = append(upstreams, u)
		}
	}
	r.Class, r.Team, r.Upstreams = class, team, upstreams
	r.Generation = to.Generation
	return len(upstreams) > 0
}
