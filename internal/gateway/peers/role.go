package peers

import (
	"context"
	"time"

	"heatherbarrow/internal/gateway/state"
	"heatherbarrow/internal/scheduling/requestlimit"
)

// roleLoop updates this host's role and pulls what others have announced, regularly until ctx ends.
func (e *Exchange) roleLoop(ctx context.Context) {
	ticker := time.NewTicker(roleUpdateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		e.updateRole(now)
		e.updateWallOffset()
		e.pullAnnounced(now)
	}
}

// updateRole updates the store-following role, the zone speaker and the hosts that share request
// limits from the live hosts.
func (e *Exchange) updateRole(now time.Time) {
	neighbors := e.neighbors(now)
	following := state.FollowsStore(e.opts.Host, neighbors)
	e.updateSpeaker(neighbors)
	e.opts.Fleet.SetHosts(e.limitHosts(neighbors, now))
	if e.opts.Role.Set(following) {
		e.opts.Logger.Info().Bool("follows_store", following).Int("neighbors", len(neighbors)).Msg("role changed")
	}
}

// limitHosts returns the hosts that share the request limits of replicas.
func (e *Exchange) limitHosts(neighbors []state.Neighbor, now time.Time) requestlimit.Hosts {
	h := requestlimit.Hosts{Host: e.opts.Host, Zone: e.opts.Zone}
	for _, n := range neighbors {
		h.Neighbors = append(h.Neighbors, n.Host)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	hosts := make(map[string]int)
	heartbeats := 0 // hosts of other zones with recent heartbeats
	for _, p := range e.peers {
		if p.zone != "" && p.zone != e.opts.Zone && now.Sub(p.lastHeartbeat) < silenceTimeout {
			hosts[p.zone]++
			heartbeats++
		}
	}
	for name, z := range e.zones {
		if now.Sub(z.lastDigestAt) < digestTimeout {
			hosts[name] = z.hostsLive
		}
	}
	for name, n := range hosts {
		h.OtherZones = append(h.OtherZones, requestlimit.Zone{Name: name, Hosts: n})
	}
	// A request shows in the next heartbeat, in the next digest of the zone and, where hosts of
	// another zone relay that to their neighbors, in no more than a further heartbeat.
	interval := max(heartbeatInterval(len(neighbors)), heartbeatInterval(heartbeats))
	h.ExchangeDelay = 2*interval + digestInterval
	return h
}

// AssumeLive treats the registered hosts of this availability zone as live for
// assumedLiveDuration from now. It is called when this host starts, so that when hundreds of
// hosts start together only the highest-ranked hosts of each zone list the objects in the store.
func (e *Exchange) AssumeLive(hosts []string) {
	now := time.Now()
	e.mu.Lock()
	e.assumedLive = make(map[string]time.Time, len(hosts))
	for _, host := range hosts {
		if host != e.opts.Host {
			e.assumedLive[host] = now.Add(assumedLiveDuration)
		}
	}
	e.mu.Unlock()
	e.updateRole(now)
}

// neighbors returns the other live hosts of this availability zone: those with a heartbeat within
// maxMissedHeartbeats intervals or minLivenessTimeout, whichever is longer, and the registered
// ones that are still assumed live.
func (e *Exchange) neighbors(now time.Time) []state.Neighbor {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []state.Neighbor
	zone := 0 // hosts of the zone with a heartbeat within silenceTimeout
	for _, p := range e.peers {
		if p.zone == e.opts.Zone && now.Sub(p.lastHeartbeat) < silenceTimeout {
			zone++
		}
	}
	timeout := max(maxMissedHeartbeats*heartbeatInterval(zone), minLivenessTimeout)
	for _, p := range e.peers {
		if p.zone == e.opts.Zone && !p.lastHeartbeat.IsZero() && now.Sub(p.lastHeartbeat) < timeout {
			out = append(out, state.Neighbor{Host: p.host, StoreReachable: p.storeReachable})
			delete(e.assumedLive, p.host)
		}
	}
	for host, until := range e.assumedLive {
		if now.Before(until) {
			out = append(out, state.Neighbor{Host: host, StoreReachable: true})
		} else {
			delete(e.assumedLive, host)
		}
	}
	return out
}
