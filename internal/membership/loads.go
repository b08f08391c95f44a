package membership

import (
	"slices"
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/rpc"
)

// Bits of rpc.LoadDigest.Flags, which holds the role from bit roleShift on, and
// of rpc.HeartbeatDigest.Flags, which has flagPlatformFailed only.
const (
	flagHasLoad        = 1
	flagDead           = 2
	roleShift          = 2
	flagPlatformFailed = 1
)

// Observation is the result of one call by an observer to a replica.
type Observation struct {
	Upstream        string
	Replica         string
	CalledAt        time.Time     // when the replica was called
	Reachable       bool          // the replica answered
	Restarted       bool          // the replica's boot identifier changed since its previous answer
	HasLoad         bool          // the answer had load figures; plain services report none
	Lag             time.Duration // age of the load figures when the replica was called
	Running         uint32
	Waiting         uint32
	TokensPerSecond uint32
	Models          []string
	Role            string
}

// Observe applies an observation made by the local host. An unreachable replica
// becomes dead only when no observer has had an answer from it for
// replicaDeadAfter. An answer from a restarted replica clears its leaving state.
func (t *Table) Observe(o Observation) {
	r := t.replicas[o.Upstream+"/"+o.Replica]
	if r == nil {
		return
	}
	if !o.Reachable {
		t.recordFailure(r, o.CalledAt)
		return
	}
	if o.Restarted && r.leaving {
		t.setReplicaLeaving(r, false)
	}
	next := load{
		calledAt: o.CalledAt, answeredAt: o.CalledAt, lag: o.Lag, hasLoad: o.HasLoad,
		running: o.Running, waiting: o.Waiting, tokensPerSecond: o.TokensPerSecond, role: roleIndex(o.Role),
	}
	next.models = r.modelSet(o.Models)
	t.setLoad(r, next)
}

// unlistedModelsBit is the bit of a model set that represents any loaded model
// missing from the upstream's list.
const unlistedModelsBit = 1 << bundle.MaxModels

// modelSet returns a bit set of the loaded models by their positions in the
// upstream's list.
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

// recordFailure marks a replica dead unless it answered some observer less than
// replicaDeadAfter before the failed call.
func (t *Table) recordFailure(r *replica, calledAt time.Time) {
	if calledAt.Sub(r.load.answeredAt) < replicaDeadAfter {
		return
	}
	next := r.load
	next.calledAt, next.dead = calledAt, true
	t.setLoad(r, next)
}

func (t *Table) setLoad(r *replica, next load) {
	urgent := next.dead != r.load.dead
	r.load = next
	r.loadSends = 0
	t.recordChange(urgent)
}

// mergeLoadDigest applies the rows of a peer's load digest that are newer than the
// stored loads. Rows refer to replicas by position in the bundle, so a digest for
// another bundle generation is ignored.
func (t *Table) mergeLoadDigest(d *rpc.LoadDigest, now time.Time) {
	if d.Generation != t.generation || t.generation == 0 {
		return
	}
	n := len(d.Index)
	for _, length := range []int{len(d.Flags), len(d.Running), len(d.Waiting), len(d.TokensPerSecond), len(d.ContactAgeMs), len(d.LagMs), len(d.Models)} {
		n = min(n, length)
	}
	for i := range n {
		if int(d.Index[i]) < len(t.replicasByIndex) {
			t.mergeLoad(t.replicasByIndex[d.Index[i]], decodeLoadRow(d, i, now))
		}
	}
}

func decodeLoadRow(d *rpc.LoadDigest, i int, now time.Time) load {
	calledAt := now.Add(-time.Duration(d.ContactAgeMs[i]) * time.Millisecond)
	l := load{
		calledAt: calledAt, answeredAt: calledAt, lag: time.Duration(d.LagMs[i]) * time.Millisecond,
		hasLoad: d.Flags[i]&flagHasLoad != 0, dead: d.Flags[i]&flagDead != 0, role: d.Flags[i] >> roleShift,
		running: d.Running[i], waiting: d.Waiting[i], tokensPerSecond: d.TokensPerSecond[i], models: d.Models[i],
	}
	return l
}

// mergeLoad applies a load received from a peer. Loads of replicas in other zones
// are accepted at a limited rate, unless the replica is dead or becomes dead.
func (t *Table) mergeLoad(r *replica, next load) {
	if next.dead {
		// The latest answer stored here may be newer than the one that the
		// observers of the failure know of.
		if next.calledAt.Sub(r.load.answeredAt) < replicaDeadAfter || r.load.dead {
			return
		}
		updated := r.load
		updated.calledAt, updated.dead = next.calledAt, true
		t.setLoad(r, updated)
		return
	}
	minInterval := duplicateWindow
	if r.zone != t.opts.Zone && !r.load.dead {
		minInterval = remoteRefreshInterval(len(t.replicasByIndex), replicasPerRefreshSecond)
	}
	if next.calledAt.Sub(r.load.calledAt) < minInterval {
		return
	}
	t.setLoad(r, next)
}

// appendLoadRow adds the replica's load to a digest.
func (r *replica) appendLoadRow(d *rpc.LoadDigest, now time.Time) {
	flags := r.load.role << roleShift
	if r.load.hasLoad {
		flags |= flagHasLoad
	}
	if r.load.dead {
		flags |= flagDead
	}
	d.Index = append(d.Index, uint32(r.index))
	d.Flags = append(d.Flags, flags)
	d.Running = append(d.Running, r.load.running)
	d.Waiting = append(d.Waiting, r.load.waiting)
	d.TokensPerSecond = append(d.TokensPerSecond, r.load.tokensPerSecond)
	d.ContactAgeMs = append(d.ContactAgeMs, millis(now.Sub(r.load.calledAt)))
	d.LagMs = append(d.LagMs, millis(r.load.lag))
	d.Models = append(d.Models, r.load.models)
}
