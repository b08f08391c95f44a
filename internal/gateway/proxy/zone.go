package proxy

import (
	"time"

	"github.com/uber-go/tally/v4"

	"heatherbarrow/internal/gateway/fleet"
)

// Values of the timing label.
const (
	timingOnTime = "on_time"
	timingLate   = "late"
	timingFailed = "failed" // not completed
)

// zoneMetrics count requests by whether their replica is in this host's zone or another one.
type zoneMetrics struct {
	attempts map[bool]tally.Counter            // by Choice.OtherZone
	requests map[bool]map[string]tally.Counter // by Choice.OtherZone and timing
}

func newZoneMetrics(scope tally.Scope) zoneMetrics {
	m := zoneMetrics{make(map[bool]tally.Counter), make(map[bool]map[string]tally.Counter)}
	for otherZone, name := range map[bool]string{false: "own", true: "other"} {
		m.attempts[otherZone] = scope.Tagged(map[string]string{"zone": name}).Counter("zone_attempts")
		m.requests[otherZone] = make(map[string]tally.Counter)
		for _, timing := range []string{timingOnTime, timingLate, timingFailed} {
			m.requests[otherZone][timing] = scope.Tagged(map[string]string{"zone": name, "timing": timing}).Counter("zone_requests")
		}
	}
	return m
}

// attempt counts a request that is sent to a replica.
func (m *zoneMetrics) attempt(c *fleet.Choice) { m.attempts[c.OtherZone].Inc(1) }

// requestEnded counts a request for the zone of its last replica. Requests without a target, and those
// for which this host picked no replica, are not counted.
func (m *zoneMetrics) requestEnded(e *exchange, elapsed time.Duration) {
	if e.record.attempts > 0 && e.route != nil && e.route.Target > 0 {
		m.requests[e.record.choice.OtherZone][e.timing(elapsed)].Inc(1)
	}
}

// timing returns whether the request met its target and, for a stream, its limit on pauses.
func (e *exchange) timing(elapsed time.Duration) string {
	rec := &e.record
	if rec.firstEventAfter > 0 {
		elapsed = rec.firstEventAfter
	}
	switch {
	case rec.outcome != outcomeCompleted:
		return timingFailed
	case e.waitedBefore+elapsed > e.route.Target || e.route.GapTarget > 0 && rec.longestPause > e.route.GapTarget:
		return timingLate
	}
	return timingOnTime
}
