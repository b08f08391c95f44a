package peers

import (
	"context"
	"time"

	"heatherbarrow/internal/gateway/state"
)

// followRole keeps the role of this host up to date.
func (e *Exchange) followRole(ctx context.Context) {
	ticker := time.NewTicker(rolePause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.updateRole(time.Now())
	}
}

func (e *Exchange) updateRole(now time.Time) {
	neighbors := e.neighbors(now)
	follows := state.FollowsStore(e.opts.Host, neighbors)
	e.shared.Store(len(neighbors) >= state.FollowersPerZone)
	e.setSpeaker(neighbors)
	if e.opts.Role.Set(follows) {
		e.opts.Logger.Info().Bool("follows_store", follows).Int("neighbors", len(neighbors)).Msg("role changed")
	}
}

// Presume tells a starting host which other hosts of its availability zone are registered.
// They count as heard for a moment, so that of hundreds of hosts that start together only
// the first of each zone list the store.
func (e *Exchange) Presume(hosts []string) {
	now := time.Now()
	e.mu.Lock()
	e.presumed = make(map[string]time.Time, len(hosts))
	for _, host := range hosts {
		if host != e.opts.Host {
			e.presumed[host] = now.Add(presumeTime)
		}
	}
	e.mu.Unlock()
	e.updateRole(now)
}

// Shared tells whether hosts of the availability zone leave it to others to follow the
// store.
func (e *Exchange) Shared() bool { return e.shared.Load() }

// neighbors returns the hosts of the own availability zone that were heard of late.
func (e *Exchange) neighbors(now time.Time) []state.Neighbor {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []state.Neighbor
	zone := 0
	for _, p := range e.peers {
		if p.zone == e.opts.Zone && now.Sub(p.heard) < quietAfter {
			zone++
		}
	}
	silence := max(roleBeats*interval(zone), leastRole)
	for _, p := range e.peers {
		if p.zone == e.opts.Zone && !p.heard.IsZero() && now.Sub(p.heard) < silence {
			out = append(out, state.Neighbor{Host: p.host, StoreReachable: p.reachable})
			delete(e.presumed, p.host)
		}
	}
	for host, until := range e.presumed {
		if now.Before(until) {
			out = append(out, state.Neighbor{Host: host, StoreReachable: true})
		} else {
			delete(e.presumed, host)
		}
	}
	return out
}
