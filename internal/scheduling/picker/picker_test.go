package picker

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/settings"
)

// fixture is a picker with a fake clock and the bundle that it was given.
type fixture struct {
	*Picker
	clock  *clockwork.FakeClock
	bundle *bundle.Bundle
	next   int // requests created so far; the ID of the latest one contains it
}

// newFixture returns a picker in zone a with one upstream, whose replicas r0, r1, ... are in
// zones a and b alternately. Class 0 is of the top tier, class 1 of a lower one.
func newFixture(t *testing.T, replicas, slots int) *fixture {
	t.Helper()
	u := bundle.Upstream{Name: "u", Kind: bundle.KindEngine, Classes: []string{"top", "low"}, Models: []string{"m"}, Slots: slots}
	for i := range replicas {
		u.Replicas = append(u.Replicas, bundle.Replica{
			ID: fmt.Sprintf("r%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i+1), AvailabilityZone: []string{"a", "b"}[i%2],
		})
	}
	target := settings.Duration(500 * time.Millisecond)
	b := &bundle.Bundle{
		Classes: []bundle.Class{
			{Name: "top", Tier: 1, FirstTokenTarget: target},
			{Name: "low", Tier: 3, FirstTokenTarget: target},
		},
		Upstreams: []bundle.Upstream{u},
		Limits:    bundle.Limits{PoisonCrashes: 2, QuarantineTime: settings.Duration(time.Hour)},
	}
	clock := clockwork.NewFakeClock()
	p := New(Options{AvailabilityZone: "a", Clock: clock, Seed: 1})
	p.Update(bundle.Compile(b, 1, ""), nil)
	return &fixture{Picker: p, clock: clock, bundle: b}
}

// request returns a new request with a unique ID.
func (f *fixture) request(class int, fingerprint uint64) *scheduling.Request {
	f.next++
	return &scheduling.Request{
		ID: fmt.Sprintf("q%d", f.next), Class: class, Upstreams: []int{0}, Model: "m",
		Fingerprint: fingerprint, PromptTokens: 100, Arrived: f.clock.Now(),
	}
}

// id returns the ID of replica i of newFixture.
func id(i int) scheduling.ReplicaID {
	return scheduling.ReplicaID{Upstream: "u", Replica: fmt.Sprintf("r%d", i)}
}

// Guards against requests to replicas that are leaving, full or excluded, or that have not
// loaded the model.
func TestPickFilters(t *testing.T) {
	f := newFixture(t, 4, 2)
	now := f.clock.Now()
	f.Update(nil, &scheduling.View{HostsInZone: 2, Replicas: []scheduling.ReplicaLoad{
		{ID: id(0), State: scheduling.ReplicaLeaving},
		{ID: id(1), HasReport: true, Running: 2, ReportedAt: now},
		{ID: id(2), HasReport: true, ReportedAt: now, Models: []string{"other"}},
		{ID: id(3), HasReport: true, ReportedAt: now},
	}})
	r := f.request(0, 1)
	choice, ok := f.Pick(r)
	require.True(t, ok)
	require.Equal(t, id(3), choice.Replica)
	require.True(t, choice.Decision.CrossZone)
	require.Equal(t, reasonZoneFull, choice.Decision.Reason)
	second := f.request(0, 2)
	second.Exclude = []scheduling.ReplicaID{id(3)}
	_, ok = f.Pick(second)
	require.False(t, ok)
}

// Guards against slots that are counted twice or never returned after a request.
func TestSlotsAreTakenAndReturned(t *testing.T) {
	f := newFixture(t, 4, 8)
	r := f.request(0, 1)
	total, free := f.Slots(r)
	require.Equal(t, 32, total)
	require.Equal(t, 32, free)
	choice, ok := f.Pick(r)
	require.True(t, ok)
	_, free = f.Slots(r)
	require.Equal(t, 31, free)
	f.Finish(choice.Replica, r, scheduling.Result{Outcome: outcome.Completed})
	f.Finish(choice.Replica, r, scheduling.Result{Outcome: outcome.Completed})
	_, free = f.Slots(r)
	require.Equal(t, 32, free)
	_, free = f.Slots(f.request(1, 0))
	lower := 0
	for _, ok := f.Pick(f.request(1, 0)); ok; _, ok = f.Pick(f.request(1, 0)) {
		lower++
	}
	require.Equal(t, 4*(8-int(8*reserveShare)), lower, "lower tiers do not use the reserve")
	require.Equal(t, free, lower)
	_, ok = f.Pick(f.request(0, 0))
	require.True(t, ok, "the top tier uses the reserve")
}

// Guards against a cached prefix that attracts requests to a replica that is too slow for
// the class's target, and against affinity entries that remain after a gap in the cache
// events.
func TestAffinityRespectsTargetAndEventGaps(t *testing.T) {
	f := newFixture(t, 6, 16)
	r := f.request(0, 1)
	r.PrefixHashes = []uint64{11}
	require.True(t, f.ApplyCacheEvents(id(2), []CacheEvent{{Sequence: 1, Prefix: 11}}))
	choice, ok := f.Pick(r)
	require.True(t, ok)
	require.Equal(t, id(2), choice.Replica)
	require.Equal(t, reasonAffinity, choice.Decision.Reason)
	f.replicas[id(2)].slowness = 9
	choice, ok = f.Pick(f.withNewID(r))
	require.True(t, ok)
	require.NotEqual(t, id(2), choice.Replica)
	f.replicas[id(2)].slowness = 1
	require.False(t, f.ApplyCacheEvents(id(2), []CacheEvent{{Sequence: 5, Prefix: 12}}))
	_, found := f.affinity.holders(12)
	require.True(t, found)
	holders, _ := f.affinity.holders(11)
	require.NotContains(t, holders[:], f.replicas[id(2)])
}

// withNewID returns a copy of the request with a new ID.
func (f *fixture) withNewID(r *scheduling.Request) *scheduling.Request {
	next := *r
	f.next++
	next.ID = fmt.Sprintf("q%d", f.next)
	return &next
}

// Guards against hosts with the same view of the replicas that all pick the same replica
// before the next reports.
func TestHostsWithSameViewSpreadLoad(t *testing.T) {
	counts := make(map[scheduling.ReplicaID]int)
	for seed := range uint64(40) {
		f := newFixture(t, 24, 16)
		f.Picker = New(Options{AvailabilityZone: "a", Clock: f.clock, Seed: seed})
		view := &scheduling.View{HostsInZone: 40}
		for i := range 24 {
			view.Replicas = append(view.Replicas, scheduling.ReplicaLoad{
				ID: id(i), HasReport: true, Running: 4 + i%3, ReportedAt: f.clock.Now(),
			})
		}
		f.Update(bundle.Compile(f.bundle, 1, ""), view)
		choice, ok := f.Pick(f.request(0, 1))
		require.True(t, ok)
		counts[choice.Replica]++
	}
	for replica, n := range counts {
		// At most half of the 40 requests may go to one replica.
		require.LessOrEqual(t, n, 20, replica)
	}
}

// Guards against a suspect that runs twice at the same time or shares a replica with
// top-tier requests, and against the refusal of an innocent request because it shared a
// replica with the cause of a crash.
func TestSuspectsRunSeparately(t *testing.T) {
	f := newFixture(t, 4, 4)
	poison := f.request(1, 66)
	firstChoice, ok := f.Pick(poison)
	require.True(t, ok)
	f.Finish(firstChoice.Replica, poison, scheduling.Result{Crashed: true})
	topTier := f.request(0, 5)
	topTierChoice, ok := f.Pick(topTier)
	require.True(t, ok)
	retry := f.request(1, 66)
	retryChoice, ok := f.Pick(retry)
	require.True(t, ok)
	require.NotEqual(t, topTierChoice.Replica, retryChoice.Replica)
	_, ok = f.Pick(f.request(1, 66))
	require.False(t, ok, "a second suspect with the same fingerprint")
	innocent := f.request(1, 7)
	f.replicas[retryChoice.Replica].addInFlight(inFlightRequest{id: innocent.ID, fingerprint: 7, started: f.clock.Now()})
	f.Finish(retryChoice.Replica, retry, scheduling.Result{Crashed: true})
	f.Finish(retryChoice.Replica, innocent, scheduling.Result{Crashed: true})
	refusal := f.Refusal(f.request(1, 66))
	require.NotNil(t, refusal)
	require.Equal(t, scheduling.ReasonQuarantined, refusal.Reason)
	require.Nil(t, f.Refusal(f.request(1, 7)))
}

// Guards against refusing a request that was in flight in two crashes which a part of other requests'
// prompts explains.
func TestQuarantinedPartExplainsCrashesOfWholeRequests(t *testing.T) {
	f := newFixture(t, 4, 4)
	innocent := f.request(1, 7)
	crashWith := func(parts []uint64, fingerprint uint64) {
		f.clock.Advance(2 * time.Second)
		q := f.request(1, fingerprint)
		q.Parts = parts
		choice, ok := f.Pick(q)
		require.True(t, ok)
		f.replicas[choice.Replica].addInFlight(inFlightRequest{id: innocent.ID, fingerprint: 7, started: f.clock.Now()})
		f.Finish(choice.Replica, innocent, scheduling.Result{Crashed: true})
		f.Finish(choice.Replica, q, scheduling.Result{Crashed: true})
	}
	crashWith([]uint64{100}, 66)
	crashWith([]uint64{100}, 67)
	refusal := f.Refusal(f.request(1, 7))
	require.NotNil(t, refusal, "no part is to blame yet")
	require.Equal(t, scheduling.ReasonQuarantined, refusal.Reason)
	crashWith([]uint64{100}, 68)
	poisoned := f.request(1, 69)
	poisoned.Parts = []uint64{100}
	require.NotNil(t, f.Refusal(poisoned))
	require.Nil(t, f.Refusal(f.request(1, 7)))
	_, ok := f.Pick(f.request(1, 7))
	require.True(t, ok)
}

// BenchmarkPick measures a decision with its Finish, the slot counts and a tick at the
// largest planned deployment: 600 replicas, 28 models, 7 zones and 4 classes, one for each
// tier.
func BenchmarkPick(b *testing.B) {
	const replicas, models = 600, 28
	var classes []string
	config := &bundle.Bundle{}
	for tier := bundle.TopTier; tier <= bundle.MaxTier; tier++ {
		classes = append(classes, fmt.Sprintf("c%d", tier))
		config.Classes = append(config.Classes, bundle.Class{
			Name: classes[tier-1], Tier: tier, FirstTokenTarget: settings.Duration(520 * time.Millisecond),
		})
	}
	view := &scheduling.View{HostsInZone: 57, ZoneCount: 7}
	for m := range models {
		u := bundle.Upstream{Name: fmt.Sprintf("u%d", m), Kind: bundle.KindEngine, Classes: classes, Models: []string{"m"}, Slots: 16}
		for i := m; i < replicas; i += models {
			u.Replicas = append(u.Replicas, bundle.Replica{
				ID: fmt.Sprintf("r%d", i), Address: "10.0.0.1:80", AvailabilityZone: fmt.Sprintf("z%d", i/models%7),
			})
			view.Replicas = append(view.Replicas, scheduling.ReplicaLoad{
				ID:        scheduling.ReplicaID{Upstream: u.Name, Replica: u.Replicas[len(u.Replicas)-1].ID},
				HasReport: true, Running: i % 12, ReportedAt: time.Now(),
			})
		}
		config.Upstreams = append(config.Upstreams, u)
	}
	p := New(Options{AvailabilityZone: "z0", Clock: clockwork.NewRealClock(), Seed: 1})
	p.Update(bundle.Compile(config, 1, ""), view)
	r := &scheduling.Request{ID: "q", Upstreams: []int{0}, Model: "m", PromptTokens: 500, PrefixHashes: []uint64{1, 2, 3}}
	b.Run("pick", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			r.Upstreams[0], r.Class, r.Arrived = i%models, i%len(classes), time.Now()
			if choice, ok := p.Pick(r); ok {
				p.Finish(choice.Replica, r, scheduling.Result{Outcome: outcome.Completed})
			}
		}
	})
	b.Run("slots", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			r.Upstreams[0] = i % models
			p.Slots(r)
		}
	})
	b.Run("tick", func(b *testing.B) {
		for range b.N {
			p.Tick()
		}
	})
}

// Guards against planned slots that omit a crashed replica: capacity lost in a crash would
// look like capacity that the bundle or the placement never assigned to the model.
func TestPlannedSlots(t *testing.T) {
	f := newFixture(t, 3, 8)
	f.Update(nil, &scheduling.View{HostsInZone: 1, ZoneCount: 1, Replicas: []scheduling.ReplicaLoad{
		{ID: id(0), State: scheduling.ReplicaDead},
		{ID: id(1), HasReport: true, ReportedAt: f.clock.Now(), Models: []string{"m"}},
		{ID: id(2), HasReport: true, ReportedAt: f.clock.Now(), Models: []string{"other"}},
	}})
	total, _ := f.Slots(f.request(0, 0))
	require.Equal(t, 8, total)
	require.Equal(t, 16, f.PlannedSlots(f.request(0, 0)))
}

// Guards against an answer that had started before a crash and is resumed on the replica
// where the cause of the crash runs next, and against one that is never resumed.
func TestStartedAnswerWaitsAfterCrash(t *testing.T) {
	f := newFixture(t, 4, 4)
	for i, progress := range []int{0, 20} {
		fingerprint := uint64(7 + i)
		r := f.request(1, fingerprint)
		choice, ok := f.Pick(r)
		require.True(t, ok)
		f.Finish(choice.Replica, r, scheduling.Result{Outcome: outcome.Unknown, Crashed: true, Tokens: progress})
		retry := f.request(1, fingerprint)
		retry.Progress, retry.Exclude = progress, []scheduling.ReplicaID{choice.Replica}
		_, ok = f.Pick(retry)
		require.Equal(t, progress == 0, ok)
		f.clock.Advance(resumeDelay)
		if progress > 0 {
			_, ok = f.Pick(retry)
			require.True(t, ok)
		}
	}
}

// Guards against an innocent suspect that is lost because it is placed on the replica that
// runs the cause of its crash, or on one that the cause has just crashed and that is still
// down.
func TestSuspectAvoidsCauseOfItsCrash(t *testing.T) {
	f := newFixture(t, 2, 4)
	for i := range 2 {
		f.replicas[id(i)].addInFlight(inFlightRequest{id: "top", fingerprint: 5, started: f.clock.Now(), topTier: true})
	}
	cause, innocent := f.request(1, 66), f.request(1, 7)
	first, ok := f.Pick(cause)
	require.True(t, ok)
	f.replicas[first.Replica].addInFlight(inFlightRequest{id: innocent.ID, fingerprint: 7, started: f.clock.Now()})
	f.Finish(first.Replica, cause, scheduling.Result{Crashed: true})
	f.Finish(first.Replica, innocent, scheduling.Result{Crashed: true})
	innocent.Exclude = []scheduling.ReplicaID{first.Replica}
	second, ok := f.Pick(cause)
	require.True(t, ok, "a suspect may share a replica with top-tier requests when no other is free")
	require.NotEqual(t, first.Replica, second.Replica)
	_, ok = f.Pick(innocent)
	require.False(t, ok, "the only other replica runs the cause")
	f.Finish(second.Replica, cause, scheduling.Result{Crashed: true})
	_, ok = f.Pick(innocent)
	require.False(t, ok, "the replica has just crashed")
	f.clock.Advance(failedReplicaDelay)
	f.Tick()
	third, ok := f.Pick(innocent)
	require.True(t, ok)
	require.Equal(t, second.Replica, third.Replica)
}
