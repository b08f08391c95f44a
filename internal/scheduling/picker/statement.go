package picker

import (
	"slices"
	"time"

	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/statement"
)

// HeldProcess is the process at an address that gets no requests because of what it said.
type HeldProcess struct {
	Address string
	Process string // its identifier; empty if it states none
}

// keepStatements keeps the statements of the addresses of the bundle. One that was not in the previous bundle begins
// without.
func (p *Picker) keepStatements(now time.Time) {
	old := p.said
	p.said = make(map[string]*statement.State, len(old))
	for i := range p.snapshot.Bundle.Upstreams {
		replicas := p.snapshot.Bundle.Upstreams[i].Replicas
		for j := range replicas {
			address := replicas[j].Address
			if p.said[address] != nil {
				continue
			}
			if p.said[address] = old[address]; p.said[address] == nil {
				fresh := statement.New(now)
				p.said[address] = &fresh
			}
		}
	}
}

// RecordStatement applies what an answer from the address says of the process there; sent is when the request was
// dispatched.
func (p *Picker) RecordStatement(address string, said statement.Statement, sent time.Time) statement.Change {
	state, ok := p.said[address]
	if !ok {
		return statement.Change{}
	}
	now := p.opts.Clock.Now()
	change := state.Observe(said, sent, now)
	if change == (statement.Change{}) {
		return change
	}
	for _, r := range p.replicas {
		if r.said == state {
			r.updateFreeSlots(now)
		}
	}
	return change
}

// Held reports whether the process at the address gets no requests because of what it said.
func (p *Picker) Held(address string) bool {
	state, ok := p.said[address]
	return ok && state.Held(p.opts.Clock.Now())
}

// HeldProcesses returns the processes for which Held is true.
func (p *Picker) HeldProcesses() []HeldProcess {
	var out []HeldProcess
	now := p.opts.Clock.Now()
	for address, state := range p.said {
		if state.Held(now) {
			out = append(out, HeldProcess{Address: address, Process: state.Process()})
		}
	}
	return out
}

// RestEnds returns the time until the first replica that may serve the request has rested. resting is false if one of
// them neither leaves nor rests, or if all leave.
func (p *Picker) RestEnds(req *scheduling.Request) (rest time.Duration, resting bool) {
	now := p.opts.Clock.Now()
	for _, index := range req.Upstreams {
		if index >= len(p.pools) || !p.snapshot.UpstreamServes(index, req.Class) {
			continue
		}
		modelIndex, serves := p.pools[index].modelIndex(req.Model)
		if !serves {
			continue
		}
		for _, r := range p.pools[index].replicas {
			if r.state != scheduling.ReplicaLive || r.modelBits>>modelIndex&1 == 0 || slices.Contains(req.Exclude, r.id) {
				continue
			}
			until, ends := r.said.Until(now)
			left := until.Sub(now)
			switch {
			case !ends:
			case left <= 0:
				return 0, false
			case !resting || left < rest:
				rest, resting = left, true
			}
		}
	}
	return rest, resting
}
