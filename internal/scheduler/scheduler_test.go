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

// Guards against a lower tier taking a slot for which a higher one waits.
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
	first.Finish(done(1))
	require.Nil(t, grantOf(draft))
	require.NotNil(t, grantOf(quote))
}

// Guards against starvation of a class that runs less than its share.
func TestShareGetsTheNextFreeSlot(t *testing.T) {
	f := newFixture(t, testBundle(1, 1, 10, 1))
	var quotes []*Assignment
	for range 10 {
		quotes = append(quotes, grantOf(f.enqueue(f.request(classQuote, 0))))
	}
	quote := f.enqueue(f.request(classQuote, 0))
	draft := f.enqueue(f.request(classDraft, 0))
	quotes[0].Finish(done(1))
	require.NotNil(t, grantOf(draft), "the draft class runs nothing and has a share of one slot")
	require.Nil(t, grantOf(quote))
	quotes[1].Finish(done(1))
	require.NotNil(t, grantOf(quote))
}

// Guards against a class without a share waiting for ever behind higher tiers.
func TestAgeBoundsTheWait(t *testing.T) {
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
				a.Finish(done(1))
				delete(quotes, q)
				quotes[f.enqueue(f.request(classQuote, 0))] = true
			}
		}
		f.advance(time.Second)
		waited += time.Second
		require.Less(t, waited, 200*time.Second)
	}
	require.NotNil(t, grantOf(draft))
}

// Guards against a picker that keeps slots for the top tier hiding them from it,
// or starving a class that runs less than its share.
func TestReservedSlots(t *testing.T) {
	f := newFixture(t, testBundle(1, 2, 4, 1))
	f.picker.reserve = 1
	order := f.enqueue(f.request(classOrder, 0))
	require.NotNil(t, grantOf(order))
	var quotes []*Assignment
	for range 5 {
		require.NotNil(t, grantOf(f.enqueue(f.request(classOrder, 0))))
	}
	waiting := f.enqueue(f.request(classOrder, 0))
	require.Nil(t, grantOf(waiting))
	for range 2 {
		quotes = append(quotes, grantOf(f.enqueue(f.request(classQuote, 0))))
		require.NotNil(t, quotes[len(quotes)-1])
	}
	draft := f.enqueue(f.request(classDraft, 0))
	require.Nil(t, grantOf(draft))
	quotes[0].Finish(done(1))
	require.NotNil(t, grantOf(draft), "the draft class runs nothing and has a share of one slot")
	quotes[1].Finish(done(1))
	require.Nil(t, grantOf(waiting))
	require.NotNil(t, grantOf(f.enqueue(f.request(classQuote, 0))))
	require.False(t, waiting.lane.restricted)
}

// Guards against one pool without free slots holding up another.
func TestFullPoolDoesNotBlockOthers(t *testing.T) {
	f := newFixture(t, testBundle(2, 1, 1, 1))
	require.NotNil(t, grantOf(f.enqueue(f.request(classQuote, 0))))
	require.Nil(t, grantOf(f.enqueue(f.request(classQuote, 0))))
	f.picker.down[scheduling.ReplicaID{Upstream: "pool-0", Replica: "r0"}] = true
	f.advance(time.Second)
	require.NotNil(t, grantOf(f.enqueue(f.request(classDraft, 1))))
}

// Guards against a request that no replica can take holding up its class.
func TestExcludedReplicaDoesNotBlockTheClass(t *testing.T) {
	f := newFixture(t, testBundle(1, 2, 1, 1))
	first := grantOf(f.enqueue(f.request(classQuote, 0)))
	second := grantOf(f.enqueue(f.request(classQuote, 0)))
	retry := f.request(classQuote, 0)
	retry.Attempt = 1
	retry.PreviousNotRun = true
	retry.Exclude = []scheduling.ReplicaID{first.Replica}
	retried := f.enqueue(retry)
	other := f.enqueue(f.request(classQuote, 0))
	first.Finish(done(1))
	require.NotNil(t, grantOf(other))
	second.Finish(done(1))
	require.NotNil(t, grantOf(retried))
}

// Guards against the shares of lower tiers taking slots that the top tier's planned
// load needs after a loss of replicas, and against a class that gets none.
func TestSharesYieldToMissingCapacity(t *testing.T) {
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
	quotes[0].Finish(done(1))
	require.NotNil(t, grantOf(first), "one slot is guaranteed")
	quotes[1].Finish(done(1))
	require.NotNil(t, grantOf(quote))
	require.Nil(t, grantOf(second))
}

// Guards against a full queue refusing a higher tier while lower tiers wait in it,
// and against the reverse.
func TestFullQueueGivesWayToHigherTier(t *testing.T) {
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

// Guards against the refusal of late top-tier requests that would all be served
// within seconds, because their callers' own arrivals fill the capacity.
func TestLateRequestsOfAShortQueueAreKept(t *testing.T) {
	f := newFixture(t, testBundle(1, 1, 1, 1))
	running := grantOf(f.enqueue(f.request(classQuote, 0)))
	for range 20 {
		next := f.enqueue(f.request(classQuote, 0))
		f.advance(200 * time.Millisecond)
		running.Finish(done(10))
		running = grantOf(next)
	}
	var waiting []*Ticket
	for range 8 {
		waiting = append(waiting, f.enqueue(f.request(classQuote, 0)))
	}
	f.advance(600 * time.Millisecond)
	for _, late := range waiting {
		require.Nil(t, refusalOf(late))
		running.Finish(done(10))
		running = grantOf(late)
		require.NotNil(t, running)
	}
}

// Guards against a caller waiting in vain once refusal is certain.
func TestWaitingRequestIsRefusedWhenCertain(t *testing.T) {
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
	left := f.enqueue(f.request(classQuote, 1))
	f.picker.down[running.Replica] = true
	f.advance(time.Second)
	require.Nil(t, refusalOf(left), "the grace has not passed")
	f.advance(2 * time.Second)
	require.Equal(t, scheduling.ReasonNoReplica, refusalOf(left).Reason)
	_, err := f.Enqueue(f.request(classQuote, 1))
	requireRefused(t, err, scheduling.ReasonNoReplica)
}

// Guards against admitting what the measured service rate cannot serve in time,
// and against a retry time without relation to it.
func TestEarlyRefusalFollowsTheServiceRate(t *testing.T) {
	b := testBundle(1, 1, 1, 1)
	f := newFixture(t, b)
	for range 10 { // 5 s each
		a := grantOf(f.enqueue(f.request(classQuote, 0)))
		f.advance(5 * time.Second)
		a.Finish(done(40))
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
	require.InDelta(t, 4, admitted, 1, "30 s hold the running request and four others")
}

// Guards against a top-tier request waiting for a long draft, and against
// preempting what cannot continue.
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

// Guards against preemption that throws a stream out again and again.
func TestPreemptionIsBounded(t *testing.T) {
	f := newFixture(t, testBundle(1, 1, 2, 1))
	r := f.request(classDraft, 0)
	r.Preempted = true
	r.Preemptions = maxPreemptions
	f.enqueue(r)
	kept := grantOf(f.enqueue(r))
	f.advance(time.Second)
	f.enqueue(f.request(classQuote, 0))
	f.advance(time.Second)
	select {
	case <-kept.Preempted():
		t.Fatal("preempted more often than the bound")
	default:
	}
}

// Guards against taking the slots of a crashed replica for free ones: lower tiers
// would use them up elsewhere, and preemption would wait for more of them.
func TestCrashFreesNoSlot(t *testing.T) {
	f := newFixture(t, testBundle(1, 2, 4, 1))
	var orders []*Assignment
	for range 8 {
		orders = append(orders, grantOf(f.enqueue(f.request(classOrder, 0))))
	}
	pool := f.poolList[0]
	u := pool.upstreams[0]
	allowance, freed := pool.allowance, u.freed
	orders[0].Finish(scheduling.Result{Crashed: true})
	require.Equal(t, allowance, pool.allowance)
	require.Equal(t, freed, u.freed)
	require.Zero(t, u.finished.count)
	orders[1].Finish(done(1))
	require.Equal(t, allowance+1, pool.allowance)
	require.Equal(t, freed+1, u.freed)
	require.Equal(t, 1.0, u.finished.count)
}

// Guards against preempting a stream with a long prompt beside one that is cheaper
// to continue, whether its prompt is short or held by the replica.
func TestPreemptsTheCheapestStream(t *testing.T) {
	f := newFixture(t, testBundle(1, 1, 4, 1))
	f.earnWaste(int(maxWaste / wasteShare))
	var drafts []*Assignment
	for _, tokens := range []int{3000, 800, 5000, 2000} {
		r := f.request(classDraft, 0)
		r.PromptTokens = tokens
		drafts = append(drafts, grantOf(f.enqueue(r)))
	}
	drafts[2].cached = 4500
	f.advance(time.Second)
	f.enqueue(f.request(classQuote, 0))
	f.enqueue(f.request(classQuote, 0))
	for i, preempted := range []bool{false, true, true, false} {
		require.Equal(t, preempted, drafts[i].isPreempted, "draft %d", i)
	}
}

// Guards against preemptions that cost more computation than they save: streams
// with long prompts are computed again from the start.
func TestPreemptionsOfLongPromptsAreFew(t *testing.T) {
	f := newFixture(t, testBundle(1, 1, 12, 1))
	var drafts []*Assignment
	for range 12 {
		r := f.request(classDraft, 0)
		r.PromptTokens = 2 * maxWaste
		drafts = append(drafts, grantOf(f.enqueue(r)))
	}
	f.earnWaste(int(maxWaste / wasteShare))
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
	require.Equal(t, 1, preempted, "the tokens saved up allow one and leave a debt")
	f.earnWaste(int(2 * maxWaste / wasteShare))
	f.advance(time.Second)
	again := 0
	for _, a := range drafts {
		if a.isPreempted {
			again++
		}
	}
	require.Equal(t, 2, again)
}

// Guards against several hosts taking the same free slots of a view for lower
// tiers, and against that bound holding back the top tier or replacements of the
// host's own requests.
func TestLowerTiersTakeTheirPartOfAView(t *testing.T) {
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
	require.InDelta(t, allowanceFraction*39/4, len(running), 1)
	running[0].Finish(done(1))
	started := f.upstreams[0].running[classOrder]
	require.Equal(t, len(running), started, "the finished request was replaced")
	require.NotNil(t, grantOf(f.enqueue(f.request(classQuote, 0))))
	f.Update(nil, &scheduling.View{HostsInZone: 2, ZoneCount: 2})
	require.Greater(t, f.upstreams[0].running[classOrder], started)
}

// Guards against a request that comes back being refused for its team's limit and
// against charging it twice.
func TestPreemptedRequestIsChargedOnce(t *testing.T) {
	b := testBundle(1, 1, 1, 1)
	b.Teams[0].TokensPerSecond = 400 // a floor of 200/s and a burst of 400
	f := newFixture(t, b)
	r := f.request(classDraft, 0)
	a := grantOf(f.enqueue(r))
	_, err := f.Enqueue(r)
	requireRefused(t, err, scheduling.ReasonTeamLimit)
	a.Finish(scheduling.Result{Canceled: true, Tokens: 100})
	r.Preempted, r.Preemptions, r.Progress = true, 1, 100
	a = grantOf(f.enqueue(r))
	a.Finish(done(500))
	team := f.limiter.Team(0)
	_, ok := team.Check(400)
	require.False(t, ok)
	f.clock.Advance(time.Second) // the debt of 600 - 400 tokens
	_, ok = team.Check(1)
	require.False(t, ok)
	f.clock.Advance(2 * time.Second)
	_, ok = team.Check(400)
	require.True(t, ok)
}

// Guards against slots lost between a grant and a cancellation.
func TestCancelGivesTheSlotBack(t *testing.T) {
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
	require.Nil(t, grantOf(f.enqueue(f.request(classQuote, 0))), "a received assignment is the caller's")
	a.Finish(done(1))
	a.Finish(done(1))
}

// Guards against a flood from one team delaying the other teams of its class.
func TestTeamsShareTheirClass(t *testing.T) {
	f := newFixture(t, testBundle(1, 1, 1, 2))
	running := grantOf(f.enqueue(f.request(classReport, 0)))
	for range 100 {
		f.enqueue(f.request(classReport, 0))
	}
	r := f.request(classReport, 0)
	r.Team = 1
	other := f.enqueue(r)
	running.Finish(done(1))
	require.NotNil(t, grantOf(other))
}

// Guards against requests going to the wrong class or upstream when a bundle
// renumbers them, and against requests of removed classes waiting in vain.
func TestBundleChangeMovesRequests(t *testing.T) {
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
	old := f.request(classQuote, 1)
	old.Generation = 1
	f.Update(bundle.Compile(next, 2, ""), nil)
	require.NotNil(t, refusalOf(draft))
	require.Equal(t, 2, quote.request.Class)
	require.Equal(t, []int{0}, quote.request.Upstreams)
	running.Finish(done(1))
	require.Equal(t, "pool-1", grantOf(quote).Replica.Upstream)
	renumbered := f.enqueue(old)
	require.Equal(t, 2, renumbered.request.Class)
	old.Generation = 7
	_, err := f.Enqueue(old)
	requireRefused(t, err, scheduling.ReasonNoReplica)
}
