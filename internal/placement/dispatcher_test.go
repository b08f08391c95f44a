package placement

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/lease"
	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/standin/inprocess"
	standin "heatherbarrow/internal/standin/platform"
)

const leaseTTL = 10 * time.Second

// fakeEngine is an engine that applies orders immediately.
type fakeEngine struct {
	checksFencing bool
	highestToken  uint64
	models        []string
	fixedStatus   int           // if not 0, returned for every order, which is not applied
	loseAnswers   bool          // orders are applied but their answers are lost
	fencingTokens []uint64      // of the orders received
	received      atomic.Int64  // number of orders received
	unblock       chan struct{} // if not nil, orders block until it is closed
}

func (e *fakeEngine) apply(o Order) int {
	e.fencingTokens = append(e.fencingTokens, o.FencingToken)
	if e.fixedStatus != 0 {
		return e.fixedStatus
	}
	if e.checksFencing && o.FencingToken < e.highestToken {
		return http.StatusConflict
	}
	e.highestToken = max(e.highestToken, o.FencingToken)
	e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == o.Model })
	if o.Order == OrderLoad {
		e.models = append(e.models, o.Model)
	}
	return http.StatusOK
}

// zone is a test zone with engines, a platform and a fake clock. hook runs before
// each reading of the clock, and before and after each order.
type zone struct {
	*clockwork.FakeClock
	hook    func()
	server  *standin.Server
	store   *objectstore.Client
	engines map[string]*fakeEngine
}

func newZone(checksFencing bool) *zone {
	server := standin.New()
	return &zone{
		FakeClock: clockwork.NewFakeClock(), hook: func() {}, server: server,
		store: objectstore.NewClient("http://platform", inprocess.Client(server.Handler())),
		engines: map[string]*fakeEngine{
			"e1": {checksFencing: checksFencing, models: []string{"a"}}, "e2": {checksFencing: checksFencing, models: []string{"a"}}, "e3": {checksFencing: checksFencing, models: []string{"b"}},
		},
	}
}

func (z *zone) Now() time.Time {
	z.hook()
	return z.FakeClock.Now()
}

// Send implements Sender.
func (z *zone) Send(_ context.Context, address string, o Order) (int, error) {
	z.hook()
	z.engines[address].received.Add(1)
	if unblock := z.engines[address].unblock; unblock != nil {
		<-unblock
	}
	status := z.engines[address].apply(o)
	z.hook()
	if z.engines[address].loseAnswers {
		return 0, errors.New("answer lost")
	}
	return status, nil
}

// Models implements Sender.
func (z *zone) Models(_ context.Context, address string) ([]string, error) {
	return slices.Clone(z.engines[address].models), nil
}

func (z *zone) pools() []Pool {
	var replicas []Replica
	for _, id := range []string{"e1", "e2", "e3"} {
		r := testReplica(id, slices.Clone(z.engines[id].models)...)
		r.ChecksFencing = z.engines[id].checksFencing
		loaded := len(r.Models)
		r.Models = slices.DeleteFunc(r.Models, func(m string) bool { return m == "retired" })
		r.HasUnlistedModels = len(r.Models) < loaded
		replicas = append(replicas, r)
	}
	return testPool(replicas...)
}

// holder is the lease holder and the dispatcher of one host.
type holder struct {
	zone       *zone
	lease      *lease.Holder
	dispatcher *Dispatcher
	desired    *Desired
}

func (z *zone) holder(name string, desired map[string]string) *holder {
	l := lease.New(lease.Options{Store: z.store, Name: "ate", Host: name, Clock: z, TTL: leaseTTL})
	d := emptyDesired()
	for id, model := range desired {
		d.Targets["models/"+id] = Target{Models: []string{model}}
	}
	return &holder{zone: z, lease: l, desired: d, dispatcher: &Dispatcher{Zone: "ate", Lease: l, Sender: z, Clock: z, Logger: zerolog.Nop()}}
}

func (h *holder) acquire(t *testing.T) {
	t.Helper()
	_ = h.lease.Step(context.Background())
	grant, held := h.lease.Grant()
	require.True(t, held)
	h.desired.FencingToken = grant.Token
}

func (h *holder) dispatch() {
	h.dispatcher.Dispatch(context.Background(), h.desired, h.zone.pools())
	h.dispatcher.Wait()
}

// Guards against a holder that is paused at any reading of the clock, or before or
// after any order, until its lease has expired, and then continues. It may send at
// most the one order for which it had already checked the lease. Engines that check
// fencing tokens refuse that order; other engines end up in the desired state of the
// new holder.
func TestPausedHolderCannotOverrideNewHolder(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		pausePoints := 0
		for pausePoint := 0; ; pausePoint++ {
			if !runPausedAt(t, checksFencing, pausePoint) {
				break
			}
			pausePoints++
		}
		require.GreaterOrEqual(t, pausePoints, 10, "too few pause points")
	}
}

// runPausedAt pauses the first holder at hook call number pausePoint, counted from
// zero, and lets a second holder take over. It returns false if there is no such
// call.
func runPausedAt(t *testing.T, checksFencing bool, pausePoint int) bool {
	z := newZone(checksFencing)
	first := z.holder("host1", map[string]string{"e1": "b", "e2": "a", "e3": "b"})
	second := z.holder("host2", map[string]string{"e1": "a", "e2": "a", "e3": "b"})
	first.acquire(t)
	_ = second.lease.Step(context.Background())
	z.Advance(OrderTimeout)
	hookCalls, sentBeforeResume := 0, 0
	z.hook = func() {
		if hookCalls++; hookCalls != pausePoint+1 {
			return
		}
		hook := z.hook
		z.hook = func() {}
		z.Advance(2 * leaseTTL)
		second.acquire(t)
		sentBeforeResume = len(z.engines["e1"].fencingTokens)
		second.dispatch()
		z.Advance(OrderTimeout)
		second.dispatch()
		z.hook = hook
	}
	for range 3 {
		first.dispatch()
		z.Advance(resendInterval)
	}
	z.hook = func() {}
	if hookCalls <= pausePoint {
		return false
	}
	staleOrders := 0
	for _, token := range z.engines["e1"].fencingTokens[sentBeforeResume:] {
		if token == first.desired.FencingToken {
			staleOrders++
		}
	}
	require.LessOrEqual(t, staleOrders, 1, "paused at point %d", pausePoint)
	for range 3 {
		second.acquire(t)
		second.dispatch()
		z.Advance(resendInterval)
	}
	require.Equal(t, []string{"a"}, z.engines["e1"].models, "paused at point %d, engine checks fencing=%t", pausePoint, checksFencing)
	return true
}

// Guards against a late order of a previous holder that stays in effect on an
// engine that ignores fencing tokens, and against orders that are sent before those
// of the previous holder have timed out.
func TestLateOrderIsCorrected(t *testing.T) {
	z := newZone(false)
	h := z.holder("host2", map[string]string{"e1": "b", "e2": "a", "e3": "b"})
	h.acquire(t)
	h.dispatch()
	require.Empty(t, z.engines["e1"].fencingTokens, "sent before orders of the previous holder had timed out")
	z.Advance(OrderTimeout)
	h.dispatch()
	require.Empty(t, z.engines["e1"].models, "loaded before the other model was unloaded")
	h.dispatch()
	require.Equal(t, []string{"b"}, z.engines["e1"].models)
	h.dispatch() // the desired state is now reported
	z.engines["e1"].apply(Order{Order: OrderUnload, Model: "b"})
	z.engines["e1"].apply(Order{Order: OrderLoad, Model: "a"})
	for range 3 {
		h.dispatch()
	}
	require.Equal(t, []string{"b"}, z.engines["e1"].models)
}

// Guards against an order that is not sent again after its answer was lost, and
// against load orders that are sent without back-off while the weight store refuses
// them.
func TestResendAndBackoff(t *testing.T) {
	z := newZone(true)
	h := z.holder("host1", map[string]string{"e1": "b", "e2": "a", "e3": "b"})
	h.acquire(t)
	z.engines["e1"].loseAnswers = true
	for range 4 {
		h.dispatch()
		z.Advance(resendInterval)
		_ = h.lease.Step(context.Background())
	}
	require.Equal(t, []string{"b"}, z.engines["e1"].models)
	refused := z.engines["e2"]
	refused.models, refused.fixedStatus = nil, http.StatusTooManyRequests
	for range 600 {
		h.dispatch()
		z.Advance(time.Second)
		_ = h.lease.Step(context.Background())
	}
	require.Less(t, len(refused.fencingTokens), 30)
	require.Greater(t, len(refused.fencingTokens), 5)
}

// neededOrders returns the orders that the i-th replica of a pool needs.
func neededOrders(desired *Desired, pool *Pool, i int) []Order {
	r := pool.Replicas[i]
	target := desired.Targets[r.ID.String()]
	return (&replicaWork{desired: desired, pool: pool, replica: &r, target: &target}).neededOrders()
}

// Guards against an engine that answers late and thereby delays the orders to all
// other engines, and against a second order to that engine in the meantime.
func TestSlowOrderDoesNotBlockOthers(t *testing.T) {
	z := newZone(true)
	h := z.holder("host1", map[string]string{"e1": "a", "e2": "a", "e3": "b"})
	h.acquire(t)
	slow, quick := z.engines["e1"], z.engines["e2"]
	slow.models, quick.models, slow.unblock = nil, nil, make(chan struct{})
	pools := z.pools()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for range 3 {
			h.dispatcher.Dispatch(context.Background(), h.desired, pools)
		}
	}()
	require.Eventually(t, func() bool { return quick.received.Load() > 0 && slow.received.Load() > 0 }, 10*time.Second, time.Millisecond)
	<-finished
	require.Equal(t, int64(1), slow.received.Load())
	close(slow.unblock)
	h.dispatcher.Wait()
	require.Equal(t, []string{"a"}, slow.models)
}

// Guards against a second order to an engine that is still working on an accepted
// one, and against an engine that gets no further orders because it never reports
// the effect of an accepted one.
func TestOneOrderAtATimePerReplica(t *testing.T) {
	z := newZone(true)
	h := z.holder("host1", map[string]string{"e1": "a", "e2": "a", "e3": "b"})
	h.acquire(t)
	e := z.engines["e1"]
	e.models, e.fixedStatus = nil, http.StatusAccepted
	h.dispatch()
	h.desired.Targets["models/e1"] = Target{Models: []string{"b"}}
	z.Advance(resendInterval)
	h.dispatch()
	require.Equal(t, int64(1), e.received.Load())
	z.Advance(acceptedResendInterval)
	h.acquire(t)
	h.dispatch()
	require.Equal(t, int64(2), e.received.Load())
}

// Guards against an unload order that leaves a model without any replica that
// reports holding it.
func TestLastReplicaOfModelIsNotUnloaded(t *testing.T) {
	z := newZone(true)
	z.engines["e2"].models = nil // its target is model a, which it does not hold yet
	h := z.holder("host1", map[string]string{"e1": "b", "e2": "a", "e3": "b"})
	pools := z.pools()
	for _, o := range neededOrders(h.desired, &pools[0], 0) {
		require.NotEqual(t, OrderUnload, o.Order)
	}
}

// Guards against orders that are sent before their plan is stored, and against two
// hosts that plan at the same time.
func TestManagerNeedsLeaseAndStore(t *testing.T) {
	z := newZone(true)
	ctx := context.Background()
	var managers []*Manager
	for i := range 2 {
		h := z.holder(fmt.Sprint("host", i), nil)
		managers = append(managers, &Manager{
			Zone: "ate", Lease: h.lease, Store: z.store, Source: z, Logger: zerolog.Nop(),
			Planner: &Planner{Clock: z}, Dispatcher: h.dispatcher,
		})
		_ = h.lease.Step(ctx)
	}
	step := func(i int) error {
		defer managers[i].Dispatcher.Wait()
		return managers[i].Step(ctx)
	}
	z.engines["e2"].models = nil
	z.server.SetFaults(standin.Faults{Down: true})
	require.Error(t, step(0))
	require.Empty(t, z.engines["e2"].fencingTokens)
	z.server.SetFaults(standin.Faults{LoseWriteAnswers: 1})
	require.ErrorIs(t, step(0), objectstore.ErrUncertain)
	require.NoError(t, step(0))
	require.NoError(t, step(1))
	require.Len(t, z.engines["e2"].fencingTokens, 1)
	z.Advance(2 * leaseTTL) // the first holder stops renewing
	second := managers[1].Lease.(*lease.Holder)
	require.NoError(t, second.Step(ctx))
	_, held := second.Grant()
	require.True(t, held)
	require.NoError(t, step(1))
	require.NoError(t, step(0))
	require.Nil(t, managers[0].desired)
	require.Len(t, managers[1].desired.Targets, 3, "the second holder continues from the stored state")
}

// Pools implements Source.
func (z *zone) Pools() []Pool { return z.pools() }

// Guards against a model that stays loaded after it was removed from the bundle,
// because the view carries only the names of models in the bundle.
func TestUnlistedModelsAreUnloaded(t *testing.T) {
	z := newZone(true)
	z.engines["e2"].models = []string{"retired"}
	h := z.holder("host1", map[string]string{"e1": "a", "e2": "a", "e3": "b"})
	h.acquire(t)
	for range 3 {
		h.dispatch()
		z.Advance(resendInterval)
	}
	require.Equal(t, []string{"a"}, z.engines["e2"].models)
}
