// Package listen runs an HTTP server as a service of a program's kernel.
package listen

import (
	"context"
	"errors"
	"net/http"

	"heatherbarrow/internal/kernel"
	"heatherbarrow/internal/tlsconf"
)

// Service serves HTTP on one address while it is started.
type Service struct {
	ServiceName string
	Address     string        // IP:port
	TLS         tlsconf.Files // plain text when empty
	Needs       []string      // names of the services that must be started before
	// Server makes the server. It is called when the services in Needs are provisioned.
	Server func(r *kernel.Registry) (*http.Server, error)

	server *http.Server
}

// Name implements kernel.Service.
func (s *Service) Name() string { return s.ServiceName }

// Dependencies implements kernel.Dependent.
func (s *Service) Dependencies() []string { return s.Needs }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(r *kernel.Registry) (err error) {
	s.server, err = s.Server(r)
	return err
}

// Start implements kernel.Starter. The address is open when it returns.
func (s *Service) Start(ctx context.Context) error {
	listener, err := tlsconf.Listen(ctx, s.Address, s.TLS)
	if err != nil {
		return err
	}
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

// Stop implements kernel.Stopper. It closes the listener, waits for requests in
// progress while ctx lasts, and then closes their connections.
func (s *Service) Stop(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return s.server.Close()
	}
	return err
}
