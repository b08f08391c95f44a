package proxy_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/origin"
	"heatherbarrow/internal/gateway/proxy"
	"heatherbarrow/internal/gateway/routing"
)

// keptGateway returns a host whose streams come from replicas of the upstream "books" and whose other requests go to the
// given number of replicas of "pool". It can be cut off.
func keptGateway(t *testing.T, pool int) (g *testGateway, links *cutLinks, replicas []*countingReplica) {
	t.Helper()
	var handlers []http.Handler
	for range pool {
		replicas = append(replicas, newReplica(respondWith("answer")))
		handlers = append(handlers, replicas[len(replicas)-1])
	}
	g = newTestGateway(t, append(handlers, newReplica(events("a", 2, -1)))...)
	g.members[pool].Upstream = "books"
	g.fleet.SetMembers(g.members)
	config := testConfig()
	config.Upstreams = append(config.Upstreams, routing.Upstream{Name: "books"})
	for i := range config.Routes {
		if config.Routes[i].Kind == routing.Streaming {
			config.Routes[i].WeightedUpstreams = []routing.Target{{Upstream: "books", Weight: 1}}
		}
	}
	g.table.Store(routing.Compile(config))
	links = &cutLinks{open: make(chan net.Conn, 1000)}
	g.restart(func(*proxy.Options) {}, links.dial)
	return g, links, replicas
}

// cuttableSibling is sibling for a host that can be cut off by itself.
func (g *testGateway) cuttableSibling() (*testGateway, *cutLinks) {
	other, links := g.sibling(), &cutLinks{open: make(chan net.Conn, 1000)}
	other.restart(func(*proxy.Options) {}, links.dial)
	return other, links
}

// Guards against callers who get the refusal of a host that is cut off too: it takes delegated requests, as answers arrive on
// its kept connections, although no new connection leads to a replica and another host reaches them (KNOWN-RED 41).
func TestRequestIsNotRefusedByHelperThatReachesNoReplica(t *testing.T) {
	for name, pool := range map[string]int{"few replicas": 3, "more than are tried": 6} {
		g, links, replicas := keptGateway(t, pool)
		helper, helperLinks := g.cuttableSibling()
		sound := g.sibling()
		stream := func(hosts ...*testGateway) {
			for _, host := range hosts {
				status, body, _ := host.do(testRequest{path: "/quote/1"})
				require.Equal(t, http.StatusOK, status, name)
				require.Equal(t, eventsText(2), body, name)
			}
		}
		g.addHelpers(links, helper, sound)
		stream(g, helper) // leaves connections
		links.begin(halfAlive)
		helperLinks.begin(halfAlive)
		const requests = 12
		for range requests {
			stream(g, helper)
			status, body, _ := g.do(testRequest{path: "/order/1", body: "text"})
			assert.Equal(t, http.StatusOK, status, "%s: %s", name, body)
			assert.Equal(t, "answertext", body, name)
		}
		assert.Equal(t, int64(requests), totalReceived(replicas...), "%s: each request runs once", name)
	}
}

// Guards against a delegated request that waits for one silent replica after the other at a host that is cut off too, until it
// has no time left at another one.
func TestHelperThatFindsItselfCutOffDeclinesSoon(t *testing.T) {
	g, links, replicas := keptGateway(t, 8)
	helper, helperLinks := g.cuttableSibling()
	hosts := g.addHelpers(links, helper, g.sibling())
	links.begin(refuses)
	helperLinks.begin(hangs)
	answered := make(chan int, 4)
	for range cap(answered) { // together they find out that the helper is cut off
		go func() {
			response, err := g.send(t.Context(), testRequest{path: "/order/1", body: "text"})
			if err != nil {
				answered <- 0
				return
			}
			_ = response.Body.Close()
			answered <- response.StatusCode
		}()
	}
	started := time.Now()
	for range cap(answered) {
		assert.Equal(t, http.StatusOK, <-answered)
	}
	assert.Less(t, time.Since(started), 1500*time.Millisecond, "of 2 s for the connections to four replicas")
	assert.True(t, helper.fleet.CutOff())
	assert.Positive(t, hosts.unreachable.Load())
	assert.Equal(t, int64(cap(answered)), totalReceived(replicas...))
}

// Guards against a caller that is not told when to return, or against hosts that ask each other without end, when no host
// reaches a replica.
func TestRequestThatNoHostCanSendIsRefused(t *testing.T) {
	g, links, replicas := keptGateway(t, 3)
	var helpers []*testGateway
	for range 2 {
		helper, helperLinks := g.cuttableSibling()
		status, _, _ := helper.do(testRequest{path: "/quote/1"})
		require.Equal(t, http.StatusOK, status)
		helperLinks.begin(halfAlive)
		helpers = append(helpers, helper)
	}
	hosts := g.addHelpers(links, helpers...)
	links.begin(refuses)
	for range 3 {
		status, body, header := g.do(testRequest{path: "/order/1", body: "text"})
		assert.Equal(t, http.StatusServiceUnavailable, status)
		assert.Contains(t, []string{fleet.ReasonUnreachable + "\n", fleet.ReasonNoReplica + "\n"}, body)
		assert.NotEmpty(t, header.Get("Retry-After"))
		assert.Empty(t, header.Get("Heatherbarrow-Declined"), "callers do not see it")
	}
	assert.Positive(t, hosts.unreachable.Load())
	assert.EqualValues(t, 6, hosts.unreachable.Load()+hosts.declined.Load())
	assert.Zero(t, totalReceived(replicas...))
}

// Guards against a request that every host sends to replicas that have refused it, as one of them could not be connected to.
func TestRefusalOfHelperThatReachesReplicasStands(t *testing.T) {
	full := []*countingReplica{newReplica(refuseAsFull), newReplica(refuseAsFull)}
	g := newTestGateway(t, newReplica(respondWith("answer")), full[0], full[1])
	helper := g.sibling()
	helper.failReplica(0)
	down := g.members[0].Address
	helper.restart(func(*proxy.Options) {}, func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == down {
			return nil, errRefused
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})
	links := &cutLinks{open: make(chan net.Conn, 10)}
	hosts := g.addHelpers(links, helper, g.sibling())
	links.begin(refuses)
	status, _, _ := g.do(testRequest{path: "/order/1", body: "text"})
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.EqualValues(t, 2, totalReceived(full...))
	assert.Zero(t, hosts.unreachable.Load())
}

// Guards against a stream that callers cannot take up at a host that is cut off, as it asks the process that is assumed to
// have begun the stream over its own links, although another host reaches that process.
func TestAssumedOriginIsSettledByAnotherHostWhenCutOff(t *testing.T) {
	for name, c := range map[string]cut{"hangs": hangs, "refuses": refuses} {
		first := newProcess(registeredStart, events("first", 8, -1))
		sound := newProcess(registeredStart, events("sound", 8, -1))
		g := newTestGateway(t, first, sound)
		g.registered("v1", "v1")
		links := &cutLinks{open: make(chan net.Conn, 10)}
		g.addHelpers(links, g.sibling())
		g.origins.Record("began", origin.Origin{Upstream: "pool", Version: origin.AssumedVersion(g.members[0].ID, registeredStart)}, time.Now())
		links.begin(c)
		for range 3 {
			status, body, _ := g.takeUp("began", "4")
			assert.Equal(t, http.StatusOK, status, "%s: %s", name, body)
		}
	}
}

// Guards against a stream that goes on although no host can tell which version began it, as its process is down, and against
// hosts that get no other requests for it.
func TestStreamWhoseOriginNoHostFindsIsRefused(t *testing.T) {
	first := newProcess(registeredStart, events("first", 8, -1))
	sound := newProcess(registeredStart, events("sound", 8, -1))
	g := newTestGateway(t, first, sound)
	g.registered("v1", "v2")
	down := g.members[0].Address
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == down {
			return nil, errRefused
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	helpers := []*testGateway{g.sibling(), g.sibling()}
	for _, helper := range helpers {
		helper.restart(func(*proxy.Options) {}, dial)
	}
	links := &cutLinks{open: make(chan net.Conn, 10)}
	hosts := g.addHelpers(links, helpers...)
	links.begin(refuses)
	g.origins.Record("began", origin.Origin{Upstream: "pool", Version: origin.AssumedVersion(g.members[0].ID, registeredStart)}, time.Now())
	for range 3 {
		status, body, header := g.takeUp("began", "4")
		assert.Equal(t, http.StatusServiceUnavailable, status)
		assert.Equal(t, "origin_unreachable\n", body)
		assert.NotEmpty(t, header.Get("Retry-After"))
		assert.Empty(t, header.Get("Heatherbarrow-Declined"), "callers do not see it")
	}
	assert.Zero(t, first.received.Load()+sound.received.Load())
	assert.Zero(t, hosts.declined.Load()+hosts.unreachable.Load(), "they may take the next request")
}

// Guards against a host that gets no requests of an upstream for a time because one stream could not go on there: the replicas
// of its version were down, as they are for all hosts, and others serve.
func TestHostThatReachesNoReplicaOfOneVersionGetsOtherRequests(t *testing.T) {
	g := newTestGateway(t, newReplica(events("a", 8, -1)), newReplica(events("b", 8, -1)))
	g.setVersions("v1", "v2")
	down := g.members[0].Address
	helper := g.sibling()
	helper.restart(func(*proxy.Options) {}, func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == down {
			return nil, errRefused
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})
	links := &cutLinks{open: make(chan net.Conn, 10)}
	hosts := g.addHelpers(links, helper)
	links.begin(refuses)
	g.origins.Record("began", origin.Origin{Upstream: "pool", Version: "v1"}, time.Now())
	for range 3 {
		status, _, header := g.takeUp("began", "4")
		assert.Equal(t, http.StatusServiceUnavailable, status)
		assert.NotEmpty(t, header.Get("Retry-After"))
	}
	assert.Zero(t, hosts.unreachable.Load()+hosts.declined.Load())
	status, _, _ := g.do(testRequest{path: "/quote/1"})
	assert.Equal(t, http.StatusOK, status)
}
