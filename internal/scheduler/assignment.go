package scheduler

import (
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/requestlimit"
)

// tokenFlushInterval is the minimum time between two reports of a stream's tokens
// to the picker. Token is called for every token of every stream; between reports
// it does not take the scheduler's lock.
const tokenFlushInterval = 250 * time.Millisecond

// Assignment is a slot on a replica that a request was granted. Finish must be
// called to release the slot; further calls have no effect. FirstToken, Token and
// Finish must be called from one goroutine.
type Assignment struct {
	Replica  scheduling.ReplicaID
	Address  string
	Decision scheduling.Decision

	ticket       *Ticket
	upstream     *upstream
	cachedTokens int // prompt tokens expected to be in the replica's prompt cache
	tier         int // the class's tier at the time of the grant; a later bundle may change that of the class
	grantedAt    time.Time
	finished     bool
	isPreempted  bool
	preemptedCh  chan struct{}

	link[Assignment] // in upstream.runningByTier

	unflushedTokens int       // tokens since the last flush to the picker
	lastFlush       time.Time // time of the grant, the first token or the last flush, whichever is latest
	countedTokens   int       // tokens already added to the team's usage
}

// Preempted returns a channel that is closed when the slot is needed for the top
// tier. The caller must then cancel the stream, finish the assignment as canceled
// and enqueue the remainder with Progress, Preempted and Preemptions set. The
// channel is nil, and so never ready, for a request that cannot be preempted.
func (a *Assignment) Preempted() <-chan struct{} {
	s := a.ticket.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.preemptedCh == nil && a.preemptible() {
		a.preemptedCh = make(chan struct{})
		if a.isPreempted {
			close(a.preemptedCh)
		}
	}
	return a.preemptedCh
}

func (a *Assignment) preemptible() bool {
	return a.ticket.request.Resumable && a.ticket.class.Preemptible && a.ticket.class.Tier != bundle.TopTier
}

// FirstToken records when the first token arrived. Token counts it.
func (a *Assignment) FirstToken() {
	s := a.ticket.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	latency := now.Sub(a.grantedAt)
	a.lastFlush = now
	s.picker.FirstToken(a.Replica, &a.ticket.request, latency)
	a.ticket.classQueue.estimates.ObserveFirstToken(latency)
}

// RecordLimit applies what the replica's answer says of its request limit, and reports
// whether that changed the limit in force.
func (a *Assignment) RecordLimit(statement requestlimit.Statement) (changed bool) {
	s := a.ticket.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.RecordLimit(a.Replica, statement, a.grantedAt)
}

// Token records n tokens that arrived since the last call, including the first token.
func (a *Assignment) Token(n int) {
	a.unflushedTokens += n
	s := a.ticket.scheduler
	now := s.opts.Clock.Now()
	elapsed := now.Sub(a.lastFlush)
	if elapsed < tokenFlushInterval {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Tokens(a.Replica, a.unflushedTokens, elapsed)
	a.countTokens(a.unflushedTokens)
	a.unflushedTokens = 0
	a.lastFlush = now
}

// countTokens adds n tokens to the team's usage and to the demand.
func (a *Assignment) countTokens(n int) {
	a.countedTokens += n
	a.ticket.team.RecordUsage(n)
	a.ticket.classQueue.demand.Tokens += uint64(n)
}

// Finish releases the slot and replaces the team's estimated charge by the tokens
// of the result.
func (a *Assignment) Finish(result scheduling.Result) {
	s := a.ticket.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	a.finish(result)
}

func (a *Assignment) finish(result scheduling.Result) {
	if a.finished {
		return
	}
	a.finished = true
	t := a.ticket
	s := t.scheduler
	if uncounted := result.Tokens - a.countedTokens; uncounted > 0 {
		a.countTokens(uncounted)
	}
	t.endRequest(result.Tokens)
	a.observe(result)
	s.removeRunning(a, !result.Crashed)
	s.picker.Finish(a.Replica, &t.request, result)
	if result.Crashed {
		s.refuseIneligibleWithFingerprint(t.request.Fingerprint)
		if len(t.request.Parts) > 0 {
			s.refuseAllIneligible()
		}
	}
	s.dispatch(a.upstream.pools)
}

// observe updates the estimates with a finished attempt. Answer lengths and answer
// times are taken only from complete answers that ran on one replica from the
// start. Service times are taken from every attempt that the replica did not
// refuse. The release rate counts only attempts that ran and whose slot is free
// again: a crash ends many attempts at once, and if it counted, preemption would
// wait for slots that no longer exist. Every attempt that was not refused also
// credits the waste budget with the tokens that it computed.
func (a *Assignment) observe(result scheduling.Result) {
	t := a.ticket
	held := t.scheduler.opts.Clock.Since(a.grantedAt)
	if result.Outcome == outcome.Completed && !result.Canceled && t.request.Progress == 0 {
		t.classQueue.estimates.Observe(result.Tokens, held)
	}
	if result.Refused {
		return
	}
	t.scheduler.creditWasteBudget(t.request.PromptTokens - a.cachedTokens + result.Tokens)
	if !result.Crashed && result.Outcome != outcome.NotRun {
		a.upstream.releaseRate.add(1)
	}
	a.upstream.serviceTimes[0].observe(held)
	a.upstream.serviceTimes[t.class.Tier].observe(held)
}

// addRunning adds a granted assignment to its upstream's running requests.
func (s *Scheduler) addRunning(a *Assignment) {
	u := a.upstream
	c := a.ticket.class
	u.running[c.counterIndex]++
	u.total++
	a.tier = c.Tier
	u.runningByTier[a.tier].push(a)
}

// removeRunning removes an assignment from its upstream's running requests.
// slotFree is false when the slot cannot be used again because the replica crashed.
func (s *Scheduler) removeRunning(a *Assignment, slotFree bool) {
	u := a.upstream
	c := a.ticket.class
	u.running[c.counterIndex]--
	u.total--
	u.runningByTier[a.tier].remove(a)
	if a.isPreempted {
		u.pendingPreemptions--
	}
	if slotFree {
		u.freedSlots++
		a.ticket.classQueue.pool.lowerTierAllowance++
	}
}

// assignmentList holds the running requests of a tier in the order in which they
// were granted.
type assignmentList struct {
	list[Assignment, *Assignment]
}
