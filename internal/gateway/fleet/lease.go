package fleet

import "time"

// idleSample holds what turns the latency of a request that found no prompts ahead of it
// into a sample of the engine's speed.
type idleSample struct {
	tokens   float64       // unread prompt tokens, scaled by prefillSlowdown
	overhead time.Duration // decode step, copy and cross-zone latency
}

// Lease is an in-flight request on a replica. It must be released with End.
type Lease struct {
	Choice

	fleet          *Fleet
	replica        *replica // nil for a request that another host runs
	started        time.Time
	prefill        time.Duration
	idle           *idleSample // nil if prompts were ahead
	runningAtStart int         // in-flight requests on the replica when this one started
	kvCacheTokens  int
	longAnswer     bool // mostly generates
	ended          bool
	fingerprint    uint64           // of the request
	parts          []uint64         // Request.Parts
	answering      bool             // the head of the answer has arrived
	accepted       bool             // the replica has begun to run the request
	process        int64            // start of the process that the request was sent to; 0 if it is not known
	processAt      time.Time        // when its connection was found to lead to that process, before the request was sent
	openedAt       time.Time        // of that connection
	evidence       *processEvidence // of that process
	asked          *processEvidence // by BeginProcessQuestion
	retried        bool             // a replica that the request was tried on has failed
}

// Result is the outcome of an attempt.
type Result int

const (
	// Served means that the replica sent a complete answer.
	Served Result = iota
	// ServedUnframed means that the replica sent a complete answer with neither a length nor chunks,
	// which ended with its connection.
	ServedUnframed
	// Failed means that the replica answered with an error or an invalid answer.
	Failed
	// Truncated means that an answer ended early, because the replica sent no more of it or because
	// it crashed.
	Truncated
	// ConnectionLost means that the replica broke the connection.
	ConnectionLost
	// Unconnected means that no connection to the replica could be opened.
	Unconnected
	// Rejected means that the replica refused the request without running it.
	Rejected
	// Abandoned means that the caller disconnected; it says nothing about the replica.
	Abandoned
	// Misdirected means that another process now has the replica's address.
	Misdirected
)

// HeadReceived records that the head of an answer other than a rejection has arrived. It must be called by the
// goroutine that calls End.
func (l *Lease) HeadReceived() {
	l.answering = true
	if l.replica == nil {
		return
	}
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	if !l.ended {
		l.replica.rejections.accepted(l)
	}
}

// Age returns the time since the replica was picked; 0 if the lease did not come from Pick.
func (l *Lease) Age(now time.Time) time.Duration {
	if l.started.IsZero() {
		return 0
	}
	return now.Sub(l.started)
}

// FirstByte records that the first byte of the answer has arrived.
func (l *Lease) FirstByte(now time.Time) {
	if l.replica == nil {
		return
	}
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.ended {
		return
	}
	*f.zone(l.replica.member.Zone) = zone{}
	f.reach.recordContact(ContactAnswer, l.replica.member.ID, now)
	l.replica.consecutiveConnectFailures = 0
	l.replica.rejections.accepted(l)
	l.recordProcessAlive()
	l.replica.endLatencyTest(l)
	latency := now.Sub(l.started)
	p := f.pool(l.replica.member.Upstream)
	if l.idle != nil && l.Copied == 0 {
		p.speed.recordFirstToken(l.idle.tokens, latency-l.idle.overhead, now)
	}
	if l.prefill > 0 {
		l.replica.prefillDone(l, now)
		l.replica.recordLatency(latency, l.Expected)
	} else if p.upstream.Engine == nil {
		l.replica.recordLatency(latency, max(p.meanLatency, l.Expected))
		// The mean is over all replicas, so it follows more slowly than the slowness of one.
		p.meanLatency += time.Duration(latencyWeight / 4 * float64(latency-p.meanLatency))
	}
}

// RecordStream records the time from the first to the last event of a complete stream.
func (l *Lease) RecordStream(events int, elapsed time.Duration, now time.Time) {
	if l.replica == nil {
		return
	}
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pool(l.replica.member.Upstream)
	e := p.upstream.Engine
	if e == nil || e.TokensPerEvent <= 0 || events < minStreamEvents {
		return
	}
	tokens := (events - 1) * e.TokensPerEvent
	inFlight := float64(l.runningAtStart+l.replica.inFlight()) / 2
	p.speed.recordPace(inFlight, elapsed/time.Duration(tokens), now)
}

// End releases the lease. It returns true if the replica should be inspected, because the request
// lost its connection or because the end of the answer could be that of the replica; the caller then
// reports the outcome to RecordInspection.
func (l *Lease) End(result Result, now time.Time) (inspect bool) {
	if l.replica == nil {
		return false
	}
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.ended {
		return false
	}
	l.ended = true
	r := l.replica
	r.end(l, now)
	r.endLatencyTest(l)
	if result != Unconnected && result != Abandoned {
		r.consecutiveConnectFailures = 0
	}
	switch result {
	case Served, ServedUnframed, Failed:
		r.rejections.accepted(l)
	case Truncated:
		r.rejections.accepted(l)
		r.process.doubtedAt = now
	case Rejected:
		r.rejections.rejected(l, now)
	case ConnectionLost, Unconnected, Misdirected:
		r.rejections.ended(l)
		r.process.doubtedAt = now
	case Abandoned:
		r.rejections.ended(l)
	}
	switch result {
	case Served:
		l.recordProcessAlive()
		f.reach.recordContact(ContactAnswer, r.member.ID, now)
		r.recordSuccess()
		f.poison.Ended(l.fingerprint, true)
		f.completeRequest(l.fingerprint, now)
		f.completeParts(l.parts, now)
	case ServedUnframed:
		r.recordSuccess()
		f.poison.Ended(l.fingerprint, true)
		if f.parts.Suspect(l.parts) || f.requests.Suspect([]uint64{l.fingerprint}) {
			inspect = r.addSuspect(l, true)
		}
	case Failed:
		r.recordFailure(false, now)
	case Truncated:
		r.recordFailure(false, now)
		inspect = r.addSuspect(l, false)
	case ConnectionLost:
		f.reach.recordFailure(r.member.ID, now)
		r.recordFailure(true, now)
		r.forgetParts()
		f.zone(r.member.Zone).recordFailure(now)
		inspect = r.addSuspect(l, false)
	case Unconnected:
		f.reach.recordFailure(r.member.ID, now)
		r.recordFailure(true, now)
		r.consecutiveConnectFailures++
		f.zone(r.member.Zone).recordFailure(now)
	case Misdirected:
		r.recordFailure(true, now)
		r.suspendedUntil = now.Add(maxSuspension)
	case Rejected:
		f.reach.recordContact(ContactAnswer, r.member.ID, now)
		r.brittle.recordRejection(f.hosts(), now)
	case Abandoned:
	}
	return inspect
}
