package gateway

import (
	"cmp"
	"slices"
	"time"

	"heatherbarrow/internal/duty"
	"heatherbarrow/internal/rpc"
)

// dutySnapshot is what the goroutine of dutyService.loop publishes for the status and the metrics. It is not changed after that.
type dutySnapshot struct {
	orders []duty.Order // wanted, as this host knows it; empty if it does not hold the duties
}

// orderKey identifies the replicas that an order is for.
type orderKey struct {
	upstream, zone string
	spot           bool
}

// dutyMonitor tells operators of the duties. Its methods are called by the goroutine that runs dutyService.loop.
type dutyMonitor struct {
	token uint64 // of the lease when it was last observed; 0 if it was not held
}

// observe publishes the state of the duties, counts changes of the lease and reports the windows that were missed.
func (m *dutyMonitor) observe(d *dutyService) {
	var s dutySnapshot
	token := uint64(0)
	if grant, held := d.holder.Grant(); held && d.keeper.Held() {
		token = grant.Token
		s.orders = d.keeper.Orders()
	}
	d.snapshot.Store(&s)
	if token != m.token {
		if m.token != 0 {
			m.countChange(d, "lost")
		}
		if token != 0 {
			m.countChange(d, "acquired")
		}
		m.token = token
	}
	for _, missed := range d.keeper.Missed(d.program.peers.TrueUnixMilli()) {
		windows := missed.Last - missed.First + 1
		d.program.metrics.Scope.Tagged(map[string]string{"cause": string(missed.Cause)}).Counter("usage_windows_missed").Inc(windows)
		event := d.program.logger.Warn()
		if missed.Cause == duty.Unknown {
			event = d.program.logger.Info() // usual after a handover: the earlier holder has sent the report, or logs it itself
		}
		event.Int64("window", missed.First).Int64("last_window", missed.Last).Str("cause", string(missed.Cause)).
			Msg("usage report is overdue and not known to be accepted")
	}
}

func (m *dutyMonitor) countChange(d *dutyService, change string) {
	d.program.metrics.Scope.Tagged(map[string]string{"change": change}).Counter("duty_lease_changes").Inc(1)
}

// status returns what this host knows of the duties, or nil if the deployment has none.
func (d *dutyService) status(now time.Time) *rpc.GatewayDuties {
	if d == nil {
		return nil
	}
	out := &rpc.GatewayDuties{}
	for _, name := range d.settings.Names {
		out.Names = append(out.Names, string(name))
	}
	s := d.snapshot.Load()
	if s == nil {
		return out // not started yet
	}
	out.Holder = d.holder.HolderName()
	grant, held := d.holder.Grant()
	if !held {
		return out
	}
	out.FencingToken = grant.Token
	out.HeldSince = now.Add(-d.clock.Now().Sub(grant.AcquiredAt)).UnixMilli()
	if d.settings.has(duty.Usage) {
		progress := d.keeper.Progress()
		out.WindowFixed, out.WindowAccepted = progress.Fixed, progress.Accepted
	}
	if d.settings.has(duty.Scaling) {
		out.Orders = d.orderStatus(s.orders, now)
	}
	return out
}

// orderStatus returns the replicas that are wanted and registered, of all upstreams that are scaled or have orders.
func (d *dutyService) orderStatus(orders []duty.Order, now time.Time) (out []*rpc.GatewayReplicaOrder) {
	rows := make(map[orderKey]*rpc.GatewayReplicaOrder)
	row := func(k orderKey) *rpc.GatewayReplicaOrder {
		if rows[k] == nil {
			rows[k] = &rpc.GatewayReplicaOrder{Upstream: k.upstream, AvailabilityZone: k.zone, Spot: k.spot}
			out = append(out, rows[k])
		}
		return rows[k]
	}
	upstreams := make(map[string]bool)
	for _, o := range orders {
		upstreams[o.Upstream] = true
		r := row(orderKey{o.Upstream, o.Zone, o.Spot})
		r.Ordered, r.Wanted = true, uint32(max(o.Replicas, 0))
	}
	if t := d.program.state.Table(); t != nil {
		for i := range t.Upstreams {
			if t.Upstreams[i].Scaling != nil {
				upstreams[t.Upstreams[i].Name] = true
			}
		}
	}
	for upstream := range upstreams {
		for _, z := range d.program.fleet.ZoneLoads(upstream, now) {
			for _, kind := range []struct {
				spot     bool
				replicas int
			}{{false, z.OnDemand}, {true, z.Spot}} {
				if k := (orderKey{upstream, z.Zone, kind.spot}); kind.replicas > 0 || rows[k] != nil {
					row(k).Registered = uint32(kind.replicas)
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b *rpc.GatewayReplicaOrder) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.AvailabilityZone, b.AvailabilityZone), compareBool(a.Spot, b.Spot))
	})
	return out
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// dutyGauges updates the gauges of the duties. Its methods are called by the goroutine of Program.runHousekeeping.
type dutyGauges struct {
	wanted map[orderKey]bool // whose gauges were set before
}

// update sets the gauges. Those of replicas that are no longer ordered by this host return to 0.
func (g *dutyGauges) update(d *dutyService) {
	if d == nil {
		return
	}
	s := d.snapshot.Load()
	if s == nil {
		return // not started yet
	}
	scope := d.program.metrics.Scope
	held := 0.0
	wanted := make(map[orderKey]int)
	if _, ok := d.holder.Grant(); ok {
		held = 1
		for _, o := range s.orders {
			wanted[orderKey{o.Upstream, o.Zone, o.Spot}] = o.Replicas
		}
	}
	scope.Gauge("duties_held").Update(held)
	for k := range wanted {
		if g.wanted == nil {
			g.wanted = make(map[orderKey]bool)
		}
		g.wanted[k] = true
	}
	for k := range g.wanted {
		scope.Tagged(map[string]string{"upstream": k.upstream, "zone": k.zone, "kind": kindLabel(k.spot)}).
			Gauge("replicas_wanted").Update(float64(wanted[k]))
	}
}

// kindLabel returns the label of a kind of replicas.
func kindLabel(spot bool) string {
	if spot {
		return "spot"
	}
	return "on_demand"
}
