package scheduling

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"heatherbarrow/internal/bundle"
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
	snapshot *bundle.Snapshot
	view     *View
	states   map[ReplicaID]ReplicaState
	waiting  []*Ticket
	running  map[ReplicaID]int
}

// New returns a scheduler without a bundle.
func New(opts Options) *Scheduler {
	return &Scheduler{opts: opts, view: &View{}, running: make(map[ReplicaID]int)}
}

// Update installs a new bundle or view; a nil argument leaves the old one.
func (s *Scheduler) Update(snapshot *bundle.Snapshot, view *View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot != nil {
		s.snapshot = snapshot
	}
	if view != nil {
		s.view = view
		s.states = make(map[ReplicaID]ReplicaState, len(view.Replicas))
		for i := range view.Replicas {
			s.states[view.Replicas[i].ID] = view.Replicas[i].State
		}
	}
	s.dispatch()
}

// Ticket is a request in the queue.
type Ticket struct {
	scheduler *Scheduler
	request   Request
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
		a.Finish(Result{Canceled: true})
	default:
	}
}

// Enqueue queues a request. The error is a *RefusedError.
func (s *Scheduler) Enqueue(r Request) (*Ticket, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(r.Upstreams) == 0 {
		return nil, &RefusedError{Reason: ReasonNoReplica, RetryAfter: time.Second}
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
	var best *Assignment
	bestLoad := 0
	for _, index := range t.request.Upstreams {
		u := &s.snapshot.Bundle.Upstreams[index]
		for i := range u.Replicas {
			id := ReplicaID{Upstream: u.Name, Replica: u.Replicas[i].ID}
			load := s.running[id]
			if load >= u.Slots || s.states[id] != ReplicaLive || excluded(&t.request, id) {
				continue
			}
			if best == nil || load < bestLoad {
				best = &Assignment{scheduler: s, Replica: id, Address: u.Replicas[i].Address}
				best.Decision.CrossZone = u.Replicas[i].AvailabilityZone != s.opts.AvailabilityZone
				best.Decision.Reason = "least_outstanding"
				bestLoad = load
			}
		}
	}
	if best == nil {
		return false
	}
	s.running[best.Replica]++
	best.Decision.Score = float64(bestLoad)
	best.preempted = make(chan struct{})
	t.granted <- best
	return true
}

func excluded(r *Request, id ReplicaID) bool {
	for _, other := range r.Exclude {
		if other == id {
			return true
		}
	}
	return false
}

// Assignment is a slot on a replica. Finish must be called exactly once.
type Assignment struct {
	Replica   ReplicaID
	Address   string
	Decision  Decision
	scheduler *Scheduler
	preempted chan struct{}
}

// Preempted is closed when the slot is needed for a higher tier. The caller
// then cancels the stream, finishes the assignment and queues the rest.
func (a *Assignment) Preempted() <-chan struct{} { return a.preempted }

// FirstToken records that the first token arrived.
func (a *Assignment) FirstToken() {}

// Token records n further tokens.
func (a *Assignment) Token(n int) {}

// Finish gives the slot back.
func (a *Assignment) Finish(Result) {
	a.scheduler.mu.Lock()
	defer a.scheduler.mu.Unlock()
	a.scheduler.running[a.Replica]--
	a.scheduler.dispatch()
}
