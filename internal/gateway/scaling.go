package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"heatherbarrow/internal/duty"
	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/scheduling/scaling"
)

const (
	// planInterval is the interval at which the holder of the duties decides on replicas. Reclaimed replicas leave about
	// two seconds after their notice, and registrations arrive several times a second.
	planInterval = 500 * time.Millisecond
	// maxQueuedOrders bounds the orders that wait to be sent. A plan has two for each zone and upstream at most.
	maxQueuedOrders = 256
)

// scaler orders replicas on the host that holds the duties. Its methods are called by the goroutine that runs
// dutyService.loop, except for send.
type scaler struct {
	service  *dutyService
	planners map[string]*scaling.Planner // by upstream
	failures map[string]string           // last logged error, by upstream
	planned  time.Time
	queue    chan sentOrder
	answers  chan sentOrder
}

// sentOrder is an order on its way to the platform, and its outcome.
type sentOrder struct {
	order duty.Order
	token uint64 // of the lease in which it was decided; it is not sent in a later one
	err   error
}

func newScaler(d *dutyService) *scaler {
	return &scaler{service: d, queue: make(chan sentOrder, maxQueuedOrders), answers: make(chan sentOrder, maxQueuedOrders)}
}

// takeOver begins with the orders that an earlier holder stored.
func (s *scaler) takeOver() {
	stored := make(map[string][]scaling.Order)
	for _, o := range s.service.keeper.Orders() {
		stored[o.Upstream] = append(stored[o.Upstream], scaling.Order{Zone: o.Zone, Spot: o.Spot, Replicas: o.Replicas})
	}
	s.planners, s.failures = make(map[string]*scaling.Planner), make(map[string]string)
	for upstream, orders := range stored {
		s.planners[upstream] = scaling.New(orders)
	}
}

// step decides on the replicas of all upstreams that are scaled, stores what is wanted, and sends the orders.
func (s *scaler) step(ctx context.Context) {
	s.takeAnswers(ctx)
	now := time.Now()
	table := s.service.program.state.Table()
	if table == nil || now.Sub(s.planned) < planInterval {
		return
	}
	s.planned = now
	var orders []duty.Order
	for i := range table.Upstreams {
		if u := &table.Upstreams[i]; u.Scaling != nil {
			orders = append(orders, s.plan(u, now)...)
		}
	}
	if len(orders) == 0 {
		return
	}
	// A successor begins with the orders that are stored, so that it does not undo what it does not know of.
	s.service.keeper.SetOrders(s.wanted())
	stored := s.service.renew(ctx, true) == nil && s.service.keeper.Held()
	for _, o := range orders {
		if !stored {
			s.answered(o, scaling.NotAnswered)
			continue
		}
		select {
		case s.queue <- sentOrder{order: o, token: s.service.token}:
		default:
			s.answered(o, scaling.NotAnswered)
		}
	}
}

// plan returns the orders for an upstream.
func (s *scaler) plan(u *routing.Upstream, now time.Time) (orders []duty.Order) {
	planner, ok := s.planners[u.Name]
	if !ok {
		planner = scaling.New(nil)
		s.planners[u.Name] = planner
	}
	p := s.service.program
	view := scaling.View{
		Refused: p.fleet.RefusedShare(u.Name, now),
		Partial: !p.state.Known() || p.state.StoreLost() || p.fleet.CutOff() || p.peers.CutOffFromZones() || !p.peers.RegistrationsCurrent(),
	}
	for _, z := range p.fleet.ZoneLoads(u.Name, now) {
		view.Zones = append(view.Zones, scaling.ZoneView{Zone: z.Zone, OnDemand: z.OnDemand, Spot: z.Spot, LeavingSpot: z.LeavingSpot, Busy: z.Busy})
	}
	planned, why, err := planner.Plan(*u.Scaling, view, now)
	if err != nil {
		if text := err.Error(); s.failures[u.Name] != text {
			s.failures[u.Name] = text
			p.logger.Error().Err(err).Str("upstream", u.Name).Msg("no replicas are ordered")
		}
		return nil
	}
	for _, o := range planned {
		p.logger.Info().Str("upstream", u.Name).Str("order_zone", o.Zone).Bool("spot", o.Spot).Int("replicas", o.Replicas).
			Bool("partial", view.Partial).Str("why", why).Msg("replicas wanted")
		orders = append(orders, duty.Order{Upstream: u.Name, Zone: o.Zone, Spot: o.Spot, Replicas: o.Replicas})
	}
	return orders
}

// wanted returns the replicas that are wanted of all upstreams.
func (s *scaler) wanted() (out []duty.Order) {
	for _, upstream := range slices.Sorted(maps.Keys(s.planners)) {
		for _, o := range s.planners[upstream].Wanted() {
			out = append(out, duty.Order{Upstream: upstream, Zone: o.Zone, Spot: o.Spot, Replicas: o.Replicas})
		}
	}
	return out
}

// takeAnswers passes the outcomes of orders to the planners. A conflict means that none are available only if no other host
// can have sent a higher token, which a renewal of the lease tells after it. Orders of an earlier lease are left out, as
// its planners are.
func (s *scaler) takeAnswers(ctx context.Context) {
	var answers []sentOrder
	conflict := false
	for taken := true; taken; {
		select {
		case a := <-s.answers:
			if a.token == s.service.token {
				answers = append(answers, a)
				conflict = conflict || errors.Is(a.err, duty.ErrConflict)
			}
		default:
			taken = false
		}
	}
	held := false
	if conflict {
		err := s.service.renew(ctx, true) // one for all: each is billed
		grant, ok := s.service.holder.Grant()
		held = err == nil && ok && grant.Token == s.service.token
	}
	for _, a := range answers {
		s.answered(a.order, outcome(a.err, held))
	}
}

// outcome returns what became of an order. held tells that the lease was held after the answer.
func outcome(err error, held bool) scaling.Outcome {
	switch {
	case err == nil:
		return scaling.Ordered
	case errors.Is(err, duty.ErrConflict) && held:
		return scaling.NoneAvailable
	}
	return scaling.NotAnswered
}

func (s *scaler) answered(o duty.Order, outcome scaling.Outcome) {
	if planner, ok := s.planners[o.Upstream]; ok {
		planner.Answered(scaling.Order{Zone: o.Zone, Spot: o.Spot, Replicas: o.Replicas}, outcome, time.Now())
	}
}

// send sends queued orders until ctx ends.
func (s *scaler) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-s.queue:
			s.sendOrder(ctx, &o)
			select {
			case s.answers <- o:
			case <-ctx.Done():
				return
			}
		}
	}
}

var errNotHeld = errors.New("lease of duties is not held")

func (s *scaler) sendOrder(ctx context.Context, o *sentOrder) {
	caller, ok := s.service.call(ctx)
	if !ok || caller.Token != o.token {
		o.err = errNotHeld
		return
	}
	callCtx, cancel := s.service.callContext(ctx)
	defer cancel()
	began := time.Now()
	o.err = s.service.api.OrderReplicas(callCtx, caller, o.order)
	s.service.noteCall(caller, o.err, false)
	p := s.service.program
	p.logger.Info().Err(o.err).Str("upstream", o.order.Upstream).Str("order_zone", o.order.Zone).Bool("spot", o.order.Spot).
		Int("replicas", o.order.Replicas).Uint64("fencing_token", caller.Token).Dur("took_ms", time.Since(began)).Msg("replicas ordered")
	p.metrics.Scope.Tagged(map[string]string{"duty": string(duty.Scaling), "outcome": outcomeLabel(o.err)}).Counter("duty_calls").Inc(1)
}

// outcomeLabel returns the label of the outcome of a call to the platform.
func outcomeLabel(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errors.Is(err, duty.ErrConflict):
		return "conflict"
	case errors.Is(err, duty.ErrRefused):
		return "refused"
	default:
		return "not_answered"
	}
}
