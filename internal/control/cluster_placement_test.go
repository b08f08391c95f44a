package control

import (
	"context"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/standin/engine"
)

// placementContent has two models and two engines in one zone.
func placementContent(t *testing.T, addresses ...string) []byte {
	b, err := bundle.Parse([]byte(`{"format":1,
		"classes":[{"name":"quote","tier":1,"answer_target":"1s","deadline":"9s"}],
		"teams":[{"name":"counter","key_hashes":["` + bundle.HashKey("k") + `"],"classes":["quote"],"tokens_per_second":1000,"max_in_progress":100}],
		"upstreams":[{"name":"models","kind":"engine","classes":["quote"],"models":["m","n"],"slots":4,"replicas":[
			{"id":"e1","address":"` + addresses[0] + `","availability_zone":"ate"},
			{"id":"e2","address":"` + addresses[1] + `","availability_zone":"ate"}]}]}`))
	require.NoError(t, err)
	content, _, err := b.Canonical()
	require.NoError(t, err)
	return content
}

func (n *node) report(demand ...*rpc.ClassDemand) {
	_, _ = n.feed.Report(context.Background(), &rpc.ReportRequest{Demand: demand})
}

func (n *node) holdsLease() bool {
	s, err := n.operator.Status(context.Background(), &rpc.StatusRequest{})
	return err == nil && s.LeaseHolder == n.settings.Host
}

// Guards against a holder of the zone's lease that places models by the demand
// of its own router alone, and against one that unloads a model while it does not
// know the demand of another host.
func TestDemandOfAnotherHostIsPlaced(t *testing.T) {
	t.Parallel()
	var engines []*engine.Server
	var addresses []string
	for range 2 {
		e := engine.New(engine.Options{Models: []string{"m"}})
		server := httptest.NewServer(e.Handler())
		t.Cleanup(server.Close)
		engines, addresses = append(engines, e), append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	c := newCluster(t, "ate", "ate")
	c.start()
	c.waitFor(c.putInForce(c.approve(placementContent(t, addresses...))))
	c.eventually("the lease must be held", func() bool { return c.hosts[0].holdsLease() || c.hosts[1].holdsLease() })
	holder, other := c.hosts[0], c.hosts[1]
	if other.holdsLease() {
		holder, other = other, holder
	}
	c.eventually("a model that only another host's callers ask for must be loaded", func() bool {
		holder.report(&rpc.ClassDemand{Class: "quote", Model: "m", Tokens: 1})
		other.report(&rpc.ClassDemand{Class: "quote", Model: "n", Tokens: 100})
		return slices.ContainsFunc(append(engines[0].Orders(), engines[1].Orders()...), func(o engine.TakenOrder) bool {
			return o.Order.Order == "load" && o.Model == "n"
		})
	})
}
