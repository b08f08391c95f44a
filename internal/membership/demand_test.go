package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/objectstore"
)

// demandBundle returns a bundle that offers 28 models to one class.
func demandBundle() *bundle.Bundle {
	b := targetScaleBundle()
	b.Upstreams[0].Classes, b.Upstreams[0].Models = []string{"quote"}, nil
	for i := range 28 {
		b.Upstreams[0].Models = append(b.Upstreams[0].Models, fmt.Sprint("m", i))
	}
	return b
}

// newDemandNetwork returns a network of one zone that uses demandBundle.
func newDemandNetwork(t testing.TB, hosts int) *network {
	n := newNetwork(t, 1, hosts)
	for _, table := range n.hosts {
		table.SetBundle(demandBundle(), 2)
	}
	return n
}

// runWithDemand advances the time; every second, each host reports a demand of
// 300 tokens/s for every model.
func (n *network) runWithDemand(d time.Duration) {
	for range d / time.Second {
		for _, name := range n.names {
			rates := make(map[Offer]float64)
			for _, o := range n.hosts[name].demands.offers {
				rates[o] = 300
			}
			n.hosts[name].SetDemand(rates, n.now)
		}
		n.run(time.Second)
	}
}

// BenchmarkZoneDemand measures the exchange of demand in a zone of 57 hosts over one
// minute of virtual time, after a minute of warm-up.
func BenchmarkZoneDemand(b *testing.B) {
	for range b.N {
		n := newDemandNetwork(b, 57)
		n.runWithDemand(time.Minute)
		var ages []float64
		n.sentBytes = 0
		demandBytes := 0
		for range 60 {
			n.runWithDemand(time.Second)
			demandBytes += 2 * proto.Size(n.hosts["z0-h0"].demandDigest(n.now))
			for _, v := range n.hosts["z0-h0"].demands.hosts {
				ages = append(ages, n.now.Sub(v.reportedAt).Seconds())
			}
		}
		slices.Sort(ages)
		b.ReportMetric(float64(n.sentBytes)/60/57, "B/s/host")
		b.ReportMetric(float64(demandBytes)/60, "demand-B/s/host")
		b.ReportMetric(ages[len(ages)/2], "age-s-p50")
		b.ReportMetric(ages[len(ages)*99/100], "age-s-p99")
		b.ReportMetric(ages[len(ages)-1], "age-s-max")
		b.ReportMetric(float64(len(ages))/60, "hosts-known")
	}
}

// Guards against demand that counts twice because it arrives through several hosts,
// against demand that is kept for a removed host, and against treating a
// disconnected host as one without demand.
func TestZoneDemandCountsEachHostOnce(t *testing.T) {
	n := newDemandNetwork(t, 4)
	for _, table := range n.hosts {
		table.ApplyHostList(liveHostList(n.names), n.now)
	}
	n.runWithDemand(20 * time.Second)
	o := Offer{"quote", "m0"}
	demand := n.hosts["z0-h0"].Demand(n.now)
	require.Empty(t, demand.MissingHosts)
	require.InEpsilon(t, 4*300, demand.TokensPerSecond[o], 0.05)
	n.down["z0-h3"] = true
	n.runWithDemand(30 * time.Second)
	demand = n.hosts["z0-h0"].Demand(n.now)
	require.Empty(t, demand.MissingHosts, "the latest demand of z0-h3 still counts")
	require.InEpsilon(t, 4*300, demand.TokensPerSecond[o], 0.05)
	n.runWithDemand(DemandMaxAge)
	demand = n.hosts["z0-h0"].Demand(n.now)
	require.Equal(t, []string{"z0-h3"}, demand.MissingHosts, "the platform lists z0-h3, so it may just be disconnected")
	require.InEpsilon(t, 3*300, demand.TokensPerSecond[o], 0.05)
	for _, table := range n.hosts {
		table.ApplyHostList(liveHostList(n.names[:3]), n.now)
	}
	require.Empty(t, n.hosts["z0-h0"].Demand(n.now).MissingHosts, "the platform no longer lists z0-h3")
}

// Guards against a zone demand that is taken for complete although hosts are missing
// that are known only from the settings or from a peer's copy of the platform's list.
func TestHostsWithoutKnownDemandAreMissing(t *testing.T) {
	n := newDemandNetwork(t, 3)
	n.down["z0-h2"] = true
	n.runWithDemand(10 * time.Second)
	table := n.hosts["z0-h0"]
	require.Equal(t, []string{"z0-h2"}, table.Demand(n.now).MissingHosts)
	n.hosts["z0-h1"].ApplyHostList(liveHostList([]string{"z0-h0", "z0-h1", "z0-h7"}), n.now)
	n.runWithDemand(10 * time.Second)
	require.Equal(t, []string{"z0-h7"}, table.Demand(n.now).MissingHosts)
}

// Guards against demand digests of unbounded size, and against hosts of a larger zone
// whose demand does not reach the others.
func TestDemandOfAllHostsInLargeZoneIsKnown(t *testing.T) {
	n := newDemandNetwork(t, 20)
	n.runWithDemand(time.Minute)
	require.Empty(t, n.hosts["z0-h0"].Demand(n.now).MissingHosts)
	require.Less(t, proto.Size(n.hosts["z0-h0"].demandDigest(n.now)), 130)
}

// liveHostList returns a platform list that shows the hosts as live in zone z0.
func liveHostList(names []string) *objectstore.HostList {
	list := &objectstore.HostList{}
	for _, name := range names {
		list.Hosts = append(list.Hosts, objectstore.Host{Name: name, AvailabilityZone: "z0", State: "live"})
	}
	return list
}
