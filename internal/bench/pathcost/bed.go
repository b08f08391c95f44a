package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/forward"
	"heatherbarrow/internal/router"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/scheduler"
	"heatherbarrow/internal/settings"
	"heatherbarrow/internal/telemetry"
	"heatherbarrow/internal/tlsconf"
)

const (
	engineCount = 4
	bearerKey   = "bench-key"
	className   = "bench"
	idlePerHost = 4096
)

// target is where the client sends its requests.
type target struct {
	name      string
	addresses []string
}

// bed holds the engine, the router and the client of one measurement.
type bed struct {
	engines [engineCount]*engine
	direct  target
	routed  target
	client  *http.Client
	cancel  context.CancelFunc
	servers []*http.Server
	metrics *telemetry.Metrics
}

// newBed starts all parts. interval is the time between two steps of the engines.
func newBed(n network, interval time.Duration) (*bed, error) {
	ctx, cancel := context.WithCancel(context.Background())
	b := &bed{cancel: cancel, metrics: telemetry.NewMetrics("bench", "bench")}
	b.client = &http.Client{Transport: &http.Transport{DialContext: n.dial, MaxIdleConnsPerHost: idlePerHost, DisableCompression: true}}
	b.direct.name, b.routed.name = "direct", "routed"
	for i := range b.engines {
		b.engines[i] = &engine{}
		go b.engines[i].run(ctx, interval)
		address, err := b.serve(n, &http.Server{Handler: b.engines[i]})
		if err != nil {
			return nil, err
		}
		b.direct.addresses = append(b.direct.addresses, address)
	}
	server, err := b.newRouter(n)
	if err != nil {
		return nil, err
	}
	go server.Tick(ctx)
	address, err := b.serve(n, server.HTTPServer())
	b.routed.addresses = []string{address}
	return b, err
}

func (b *bed) serve(n network, server *http.Server) (string, error) {
	listener, err := n.listen()
	if err != nil {
		return "", err
	}
	b.servers = append(b.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (b *bed) newRouter(n network) (*router.Server, error) {
	client, err := forward.NewClient(tlsconf.TransportOptions{IdlePerHost: idlePerHost, Dial: n.dial}, nil)
	if err != nil {
		return nil, err
	}
	logger, err := telemetry.NewLogger(io.Discard, "info", "bench", "bench", "bench")
	if err != nil {
		return nil, err
	}
	s := &router.Settings{
		Host: "bench", AvailabilityZone: "bench", Listen: "127.0.0.1:1", InternalListen: "127.0.0.1:2", Control: "127.0.0.1:3",
		BalancerLag: settings.Duration(1),
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	server := router.NewServer(router.Dependencies{
		Settings: s, Logger: logger, Forward: client, Metrics: b.metrics.Scope, MetricsHandler: b.metrics.Handler,
		Feed: rpc.NewFeedProtobufClient("http://127.0.0.1:3", http.DefaultClient),
		Scheduler: scheduler.New(scheduler.Options{
			Host: "bench", AvailabilityZone: "bench", Clock: clockwork.NewRealClock(), Seed: 1,
		}),
	})
	content, _, err := b.bundle().Canonical()
	if err != nil {
		return nil, err
	}
	return server, server.Install(&rpc.BundleRecord{Generation: 1, Sha256: bundle.Hash(content), Content: content})
}

// bundle has one class without a tight target, so that nothing is refused and
// only the cost of the path is measured.
func (b *bed) bundle() *bundle.Bundle {
	const plenty = 20_000
	second := settings.Duration(1e9)
	upstream := bundle.Upstream{Name: "models", Kind: bundle.KindEngine, Classes: []string{className}, Models: []string{"m"}, Slots: plenty}
	for i, address := range b.direct.addresses {
		upstream.Replicas = append(upstream.Replicas, bundle.Replica{ID: fmt.Sprintf("e%d", i), Address: address, AvailabilityZone: "bench"})
	}
	return &bundle.Bundle{
		Format: bundle.Format,
		Classes: []bundle.Class{{
			Name: className, Tier: 1, FirstTokenTarget: 60 * second, Deadline: 600 * second, MaxQueue: plenty, ExpectedTokens: fullSizes.tokens,
		}},
		Teams: []bundle.Team{{
			Name: "bench", KeyHashes: []string{bundle.HashKey(bearerKey)}, Classes: []string{className}, TokensPerSecond: 1e12, MaxInProgress: plenty,
		}},
		Upstreams: []bundle.Upstream{upstream},
		Limits:    bundle.Limits{FrameTimeout: 120 * second},
	}
}

func (b *bed) close() {
	b.cancel()
	b.client.CloseIdleConnections()
	for _, server := range b.servers {
		_ = server.Close()
	}
	_ = b.metrics.Close()
}
