package main

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/picker"
)

// The design size and its targets for one decision.
const (
	designReplicas  = 600
	designModels    = 28
	designTeams     = 7100
	designZones     = 7
	maxDecisionTime = 10 * time.Microsecond
	maxAllocs       = 2
)

// decisionCost measures one decision at the design size with the real clock.
func decisionCost(t *tally) {
	snapshot := bundle.Compile(designBundle(), 1, "design")
	p := picker.New(picker.Options{AvailabilityZone: "z0", Clock: clockwork.NewRealClock(), Seed: 1})
	p.Update(snapshot, designView(snapshot.Bundle))
	r := scheduling.Request{ID: "r", Upstreams: []int{0}, Model: "m0", Fingerprint: 1, PromptTokens: 500, PrefixHashes: []uint64{1, 2, 3}}
	done := scheduling.Result{Outcome: outcome.Completed}
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			model := i % designModels
			r.Upstreams[0] = model
			r.Model = snapshot.Bundle.Upstreams[model].Models[0]
			r.Class = i % len(snapshot.Bundle.Classes)
			r.Arrived = time.Now()
			choice, ok := p.Pick(&r)
			if !ok {
				b.Fatal("no replica")
			}
			p.Finish(choice.Replica, &r, done)
		}
	})
	if result.N == 0 {
		t.check(false, "metric=decision_time value=none target=%v", maxDecisionTime)
		return
	}
	took := time.Duration(result.NsPerOp())
	fmt.Printf("bench metric=decision_time value=%.2f unit=us\n", float64(took)/float64(time.Microsecond))
	fmt.Printf("bench metric=decision_allocs value=%d unit=allocs\n", result.AllocsPerOp())
	t.check(took <= maxDecisionTime, "metric=decision_time value=%v target=%v", took, maxDecisionTime)
	t.check(result.AllocsPerOp() <= maxAllocs, "metric=decision_allocs value=%d target=%d", result.AllocsPerOp(), maxAllocs)
}

// designBundle has one upstream per model and all replicas spread over the zones.
func designBundle() *bundle.Bundle {
	zones := make([]string, designZones)
	for i := range zones {
		zones[i] = fmt.Sprintf("z%d", i)
	}
	b := commonBundle(0, zones)
	names := b.Upstreams[0].Classes
	b.Teams = teams(designTeams, names...)
	b.Upstreams = nil
	all := replicasIn(designReplicas, "e", zones)
	for m := range designModels {
		from, to := m*designReplicas/designModels, (m+1)*designReplicas/designModels
		b.Upstreams = append(b.Upstreams, bundle.Upstream{
			Name: fmt.Sprintf("u%d", m), Kind: bundle.KindEngine, Classes: names, Models: []string{fmt.Sprintf("m%d", m)},
			Slots: 16, Replicas: all[from:to],
		})
	}
	return b
}

func designView(b *bundle.Bundle) *scheduling.View {
	v := &scheduling.View{Version: 1, HostsInZone: 57, ZoneCount: designZones}
	for i := range b.Upstreams {
		for k := range b.Upstreams[i].Replicas {
			v.Replicas = append(v.Replicas, scheduling.ReplicaLoad{
				ID:        scheduling.ReplicaID{Upstream: b.Upstreams[i].Name, Replica: b.Upstreams[i].Replicas[k].ID},
				HasReport: true, Running: k % 12, ReportedAt: time.Now(),
			})
		}
	}
	return v
}
