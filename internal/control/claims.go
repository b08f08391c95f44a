package control

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"heatherbarrow/internal/claims"
	"heatherbarrow/internal/kernel"
	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/rpc"
)

// defaultClaimRetention applies while the host has no bundle.
const defaultClaimRetention = 24 * time.Hour

// ClaimService offers the claims of this host to its router and writes claims
// for other hosts. It implements claims.Claimer and ClaimAppender.
type ClaimService struct {
	Host   string
	Store  *objectstore.Client
	Peers  *http.Client // to the peer services of other hosts
	Scheme string       // of the peer services' URLs
	Logger zerolog.Logger
	Scope  tally.Scope

	loop    *Loop
	service *claims.Service
	results claimCounters
}

// Name implements kernel.Service.
func (c *ClaimService) Name() string { return ServiceClaimer }

// Dependencies implements kernel.Dependent.
func (c *ClaimService) Dependencies() []string { return []string{ServiceLoop} }

// Provision implements kernel.Provisioner.
func (c *ClaimService) Provision(r *kernel.Registry) (err error) {
	if c.loop, err = kernel.Lookup[*Loop](r, ServiceLoop); err != nil {
		return err
	}
	c.results = newClaimCounters(c.Scope)
	c.service = claims.New(claims.Options{
		Store:     c.Store,
		Host:      c.Host,
		Logger:    c.Logger,
		Hosts:     func() []claims.Host { return liveHosts(c.loop.State().View) },
		Dial:      c.dial,
		Retention: c.retention,
	})
	return nil
}

func (c *ClaimService) dial(h claims.Host) claims.Appender {
	return rpc.NewPeerProtobufClient(c.Scheme+"://"+h.Address, c.Peers)
}

func (c *ClaimService) retention() time.Duration {
	if parsed := c.loop.State().Parsed; parsed != nil {
		return parsed.Limits.ClaimRetention.Std()
	}
	return defaultClaimRetention
}

// Start implements kernel.Starter.
func (c *ClaimService) Start(context.Context) error {
	c.service.Start()
	return nil
}

// Stop implements kernel.Stopper.
func (c *ClaimService) Stop(context.Context) error {
	c.service.Close()
	return nil
}

// Claim implements claims.Claimer.
func (c *ClaimService) Claim(ctx context.Context, request *rpc.ClaimRequest) *rpc.ClaimResponse {
	response := c.service.Claim(ctx, request)
	c.results.count(response.Result)
	return response
}

// RecordOutcome implements claims.Claimer.
func (c *ClaimService) RecordOutcome(ctx context.Context, request *rpc.OutcomeRequest) error {
	return c.service.RecordOutcome(ctx, request)
}

// AppendClaims implements ClaimAppender.
func (c *ClaimService) AppendClaims(ctx context.Context, request *rpc.AppendClaimsRequest) (*rpc.AppendClaimsResponse, error) {
	return c.service.AppendClaims(ctx, request)
}

func liveHosts(view *rpc.View) []claims.Host {
	var out []claims.Host
	for _, h := range view.Hosts {
		if h.State == rpc.State_STATE_LIVE && h.PeerAddress != "" {
			out = append(out, claims.Host{Name: h.Host, Address: h.PeerAddress})
		}
	}
	return out
}
