package fleet

import (
	"cmp"
	"slices"
	"time"
)

// ZoneLoad is the replicas of an upstream in an availability zone and what they have in progress, as far as this host knows.
type ZoneLoad struct {
	Zone string
	// OnDemand and Spot are the replicas whose registrations allow requests, LeavingOnDemand and LeavingSpot those that leave.
	// Replicas whose registrations vanished are in none of them.
	OnDemand, Spot               int
	LeavingOnDemand, LeavingSpot int
	Slots                        int // of OnDemand and Spot
	Running                      int // in-flight requests of all hosts, also on replicas that leave
	// PrefillShare is the mean share of recent time that a replica spent on prompts. It exceeds 1 where prompts queue.
	PrefillShare float64
	// Busy is the work in progress, in replicas: the sum over them of the share of slots in use or of time spent on prompts,
	// whichever is higher. Replicas that leave are included, as their work goes to others.
	Busy float64
}

// ZoneLoads returns the load of an upstream by zone, in the order of the zones' names. Zones without replicas are left out.
func (f *Fleet) ZoneLoads(upstream string, now time.Time) []ZoneLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pool(upstream)
	zones := make(map[string]*ZoneLoad)
	replicas := make(map[string]float64)
	for _, r := range p.replicas {
		z, ok := zones[r.member.Zone]
		if !ok {
			z = &ZoneLoad{Zone: r.member.Zone}
			zones[r.member.Zone] = z
		}
		slots := r.member.Slots
		if slots == 0 && p.upstream.Engine != nil {
			slots = p.upstream.Engine.Slots
		}
		prefill := r.recentPrefillLoad(now) + r.peerPrefillLoad
		replicas[z.Zone]++
		z.Running += r.inFlight()
		z.PrefillShare += prefill
		z.Busy += max(prefill, float64(r.inFlight())/float64(max(slots, 1)))
		switch leaving := r.member.Leaving; {
		case leaving && r.member.Spot:
			z.LeavingSpot++
		case leaving:
			z.LeavingOnDemand++
		case !r.member.usable(now) || !r.member.UsableUntil.IsZero():
			continue
		case r.member.Spot:
			z.Spot++
			z.Slots += slots
		default:
			z.OnDemand++
			z.Slots += slots
		}
	}
	var loads []ZoneLoad
	for _, z := range zones {
		z.PrefillShare /= replicas[z.Zone]
		loads = append(loads, *z)
	}
	slices.SortFunc(loads, func(a, b ZoneLoad) int { return cmp.Compare(a.Zone, b.Zone) })
	return loads
}

// RefusedShare returns the share of an upstream's recent requests, of all hosts, that were refused because of the backlog ahead of
// them. Hosts do not report by zone what they refuse.
func (f *Fleet) RefusedShare(upstream string, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sent, refused := 0.0, 0.0
	for _, c := range f.pool(upstream).admission.byPriority {
		c.decay(now)
		sent += c.sent
		refused += c.refused
	}
	return refused / max(sent, minShareRequests)
}
