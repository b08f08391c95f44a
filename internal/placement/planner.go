package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"heatherbarrow/internal/scheduling"
)

// Kinds of placement orders.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
	OrderRole   = "role"
	OrderNone   = "none" // of a decision that entails no order
)

const (
	defaultDwell            = 5 * time.Minute
	defaultModelsPerReplica = 1
	// hysteresis is the surplus and the deficit, in replicas, that justify a
	// change; below one half, a change would create the opposite difference.
	hysteresis = 0.75
)

// tierWeights weigh the demand of a tier, so that higher tiers have replicas to
// spare when their demand rises.
var tierWeights = [...]float64{1: 2, 2: 1.5, 3: 1, 4: 1}

// Decision is one order that a changed desired state entails.
type Decision struct {
	ID     scheduling.ReplicaID
	Order  string
	Model  string
	Role   string
	Reason string
}

// Planner derives the desired state from demand. Zero values mean the defaults.
type Planner struct {
	Clock clockwork.Clock
	// Dwell is the shortest time between two changes of a replica.
	Dwell time.Duration
	// ModelsPerReplica is how many models a replica holds at most.
	ModelsPerReplica int
}

// Plan returns the desired state that follows current, and the orders by which
// it differs. It changes at most one replica of each upstream.
func (p *Planner) Plan(current *Desired, pools []Pool) (*Desired, []Decision) {
	next := current.clone()
	var decisions []Decision
	for i := range pools {
		c := &poolPlan{planner: p, pool: &pools[i], desired: next, now: p.Clock.Now()}
		c.adopt()
		c.applyRoles()
		c.move()
		decisions = append(decisions, c.decisions...)
	}
	return next, decisions
}

func (p *Planner) dwell() time.Duration {
	if p.Dwell == 0 {
		return defaultDwell
	}
	return p.Dwell
}

func (p *Planner) capacity() int {
	if p.ModelsPerReplica == 0 {
		return defaultModelsPerReplica
	}
	return p.ModelsPerReplica
}

// poolPlan is the planning of one pool.
type poolPlan struct {
	planner   *Planner
	pool      *Pool
	desired   *Desired
	now       time.Time
	decisions []Decision
}

// usable tells whether a replica counts as serving.
func usable(r *Replica) bool { return r.Live && r.Reported }

// adopt gives replicas without a target what they hold already, as far as the
// upstream still offers it. Empty replicas come last, so that they get what the
// others lack.
func (c *poolPlan) adopt() {
	for _, empty := range []bool{false, true} {
		for i := range c.pool.Replicas {
			r := &c.pool.Replicas[i]
			if usable(r) && (len(r.Models) == 0) == empty {
				c.adoptReplica(r)
			}
		}
	}
}

func (c *poolPlan) adoptReplica(r *Replica) {
	t, ok := c.desired.Targets[r.ID.String()]
	reason := "model is no longer offered"
	if !ok {
		t = Target{Models: slices.Clone(r.Models)}
		reason = "replica is new"
	}
	if len(r.Pinned) > 0 {
		if !ok || !slices.Equal(r.Pinned, t.Models) {
			c.set(r, slices.Clone(r.Pinned), t.Role, "models are pinned in the bundle", !ok)
		}
		return
	}
	kept := slices.DeleteFunc(slices.Clone(t.Models), func(m string) bool { return !slices.Contains(c.pool.Models, m) })
	if len(kept) == 0 {
		if model, found := c.neediest(); found {
			kept = []string{model}
		}
	}
	if ok && slices.Equal(kept, t.Models) {
		return
	}
	c.set(r, kept, t.Role, reason, !ok)
}

// set changes a replica's target and records the orders. adopted marks models
// that the replica holds already.
func (c *poolPlan) set(r *Replica, models []string, role, reason string, adopted bool) {
	id := r.ID.String()
	before := c.desired.Targets[id].Models
	if adopted {
		before = r.Models
	}
	c.desired.Targets[id] = Target{Models: models, Role: role, ChangedUnixMS: c.now.UnixMilli(), Reason: reason}
	added := len(c.decisions)
	for _, m := range before {
		if !slices.Contains(models, m) {
			c.decisions = append(c.decisions, Decision{ID: r.ID, Order: OrderUnload, Model: m, Reason: reason})
		}
	}
	for _, m := range models {
		if !slices.Contains(before, m) {
			c.decisions = append(c.decisions, Decision{ID: r.ID, Order: OrderLoad, Model: m, Reason: reason})
		}
	}
	if adopted && len(c.decisions) == added {
		c.decisions = append(c.decisions, Decision{ID: r.ID, Order: OrderNone, Reason: reason})
	}
}

func (c *poolPlan) applyRoles() {
	for i := range c.pool.Replicas {
		r := &c.pool.Replicas[i]
		id := r.ID.String()
		t, ok := c.desired.Targets[id]
		role := r.WantedRole
		if !ok || t.Role == role {
			continue
		}
		t.Role, t.Reason = role, "role is set in the bundle"
		order := OrderRole
		if role == "" {
			order, t.Reason = OrderNone, "role is no longer set in the bundle"
		}
		c.desired.Targets[id] = t
		c.decisions = append(c.decisions, Decision{ID: r.ID, Order: order, Role: role, Reason: t.Reason})
	}
}

// counts returns the number of usable replicas that are to hold each model.
func (c *poolPlan) counts() map[string]int {
	out := make(map[string]int)
	for i := range c.pool.Replicas {
		r := &c.pool.Replicas[i]
		if !usable(r) {
			continue
		}
		for _, m := range c.desired.Targets[r.ID.String()].Models {
			out[m]++
		}
	}
	return out
}

// ideals returns how many replicas each model should have for its demand.
func (c *poolPlan) ideals() map[string]float64 {
	total, out := 0.0, make(map[string]float64)
	for _, d := range c.pool.Demand {
		if slices.Contains(c.pool.Models, d.Model) {
			weight := d.TokensPerSecond * tierWeights[min(max(d.Tier, 1), len(tierWeights)-1)]
			out[d.Model] += weight
			total += weight
		}
	}
	places := 0
	for i := range c.pool.Replicas {
		if usable(&c.pool.Replicas[i]) {
			places += c.planner.capacity()
		}
	}
	for m := range out {
		if total > 0 {
			out[m] *= float64(places) / total
		}
	}
	return out
}

// neediest returns the model with the greatest deficit.
func (c *poolPlan) neediest() (string, bool) {
	counts, ideals := c.counts(), c.ideals()
	best, deficit := "", 0.0
	for _, m := range c.pool.Models {
		d := ideals[m] - float64(counts[m])
		if counts[m] == 0 {
			d = max(d, 0) + 1 // a model without any replica comes first
		}
		if best == "" || d > deficit {
			best, deficit = m, d
		}
	}
	return best, best != ""
}

// moveReason tells why a model gets a replica. A model without any gets one
// however small its demand is, which would print as "needs 0.00 replicas".
func moveReason(model string, ideal float64, count int) string {
	if count == 0 {
		return fmt.Sprintf("%s is in demand and no replica holds it", model)
	}
	return fmt.Sprintf("demand for %s needs %.2f replicas, has %d", model, ideal, count)
}

// move gives one replica to the model with the greatest deficit.
func (c *poolPlan) move() {
	counts, ideals := c.counts(), c.ideals()
	up, ok := c.neediest()
	if !ok || ideals[up] == 0 {
		return
	}
	if counts[up] > 0 && ideals[up]-float64(counts[up]) < hysteresis {
		return
	}
	reason := moveReason(up, ideals[up], counts[up])
	if r := c.withRoom(up, counts[up] == 0); r != nil {
		t := c.desired.Targets[r.ID.String()]
		c.set(r, append(slices.Clone(t.Models), up), t.Role, reason, false)
		return
	}
	if len(c.pool.DemandMissing) > 0 {
		return // the model given up may be the one that the missing hosts need
	}
	r, down := c.donor(up, counts, ideals)
	if r == nil {
		return
	}
	t := c.desired.Targets[r.ID.String()]
	models := slices.DeleteFunc(slices.Clone(t.Models), func(m string) bool { return m == down })
	c.set(r, append(models, up), t.Role, reason, false)
}

// changeable tells whether a replica may change to hold the model. A model that
// is in demand and that no replica holds does not wait for the dwell time.
func (c *poolPlan) changeable(r *Replica, up string, unserved bool) bool {
	t, ok := c.desired.Targets[r.ID.String()]
	dwelt := c.now.Sub(time.UnixMilli(t.ChangedUnixMS)) >= c.planner.dwell()
	return ok && len(r.Pinned) == 0 && usable(r) && (dwelt || unserved) && !slices.Contains(t.Models, up)
}

func (c *poolPlan) withRoom(up string, unserved bool) *Replica {
	for i := range c.pool.Replicas {
		r := &c.pool.Replicas[i]
		if c.changeable(r, up, unserved) && len(c.desired.Targets[r.ID.String()].Models) < c.planner.capacity() {
			return r
		}
	}
	return nil
}

// donor returns the least busy replica that can give up a model, and the model.
// A model that some class needs keeps at least one replica.
func (c *poolPlan) donor(up string, counts map[string]int, ideals map[string]float64) (*Replica, string) {
	var best *Replica
	var model string
	for i := range c.pool.Replicas {
		r := &c.pool.Replicas[i]
		if !c.changeable(r, up, counts[up] == 0) {
			continue
		}
		for _, m := range c.desired.Targets[r.ID.String()].Models {
			surplus := float64(counts[m]) - ideals[m]
			if counts[m] < 2 || counts[up] > 0 && surplus < hysteresis {
				continue
			}
			if best == nil || r.Running < best.Running {
				best, model = r, m
			}
		}
	}
	return best, model
}
