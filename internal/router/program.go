package router

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"heatherbarrow/internal/forward"
	"heatherbarrow/internal/kernel"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/scheduler"
	"heatherbarrow/internal/telemetry"
	"heatherbarrow/internal/tlsconf"
)

const (
	programName     = "heatherbarrow-router"
	connsPerReplica = 1024
	shutdownTimeout = 5 * time.Second
)

// Program is heatherbarrow-router.
type Program struct {
	settings *Settings
}

// NewProgram returns a program with settings that are filled in before Run.
func NewProgram(s *Settings) *Program { return &Program{settings: s} }

// Run serves until ctx ends, then drains and returns.
func (p *Program) Run(ctx context.Context) error {
	logger, err := telemetry.NewLogger(os.Stderr, p.settings.LogLevel, programName, p.settings.Host, p.settings.AvailabilityZone)
	if err != nil {
		return err
	}
	server, err := p.newServer(logger)
	if err != nil {
		return err
	}
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	exit := make(chan struct{})
	registry := kernel.NewRegistry()
	services := []kernel.Service{
		&followService{server: server},
		&listenService{name: "internal", address: p.settings.InternalListen, files: p.settings.InternalTLS, server: &http.Server{
			Handler: rpc.NewAnswersServer(&Answers{Server: server, Exit: func() { close(exit) }}), ReadHeaderTimeout: readHeaderTimeout,
		}},
		&listenService{name: "callers", address: p.settings.Listen, files: p.settings.TLS, server: server.HTTPServer(), needs: []string{"follow"}},
	}
	for _, s := range services {
		if err := registry.Register(s); err != nil {
			return err
		}
	}
	if err := registry.Provision(); err != nil {
		return err
	}
	if err := registry.Start(work); err != nil {
		return err
	}
	logger.Info().Str("listen", p.settings.Listen).Msg("started")
	select {
	case <-ctx.Done():
	case <-exit:
	}
	p.drain(server)
	stop, cancel := context.WithTimeout(work, shutdownTimeout)
	defer cancel()
	return registry.Stop(stop)
}

func (p *Program) drain(server *Server) {
	ctx := context.Background()
	if timeout := p.settings.DrainTimeout.Std(); timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	_ = server.Drain(ctx)
}

func (p *Program) newServer(logger zerolog.Logger) (*Server, error) {
	upstream, scheme, err := tlsconf.NewTransport(tlsconf.TransportOptions{
		TLS: p.settings.UpstreamTLS, ConnsPerHost: connsPerReplica, IdlePerHost: connsPerReplica,
	})
	if err != nil {
		return nil, err
	}
	internal, internalScheme, err := tlsconf.NewTransport(tlsconf.TransportOptions{TLS: p.settings.InternalTLS, IdlePerHost: 64})
	if err != nil {
		return nil, err
	}
	metrics := telemetry.NewMetrics(p.settings.Host, p.settings.AvailabilityZone)
	return NewServer(Dependencies{
		Settings: p.settings,
		Logger:   logger,
		Scheduler: scheduler.New(scheduler.Options{
			Host: p.settings.Host, AvailabilityZone: p.settings.AvailabilityZone,
			Clock: clockwork.NewRealClock(), Seed: uint64(time.Now().UnixNano()),
		}),
		Forward: forward.NewClient(upstream, scheme),
		Feed:    rpc.NewFeedProtobufClient(internalScheme+"://"+p.settings.Control, &http.Client{Transport: internal}),
		Metrics: metrics.Handler,
	}), nil
}

// followService keeps the bundle and view up to date.
type followService struct{ server *Server }

func (f *followService) Name() string { return "follow" }

func (f *followService) Start(ctx context.Context) error {
	go f.server.Follow(ctx)
	go f.server.Tick(ctx)
	return nil
}

// listenService runs an HTTP server.
type listenService struct {
	name    string
	address string
	files   tlsconf.Files
	server  *http.Server
	needs   []string
}

func (l *listenService) Name() string           { return l.name }
func (l *listenService) Dependencies() []string { return l.needs }

func (l *listenService) Start(ctx context.Context) error {
	listener, err := tlsconf.Listen(ctx, l.address, l.files)
	if err != nil {
		return err
	}
	go func() { _ = l.server.Serve(listener) }()
	return nil
}

func (l *listenService) Stop(ctx context.Context) error {
	if err := l.server.Shutdown(ctx); errors.Is(err, context.DeadlineExceeded) {
		return l.server.Close()
	}
	return nil
}
