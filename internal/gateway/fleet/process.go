package fleet

import (
	"time"

	"heatherbarrow/internal/gateway/origin"
)

// A replica's registration tells which process has its address and of which software version that is. While the
// store is away, or before the registration is renewed, another process may have taken over ID and address. A
// process lives for one span of time and owns its connections, so a connection leads to a process if it was opened
// before a moment at which that process was known to live.

// processEvidence is what a host knows of the process at a replica's address. It is guarded by Fleet.mu.
type processEvidence struct {
	started   int64     // Member.Started, or what another process states
	knownAt   time.Time // when this host learned of the process, from its registration or itself
	toldAt    time.Time // when the process first told its start; zero if it has not
	untoldAt  time.Time // when it first answered a question without telling; zero if it has not, or has told since
	aliveAt   time.Time // when that process was last known to live
	doubtedAt time.Time // when a connection broke or could not be opened, as when a process ends
	askAfter  time.Time // when it may be asked again after it has not answered
	asking    bool      // a question beside the streams is under way
}

// processQuestionInterval is the shortest time between a question that a process has left unanswered and the next.
const processQuestionInterval = time.Second

// inDoubt reports whether the process may have ended.
func (p *processEvidence) inDoubt() bool { return p.doubtedAt.After(p.aliveAt) }

// silent reports whether the process recently left a question unanswered.
func (p *processEvidence) silent(now time.Time) bool { return now.Before(p.askAfter) }

// recordAlive records that the process lived at the given time.
func (p *processEvidence) recordAlive(at time.Time) {
	if at.After(p.aliveAt) {
		p.aliveAt = at
	}
}

// replaced reports whether another process than the registered one answers at the replica's address.
func (r *replica) replaced() bool { return r.process.started != r.member.Started }

// version returns the software version of the process at the replica's address, or what stands for it.
func (r *replica) version() string {
	if r.replaced() {
		return origin.ProcessVersion(r.member.ID, r.process.started)
	}
	return r.member.SoftwareVersion
}

// resolveVersion returns the version that a registration states for a process, if the given version stands for that
// of a process and its registration has arrived.
func (f *Fleet) resolveVersion(version string) string {
	if id, started, ok := origin.ParseProcessVersion(version); ok {
		if r, registered := f.replicas[id]; registered && r.member.Started == started && r.member.SoftwareVersion != "" {
			return r.member.SoftwareVersion
		}
	}
	return version
}

// statesVersions reports whether any replica of the pool states its software version.
func (p *pool) statesVersions() bool {
	for _, r := range p.replicas {
		if r.member.SoftwareVersion != "" {
			return true
		}
	}
	return false
}

// ProcessKnown reports whether the process is known that a connection opened at the given time leads to; see
// SoftwareVersion. trusted means that this host's registrations are up to date and that the caller may go by them: a
// process that nothing speaks against is then taken for the registered one. That is no evidence; see ProcessProved.
func (l *Lease) ProcessKnown(openedAt time.Time, trusted bool, now time.Time) bool {
	f, r := l.fleet, l.replica
	f.mu.Lock()
	defer f.mu.Unlock()
	known := !openedAt.After(r.process.aliveAt) ||
		trusted && f.replicas[l.Member.ID] == r && !r.replaced() && !r.process.inDoubt()
	l.process, l.evidence = 0, nil
	if known {
		l.process, l.processAt, l.evidence, l.openedAt = r.process.started, now, r.process, openedAt
	}
	return known
}

// ProcessProved reports whether there is evidence that the request was sent to the process which it is taken to have been
// sent to. It may arrive after the answer: a registered process lived before the request was sent, so that it has answered if
// it is known to have lived after the connection was opened.
func (l *Lease) ProcessProved() bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return l.proved()
}

// ProcessOvertaken reports whether another process has answered for the replica without being registered, although the request was
// sent while the one of the lease was.
func (l *Lease) ProcessOvertaken() bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	r, ok := l.fleet.replicas[l.Member.ID]
	return ok && r.member.SameProcess(&l.Member) && r.replaced()
}

func (l *Lease) proved() bool {
	return l.evidence != nil && !l.openedAt.After(l.evidence.aliveAt)
}

// ProcessLease returns a lease for questions to the process of the replica with the given ID, or false if there is no such
// replica. It takes no capacity, so that End need not be called.
func (f *Fleet) ProcessLease(id string) (*Lease, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.replicas[id]
	if !ok {
		return nil, false
	}
	return &Lease{Choice: Choice{Member: r.member}, fleet: f, replica: r, ended: true}, true
}

// BeginProcessQuestion reports whether the replica's process may be asked beside the streams, as nobody does. If it
// returns true, EndProcessQuestion must be called.
func (l *Lease) BeginProcessQuestion() bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	p := l.replica.process
	if p.asking {
		return false
	}
	p.asking, l.asked = true, p
	return true
}

// EndProcessQuestion ends what BeginProcessQuestion began.
func (l *Lease) EndProcessQuestion() {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.asked.asking = false
}

// DoubtProcess records that a connection to the replica broke, as when its process ends.
func (l *Lease) DoubtProcess(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.replica.process.doubtedAt = now
}

// MayAskProcess reports whether the replica's process may be asked which one it is.
func (l *Lease) MayAskProcess(now time.Time) bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return !l.replica.process.silent(now)
}

// RecordProcessSilent records that the process did not answer which one it is.
func (l *Lease) RecordProcessSilent(now time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.replica.process.askAfter = now.Add(processQuestionInterval)
}

// RecordProcess records the start time that the process at the replica's address has stated, asked at the given
// time, and returns whether it is the process of the registration.
func (l *Lease) RecordProcess(started int64, askedAt time.Time) (registered bool) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	r := l.replica
	if started != r.process.started {
		r.process = &processEvidence{started: started, knownAt: askedAt}
		l.fleet.registrations.note(r.member.ID, registration{started: started, version: r.version()})
	}
	if r.process.toldAt.IsZero() {
		r.process.toldAt = askedAt
	}
	r.process.askAfter, r.process.untoldAt = time.Time{}, time.Time{}
	l.fleet.pool(r.member.Upstream).processesTell = true
	r.process.recordAlive(askedAt)
	l.process, l.processAt, l.evidence, l.openedAt = started, askedAt, r.process, askedAt
	return !r.replaced()
}

// RecordProcessUntold records that what has the replica's address has answered a question, asked at the given time, without
// telling when it started.
func (l *Lease) RecordProcessUntold(askedAt time.Time) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	if p := l.replica.process; p.untoldAt.IsZero() {
		p.untoldAt = askedAt
	}
}

// ProcessUntold reports whether the process did not tell its start when it was asked before the request was sent.
func (l *Lease) ProcessUntold() bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	p := l.replica.process
	return !p.untoldAt.IsZero() && p.untoldAt.Before(l.started)
}

// OthersTell reports whether a replica of the same upstream has told when its process started. If not, it returns up to n
// others, in random order, that can be asked.
func (l *Lease) OthersTell(n int, now time.Time) (told bool, ask []Member) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pool(l.Member.Upstream)
	if p.processesTell {
		return true, nil
	}
	for _, i := range f.random.Perm(len(p.replicas)) {
		r := p.replicas[i]
		if len(ask) < n && r.member.ID != l.Member.ID && r.member.Started != 0 && r.member.usable(now) && !now.Before(r.restUntil) {
			ask = append(ask, r.member)
		}
	}
	return false, ask
}

// recordProcessAlive records that the process which the request was sent to has answered. It lived when it was sent
// the request; the answer may be read long after its end.
func (l *Lease) recordProcessAlive() {
	if l.proved() {
		l.evidence.recordAlive(l.processAt)
	}
}

// ProcessAfter returns the start of the process that is known to have lived at the replica's address after the given time.
func (l *Lease) ProcessAfter(t time.Time) (started int64, known bool) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	r, ok := l.fleet.replicas[l.Member.ID]
	if !ok || r.member.Address != l.Member.Address || !r.process.aliveAt.After(t) {
		return 0, false
	}
	return r.process.started, true
}

// SentTo reports whether the request was sent to the process with the given start, which is known to live now: if it
// lived before the request was sent, it has had the address all the while.
func (l *Lease) SentTo(started int64) bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	if started == l.Member.Started || started == l.process || l.replica.process.toldBefore(started, l.started) {
		return true
	}
	r, ok := l.fleet.replicas[l.Member.ID]
	return ok && r.process.toldBefore(started, l.started)
}

// ProcessKnownSince returns when this host learned of the process with the given start, if that is the one at the replica's
// address.
func (l *Lease) ProcessKnownSince(started int64) (since time.Time, known bool) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	r, ok := l.fleet.replicas[l.Member.ID]
	if !ok || r.process.started != started || r.member.Address != l.Member.Address {
		return time.Time{}, false
	}
	return r.process.knownAt, true
}

// toldBefore reports whether the process has the given start and has told so before the given time.
func (p *processEvidence) toldBefore(started int64, t time.Time) bool {
	return p.started == started && !p.toldAt.IsZero() && p.toldAt.Before(t)
}

// SoftwareVersion returns the software version of the process that ProcessKnown or RecordProcess has found, or what
// stands for it.
func (l *Lease) SoftwareVersion() string {
	if l.process != 0 && l.process != l.Member.Started {
		return origin.ProcessVersion(l.Member.ID, l.process)
	}
	return l.Member.SoftwareVersion
}

// HasVersion reports whether that process has the given software version.
func (l *Lease) HasVersion(version string) bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return l.fleet.resolveVersion(l.SoftwareVersion()) == l.fleet.resolveVersion(version)
}
