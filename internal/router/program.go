package router

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"heatherbarrow/internal/cli"
	"heatherbarrow/internal/drain"
	"heatherbarrow/internal/forward"
	"heatherbarrow/internal/httphead"
	"heatherbarrow/internal/kernel"
	"heatherbarrow/internal/listen"
	"heatherbarrow/internal/membudget"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/scheduler"
	"heatherbarrow/internal/telemetry"
	"heatherbarrow/internal/tlsconf"
)

const (
	programName     = "heatherbarrow-router"
	connsPerReplica = 1024
	// idleInternal is the number of idle connections kept to control.
	idleInternal = 64
	// flushTimeout bounds the wait for control to take the last outcomes.
	flushTimeout = 3 * time.Second
)

// Program is heatherbarrow-router.
type Program struct {
	settings *Settings
}

// NewProgram returns a program with settings that are filled in before Run.
func NewProgram(s *Settings) *Program { return &Program{settings: s} }

// Run serves until ctx ends or control asks for an exit, then drains and
// returns. It returns an error when requests were cut off.
func (p *Program) Run(ctx context.Context) error {
	logger, err := telemetry.NewLogger(os.Stderr, p.settings.LogLevel, programName, p.settings.Host, p.settings.AvailabilityZone)
	if err != nil {
		return err
	}
	telemetry.RedirectStandardLog(logger)
	metrics := telemetry.NewMetrics(p.settings.Host, p.settings.AvailabilityZone)
	defer func() { _ = metrics.Close() }()
	server, err := p.newServer(logger, metrics)
	if err != nil {
		return err
	}
	answers := NewAnswers(server)
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	registry, err := p.register(server, answers)
	if err != nil {
		return err
	}
	if err := registry.Start(work); err != nil {
		return err
	}
	logger.Info().Str("listen", p.settings.Listen).Str("build", cli.Build()).Msg("started")
	select {
	case <-ctx.Done():
	case <-answers.Exit():
	}
	return p.stop(ctx, server, registry)
}

func (p *Program) register(server *Server, answers *Answers) (*kernel.Registry, error) {
	registry := kernel.NewRegistry()
	internal := &http.Server{Handler: rpc.NewAnswersServer(answers), ReadHeaderTimeout: readHeaderTimeout}
	services := []kernel.Service{
		&followService{server: server},
		&listen.Service{
			ServiceName: "internal", Address: p.settings.InternalListen, TLS: p.settings.InternalTLS,
			Server: func(*kernel.Registry) (*http.Server, error) { return internal, nil },
			Logger: server.Logger,
		},
		&listen.Service{
			ServiceName: "callers", Address: p.settings.Listen, TLS: p.settings.TLS, Needs: []string{"follow", "internal"},
			Server: func(*kernel.Registry) (*http.Server, error) { return server.HTTPServer(), nil },
			Logger: server.Logger,
		},
	}
	for _, s := range services {
		if err := registry.Register(s); err != nil {
			return nil, err
		}
	}
	return registry, registry.Provision()
}

// stop drains the host and then closes its listeners. Neither listener is closed
// while a request is in progress, unless the drain timeout has passed or the
// operator sent a second signal; then the requests in progress are answered.
func (p *Program) stop(ctx context.Context, server *Server, registry *kernel.Registry) error {
	timeout := p.settings.DrainTimeout.Std()
	draining, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if timeout > 0 {
		draining, cancel = context.WithTimeout(draining, timeout-drain.AnswerMargin(timeout))
		defer cancel()
	}
	defer context.AfterFunc(cli.Forced(ctx), cancel)()
	end, _ := draining.Deadline()
	server.beginDrain(end)
	closing, closeAll := context.WithCancel(context.WithoutCancel(ctx))
	defer closeAll()
	defer context.AfterFunc(draining, func() {
		server.drain.End()
		time.AfterFunc(drain.AnswerMargin(timeout), closeAll)
	})()
	drainErr := server.Drain(draining)
	flush, cancelFlush := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancelFlush()
	if drainErr == nil {
		server.recorder.flush(flush)
	}
	// A request that came in after the last one ended is served under the same
	// bound; without one it may take as long as it needs.
	stopErr := registry.Stop(closing)
	if drainErr != nil {
		return errors.New("stopped with requests in progress: " + drainErr.Error())
	}
	return stopErr
}

func (p *Program) newServer(logger zerolog.Logger, metrics *telemetry.Metrics) (*Server, error) {
	answers := membudget.New(p.settings.BufferMB<<20, answerMultiple)
	client, err := forward.NewClient(tlsconf.TransportOptions{
		TLS: p.settings.UpstreamTLS, ConnsPerHost: connsPerReplica, IdlePerHost: connsPerReplica,
		Translations: p.settings.Translations,
	}, answers)
	if err != nil {
		return nil, err
	}
	internal, internalScheme, err := tlsconf.NewTransport(tlsconf.TransportOptions{TLS: p.settings.InternalTLS, IdlePerHost: idleInternal})
	if err != nil {
		return nil, err
	}
	return NewServer(Dependencies{
		Settings: p.settings,
		Logger:   logger,
		Scheduler: scheduler.New(scheduler.Options{
			Host: p.settings.Host, AvailabilityZone: p.settings.AvailabilityZone,
			Clock: clockwork.NewRealClock(), Seed: uint64(time.Now().UnixNano()),
		}),
		Forward:        client,
		AnswerMemory:   answers,
		BodyMemory:     membudget.New(p.settings.BufferMB<<20, bodyMultiple),
		Feed:           rpc.NewFeedProtobufClient(internalScheme+"://"+p.settings.Control, &http.Client{Transport: httphead.NewTransport(internal)}),
		Metrics:        metrics.Scope,
		MetricsHandler: metrics.Handler,
	}), nil
}

// followService keeps the bundle and view up to date, reports to control and
// hands over outcomes.
type followService struct{ server *Server }

func (f *followService) Name() string { return "follow" }

func (f *followService) Start(ctx context.Context) error {
	go f.server.Follow(ctx)
	go f.server.Tick(ctx)
	go f.server.Report(ctx)
	go f.server.AskHeld(ctx)
	go f.server.recorder.run(ctx)
	return nil
}
