package placement

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/scheduling"
)

func testReplica(id string, models ...string) Replica {
	return Replica{ID: scheduling.ReplicaID{Upstream: "models", Replica: id}, Address: id, Live: true, HasReport: true, Models: models, Role: "mixed"}
}

func testPool(replicas ...Replica) []Pool {
	return []Pool{{Upstream: "models", Models: []string{"a", "b"}, Replicas: replicas}}
}

func setDemand(pools []Pool, a, b float64) {
	pools[0].Demand = []Demand{{Class: "quote", Tier: 3, Model: "a", TokensPerSecond: a}, {Class: "draft", Tier: 3, Model: "b", TokensPerSecond: b}}
}

func emptyDesired() *Desired { return &Desired{Targets: make(map[string]Target)} }

func countHolding(d *Desired, model string) int {
	n := 0
	for _, t := range d.Targets {
		for _, m := range t.Models {
			if m == model {
				n++
			}
		}
	}
	return n
}

// Guards against a planner that changes models unnecessarily: right after its start,
// when demand fluctuates, or before a replica's dwell time has passed.
func TestPlannerAvoidsUnneededChanges(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := &Planner{Clock: clock}
	pools := testPool(testReplica("e1", "a"), testReplica("e2", "a"), testReplica("e3", "b"), testReplica("e4", "b"))
	setDemand(pools, 120, 80)
	d, decisions := p.Plan(emptyDesired(), pools)
	require.Len(t, decisions, 4)
	for _, decision := range decisions {
		require.Equal(t, "none", decision.Order)
	}
	for i := range 40 { // demand fluctuates by less than the hysteresis
		setDemand(pools, 100+float64(i%2)*30, 100)
		clock.Advance(time.Minute)
		d, decisions = p.Plan(d, pools)
		require.Empty(t, decisions)
	}
	setDemand(pools, 500, 50)
	d, decisions = p.Plan(d, pools)
	require.Len(t, decisions, 2)
	require.Equal(t, []string{OrderUnload, OrderLoad}, []string{decisions[0].Order, decisions[1].Order})
	require.Equal(t, 3, countHolding(d, "a"))
	setDemand(pools, 50, 500) // the dwell time has passed for all replicas but the changed one
	d, _ = p.Plan(d, pools)
	require.Equal(t, 2, countHolding(d, "a"))
	d, decisions = p.Plan(d, pools)
	require.Len(t, decisions, 2)
	require.Equal(t, 1, countHolding(d, "a"))
	_, decisions = p.Plan(d, pools)
	require.Empty(t, decisions, "the last replica of a model must keep it")
}

// Guards against a model of the upstream that no replica holds, and against a plan
// that takes the last replica of another model for it.
func TestPlannerKeepsEveryModelServed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := &Planner{Clock: clock}
	pools := testPool(testReplica("e1", "a"), testReplica("e2"))
	d, decisions := p.Plan(emptyDesired(), pools)
	require.Len(t, decisions, 2)
	require.Equal(t, "b", d.Targets["models/e2"].Models[0], "an empty replica gets the model that the others lack")
	pools[0].Replicas[1].Live = false
	setDemand(pools, 1, 500)
	clock.Advance(time.Hour)
	d, decisions = p.Plan(d, pools)
	require.Empty(t, decisions, "the only live replica that holds a keeps it")
	pools[0].Replicas = append(pools[0].Replicas, testReplica("e3", "a"))
	d, decisions = p.Plan(d, pools)
	require.Len(t, decisions, 3) // one for the new e3, and an unload and a load for e1
	require.Equal(t, []string{"b"}, d.Targets["models/e1"].Models)
	clock.Advance(time.Hour)
	d, decisions = p.Plan(d, pools)
	require.Empty(t, decisions)
	require.Equal(t, 1, countHolding(d, "a"))
	pools[0].Models = []string{"a"}
	d, _ = p.Plan(d, pools)
	require.Equal(t, 1, countHolding(d, "b"), "a replica that is not live keeps its target")
}

// Guards against requests for a model being refused for the whole dwell time because
// all replicas are new and hold another model.
func TestUnservedModelSkipsDwellTime(t *testing.T) {
	p := &Planner{Clock: clockwork.NewFakeClock()}
	pools := testPool(testReplica("e1", "a"), testReplica("e2", "a"), testReplica("e3", "a"))
	setDemand(pools, 100, 100)
	d, _ := p.Plan(emptyDesired(), pools)
	require.Equal(t, 1, countHolding(d, "b"))
	d, decisions := p.Plan(d, pools)
	require.Empty(t, decisions)
	require.Equal(t, 2, countHolding(d, "a"))
}

// Guards against role orders to replicas for which the bundle sets no role.
func TestRoleOrdersOnlyForConfiguredRoles(t *testing.T) {
	p := &Planner{Clock: clockwork.NewFakeClock()}
	pools := testPool(testReplica("e1", "a"), testReplica("e2", "b"))
	d, decisions := p.Plan(emptyDesired(), pools)
	for _, decision := range decisions {
		require.NotEqual(t, OrderRole, decision.Order)
	}
	pools[0].Replicas[0].ConfiguredRole = "prefill"
	d, decisions = p.Plan(d, pools)
	require.Len(t, decisions, 1)
	require.Equal(t, []Order{{Order: OrderRole, Role: "prefill"}}, neededOrders(d, &pools[0], 0))
	require.Empty(t, neededOrders(d, &pools[0], 1))
}

// Guards against a reason that contradicts its decision: a model with little demand
// that no replica held was loaded with the reason "needs 0.00 replicas, has 0".
func TestMoveReasonMatchesDecision(t *testing.T) {
	p := &Planner{Clock: clockwork.NewFakeClock()}
	pools := testPool(testReplica("e1", "a"), testReplica("e2", "a"))
	setDemand(pools, 1000, 0.001)
	_, decisions := p.Plan(emptyDesired(), pools)
	loads := 0
	for _, decision := range decisions {
		if decision.Order == OrderLoad {
			loads++
			require.Equal(t, "b is in demand and no replica holds it", decision.Reason)
		}
	}
	require.Equal(t, 1, loads)
}

// Guards against unloading a model that is needed by hosts whose demand is not
// known.
func TestNoModelIsUnloadedWhileDemandIsUnknown(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := &Planner{Clock: clock}
	pools := testPool(testReplica("e1", "a"), testReplica("e2", "a"), testReplica("e3", "a"), testReplica("e4", "b"))
	d, _ := p.Plan(emptyDesired(), pools)
	clock.Advance(time.Hour)
	setDemand(pools, 1, 500)
	pools[0].UnknownDemandHosts = []string{"host2"}
	_, decisions := p.Plan(d, pools)
	require.Empty(t, decisions)
	pools[0].UnknownDemandHosts = nil
	_, decisions = p.Plan(d, pools)
	require.Len(t, decisions, 2)
}

// Guards against a pinned replica that is moved to another model because of demand,
// and against a newly pinned replica that unloads a model before another replica
// holds it.
func TestPinnedReplicaKeepsPinnedModels(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := &Planner{Clock: clock}
	pools := testPool(testReplica("e1", "a"), testReplica("e2", "a"), testReplica("e3", "b"))
	d, _ := p.Plan(emptyDesired(), pools)
	pools[0].Replicas[2].Pinned = []string{"a"}
	setDemand(pools, 500, 1)
	d, decisions := p.Plan(d, pools)
	require.Equal(t, []string{"a"}, d.Targets["models/e3"].Models)
	require.Equal(t, "models are pinned in the bundle", decisions[0].Reason)
	require.Equal(t, 1, countHolding(d, "b"), "another replica takes over the model of the pinned one")
	require.Equal(t, []Order{{Order: OrderLoad, Model: "a"}}, neededOrders(d, &pools[0], 2), "no other replica holds b yet")
	clock.Advance(time.Hour)
	setDemand(pools, 1, 500)
	d, _ = p.Plan(d, pools)
	require.Equal(t, []string{"a"}, d.Targets["models/e3"].Models)
}
