//go:build review

package main

import (
	"time"

	"heatherbarrow/platform"
)

const (
	ordersPath  = "/pule252/"
	lookupsPath = "/puxa403/"
)

// configureRegistry writes a configuration with one plain service, and starts its replicas.
func (d *deployment) configureRegistry(replicas int) error {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": callerHost, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": 1500, "goalMs": 300, "priority": 2,
			"service": "wuno96b", "maxAttempts": attempts, "public": false, "sticky": false,
		}
	}
	d.store.Put(platform.KindConfig, platform.NameConfig, map[string]any{
		"version":  7,
		"routes":   []any{route("r-orders", ordersPath, "non_idempotent", 1), route("r-lookups", lookupsPath, "idempotent", 2)},
		"services": []any{map[string]any{"name": "wuno96b", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": teamName, "apiKeys": []string{teamKey}, "priority": 1}},
	})
	for i := range replicas {
		if err := d.replicas.boot("wuno96b", zones[1+i%3], "", 6, 60*time.Millisecond, 2500*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// usualTraffic sends orders and lookups at about the rates of the operators' sheet.
func (c *callers) usualTraffic() {
	for _, zone := range []string{"sapporo", "asahikawa", "hakodate"} {
		c.stream(zone, "order", "POST", ordersPath+"2f", []byte("order of "+zone), 300*time.Millisecond)
		c.stream(zone, "lookup", "GET", lookupsPath+"2f", nil, 450*time.Millisecond)
	}
}

// checkPoison applies the rule BUDGET to one request that crashes replicas: after its third crash and the
// stable window, no more than three retries that machines in touch send may reach replicas.
func (c *callers) checkPoison(body string) (broken bool) {
	const maxRetries = 3
	d := c.d
	c.mu.Lock()
	defer c.mu.Unlock()
	d.replicas.mu.Lock()
	defer d.replicas.mu.Unlock()
	crashes, late := 0, 0
	var third time.Time
	for _, run := range d.replicas.arrivals {
		if run.poison != body {
			continue
		}
		if crashes++; crashes == 3 {
			third = run.at
		}
		a := c.attempts[run.attempt]
		if crashes > 3 && run.at.Sub(third) > stableWindow && a.host.wasInTouch(a.sentAt) {
			late++
			d.record.note("retry %s of %q, sent to %s in touch, reached replica %s %.1f s after the third crash", a.id, body, a.host.name, run.replica, run.at.Sub(third).Seconds())
		}
	}
	d.record.say("%q crashed replicas %d times; %d retries reached replicas later than %v after the third crash, %d allowed", body, crashes, late, stableWindow, maxRetries)
	return late > maxRetries
}

// poisonAfterRestart sends one request that crashes replicas again and again, while the gateways are stopped
// and started in turn.
func poisonAfterRestart(d *deployment, trouble bool) (broken bool, err error) {
	if err := d.configureRegistry(3); err != nil {
		return false, err
	}
	if err := d.start(); err != nil {
		return false, err
	}
	c := newCallers(d)
	c.usualTraffic()
	time.Sleep(4 * time.Second)
	const body = crashWord + " 1"
	c.stream("", "poison", "POST", ordersPath+"9c", []byte(body), 2*time.Second)
	time.Sleep(14 * time.Second)
	for _, h := range d.hosts {
		if !trouble {
			time.Sleep(13 * time.Second)
			continue
		}
		h.terminate()
		time.Sleep(300 * time.Millisecond)
		if err := h.start(); err != nil {
			return false, err
		}
		if err := h.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
		time.Sleep(10 * time.Second)
	}
	time.Sleep(16 * time.Second)
	c.end()
	d.record.say("%d orders were lost on replicas that crashed", c.lostOrders("order"))
	return c.checkPoison(body), nil
}

// poisonPair sends two requests that crash replicas by turns, from a zone with one gateway. Without the
// disruption there is only one of them.
func poisonPair(d *deployment, trouble bool) (broken bool, err error) {
	if err := d.configureRegistry(5); err != nil {
		return false, err
	}
	if err := d.start(); err != nil {
		return false, err
	}
	c := newCallers(d)
	c.usualTraffic()
	time.Sleep(4 * time.Second)
	began := time.Now()
	bodies := []string{crashWord + " 1", crashWord + " 2"}
	if !trouble {
		bodies = bodies[:1]
	}
	for _, body := range bodies {
		c.stream("asahikawa", "poison", "POST", ordersPath+"9c", []byte(body), 1600*time.Millisecond)
		time.Sleep(800 * time.Millisecond)
	}
	time.Sleep(30 * time.Second)
	ended := time.Now()
	c.end()
	served, all := c.served("order", began, ended)
	d.record.say("%d orders were lost on replicas that crashed; %d of %d orders were served meanwhile", c.lostOrders("order"), served, all)
	for _, body := range bodies {
		broken = c.checkPoison(body) || broken
	}
	return broken, nil
}
