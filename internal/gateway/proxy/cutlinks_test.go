package proxy_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"time"

	"heatherbarrow/internal/gateway/proxy"
)

// cut is how the links of a host to the replicas fail.
type cut int32

const (
	noCut      cut = iota
	hangs          // packets are dropped
	refuses        // new connections are refused and existing ones reset
	halfAlive      // new connections are refused and existing ones live on
	cutsOfLink     // number of cuts
)

// cutLinks dials replicas and fails as told.
type cutLinks struct {
	cut  atomic.Int32
	open chan net.Conn
}

var errRefused = &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}

// dial implements upstream.Dial.
func (l *cutLinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch cut(l.cut.Load()) {
	case noCut:
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil {
			l.open <- c
		}
		return c, err
	case hangs:
		ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	default:
		return nil, errRefused
	}
}

// begin starts a cut. Connections that are open break, unless they live on.
func (l *cutLinks) begin(c cut) {
	l.cut.Store(int32(c))
	for c != halfAlive {
		select {
		case open := <-l.open:
			_ = open.Close()
		default:
			return
		}
	}
}

// otherHosts are the hosts that requests are delegated to.
type otherHosts struct {
	addresses   []string
	declined    atomic.Int32
	unreachable atomic.Int32
}

func (o *otherHosts) Helper(_ string, tried []string) (string, bool) {
	if len(tried) < len(o.addresses) {
		return o.addresses[len(tried)], true
	}
	return "", false
}

func (o *otherHosts) Declined(string) { o.declined.Add(1) }

func (o *otherHosts) Unreachable(string, string) { o.unreachable.Add(1) }

// addHelpers lets the gateway delegate requests to the others over links that a cut does not concern.
func (g *testGateway) addHelpers(links *cutLinks, others ...*testGateway) *otherHosts {
	return g.addHelpersAt(links, nil, others...)
}

// addHelpersAt is addHelpers with hosts before the others, given by their addresses.
func (g *testGateway) addHelpersAt(links *cutLinks, addresses []string, others ...*testGateway) *otherHosts {
	hosts := &otherHosts{addresses: addresses}
	for _, other := range others {
		mux := http.NewServeMux()
		mux.Handle(proxy.DelegatePath+"/", other.server.DelegateHandler())
		s := httptest.NewServer(mux)
		g.t.Cleanup(s.CloseClientConnections)
		hosts.addresses = append(hosts.addresses, s.Listener.Addr().String())
	}
	toHosts := func(ctx context.Context, network, address string) (net.Conn, error) {
		for _, host := range hosts.addresses {
			if address == host {
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}
		}
		return links.dial(ctx, network, address)
	}
	g.restart(func(o *proxy.Options) { o.Helpers = hosts }, toHosts)
	return hosts
}
