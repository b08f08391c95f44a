package control

import (
	"context"
	"errors"
	"net/http"

	"heatherbarrow/internal/kernel"
	"heatherbarrow/internal/rollout"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/tlsconf"
)

// Names under which the services of heatherbarrow-control find each other.
const (
	ServiceBus              = "bus"
	ServiceLoop             = "loop"
	ServiceStore            = "store"
	ServiceAnswers          = "answers"
	ServiceClaimer          = "claimer"
	ServiceLease            = "lease" // optional, a LeaseReporter
	ServicePlatformProvider = "platform provider"
	ServicePeerProvider     = "peer provider"
	ServicePeerServer       = "peer server"
	ServiceLoadObserver     = "load observer"
	ServiceQuarantine       = "quarantine keeper"
	ServiceShares           = "share client"
	ServiceLookup           = "lookup"
	ServiceFeed             = "feed"
	ServiceOperator         = "operator"
	ServiceMetrics          = "metrics"
)

// StoreService offers the platform's objects.
type StoreService struct{ Store *rollout.Store }

// Name implements kernel.Service.
func (s *StoreService) Name() string { return ServiceStore }

// AnswersService offers the router on this host.
type AnswersService struct{ Answers rpc.Answers }

// Name implements kernel.Service.
func (a *AnswersService) Name() string { return ServiceAnswers }

// listenService serves one handler on one address. The handler is made from the
// registry, once its services are provisioned.
type listenService struct {
	name    string
	address string
	files   tlsconf.Files
	needs   []string
	handler func(r *kernel.Registry) (http.Handler, error)
	server  *http.Server
}

func (l *listenService) Name() string           { return l.name }
func (l *listenService) Dependencies() []string { return l.needs }

func (l *listenService) Provision(r *kernel.Registry) error {
	handler, err := l.handler(r)
	l.server = &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	return err
}

func (l *listenService) Start(ctx context.Context) error {
	listener, err := tlsconf.Listen(ctx, l.address, l.files)
	if err != nil {
		return err
	}
	go func() { _ = l.server.Serve(listener) }()
	return nil
}

// Stop closes connections that are still in use after the grace period: a
// router's watch may wait for long.
func (l *listenService) Stop(ctx context.Context) error {
	if err := l.server.Shutdown(ctx); errors.Is(err, context.DeadlineExceeded) {
		return l.server.Close()
	}
	return nil
}
