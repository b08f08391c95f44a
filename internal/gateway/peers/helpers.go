package peers

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// declinedTime is how long a host that declined a request is not asked again. Partitions and stops last
// seconds.
const declinedTime = time.Second

// Helper implements proxy.Helpers. Hosts of zones in which fewer hosts were tried or have declined lately are preferred, as
// those of a zone are often cut off together, and then hosts of this zone.
func (e *Exchange) Helper(upstream string, tried []string) (address string, ok bool) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	declines := make(map[string]int) // by zone
	for address, p := range e.peers {
		if p.declines(upstream, now) || slices.Contains(tried, address) {
			declines[p.zone]++
		}
	}
	var nearest []string
	var nearestZone zoneDistance
	for address, p := range e.peers {
		silent := now.Sub(later(p.lastHeartbeat, p.lastInDigest)) > maxHeartbeatInterval+digestTimeout
		if silent || p.declines(upstream, now) || slices.Contains(tried, address) {
			continue
		}
		zone := zoneDistance{declines[p.zone], p.zone != e.opts.Zone}
		switch order := zone.compare(nearestZone); {
		case len(nearest) == 0, order < 0:
			nearest, nearestZone = []string{address}, zone
		case order == 0:
			nearest = append(nearest, address)
		}
	}
	if len(nearest) == 0 {
		return "", false
	}
	return nearest[rand.IntN(len(nearest))], true
}

// declines reports whether the peer has declined so recently that it is not offered requests of the upstream.
func (p *peer) declines(upstream string, now time.Time) bool {
	return now.Before(p.declinedUntil) || now.Before(p.unreachableUntil[upstream])
}

// zoneDistance ranks the zones of hosts that requests can be delegated to.
type zoneDistance struct {
	declines int  // hosts of the zone that were tried or have declined lately
	other    bool // it is not this host's
}

// compare is that of package cmp.
func (d zoneDistance) compare(with zoneDistance) int {
	if c := cmp.Compare(d.declines, with.declines); c != 0 || d.other == with.other {
		return c
	}
	if d.other {
		return 1
	}
	return -1
}

// Declined implements proxy.Helpers.
func (e *Exchange) Declined(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p, ok := e.peers[address]; ok {
		p.declinedUntil = time.Now().Add(declinedTime)
	}
}

// Unreachable implements proxy.Helpers.
func (e *Exchange) Unreachable(address, upstream string) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.peers[address]
	if !ok {
		return
	}
	if p.unreachableUntil == nil {
		p.unreachableUntil = make(map[string]time.Time)
	}
	maps.DeleteFunc(p.unreachableUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	p.unreachableUntil[upstream] = now.Add(declinedTime)
}
