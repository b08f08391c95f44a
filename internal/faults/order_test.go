//go:build faults

package faults

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/gateway/netio/relaytest"
	"heatherbarrow/internal/standin/engine"
)

const (
	// retiredModel is loaded on engine 0 of the order cells and not in the bundle,
	// so that the holder of the zone's lease orders a load and an unload.
	retiredModel = "glue-7b"
	wantedModel  = "glue-13b"
	// orderTimeout covers a lapsed lease, the successor's wait and a repeated order.
	orderTimeout = 60 * time.Second
	// lapseTime is longer than a lease lives.
	lapseTime = 12 * time.Second
)

// orderFaults are the faults that a placement order can meet.
var orderFaults = []string{
	"none", "control-killed", "control-paused", "platform-down", "platform-slow", "platform-write-lost",
	"zone-cut-platform", "engine-crash",
}

// orderSteps bring the placement of engine 0 into a step.
var orderSteps = []struct {
	name  string
	enter func(c *cluster)
}{
	{"acquire", func(*cluster) {}},
	{"renew", func(c *cluster) { c.eventually("the zone's lease is held", orderTimeout, c.leaseHeld) }},
	{"decide", func(c *cluster) { c.eventually("hosts are ready", readyTimeout, c.allReady) }},
	{"send", func(c *cluster) {
		c.engines[0].link.delay(relaytest.ToTarget, 600*time.Millisecond)
		c.eventually("the zone's lease is held", orderTimeout, c.leaseHeld)
	}},
	{"answer", func(c *cluster) {
		// Shorter than the timeout of load polls, without which nothing is placed.
		c.engines[0].link.delay(relaytest.FromTarget, 600*time.Millisecond)
		c.eventually("an order was sent", orderTimeout, func() bool { return len(c.orders(0)) > 0 })
	}},
	{"record", func(c *cluster) {
		c.platform.set(c, "delay_ms", 500)
		c.eventually("the zone's lease is held", orderTimeout, c.leaseHeld)
	}},
}

func (c *cluster) leaseHeld() bool {
	for _, h := range []*host{c.hosts[0], c.hosts[3]} {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		s, err := h.status(ctx, c.http)
		cancel()
		if err == nil && s.LeaseHolder != "" {
			return true
		}
	}
	return false
}

func (c *cluster) orders(i int) []engine.TakenOrder {
	var out []engine.TakenOrder
	if err := c.getJSON(c.engines[i].address, "/admin/orders", &out); err != nil {
		c.t.Errorf("orders of engine %d: %v", i, err)
	}
	return out
}

func (c *cluster) loadedModels(i int) []string {
	var load engine.Load
	if err := c.getJSON(c.engines[i].address, "/v1/load", &load); err != nil {
		return nil
	}
	return load.Models
}

// runOrderCell lets the holder of a zone's lease replace a model while a fault is
// injected, and returns the broken invariants.
func runOrderCell(t *testing.T, enter func(c *cluster), f fault, checks bool) []string {
	c := newClusterWith(t, clusterOptions{firstModels: []string{retiredModel}, checksFencing: checks})
	c.startWith(func(b *bundle.Bundle) { b.Upstreams[0].ChecksFencing = checks })
	a := newCaller(c)
	ctx, cancel := context.WithTimeout(context.Background(), 2*orderTimeout)
	defer cancel()
	enter(c)
	f.inject(c, a)
	if f.name == "control-paused" {
		c.hosts[3].control.signal(sigStop)
		time.Sleep(lapseTime)
	} else {
		time.Sleep(faultTime)
	}
	c.heal()
	var broken []string
	if !c.eventually("engine 0 has the wanted model alone", orderTimeout, func() bool {
		return slices.Equal(c.loadedModels(0), []string{wantedModel})
	}) {
		broken = append(broken, fmt.Sprintf("engine 0 holds %v", c.loadedModels(0)))
	}
	broken = append(broken, c.checkOrders(checks)...)
	broken = append(broken, c.probe(ctx, a)...)
	return append(broken, c.checkAnswers(a.all())...)
}

// checkOrders checks that engines obeyed no stale fencing token and that no other
// engine lost its model.
func (c *cluster) checkOrders(checks bool) []string {
	var broken []string
	var highest uint64
	for _, o := range c.orders(0) {
		obeyed := o.Status == http.StatusOK || o.Status == http.StatusAccepted
		if checks && obeyed && o.FencingToken < highest {
			broken = append(broken, fmt.Sprintf("order %+v was obeyed after token %d", o, highest))
		}
		highest = max(highest, o.FencingToken)
	}
	for i := 1; i < len(c.engines); i++ {
		if orders := c.orders(i); len(orders) > 0 {
			broken = append(broken, fmt.Sprintf("engine %d, the last one of its zone with its model, got orders %+v", i, orders))
		}
	}
	return broken
}

func (r *results) runOrders(t *testing.T) {
	for _, s := range orderSteps {
		for i, name := range orderFaults {
			t.Run(name+"/"+s.name, func(t *testing.T) {
				t.Parallel()
				// Every second fault meets engines that ignore fencing tokens.
				r.add(t, name, s.name, runOrderCell(t, s.enter, faultNamed(name), i%2 == 0))
			})
		}
	}
}

// delay makes what goes in a direction late.
func (l *link) delay(d relaytest.Direction, latency time.Duration) {
	l.Begin(relaytest.Fault{Direction: d, Latency: latency})
}
