package fleet

import "time"

const (
	// statementRetention is how long the statements of a replica without a registration are remembered. Its
	// registration may lapse while the store is away, and be back later.
	statementRetention = time.Minute
	// maxRest bounds the time for which a replica may want no requests.
	maxRest = 10 * time.Minute
)

// statement is what a replica's process said of itself in its answers to this host. It outlasts the replica's
// registration.
type statement struct {
	member    Member
	leaving   bool
	restUntil time.Time // when it may get requests of this host again
	saidAt    time.Time
}

// RecordLeaving notes that the replica's process said that it leaves, so that it gets no further requests of this
// host, whatever its registration says. It reports whether that is new.
func (l *Lease) RecordLeaving(now time.Time) (changed bool) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recordLeaving(&l.Member, now)
}

// RecordLeaving is Lease.RecordLeaving for a request that another host ran at the replica with the given ID.
func (f *Fleet) RecordLeaving(id string, now time.Time) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.replicas[id]
	return ok && f.recordLeaving(&r.member, now)
}

// Leaving reports whether the replica's process leaves or has left, by its registration or its own statement. A process
// that another one has replaced under its ID has left if it was known to leave before.
func (l *Lease) Leaving(now time.Time) bool {
	if l.replica == nil {
		return false // another host runs the request
	}
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.byKey[l.replica.key]
	switch {
	case r == nil:
		return true
	case r == l.replica || r.member.Started == l.Member.Started && r.member.Started != 0:
		return !r.member.usable(now)
	case l.Member.Started == 0:
		return true // it is not known whether the registration is that of another process
	default:
		return l.replica.removed || !l.replica.member.usable(now)
	}
}

// RecordRest notes that the replica rejected a request and wants none of this host for the given time. Of several
// times, the one that ends last holds. It reports whether the replica was not resting before.
func (l *Lease) RecordRest(rest time.Duration, now time.Time) (changed bool) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.statementOf(&l.Member, now)
	changed = !now.Before(s.restUntil)
	if end := now.Add(min(rest, maxRest)); end.After(s.restUntil) {
		s.restUntil = end
	}
	f.applyToReplica(s)
	return changed
}

// WantsFewRequests reports whether the replica, or the next one at its address, wants no requests of this host now, or states a
// request limit.
func (l *Lease) WantsFewRequests(now time.Time) bool {
	if l.replica == nil {
		return false // another host runs the request
	}
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	if r, registered := l.fleet.replicas[l.Member.ID]; registered {
		return r.wantsFewRequests(now)
	}
	for _, r := range l.fleet.replicas {
		if r.member.Address == l.Member.Address && r.wantsFewRequests(now) {
			return true // it has the address now
		}
	}
	return l.replica.wantsFewRequests(now) // its registration may have lapsed
}

func (r *replica) wantsFewRequests(now time.Time) bool {
	return now.Before(r.restUntil) || r.statedLimit().Limited
}

// recordLeaving marks the process that member describes as leaving.
func (f *Fleet) recordLeaving(member *Member, now time.Time) (changed bool) {
	s := f.statementOf(member, now)
	changed = !s.leaving
	s.leaving = true
	f.applyToReplica(s)
	return changed
}

// statementOf returns the statement of the process that member describes, and creates it if needed. That of a process which
// another one is known to have replaced is not kept, as it would take the place of its successor's.
func (f *Fleet) statementOf(member *Member, now time.Time) *statement {
	s, ok := f.statements[member.ID]
	if !ok || !s.member.SameProcess(member) {
		replaced := ok && s.member.Started > member.Started
		if s = (&statement{member: *member}); !replaced {
			f.statements[member.ID] = s
		}
	}
	s.saidAt = now
	return s
}

// applyToReplica applies a statement to the replica if it is the process that made it.
func (f *Fleet) applyToReplica(s *statement) {
	if r, ok := f.replicas[s.member.ID]; ok && r.member.SameProcess(&s.member) {
		r.member.Leaving = r.member.Leaving || s.leaving
		r.restUntil = s.restUntil
	}
}

// dropStatementOfEarlierProcess drops the statement of a process that another one has replaced under its ID.
func (f *Fleet) dropStatementOfEarlierProcess(m *Member) {
	if s, ok := f.statements[m.ID]; ok && !s.member.SameProcess(m) && m.Started > s.member.Started {
		delete(f.statements, m.ID)
	}
}

// pruneStatements forgets the statements of processes whose registrations are long gone.
func (f *Fleet) pruneStatements(now time.Time) {
	for id, s := range f.statements {
		if _, registered := f.replicas[id]; !registered && now.Sub(s.saidAt) > statementRetention && !now.Before(s.restUntil) {
			delete(f.statements, id)
		}
	}
}

// soonestRestEnd returns the time until the first of the pool's replicas that the request may use has rested.
func (p *pool) soonestRestEnd(q *Request, now time.Time) time.Duration {
	wait := maxRetryAfter
	for _, r := range p.replicas {
		if q.allows(r, now) && now.Before(r.restUntil) {
			wait = min(wait, r.restUntil.Sub(now))
		}
	}
	return wait
}
