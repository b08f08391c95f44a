package main

import (
	"slices"
	"strconv"
	"time"

	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/scheduling"
)

func jobID(i int) string { return "r" + strconv.Itoa(i) }

func appendNew[T comparable](list []T, v T) []T {
	if slices.Contains(list, v) {
		return list
	}
	// Views that were handed out hold the old slice.
	return append(slices.Clip(list), v)
}

// attempt is a job on an engine. It does what the router does with a stream:
// it times out, retries elsewhere and continues from the delivered position.
type attempt struct {
	w        *world
	h        *host
	j        *job
	e        *engine
	slot     slot
	seq      *sequence
	exclude  []scheduling.ReplicaID
	resume   bool // a new attempt continues where this one stopped
	got      int
	lastSeen time.Time
	latency  time.Duration
	over     bool
}

// start sends a job to a replica.
func (w *world) start(h *host, j *job, id scheduling.ReplicaID, s slot, exclude []scheduling.ReplicaID, resume bool) *attempt {
	a := &attempt{w: w, h: h, j: j, e: w.engines[id], slot: s, exclude: exclude, resume: resume, lastSeen: w.loop.now()}
	a.latency = localLatency
	if a.e.zone != h.zone {
		a.latency = crossLatency
	}
	j.assigned = w.loop.now()
	j.replica = id
	if !resume {
		j.delivered = 0
	}
	a.seq = &sequence{
		prompts: [2]cacheKey{{j.fingerprint, j.prompt}, {j.prefix, j.shared}},
		prefill: j.prompt + j.delivered, decode: j.output - j.delivered,
		poison: j.poison, work: j.work, priority: j.name.Tier, token: a.token, ended: a.ended,
	}
	w.loop.after(a.latency, func() {
		if !a.over {
			a.e.submit(a.seq)
		}
	})
	a.watch()
	return a
}

// watch ends the attempt when the engine is silent for too long.
func (a *attempt) watch() {
	limit := frameTimeout
	if a.got == 0 {
		limit = a.firstTimeout()
	}
	at := a.lastSeen.Add(limit)
	if at.After(a.j.deadline) {
		at = a.j.deadline
	}
	a.w.loop.at(at, func() {
		if a.over {
			return
		}
		now := a.w.loop.now()
		if !now.Before(a.j.deadline) || now.Sub(a.lastSeen) >= limit {
			a.e.cancel(a.seq)
			a.conclude(endTimeout)
			return
		}
		a.watch()
	})
}

// firstTimeout is the wait for a first token: several times the class's target.
func (a *attempt) firstTimeout() time.Duration {
	target := a.j.name.FirstTokenTarget.Std()
	if target == 0 {
		target = a.j.name.AnswerTarget.Std()
	}
	return max(3*target, 2*time.Second)
}

func (a *attempt) token() {
	a.w.loop.after(a.latency, func() {
		if a.over {
			return
		}
		a.lastSeen = a.w.loop.now()
		a.got++
		a.tell()
		if a.j.delivered == 0 {
			a.j.first = a.lastSeen
		}
		a.j.delivered++
		a.j.last = a.lastSeen
	})
}

// tell reports a token to the policy, as the router does for engines only.
func (a *attempt) tell() {
	if a.e.service {
		return
	}
	if a.got == 1 {
		a.slot.firstToken()
	}
	a.slot.token()
}

func (a *attempt) ended(how ending) {
	a.w.loop.after(a.latency, func() {
		if !a.over {
			a.conclude(how)
		}
	})
}

// preempt cancels the stream and queues the rest of the answer again.
func (a *attempt) preempt() {
	a.e.cancel(a.seq)
	a.conclude(endCanceled)
}

func (a *attempt) conclude(how ending) {
	a.over = true
	j := a.j
	j.computed += a.seq.computed
	j.prefilled = a.seq.prefills
	result := scheduling.Result{Outcome: outcome.Unknown, Tokens: a.got}
	if how != endComplete {
		a.w.trace("%v lost job=%s class=%s ending=%d prefill=%d tokens=%d", a.w.loop.now().Sub(epoch), j.id, j.name.Name, how, a.seq.prefills, a.got)
	}
	switch how {
	case endComplete:
		result.Outcome = outcome.Completed
	case endCrashed:
		result.Crashed = true
	case endUnreachable:
		result.Outcome = outcome.NotRun
	case endTimeout:
		result.TimedOut = true
	case endCanceled:
		result.Canceled = true
	}
	if how == endComplete {
		a.w.end(j, true, false)
	}
	a.slot.finish(result)
	if how != endComplete {
		a.again(how)
	}
}

func (a *attempt) again(how ending) {
	j := a.j
	j.preempted = how == endCanceled
	j.earlierNotRun = how == endUnreachable
	if how == endCanceled {
		j.preemptions++
		a.w.policy.place(a.w, a.h, j, a.exclude)
		return
	}
	j.attempt++
	if how != endUnreachable {
		j.ran++
	}
	if j.ran >= maxAttempts || j.attempt >= maxTries || !a.w.loop.now().Before(j.deadline) {
		a.w.trace("%v job %s class %s ends after attempt %d on %v (%d)", a.w.loop.now().Sub(epoch), j.id, j.name.Name, j.attempt, a.e.id, how)
		a.w.end(j, false, false)
		return
	}
	a.w.policy.place(a.w, a.h, j, append(slices.Clip(a.exclude), a.e.id))
}
