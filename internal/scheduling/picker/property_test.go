package picker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/scheduling"
)

// assignment is a request in progress and its replica.
type assignment struct {
	replica scheduling.ReplicaID
	req     *scheduling.Request
}

// Guards against slot and request counts that become inconsistent when requests, reports,
// crashes and bundles arrive in any order: a slot would be lost for good, or a leaving
// replica would receive requests.
func TestCountsStayConsistentInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(t, 6, 4)
		loads := make([]scheduling.ReplicaLoad, 6)
		for i := range loads {
			loads[i].ID = id(i)
		}
		var running []assignment
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			f.clock.Advance(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1:
				req := f.request(rapid.IntRange(0, 1).Draw(rt, "class"), rapid.Uint64Range(1, 6).Draw(rt, "fingerprint"))
				choice, ok := f.Pick(req)
				if !ok {
					break
				}
				running = append(running, assignment{choice.Replica, req})
				require.Equal(rt, scheduling.ReplicaLive, loads[choice.Replica.Replica[1]-'0'].State)
			case 2:
				if len(running) == 0 {
					break
				}
				i := rapid.IntRange(0, len(running)-1).Draw(rt, "index")
				f.Finish(running[i].replica, running[i].req, scheduling.Result{
					Crashed: rapid.Bool().Draw(rt, "crashed"), Outcome: outcome.Unknown,
				})
				running = append(running[:i], running[i+1:]...)
			case 3:
				i := rapid.IntRange(0, 5).Draw(rt, "replica")
				loads[i] = scheduling.ReplicaLoad{
					ID: id(i), State: scheduling.ReplicaState(rapid.IntRange(0, 2).Draw(rt, "state")),
					HasReport: true, Running: rapid.IntRange(0, 6).Draw(rt, "load"), ReportedAt: f.clock.Now(),
				}
				f.Update(nil, &scheduling.View{HostsInZone: 2, Replicas: append([]scheduling.ReplicaLoad(nil), loads...)})
			case 4:
				f.Tick()
			default:
				reduced := *f.bundle
				reduced.Upstreams = append([]bundle.Upstream(nil), f.bundle.Upstreams...)
				reduced.Upstreams[0].Replicas = reduced.Upstreams[0].Replicas[:rapid.IntRange(1, 6).Draw(rt, "replicas")]
				f.Update(bundle.Compile(&reduced, 2, ""), nil)
			}
			checkCounts(rt, f, running)
		}
		for _, a := range running {
			f.Finish(a.replica, a.req, scheduling.Result{Outcome: outcome.Completed})
		}
		f.Update(bundle.Compile(f.bundle, 3, ""), nil)
		checkCounts(rt, f, nil)
		require.Len(rt, f.replicas, 6)
	})
}

// checkCounts compares the picker's counts with the running requests and with each other.
func checkCounts(t require.TestingT, f *fixture, running []assignment) {
	inFlight, suspectsInFlight := 0, 0
	for _, r := range f.replicas {
		inFlight += len(r.inFlight)
		require.GreaterOrEqual(t, r.suspectsInFlight, 0)
		require.GreaterOrEqual(t, r.topTier, 0)
		if !r.removed {
			suspectsInFlight += r.suspectsInFlight
		}
	}
	require.Equal(t, len(running), inFlight)
	total, free := f.Slots(f.request(0, 1))
	require.GreaterOrEqual(t, total, free)
	for _, upstreamPool := range f.pools {
		require.Equal(t, suspectsInFlight, upstreamPool.suspectsInFlight)
		require.GreaterOrEqual(t, upstreamPool.slotsByModel[0].free[levelTop], upstreamPool.slotsByModel[0].free[levelLower])
	}
}
