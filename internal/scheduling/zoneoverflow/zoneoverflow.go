// Package zoneoverflow decides when requests of an availability zone should leave it and how
// many. It performs no I/O, starts no goroutines and takes the time as an argument.
package zoneoverflow

import (
	"math"
	"slices"
	"time"
)

const (
	// roomFree and roomShort are the shares of free capacity at which a zone has shortness 0 and 1. With few
	// free slots, hosts that learn of each other's requests with the next heartbeat pick the same ones.
	roomFree  = 0.35
	roomShort = 0.05
	// waitFree and waitShort are the waits at which a zone has shortness 0 and 1. waitShort is half
	// of the shortest target of a first event, 400 ms. waitFree is the cost at which engines in
	// other zones are picked while the own zone has room.
	waitFree  = 40 * time.Millisecond
	waitShort = 200 * time.Millisecond
	// leaveAt and returnAt are the shortness of the own zone at which requests begin to leave and
	// stop leaving. The gap keeps noise from turning the overflow on and off.
	leaveAt  = 0.4
	returnAt = 0.1
	// smoothing is the time constant of the shortness. It covers several heartbeats, so that hosts
	// see the effect of requests that left before more of them leave.
	smoothing = 300 * time.Millisecond
	// leaveTime and returnTime are how long a share takes from 0 to 1 and back. Returning is slower,
	// because the own zone has a backlog to work off.
	leaveTime  = time.Second
	returnTime = 2 * time.Second
	// maxRise is how many times the usual cost a zone costs in addition if it is as short as the own
	// zone. With both short, requests that leave would only change places with those of the other zone.
	maxRise = 2
	// maxStep bounds the time that one update counts for increases, so that a share does not jump
	// after a time without requests.
	maxStep = 100 * time.Millisecond
)

// Settings are the costs of a replica in another zone.
type Settings struct {
	Latency     time.Duration // added by the network, always part of the cost
	UsualCost   time.Duration // added to Latency while the own zone has room
	TrafficCost time.Duration // waiting time that the traffic of a request between zones is worth
}

// usual returns the cost while the own zone has room.
func (s *Settings) usual() time.Duration { return s.Latency + s.UsualCost }

// overflow returns the cost for requests that should leave. It never exceeds the usual cost.
func (s *Settings) overflow() time.Duration { return s.Latency + min(s.TrafficCost, s.UsualCost) }

// Zone is the state of the replicas of one upstream in one zone.
type Zone struct {
	Name     string
	Replicas int           // that may receive requests
	Room     float64       // share of their capacity that is free, 0 to 1
	Wait     time.Duration // mean wait of a request for those ahead of it
	CutOff   bool          // counts as cut off from this host
}

// shortness returns 0 for a zone with enough free capacity and 1 for one without any.
func (z *Zone) shortness() float64 {
	if z.Replicas == 0 {
		return 1
	}
	room := (roomFree - z.Room) / (roomFree - roomShort)
	wait := float64(z.Wait-waitFree) / float64(waitShort-waitFree)
	return min(max(room, wait, 0), 1)
}

// zoneState is what the decider remembers of a zone.
type zoneState struct {
	name      string
	shortness float64 // smoothed
	share     float64 // of the requests that should leave for this zone
	rise      float64 // part of maxRise that applies
}

// Decider decides for the requests of one zone to one upstream. It is not safe for concurrent use.
type Decider struct {
	settings Settings
	at       time.Time
	zones    []zoneState
	leaving  bool // the own zone became short and is not yet free again
}

// New returns a decider to which the own zone is not short.
func New(s Settings) *Decider { return &Decider{settings: s} }

// Settings returns the costs given to New.
func (d *Decider) Settings() Settings { return d.settings }

// Update applies the current state of all zones. Zones that are not listed are forgotten.
func (d *Decider) Update(own string, zones []Zone, now time.Time) {
	elapsed := time.Duration(0)
	if !d.at.IsZero() {
		elapsed = max(now.Sub(d.at), 0)
	}
	d.at = now
	d.zones = slices.DeleteFunc(d.zones, func(s zoneState) bool {
		return !slices.ContainsFunc(zones, func(z Zone) bool { return z.Name == s.name })
	})
	weight := 1 - math.Exp(-float64(elapsed)/float64(smoothing))
	ownZone, ownShortness := Zone{}, 1.0 // an own zone without replicas need not be listed
	for i := range zones {
		s := d.state(zones[i].Name)
		s.shortness += weight * (zones[i].shortness() - s.shortness)
		if s.name == own {
			ownZone, ownShortness = zones[i], s.shortness
		}
	}
	if d.leaving {
		d.leaving = ownShortness > returnAt
	} else {
		d.leaving = ownShortness >= leaveAt
	}
	up := float64(min(elapsed, maxStep)) / float64(leaveTime)
	down := float64(elapsed) / float64(returnTime)
	for i := range zones {
		s := d.state(zones[i].Name)
		switch share, rise := 0.0, 0.0; {
		case s.name == own:
		case zones[i].CutOff:
			s.share, s.rise = 0, 0
		default:
			if d.leaving {
				share = min(max(ownShortness-s.shortness, 0), capacityFor(&ownZone, &zones[i]))
				// None for a zone that is less than half as short, all for one that is as short.
				rise = min(ownShortness, max(2*s.shortness-ownShortness, 0))
			}
			s.share = approach(s.share, share, up, down)
			s.rise = approach(s.rise, rise, up, down)
		}
	}
}

// capacityFor returns the share of the own zone's requests for which the other zone has free
// capacity: a small zone is not flooded by a large one.
func capacityFor(own, other *Zone) float64 {
	return min(float64(other.Replicas)*other.Room/float64(max(own.Replicas, 1)), 1)
}

// approach moves a value toward its target by at most up or down.
func approach(value, target, up, down float64) float64 {
	return min(max(target, value-down), value+up)
}

// state returns the state of a zone and creates it if needed.
func (d *Decider) state(name string) *zoneState {
	if s := d.find(name); s != nil {
		return s
	}
	d.zones = append(d.zones, zoneState{name: name})
	return &d.zones[len(d.zones)-1]
}

// find returns the state of a zone, nil if there is none. There are only a few zones.
func (d *Decider) find(name string) *zoneState {
	for i := range d.zones {
		if d.zones[i].name == name {
			return &d.zones[i]
		}
	}
	return nil
}

// Overflowing reports whether the share of any zone is above 0.
func (d *Decider) Overflowing() bool {
	return slices.ContainsFunc(d.zones, func(s zoneState) bool { return s.share > 0 })
}

// Share returns the share of requests, 0 to 1, that consider the replicas of another zone at the
// reduced cost. It is 0 while the own zone has room.
func (d *Decider) Share(zone string) float64 {
	if s := d.find(zone); s != nil {
		return s.share
	}
	return 0
}

// Cost returns what is added to the cost of a replica in another zone, for a request that is part of
// the share or for one that is not.
func (d *Decider) Cost(zone string, inShare bool) time.Duration {
	cost := d.settings.usual()
	if inShare {
		cost = d.settings.overflow()
	}
	if s := d.find(zone); s != nil {
		cost += time.Duration(maxRise * s.rise * float64(d.settings.usual()))
	}
	return cost
}

// OtherZones returns the names of the zones of the last update without the own one.
func (d *Decider) OtherZones(own string) (names []string) {
	for i := range d.zones {
		if d.zones[i].name != own {
			names = append(names, d.zones[i].name)
		}
	}
	return names
}
