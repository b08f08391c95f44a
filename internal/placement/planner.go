package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"heatherbarrow/internal/scheduling"
)

// Kinds of placement orders and decisions.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
	OrderRole   = "role"
	OrderNone   = "none" // for decisions that cause no order
)

const (
	defaultDwellTime        = 5 * time.Minute
	defaultModelsPerReplica = 1
	// hysteresisReplicas is the minimum deficit of a model, in replicas, to get another
	// replica, and the minimum surplus of the model that is unloaded for it. A model
	// in demand without replicas needs neither. Below 0.5, a move would only reverse
	// the imbalance.
	hysteresisReplicas = 0.75
)

// tierWeights are the factors by which the demand of each tier is multiplied, so
// that tiers 1 and 2 have spare replicas when their demand rises.
var tierWeights = [...]float64{1: 2, 2: 1.5, 3: 1, 4: 1}

// Decision describes one order that results from a change of the desired state, or
// a change without an order (OrderNone).
type Decision struct {
	ID     scheduling.ReplicaID
	Order  string
	Model  string
	Role   string
	Reason string
}

// Planner derives the desired state from demand. Zero values of DwellTime and
// ModelsPerReplica select the defaults.
type Planner struct {
	Clock clockwork.Clock
	// DwellTime is the minimum time between two changes of a replica's models.
	DwellTime time.Duration
	// ModelsPerReplica is the maximum number of models that a replica holds.
	ModelsPerReplica int
}

// Plan returns the next desired state and the decisions that lead to it from
// current. In each upstream it moves at most one replica because of demand.
func (p *Planner) Plan(current *Desired, pools []Pool) (*Desired, []Decision) {
	next := current.clone()
	var decisions []Decision
	for i := range pools {
		plan := &poolPlan{planner: p, pool: &pools[i], desired: next, now: p.Clock.Now()}
		plan.updateTargets()
		plan.applyRoles()
		plan.rebalance()
		decisions = append(decisions, plan.decisions...)
	}
	return next, decisions
}

func (p *Planner) dwellTime() time.Duration {
	if p.DwellTime == 0 {
		return defaultDwellTime
	}
	return p.DwellTime
}

func (p *Planner) modelsPerReplica() int {
	if p.ModelsPerReplica == 0 {
		return defaultModelsPerReplica
	}
	return p.ModelsPerReplica
}

// poolPlan holds the state of planning one pool.
type poolPlan struct {
	planner   *Planner
	pool      *Pool
	desired   *Desired
	now       time.Time
	decisions []Decision
}

// usable reports whether a replica is live and its models are known.
func usable(r *Replica) bool { return r.Live && r.HasReport }

// updateTargets applies changes of the bundle and adds new replicas. The target of
// a new replica is its pinned models, or else what it already holds, except for
// models that are no longer in the pool: removed from the upstream, or no class uses
// the upstream. Empty replicas are handled last, so that they get the models that
// the others lack.
func (p *poolPlan) updateTargets() {
	for _, empty := range []bool{false, true} {
		for i := range p.pool.Replicas {
			r := &p.pool.Replicas[i]
			if usable(r) && (len(r.Models) == 0) == empty {
				p.updateTarget(r)
			}
		}
	}
}

// updateTarget sets the target of a replica that is new, whose target differs from
// its pinned models, or, if no models are pinned, whose target is empty or contains
// a model that is no longer in the pool.
func (p *poolPlan) updateTarget(r *Replica) {
	t, hasTarget := p.desired.Targets[r.ID.String()]
	reason := "model is no longer offered"
	if !hasTarget {
		t = Target{Models: slices.Clone(r.Models)}
		reason = "replica is new"
	}
	if len(r.Pinned) > 0 {
		if !hasTarget || !slices.Equal(r.Pinned, t.Models) {
			p.setTarget(r, slices.Clone(r.Pinned), t.Role, "models are pinned in the bundle", !hasTarget)
		}
		return
	}
	models := slices.DeleteFunc(slices.Clone(t.Models), func(m string) bool { return !slices.Contains(p.pool.Models, m) })
	if len(models) == 0 {
		if model, found := p.modelWithGreatestDeficit(); found {
			models = []string{model}
		}
	}
	if hasTarget && slices.Equal(models, t.Models) {
		return
	}
	p.setTarget(r, models, t.Role, reason, !hasTarget)
}

// setTarget changes a replica's target and records the decisions. They lead to the
// new target from the models that the replica holds if it is new, or else from its
// previous target.
func (p *poolPlan) setTarget(r *Replica, models []string, role, reason string, newReplica bool) {
	id := r.ID.String()
	previous := p.desired.Targets[id].Models
	if newReplica {
		previous = r.Models
	}
	p.desired.Targets[id] = Target{Models: models, Role: role, ChangedUnixMS: p.now.UnixMilli(), Reason: reason}
	decisionsBefore := len(p.decisions)
	for _, m := range previous {
		if !slices.Contains(models, m) {
			p.decisions = append(p.decisions, Decision{ID: r.ID, Order: OrderUnload, Model: m, Reason: reason})
		}
	}
	for _, m := range models {
		if !slices.Contains(previous, m) {
			p.decisions = append(p.decisions, Decision{ID: r.ID, Order: OrderLoad, Model: m, Reason: reason})
		}
	}
	if newReplica && len(p.decisions) == decisionsBefore {
		p.decisions = append(p.decisions, Decision{ID: r.ID, Order: OrderNone, Reason: reason})
	}
}

// applyRoles copies the roles that the bundle sets to the targets. A role that the
// bundle no longer sets causes no order: the engine keeps it.
func (p *poolPlan) applyRoles() {
	for i := range p.pool.Replicas {
		r := &p.pool.Replicas[i]
		id := r.ID.String()
		t, ok := p.desired.Targets[id]
		role := r.ConfiguredRole
		if !ok || t.Role == role {
			continue
		}
		t.Role, t.Reason = role, "role is set in the bundle"
		order := OrderRole
		if role == "" {
			order, t.Reason = OrderNone, "role is no longer set in the bundle"
		}
		p.desired.Targets[id] = t
		p.decisions = append(p.decisions, Decision{ID: r.ID, Order: order, Role: role, Reason: t.Reason})
	}
}

// replicaCounts returns, for each model, the number of usable replicas with the
// model in their target.
func (p *poolPlan) replicaCounts() map[string]int {
	out := make(map[string]int)
	for i := range p.pool.Replicas {
		r := &p.pool.Replicas[i]
		if !usable(r) {
			continue
		}
		for _, m := range p.desired.Targets[r.ID.String()].Models {
			out[m]++
		}
	}
	return out
}

// idealCounts returns the number of replicas that each model should have, in
// proportion to its weighted demand.
func (p *poolPlan) idealCounts() map[string]float64 {
	total, out := 0.0, make(map[string]float64)
	for _, d := range p.pool.Demand {
		if slices.Contains(p.pool.Models, d.Model) {
			weight := d.TokensPerSecond * tierWeights[min(max(d.Tier, 1), len(tierWeights)-1)]
			out[d.Model] += weight
			total += weight
		}
	}
	totalModelCapacity := 0
	for i := range p.pool.Replicas {
		if usable(&p.pool.Replicas[i]) {
			totalModelCapacity += p.planner.modelsPerReplica()
		}
	}
	for m := range out {
		if total > 0 {
			out[m] *= float64(totalModelCapacity) / total
		}
	}
	return out
}

// modelWithGreatestDeficit returns the model that lacks the most replicas, and false
// if the pool has no models.
func (p *poolPlan) modelWithGreatestDeficit() (string, bool) {
	replicaCounts, idealCounts := p.replicaCounts(), p.idealCounts()
	best, deficit := "", 0.0
	for _, m := range p.pool.Models {
		modelDeficit := idealCounts[m] - float64(replicaCounts[m])
		if replicaCounts[m] == 0 {
			modelDeficit = max(modelDeficit, 0) + 1 // prefer models without any replica
		}
		if best == "" || modelDeficit > deficit {
			best, deficit = m, modelDeficit
		}
	}
	return best, best != ""
}

// moveReason returns the reason for giving a model another replica. A model that no
// replica holds has a text of its own: its demand may be so small that it would be
// printed as "needs 0.00 replicas".
func moveReason(model string, ideal float64, count int) string {
	if count == 0 {
		return fmt.Sprintf("%s is in demand and no replica holds it", model)
	}
	return fmt.Sprintf("demand for %s needs %.2f replicas, has %d", model, ideal, count)
}

// rebalance gives one more replica to the model with the greatest deficit: a
// replica with room, or else one that gives up another model.
func (p *poolPlan) rebalance() {
	replicaCounts, idealCounts := p.replicaCounts(), p.idealCounts()
	gainingModel, ok := p.modelWithGreatestDeficit()
	if !ok || idealCounts[gainingModel] == 0 {
		return
	}
	if replicaCounts[gainingModel] > 0 && idealCounts[gainingModel]-float64(replicaCounts[gainingModel]) < hysteresisReplicas {
		return
	}
	reason := moveReason(gainingModel, idealCounts[gainingModel], replicaCounts[gainingModel])
	if r := p.replicaWithRoom(gainingModel, replicaCounts[gainingModel] == 0); r != nil {
		t := p.desired.Targets[r.ID.String()]
		p.setTarget(r, append(slices.Clone(t.Models), gainingModel), t.Role, reason, false)
		return
	}
	if len(p.pool.UnknownDemandHosts) > 0 {
		return // the hosts whose demand is not known may need the model that would be unloaded
	}
	r, losingModel := p.donor(gainingModel, replicaCounts, idealCounts)
	if r == nil {
		return
	}
	t := p.desired.Targets[r.ID.String()]
	models := slices.DeleteFunc(slices.Clone(t.Models), func(m string) bool { return m == losingModel })
	p.setTarget(r, append(models, gainingModel), t.Role, reason, false)
}

// mayTake reports whether a replica may be changed to hold the model. The dwell time
// does not apply if unserved is true, that is, if the model is in demand and no
// usable replica has it in its target.
func (p *poolPlan) mayTake(r *Replica, model string, unserved bool) bool {
	t, ok := p.desired.Targets[r.ID.String()]
	dwellTimePassed := p.now.Sub(time.UnixMilli(t.ChangedUnixMS)) >= p.planner.dwellTime()
	return ok && len(r.Pinned) == 0 && usable(r) && (dwellTimePassed || unserved) && !slices.Contains(t.Models, model)
}

// replicaWithRoom returns a replica that can hold the model in addition to those in
// its target, or nil if there is none.
func (p *poolPlan) replicaWithRoom(model string, unserved bool) *Replica {
	for i := range p.pool.Replicas {
		r := &p.pool.Replicas[i]
		if p.mayTake(r, model, unserved) && len(p.desired.Targets[r.ID.String()].Models) < p.planner.modelsPerReplica() {
			return r
		}
	}
	return nil
}

// donor returns the replica with the fewest running requests that can give up a
// model for gainingModel, and the model that it gives up. Every model keeps at
// least one replica.
func (p *poolPlan) donor(gainingModel string, replicaCounts map[string]int, idealCounts map[string]float64) (*Replica, string) {
	var best *Replica
	var losingModel string
	for i := range p.pool.Replicas {
		r := &p.pool.Replicas[i]
		if !p.mayTake(r, gainingModel, replicaCounts[gainingModel] == 0) {
			continue
		}
		for _, m := range p.desired.Targets[r.ID.String()].Models {
			surplus := float64(replicaCounts[m]) - idealCounts[m]
			if replicaCounts[m] < 2 || replicaCounts[gainingModel] > 0 && surplus < hysteresisReplicas {
				continue
			}
			if best == nil || r.Running < best.Running {
				best, losingModel = r, m
			}
		}
	}
	return best, losingModel
}
