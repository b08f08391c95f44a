// Package scheduler queues requests and assigns them to replicas.
package scheduler

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/picker"
)

// Options configure a Scheduler.
type Options struct {
	Host             string
	AvailabilityZone string
	Clock            clockwork.Clock
	Seed             uint64 // seed of the picker's random choice
}

// Scheduler queues requests and assigns them to replicas.
type Scheduler struct {
	opts Options

	mu       sync.Mutex
	picker   scheduling.Picker
	snapshot *bundle.Snapshot
	waiting  []*Ticket
}

// New returns a scheduler without a bundle.
func New(opts Options) *Scheduler {
	return &Scheduler{opts: opts, picker: picker.New(picker.Options{
		AvailabilityZone: opts.AvailabilityZone, Clock: opts.Clock, Seed: opts.Seed,
	})}
}

// Update installs a new bundle or view; a nil argument leaves the old one.
func (s *Scheduler) Update(snapshot *bundle.Snapshot, view *scheduling.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot != nil {
		s.snapshot = snapshot
	}
	s.picker.Update(snapshot, view)
	s.dispatch()
}

// Report returns what this host measured and used since the last report.
func (s *Scheduler) Report() scheduling.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return scheduling.Report{Replicas: s.picker.Measurements()}
}

// Ticket is a request in the queue.
type Ticket struct {
	scheduler *Scheduler
	request   scheduling.Request
	granted   chan *Assignment
}

// Granted delivers the assignment once there is one.
func (t *Ticket) Granted() <-chan *Assignment { return t.granted }

// Cancel takes the request out of the queue. An assignment already granted is
// finished as canceled.
func (t *Ticket) Cancel() {
	t.scheduler.mu.Lock()
	t.scheduler.remove(t)
	t.scheduler.mu.Unlock()
	select {
	case a := <-t.granted:
		a.Finish(scheduling.Result{Canceled: true})
	default:
	}
}

// Enqueue queues a request. The error is a *scheduling.RefusedError.
func (s *Scheduler) Enqueue(r scheduling.Request) (*Ticket, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(r.Upstreams) == 0 {
		return nil, &scheduling.RefusedError{Reason: scheduling.ReasonNoReplica, RetryAfter: time.Second}
	}
	t := &Ticket{scheduler: s, request: r, granted: make(chan *Assignment, 1)}
	s.waiting = append(s.waiting, t)
	s.dispatch()
	return t, nil
}

// Tick does the work that depends on time alone. It is to be called every 50 ms.
func (s *Scheduler) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch()
}

func (s *Scheduler) remove(t *Ticket) {
	for i, other := range s.waiting {
		if other == t {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

func (s *Scheduler) dispatch() {
	if s.snapshot == nil {
		return
	}
	for tier := bundle.TopTier; tier <= bundle.MaxTier; tier++ {
		kept := s.waiting[:0]
		for _, t := range s.waiting {
			if s.snapshot.Bundle.Classes[t.request.Class].Tier != tier || !s.assign(t) {
				kept = append(kept, t)
			}
		}
		s.waiting = kept
	}
}

func (s *Scheduler) assign(t *Ticket) bool {
	choice, ok := s.picker.Pick(&t.request)
	if !ok {
		return false
	}
	t.granted <- &Assignment{
		Replica: choice.Replica, Address: choice.Address, Decision: choice.Decision,
		scheduler: s, request: &t.request, granted: s.opts.Clock.Now(), preempted: make(chan struct{}),
	}
	return true
}

// Assignment is a slot on a replica. Finish must be called exactly once.
type Assignment struct {
	Replica   scheduling.ReplicaID
	Address   string
	Decision  scheduling.Decision
	scheduler *Scheduler
	request   *scheduling.Request
	granted   time.Time
	preempted chan struct{}
}

// Preempted is closed when the slot is needed for a higher tier. The caller
// then cancels the stream, finishes the assignment and queues the rest.
func (a *Assignment) Preempted() <-chan struct{} { return a.preempted }

// FirstToken records that the first token arrived.
func (a *Assignment) FirstToken() {
	a.scheduler.mu.Lock()
	defer a.scheduler.mu.Unlock()
	a.scheduler.picker.FirstToken(a.Replica, a.request, a.scheduler.opts.Clock.Since(a.granted))
}

// Token records n further tokens.
func (a *Assignment) Token(n int) {}

// Finish gives the slot back.
func (a *Assignment) Finish(result scheduling.Result) {
	a.scheduler.mu.Lock()
	defer a.scheduler.mu.Unlock()
	a.scheduler.picker.Finish(a.Replica, a.request, result)
	a.scheduler.dispatch()
}
