package fleet

import "time"

// leavingRetention is how long a replica that said that it leaves is remembered without a registration. Its
// registration may lapse while the store is away, and be back later.
const leavingRetention = time.Minute

// leavingProcess is a replica's process that said in an answer that it leaves.
type leavingProcess struct {
	member Member
	saidAt time.Time
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

// recordLeaving marks the process that member describes as leaving.
func (f *Fleet) recordLeaving(member *Member, now time.Time) (changed bool) {
	previous, known := f.leaving[member.ID]
	changed = !known || !previous.member.SameProcess(member)
	f.leaving[member.ID] = leavingProcess{member: *member, saidAt: now}
	if r, ok := f.replicas[member.ID]; ok && r.member.SameProcess(member) {
		r.member.Leaving = true
	}
	return changed
}

// applyLeaving marks a registration as leaving if its process said so. A new process under the same ID starts
// afresh.
func (f *Fleet) applyLeaving(m *Member) {
	said, ok := f.leaving[m.ID]
	switch {
	case !ok:
	case said.member.SameProcess(m):
		m.Leaving = true
	case m.Started > said.member.Started:
		delete(f.leaving, m.ID)
	}
}

// pruneLeaving forgets the processes whose registrations are long gone.
func (f *Fleet) pruneLeaving(now time.Time) {
	for id, said := range f.leaving {
		if _, registered := f.replicas[id]; !registered && now.Sub(said.saidAt) > leavingRetention {
			delete(f.leaving, id)
		}
	}
}
