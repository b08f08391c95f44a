package placement

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"heatherbarrow/internal/lease"
)

const (
	// maxReportBytes bounds an engine's load report.
	maxReportBytes = 1 << 20
	// OrderTimeout bounds an order in flight. A new holder sends nothing to
	// engines that ignore the fencing token until this much time has passed.
	OrderTimeout = 2 * time.Second

	resendAfter        = 3 * time.Second
	resendLoadAfter    = 30 * time.Second // an accepted load takes a while to be reported
	maxReportAge       = 10 * time.Second
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
	token  uint64
	resend time.Time
}

// Dispatcher sends orders until the engines report the desired state. Dispatch
// is called by one goroutine.
type Dispatcher struct {
	Zone   string
	Lease  Lease
	Sender Sender
	Clock  clockwork.Clock
	Logger zerolog.Logger

	sent       map[sentKey]sentOrder
	loads      *rate.Limiter
	delays     *backoff.ExponentialBackOff
	loadsAfter time.Time
}

// Dispatch sends the orders that are due, one after another.
func (d *Dispatcher) Dispatch(ctx context.Context, desired *Desired, pools []Pool) {
	if d.sent == nil {
		d.sent = make(map[sentKey]sentOrder)
		d.loads = rate.NewLimiter(loadsPerSecond, loadBurst)
		d.delays = &backoff.ExponentialBackOff{InitialInterval: loadBackoff, Multiplier: 2, MaxInterval: maxLoadBackoff}
		d.delays.Reset()
	}
	for i := range pools {
		for j := range pools[i].Replicas {
			r := &pools[i].Replicas[j]
			target, ok := desired.Targets[r.ID.String()]
			if !ok || !usable(r) || r.ReportAge > maxReportAge {
				continue
			}
			d.readUnlisted(ctx, r)
			due := dueOrders(desired, &pools[i], r, &target)
			d.forgetSettled(r, due)
			for _, o := range due {
				if !d.send(ctx, desired, r, o, target.Reason) {
					return
				}
			}
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
func (d *Dispatcher) forgetSettled(r *Replica, due []Order) {
	id := r.ID.String()
	for key := range d.sent {
		if key.replica == id && !slices.ContainsFunc(due, func(o Order) bool { return keyOf(r, o) == key }) {
			delete(d.sent, key)
		}
	}
}

func keyOf(r *Replica, o Order) sentKey {
	return sentKey{replica: r.ID.String(), order: o.Order, subject: o.Model + o.Role}
}

// dueOrders returns the orders by which a replica's report differs from its
// target. Models are unloaded before others are loaded, to make room.
func dueOrders(desired *Desired, pool *Pool, r *Replica, target *Target) []Order {
	var out []Order
	for _, m := range r.Models {
		if !slices.Contains(target.Models, m) && mayUnload(desired, pool, r, m) {
			out = append(out, Order{Order: OrderUnload, Model: m})
		}
	}
	if len(out) == 0 {
		for _, m := range target.Models {
			if !slices.Contains(r.Models, m) {
				out = append(out, Order{Order: OrderLoad, Model: m})
			}
		}
	}
	if target.Role != "" && r.Role != target.Role {
		out = append(out, Order{Order: OrderRole, Role: target.Role})
	}
	return out
}

// mayUnload tells whether a model that some class needs is still served, by
// report and by plan, without the replica.
func mayUnload(desired *Desired, pool *Pool, r *Replica, model string) bool {
	if !slices.Contains(pool.Models, model) {
		return true
	}
	for i := range pool.Replicas {
		other := &pool.Replicas[i]
		if other.ID != r.ID && usable(other) && other.ReportAge <= maxReportAge && slices.Contains(other.Models, model) &&
			slices.Contains(desired.Targets[other.ID.String()].Models, model) {
			return true
		}
	}
	return false
}

// send sends one order if it is due. It returns false when the lease is no
// longer held.
func (d *Dispatcher) send(ctx context.Context, desired *Desired, r *Replica, o Order, reason string) bool {
	key := keyOf(r, o)
	now := d.Clock.Now()
	before, again := d.sent[key]
	if again && before.token == desired.FencingToken && now.Before(before.resend) {
		return true
	}
	if o.Order == OrderLoad && (now.Before(d.loadsAfter) || !d.loads.AllowN(now, 1)) {
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
	d.sent[key] = sentOrder{token: o.FencingToken, resend: d.Clock.Now().Add(resendTime(status))}
	d.afterSend(r, o, grant, status, err, reason, again)
	return true
}

func resendTime(status int) time.Duration {
	if status == http.StatusAccepted {
		return resendLoadAfter
	}
	return resendAfter
}

// afterSend slows loads down while the weight store refuses them, and logs.
func (d *Dispatcher) afterSend(r *Replica, o Order, grant lease.Grant, status int, err error, reason string, again bool) {
	if status == http.StatusTooManyRequests {
		d.loadsAfter = d.Clock.Now().Add(d.delays.NextBackOff())
	} else if o.Order == OrderLoad && err == nil {
		d.delays.Reset()
	}
	event := d.Logger.Info()
	switch {
	case err != nil || status == http.StatusConflict:
		event = d.Logger.Warn()
	case again:
		event, reason = d.Logger.Debug(), reasonStateDiffers
	}
	event.Err(err).Str("zone", d.Zone).Str("upstream", r.ID.Upstream).Str("replica", r.ID.Replica).
		Str("order", o.Order).Str("model", o.Model).Str("role", o.Role).Uint64("fencing_token", grant.Token).
		Int("status", status).Str("reason", reason).Msg("placement order sent")
}
