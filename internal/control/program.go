package control

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/go-chi/chi/v5"

	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/platform"
	"heatherbarrow/internal/rollout"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/telemetry"
	"heatherbarrow/internal/tlsconf"
)

const (
	programName       = "heatherbarrow-control"
	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = 2 * time.Second
)

// Program is heatherbarrow-control.
type Program struct {
	settings *Settings
}

// NewProgram returns a program with settings that are filled in before Run.
func NewProgram(s *Settings) *Program { return &Program{settings: s} }

// Run works until ctx ends.
func (p *Program) Run(ctx context.Context) error {
	logger, err := telemetry.NewLogger(os.Stderr, p.settings.LogLevel, programName, p.settings.Host, p.settings.AvailabilityZone)
	if err != nil {
		return err
	}
	operators, err := rollout.ParseOperators(p.settings.Operators)
	if err != nil {
		return err
	}
	platformTransport, _, err := tlsconf.NewTransport(tlsconf.TransportOptions{TLS: p.settings.PlatformTLS, IdlePerHost: 16})
	if err != nil {
		return err
	}
	internal, scheme, err := tlsconf.NewTransport(tlsconf.TransportOptions{TLS: p.settings.InternalTLS, IdlePerHost: 16})
	if err != nil {
		return err
	}
	client := platform.NewClient(p.settings.Platform, &http.Client{Transport: platformTransport})
	answers := rpc.NewAnswersProtobufClient(scheme+"://"+p.settings.Router, &http.Client{Transport: internal})
	events := bus.New()
	loop := NewLoop(events, operators, logger)
	if err := loop.Start(ctx); err != nil {
		return err
	}
	provider := &PlatformProvider{Store: &rollout.Store{Platform: client, Operators: operators}, Bus: events}
	go provider.Run(ctx)
	metrics := telemetry.NewMetrics(p.settings.Host, p.settings.AvailabilityZone)
	operator := chi.NewRouter()
	operator.Method(http.MethodGet, "/metrics", metrics.Handler)
	operator.Mount("/", rpc.NewOperatorServer(&OperatorServer{Settings: p.settings, Loop: loop, Answers: answers}))
	claimer := newClaims(p.settings, loop, client, scheme+"://", &http.Client{Transport: internal}, logger)
	claimer.Start()
	defer claimer.Close()
	feed := rpc.NewFeedServer(&FeedServer{Loop: loop, Claimer: claimer, Answers: answers})
	servers := []*http.Server{
		{Addr: p.settings.FeedListen, Handler: feed, ReadHeaderTimeout: readHeaderTimeout},
		{Addr: p.settings.OperatorListen, Handler: operator, ReadHeaderTimeout: readHeaderTimeout},
	}
	for _, server := range servers {
		listener, err := tlsconf.Listen(ctx, server.Addr, p.settings.InternalTLS)
		if err != nil {
			return err
		}
		go func() { _ = server.Serve(listener) }()
	}
	logger.Info().Msg("started")
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	for _, server := range servers {
		_ = server.Shutdown(stop)
	}
	return nil
}
