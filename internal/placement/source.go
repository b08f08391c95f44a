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
	// demandHalfLife is the time in which past demand loses half its weight.
	demandHalfLife = time.Minute
	// meterSettle is how long reports must have come before the rates mean
	// something: a control that restarts has lost the demand of the last minute.
	meterSettle = 5 * time.Second
	// meterSilence is how long a meter waits for the first report before it takes
	// the host for one without a router, and so without demand.
	meterSilence = time.Minute
)

// Meter turns the reports of a host's router into recent rates. It is owned by
// one goroutine.
type Meter struct {
	clock   clockwork.Clock
	sums    map[membership.Offer]float64 // tokens, decayed to last
	last    time.Time
	started time.Time
	first   time.Time // of the first report; zero before it
}

// NewMeter returns a meter without demand.
func NewMeter(clock clockwork.Clock) *Meter {
	now := clock.Now()
	return &Meter{clock: clock, sums: make(map[membership.Offer]float64), last: now, started: now}
}

// Add counts the demand since the router's last report. Refused requests count
// as one token each, so that a model that nobody serves is still asked for.
func (m *Meter) Add(demand []*rpc.ClassDemand) {
	m.decay()
	if m.first.IsZero() {
		m.first = m.last
	}
	for _, d := range demand {
		m.sums[membership.Offer{Class: d.Class, Model: d.Model}] += float64(d.Tokens) + float64(d.Refused)
	}
}

func (m *Meter) decay() {
	now := m.clock.Now()
	factor := weightAfter(now.Sub(m.last))
	m.last = now
	for key, sum := range m.sums {
		if sum *= factor; sum < 1e-3 {
			delete(m.sums, key)
			continue
		}
		m.sums[key] = sum
	}
}

func weightAfter(d time.Duration) float64 { return math.Exp2(-d.Seconds() / demandHalfLife.Seconds()) }

// Rates returns tokens per second, and false while they are not known yet.
func (m *Meter) Rates() (map[membership.Offer]float64, bool) {
	m.decay()
	out := make(map[membership.Offer]float64, len(m.sums))
	if m.first.IsZero() {
		return out, m.last.Sub(m.started) >= meterSilence
	}
	// The weights of the time since the first report add up to less than those of
	// all time.
	measured := m.last.Sub(m.first)
	seconds := demandHalfLife.Seconds() / math.Ln2 * (1 - weightAfter(measured))
	for key, sum := range m.sums {
		out[key] = sum / seconds
	}
	return out, measured >= meterSettle
}

// ViewSource is a Source over the bundle in force, the view and the zone's demand.
type ViewSource struct {
	Zone  string
	Clock clockwork.Clock
	// Demand returns the demand of all hosts of the zone.
	Demand func() membership.ZoneDemand
	// State returns the bundle in force, nil when there is none, the view, and
	// when the ages in the view were true.
	State func() (*bundle.Bundle, *rpc.View, time.Time)
}

// Pools implements Source.
func (s *ViewSource) Pools() []Pool {
	b, view, at := s.State()
	if b == nil {
		return nil
	}
	reports := make(map[scheduling.ReplicaID]*rpc.ReplicaState, len(view.Replicas))
	for _, r := range view.Replicas {
		reports[scheduling.ReplicaID{Upstream: r.Upstream, Replica: r.Replica}] = r
	}
	zone := s.Demand()
	demand := withTiers(b, zone.TokensPerSecond)
	var out []Pool
	for i := range b.Upstreams {
		if b.Upstreams[i].Kind == bundle.KindEngine {
			p := s.pool(&b.Upstreams[i], reports, demand)
			p.DemandMissing = zone.MissingHosts
			out = append(out, p)
		}
	}
	age := s.Clock.Since(at)
	for i := range out {
		for j := range out[i].Replicas {
			out[i].Replicas[j].ReportAge += age
		}
	}
	return out
}

// withTiers returns the demand in a fixed order.
func withTiers(b *bundle.Bundle, rates map[membership.Offer]float64) []Demand {
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
		replica := Replica{ID: id, Address: r.Address, ChecksFencing: u.ChecksFencing, WantedRole: r.Role, Pinned: r.PinnedModels}
		if report := reports[id]; report != nil {
			replica.Live = report.State == rpc.State_STATE_LIVE
			replica.Reported = report.HasLoad
			replica.ReportAge = time.Duration(report.ReportAgeMs) * time.Millisecond
			replica.Running = int(report.Running)
			replica.Models = report.Models
			replica.Unlisted = report.UnlistedModels
			replica.Role = report.Role
		}
		p.Replicas = append(p.Replicas, replica)
	}
	return p
}
