package scheduler

import (
	"context"
	"time"

	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/limits"
	"heatherbarrow/internal/scheduling/queue"
)

type ticketState int

const (
	waiting ticketState = iota
	granted
	refused
	canceled
)

// Ticket is an admitted request. It ends in exactly one way: granted, refused or
// canceled.
type Ticket struct {
	scheduler    *Scheduler
	request      scheduling.Request
	class        *class
	lane         *lane
	team         *limits.Team
	charge       int       // tokens charged up front
	startBy      time.Time // when a replica must be found to meet the class's target
	enqueued     time.Time
	unservedFrom time.Time // since when no replica can be reached by a restricted request

	state        ticketState
	late         bool
	order        queue.Node[*Ticket] // place in the lane
	expiry       queue.Node[*Ticket]
	link[Ticket] // in the class's list

	refusal   *scheduling.RefusedError
	taken     bool // the assignment was handed out by Wait
	done      chan struct{}
	granted   chan *Assignment
	refusedCh chan *scheduling.RefusedError
	assigned  Assignment
}

// Wait waits until the request is granted or refused or the context ends. The
// error is a *scheduling.RefusedError or the context's error; in the latter case
// the request is canceled. Wait needs fewer allocations than Granted and Refused;
// one ticket is used either with Wait or with these.
func (t *Ticket) Wait(ctx context.Context) (*Assignment, error) {
	if done := t.doneChannel(); done != nil {
		select {
		case <-done:
		case <-ctx.Done():
			t.Cancel()
			return nil, ctx.Err()
		}
	}
	t.scheduler.mu.Lock()
	defer t.scheduler.mu.Unlock()
	switch t.state {
	case granted:
		t.taken = true
		return &t.assigned, nil
	case refused:
		return nil, t.refusal
	default:
		return nil, context.Canceled
	}
}

// doneChannel returns a channel that is closed when the ticket ends, nil when it
// has ended.
func (t *Ticket) doneChannel() chan struct{} {
	t.scheduler.mu.Lock()
	defer t.scheduler.mu.Unlock()
	if t.state != waiting {
		return nil
	}
	if t.done == nil {
		t.done = make(chan struct{})
	}
	return t.done
}

// Granted delivers the assignment once there is one. It delivers nothing when
// the request is refused; see Refused.
func (t *Ticket) Granted() <-chan *Assignment {
	t.scheduler.mu.Lock()
	defer t.scheduler.mu.Unlock()
	if t.granted == nil {
		t.granted = make(chan *Assignment, 1)
		if t.state == granted && !t.taken {
			t.granted <- &t.assigned
		}
	}
	return t.granted
}

// Refused delivers the refusal of a request that was admitted but can no longer
// be served: its deadline cannot be met, it was quarantined, no replica is left,
// or a higher tier needs its place in a full queue. The request did not run.
func (t *Ticket) Refused() <-chan *scheduling.RefusedError {
	t.scheduler.mu.Lock()
	defer t.scheduler.mu.Unlock()
	if t.refusedCh == nil {
		t.refusedCh = make(chan *scheduling.RefusedError, 1)
		if t.state == refused {
			t.refusedCh <- t.refusal
		}
	}
	return t.refusedCh
}

// Cancel takes the request out of the queue. An assignment that was granted but
// not received is finished as canceled; one that was received is not affected.
func (t *Ticket) Cancel() {
	t.scheduler.mu.Lock()
	defer t.scheduler.mu.Unlock()
	switch t.state {
	case waiting:
		t.scheduler.detach(t)
		t.release(0)
		t.end(canceled)
		if t.lane.pool.waiting > 0 {
			t.scheduler.dispatch(t.lane.pool.self[:])
		}
	case granted:
		if t.receive() {
			t.assigned.finish(scheduling.Result{Canceled: true})
		}
	}
}

// receive takes the assignment back unless it was handed out.
func (t *Ticket) receive() bool {
	if t.taken {
		return false
	}
	if t.granted != nil {
		select {
		case <-t.granted:
		default:
			return false
		}
	}
	t.taken = true
	return true
}

// end delivers the final state.
func (t *Ticket) end(state ticketState) {
	t.state = state
	if t.done != nil {
		close(t.done)
	}
	if state == granted && t.granted != nil {
		t.granted <- &t.assigned
	}
	if state == refused && t.refusedCh != nil {
		t.refusedCh <- t.refusal
	}
}

// attach queues the ticket in a lane.
func (s *Scheduler) attach(t *Ticket, l *lane) {
	t.lane = l
	t.order.Value = t
	l.heap(t.late).Push(&t.order)
	l.count(t, 1)
}

// detach takes the ticket out of all queues.
func (s *Scheduler) detach(t *Ticket) {
	s.leave(t)
	s.expiry.Remove(&t.expiry)
	t.class.queued.remove(t)
	t.class.waiting--
}

// release settles the team's charge once the request neither waits nor runs.
func (t *Ticket) release(tokens int) {
	t.team.End(t.charge, tokens)
	t.class.release(t.team)
}

// leave takes the ticket out of its lane.
func (s *Scheduler) leave(t *Ticket) {
	if !t.order.Queued() {
		return
	}
	t.lane.heap(t.late).Remove(&t.order)
	t.lane.count(t, -1)
}

func (l *lane) heap(late bool) *queue.Heap[*Ticket] {
	if late {
		return &l.late
	}
	return &l.fresh
}

func (l *lane) count(t *Ticket, n int) {
	l.pool.waiting += n
	if t.late {
		l.pool.tiers[l.class.Tier].late += n
	} else {
		l.pool.tiers[l.class.Tier].fresh += n
	}
}

// release counts one request of the team less.
func (c *class) release(team *limits.Team) {
	if c.outstanding[team]--; c.outstanding[team] <= 0 {
		delete(c.outstanding, team)
	}
}
