package membership

import (
	"math"
	"slices"
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/rpc"
)

const (
	// DemandMaxAge is how long what a host told of its demand counts. In a zone of
	// 57 hosts with 28 models it was up to 88 s old in BenchmarkDemandOfAZone.
	DemandMaxAge = 2 * time.Minute
	// maxDemandPairs bounds the pairs of class and model in a message, where each
	// host counts as demandRowPairs more for the rest of its row. A message always
	// has the own demand.
	maxDemandPairs   = 72
	demandRowPairs   = 8
	secondsPerMinute = 60
	// rateSteps is the number of rates told apart between one and its double. With
	// 8, a rate of up to 1,000 tokens/s takes one byte and is at most 4.4% off.
	rateSteps = 8
	maxRate   = 40 * rateSteps // more than all accelerators of a deployment make
)

// Offer is a class and a model that some upstream offers to it.
type Offer struct{ Class, Model string }

// ZoneDemand is the demand of the own zone.
type ZoneDemand struct {
	TokensPerSecond map[Offer]float64
	// Missing are the zone's hosts that may have demand that is not known here.
	Missing []string
}

// hostDemand is what a host told of its demand.
type hostDemand struct {
	id       uint32 // of the start that told it
	sequence uint32
	at       time.Time
	rates    map[Offer]uint32 // as encodeRate returns them
}

// demands is the part of a Table that keeps the demand of the zone's hosts.
type demands struct {
	offers  []Offer // of the bundle, in its order
	offered map[Offer]bool
	hosts   map[string]*hostDemand
	own     uint32 // sequence of the own demand
}

func (d *demands) setBundle(b *bundle.Bundle) {
	d.offers, d.offered = nil, make(map[Offer]bool)
	for i := range b.Upstreams {
		for _, class := range b.Upstreams[i].Classes {
			for _, model := range b.Upstreams[i].Models {
				o := Offer{class, model}
				if !d.offered[o] {
					d.offered[o] = true
					d.offers = append(d.offers, o)
				}
			}
		}
	}
}

// encodeRate returns one plus the binary logarithm of the tokens per minute in
// rateSteps. Demand that is not zero stays above zero, so that a model that is
// rarely asked for is still known to be in demand.
func encodeRate(tokensPerSecond float64) uint32 {
	steps := math.Round(rateSteps * math.Log2(max(tokensPerSecond*secondsPerMinute, 1)))
	return 1 + uint32(min(steps, maxRate))
}

func decodeRate(rate uint32) float64 {
	if rate == 0 {
		return 0
	}
	return math.Exp2(float64(min(rate-1, maxRate))/rateSteps) / secondsPerMinute
}

// SetDemand takes the demand that the own router reported, in tokens per second.
func (t *Table) SetDemand(tokensPerSecond map[Offer]float64, now time.Time) {
	d := &t.demands
	d.own++
	own := &hostDemand{id: t.self.id, sequence: d.own, at: now, rates: make(map[Offer]uint32)}
	for o, rate := range tokensPerSecond {
		if d.offered[o] && rate > 0 {
			own.rates[o] = encodeRate(rate)
		}
	}
	d.hosts[t.opts.Host] = own
}

// demandDigest tells the own demand and that of others in the order of the map,
// which is random, as far as there is room.
func (t *Table) demandDigest(now time.Time) *rpc.DemandDigest {
	d := &t.demands
	own := d.hosts[t.opts.Host]
	digest := &rpc.DemandDigest{Generation: t.generation}
	pairs := 0
	add := func(v *hostDemand) {
		if pairs += len(v.rates) + demandRowPairs; pairs <= maxDemandPairs || len(digest.Hosts) == 0 {
			digest.Hosts = append(digest.Hosts, d.row(v, now))
		}
	}
	if own != nil {
		add(own)
	}
	for name, v := range d.hosts {
		if pairs >= maxDemandPairs {
			break
		}
		if v != own && t.demandCounts(name, v, now) {
			add(v)
		}
	}
	if len(digest.Hosts) == 0 {
		return nil
	}
	return digest
}

func (d *demands) row(v *hostDemand, now time.Time) *rpc.HostDemand {
	row := &rpc.HostDemand{Host: v.id, Sequence: v.sequence, AgeMs: millis(now.Sub(v.at))}
	for position, o := range d.offers {
		rate, has := v.rates[o]
		if !has {
			continue
		}
		for len(row.Offers) <= position/8 {
			row.Offers = append(row.Offers, 0)
		}
		row.Offers[position/8] |= 1 << (position % 8)
		row.Rate = append(row.Rate, rate)
	}
	return row
}

// mergeDemand takes over the demand of hosts that is newer than the known one.
// Positions are meaningless when the peer has another bundle.
func (t *Table) mergeDemand(digest *rpc.DemandDigest, now time.Time) {
	if digest.Generation != t.generation || t.generation == 0 {
		return
	}
	for _, row := range digest.Hosts {
		h := t.hostIDs[row.Host]
		if h == nil || h == t.self || h.state.AvailabilityZone != t.opts.Zone {
			continue
		}
		old := t.demands.hosts[h.state.Host]
		if old == nil || old.id != h.id || row.Sequence > old.sequence {
			t.demands.hosts[h.state.Host] = t.demands.fromRow(row, now)
		}
	}
}

func (d *demands) fromRow(row *rpc.HostDemand, now time.Time) *hostDemand {
	v := &hostDemand{
		id: row.Host, sequence: row.Sequence, at: now.Add(-time.Duration(row.AgeMs) * time.Millisecond), rates: make(map[Offer]uint32),
	}
	rates := row.Rate
	for position, o := range d.offers {
		if position/8 >= len(row.Offers) || len(rates) == 0 {
			break
		}
		if row.Offers[position/8]&(1<<(position%8)) != 0 {
			v.rates[o], rates = rates[0], rates[1:]
		}
	}
	return v
}

// mayRun tells whether a host of the zone is not known to be gone. A silent host
// that the platform lists may only be cut off, and so may any host while the list
// is not known.
func (t *Table) mayRun(name string, now time.Time) bool {
	h := t.hosts[name]
	return h != nil && t.alive(h, now) || t.list.at.IsZero() || t.list.has(name)
}

// demandCounts tells whether what a host told is young enough and of its latest
// start, and the host is not gone.
func (t *Table) demandCounts(name string, v *hostDemand, now time.Time) bool {
	h := t.hosts[name]
	return h != nil && h.id == v.id && now.Sub(v.at) <= DemandMaxAge && t.mayRun(name, now)
}

// Demand returns the demand of the own zone, each host counted once.
func (t *Table) Demand(now time.Time) ZoneDemand {
	out := ZoneDemand{TokensPerSecond: make(map[Offer]float64)}
	for name, v := range t.demands.hosts {
		if !t.demandCounts(name, v, now) {
			continue
		}
		for o, rate := range v.rates {
			out.TokensPerSecond[o] += decodeRate(rate)
		}
	}
	for _, name := range t.demandSources(now) {
		if v := t.demands.hosts[name]; v == nil || !t.demandCounts(name, v, now) {
			out.Missing = append(out.Missing, name)
		}
	}
	return out
}

// demandSources returns the hosts of the zone that callers may use: those that
// are listed or known here, that are not leaving and not known to be gone.
func (t *Table) demandSources(now time.Time) []string {
	names := slices.Clone(t.list.zones[t.opts.Zone])
	for name, h := range t.hosts {
		if h.state.AvailabilityZone == t.opts.Zone && t.mayRun(name, now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.DeleteFunc(slices.Compact(names), func(name string) bool {
		h := t.hosts[name]
		return h != nil && h.state.State == rpc.State_STATE_LEAVING
	})
}

// forgetDemand drops the demand of hosts that are gone.
func (t *Table) forgetDemand(now time.Time) {
	for name, v := range t.demands.hosts {
		if !t.demandCounts(name, v, now) {
			delete(t.demands.hosts, name)
		}
	}
}
