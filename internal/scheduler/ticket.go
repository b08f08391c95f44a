package scheduler

import (
	"context"
	"time"

	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/limits"
	"heatherbarrow/internal/scheduling/queue"
)

// ticketState is the state of a ticket; all states but waiting are final.
type ticketState int

const (
	waiting ticketState = iota
	granted
	refused
	canceled
)

// Ticket is an admitted request. It is resolved in exactly one of three ways: it is
// granted, refused or canceled.
type Ticket struct {
	scheduler        *Scheduler
	request          scheduling.Request
	class            *class
	classQueue       *classQueue
	team             *limits.Team
	chargedTokens    int       // expected tokens charged to the team at admission
	latestStart      time.Time // latest assignment that still meets the class's target
	enqueuedAt       time.Time
	unreachableSince time.Time // like pool.unreachableSince; set for restricted requests only

	state        ticketState
	late         bool                // can no longer meet the class's target
	queueNode    queue.Node[*Ticket] // position in the class queue
	expiry       queue.Node[*Ticket] // position in Scheduler.expiry
	link[Ticket]                     // in class.waitingList

	refusal *scheduling.RefusedError
	// consumed is set when the assignment was returned by Wait or reclaimed by
	// Cancel, but not when it was received from Granted.
	consumed   bool
	resolvedCh chan struct{}
	granted    chan *Assignment
	refusedCh  chan *scheduling.RefusedError
	assignment Assignment
}

// Wait blocks until the request is granted or refused or the context is done. The
// error is a *scheduling.RefusedError, the context's error, in which case the request
// is canceled, or context.Canceled when Cancel was called. Wait needs fewer
// allocations than Granted and Refused. For any one ticket, use either Wait or Granted
// and Refused, not both.
func (t *Ticket) Wait(ctx context.Context) (*Assignment, error) {
	if done := t.resolvedChannel(); done != nil {
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
		t.consumed = true
		return &t.assignment, nil
	case refused:
		return nil, t.refusal
	default:
		return nil, context.Canceled
	}
}

// resolvedChannel returns a channel that is closed when the ticket is resolved, or
// nil if it has been resolved already.
func (t *Ticket) resolvedChannel() chan struct{} {
	t.scheduler.mu.Lock()
	defer t.scheduler.mu.Unlock()
	if t.state != waiting {
		return nil
	}
	if t.resolvedCh == nil {
		t.resolvedCh = make(chan struct{})
	}
	return t.resolvedCh
}

// Granted returns a channel that delivers the assignment when the request is
// granted. It delivers nothing when the request is refused; see Refused.
func (t *Ticket) Granted() <-chan *Assignment {
	t.scheduler.mu.Lock()
	defer t.scheduler.mu.Unlock()
	if t.granted == nil {
		t.granted = make(chan *Assignment, 1)
		if t.state == granted && !t.consumed {
			t.granted <- &t.assignment
		}
	}
	return t.granted
}

// Refused returns a channel that delivers the refusal of a request that was admitted
// but can no longer be served: its deadline cannot be met, its fingerprint was
// quarantined, no replica can serve it, its class or team was removed from the
// bundle, none of its upstreams still serves the class, or a higher tier took its
// place in a full queue. The request did not run.
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

// Cancel removes a waiting request from the queue. An assignment that was granted
// but not received by the caller is finished as canceled; a received assignment is
// not affected.
func (t *Ticket) Cancel() {
	t.scheduler.mu.Lock()
	defer t.scheduler.mu.Unlock()
	switch t.state {
	case waiting:
		t.scheduler.dequeue(t)
		t.endRequest(0)
		t.resolve(canceled)
		if t.classQueue.pool.waiting > 0 {
			t.scheduler.dispatch(t.classQueue.pool.self[:])
		}
	case granted:
		if t.reclaimAssignment() {
			t.assignment.finish(scheduling.Result{Canceled: true})
		}
	}
}

// reclaimAssignment takes the assignment back. It returns false when the caller has
// already received it.
func (t *Ticket) reclaimAssignment() bool {
	if t.consumed {
		return false
	}
	if t.granted != nil {
		select {
		case <-t.granted:
		default:
			return false
		}
	}
	t.consumed = true
	return true
}

// resolve sets the final state and delivers it to the ticket's channels.
func (t *Ticket) resolve(state ticketState) {
	t.state = state
	if t.resolvedCh != nil {
		close(t.resolvedCh)
	}
	if state == granted && t.granted != nil {
		t.granted <- &t.assignment
	}
	if state == refused && t.refusedCh != nil {
		t.refusedCh <- t.refusal
	}
}

// addToQueue adds the ticket to a class queue.
func (s *Scheduler) addToQueue(t *Ticket, q *classQueue) {
	t.classQueue = q
	t.queueNode.Value = t
	q.heap(t.late).Push(&t.queueNode)
	q.adjustCounts(t, 1)
}

// dequeue removes the ticket from its class queue, the expiry heap and the class's
// waiting list.
func (s *Scheduler) dequeue(t *Ticket) {
	s.removeFromQueue(t)
	s.expiry.Remove(&t.expiry)
	t.class.waitingList.remove(t)
	t.class.waiting--
}

// endRequest replaces the team's estimated charge by the actual tokens when the
// request no longer waits or runs.
func (t *Ticket) endRequest(tokens int) {
	t.team.End(t.chargedTokens, tokens)
	t.class.endRequest(t.team)
}

// removeFromQueue removes the ticket from its class queue, if it is in one.
func (s *Scheduler) removeFromQueue(t *Ticket) {
	if !t.queueNode.Queued() {
		return
	}
	t.classQueue.heap(t.late).Remove(&t.queueNode)
	t.classQueue.adjustCounts(t, -1)
}

func (q *classQueue) heap(late bool) *queue.Heap[*Ticket] {
	if late {
		return &q.late
	}
	return &q.onTime
}

// adjustCounts adds n to the pool's counts of waiting requests that include t.
func (q *classQueue) adjustCounts(t *Ticket, n int) {
	q.pool.waiting += n
	if t.late {
		q.pool.waitingByTier[q.class.Tier].late += n
	} else {
		q.pool.waitingByTier[q.class.Tier].onTime += n
	}
}

// endRequest removes one request from the team's outstanding requests.
func (c *class) endRequest(team *limits.Team) {
	if c.outstandingByTeam[team]--; c.outstandingByTeam[team] <= 0 {
		delete(c.outstandingByTeam, team)
	}
}
