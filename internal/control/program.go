package control

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/cli"
	"heatherbarrow/internal/httphead"
	"heatherbarrow/internal/kernel"
	"heatherbarrow/internal/listen"
	"heatherbarrow/internal/membership"
	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/placement"
	"heatherbarrow/internal/rollout"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/telemetry"
	"heatherbarrow/internal/tlsconf"
)

const (
	programName       = "heatherbarrow-control"
	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = 500 * time.Millisecond
	// leaveTimeout is how long a stopping control waits for peers to hear that
	// its host leaves.
	leaveTimeout = 200 * time.Millisecond
	// drainNotice is how long a stopping control waits for its router to report
	// that it drains; a router reports every 500 ms.
	drainNotice       = 1200 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
	idlePerPeer       = 1
	idleToPlatform    = 16
)

// Program is heatherbarrow-control.
type Program struct {
	settings *Settings
	logger   *zerolog.Logger
	dial     Dial
	metrics  http.Handler
	scope    tally.Scope
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewProgram returns a program with settings that are filled in before Run.
func NewProgram(s *Settings) *Program { return &Program{settings: s} }

// WithLogger replaces the logger that writes to standard error.
func (p *Program) WithLogger(logger zerolog.Logger) *Program {
	p.logger = &logger
	return p
}

// WithMetrics replaces the handler of /metrics and drops the metrics.
func (p *Program) WithMetrics(handler http.Handler) *Program {
	p.metrics, p.scope = handler, tally.NoopScope
	return p
}

// WithDial replaces how connections to the platform, peers and replicas are
// opened, so that tests can cut them and benchmarks can count their bytes.
func (p *Program) WithDial(dial Dial) *Program {
	p.dial = dial
	return p
}

// Run works until ctx ends.
func (p *Program) Run(ctx context.Context) error {
	if p.logger == nil {
		logger, err := telemetry.NewLogger(os.Stderr, p.settings.LogLevel, programName, p.settings.Host, p.settings.AvailabilityZone)
		if err != nil {
			return err
		}
		telemetry.RedirectStandardLog(logger)
		p.logger = &logger
	}
	clients, err := p.clients()
	if err != nil {
		return err
	}
	registry, err := p.registry(clients)
	if err != nil {
		return err
	}
	if err := registry.Provision(); err != nil {
		return err
	}
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	if err := registry.Start(work); err != nil {
		return err
	}
	p.logger.Info().Str("build", cli.Build()).Msg("started")
	<-ctx.Done()
	p.leave(registry)
	p.awaitRouter(ctx, registry)
	stopWork()
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return registry.Stop(stop)
}

// leave tells peers that this host stops, so that they need not wait for its
// heartbeats to fail.
func (p *Program) leave(r *kernel.Registry) {
	if events, err := kernel.Lookup[*bus.Bus](r, ServiceBus); err == nil {
		_ = events.Publish(LeaveRequested{})
		time.Sleep(leaveTimeout)
	}
}

// awaitRouter waits until a router that drains has exited: its last calls still
// need claims and their outcomes recorded. A router that goes on serving, because
// only control is restarted, is not waited for.
func (p *Program) awaitRouter(ctx context.Context, r *kernel.Registry) {
	feed, err := kernel.Lookup[*FeedServer](r, ServiceFeed)
	if err != nil {
		return
	}
	forced := cli.Forced(ctx)
	wait := context.WithoutCancel(ctx)
	if timeout := p.settings.DrainTimeout.Std(); timeout > 0 {
		var cancel context.CancelFunc
		wait, cancel = context.WithTimeout(wait, timeout)
		defer cancel()
	}
	for started := time.Now(); forced.Err() == nil && wait.Err() == nil; time.Sleep(drainPollInterval) {
		if !feed.RouterDraining() && time.Since(started) > drainNotice {
			return
		}
	}
}

// registry registers all services; the kernel starts them in the order of their
// dependencies.
func (p *Program) registry(clients *clients) (*kernel.Registry, error) {
	operators, err := rollout.ParseOperators(p.settings.Operators)
	if err != nil {
		return nil, err
	}
	p.openMetrics()
	events := bus.New()
	services := []kernel.Service{
		events,
		NewLoop(Options{
			Bus: events, Operators: operators, Logger: *p.logger, Clock: clockwork.NewRealClock(), Member: p.member(),
		}),
		&StoreService{Store: &rollout.Store{Platform: clients.platform, Operators: operators}},
		&AnswersService{Answers: rpc.NewAnswersProtobufClient(clients.scheme+"://"+p.settings.Router, clients.internal)},
		&ClaimService{Host: p.settings.Host, Store: clients.platform, Peers: clients.internal, Scheme: clients.scheme, Logger: *p.logger, Scope: p.scope},
		&PlacementService{
			Host: p.settings.Host, Zone: p.settings.AvailabilityZone, Store: clients.platform, Logger: *p.logger,
			Sender: &placement.HTTPSender{Scheme: clients.upstreamScheme, Client: clients.upstream},
		},
		&PlatformProvider{logger: *p.logger},
		&PeerProvider{HTTP: clients.internal, Scheme: clients.scheme},
		&PeerServer{},
		&LoadObserver{HTTP: clients.upstream, Scheme: clients.upstreamScheme},
		&QuarantineKeeper{Zone: p.settings.AvailabilityZone},
		&ShareClient{Host: p.settings.Host},
		&Lookup{},
		&FeedServer{},
		&OperatorServer{},
		&MetricsService{Host: p.settings.Host, Scope: p.scope},
	}
	registry := kernel.NewRegistry()
	for _, s := range append(services, p.listeners()...) {
		if err := registry.Register(s); err != nil {
			return nil, err
		}
	}
	return registry, nil
}

func (p *Program) openMetrics() {
	if p.metrics == nil {
		metrics := telemetry.NewMetrics(p.settings.Host, p.settings.AvailabilityZone)
		p.metrics, p.scope = metrics.Handler, metrics.Scope
	}
}

func (p *Program) member() membership.Options {
	o := membership.Options{
		Host: p.settings.Host, Zone: p.settings.AvailabilityZone, PeerAddress: p.settings.PeerListen,
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	for _, peer := range p.settings.Peers {
		o.Peers = append(o.Peers, membership.Peer{Host: peer.Host, Zone: peer.AvailabilityZone, Address: peer.Address})
	}
	return o
}

type clients struct {
	platform       *objectstore.Client
	internal       *http.Client
	scheme         string
	upstream       *http.Client
	upstreamScheme string
}

func (p *Program) clients() (*clients, error) {
	toPlatform, _, err := p.client(tlsconf.TransportOptions{TLS: p.settings.PlatformTLS, IdlePerHost: idleToPlatform, Compress: true})
	if err != nil {
		return nil, err
	}
	internal, scheme, err := p.client(tlsconf.TransportOptions{TLS: p.settings.InternalTLS, IdlePerHost: idlePerPeer})
	if err != nil {
		return nil, err
	}
	upstream, upstreamScheme, err := p.client(tlsconf.TransportOptions{TLS: p.settings.UpstreamTLS, IdlePerHost: 1})
	if err != nil {
		return nil, err
	}
	return &clients{
		platform: objectstore.NewClient(p.settings.Platform, toPlatform),
		internal: internal, scheme: scheme, upstream: upstream, upstreamScheme: upstreamScheme,
	}, nil
}

func (p *Program) client(o tlsconf.TransportOptions) (*http.Client, string, error) {
	o.Dial, o.Translations = p.dial, p.settings.Translations
	transport, scheme, err := tlsconf.NewTransport(o)
	if err != nil {
		return nil, "", err
	}
	return &http.Client{Transport: httphead.NewTransport(transport)}, scheme, nil
}

func (p *Program) listeners() []kernel.Service {
	return []kernel.Service{
		p.listener("feed listener", p.settings.FeedListen, ServiceFeed, func(r *kernel.Registry) (http.Handler, error) {
			feed, err := kernel.Lookup[*FeedServer](r, ServiceFeed)
			return rpc.NewFeedServer(feed), err
		}),
		p.listener("peer listener", p.settings.PeerListen, ServicePeerServer, func(r *kernel.Registry) (http.Handler, error) {
			peer, err := kernel.Lookup[*PeerServer](r, ServicePeerServer)
			return rpc.NewPeerServer(peer), err
		}),
		p.listener("operator listener", p.settings.OperatorListen, ServiceOperator, p.operatorHandler),
	}
}

// listener returns a service that serves the handler of the service it needs.
func (p *Program) listener(name, address, needs string, handler func(r *kernel.Registry) (http.Handler, error)) *listen.Service {
	return &listen.Service{
		ServiceName: name, Address: address, TLS: p.settings.InternalTLS, Needs: []string{needs}, Logger: *p.logger,
		Server: func(r *kernel.Registry) (*http.Server, error) {
			h, err := handler(r)
			return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}, err
		},
	}
}

func (p *Program) operatorHandler(r *kernel.Registry) (http.Handler, error) {
	operator, err := kernel.Lookup[*OperatorServer](r, ServiceOperator)
	if err != nil {
		return nil, err
	}
	handler := chi.NewRouter()
	handler.Method(http.MethodGet, "/metrics", p.metrics)
	handler.Mount("/", rpc.NewOperatorServer(operator))
	return handler, nil
}
