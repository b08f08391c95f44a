package gateway

import (
	"math"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/settings"
)

// ZoneOverflow configures how requests leave a zone that is short of capacity.
type ZoneOverflow struct {
	CostPerGB float64 `json:"cost_per_gb"` // milliseconds of waiting that a GB between zones is worth
}

// maxCostPerGB is a cost per request of 12 s, above which a value has the wrong unit.
const maxCostPerGB = 1e9

// validateZoneOverflow checks the settings; nil is valid.
func validateZoneOverflow(z *ZoneOverflow) error {
	if z != nil && !(z.CostPerGB >= 0 && z.CostPerGB <= maxCostPerGB) {
		return settings.Errorf("zone_overflow.cost_per_gb", "value must be from 0 to %v", maxCostPerGB)
	}
	return nil
}

// fleetZoneOverflow returns the settings for the fleet; nil means a constant cost of other zones.
func (s *Settings) fleetZoneOverflow() *fleet.ZoneOverflow {
	if s.ZoneOverflow == nil {
		return nil
	}
	return &fleet.ZoneOverflow{CostPerGB: s.ZoneOverflow.CostPerGB}
}

// sameZoneOverflow reports whether both settings have the same effect.
func sameZoneOverflow(a, b *ZoneOverflow) bool {
	return a == b || a != nil && b != nil && *a == *b
}

const (
	// minLoggedShareChange is the smallest change of a zone's share that is logged.
	minLoggedShareChange = 0.25
	// shareLogInterval is the shortest time between two lines for the same upstream and zone.
	shareLogInterval = 2 * time.Second
)

// zoneKey identifies the replicas of an upstream in a zone.
type zoneKey struct{ upstream, zone string }

// loggedShare is the share in the last line of an upstream and zone.
type loggedShare struct {
	share float64
	at    time.Time
}

// shareChanged reports whether a share must be logged, and records it if so. The share of a zone that
// was not logged before counts as 0.
func shareChanged(logged map[zoneKey]loggedShare, s *fleet.ZoneShare, now time.Time) (previous float64, changed bool) {
	key := zoneKey{s.Upstream, s.Zone}
	last := logged[key]
	if math.Abs(s.Share-last.share) < minLoggedShareChange || now.Sub(last.at) < shareLogInterval {
		return last.share, false
	}
	logged[key] = loggedShare{s.Share, now}
	return last.share, true
}

// reportZoneShares updates the gauges of the zone overflow and logs shares that have changed.
func (p *Program) reportZoneShares(now time.Time) {
	for _, s := range p.fleet.ZoneShares(now) {
		scope := p.metrics.Scope.Tagged(map[string]string{"upstream": s.Upstream, "zone": s.Zone})
		scope.Gauge("zone_overflow_share").Update(s.Share)
		scope.Gauge("zone_cost_seconds").Update(s.Cost.Seconds())
		if previous, changed := shareChanged(p.loggedShares, &s, now); changed {
			p.logger.Info().Str("upstream", s.Upstream).Str("zone", s.Zone).Float64("share", s.Share).Float64("previous", previous).
				Dur("zone_cost_ms", s.Cost).Msg("zone overflow changed")
		}
	}
}
