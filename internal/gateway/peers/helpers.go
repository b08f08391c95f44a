package peers

import (
	"math/rand/v2"
	"slices"
	"time"
)

// declinedTime is how long a host that declined a request is not asked again. Partitions and stops last
// seconds.
const declinedTime = time.Second

// Helper implements proxy.Helpers. Hosts of this zone are preferred.
func (e *Exchange) Helper(tried []string) (address string, ok bool) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var inZone, elsewhere []string
	for address, p := range e.peers {
		silent := now.Sub(later(p.lastHeartbeat, p.lastInDigest)) > maxHeartbeatInterval+digestTimeout
		if silent || now.Before(p.declinedUntil) || slices.Contains(tried, address) {
			continue
		}
		if p.zone == e.opts.Zone {
			inZone = append(inZone, address)
		} else {
			elsewhere = append(elsewhere, address)
		}
	}
	for _, group := range [][]string{inZone, elsewhere} {
		if len(group) > 0 {
			return group[rand.IntN(len(group))], true
		}
	}
	return "", false
}

// Declined implements proxy.Helpers.
func (e *Exchange) Declined(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p, ok := e.peers[address]; ok {
		p.declinedUntil = time.Now().Add(declinedTime)
	}
}
