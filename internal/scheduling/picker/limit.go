package picker

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/requestlimit"
)

// limitRetention is how long a request limit holds after its last statement. Hosts without a part
// of the limit send the replica no request that would show its end, and may miss the news of it.
const limitRetention = 5 * time.Minute

// limitHosts returns the hosts that share the request limits of replicas. The hosts do not tell
// each other of their requests, so that only those with a part of a limit use it.
func limitHosts(host, zone string, known []scheduling.EntryHost) *requestlimit.Hosts {
	h := &requestlimit.Hosts{Host: host, Zone: zone}
	live, others := 1, make(map[string]int)
	for _, e := range known {
		switch {
		case e.Name == host || !e.Live:
			continue
		case e.Zone == zone:
			h.Neighbors = append(h.Neighbors, e.Name)
		default:
			others[e.Zone]++
		}
		live++
	}
	for name, n := range others {
		h.OtherZones = append(h.OtherZones, requestlimit.Zone{Name: name, Hosts: n})
	}
	h.Reachable = float64(live) / float64(max(len(known), 1))
	return h
}

// key identifies the replica in the order of the hosts that share its limit.
func (r *Replica) key() uint64 { return xxhash.Sum64String(r.id.String()) }

// withinLimit reports whether the replica's request limit leaves this host a request now.
func (r *Replica) withinLimit(h *requestlimit.Hosts, now time.Time) bool {
	return r.limit == nil || now.Sub(r.limit.LastStated()) > limitRetention || r.limit.Allows(h, r.key(), r.pool.zones[r.zone].name, now)
}

// RecordLimit implements scheduling.Picker.
func (p *Picker) RecordLimit(id scheduling.ReplicaID, s requestlimit.Statement, sent time.Time) (changed bool) {
	r, ok := p.replicas[id]
	if !ok || r.limit == nil && !s.Limited {
		return false
	}
	now, at := p.opts.Clock.Now(), sent
	if s.Limited {
		at = now
	}
	if r.limit == nil {
		r.limit = &requestlimit.Limit{}
	}
	changed = r.limit.Observe(s, at, now)
	r.limitStated = r.limitStated || s.Limited || changed
	r.updateFreeSlots(now)
	return changed
}

// Limits implements scheduling.Picker.
func (p *Picker) Limits() []scheduling.ReplicaLimit {
	var out []scheduling.ReplicaLimit
	for id, r := range p.replicas {
		if r.limitStated {
			r.limitStated = false
			out = append(out, scheduling.ReplicaLimit{ID: id, Known: requestlimit.Known{Statement: r.limit.Current(), At: r.limit.LastStated()}})
		}
	}
	return out
}

// applyLimits applies the limits that other hosts know of.
func (p *Picker) applyLimits(now time.Time) {
	for i := range p.view.Limits {
		l := &p.view.Limits[i]
		r, ok := p.replicas[l.ID]
		if !ok {
			continue
		}
		if r.limit == nil {
			r.limit = &requestlimit.Limit{}
		}
		r.limit.ObserveReport(l.Statement, now.Sub(l.At), now)
	}
}
