package scheduler

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
)

// Guards against a lower tier taking a slot while a higher tier waits for it.
func TestHigherTierGoesFirst(t *testing.T) {
	b := testBundle(1, 1, 1, 1)
	for i := range b.Classes {
		b.Classes[i].Share = 0
	}
	f := newFixture(t, b)
	first := grantOf(f.enqueue(f.request(classQuote, 0)))
	require.NotNil(t, first)
	draft := f.enqueue(f.request(classDraft, 0))
	quote := f.enqueue(f.request(classQuote, 0))
	first.Finish(completedResult(1))
	require.Nil(t, grantOf(draft))
	require.NotNil(t, grantOf(quote))
}

// Guards against starvation of a class that runs fewer requests than its guaranteed
// share.
func TestClassBelowShareGetsNextFreeSlot(t *testing.T) {
	f := newFixture(t, testBundle(1, 1, 10, 1))
	var quotes []*Assignment
	for range 10 {
		quotes = append(quotes, grantOf(f.enqueue(f.request(classQuote, 0))))
	}
	quote := f.enqueue(f.request(classQuote, 0))
	draft := f.enqueue(f.request(classDraft, 0))
	quotes[0].Finish(completedResult(1))
	require.NotNil(t, grantOf(draft), "the draft class runs nothing and has a share of one slot")
	require.Nil(t, grantOf(quote))
	quotes[1].Finish(completedResult(1))
	require.NotNil(t, grantOf(quote))
}

// Guards against a class without a share waiting forever behind higher tiers.
func TestAgingBoundsWait(t *testing.T) {
	b := testBundle(1, 1, 4, 1)
	for i := range b.Classes {
		b.Classes[i].Share = 0
	}
	f := newFixture(t, b)
	quotes := make(map[*Ticket]bool)
	for range 8 {
		quotes[f.enqueue(f.request(classQuote, 0))] = true
	}
	draft := f.enqueue(f.request(classDraft, 0))
	waited := time.Duration(0)
	for draft.state == waiting {
		for q := range quotes {
			if a := grantOf(q); a != nil {
				a.Finish(completedResult(1))
				delete(quotes, q)
				quotes[f.enqueue(f.request(classQuote, 0))] = true
			}
		}
		f.advance(time.Second)
		waited += time.Second
		// A draft has aged after 150 s, a quarter of its deadline.
		require.Less(t, waited, 200*time.Second)
	}
	require.NotNil(t, grantOf(draft))
}

// Guards against slots that the picker reserves for the top tier being unavailable
// to the top tier or to a class that runs fewer requests than its guaranteed share.
func TestReservedSlots(t *testing.T) {
	f := newFixture(t, testBundle(1, 2, 4, 1))
	f.picker.reservedSlots = 1 // of the 4 slots of each replica: orders get 6 of 8
	order := f.enqueue(f.request(classOrder, 0))
	require.NotNil(t, grantOf(order))
	var quotes []*Assignment
	for range 5 {
		require.NotNil(t, grantOf(f.enqueue(f.request(classOrder, 0))))
	}
	waitingOrder := f.enqueue(f.request(classOrder, 0))
	require.Nil(t, grantOf(waitingOrder))
	for range 2 {
		quotes = append(quotes, grantOf(f.enqueue(f.request(classQuote, 0))))
		require.NotNil(t, quotes[len(quotes)-1])
	}
	draft := f.enqueue(f.request(classDraft, 0))
	require.Nil(t, grantOf(draft))
	quotes[0].Finish(completedResult(1))
	require.NotNil(t, grantOf(draft), "the draft class runs nothing and has a share of one slot")
	quotes[1].Finish(completedResult(1))
	require.Nil(t, grantOf(waitingOrder))
	require.NotNil(t, grantOf(f.enqueue(f.request(classQuote, 0))))
	require.False(t, waitingOrder.classQueue.restricted)
}

// Guards against a pool without free slots blocking another pool.
func TestFullPoolDoesNotBlockOthers(t *testing.T) {
	f := newFixture(t, testBundle(2, 1, 1, 1))
	require.NotNil(t, grantOf(f.enqueue(f.request(classQuote, 0))))
	require.Nil(t, grantOf(f.enqueue(f.request(classQuote, 0))))
	// A pool without any replica must not block another either.
	f.picker.down[scheduling.ReplicaID{Upstream: "pool-0", Replica: "r0"}] = true
	f.advance(time.Second)
	require.NotNil(t, grantOf(f.enqueue(f.request(classDraft, 1))))
}

// Guards against a request that no replica can take blocking the other requests of
// its class.
func TestExcludedReplicaDoesNotBlockClass(t *testing.T) {
	f := newFixture(t, testBundle(1, 2, 1, 1))
	first := grantOf(f.enqueue(f.request(classQuote, 0)))
	second := grantOf(f.enqueue(f.request(classQuote, 0)))
	retry := f.request(classQuote, 0)
	retry.Attempt = 1
	retry.PreviousNotRun = true
	retry.Exclude = []scheduling.ReplicaID{first.Replica}
	retried := f.enqueue(retry)
	other := f.enqueue(f.request(classQuote, 0))
	first.Finish(completedResult(1))
	require.NotNil(t, grantOf(other))
	second.Finish(completedResult(1))
	require.NotNil(t, grantOf(retried))
}

// Guards against the guaranteed shares of lower tiers taking slots that the top
// tier's planned load needs after a loss of replicas, and against a class with a
// share getting no slot at all.
func TestGuaranteedSlotsShrinkWithCapacity(t *testing.T) {
	f := newFixture(t, testBundle(1, 2, 20, 1))
	f.picker.down[scheduling.ReplicaID{Upstream: "pool-0", Replica: "r1"}] = true
	f.advance(50 * time.Millisecond)
	var quotes []*Assignment
	for range 20 {
		quotes = append(quotes, grantOf(f.enqueue(f.request(classQuote, 0))))
	}
	first := f.enqueue(f.request(classDraft, 0))
	second := f.enqueue(f.request(classDraft, 0))
	quote := f.enqueue(f.request(classQuote, 0))
	quotes[0].Finish(completedResult(1))
	require.NotNil(t, grantOf(first), "one slot is guaranteed")
	quotes[1].Finish(completedResult(1))
	require.NotNil(t, grantOf(quote))
	require.Nil(t, grantOf(second))
}

// Guards against a full queue refusing a higher tier while lower tiers wait, and
// against a lower tier displacing a higher one.
func TestFullQueueDisplacesLowerTier(t *testing.T) {
	b := testBundle(1, 1, 1, 1)
	b.Classes[classQuote].MaxQueue = 1
	b.Classes[classDraft].MaxQueue = 1
	f := newFixture(t, b)
	f.enqueue(f.request(classQuote, 0))
	draft := f.enqueue(f.request(classDraft, 0))
	f.enqueue(f.request(classQuote, 0))
	f.enqueue(f.request(classQuote, 0))
	refusal := refusalOf(draft)
	require.NotNil(t, refusal)
	require.Equal(t, scheduling.ReasonQueueFull, refusal.Reason)
	require.Positive(t, refusal.RetryAfter)
	_, err := f.Enqueue(f.request(classQuote, 0))
	requireRefused(t, err, scheduling.ReasonQueueFull)
	f.enqueue(f.request(classDraft, 0))
	_, err = f.Enqueue(f.request(classDraft, 0))
	requireRefused(t, err, scheduling.ReasonQueueFull)
}

func requireRefused(t *testing.T, err error, reason string) *scheduling.RefusedError {
	t.Helper()
	var refused *scheduling.RefusedError
	require.True(t, errors.As(err, &refused), "error %v", err)
	require.Equal(t, reason, refused.Reason)
	return refused
}

// Guards against refusing late top-tier requests that would all be served within
// seconds. A sequence of single requests keeps the only slot busy, so that the
// measured arrival rate leaves no capacity for late requests.
func TestLateRequestsOfShortBacklogAreKept(t *testing.T) {
	f := newFixture(t, testBundle(1, 1, 1, 1))
	running := grantOf(f.enqueue(f.request(classQuote, 0)))
	for range 20 {
		next := f.enqueue(f.request(classQuote, 0))
		f.advance(200 * time.Millisecond)
		running.Finish(completedResult(10))
		running = grantOf(next)
	}
	var waiting []*Ticket
	for range 8 {
		waiting = append(waiting, f.enqueue(f.request(classQuote, 0)))
	}
	f.advance(600 * time.Millisecond)
	for _, late := range waiting {
		require.Nil(t, refusalOf(late))
		running.Finish(completedResult(10))
		running = grantOf(late)
		require.NotNil(t, running)
	}
}

// Guards against a request that waits although it can no longer be served: its
// deadline passed, its fingerprint was quarantined or its pool has no replica.
func TestWaitingRequestIsRefusedWhenUnservable(t *testing.T) {
	b := testBundle(2, 1, 1, 1)
	f := newFixture(t, b)
	f.enqueue(f.request(classQuote, 0))
	late := f.enqueue(f.request(classQuote, 0))
	f.advance(31 * time.Second)
	require.Equal(t, scheduling.ReasonDeadline, refusalOf(late).Reason)

	poison := f.request(classQuote, 0)
	poison.Fingerprint = 7
	suspect := f.enqueue(poison)
	f.picker.quarantined[7] = true
	f.Update(nil, &scheduling.View{HostsInZone: 1, ZoneCount: 1})
	require.Equal(t, scheduling.ReasonQuarantined, refusalOf(suspect).Reason)

	running := grantOf(f.enqueue(f.request(classQuote, 1)))
	orphaned := f.enqueue(f.request(classQuote, 1))
	f.picker.down[running.Replica] = true
	f.advance(time.Second)
	require.Nil(t, refusalOf(orphaned), "the grace period has not passed")
	f.advance(2 * time.Second)
	require.Equal(t, scheduling.ReasonNoReplica, refusalOf(orphaned).Reason)
	_, err := f.Enqueue(f.request(classQuote, 1))
	requireRefused(t, err, scheduling.ReasonNoReplica)
}

// Guards against admitting requests that cannot be served in time at the measured
// service rate, and against a RetryAfter that is unrelated to that rate.
func TestEarlyRefusalFollowsServiceRate(t *testing.T) {
	b := testBundle(1, 1, 1, 1)
	f := newFixture(t, b)
	for range 10 { // 5 s each
		a := grantOf(f.enqueue(f.request(classQuote, 0)))
		f.advance(5 * time.Second)
		a.Finish(completedResult(40))
	}
	f.enqueue(f.request(classQuote, 0))
	admitted := 0
	for admitted < 20 {
		_, err := f.Enqueue(f.request(classQuote, 0))
		if err != nil {
			refused := requireRefused(t, err, scheduling.ReasonDeadline)
			require.InDelta(t, 2.5, refused.RetryAfter.Seconds(), 2.5)
			break
		}
		admitted++
	}
	require.InDelta(t, 4, admitted, 1, "the deadline of 30 s leaves time for the running request and four others")
}

// Guards against a top-tier request waiting for a long lower-tier answer, and
// against preempting a stream that cannot be resumed.
func TestPreemptsOnlyResumableLowerTiers(t *testing.T) {
	b := testBundle(1, 1, 4, 1)
	f := newFixture(t, b)
	var drafts []*Assignment
	for i := range 4 {
		r := f.request(classDraft, 0)
		r.Resumable = i >= 2
		drafts = append(drafts, grantOf(f.enqueue(r)))
		f.clock.Advance(10 * time.Millisecond)
	}
	f.advance(time.Second)
	quote := f.enqueue(f.request(classQuote, 0))
	preempted := 0
	for i, a := range drafts {
		select {
		case <-a.Preempted():
			require.GreaterOrEqual(t, i, 2)
			preempted++
			a.Finish(scheduling.Result{Canceled: true, Tokens: 10})
		default:
		}
	}
	require.Equal(t, 1, preempted)
	require.NotNil(t, grantOf(quote))
}

// Guards against preempting the same request more than maxPreemptions times.
func TestPreemptionsPerRequestAreBounded(t *testing.T) {
	f := newFixture(t, testBundle(1, 1, 2, 1))
	r := f.request(classDraft, 0)
	r.Preempted = true
	r.Preemptions = maxPreemptions
	f.enqueue(r)
	maxPreempted := grantOf(f.enqueue(r))
	f.advance(time.Second)
	f.enqueue(f.request(classQuote, 0))
	f.advance(time.Second)
	select {
	case <-maxPreempted.Preempted():
		t.Fatal("preempted more than maxPreemptions times")
	default:
	}
}

// Guards against counting the slots of a crashed replica as free: lower tiers would
// take slots on other replicas instead, and preemption would wait for more slots to
// become free.
func TestCrashFreesNoSlot(t *testing.T) {
	f := newFixture(t, testBundle(1, 2, 4, 1))
	var orders []*Assignment
	for range 8 {
		orders = append(orders, grantOf(f.enqueue(f.request(classOrder, 0))))
	}
	p := f.poolList[0]
	u := p.upstreams[0]
	lowerTierAllowance, freedSlots := p.lowerTierAllowance, u.freedSlots
	orders[0].Finish(scheduling.Result{Crashed: true})
	require.Equal(t, lowerTierAllowance, p.lowerTierAllowance)
	require.Equal(t, freedSlots, u.freedSlots)
	require.Zero(t, u.releaseRate.count)
	orders[1].Finish(completedResult(1))
	require.Equal(t, lowerTierAllowance+1, p.lowerTierAllowance)
	require.Equal(t, freedSlots+1, u.freedSlots)
	require.Equal(t, 1.0, u.releaseRate.count)
}

// Guards against preempting a stream with a long prompt when another is cheaper to
// continue, because its prompt is shorter or was mostly in the prompt cache.
func TestPreemptsCheapestStream(t *testing.T) {
	f := newFixture(t, testBundle(1, 1, 4, 1))
	f.creditWasteBudget(int(maxWasteTokens / wasteFraction))
	var drafts []*Assignment
	for _, promptTokens := range []int{3000, 800, 5000, 2000} {
		r := f.request(classDraft, 0)
		r.PromptTokens = promptTokens
		drafts = append(drafts, grantOf(f.enqueue(r)))
	}
	drafts[2].cachedTokens = 4500
	f.advance(time.Second)
	f.enqueue(f.request(classQuote, 0))
	f.enqueue(f.request(classQuote, 0))
	for i, preempted := range []bool{false, true, true, false} {
		require.Equal(t, preempted, drafts[i].isPreempted, "draft %d", i)
	}
}

// Guards against preemptions that waste too much computation: the prefill of a
// preempted stream with a long prompt is repeated from the start.
func TestWasteBudgetLimitsPreemptions(t *testing.T) {
	f := newFixture(t, testBundle(1, 1, 12, 1))
	var drafts []*Assignment
	for range 12 {
		r := f.request(classDraft, 0)
		r.PromptTokens = 2 * maxWasteTokens
		drafts = append(drafts, grantOf(f.enqueue(r)))
	}
	f.creditWasteBudget(int(maxWasteTokens / wasteFraction))
	f.advance(time.Second)
	for range 6 {
		f.enqueue(f.request(classQuote, 0))
	}
	f.advance(time.Second)
	preempted := 0
	for _, a := range drafts {
		if a.isPreempted {
			preempted++
		}
	}
	require.Equal(t, 1, preempted, "the waste budget allows one preemption and is negative after it")
	f.creditWasteBudget(int(2 * maxWasteTokens / wasteFraction))
	f.advance(time.Second)
	preemptedInTotal := 0
	for _, a := range drafts {
		if a.isPreempted {
			preemptedInTotal++
		}
	}
	require.Equal(t, 2, preemptedInTotal)
}

// Guards against several hosts giving the same free slots of a view to lower tiers.
// The bound must not apply to the top tier or to slots that the host's own requests
// release.
func TestLowerTierAllowancePerView(t *testing.T) {
	f := newFixture(t, testBundle(1, 4, 10, 1))
	f.Update(nil, &scheduling.View{HostsInZone: 2, ZoneCount: 2})
	f.enqueue(f.request(classQuote, 0)) // creates the pool
	f.Update(nil, &scheduling.View{HostsInZone: 2, ZoneCount: 2})
	var running []*Assignment
	for range 30 {
		if a := grantOf(f.enqueue(f.request(classOrder, 0))); a != nil {
			running = append(running, a)
		}
	}
	// 40 slots less the quote's, divided among 4 hosts.
	require.InDelta(t, allowanceFraction*39/4, len(running), 1)
	running[0].Finish(completedResult(1))
	startedOrders := f.upstreams[0].running[classOrder]
	require.Equal(t, len(running), startedOrders, "another request took the released slot")
	require.NotNil(t, grantOf(f.enqueue(f.request(classQuote, 0))))
	f.Update(nil, &scheduling.View{HostsInZone: 2, ZoneCount: 2})
	require.Greater(t, f.upstreams[0].running[classOrder], startedOrders)
}

// Guards against applying the team's limit to a preempted request again and against
// charging the request twice.
func TestPreemptedRequestIsChargedOnce(t *testing.T) {
	b := testBundle(1, 1, 1, 1)
	b.Teams[0].TokensPerSecond = 400 // this host's floor is 200 tokens/s, its burst 400 tokens
	f := newFixture(t, b)
	r := f.request(classDraft, 0)
	a := grantOf(f.enqueue(r))
	_, err := f.Enqueue(r)
	requireRefused(t, err, scheduling.ReasonTeamLimit)
	a.Finish(scheduling.Result{Canceled: true, Tokens: 100})
	r.Preempted, r.Preemptions, r.Progress = true, 1, 100
	a = grantOf(f.enqueue(r))
	a.Finish(completedResult(500))
	team := f.limiter.Team(0)
	_, ok := team.Check(400)
	require.False(t, ok)
	f.clock.Advance(time.Second) // refills the bucket from -200 to 0 tokens: burst 400, used 600
	_, ok = team.Check(1)
	require.False(t, ok)
	f.clock.Advance(2 * time.Second)
	_, ok = team.Check(400)
	require.True(t, ok)
}

// Guards against losing a slot when a request is canceled after its grant.
func TestCancelReleasesSlot(t *testing.T) {
	f := newFixture(t, testBundle(1, 1, 1, 1))
	granted := f.enqueue(f.request(classQuote, 0))
	queued := f.enqueue(f.request(classQuote, 0))
	queued.Cancel()
	granted.Cancel()
	granted.Cancel()
	third := f.enqueue(f.request(classQuote, 0))
	a, err := third.Wait(context.Background())
	require.NoError(t, err)
	third.Cancel()
	require.Nil(t, grantOf(f.enqueue(f.request(classQuote, 0))), "canceling the ticket must not release an assignment that the caller received")
	a.Finish(completedResult(1))
	a.Finish(completedResult(1))
}

// Guards against many requests of one team delaying the other teams of the class.
func TestTeamsOfClassAreServedFairly(t *testing.T) {
	f := newFixture(t, testBundle(1, 1, 1, 2))
	running := grantOf(f.enqueue(f.request(classReport, 0)))
	for range 100 {
		f.enqueue(f.request(classReport, 0))
	}
	r := f.request(classReport, 0)
	r.Team = 1
	other := f.enqueue(r)
	running.Finish(completedResult(1))
	require.NotNil(t, grantOf(other))
}

// Guards against requests being served as the wrong class or by the wrong upstream
// when a new bundle changes the indexes, and against requests of removed classes
// waiting until their deadline.
func TestBundleChangeRemapsRequests(t *testing.T) {
	f := newFixture(t, testBundle(2, 1, 1, 1))
	running := grantOf(f.enqueue(f.request(classQuote, 1)))
	quote := f.enqueue(f.request(classQuote, 1))
	draft := f.enqueue(f.request(classDraft, 1))
	next := testBundle(2, 1, 1, 1)
	next.Classes = append([]bundle.Class{}, next.Classes[:3]...)
	next.Classes[0], next.Classes[2] = next.Classes[2], next.Classes[0]
	next.Upstreams[0], next.Upstreams[1] = next.Upstreams[1], next.Upstreams[0]
	next.Teams[0].Classes = next.Teams[0].Classes[:3]
	for i := range next.Upstreams {
		next.Upstreams[i].Classes = next.Upstreams[i].Classes[:3]
	}
	require.NoError(t, next.Validate())
	oldRequest := f.request(classQuote, 1)
	oldRequest.Generation = 1
	f.Update(bundle.Compile(next, 2, ""), nil)
	require.NotNil(t, refusalOf(draft))
	require.Equal(t, 2, quote.request.Class)
	require.Equal(t, []int{0}, quote.request.Upstreams)
	running.Finish(completedResult(1))
	require.Equal(t, "pool-1", grantOf(quote).Replica.Upstream)
	renumbered := f.enqueue(oldRequest)
	require.Equal(t, 2, renumbered.request.Class)
	oldRequest.Generation = 7
	_, err := f.Enqueue(oldRequest)
	requireRefused(t, err, scheduling.ReasonNoReplica)
}
