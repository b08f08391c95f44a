package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/membership"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/scheduling"
)

const (
	// demandHalfLife is the time in which the weight of past demand halves.
	demandHalfLife = time.Minute
	// minMeasuredTime is how long demand reports must have been arriving before the
	// rates are used: right after a restart, a control process knows only the demand
	// since then, which is too little for a rate.
	minMeasuredTime = 5 * time.Second
	// firstReportTimeout is how long a meter waits for the first demand report. After
	// that, the host is taken to have no router and therefore no demand.
	firstReportTimeout = time.Minute
)

// Meter computes the rates of demand, averaged with exponential decay, from the
// demand reports of a host's router. It is not safe for concurrent use.
type Meter struct {
	clock         clockwork.Clock
	decayedTokens map[membership.Offer]float64 // tokens, decayed up to lastDecay
	lastDecay     time.Time
	started       time.Time
	firstReport   time.Time // time of the first demand report; zero until it arrives
}

// NewMeter returns a meter without demand.
func NewMeter(clock clockwork.Clock) *Meter {
	now := clock.Now()
	return &Meter{clock: clock, decayedTokens: make(map[membership.Offer]float64), lastDecay: now, started: now}
}

// Add adds the demand since the router's previous demand report. A refused request
// counts as one token, so that a model that no replica serves still has demand.
func (m *Meter) Add(demand []*rpc.ClassDemand) {
	m.decay()
	if m.firstReport.IsZero() {
		m.firstReport = m.lastDecay
	}
	for _, d := range demand {
		m.decayedTokens[membership.Offer{Class: d.Class, Model: d.Model}] += float64(d.Tokens) + float64(d.Refused)
	}
}

// decay reduces the weight of past demand up to now and drops sums that have become
// negligible.
func (m *Meter) decay() {
	now := m.clock.Now()
	factor := decayFactor(now.Sub(m.lastDecay))
	m.lastDecay = now
	for key, sum := range m.decayedTokens {
		if sum *= factor; sum < 1e-3 {
			delete(m.decayedTokens, key)
			continue
		}
		m.decayedTokens[key] = sum
	}
}

// decayFactor returns the weight that demand has left after d.
func decayFactor(d time.Duration) float64 { return math.Exp2(-d.Seconds() / demandHalfLife.Seconds()) }

// Rates returns the demand in tokens per second, and whether it is known yet.
func (m *Meter) Rates() (map[membership.Offer]float64, bool) {
	m.decay()
	out := make(map[membership.Offer]float64, len(m.decayedTokens))
	if m.firstReport.IsZero() {
		return out, m.lastDecay.Sub(m.started) >= firstReportTimeout
	}
	// seconds is the integral of the decay weight over the time since the first
	// report. With the full integral, demandHalfLife/ln 2, early rates would be too low.
	measuredTime := m.lastDecay.Sub(m.firstReport)
	seconds := demandHalfLife.Seconds() / math.Ln2 * (1 - decayFactor(measuredTime))
	for key, sum := range m.decayedTokens {
		out[key] = sum / seconds
	}
	return out, measuredTime >= minMeasuredTime
}

// ViewSource is a Source that combines the bundle in force, the view and the zone's
// demand.
type ViewSource struct {
	Zone  string
	Clock clockwork.Clock
	// Demand returns the demand of all hosts of the zone.
	Demand func() membership.ZoneDemand
	// State returns the bundle in force (nil if there is none), the view, and the
	// time at which the ages in the view were computed.
	State func() (*bundle.Bundle, *rpc.View, time.Time)
}

// Pools implements Source.
func (s *ViewSource) Pools() []Pool {
	b, view, viewTime := s.State()
	if b == nil {
		return nil
	}
	reports := make(map[scheduling.ReplicaID]*rpc.ReplicaState, len(view.Replicas))
	for _, r := range view.Replicas {
		reports[scheduling.ReplicaID{Upstream: r.Upstream, Replica: r.Replica}] = r
	}
	zoneDemand := s.Demand()
	demand := demandWithTiers(b, zoneDemand.TokensPerSecond)
	var out []Pool
	for i := range b.Upstreams {
		if b.Upstreams[i].Kind == bundle.KindEngine {
			p := s.pool(&b.Upstreams[i], reports, demand)
			p.UnknownDemandHosts = zoneDemand.MissingHosts
			out = append(out, p)
		}
	}
	age := s.Clock.Since(viewTime)
	for i := range out {
		for j := range out[i].Replicas {
			out[i].Replicas[j].ReportAge += age
		}
	}
	return out
}

// demandWithTiers adds the tiers of the classes to the rates. The result is sorted
// by class and model.
func demandWithTiers(b *bundle.Bundle, rates map[membership.Offer]float64) []Demand {
	tiers := make(map[string]int, len(b.Classes))
	for i := range b.Classes {
		tiers[b.Classes[i].Name] = b.Classes[i].Tier
	}
	var out []Demand
	for o, rate := range rates {
		out = append(out, Demand{Class: o.Class, Tier: tiers[o.Class], Model: o.Model, TokensPerSecond: rate})
	}
	slices.SortFunc(out, func(a, b Demand) int { return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Model, b.Model)) })
	return out
}

// pool returns the zone's replicas of an upstream and the demand of the classes
// that use it.
func (s *ViewSource) pool(u *bundle.Upstream, reports map[scheduling.ReplicaID]*rpc.ReplicaState, demand []Demand) Pool {
	p := Pool{Upstream: u.Name}
	if len(u.Classes) > 0 {
		p.Models = u.Models
	}
	for _, d := range demand {
		if slices.Contains(u.Classes, d.Class) {
			p.Demand = append(p.Demand, d)
		}
	}
	for _, r := range u.Replicas {
		if r.AvailabilityZone != s.Zone {
			continue
		}
		id := scheduling.ReplicaID{Upstream: u.Name, Replica: r.ID}
		replica := Replica{ID: id, Address: r.Address, ChecksFencing: u.ChecksFencing, ConfiguredRole: r.Role, Pinned: r.PinnedModels}
		if report := reports[id]; report != nil {
			replica.Live = report.State == rpc.State_STATE_LIVE
			replica.HasReport = report.HasLoad
			replica.ReportAge = time.Duration(report.ReportAgeMs) * time.Millisecond
			replica.Running = int(report.Running)
			replica.Models = report.Models
			replica.HasUnlistedModels = report.UnlistedModels
			replica.Role = report.Role
		}
		p.Replicas = append(p.Replicas, replica)
	}
	return p
}
