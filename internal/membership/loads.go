package membership

import (
	"slices"
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/rpc"
)

const (
	flagLoad       = 1
	flagDead       = 2
	roleShift      = 2
	flagNoPlatform = 1
)

// Observation is what an observer learned from a replica.
type Observation struct {
	Upstream        string
	Replica         string
	At              time.Time     // when the replica was called
	Reachable       bool          // it answered
	Restarted       bool          // its boot identifier changed since the last answer
	HasLoad         bool          // the answer had figures; plain services give none
	Lag             time.Duration // age of the figures at the call
	Running         uint32
	Waiting         uint32
	TokensPerSecond uint32
	Models          []string
	Role            string
}

// Observe takes over an observation made by this host. An unreachable replica
// becomes dead only when no other observer has had an answer lately either.
func (t *Table) Observe(o Observation) {
	r := t.replicas[o.Upstream+"/"+o.Replica]
	if r == nil {
		return
	}
	if !o.Reachable {
		t.observeFailure(r, o.At)
		return
	}
	if o.Restarted && r.leaving {
		t.markReplica(r, false)
	}
	next := load{
		at: o.At, answer: o.At, lag: o.Lag, has: o.HasLoad,
		running: o.Running, waiting: o.Waiting, tokens: o.TokensPerSecond, role: roleIndex(o.Role),
	}
	next.models = r.modelSet(o.Models)
	t.setLoad(r, next)
}

// unlistedModels is the bit of a model set that stands for models outside the
// upstream's list.
const unlistedModels = 1 << bundle.MaxModels

// modelSet returns the positions of the loaded models in the upstream's list.
func (r *replica) modelSet(loaded []string) uint64 {
	var set uint64
	for _, model := range loaded {
		i := slices.Index(r.modelList, model)
		if i < 0 {
			i = bundle.MaxModels
		}
		set |= 1 << i
	}
	return set
}

func (t *Table) observeFailure(r *replica, at time.Time) {
	if at.Sub(r.load.answer) < deadLoadAfter {
		return
	}
	next := r.load
	next.at, next.dead = at, true
	t.setLoad(r, next)
}

func (t *Table) setLoad(r *replica, next load) {
	urgent := next.dead != r.load.dead
	r.load = next
	r.sends = 0
	t.changed(urgent)
}

// mergeLoads takes over the loads that are newer than the known ones. Rows are
// meaningless when the peer has another bundle.
func (t *Table) mergeLoads(d *rpc.LoadDigest, now time.Time) {
	if d.Generation != t.generation || t.generation == 0 {
		return
	}
	n := len(d.Index)
	for _, length := range []int{len(d.Flags), len(d.Running), len(d.Waiting), len(d.TokensPerSecond), len(d.ContactAgeMs), len(d.LagMs), len(d.Models)} {
		n = min(n, length)
	}
	for i := range n {
		if int(d.Index[i]) < len(t.indexed) {
			t.mergeLoad(t.indexed[d.Index[i]], loadRow(d, i, now))
		}
	}
}

func loadRow(d *rpc.LoadDigest, i int, now time.Time) load {
	at := now.Add(-time.Duration(d.ContactAgeMs[i]) * time.Millisecond)
	l := load{
		at: at, answer: at, lag: time.Duration(d.LagMs[i]) * time.Millisecond,
		has: d.Flags[i]&flagLoad != 0, dead: d.Flags[i]&flagDead != 0, role: d.Flags[i] >> roleShift,
		running: d.Running[i], waiting: d.Waiting[i], tokens: d.TokensPerSecond[i], models: d.Models[i],
	}
	return l
}

func (t *Table) mergeLoad(r *replica, next load) {
	if next.dead {
		// The last answer known here may be newer than the observers know.
		if next.at.Sub(r.load.answer) < deadLoadAfter || r.load.dead {
			return
		}
		kept := r.load
		kept.at, kept.dead = next.at, true
		t.setLoad(r, kept)
		return
	}
	least := contactJitter
	if r.zone != t.opts.Zone && !r.load.dead {
		least = remoteRefresh(len(t.indexed), replicasPerRefresh)
	}
	if next.at.Sub(r.load.at) < least {
		return
	}
	t.setLoad(r, next)
}

func (r *replica) appendTo(d *rpc.LoadDigest, now time.Time) {
	flags := r.load.role << roleShift
	if r.load.has {
		flags |= flagLoad
	}
	if r.load.dead {
		flags |= flagDead
	}
	d.Index = append(d.Index, uint32(r.index))
	d.Flags = append(d.Flags, flags)
	d.Running = append(d.Running, r.load.running)
	d.Waiting = append(d.Waiting, r.load.waiting)
	d.TokensPerSecond = append(d.TokensPerSecond, r.load.tokens)
	d.ContactAgeMs = append(d.ContactAgeMs, millis(now.Sub(r.load.at)))
	d.LagMs = append(d.LagMs, millis(r.load.lag))
	d.Models = append(d.Models, r.load.models)
}
