package scheduler

import (
	"time"

	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/picker"
	"heatherbarrow/internal/scheduling/statement"
)

// ReasonResting is the reason of a RefusedError if the replicas that may serve the request have said that they want no
// requests until its time is over.
const ReasonResting = "resting"

// Picker is a scheduling.Picker that also keeps what replicas say of themselves. For each method see picker.Picker.
type Picker interface {
	scheduling.Picker
	RecordStatement(address string, said statement.Statement, sent time.Time) statement.Change
	Held(address string) bool
	HeldProcesses() []picker.HeldProcess
	RestEnds(r *scheduling.Request) (rest time.Duration, resting bool)
}

// RecordStatement applies what the replica's answer says of its process.
func (a *Assignment) RecordStatement(said statement.Statement) statement.Change {
	s := a.ticket.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.RecordStatement(a.Address, said, a.grantedAt)
}

// Held reports whether the replica has said that it takes no requests at present.
func (a *Assignment) Held() bool {
	s := a.ticket.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.Held(a.Address)
}

// HeldProcesses returns the processes that get no requests because of what they said.
func (s *Scheduler) HeldProcesses() []picker.HeldProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.HeldProcesses()
}

// RecordProcess applies which process answers at an address, asked at the given time.
func (s *Scheduler) RecordProcess(address, process string, asked time.Time) statement.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.RecordStatement(address, statement.Statement{Process: process}, asked)
}

// RestEnds returns the time until the first replica that may serve the request has rested, or false if not all of those
// that do not leave rest.
func (s *Scheduler) RestEnds(r scheduling.Request) (rest time.Duration, resting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot == nil || !s.remapToCurrent(&r) {
		return 0, false
	}
	return s.picker.RestEnds(&r)
}

// noReplicaRefusal returns the refusal of a request that no replica can serve now, or nil if it may wait. Unreachable means
// that none could for the grace period; resting, that all rest, of which the first is done after the given time.
func (s *Scheduler) noReplicaRefusal(t *Ticket, unreachable bool, rest time.Duration, resting bool) *scheduling.RefusedError {
	switch {
	case resting && s.opts.Clock.Now().Add(rest).After(t.expiresAt()):
		return &scheduling.RefusedError{Reason: ReasonResting, RetryAfter: s.restRetryAfter(t, rest)}
	case resting || !unreachable:
		return nil
	default:
		return &scheduling.RefusedError{Reason: scheduling.ReasonNoReplica, RetryAfter: replicaGracePeriod}
	}
}

// restRetryAfter returns the time after which a replica may take the request if it comes anew, so that those which its
// earlier attempts exclude count too.
func (s *Scheduler) restRetryAfter(t *Ticket, rest time.Duration) time.Duration {
	if len(t.request.Exclude) == 0 {
		return rest
	}
	anew := t.request
	anew.Exclude = nil
	if rest, resting := s.picker.RestEnds(&anew); resting {
		return rest
	}
	return noBundleRetryAfter
}

// restEnds is Picker.RestEnds if no replica can serve the request now. Without excluded replicas it relies on the last
// refresh of the pool, which costs nothing while there are replicas.
func (s *Scheduler) restEnds(t *Ticket) (rest time.Duration, resting bool) {
	if len(t.request.Exclude) == 0 && t.classQueue.pool.unreachableSince.IsZero() {
		return 0, false
	}
	if total, _ := s.picker.Slots(&t.request); total > 0 {
		return 0, false
	}
	return s.picker.RestEnds(&t.request)
}
