package fleet

import (
	"time"

	"heatherbarrow/internal/scheduling/requestlimit"
)

// brittle is what a replica says of the rejections that it bears. One that has to reject more requests in a
// second for want of room crashes, and its queue may be shorter than usual.
type brittle struct {
	stated        bool
	maxRejections float64 // per second, over all hosts
	restUntil     time.Time
	// part is the result of brittlePart for hosts and slots.
	part  int
	slots int
	hosts *requestlimit.Hosts
}

const (
	// minRejectionRest is how long a host sends no request to a brittle replica that rejected one: the time
	// over which the replica counts.
	minRejectionRest = time.Second
	// maxRejectionRest bounds the rest where many hosts share few rejections.
	maxRejectionRest = 10 * time.Second
)

// brittlePart returns how many requests this host may have in flight on a brittle replica. The hosts learn of
// each other's requests late, so they divide the slots among themselves, and none of their requests waits.
func (f *Fleet) brittlePart(p *pool, r *replica) int {
	b := &r.brittle
	slots := max(r.member.Slots, 1)
	if e := p.upstream.Engine; e != nil && e.Slots > 0 {
		slots = e.Slots
	}
	if b.hosts != f.limitHosts || b.slots != slots {
		b.hosts, b.slots, b.part = f.limitHosts, slots, f.limitHosts.Part(r.key, r.member.Zone, slots)
	}
	return b.part
}

// recordRejection notes that the replica rejected a request. All hosts together may cause maxRejections in a
// second, and each counts for itself, so that each rests for as long as its share takes.
func (b *brittle) recordRejection(hosts int, now time.Time) {
	if !b.stated {
		return
	}
	rest := maxRejectionRest
	if b.maxRejections > 0 {
		rest = min(max(time.Duration(float64(hosts)/b.maxRejections*float64(time.Second)), minRejectionRest), maxRejectionRest)
	}
	b.restUntil = now.Add(rest)
}

// resting reports whether the replica should get no request after a rejection.
func (b *brittle) resting(now time.Time) bool { return b.stated && now.Before(b.restUntil) }

// RecordBrittle applies what an answer says of the rejections that the replica bears, and reports whether it
// changed what this host knew.
func (l *Lease) RecordBrittle(stated bool, maxRejections float64) (changed bool) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	b := &l.replica.brittle
	if b.stated == stated && b.maxRejections == maxRejections {
		return false
	}
	b.stated, b.maxRejections = stated, maxRejections
	return true
}
