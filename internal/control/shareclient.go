package control

import (
	"context"
	"time"

	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/kernel"
	"heatherbarrow/internal/rpc"
)

const (
	shareInterval = time.Second
	shareTimeout  = 800 * time.Millisecond
)

// ShareClient asks the coordinators for shares of the teams that need more than
// their floors on this host.
type ShareClient struct {
	Host string

	bus   *bus.Bus
	peers *PeerProvider
}

// Name implements kernel.Service.
func (c *ShareClient) Name() string { return ServiceShares }

// Dependencies implements kernel.Dependent.
func (c *ShareClient) Dependencies() []string {
	return []string{ServiceBus, ServiceLoop, ServicePeerProvider}
}

// Provision implements kernel.Provisioner.
func (c *ShareClient) Provision(r *kernel.Registry) (err error) {
	if c.bus, err = kernel.Lookup[*bus.Bus](r, ServiceBus); err != nil {
		return err
	}
	c.peers, err = kernel.Lookup[*PeerProvider](r, ServicePeerProvider)
	return err
}

// Start implements kernel.Starter.
func (c *ShareClient) Start(ctx context.Context) error {
	go c.peers.repeat(ctx, shareInterval, c.ask)
	return nil
}

func (c *ShareClient) ask(ctx context.Context) {
	due := &SharesDue{}
	if c.bus.Publish(due) != nil {
		return
	}
	for coordinator, demand := range due.ByCoordinator {
		request := &rpc.ShareRequest{Host: c.Host, Demand: demand}
		if coordinator == c.Host {
			c.askSelf(request)
			continue
		}
		if address := due.Addresses[coordinator]; address != "" {
			go c.askPeer(ctx, address, request)
		}
	}
}

func (c *ShareClient) askSelf(request *rpc.ShareRequest) {
	asked := time.Now()
	e := &SharesRequested{Request: request}
	if c.bus.Publish(e) == nil && len(e.Shares) > 0 {
		_ = c.bus.Publish(SharesGranted{Shares: e.Shares, AskedAt: asked})
	}
}

// askPeer leaves an unanswered question to the next round; the floor remains.
func (c *ShareClient) askPeer(ctx context.Context, address string, request *rpc.ShareRequest) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	asked := time.Now()
	response, err := c.peers.Client(address).GetShares(ctx, request)
	if err == nil && len(response.Shares) > 0 {
		_ = c.bus.Publish(SharesGranted{Shares: response.Shares, AskedAt: asked})
	}
}
