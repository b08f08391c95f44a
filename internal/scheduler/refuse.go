package scheduler

import (
	"time"

	"heatherbarrow/internal/scheduling"
)

// refuse ends a waiting request without running it.
func (s *Scheduler) refuse(t *Ticket, reason *scheduling.RefusedError) {
	s.detach(t)
	t.release(0)
	t.lane.demand.Refused++
	t.refusal = reason
	t.end(refused)
}

// refuseExpired refuses the requests whose deadline can no longer be met.
func (s *Scheduler) refuseExpired() {
	now := s.opts.Clock.Now().UnixNano()
	for n := s.expiry.Min(); n != nil && n.Key < now; n = s.expiry.Min() {
		s.refuse(n.Value, s.refusal(n.Value, scheduling.ReasonDeadline))
	}
}

// refuseQuarantined refuses the waiting requests that the picker will never place.
func (s *Scheduler) refuseQuarantined() { s.refuseHopeless(s.allWaiting()) }

// refuseCrashed does the same for the fingerprint of a request that crashed its
// replica. The others that ran there end on their own.
func (s *Scheduler) refuseCrashed(fingerprint uint64) {
	var same []*Ticket
	for n := range s.expiry.All() {
		if n.Value.request.Fingerprint == fingerprint {
			same = append(same, n.Value)
		}
	}
	s.refuseHopeless(same)
}

func (s *Scheduler) refuseHopeless(tickets []*Ticket) {
	for _, t := range tickets {
		if reason := s.picker.Refusal(&t.request); reason != nil {
			s.refuse(t, reason)
		}
	}
}

func (s *Scheduler) allWaiting() []*Ticket {
	out := make([]*Ticket, 0, s.expiry.Len())
	for n := range s.expiry.All() {
		out = append(out, n.Value)
	}
	return out
}

// refuseUnreachable refuses the requests of pools that have been without a
// replica for longer than the grace, and restricted requests whose remaining
// replicas have been.
func (s *Scheduler) refuseUnreachable() {
	for _, p := range s.poolList {
		if p.waiting == 0 {
			continue
		}
		gone := s.unreachable(p)
		for _, l := range p.lanes {
			if l != nil && l.len() > 0 && (gone || l.restricted) {
				s.refuseUnserved(l, gone)
			}
		}
	}
}

func (s *Scheduler) refuseUnserved(l *lane, gone bool) {
	now := s.opts.Clock.Now()
	for _, t := range l.tickets() {
		if gone || s.unserved(t, now) {
			s.refuse(t, &scheduling.RefusedError{Reason: scheduling.ReasonNoReplica, RetryAfter: replicaGrace})
		}
	}
}

// unserved tells whether no replica has been left for the request for longer than
// the grace.
func (s *Scheduler) unserved(t *Ticket, now time.Time) bool {
	total, _ := s.picker.Slots(&t.request)
	switch {
	case total > 0:
		t.unservedFrom = time.Time{}
	case t.unservedFrom.IsZero():
		t.unservedFrom = now
	}
	return !t.unservedFrom.IsZero() && now.Sub(t.unservedFrom) >= replicaGrace
}

func (l *lane) tickets() []*Ticket {
	out := make([]*Ticket, 0, l.len())
	for n := range l.fresh.All() {
		out = append(out, n.Value)
	}
	for n := range l.late.All() {
		out = append(out, n.Value)
	}
	return out
}
