package placement

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/scheduling"
)

// demandHalfLife is the time in which past demand loses half its weight.
const demandHalfLife = time.Minute

// demandKey is what demand is counted by.
type demandKey struct{ class, model string }

// Meter turns the routers' reports of demand into recent rates. It is safe for
// concurrent use.
type Meter struct {
	clock clockwork.Clock
	mu    sync.Mutex
	sums  map[demandKey]float64 // tokens, decayed to updated
	last  time.Time
}

// NewMeter returns a meter without demand.
func NewMeter(clock clockwork.Clock) *Meter {
	return &Meter{clock: clock, sums: make(map[demandKey]float64), last: clock.Now()}
}

// Add counts the demand since a router's last report. Refused requests count as
// one token each, so that a model that nobody serves is still asked for.
func (m *Meter) Add(demand []*rpc.ClassDemand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay()
	for _, d := range demand {
		m.sums[demandKey{d.Class, d.Model}] += float64(d.Tokens) + float64(d.Refused)
	}
}

func (m *Meter) decay() {
	now := m.clock.Now()
	factor := math.Exp2(-now.Sub(m.last).Seconds() / demandHalfLife.Seconds())
	m.last = now
	for key, sum := range m.sums {
		if sum *= factor; sum < 1e-3 {
			delete(m.sums, key)
			continue
		}
		m.sums[key] = sum
	}
}

// rates returns tokens per second, in a fixed order.
func (m *Meter) rates() []Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay()
	var out []Demand
	for key, sum := range m.sums {
		out = append(out, Demand{Class: key.class, Model: key.model, TokensPerSecond: sum * math.Ln2 / demandHalfLife.Seconds()})
	}
	slices.SortFunc(out, func(a, b Demand) int { return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Model, b.Model)) })
	return out
}

// ViewSource is a Source over the bundle in force, the view and a meter.
type ViewSource struct {
	Zone  string
	Meter *Meter
	Clock clockwork.Clock
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
	demand := s.Meter.rates()
	for i := range demand {
		for j := range b.Classes {
			if b.Classes[j].Name == demand[i].Class {
				demand[i].Tier = b.Classes[j].Tier
			}
		}
	}
	var out []Pool
	for i := range b.Upstreams {
		if b.Upstreams[i].Kind == bundle.KindEngine {
			out = append(out, s.pool(&b.Upstreams[i], reports, demand))
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
		replica := Replica{ID: id, Address: r.Address, ChecksFencing: u.ChecksFencing}
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
