package placement

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	// maxReportBytes limits the size of an engine's load report.
	maxReportBytes = 1 << 20
	// OrderTimeout limits how long an order may be in flight. A host that has
	// acquired the lease waits this long before it sends orders to engines that
	// ignore the fencing token, so that no order of the previous holder is still in
	// flight.
	OrderTimeout = 2 * time.Second

	// resendInterval is the time after which an order is sent again if the engine has
	// not reported its effect.
	resendInterval = 3 * time.Second
	// acceptedResendInterval replaces resendInterval for an order that the engine
	// has accepted but not finished: loading a model takes long.
	acceptedResendInterval = 30 * time.Second
	// maxReportAge is the age up to which a replica's load report, as known from the
	// view, is used.
	maxReportAge = 10 * time.Second
	// maxBusyReplicas limits the number of replicas that are sent orders at the
	// same time.
	maxBusyReplicas = 16
	// loadsPerSecond and loadBurst limit the rate of load orders, because each
	// makes an engine read a model from the weight store.
	loadsPerSecond = 1
	loadBurst      = 2
	// minLoadBackoff and maxLoadBackoff limit the pause in load orders after an
	// engine has answered an order with status 429.
	minLoadBackoff = time.Second
	maxLoadBackoff = time.Minute
	// reasonStateDiffers is the logged reason of an order that is sent again.
	reasonStateDiffers = "reported state differs from the desired state"
)

// Order is the body of a placement order. Its field Order is OrderLoad, OrderUnload
// or OrderRole.
type Order struct {
	Order        string `json:"order"`
	Model        string `json:"model,omitempty"`
	Role         string `json:"role,omitempty"`
	FencingToken uint64 `json:"fencing_token"`
}

// Sender sends requests to engines.
type Sender interface {
	// Send sends an order and returns the HTTP status of the response.
	Send(ctx context.Context, address string, order Order) (int, error)
	// Models returns all models that the engine holds.
	Models(ctx context.Context, address string) ([]string, error)
}

// HTTPSender sends orders over HTTP.
type HTTPSender struct {
	Scheme string // "http" or "https"
	Client *http.Client
}

// Send implements Sender.
func (s *HTTPSender) Send(ctx context.Context, address string, order Order) (int, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return 0, eris.Wrap(err, "encode order")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.Scheme+"://"+address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(err, "build order request")
	}
	// Without GetBody, net/http cannot resend the order by itself.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := s.Client.Do(request)
	if err != nil {
		return 0, eris.Wrapf(err, "send order to %s", address)
	}
	return response.StatusCode, eris.Wrap(response.Body.Close(), "close response body")
}

// Models implements Sender.
func (s *HTTPSender) Models(ctx context.Context, address string) ([]string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.Scheme+"://"+address+"/v1/load", nil)
	if err != nil {
		return nil, eris.Wrap(err, "build load request")
	}
	response, err := s.Client.Do(request)
	if err != nil {
		return nil, eris.Wrapf(err, "request load report of %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	var report struct {
		Models []string `json:"models"`
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report)
	return report.Models, eris.Wrapf(err, "decode load report of %s", address)
}

// orderKey identifies an order to a replica, whatever its fencing token.
type orderKey struct{ replica, order, modelOrRole string }

// sentOrder is the record of the last time an order was sent.
type sentOrder struct {
	fencingToken uint64
	resendAt     time.Time
	accepted     bool // the engine answered with status 202 and is working on the order
}

// Dispatcher sends orders until the engines report the desired state. It sends to
// several replicas concurrently, and to each replica one order at a time. Dispatch
// and Wait must be called by one goroutine only.
type Dispatcher struct {
	Zone   string
	Lease  Lease
	Sender Sender
	Clock  clockwork.Clock
	Logger zerolog.Logger

	workers sync.WaitGroup // running calls of replicaWork.run

	mu           sync.Mutex      // guards the fields below
	busyReplicas map[string]bool // IDs of the replicas with orders in flight
	sentOrders   map[orderKey]sentOrder
	loadLimiter  *rate.Limiter
	loadBackoff  *backoff.ExponentialBackOff
	nextLoadAt   time.Time // no load order is sent earlier
}

// Wait blocks until no order is in flight.
func (d *Dispatcher) Wait() { d.workers.Wait() }

// Dispatch starts sending the orders that may be sent now and does not wait for the
// responses. It skips a replica that still has orders of an earlier call in flight.
func (d *Dispatcher) Dispatch(ctx context.Context, desired *Desired, pools []Pool) {
	d.init()
	busy := d.busySnapshot()
	for i := range pools {
		for j := range pools[i].Replicas {
			r := pools[i].Replicas[j]
			id := r.ID.String()
			target, ok := desired.Targets[id]
			if !ok || !usable(&r) || r.ReportAge > maxReportAge || busy[id] {
				continue
			}
			w := &replicaWork{dispatcher: d, desired: desired, pool: &pools[i], replica: &r, target: &target, busySnapshot: busy}
			if w.needsOrders() && d.tryMarkBusy(id) {
				d.workers.Go(func() {
					defer d.clearBusy(id)
					w.run(ctx)
				})
			}
		}
	}
}

func (d *Dispatcher) init() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sentOrders != nil {
		return
	}
	d.busyReplicas = make(map[string]bool)
	d.sentOrders = make(map[orderKey]sentOrder)
	d.loadLimiter = rate.NewLimiter(loadsPerSecond, loadBurst)
	d.loadBackoff = &backoff.ExponentialBackOff{InitialInterval: minLoadBackoff, Multiplier: 2, MaxInterval: maxLoadBackoff}
	d.loadBackoff.Reset()
}

// busySnapshot returns a copy of busyReplicas.
func (d *Dispatcher) busySnapshot() map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.busyReplicas)
}

// tryMarkBusy marks a replica as having orders in flight. It returns false if
// maxBusyReplicas replicas already have.
func (d *Dispatcher) tryMarkBusy(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.busyReplicas) >= maxBusyReplicas {
		return false
	}
	d.busyReplicas[id] = true
	return true
}

func (d *Dispatcher) clearBusy(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.busyReplicas, id)
}

// replicaWork is the work of one Dispatch call for one replica. The pool is shared
// with the work for other replicas and must not be changed; the replica is a copy.
type replicaWork struct {
	dispatcher   *Dispatcher
	desired      *Desired
	pool         *Pool
	replica      *Replica
	target       *Target
	busySnapshot map[string]bool // replicas with orders in flight when Dispatch was called
}

// needsOrders reports whether the replica needs orders, or may need some once the
// names of its unlisted models are read. If not, the records of settled orders to it
// are dropped.
func (w *replicaWork) needsOrders() bool {
	neededOrders := w.neededOrders()
	if len(neededOrders) == 0 && !w.replica.HasUnlistedModels {
		w.dispatcher.dropSettledOrders(w.replica, neededOrders)
		return false
	}
	return true
}

// run sends the orders that the replica needs, one after the other, until send
// returns false.
func (w *replicaWork) run(ctx context.Context) {
	d := w.dispatcher
	d.readUnlistedModels(ctx, w.replica)
	neededOrders := w.neededOrders()
	d.dropSettledOrders(w.replica, neededOrders)
	for _, o := range neededOrders {
		if !d.send(ctx, w.desired, w.replica, o, w.target.Reason) {
			return
		}
	}
}

// readUnlistedModels reads the names of all models that a replica holds. The view
// carries only models in the bundle, so models that were removed from the bundle
// could not be unloaded without this.
func (d *Dispatcher) readUnlistedModels(ctx context.Context, r *Replica) {
	if !r.HasUnlistedModels {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	models, err := d.Sender.Models(ctx, r.Address)
	if err != nil {
		d.Logger.Warn().Err(err).Str("replica", r.ID.String()).Msg("cannot read models of replica")
		return
	}
	r.Models = models
}

// dropSettledOrders drops the records of orders to a replica that are no longer
// needed. If the replica deviates from its target again, for example because of a
// late order, the correction is then sent at once. The record of an order that the
// engine is still working on is kept.
func (d *Dispatcher) dropSettledOrders(r *Replica, needed []Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := r.ID.String()
	for key, o := range d.sentOrders {
		if key.replica != id || slices.ContainsFunc(needed, func(o Order) bool { return keyForOrder(r, o) == key }) {
			continue
		}
		if !o.accepted || effectReported(r, key) || !d.Clock.Now().Before(o.resendAt) {
			delete(d.sentOrders, key)
		}
	}
}

// effectReported reports whether a replica's load report shows the effect of an order.
func effectReported(r *Replica, key orderKey) bool {
	switch key.order {
	case OrderLoad:
		return slices.Contains(r.Models, key.modelOrRole)
	case OrderUnload:
		return !slices.Contains(r.Models, key.modelOrRole)
	default:
		return r.Role == key.modelOrRole
	}
}

func keyForOrder(r *Replica, o Order) orderKey {
	return orderKey{replica: r.ID.String(), order: o.Order, modelOrRole: o.Model + o.Role}
}

// neededOrders returns the orders that bring a replica from its reported state to its
// target, including those sent a moment ago. Load orders are needed only while no
// unload order is, so that there is room for the models. A model that may not be
// unloaded yet does not delay loads.
func (w *replicaWork) neededOrders() []Order {
	var out []Order
	for _, m := range w.replica.Models {
		if !slices.Contains(w.target.Models, m) && w.mayUnload(m) {
			out = append(out, Order{Order: OrderUnload, Model: m})
		}
	}
	if len(out) == 0 {
		for _, m := range w.target.Models {
			if !slices.Contains(w.replica.Models, m) {
				out = append(out, Order{Order: OrderLoad, Model: m})
			}
		}
	}
	if w.target.Role != "" && w.replica.Role != w.target.Role {
		out = append(out, Order{Order: OrderRole, Role: w.target.Role})
	}
	return out
}

// mayUnload reports whether the replica may unload a model. A model of the pool must
// be held by another replica, both in its load report and in its target. Another
// replica with orders in flight does not count, because such an order may come from
// an earlier plan and unload the model.
func (w *replicaWork) mayUnload(model string) bool {
	if !slices.Contains(w.pool.Models, model) {
		return true
	}
	for i := range w.pool.Replicas {
		other := &w.pool.Replicas[i]
		id := other.ID.String()
		if other.ID != w.replica.ID && !w.busySnapshot[id] && usable(other) && other.ReportAge <= maxReportAge &&
			slices.Contains(other.Models, model) && slices.Contains(w.desired.Targets[id].Models, model) {
			return true
		}
	}
	return false
}

// send sends one order unless it must wait. It returns false if no further order
// may be sent to the replica in this call: the lease was lost, or the engine is
// working on the order.
func (d *Dispatcher) send(ctx context.Context, desired *Desired, r *Replica, o Order, reason string) bool {
	key := keyForOrder(r, o)
	allowed, sentBefore := d.allowOrder(key, desired.FencingToken)
	if !allowed {
		return true
	}
	o.FencingToken = desired.FencingToken
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	// The lease is checked last, so that a pause of the process before this point is
	// noticed. After a later pause, the order is refused by engines that check the
	// fencing token; on others, the new holder corrects its effect.
	grant, held := d.Lease.Grant()
	if !held || grant.Token != desired.FencingToken {
		return false
	}
	if !r.ChecksFencing && d.Clock.Now().Before(grant.AcquiredAt.Add(OrderTimeout)) {
		return true
	}
	status, err := d.Sender.Send(ctx, r.Address, o)
	d.recordSent(key, o, status, err)
	d.logOrder(r, o, status, err, reason, sentBefore)
	return status != http.StatusAccepted
}

// allowOrder reports whether an order may be sent now, and whether it was sent
// before. An accepted order that is still in progress blocks other orders to its
// replica. Allowing a load order counts towards loadsPerSecond.
func (d *Dispatcher) allowOrder(key orderKey, fencingToken uint64) (allowed, sentBefore bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	previous, sentBefore := d.sentOrders[key]
	if sentBefore && previous.fencingToken == fencingToken && now.Before(previous.resendAt) {
		return false, sentBefore
	}
	for otherKey, record := range d.sentOrders {
		if otherKey.replica == key.replica && otherKey != key && record.accepted && now.Before(record.resendAt) {
			return false, sentBefore
		}
	}
	if key.order == OrderLoad && (now.Before(d.nextLoadAt) || !d.loadLimiter.AllowN(now, 1)) {
		return false, sentBefore
	}
	return true, sentBefore
}

// resendIntervalFor returns how long to wait before an order that was answered with
// the given status is sent again.
func resendIntervalFor(status int) time.Duration {
	if status == http.StatusAccepted {
		return acceptedResendInterval
	}
	return resendInterval
}

// recordSent records that an order was sent. Status 429 means that the weight store
// refuses loads; load orders to all replicas are then delayed with exponential
// back-off.
func (d *Dispatcher) recordSent(key orderKey, o Order, status int, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	d.sentOrders[key] = sentOrder{fencingToken: o.FencingToken, resendAt: now.Add(resendIntervalFor(status)), accepted: status == http.StatusAccepted}
	if status == http.StatusTooManyRequests {
		d.nextLoadAt = now.Add(d.loadBackoff.NextBackOff())
	} else if o.Order == OrderLoad && err == nil {
		d.loadBackoff.Reset()
	}
}

func (d *Dispatcher) logOrder(r *Replica, o Order, status int, err error, reason string, sentBefore bool) {
	event := d.Logger.Info()
	switch {
	case err != nil || status == http.StatusConflict:
		event = d.Logger.Warn()
	case sentBefore:
		event, reason = d.Logger.Debug(), reasonStateDiffers
	}
	event.Err(err).Str("zone", d.Zone).Str("upstream", r.ID.Upstream).Str("replica", r.ID.Replica).
		Str("order", o.Order).Str("model", o.Model).Str("role", o.Role).Uint64("fencing_token", o.FencingToken).
		Int("status", status).Str("reason", reason).Msg("placement order sent")
}
