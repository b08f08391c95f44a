package requestlimit

import (
	"strconv"
	"time"

	"heatherbarrow/internal/rendezvous"
)

// Zone is an availability zone with its number of live hosts.
type Zone struct {
	Name  string
	Hosts int
}

// Hosts describes the hosts that share the limits, as seen by this host.
type Hosts struct {
	Host       string   // this host
	Zone       string   // its availability zone
	Neighbors  []string // the other live hosts of the zone
	OtherZones []Zone
	// Reachable is the share of the known hosts that are live. A host that is silent may be cut
	// off and still use its part of a limit.
	Reachable float64
	// ExchangeDelay is the time within which the hosts learn of each other's requests; 0 if they do
	// not. Only hosts with a part of a limit then use it.
	ExchangeDelay time.Duration
}

// count returns the number of live hosts, this one included.
func (h *Hosts) count() int {
	n := 1 + len(h.Neighbors)
	for _, z := range h.OtherZones {
		n += z.Hosts
	}
	return n
}

// Part returns how many of the places of a replica this host may use, so that all hosts together use no more
// than there are.
func (h *Hosts) Part(replica uint64, replicaZone string, places int) int {
	n := h.count()
	part := places / n
	if h.position(replica, replicaZone) < places%n {
		part++
	}
	return part
}

// position returns how many hosts precede this one in the order of the replica. The order takes
// one host of each zone in turn, beginning with the replica's own. All hosts compute the same
// order if they know of the same hosts.
func (h *Hosts) position(replica uint64, replicaZone string) int {
	key := strconv.FormatUint(replica, 16)
	round := rendezvous.Position(key, h.Host, h.Neighbors)
	zones := make([]string, 0, len(h.OtherZones))
	for _, z := range h.OtherZones {
		zones = append(zones, z.Name)
	}
	zonePosition := func(zone string) int {
		if zone == replicaZone {
			return -1
		}
		return rendezvous.Position(key, zone, zones)
	}
	own, n := zonePosition(h.Zone), round
	for _, z := range h.OtherZones {
		n += min(z.Hosts, round)
		if z.Hosts > round && zonePosition(z.Name) < own {
			n++
		}
	}
	return n
}
