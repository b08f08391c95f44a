package control

import (
	"context"
	"errors"
	"slices"

	"github.com/twitchtv/twirp"

	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/kernel"
	"heatherbarrow/internal/rpc"
)

// ClaimAppender is a service that writes claims for other hosts.
type ClaimAppender interface {
	AppendClaims(ctx context.Context, request *rpc.AppendClaimsRequest) (*rpc.AppendClaimsResponse, error)
}

// PeerServer implements rpc.Peer for other hosts.
type PeerServer struct {
	bus     *bus.Bus
	loop    *Loop
	answers rpc.Answers
	claims  ClaimAppender
}

// Name implements kernel.Service.
func (p *PeerServer) Name() string { return ServicePeerServer }

// Dependencies implements kernel.Dependent.
func (p *PeerServer) Dependencies() []string {
	return []string{ServiceBus, ServiceLoop, ServiceAnswers, ServiceClaimer}
}

// Provision implements kernel.Provisioner.
func (p *PeerServer) Provision(r *kernel.Registry) (err error) {
	if p.bus, err = kernel.Lookup[*bus.Bus](r, ServiceBus); err != nil {
		return err
	}
	if p.loop, err = kernel.Lookup[*Loop](r, ServiceLoop); err != nil {
		return err
	}
	answers, err := kernel.Lookup[*AnswersService](r, ServiceAnswers)
	if err != nil {
		return err
	}
	p.answers = answers.Answers
	p.claims, err = kernel.Lookup[ClaimAppender](r, ServiceClaimer)
	return err
}

// Exchange implements rpc.Peer.
func (p *PeerServer) Exchange(_ context.Context, message *rpc.ExchangeMessage) (*rpc.ExchangeMessage, error) {
	if message.From.GetHost() == "" || message.From.GetAvailabilityZone() == "" {
		return nil, twirp.InvalidArgumentError("from", "names no host and zone")
	}
	e := &MessageReceived{Message: message, Answer: true}
	if err := p.bus.Publish(e); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "control is stopping")
	}
	return e.Reply, nil
}

// GetBundle implements rpc.Peer.
func (p *PeerServer) GetBundle(_ context.Context, request *rpc.BundleRequest) (*rpc.BundleRecord, error) {
	record, err := p.loop.State().Transfer(request)
	if errors.Is(err, ErrNoBundle) {
		return nil, twirp.NotFoundError(err.Error())
	}
	return record, err
}

// GetShares implements rpc.Peer.
func (p *PeerServer) GetShares(_ context.Context, request *rpc.ShareRequest) (*rpc.ShareResponse, error) {
	e := &SharesRequested{Request: request}
	if err := p.bus.Publish(e); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "control is stopping")
	}
	if e.Err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, e.Err.Error())
	}
	return &rpc.ShareResponse{Shares: e.Shares}, nil
}

// AppendClaims implements rpc.Peer.
func (p *PeerServer) AppendClaims(ctx context.Context, request *rpc.AppendClaimsRequest) (*rpc.AppendClaimsResponse, error) {
	return p.claims.AppendClaims(ctx, request)
}

// Lookup implements rpc.Peer. Only the own router is asked.
func (p *PeerServer) Lookup(ctx context.Context, request *rpc.LookupRequest) (*rpc.StoredAnswer, error) {
	return p.answers.Lookup(ctx, request)
}

func sortedZones[V any](zones map[string]V) []string {
	out := make([]string, 0, len(zones))
	for zone := range zones {
		out = append(out, zone)
	}
	slices.Sort(out)
	return out
}
