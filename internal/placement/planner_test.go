package placement

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/scheduling"
)

func testReplica(id string, models ...string) Replica {
	return Replica{ID: scheduling.ReplicaID{Upstream: "models", Replica: id}, Address: id, Live: true, Reported: true, Models: models, Role: "mixed"}
}

func testPool(replicas ...Replica) []Pool {
	return []Pool{{Upstream: "models", Models: []string{"a", "b"}, Replicas: replicas}}
}

func demand(pools []Pool, a, b float64) {
	pools[0].Demand = []Demand{{Class: "quote", Tier: 3, Model: "a", TokensPerSecond: a}, {Class: "draft", Tier: 3, Model: "b", TokensPerSecond: b}}
}

func emptyDesired() *Desired { return &Desired{Targets: make(map[string]Target)} }

func holding(d *Desired, model string) int {
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

// Guards against a planner that disturbs engines without need: right after it
// starts, when demand swings, or before a replica's dwell time has passed.
func TestPlannerChangesLittle(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := &Planner{Clock: clock}
	pools := testPool(testReplica("e1", "a"), testReplica("e2", "a"), testReplica("e3", "b"), testReplica("e4", "b"))
	demand(pools, 120, 80)
	d, decisions := p.Plan(emptyDesired(), pools)
	require.Len(t, decisions, 4)
	for _, decision := range decisions {
		require.Equal(t, "none", decision.Order)
	}
	for i := range 40 { // demand swings by less than the hysteresis
		demand(pools, 100+float64(i%2)*30, 100)
		clock.Advance(time.Minute)
		d, decisions = p.Plan(d, pools)
		require.Empty(t, decisions)
	}
	demand(pools, 500, 50)
	d, decisions = p.Plan(d, pools)
	require.Len(t, decisions, 2)
	require.Equal(t, []string{OrderUnload, OrderLoad}, []string{decisions[0].Order, decisions[1].Order})
	require.Equal(t, 3, holding(d, "a"))
	demand(pools, 50, 500) // all replicas but the changed one have dwelt
	d, _ = p.Plan(d, pools)
	require.Equal(t, 2, holding(d, "a"))
	d, decisions = p.Plan(d, pools)
	require.Len(t, decisions, 2)
	require.Equal(t, 1, holding(d, "a"))
	_, decisions = p.Plan(d, pools)
	require.Empty(t, decisions, "the last replica of a model must stay")
}

// Guards against a model that a class needs and no replica holds, and against a
// plan that takes the last replica of another model for it.
func TestPlannerKeepsEveryModelServed(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := &Planner{Clock: clock}
	pools := testPool(testReplica("e1", "a"), testReplica("e2"))
	d, decisions := p.Plan(emptyDesired(), pools)
	require.Len(t, decisions, 2)
	require.Equal(t, "b", d.Targets["models/e2"].Models[0], "an empty replica gets what the others lack")
	pools[0].Replicas[1].Live = false
	demand(pools, 1, 500)
	clock.Advance(time.Hour)
	d, decisions = p.Plan(d, pools)
	require.Empty(t, decisions, "the only live replica of a stays with it")
	pools[0].Replicas = append(pools[0].Replicas, testReplica("e3", "a"))
	d, decisions = p.Plan(d, pools)
	require.Len(t, decisions, 3) // e3 is taken in, e1 changes
	require.Equal(t, []string{"b"}, d.Targets["models/e1"].Models)
	clock.Advance(time.Hour)
	d, decisions = p.Plan(d, pools)
	require.Empty(t, decisions)
	require.Equal(t, 1, holding(d, "a"))
	pools[0].Models = []string{"a"}
	d, _ = p.Plan(d, pools)
	require.Equal(t, 1, holding(d, "b"), "a replica that is not live keeps its target")
}

// Guards against demand that is refused for the whole dwell time because every
// replica has just been taken in with another model.
func TestUnservedModelDoesNotWait(t *testing.T) {
	p := &Planner{Clock: clockwork.NewFakeClock()}
	pools := testPool(testReplica("e1", "a"), testReplica("e2", "a"), testReplica("e3", "a"))
	demand(pools, 100, 100)
	d, _ := p.Plan(emptyDesired(), pools)
	require.Equal(t, 1, holding(d, "b"))
	d, decisions := p.Plan(d, pools)
	require.Empty(t, decisions)
	require.Equal(t, 2, holding(d, "a"))
}

// Guards against role orders that nobody asked for.
func TestRolesAreAskedFor(t *testing.T) {
	p := &Planner{Clock: clockwork.NewFakeClock()}
	pools := testPool(testReplica("e1", "a"), testReplica("e2", "b"))
	d, decisions := p.Plan(emptyDesired(), pools)
	for _, decision := range decisions {
		require.NotEqual(t, OrderRole, decision.Order)
	}
	pools[0].Replicas[0].WantedRole = "prefill"
	d, decisions = p.Plan(d, pools)
	require.Len(t, decisions, 1)
	require.Equal(t, []Order{{Order: OrderRole, Role: "prefill"}}, due(d, &pools[0], 0))
	require.Empty(t, due(d, &pools[0], 1))
}

// Guards against a reason that contradicts its decision: a model with little
// demand that no replica held was loaded because it "needs 0.00 replicas, has 0".
func TestReasonOfAMoveIsPlausible(t *testing.T) {
	p := &Planner{Clock: clockwork.NewFakeClock()}
	pools := testPool(testReplica("e1", "a"), testReplica("e2", "a"))
	demand(pools, 1000, 0.001)
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

// Guards against a model that is taken from hosts whose demand did not arrive.
func TestNothingIsGivenUpOnMissingDemand(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := &Planner{Clock: clock}
	pools := testPool(testReplica("e1", "a"), testReplica("e2", "a"), testReplica("e3", "a"), testReplica("e4", "b"))
	d, _ := p.Plan(emptyDesired(), pools)
	clock.Advance(time.Hour)
	demand(pools, 1, 500)
	pools[0].DemandMissing = []string{"host2"}
	_, decisions := p.Plan(d, pools)
	require.Empty(t, decisions)
	pools[0].DemandMissing = nil
	_, decisions = p.Plan(d, pools)
	require.Len(t, decisions, 2)
}

// Guards against demand that moves a pinned replica, and against a pin that takes
// the last replica of another model before that model is held elsewhere.
func TestPinnedReplicaStays(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := &Planner{Clock: clock}
	pools := testPool(testReplica("e1", "a"), testReplica("e2", "a"), testReplica("e3", "b"))
	d, _ := p.Plan(emptyDesired(), pools)
	pools[0].Replicas[2].Pinned = []string{"a"}
	demand(pools, 500, 1)
	d, decisions := p.Plan(d, pools)
	require.Equal(t, []string{"a"}, d.Targets["models/e3"].Models)
	require.Equal(t, "models are pinned in the bundle", decisions[0].Reason)
	require.Equal(t, 1, holding(d, "b"), "another replica takes over what the pinned one held")
	require.Equal(t, []Order{{Order: OrderLoad, Model: "a"}}, due(d, &pools[0], 2), "b is not held elsewhere yet")
	clock.Advance(time.Hour)
	demand(pools, 1, 500)
	d, _ = p.Plan(d, pools)
	require.Equal(t, []string{"a"}, d.Targets["models/e3"].Models)
}
