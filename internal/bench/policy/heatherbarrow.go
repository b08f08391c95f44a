package main

import (
	"errors"
	"slices"
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduler"
	"heatherbarrow/internal/scheduling"
)

// heatherbarrow runs the project's scheduler, one instance per host.
type heatherbarrow struct{}

type schedulerHost struct {
	scheduler *scheduler.Scheduler
	queued    []*queued
	running   []*running
	polling   bool
	exposed   time.Time // when the host had work on the watched replica
	detected  bool      // the watched replica was ejected
}

// queued is a job that waits for its assignment.
type queued struct {
	job     *job
	ticket  *scheduler.Ticket
	exclude []scheduling.ReplicaID
}

// running is a job with a slot.
type running struct {
	assignment *scheduler.Assignment
	attempt    *attempt
	host       *schedulerHost
	world      *world
}

func (heatherbarrow) state(w *world, h *host) *schedulerHost {
	if s, ok := h.state.(*schedulerHost); ok {
		return s
	}
	s := &schedulerHost{scheduler: scheduler.New(scheduler.Options{
		Host: jobID(h.index), AvailabilityZone: h.zone, Clock: w.loop.clock, Seed: w.scenario.seed + uint64(h.index),
	})}
	s.scheduler.Update(w.snapshot, nil)
	h.state = s
	return s
}

func (p heatherbarrow) view(w *world, h *host, v *scheduling.View) {
	s := p.state(w, h)
	s.scheduler.Update(nil, v)
	s.poll(w, h)
}

func (p heatherbarrow) tick(w *world, h *host) {
	s := p.state(w, h)
	s.scheduler.Tick()
	s.poll(w, h)
	if !w.faulty.IsZero() && !s.detected {
		s.detect(w)
	}
}

// detect notes when the host ejects the watched replica, counted from when it
// first had work there after the fault.
func (s *schedulerHost) detect(w *world) {
	for _, m := range s.scheduler.Report().Replicas {
		if m.ID != w.watched {
			continue
		}
		if s.exposed.IsZero() && m.InProgress > 0 {
			s.exposed = w.loop.now()
		}
		if m.Ejected && !s.exposed.IsZero() {
			s.detected = true
			w.detected = append(w.detected, w.loop.now().Sub(s.exposed))
		}
	}
}

func (p heatherbarrow) place(w *world, h *host, j *job, exclude []scheduling.ReplicaID) {
	s := p.state(w, h)
	index, _ := upstreamOf(w.snapshot, j.class)
	u := &w.snapshot.Bundle.Upstreams[index]
	r := scheduling.Request{
		ID: j.id, Class: j.class, Upstreams: []int{index}, Fingerprint: j.fingerprint,
		PromptTokens: j.prompt, Arrived: j.arrived, Deadline: j.deadline, Attempt: j.attempt, Exclude: exclude,
		Resumable: u.Resumable && j.work == 0, Progress: j.delivered, Preempted: j.preempted,
		Preemptions: j.preemptions, PreviousNotRun: j.earlierNotRun,
	}
	if u.Kind == bundle.KindEngine {
		r.Model = u.Models[0]
		r.PrefixHashes = j.prefixes()
	} else {
		r.PromptTokens = 0
	}
	ticket, err := s.scheduler.Enqueue(r)
	if err != nil {
		s.refused(w, j, err)
		return
	}
	q := &queued{job: j, ticket: ticket, exclude: exclude}
	s.queued = append(s.queued, q)
	w.loop.at(j.deadline, func() { s.expire(w, q) })
	s.poll(w, h)
}

// refused ends a job that the scheduler refuses. The outcome is a truthful
// not-run unless an earlier attempt ran.
func (s *schedulerHost) refused(w *world, j *job, err error) {
	w.trace("%v job %s class %s refused: %v", w.loop.now().Sub(epoch), j.id, j.name.Name, err)
	var refusal *scheduling.RefusedError
	if errors.As(err, &refusal) {
		j.retryAfter = refusal.RetryAfter
	}
	w.end(j, false, j.computed == 0 && j.delivered == 0)
}

// expire gives up a job that still waits at its deadline.
func (s *schedulerHost) expire(w *world, q *queued) {
	i := slices.Index(s.queued, q)
	if i < 0 {
		return
	}
	s.queued = slices.Delete(s.queued, i, i+1)
	q.ticket.Cancel()
	w.trace("%v job %s class %s expired in the queue", w.loop.now().Sub(epoch), q.job.id, q.job.name.Name)
	w.end(q.job, false, false)
}

// poll starts the jobs that got a slot and stops those that lost theirs.
func (s *schedulerHost) poll(w *world, h *host) {
	if s.polling {
		return
	}
	s.polling = true
	for s.pollOnce(w, h) {
	}
	s.polling = false
}

func (s *schedulerHost) pollOnce(w *world, h *host) bool {
	changed := false
	for _, q := range slices.Clone(s.queued) {
		select {
		case assignment := <-q.ticket.Granted():
			s.queued = slices.Delete(s.queued, slices.Index(s.queued, q), slices.Index(s.queued, q)+1)
			s.granted(w, h, q, assignment)
			changed = true
		default:
		}
	}
	for _, q := range slices.Clone(s.queued) {
		select {
		case refusal := <-q.ticket.Refused():
			s.queued = slices.DeleteFunc(s.queued, func(other *queued) bool { return other == q })
			s.refused(w, q.job, refusal)
		default:
		}
	}
	for _, r := range slices.Clone(s.running) {
		select {
		case <-r.assignment.Preempted():
			if !r.attempt.over {
				r.attempt.preempt()
				changed = true
			}
		default:
		}
	}
	return changed
}

func (s *schedulerHost) granted(w *world, h *host, q *queued, assignment *scheduler.Assignment) {
	r := &running{assignment: assignment, host: s, world: w}
	s.running = append(s.running, r)
	e := w.engines[assignment.Replica]
	w.trace("%v job %s class %s to %v running=%d top=%d waiting=%d %+v", w.loop.now().Sub(epoch), q.job.id, q.job.name.Name,
		assignment.Replica, len(e.running), e.top(), len(e.waiting), assignment.Decision)
	r.attempt = w.start(h, q.job, assignment.Replica, r, q.exclude, true)
}

func (r *running) firstToken() { r.assignment.FirstToken() }
func (r *running) token()      { r.assignment.Token(1) }

func (r *running) finish(result scheduling.Result) {
	r.host.running = slices.DeleteFunc(r.host.running, func(other *running) bool { return other == r })
	r.assignment.Finish(result)
	for _, e := range r.host.scheduler.SuspectEvents() {
		r.world.share(r.attempt.h, e)
	}
	r.host.poll(r.world, r.attempt.h)
}
