// Package listen runs an HTTP server as a service of a program's kernel.
package listen

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"heatherbarrow/internal/kernel"
	"heatherbarrow/internal/telemetry"
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
	Logger zerolog.Logger // takes the messages of net/http
	// Wrap wraps each connection accepted; none when nil.
	Wrap func(net.Conn) net.Conn

	server      *http.Server
	connections *connections
	listener    net.Listener
	served      chan struct{} // closed when nothing is accepted any longer
}

// Name implements kernel.Service.
func (s *Service) Name() string { return s.ServiceName }

// Dependencies implements kernel.Dependent.
func (s *Service) Dependencies() []string { return s.Needs }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(r *kernel.Registry) (err error) {
	s.server, err = s.Server(r)
	if err != nil {
		return err
	}
	s.connections = newConnections()
	s.server.ErrorLog = telemetry.NewErrorLog(s.Logger, s.ServiceName)
	s.server.ConnState = s.connections.setState
	return nil
}

// Start implements kernel.Starter. The address is open when it returns.
func (s *Service) Start(ctx context.Context) error {
	wraps := []func(net.Conn) net.Conn{noteFirstByte}
	if s.Wrap != nil {
		wraps = []func(net.Conn) net.Conn{s.Wrap, noteFirstByte}
	}
	listener, err := tlsconf.Listen(ctx, s.Address, s.TLS, wraps...)
	if err != nil {
		return err
	}
	s.listener, s.served = listener, make(chan struct{})
	go func() {
		defer close(s.served)
		_ = s.server.Serve(listener)
	}()
	return nil
}

// Stop implements kernel.Stopper. It closes the listener, waits for requests in
// progress while ctx lasts, and then closes their connections. Connections without
// a request are closed after a short wait.
func (s *Service) Stop(ctx context.Context) error {
	_ = s.listener.Close()
	<-s.served
	s.awaitFirstRequests(ctx)
	stopped := make(chan struct{})
	defer close(stopped)
	go s.closeUnused(stopped)
	err := s.server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return s.server.Close()
	}
	return err
}

// awaitFirstRequests waits until connections opened shortly before the stop have
// brought their requests. It comes before the shutdown, in which net/http closes a
// connection whose request has just been read, without an answer.
func (s *Service) awaitFirstRequests(ctx context.Context) {
	for s.connections.expected(time.Now()) && ctx.Err() == nil {
		time.Sleep(stopInterval)
	}
}

// closeUnused closes connections without a request until stopped is closed.
func (s *Service) closeUnused(stopped <-chan struct{}) {
	began := time.Now()
	ticker := time.NewTicker(stopInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stopped:
			return
		case <-ticker.C:
		}
		for _, conn := range s.connections.unused(began, time.Now()) {
			_ = conn.Close()
		}
	}
}
