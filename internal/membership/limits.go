package membership

import (
	"time"

	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/scheduling/requestlimit"
)

const (
	maxLimitUpdates = 16 // request limits sent as updates in a message
	maxLimitRepeats = 4  // other request limits repeated in a message
)

// statedLimit is the newest statement of a replica's request limit, and how often it was sent.
type statedLimit struct {
	requestlimit.Known
	sends int
}

// ObserveLimits applies what the answers of replicas to this host said of their request limits, or
// what a peer knows of them.
func (t *Table) ObserveLimits(limits []*rpc.StatedLimit, now time.Time) {
	for _, l := range limits {
		r := t.replicas[l.Upstream+"/"+l.Replica]
		if r == nil || !(l.PerSecond >= 0) {
			continue
		}
		previous := r.limit.At
		statement := requestlimit.Statement{Limited: l.Limited, PerSecond: l.PerSecond}
		changed := r.limit.ObserveReport(statement, time.Duration(l.AgeMs)*time.Millisecond, now)
		if r.limit.At != previous {
			r.limit.sends = 0
		}
		if changed {
			t.recordChange(true) // other hosts must keep a limit at once
		}
	}
}

// Limits returns the request limits to tell the router of.
func (t *Table) Limits(now time.Time) []*rpc.StatedLimit {
	var out []*rpc.StatedLimit
	for _, r := range t.replicasByIndex {
		if r.limit.Reportable(now) {
			out = append(out, r.limitToRPC(now))
		}
	}
	return out
}

func (r *replica) limitToRPC(now time.Time) *rpc.StatedLimit {
	return &rpc.StatedLimit{
		Upstream: r.upstream, Replica: r.name, Limited: r.limit.Limited, PerSecond: r.limit.PerSecond, AgeMs: millis(now.Sub(r.limit.At)),
	}
}

// limitUpdates returns the request limits for a message: those sent fewer than maxUpdateSends
// times, and a few others. The random order of map iteration repeats all of the others over time,
// which makes up for lost messages.
func (t *Table) limitUpdates(now time.Time) []*rpc.StatedLimit {
	var out []*rpc.StatedLimit
	repeated := 0
	for _, r := range t.replicas {
		switch {
		case !r.limit.Reportable(now):
		case r.limit.sends < maxUpdateSends && len(out) < maxLimitUpdates:
			r.limit.sends++
			out = append(out, r.limitToRPC(now))
		case r.limit.sends >= maxUpdateSends && repeated < maxLimitRepeats:
			repeated++
			out = append(out, r.limitToRPC(now))
		}
	}
	return out
}
