package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/picker"
)

// Scale for which the scheduler is designed: 600 replicas of 28 models, 21 or 22 per
// model. scaleFixture rounds down to 21 replicas per model, 588 in total.
const (
	scaleModels          = 28
	scaleReplicas        = 600
	scaleTeams           = 7100
	scaleSlotsPerReplica = 32
)

// roundRobinPicker picks the next replica of an upstream in constant time, so that
// the benchmarks measure the scheduler without the cost of the default picker.
type roundRobinPicker struct {
	fakePicker
	upstreams []struct{ free, next int }
	byName    map[string]int
}

func (p *roundRobinPicker) Update(snapshot *bundle.Snapshot, view *scheduling.View) {
	p.fakePicker.Update(snapshot, view)
	if snapshot == nil {
		return
	}
	p.byName = make(map[string]int)
	p.upstreams = make([]struct{ free, next int }, len(snapshot.Bundle.Upstreams))
	for i := range snapshot.Bundle.Upstreams {
		u := &snapshot.Bundle.Upstreams[i]
		p.byName[u.Name] = i
		p.upstreams[i].free = u.Slots * len(u.Replicas)
	}
}

func (p *roundRobinPicker) Pick(r *scheduling.Request) (scheduling.Choice, bool) {
	i := r.Upstreams[0]
	u := &p.upstreams[i]
	if u.free == 0 {
		return scheduling.Choice{}, false
	}
	u.free--
	definition := &p.snapshot.Bundle.Upstreams[i]
	u.next = (u.next + 1) % len(definition.Replicas)
	id := scheduling.ReplicaID{Upstream: definition.Name, Replica: definition.Replicas[u.next].ID}
	return scheduling.Choice{Replica: id}, true
}

func (p *roundRobinPicker) PlannedSlots(r *scheduling.Request) int {
	total, _ := p.Slots(r)
	return total
}

func (p *roundRobinPicker) Slots(r *scheduling.Request) (total, free int) {
	u := &p.snapshot.Bundle.Upstreams[r.Upstreams[0]]
	return u.Slots * len(u.Replicas), p.upstreams[r.Upstreams[0]].free
}

func (p *roundRobinPicker) Finish(id scheduling.ReplicaID, _ *scheduling.Request, _ scheduling.Result) {
	p.upstreams[p.byName[id.Upstream]].free++
}

func scaleFixture(b *testing.B, p Picker) *fixture {
	return scaleFixtureWith(b, p, testBundle(scaleModels, scaleReplicas/scaleModels, scaleSlotsPerReplica, scaleTeams))
}

func scaleFixtureWith(b *testing.B, p Picker, definition *bundle.Bundle) *fixture {
	for i := range definition.Classes {
		definition.Classes[i].MaxQueue = 1 << 20
	}
	f := &fixture{t: b, clock: clockwork.NewFakeClock(), bundle: definition}
	f.Scheduler = New(Options{Clock: f.clock, Picker: p, AvailabilityZone: "ate"})
	f.Update(bundle.Compile(definition, 1, ""), &scheduling.View{HostsInZone: 1, ZoneCount: 1})
	return f
}

func scaleRequests(f *fixture) []scheduling.Request {
	requests := make([]scheduling.Request, 0, 4*scaleTeams)
	for i := range 4 * scaleTeams {
		r := f.request(i%4, i%scaleModels)
		r.Team = i % scaleTeams
		r.Deadline = r.Arrived.Add(time.Hour)
		requests = append(requests, r)
	}
	return requests
}

func benchmarkFreeSlots(b *testing.B, p Picker) {
	f := scaleFixture(b, p)
	requests := scaleRequests(f)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		t, err := f.Enqueue(requests[i%len(requests)])
		if err != nil {
			b.Fatal(err)
		}
		t.assignment.Finish(completedResult(40))
	}
}

// BenchmarkDecisionFree measures a request that finds a free slot immediately, from
// Enqueue to Finish.
func BenchmarkDecisionFree(b *testing.B) { benchmarkFreeSlots(b, &roundRobinPicker{}) }

// BenchmarkDecisionFreeWithPicker is BenchmarkDecisionFree with the default picker.
func BenchmarkDecisionFreeWithPicker(b *testing.B) {
	benchmarkFreeSlots(b, picker.New(picker.Options{AvailabilityZone: "ate", Clock: clockwork.NewFakeClock()}))
}

// BenchmarkDecisionQueued measures, with all slots taken and n requests waiting, the
// Enqueue of a request that must wait and a Finish that dispatches another.
func BenchmarkDecisionQueued(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint("waiting=", n), func(b *testing.B) {
			f := scaleFixture(b, &roundRobinPicker{})
			requests := scaleRequests(f)
			fillSlotsAndQueue(b, f, requests, n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if _, err := f.Enqueue(requests[i%len(requests)]); err != nil {
					b.Fatal(err)
				}
				newestRunning(f.upstreams[i%scaleModels]).Finish(completedResult(40))
			}
		})
	}
}

// BenchmarkDecisionSharedUpstream is BenchmarkDecisionQueued with all models on
// the replicas of one upstream, so that their requests compete for its slots.
func BenchmarkDecisionSharedUpstream(b *testing.B) {
	definition := testBundle(1, scaleReplicas, scaleSlotsPerReplica, scaleTeams)
	for i := 1; i < scaleModels; i++ {
		definition.Upstreams[0].Models = append(definition.Upstreams[0].Models, fmt.Sprint("model-", i))
	}
	f := scaleFixtureWith(b, &roundRobinPicker{}, definition)
	requests := scaleRequests(f)
	for i := range requests {
		requests[i].Upstreams = []int{0}
	}
	fillSlotsAndQueue(b, f, requests, 10000)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if _, err := f.Enqueue(requests[i%len(requests)]); err != nil {
			b.Fatal(err)
		}
		newestRunning(f.upstreams[0]).Finish(completedResult(40))
	}
}

// fillSlotsAndQueue enqueues requests until n of them wait. They are spread evenly
// over the models, so that all slots are taken by then.
func fillSlotsAndQueue(b *testing.B, f *fixture, requests []scheduling.Request, n int) {
	for i := 0; f.expiry.Len() < n; i++ {
		if _, err := f.Enqueue(requests[i%len(requests)]); err != nil {
			b.Fatal(err)
		}
	}
}

// newestRunning returns the most recently granted request of the highest tier that
// runs on the upstream.
func newestRunning(u *upstream) *Assignment {
	for tier := range u.runningByTier {
		if a := u.runningByTier[tier].newest; a != nil {
			return a
		}
	}
	return nil
}

// BenchmarkTick measures the periodic work with all slots taken and 10,000 requests
// waiting.
func BenchmarkTick(b *testing.B) {
	f := scaleFixture(b, &roundRobinPicker{})
	requests := scaleRequests(f)
	fillSlotsAndQueue(b, f, requests, 10000)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		f.Tick()
	}
}

// BenchmarkToken measures the cost of recording one token of a stream.
func BenchmarkToken(b *testing.B) {
	f := scaleFixture(b, &roundRobinPicker{})
	t, err := f.Enqueue(scaleRequests(f)[0])
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for range b.N {
		t.assignment.Token(1)
	}
}
