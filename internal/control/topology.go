package control

import (
	"slices"
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/membership"
	"heatherbarrow/internal/rendezvous"
)

const (
	watchersPerZone     = 2
	observersPerReplica = 2
	// shareBuckets groups teams, so that a host with many teams above their
	// floors makes at most this many calls each second.
	shareBuckets = 4
)

// Topology is who talks to whom, computed once a second.
type Topology struct {
	Watching bool              // this host holds the platform watch
	Live     []membership.Peer // of the own zone, without the own host
	Silent   []membership.Peer // of the own zone, known but not heard
	Remote   map[string][]membership.Peer
	Targets  []Target // replicas that this host observes
}

// Target is a replica to observe.
type Target struct {
	Upstream string
	Replica  string
	Address  string
	Kind     bundle.Kind
}

func buildTopology(t *membership.Table, b *bundle.Bundle, now time.Time) *Topology {
	self := t.Self()
	topology := &Topology{Remote: make(map[string][]membership.Peer)}
	watchers := t.Watchers(self.AvailabilityZone, watchersPerZone, now)
	topology.Watching = slices.Contains(watchers, self.Host)
	topology.Live, topology.Silent = t.ZonePeers(self.AvailabilityZone, now)
	for _, zone := range t.Zones() {
		if zone != self.AvailabilityZone {
			topology.Remote[zone] = rankedContacts(t, zone, now)
		}
	}
	if b != nil {
		topology.Targets = targets(t, b, now)
	}
	return topology
}

// rankedContacts returns the watchers of another zone, or any hosts known there
// while none was heard.
func rankedContacts(t *membership.Table, zone string, now time.Time) []membership.Peer {
	live, silent := t.ZonePeers(zone, now)
	if len(live) == 0 {
		return silent
	}
	watchers := t.Watchers(zone, watchersPerZone, now)
	var out []membership.Peer
	for _, p := range live {
		if slices.Contains(watchers, p.Host) {
			out = append(out, p)
		}
	}
	if len(out) == 0 {
		return live
	}
	return out
}

func targets(t *membership.Table, b *bundle.Bundle, now time.Time) []Target {
	self := t.Self()
	hosts := t.ActiveHosts(self.AvailabilityZone, now)
	var out []Target
	for i := range b.Upstreams {
		u := &b.Upstreams[i]
		for j := range u.Replicas {
			r := &u.Replicas[j]
			if r.AvailabilityZone != self.AvailabilityZone {
				continue
			}
			if rendezvous.InTop("observe/"+u.Name+"/"+r.ID, self.Host, hosts, observersPerReplica) {
				out = append(out, Target{Upstream: u.Name, Replica: r.ID, Address: r.Address, Kind: u.Kind})
			}
		}
	}
	return out
}
