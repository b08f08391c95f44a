package scheduler

import (
	"time"

	"heatherbarrow/internal/scheduling"
)

// refuse resolves a waiting ticket as refused.
func (s *Scheduler) refuse(t *Ticket, refusedErr *scheduling.RefusedError) {
	s.dequeue(t)
	t.endRequest(0)
	t.classQueue.demand.Refused++
	t.refusal = refusedErr
	t.resolve(refused)
}

// refuseExpired refuses the requests whose deadline can no longer be met.
func (s *Scheduler) refuseExpired() {
	now := s.opts.Clock.Now().UnixNano()
	for n := s.expiry.Min(); n != nil && n.Key < now; n = s.expiry.Min() {
		s.refuse(n.Value, s.newRefusal(n.Value, scheduling.ReasonDeadline))
	}
}

// refuseAllIneligible refuses the waiting requests that the picker refuses, for example
// because their fingerprint is quarantined.
func (s *Scheduler) refuseAllIneligible() { s.refuseIneligible(s.allWaiting()) }

// refuseIneligibleWithFingerprint refuses the waiting requests with the fingerprint
// of a request that crashed a replica, if the picker refuses them. Other requests
// that ran on the replica are finished by their own callers.
func (s *Scheduler) refuseIneligibleWithFingerprint(fingerprint uint64) {
	var matching []*Ticket
	for n := range s.expiry.All() {
		if n.Value.request.Fingerprint == fingerprint {
			matching = append(matching, n.Value)
		}
	}
	s.refuseIneligible(matching)
}

// refuseIneligible refuses those of the tickets that the picker refuses.
func (s *Scheduler) refuseIneligible(tickets []*Ticket) {
	for _, t := range tickets {
		if refusedErr := s.picker.Refusal(&t.request); refusedErr != nil {
			s.refuse(t, refusedErr)
		}
	}
}

func (s *Scheduler) allWaiting() []*Ticket {
	tickets := make([]*Ticket, 0, s.expiry.Len())
	for n := range s.expiry.All() {
		tickets = append(tickets, n.Value)
	}
	return tickets
}

// refuseUnreachable refuses the requests of pools that have had no replica that can
// serve for at least the grace period. It also refuses a restricted request when
// none of the replicas that it does not exclude could serve for that long, and at
// once those whose replicas all rest until the request's time is over.
func (s *Scheduler) refuseUnreachable() {
	for _, p := range s.poolList {
		if p.waiting == 0 {
			continue
		}
		unreachable := s.poolUnreachable(p)
		for _, q := range p.queues {
			if q != nil && q.len() > 0 && (!p.unreachableSince.IsZero() || q.restricted) {
				s.refuseUnreachableTickets(q, unreachable)
			}
		}
	}
}

// refuseUnreachableTickets refuses the requests of the queue if its pool is
// unreachable, and otherwise the restricted ones that no replica could serve for at
// least the grace period. While all replicas rest, it refuses only those whose time
// ends first.
func (s *Scheduler) refuseUnreachableTickets(q *classQueue, poolUnreachable bool) {
	now := s.opts.Clock.Now()
	rest, resting, known := time.Duration(0), false, false
	for _, t := range q.tickets() {
		if !known {
			rest, resting = s.restEnds(t)
			known = !q.restricted // all requests of the queue have the same replicas
		}
		unreachable := poolUnreachable || q.restricted && s.ticketUnreachable(t, now)
		if refusedErr := s.noReplicaRefusal(t, unreachable, rest, resting); refusedErr != nil {
			s.refuse(t, refusedErr)
		}
	}
}

// ticketUnreachable reports whether there has been no replica that can serve the
// request for at least the grace period.
func (s *Scheduler) ticketUnreachable(t *Ticket, now time.Time) bool {
	total, _ := s.picker.Slots(&t.request)
	switch {
	case total > 0:
		t.unreachableSince = time.Time{}
	case t.unreachableSince.IsZero():
		t.unreachableSince = now
	}
	return !t.unreachableSince.IsZero() && now.Sub(t.unreachableSince) >= replicaGracePeriod
}

func (q *classQueue) tickets() []*Ticket {
	all := make([]*Ticket, 0, q.len())
	for n := range q.onTime.All() {
		all = append(all, n.Value)
	}
	for n := range q.late.All() {
		all = append(all, n.Value)
	}
	return all
}
