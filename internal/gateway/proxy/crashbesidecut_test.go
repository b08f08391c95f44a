package proxy_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/proxy"
)

// crashedReplicas is how many replicas crash beside the cut: as many as a host that is cut off fails to reach.
const crashedReplicas = 3

// besideCrashed returns a host that reaches all replicas but the given ones, which have crashed. Their machines answer as the
// given cut does.
func (g *testGateway) besideCrashed(answer cut, replicas ...int) *testGateway {
	other := g.sibling()
	crashed := make(map[string]bool)
	for _, i := range replicas {
		crashed[g.members[i].Address] = true
	}
	links := &cutLinks{}
	links.begin(answer)
	other.restart(func(*proxy.Options) {}, func(ctx context.Context, network, address string) (net.Conn, error) {
		if crashed[address] {
			return links.dial(ctx, network, address)
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})
	return other
}

// Guards against callers of a host that is cut off who are refused because the others, whose links are sound, take several
// replicas that crashed together for a cut of their own and decline delegated requests (KNOWN-RED 42).
func TestHostBesideCrashedReplicasTakesDelegatedRequests(t *testing.T) {
	for name, answer := range map[string]cut{"refuse": refuses, "silent": hangs} {
		replicas := []*countingReplica{newReplica(events("a", 8, -1)), newReplica(events("b", 8, -1))}
		down := http.NotFoundHandler()
		g := newTestGateway(t, down, down, down, replicas[0], replicas[1])
		g.setVersions("v1", "v1", "v1", "v1", "v1")
		helper := g.besideCrashed(answer, 0, 1, 2)
		for i := range crashedReplicas {
			helper.failReplica(i)
		}
		links := &cutLinks{open: make(chan net.Conn, 10)}
		hosts := g.addHelpers(links, helper)
		links.begin(refuses)
		for _, path := range []string{"/quote/1", "/match/1"} {
			status, body, _ := g.do(testRequest{path: path})
			assert.Equal(t, http.StatusOK, status, "%s, %s: %s", name, path, body)
		}
		assert.Zero(t, hosts.declined.Load()+hosts.unreachable.Load(), name)
		assert.False(t, helper.fleet.CutOff(), name)
		require.EqualValues(t, 2, totalReceived(replicas...), name)
	}
}

// Guards against the same where the delegated request itself is the one that meets the last of these replicas: it is declined
// although others of its upstream can be reached.
func TestDelegatedRequestThatMeetsACrashedReplicaGoesOn(t *testing.T) {
	for _, last := range []int{2, 3} { // one of them is picked first
		sound := newReplica(respondWith("answer"))
		handlers := []http.Handler{http.NotFoundHandler(), http.NotFoundHandler(), sound, sound}
		handlers[last] = http.NotFoundHandler()
		g := newTestGateway(t, handlers...)
		helper := g.besideCrashed(refuses, 0, 1, last)
		helper.failReplica(0)
		helper.failReplica(1)
		links := &cutLinks{open: make(chan net.Conn, 10)}
		asked := g.addHelpers(links, helper)
		links.begin(refuses)
		status, body, _ := g.do(testRequest{path: "/order/1", body: "text"})
		assert.Equal(t, http.StatusOK, status, body)
		assert.Zero(t, asked.declined.Load()+asked.unreachable.Load())
		assert.EqualValues(t, 1, sound.received.Load())
	}
}

// Guards against a delegated request that waits for one connection after the other at a host that is cut off and does not know
// it for sure yet, and against one that is not declined there.
func TestHostThatMayBeCutOffDeclinesOnceATrialHasFailed(t *testing.T) {
	for name, c := range map[string]cut{"refuses": refuses, "hangs": hangs} {
		replicas := []*countingReplica{newReplica(respondWith("a")), newReplica(respondWith("b")), newReplica(respondWith("c")), newReplica(respondWith("d"))}
		g := newTestGateway(t, replicas[0], replicas[1], replicas[2], replicas[3])
		helper, helperLinks := g.cuttableSibling()
		for i := range crashedReplicas {
			helper.failReplica(i)
		}
		helperLinks.begin(c)
		links := &cutLinks{open: make(chan net.Conn, 10)}
		hosts := g.addHelpers(links, helper, g.sibling())
		links.begin(refuses)
		started := time.Now()
		for range 2 {
			status, _, _ := g.do(testRequest{path: "/order/1"})
			assert.Equal(t, http.StatusOK, status, name)
		}
		assert.Less(t, time.Since(started), 400*time.Millisecond, "%s: no request waits for a connection", name)
		assert.EqualValues(t, 2, hosts.declined.Load(), name)
		assert.True(t, helper.fleet.CutOff(), name)
		assert.EqualValues(t, 2, totalReceived(replicas...), name)
	}
}

// lateHosts are otherHosts that take no requests at first, as they have declined some lately.
type lateHosts struct {
	*otherHosts
	ready atomic.Bool
}

func (h *lateHosts) Helper(upstream string, tried []string) (string, bool) {
	if !h.ready.Load() {
		return "", false
	}
	return h.otherHosts.Helper(upstream, tried)
}

// Guards against a request of a cut off host that waits for one replica after the other until it is refused, as no host took
// requests at its first moment, although one has done so again long before.
func TestRequestOfCutOffHostIsOfferedAgain(t *testing.T) {
	replicas := []*countingReplica{newReplica(respondWith("a")), newReplica(respondWith("b")), newReplica(respondWith("c")), newReplica(respondWith("d"))}
	g := newTestGateway(t, replicas[0], replicas[1], replicas[2], replicas[3])
	links := &cutLinks{open: make(chan net.Conn, 10)}
	late := &lateHosts{otherHosts: g.addHelpers(links, g.sibling())}
	g.restart(func(o *proxy.Options) { o.Helpers = late }, func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == late.addresses[0] {
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
		return links.dial(ctx, network, address)
	})
	for i := range crashedReplicas {
		g.failReplica(i)
	}
	links.begin(hangs)
	time.AfterFunc(100*time.Millisecond, func() { late.ready.Store(true) })
	status, body, _ := g.do(testRequest{path: "/order/1", body: "text"})
	assert.Equal(t, http.StatusOK, status, body)
	assert.EqualValues(t, 1, totalReceived(replicas...))
}
