// Package picker chooses replicas by filters, scorers and a random choice among
// the best.
package picker

import (
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
)

// Options configure a Picker.
type Options struct {
	AvailabilityZone string
	Clock            clockwork.Clock
	Seed             uint64 // seed of the random choice
}

// Picker implements scheduling.Picker.
type Picker struct {
	opts     Options
	snapshot *bundle.Snapshot
	states   map[scheduling.ReplicaID]scheduling.ReplicaState
	running  map[scheduling.ReplicaID]int
}

// New returns a picker without a bundle.
func New(opts Options) *Picker {
	return &Picker{opts: opts, running: make(map[scheduling.ReplicaID]int)}
}

// Update implements scheduling.Picker.
func (p *Picker) Update(snapshot *bundle.Snapshot, view *scheduling.View) {
	if snapshot != nil {
		p.snapshot = snapshot
	}
	if view == nil {
		return
	}
	p.states = make(map[scheduling.ReplicaID]scheduling.ReplicaState, len(view.Replicas))
	for i := range view.Replicas {
		p.states[view.Replicas[i].ID] = view.Replicas[i].State
	}
}

// Pick implements scheduling.Picker.
func (p *Picker) Pick(r *scheduling.Request) (scheduling.Choice, bool) {
	var best scheduling.Choice
	found := false
	bestLoad := 0
	p.each(r, func(id scheduling.ReplicaID, replica *bundle.Replica, slots int) {
		load := p.running[id]
		if load >= slots || found && load >= bestLoad {
			return
		}
		found = true
		bestLoad = load
		best = scheduling.Choice{Replica: id, Address: replica.Address}
		best.Decision.CrossZone = replica.AvailabilityZone != p.opts.AvailabilityZone
	})
	if !found {
		return best, false
	}
	best.Decision.Reason = "least_outstanding"
	best.Decision.Score = float64(bestLoad)
	p.running[best.Replica]++
	return best, true
}

func (p *Picker) each(r *scheduling.Request, visit func(scheduling.ReplicaID, *bundle.Replica, int)) {
	for _, index := range r.Upstreams {
		u := &p.snapshot.Bundle.Upstreams[index]
		for i := range u.Replicas {
			id := scheduling.ReplicaID{Upstream: u.Name, Replica: u.Replicas[i].ID}
			if p.states[id] == scheduling.ReplicaLive && !slices.Contains(r.Exclude, id) {
				visit(id, &u.Replicas[i], u.Slots)
			}
		}
	}
}

// Slots implements scheduling.Picker.
func (p *Picker) Slots(r *scheduling.Request) (total, free int) {
	p.each(r, func(id scheduling.ReplicaID, _ *bundle.Replica, slots int) {
		total += slots
		free += max(slots-p.running[id], 0)
	})
	return total, free
}

// Refusal implements scheduling.Picker.
func (p *Picker) Refusal(*scheduling.Request) *scheduling.RefusedError { return nil }

// FirstToken implements scheduling.Picker.
func (p *Picker) FirstToken(scheduling.ReplicaID, *scheduling.Request, time.Duration) {}

// Tokens implements scheduling.Picker.
func (p *Picker) Tokens(scheduling.ReplicaID, int, time.Duration) {}

// Finish implements scheduling.Picker.
func (p *Picker) Finish(id scheduling.ReplicaID, _ *scheduling.Request, _ scheduling.Result) {
	p.running[id]--
}

// Tick implements scheduling.Picker.
func (p *Picker) Tick() {}

// Measurements implements scheduling.Picker.
func (p *Picker) Measurements() []scheduling.ReplicaMeasurement { return nil }
