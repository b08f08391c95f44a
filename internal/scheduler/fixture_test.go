package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/picker"
	"heatherbarrow/internal/scheduling/requestlimit"
	"heatherbarrow/internal/scheduling/statement"
	"heatherbarrow/internal/settings"
)

// fakePicker picks the first replica of an upstream with a free slot. It never
// exceeds the slots of a replica and fails the test when a slot is released twice.
type fakePicker struct {
	failf         func(format string, args ...any)
	snapshot      *bundle.Snapshot
	running       map[scheduling.ReplicaID]int
	down          map[scheduling.ReplicaID]bool
	quarantined   map[uint64]bool
	reservedSlots int // slots of each replica reserved for the top tier
}

func newFakePicker(failf func(string, ...any)) *fakePicker {
	return &fakePicker{
		failf:       failf,
		running:     make(map[scheduling.ReplicaID]int),
		down:        make(map[scheduling.ReplicaID]bool),
		quarantined: make(map[uint64]bool),
	}
}

func (p *fakePicker) Update(snapshot *bundle.Snapshot, _ *scheduling.View) {
	if snapshot != nil {
		p.snapshot = snapshot
	}
}

// forEachReplica calls visit with each replica that may serve the request and the
// number of its slots that the request may use.
func (p *fakePicker) forEachReplica(r *scheduling.Request, visit func(scheduling.ReplicaID, int)) {
	for _, i := range r.Upstreams {
		u := &p.snapshot.Bundle.Upstreams[i]
		for j := range u.Replicas {
			id := scheduling.ReplicaID{Upstream: u.Name, Replica: u.Replicas[j].ID}
			if !p.down[id] && !slices.Contains(r.Exclude, id) {
				visit(id, u.Slots-p.reservedFrom(r))
			}
		}
	}
}

// reservedFrom returns the number of slots per replica that the request may not use.
func (p *fakePicker) reservedFrom(r *scheduling.Request) int {
	if p.snapshot.Bundle.Classes[r.Class].Tier == bundle.TopTier || r.UseReserve {
		return 0
	}
	return p.reservedSlots
}

func (p *fakePicker) Pick(r *scheduling.Request) (scheduling.Choice, bool) {
	var choice scheduling.Choice
	found := false
	p.forEachReplica(r, func(id scheduling.ReplicaID, slots int) {
		if !found && p.running[id] < slots {
			choice.Replica = id
			found = true
		}
	})
	if found {
		p.running[choice.Replica]++
	}
	return choice, found
}

// PlannedSlots also counts the slots of replicas that are down.
func (p *fakePicker) PlannedSlots(r *scheduling.Request) int {
	planned := 0
	for _, i := range r.Upstreams {
		u := &p.snapshot.Bundle.Upstreams[i]
		planned += len(u.Replicas) * u.Slots
	}
	return planned
}

// Slots also leaves the slots reserved for the top tier out of total for lower tiers,
// whereas the default picker leaves them out of free only.
func (p *fakePicker) Slots(r *scheduling.Request) (total, free int) {
	p.forEachReplica(r, func(id scheduling.ReplicaID, slots int) {
		total += slots
		free += max(slots-p.running[id], 0)
	})
	return total, free
}

func (p *fakePicker) SuspectEvents() []scheduling.SuspectEvent { return nil }

func (p *fakePicker) RecordLimit(scheduling.ReplicaID, requestlimit.Statement, time.Time) bool {
	return false
}

func (p *fakePicker) Limits() []scheduling.ReplicaLimit { return nil }

func (p *fakePicker) RecordStatement(string, statement.Statement, time.Time) statement.Change {
	return statement.Change{}
}

func (p *fakePicker) Held(string) bool                                           { return false }
func (p *fakePicker) HeldProcesses() []picker.HeldProcess                        { return nil }
func (p *fakePicker) RestEnds(*scheduling.Request) (rest time.Duration, ok bool) { return 0, false }

func (p *fakePicker) Refusal(r *scheduling.Request) *scheduling.RefusedError {
	if p.quarantined[r.Fingerprint] {
		return &scheduling.RefusedError{Reason: scheduling.ReasonQuarantined}
	}
	return nil
}

func (p *fakePicker) FirstToken(scheduling.ReplicaID, *scheduling.Request, time.Duration) {}
func (p *fakePicker) Tokens(scheduling.ReplicaID, int, time.Duration)                     {}

func (p *fakePicker) Finish(id scheduling.ReplicaID, _ *scheduling.Request, _ scheduling.Result) {
	p.running[id]--
	if p.running[id] < 0 {
		p.failf("a slot of %s was released twice", id)
	}
}

func (p *fakePicker) Tick()                                         {}
func (p *fakePicker) Measurements() []scheduling.ReplicaMeasurement { return nil }

// Indexes of the classes of the test bundle.
const (
	classQuote = iota
	classOrder
	classReport
	classDraft
)

// testBundle returns a bundle with four classes, one per tier, and the given number
// of engine upstreams, each with its own model.
func testBundle(upstreamCount, replicas, slots, teams int) *bundle.Bundle {
	seconds := func(n float64) settings.Duration { return settings.Duration(n * float64(time.Second)) }
	names := []string{"quote", "order", "report", "draft"}
	b := &bundle.Bundle{Format: bundle.Format, Classes: []bundle.Class{
		{Name: names[0], Tier: 1, FirstTokenTarget: seconds(0.52), Deadline: seconds(30), Share: 0.1, MaxQueue: 256, RetryBudget: 0.1, ExpectedTokens: 40},
		{Name: names[1], Tier: 2, FirstTokenTarget: seconds(2), Deadline: seconds(60), MaxQueue: 256, ExpectedTokens: 40},
		{Name: names[2], Tier: 3, FirstTokenTarget: seconds(5), Deadline: seconds(120), Share: 0.05, MaxQueue: 256, ExpectedTokens: 100, Preemptible: true},
		{Name: names[3], Tier: 4, FirstTokenTarget: seconds(10), Deadline: seconds(600), Share: 0.1, MaxQueue: 512, ExpectedTokens: 600, Preemptible: true},
	}}
	for i := range teams {
		b.Teams = append(b.Teams, bundle.Team{
			Name: fmt.Sprintf("team-%d", i), KeyHashes: []string{bundle.HashKey(fmt.Sprint(i))}, Classes: names,
			TokensPerSecond: 1e9, MaxInProgress: 1e6,
		})
	}
	for i := range upstreamCount {
		u := bundle.Upstream{
			Name: fmt.Sprintf("pool-%d", i), Kind: bundle.KindEngine, Classes: names,
			Models: []string{fmt.Sprintf("model-%d", i)}, Resumable: true, Slots: slots,
		}
		for j := range replicas {
			u.Replicas = append(u.Replicas, bundle.Replica{
				ID: fmt.Sprintf("r%d", j), Address: fmt.Sprintf("127.0.0.1:%d", 10000+1000*i+j), AvailabilityZone: "ate",
			})
		}
		b.Upstreams = append(b.Upstreams, u)
	}
	return b
}

// fixture is a scheduler with a fake clock and a fake picker. The picker is nil in
// benchmarks, which use other pickers.
type fixture struct {
	t      testing.TB
	clock  *clockwork.FakeClock
	picker *fakePicker
	bundle *bundle.Bundle
	*Scheduler
}

func newFixture(t testing.TB, b *bundle.Bundle) *fixture {
	require.NoError(t, b.Validate())
	f := &fixture{t: t, clock: clockwork.NewFakeClock(), picker: newFakePicker(t.Fatalf), bundle: b}
	f.Scheduler = New(Options{Clock: f.clock, Picker: f.picker})
	f.Update(bundle.Compile(b, 1, ""), &scheduling.View{HostsInZone: 1, ZoneCount: 1})
	return f
}

// request returns a resumable request of the class for the upstream with the given
// index.
func (f *fixture) request(class, upstreamIndex int) scheduling.Request {
	now := f.clock.Now()
	return scheduling.Request{
		Class: class, Upstreams: []int{upstreamIndex}, Model: fmt.Sprintf("model-%d", upstreamIndex),
		Arrived: now, Deadline: now.Add(f.bundle.Classes[class].Deadline.Std()), Resumable: true,
	}
}

func (f *fixture) enqueue(r scheduling.Request) *Ticket {
	t, err := f.Enqueue(r)
	require.NoError(f.t, err)
	return t
}

// advance moves the clock forward and calls Tick every 50 ms.
func (f *fixture) advance(d time.Duration) {
	for ; d > 0; d -= 50 * time.Millisecond {
		f.clock.Advance(min(d, 50*time.Millisecond))
		f.Tick()
	}
}

// grantOf returns the ticket's assignment, or nil if none has been delivered.
func grantOf(t *Ticket) *Assignment {
	select {
	case a := <-t.Granted():
		return a
	default:
		return nil
	}
}

// refusalOf returns the ticket's refusal, or nil if none has been delivered.
func refusalOf(t *Ticket) *scheduling.RefusedError {
	select {
	case r := <-t.Refused():
		return r
	default:
		return nil
	}
}

func completedResult(tokens int) scheduling.Result {
	return scheduling.Result{Outcome: outcome.Completed, Tokens: tokens}
}
