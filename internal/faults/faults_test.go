package faults

import (
	"encoding/json"
	"syscall"

	"github.com/stretchr/testify/require"
)

const (
	sigCont = syscall.SIGCONT
	sigStop = syscall.SIGSTOP
	sigTerm = syscall.SIGTERM
)

// set changes one switch of a stand-in and leaves the others as they are.
func (s *standIn) set(c *cluster, name string, value any) {
	c.t.Helper()
	if s.faults == nil {
		s.faults = make(map[string]any)
	}
	s.faults[name] = value
	data, err := json.Marshal(s.faults)
	require.NoError(c.t, err)
	put(c.t, s.address, "/admin/faults", string(data))
}

// cutZone cuts the hosts 0 and 3, which are the zone "ate", from the hosts and
// replicas of other zones, and those from its replicas.
func (c *cluster) cutZone() {
	for i, h := range c.hosts {
		for _, l := range h.replicas {
			if h.zone == zones[0] || l.reaches(c, zones[0]) {
				l.cut()
			}
		}
		for j, l := range h.peers {
			if l != nil && c.hosts[i].zone != c.hosts[j].zone && (h.zone == zones[0] || c.hosts[j].zone == zones[0]) {
				l.cut()
			}
		}
	}
}

func (c *cluster) cutZoneFromPlatform() {
	for _, h := range c.hosts {
		if h.zone == zones[0] {
			h.platform.cut()
		}
	}
}

// fault is something that goes wrong. inject is called while requests are in a
// step; all faults end when the cluster is healed.
type fault struct {
	name string
	// inject brings the fault about.
	inject func(c *cluster, a *caller)
	// breaksCallers means that callers of host 0 may see broken connections.
	breaksCallers bool
	// completes means that every request must still complete.
	completes bool
	// keepsCapacity means that top-tier requests must still be served.
	keepsCapacity bool
}

var faults = []fault{
	{name: "none", completes: true, keepsCapacity: true, inject: func(*cluster, *caller) {}},
	{name: "caller-gone", breaksCallers: true, inject: func(_ *cluster, a *caller) { a.hangUp() }},
	{name: "router-killed", breaksCallers: true, inject: func(c *cluster, _ *caller) { c.hosts[0].router.kill() }},
	{name: "router-paused", inject: func(c *cluster, _ *caller) { c.hosts[0].router.signal(sigStop) }},
	{name: "router-stopped", completes: true, inject: func(c *cluster, _ *caller) { c.hosts[0].router.signal(sigTerm) }},
	{name: "host-stopped", completes: true, inject: func(c *cluster, _ *caller) {
		c.hosts[0].router.signal(sigTerm)
		c.hosts[0].control.signal(sigTerm)
	}},
	{name: "control-killed", keepsCapacity: true, inject: func(c *cluster, _ *caller) { c.hosts[0].control.kill() }},
	{name: "control-paused", keepsCapacity: true, inject: func(c *cluster, _ *caller) { c.hosts[0].control.signal(sigStop) }},
	{name: "engine-crash", keepsCapacity: true, inject: func(c *cluster, _ *caller) {
		c.engines[0].set(c, "downtime_ms", 500)
		c.engines[0].crash(c)
	}},
	{name: "engine-freeze", inject: func(c *cluster, _ *caller) { c.engines[0].set(c, "frozen", true) }},
	{name: "engine-slow", keepsCapacity: true, inject: func(c *cluster, _ *caller) { c.engines[0].set(c, "slow_factor", 10) }},
	{name: "report-frozen", keepsCapacity: true, inject: func(c *cluster, _ *caller) { c.engines[0].set(c, "report_frozen", true) }},
	{name: "service-answer-lost", keepsCapacity: true, inject: func(c *cluster, _ *caller) {
		for _, s := range c.services {
			s.set(c, "lose_answers", 2)
		}
	}},
	{name: "platform-down", keepsCapacity: true, inject: func(c *cluster, _ *caller) { c.platform.set(c, "down", true) }},
	{name: "platform-slow", keepsCapacity: true, inject: func(c *cluster, _ *caller) { c.platform.set(c, "delay_ms", 1500) }},
	{name: "platform-write-lost", keepsCapacity: true, inject: func(c *cluster, _ *caller) { c.platform.set(c, "lose_write_answers", 2) }},
	{name: "zone-cut-zones", keepsCapacity: true, inject: func(c *cluster, _ *caller) { c.cutZone() }},
	{name: "zone-cut-platform", keepsCapacity: true, inject: func(c *cluster, _ *caller) { c.cutZoneFromPlatform() }},
	{name: "zone-cut-both", keepsCapacity: true, inject: func(c *cluster, _ *caller) {
		c.cutZone()
		c.cutZoneFromPlatform()
	}},
	{name: "host-list-stale", keepsCapacity: true, inject: func(c *cluster, _ *caller) {
		c.setHosts("live")
		c.hosts[2].control.kill()
		c.hosts[2].router.kill()
	}},
}

func faultNamed(name string) fault {
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	panic("no fault is named " + name)
}

// crash breaks all connections of an engine once.
func (s *standIn) crash(c *cluster) {
	s.set(c, "crash_now", true)
	delete(s.faults, "crash_now")
}

// setHosts sets the platform's list of hosts; all hosts have the given state.
func (c *cluster) setHosts(state string) {
	type entry struct {
		Name             string `json:"name"`
		AvailabilityZone string `json:"availability_zone"`
		State            string `json:"state"`
	}
	var list struct {
		Hosts []entry `json:"hosts"`
	}
	for _, h := range c.hosts {
		list.Hosts = append(list.Hosts, entry{Name: h.name, AvailabilityZone: h.zone, State: state})
	}
	data, err := json.Marshal(list)
	require.NoError(c.t, err)
	put(c.t, c.platform.address, "/admin/hosts", string(data))
}
