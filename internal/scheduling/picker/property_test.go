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

type assigned struct {
	at scheduling.ReplicaID
	r  *scheduling.Request
}

// Guards against counts that drift when requests, reports, crashes and bundles
// come in any order: a slot lost forever, or work on a replica that left.
func TestCountsSurviveAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(t, 6, 4)
		loads := make([]scheduling.ReplicaLoad, 6)
		for i := range loads {
			loads[i].ID = id(i)
		}
		var running []assigned
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			f.clock.Advance(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1:
				r := f.request(rapid.IntRange(0, 1).Draw(rt, "class"), rapid.Uint64Range(1, 6).Draw(rt, "fingerprint"))
				choice, ok := f.Pick(r)
				if !ok {
					break
				}
				running = append(running, assigned{choice.Replica, r})
				require.Equal(rt, scheduling.ReplicaLive, loads[choice.Replica.Replica[1]-'0'].State)
			case 2:
				if len(running) == 0 {
					break
				}
				i := rapid.IntRange(0, len(running)-1).Draw(rt, "index")
				f.Finish(running[i].at, running[i].r, scheduling.Result{
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
				smaller := *f.bundle
				smaller.Upstreams = append([]bundle.Upstream(nil), f.bundle.Upstreams...)
				smaller.Upstreams[0].Replicas = smaller.Upstreams[0].Replicas[:rapid.IntRange(1, 6).Draw(rt, "replicas")]
				f.Update(bundle.Compile(&smaller, 2, ""), nil)
			}
			checkCounts(rt, f, running)
		}
		for _, a := range running {
			f.Finish(a.at, a.r, scheduling.Result{Outcome: outcome.Completed})
		}
		f.Update(bundle.Compile(f.bundle, 3, ""), nil)
		checkCounts(rt, f, nil)
		require.Len(rt, f.replicas, 6)
	})
}

func checkCounts(t require.TestingT, f *fixture, running []assigned) {
	flights, suspects := 0, 0
	for _, r := range f.replicas {
		flights += len(r.flights)
		require.GreaterOrEqual(t, r.suspects, 0)
		require.GreaterOrEqual(t, r.top, 0)
		if !r.removed {
			suspects += r.suspects
		}
	}
	require.Equal(t, len(running), flights)
	total, free := f.Slots(f.request(0, 1))
	require.GreaterOrEqual(t, total, free)
	for _, u := range f.pools {
		require.Equal(t, suspects, u.suspects)
		require.GreaterOrEqual(t, u.counts[0].free[levelTop], u.counts[0].free[levelLower])
	}
}
