package router

import (
	"context"
	"sync"

	"heatherbarrow/internal/rpc"
)

// Answers implements rpc.Answers for control on this host.
type Answers struct {
	server *Server
	exit   chan struct{}
	once   sync.Once
}

// NewAnswers returns the service for control on this host.
func NewAnswers(server *Server) *Answers {
	return &Answers{server: server, exit: make(chan struct{})}
}

// Exit is closed when control asked the process to drain and stop.
func (a *Answers) Exit() <-chan struct{} { return a.exit }

// Lookup implements rpc.Answers.
func (a *Answers) Lookup(_ context.Context, request *rpc.LookupRequest) (*rpc.StoredAnswer, error) {
	return a.server.lookup(request.RequestId, request.Team), nil
}

// Drain implements rpc.Answers. It starts the drain and does not wait for it.
func (a *Answers) Drain(_ context.Context, request *rpc.DrainRequest) (*rpc.DrainResponse, error) {
	inProgress := a.server.inFlight.Load()
	go func() { _ = a.server.Drain(context.Background()) }()
	if request.Exit {
		a.once.Do(func() { close(a.exit) })
	}
	return &rpc.DrainResponse{InProgress: uint32(inProgress)}, nil
}
