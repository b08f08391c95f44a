package scheduler

import (
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/scheduling"
)

// tokenFlush is the time between two reports of a stream's tokens to the picker.
// Token is called for every token of every stream and takes no lock in between.
const tokenFlush = 250 * time.Millisecond

// Assignment is a slot on a replica. Finish must be called once; further calls
// have no effect. FirstToken, Token and Finish belong to one goroutine.
type Assignment struct {
	Replica  scheduling.ReplicaID
	Address  string
	Decision scheduling.Decision

	ticket      *Ticket
	upstream    *upstream
	cached      int // tokens of the prompt that the replica was expected to hold
	tier        int // at the time of the grant; a later bundle may change the class's
	grantedAt   time.Time
	finished    bool
	isPreempted bool
	preempted   chan struct{}

	link[Assignment] // in the upstream's list

	pending  int       // tokens since the last flush
	flushed  time.Time // when the last flush was
	reported int       // tokens already counted in the team's usage
}

// Preempted is closed when the slot is needed for the top tier. The caller then
// cancels the stream, finishes the assignment as canceled and queues the rest
// with Progress, Preempted and Preemptions set. It is nil, and so never ready,
// for a request that cannot be preempted.
func (a *Assignment) Preempted() <-chan struct{} {
	s := a.ticket.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.preempted == nil && a.preemptible() {
		a.preempted = make(chan struct{})
		if a.isPreempted {
			close(a.preempted)
		}
	}
	return a.preempted
}

func (a *Assignment) preemptible() bool {
	return a.ticket.request.Resumable && a.ticket.class.Preemptible && a.ticket.class.Tier != bundle.TopTier
}

// FirstToken records that the first token arrived.
func (a *Assignment) FirstToken() {
	s := a.ticket.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	latency := now.Sub(a.grantedAt)
	a.flushed = now
	s.picker.FirstToken(a.Replica, &a.ticket.request, latency)
	a.ticket.lane.series.ObserveFirstToken(latency)
}

// Token records n further tokens.
func (a *Assignment) Token(n int) {
	a.pending += n
	s := a.ticket.scheduler
	now := s.opts.Clock.Now()
	elapsed := now.Sub(a.flushed)
	if elapsed < tokenFlush {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Tokens(a.Replica, a.pending, elapsed)
	a.countTokens(a.pending)
	a.pending = 0
	a.flushed = now
}

func (a *Assignment) countTokens(n int) {
	a.reported += n
	a.ticket.team.RecordUsage(n)
	a.ticket.lane.demand.Tokens += uint64(n)
}

// Finish gives the slot back and settles the charge on the tokens of the result.
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
	if rest := result.Tokens - a.reported; rest > 0 {
		a.countTokens(rest)
	}
	t.release(result.Tokens)
	a.observe(result)
	s.leaveUpstream(a, !result.Crashed)
	s.picker.Finish(a.Replica, &t.request, result)
	if result.Crashed {
		s.refuseCrashed(t.request.Fingerprint)
	}
	s.dispatch(a.upstream.pools)
}

// observe learns from the attempt. Only an answer that ran on one replica from
// its beginning tells the length and the time of answers; every attempt that ran
// tells how long slots are held. Only those whose slot is free again tell how often
// one becomes free: a crash ends many attempts at once, and preemption would wait
// for slots that are gone.
func (a *Assignment) observe(result scheduling.Result) {
	t := a.ticket
	held := t.scheduler.opts.Clock.Since(a.grantedAt)
	if result.Outcome == outcome.Completed && !result.Canceled && t.request.Progress == 0 {
		t.lane.series.Observe(result.Tokens, held)
	}
	if result.Refused {
		return
	}
	t.scheduler.earnWaste(t.request.PromptTokens - a.cached + result.Tokens)
	if !result.Crashed && result.Outcome != outcome.NotRun {
		a.upstream.finished.add(1)
	}
	a.upstream.service[0].observe(held)
	a.upstream.service[t.class.Tier].observe(held)
}

// enterUpstream counts a granted assignment as running.
func (s *Scheduler) enterUpstream(a *Assignment) {
	u := a.upstream
	c := a.ticket.class
	u.running[c.slot]++
	u.total++
	a.tier = c.Tier
	u.lists[a.tier].push(a)
}

// leaveUpstream takes an assignment off the upstream's counts. Its slot is free for
// others unless its replica is gone.
func (s *Scheduler) leaveUpstream(a *Assignment, free bool) {
	u := a.upstream
	c := a.ticket.class
	u.running[c.slot]--
	u.total--
	u.lists[a.tier].remove(a)
	if a.isPreempted {
		u.pending--
	}
	if free {
		u.freed++
		a.ticket.lane.pool.allowance++
	}
}

// assignmentList holds the running requests of a tier in order of their grants.
type assignmentList struct {
	list[Assignment, *Assignment]
}
