package membership

import (
	"math"
	"slices"
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/rpc"
)

const (
	// DemandMaxAge is how long a host's reported demand counts. In a zone of 57
	// hosts with 28 models, reports are up to 88 s old (BenchmarkZoneDemand).
	DemandMaxAge = 2 * time.Minute
	// maxDemandPairs bounds the number of class and model pairs in a message. The
	// other fields of a host's row count as demandRowOverheadPairs. The local host's
	// demand is always sent, whatever its size.
	maxDemandPairs         = 72
	demandRowOverheadPairs = 8
	secondsPerMinute       = 60
	// rateStepsPerDoubling is the number of encoded values per doubling of the
	// rate. With 8, a rate of up to 950 tokens/s takes one byte and the rounding
	// error is at most 4.4%.
	rateStepsPerDoubling = 8
	// maxRateSteps bounds an encoded rate to 40 doublings of one token per minute,
	// which is more than the token rate of any deployment.
	maxRateSteps = 40 * rateStepsPerDoubling
)

// Offer is a pair of a class and a model that at least one upstream offers to the
// class.
type Offer struct{ Class, Model string }

// ZoneDemand is the sum of the demand of the local zone's hosts.
type ZoneDemand struct {
	TokensPerSecond map[Offer]float64
	// MissingHosts lists the zone's hosts that may have demand which is not known
	// to the local host.
	MissingHosts []string
}

// hostDemand is the demand reported by one host.
type hostDemand struct {
	id           uint32 // identifies the host and the incarnation that reported
	sequence     uint32 // increases with each report of the incarnation
	reportedAt   time.Time
	encodedRates map[Offer]uint32 // as returned by encodeRate
}

// demands stores the demand of the local zone's hosts for a Table.
type demands struct {
	offers      []Offer // all offers of the bundle, in bundle order
	offered     map[Offer]bool
	hosts       map[string]*hostDemand
	localReport uint32 // sequence number of the local host's latest report
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

// encodeRate returns the rate on a logarithmic scale: one plus the binary logarithm
// of the tokens per minute, in steps of 1/rateStepsPerDoubling. Any rate is encoded
// as at least 1, so that peers still see demand for a rarely requested model.
func encodeRate(tokensPerSecond float64) uint32 {
	steps := math.Round(rateStepsPerDoubling * math.Log2(max(tokensPerSecond*secondsPerMinute, 1)))
	return 1 + uint32(min(steps, maxRateSteps))
}

// decodeRate returns the tokens per second of an encoded rate; zero means no demand.
func decodeRate(rate uint32) float64 {
	if rate == 0 {
		return 0
	}
	return math.Exp2(float64(min(rate-1, maxRateSteps))/rateStepsPerDoubling) / secondsPerMinute
}

// SetDemand stores the demand that the local host's router reported, in tokens per
// second.
func (t *Table) SetDemand(tokensPerSecond map[Offer]float64, now time.Time) {
	d := &t.demands
	d.localReport++
	localReport := &hostDemand{id: t.self.id, sequence: d.localReport, reportedAt: now, encodedRates: make(map[Offer]uint32)}
	for o, rate := range tokensPerSecond {
		if d.offered[o] && rate > 0 {
			localReport.encodedRates[o] = encodeRate(rate)
		}
	}
	d.hosts[t.opts.Host] = localReport
}

// demandDigest returns the local host's demand and, up to maxDemandPairs, that of
// other hosts of the zone. The random order of map iteration spreads the demand of
// all hosts over successive messages.
func (t *Table) demandDigest(now time.Time) *rpc.DemandDigest {
	d := &t.demands
	local := d.hosts[t.opts.Host]
	digest := &rpc.DemandDigest{Generation: t.generation}
	pairs := 0
	addRow := func(v *hostDemand) {
		if pairs += len(v.encodedRates) + demandRowOverheadPairs; pairs <= maxDemandPairs || len(digest.Hosts) == 0 {
			digest.Hosts = append(digest.Hosts, d.row(v, now))
		}
	}
	if local != nil {
		addRow(local)
	}
	for name, v := range d.hosts {
		if pairs >= maxDemandPairs {
			break
		}
		if v != local && t.demandIsCurrent(name, v, now) {
			addRow(v)
		}
	}
	if len(digest.Hosts) == 0 {
		return nil
	}
	return digest
}

// row encodes a host's demand as a bit set of positions in the bundle's
// offers and the rates of these offers in the same order.
func (d *demands) row(v *hostDemand, now time.Time) *rpc.HostDemand {
	row := &rpc.HostDemand{Host: v.id, Sequence: v.sequence, AgeMs: millis(now.Sub(v.reportedAt))}
	for position, o := range d.offers {
		rate, found := v.encodedRates[o]
		if !found {
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

// mergeDemandDigest applies the rows of a peer's demand digest that are newer than the
// stored demand. Rows refer to offers by position in the bundle, so a digest for
// another bundle generation is ignored.
func (t *Table) mergeDemandDigest(digest *rpc.DemandDigest, now time.Time) {
	if digest.Generation != t.generation || t.generation == 0 {
		return
	}
	for _, row := range digest.Hosts {
		h := t.hostsByID[row.Host]
		if h == nil || h == t.self || h.state.AvailabilityZone != t.opts.Zone {
			continue
		}
		old := t.demands.hosts[h.state.Host]
		if old == nil || old.id != h.id || row.Sequence > old.sequence {
			t.demands.hosts[h.state.Host] = t.demands.fromRow(row, now)
		}
	}
}

// fromRow decodes a row made by the row method of another host.
func (d *demands) fromRow(row *rpc.HostDemand, now time.Time) *hostDemand {
	v := &hostDemand{
		id: row.Host, sequence: row.Sequence, reportedAt: now.Add(-time.Duration(row.AgeMs) * time.Millisecond), encodedRates: make(map[Offer]uint32),
	}
	encodedRates := row.Rate // the rates that are not assigned to an offer yet
	for position, o := range d.offers {
		if position/8 >= len(row.Offers) || len(encodedRates) == 0 {
			break
		}
		if row.Offers[position/8]&(1<<(position%8)) != 0 {
			v.encodedRates[o], encodedRates = encodedRates[0], encodedRates[1:]
		}
	}
	return v
}

// mayBeRunning reports whether a host of the zone may still be running. A host
// without recent heartbeats may just be disconnected as long as the platform lists
// it, or while there is no list.
func (t *Table) mayBeRunning(name string, now time.Time) bool {
	h := t.hosts[name]
	return h != nil && t.alive(h, now) || t.list.fetchedAt.IsZero() || t.list.contains(name)
}

// demandIsCurrent reports whether a host's demand is from its latest incarnation and
// not older than DemandMaxAge, and the host may still be running.
func (t *Table) demandIsCurrent(name string, v *hostDemand, now time.Time) bool {
	h := t.hosts[name]
	return h != nil && h.id == v.id && now.Sub(v.reportedAt) <= DemandMaxAge && t.mayBeRunning(name, now)
}

// Demand returns the sum of the current demand of the local zone's hosts.
func (t *Table) Demand(now time.Time) ZoneDemand {
	out := ZoneDemand{TokensPerSecond: make(map[Offer]float64)}
	for name, v := range t.demands.hosts {
		if !t.demandIsCurrent(name, v, now) {
			continue
		}
		for o, rate := range v.encodedRates {
			out.TokensPerSecond[o] += decodeRate(rate)
		}
	}
	for _, name := range t.expectedDemandHosts(now) {
		if v := t.demands.hosts[name]; v == nil || !t.demandIsCurrent(name, v, now) {
			out.MissingHosts = append(out.MissingHosts, name)
		}
	}
	return out
}

// expectedDemandHosts returns the hosts of the zone that callers may be using: the
// listed hosts and the known hosts that may be running, without leaving hosts.
func (t *Table) expectedDemandHosts(now time.Time) []string {
	names := slices.Clone(t.list.zones[t.opts.Zone])
	for name, h := range t.hosts {
		if h.state.AvailabilityZone == t.opts.Zone && t.mayBeRunning(name, now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.DeleteFunc(slices.Compact(names), func(name string) bool {
		h := t.hosts[name]
		return h != nil && h.state.State == rpc.State_STATE_LEAVING
	})
}

// dropStaleDemand deletes demand that is no longer current.
func (t *Table) dropStaleDemand(now time.Time) {
	for name, v := range t.demands.hosts {
		if !t.demandIsCurrent(name, v, now) {
			delete(t.demands.hosts, name)
		}
	}
}
