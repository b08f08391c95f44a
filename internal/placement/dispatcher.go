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
	// maxReportBytes bounds an engine's load report.
	maxReportBytes = 1 << 20
	// OrderTimeout bounds an order in flight. A new holder sends nothing to
	// engines that ignore the fencing token until this much time has passed.
	OrderTimeout = 2 * time.Second

	resendAfter     = 3 * time.Second
	resendLoadAfter = 30 * time.Second // an accepted load takes a while to be reported
	maxReportAge    = 10 * time.Second
	// maxInFlight bounds the replicas that are sent orders at the same time.
	maxInFlight        = 16
	loadsPerSecond     = 1
	loadBurst          = 2
	loadBackoff        = time.Second
	maxLoadBackoff     = time.Minute
	reasonStateDiffers = "reported state differs from the desired state"
)

// Order is the body of a placement order.
type Order struct {
	Order        string `json:"order"`
	Model        string `json:"model,omitempty"`
	Role         string `json:"role,omitempty"`
	FencingToken uint64 `json:"fencing_token"`
}

// Sender talks to engines.
type Sender interface {
	// Send sends an order and returns the status of the answer.
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
		return 0, eris.Wrap(err, "build order")
	}
	// Without GetBody net/http does not send the order a second time on its own.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := s.Client.Do(request)
	if err != nil {
		return 0, eris.Wrapf(err, "order to %s", address)
	}
	return response.StatusCode, eris.Wrap(response.Body.Close(), "close answer")
}

// Models implements Sender.
func (s *HTTPSender) Models(ctx context.Context, address string) ([]string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.Scheme+"://"+address+"/v1/load", nil)
	if err != nil {
		return nil, eris.Wrap(err, "build load request")
	}
	response, err := s.Client.Do(request)
	if err != nil {
		return nil, eris.Wrapf(err, "load of %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	var report struct {
		Models []string `json:"models"`
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report)
	return report.Models, eris.Wrapf(err, "load of %s", address)
}

// sentKey identifies what an order is about.
type sentKey struct{ replica, order, subject string }

type sentOrder struct {
	token    uint64
	resend   time.Time
	accepted bool // the engine works on it
}

// Dispatcher sends orders until the engines report the desired state: to several
// replicas at once, and to each one order after the other. Dispatch and Wait are
// called by one goroutine.
type Dispatcher struct {
	Zone   string
	Lease  Lease
	Sender Sender
	Clock  clockwork.Clock
	Logger zerolog.Logger

	running sync.WaitGroup

	mu         sync.Mutex // guards the fields below
	busy       map[string]bool
	sent       map[sentKey]sentOrder
	loads      *rate.Limiter
	delays     *backoff.ExponentialBackOff
	loadsAfter time.Time
}

// Wait returns when no order is in flight.
func (d *Dispatcher) Wait() { d.running.Wait() }

// Dispatch begins to send the orders that are due. It does not wait for answers;
// a replica whose orders of an earlier call are still in flight is passed over.
func (d *Dispatcher) Dispatch(ctx context.Context, desired *Desired, pools []Pool) {
	d.init()
	before := d.inFlight()
	for i := range pools {
		for j := range pools[i].Replicas {
			r := pools[i].Replicas[j]
			id := r.ID.String()
			target, ok := desired.Targets[id]
			if !ok || !usable(&r) || r.ReportAge > maxReportAge || before[id] {
				continue
			}
			w := &work{dispatcher: d, desired: desired, pool: &pools[i], replica: &r, target: &target, inFlight: before}
			if w.needed() && d.begin(id) {
				d.running.Go(func() {
					defer d.end(id)
					w.run(ctx)
				})
			}
		}
	}
}

func (d *Dispatcher) init() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sent != nil {
		return
	}
	d.busy = make(map[string]bool)
	d.sent = make(map[sentKey]sentOrder)
	d.loads = rate.NewLimiter(loadsPerSecond, loadBurst)
	d.delays = &backoff.ExponentialBackOff{InitialInterval: loadBackoff, Multiplier: 2, MaxInterval: maxLoadBackoff}
	d.delays.Reset()
}

// inFlight returns the replicas that orders are being sent to.
func (d *Dispatcher) inFlight() map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.busy)
}

func (d *Dispatcher) begin(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.busy) >= maxInFlight {
		return false
	}
	d.busy[id] = true
	return true
}

func (d *Dispatcher) end(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.busy, id)
}

// work is what one call of Dispatch has to do for one replica. The pool is shared
// with the work for other replicas and is not changed; the replica is a copy.
type work struct {
	dispatcher *Dispatcher
	desired    *Desired
	pool       *Pool
	replica    *Replica
	target     *Target
	inFlight   map[string]bool // when Dispatch was called
}

// needed tells whether the replica differs from its target. If it does not, what
// was sent to it is settled.
func (w *work) needed() bool {
	due := w.due()
	if len(due) == 0 && !w.replica.Unlisted {
		w.dispatcher.forgetSettled(w.replica, due)
		return false
	}
	return true
}

func (w *work) run(ctx context.Context) {
	d := w.dispatcher
	d.readUnlisted(ctx, w.replica)
	due := w.due()
	d.forgetSettled(w.replica, due)
	for _, o := range due {
		if !d.send(ctx, w.desired, w.replica, o, w.target.Reason) {
			return
		}
	}
}

// readUnlisted asks a replica for the names of models that the view cannot carry,
// so that models which left the bundle are unloaded.
func (d *Dispatcher) readUnlisted(ctx context.Context, r *Replica) {
	if !r.Unlisted {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	models, err := d.Sender.Models(ctx, r.Address)
	if err != nil {
		d.Logger.Warn().Err(err).Str("replica", r.ID.String()).Msg("models cannot be read")
		return
	}
	r.Models = models
}

// forgetSettled drops what was sent to a replica and is no longer due, so that a
// difference that comes back, for example by a late order, is corrected at once.
// An order that the engine still works on is kept.
func (d *Dispatcher) forgetSettled(r *Replica, due []Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := r.ID.String()
	for key, o := range d.sent {
		if key.replica != id || slices.ContainsFunc(due, func(o Order) bool { return keyOf(r, o) == key }) {
			continue
		}
		if !o.accepted || reported(r, key) || !d.Clock.Now().Before(o.resend) {
			delete(d.sent, key)
		}
	}
}

// reported tells whether a replica reports the effect of an order.
func reported(r *Replica, key sentKey) bool {
	switch key.order {
	case OrderLoad:
		return slices.Contains(r.Models, key.subject)
	case OrderUnload:
		return !slices.Contains(r.Models, key.subject)
	default:
		return r.Role == key.subject
	}
}

func keyOf(r *Replica, o Order) sentKey {
	return sentKey{replica: r.ID.String(), order: o.Order, subject: o.Model + o.Role}
}

// due returns the orders by which a replica's report differs from its target.
// Models are unloaded before others are loaded, to make room.
func (w *work) due() []Order {
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

// mayUnload tells whether a model that some class needs is still served, by
// report and by plan, without the replica. A replica with an order of an earlier
// plan in flight does not count: the order may unload the model.
func (w *work) mayUnload(model string) bool {
	if !slices.Contains(w.pool.Models, model) {
		return true
	}
	for i := range w.pool.Replicas {
		other := &w.pool.Replicas[i]
		id := other.ID.String()
		if other.ID != w.replica.ID && !w.inFlight[id] && usable(other) && other.ReportAge <= maxReportAge &&
			slices.Contains(other.Models, model) && slices.Contains(w.desired.Targets[id].Models, model) {
			return true
		}
	}
	return false
}

// send sends one order if it is due. It returns false when nothing more may be
// sent to the replica now.
func (d *Dispatcher) send(ctx context.Context, desired *Desired, r *Replica, o Order, reason string) bool {
	key := keyOf(r, o)
	due, again := d.reserve(key, desired.FencingToken)
	if !due {
		return true
	}
	o.FencingToken = desired.FencingToken
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	// Checked last: a pause up to here is noticed. A pause after it is covered by
	// the token, or by sending the desired state again.
	grant, held := d.Lease.Grant()
	if !held || grant.Token != desired.FencingToken {
		return false
	}
	if !r.ChecksFencing && d.Clock.Now().Before(grant.Acquired.Add(OrderTimeout)) {
		return true
	}
	status, err := d.Sender.Send(ctx, r.Address, o)
	d.afterSend(key, o, status, err)
	d.log(r, o, status, err, reason, again)
	return status != http.StatusAccepted
}

// reserve tells whether an order may be sent now, and whether it was sent before.
// It takes a load's place in the weight store's rate.
func (d *Dispatcher) reserve(key sentKey, token uint64) (due, again bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	before, again := d.sent[key]
	if again && before.token == token && now.Before(before.resend) {
		return false, again
	}
	for other, o := range d.sent {
		if other.replica == key.replica && other != key && o.accepted && now.Before(o.resend) {
			return false, again
		}
	}
	if key.order == OrderLoad && (now.Before(d.loadsAfter) || !d.loads.AllowN(now, 1)) {
		return false, again
	}
	return true, again
}

func resendTime(status int) time.Duration {
	if status == http.StatusAccepted {
		return resendLoadAfter
	}
	return resendAfter
}

// afterSend notes what was sent, and slows loads down while the weight store
// refuses them.
func (d *Dispatcher) afterSend(key sentKey, o Order, status int, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	d.sent[key] = sentOrder{token: o.FencingToken, resend: now.Add(resendTime(status)), accepted: status == http.StatusAccepted}
	if status == http.StatusTooManyRequests {
		d.loadsAfter = now.Add(d.delays.NextBackOff())
	} else if o.Order == OrderLoad && err == nil {
		d.delays.Reset()
	}
}

func (d *Dispatcher) log(r *Replica, o Order, status int, err error, reason string, again bool) {
	event := d.Logger.Info()
	switch {
	case err != nil || status == http.StatusConflict:
		event = d.Logger.Warn()
	case again:
		event, reason = d.Logger.Debug(), reasonStateDiffers
	}
	event.Err(err).Str("zone", d.Zone).Str("upstream", r.ID.Upstream).Str("replica", r.ID.Replica).
		Str("order", o.Order).Str("model", o.Model).Str("role", o.Role).Uint64("fencing_token", o.FencingToken).
		Int("status", status).Str("reason", reason).Msg("placement order sent")
}
