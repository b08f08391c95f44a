package control

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/kernel"
	"heatherbarrow/internal/lease"
	"heatherbarrow/internal/membership"
	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/placement"
	"heatherbarrow/internal/rpc"
)

const (
	placementInterval = time.Second
	// leaseCandidates is how many hosts of a zone look at its lease, so that a
	// large zone does not spend its share of the platform's reads on it.
	leaseCandidates = 2
)

// PlacementService holds the zone's lease where it can, and places the zone's
// models while it does. It implements LeaseReporter.
type PlacementService struct {
	Host   string
	Zone   string
	Store  *objectstore.Client
	Sender placement.Sender
	Logger zerolog.Logger

	bus     *bus.Bus
	loop    *Loop
	holder  *lease.Holder
	manager *placement.Manager
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// Name implements kernel.Service.
func (p *PlacementService) Name() string { return ServiceLease }

// Dependencies implements kernel.Dependent.
func (p *PlacementService) Dependencies() []string { return []string{ServiceBus, ServiceLoop} }

// Provision implements kernel.Provisioner.
func (p *PlacementService) Provision(r *kernel.Registry) (err error) {
	if p.bus, err = kernel.Lookup[*bus.Bus](r, ServiceBus); err != nil {
		return err
	}
	if p.loop, err = kernel.Lookup[*Loop](r, ServiceLoop); err != nil {
		return err
	}
	clock := clockwork.NewRealClock()
	p.holder = lease.New(lease.Options{
		Store: p.Store, Name: p.Zone, Host: p.Host, Clock: clock, Logger: p.Logger,
		Candidate: func() bool { return leaseCandidate(p.Host, p.Zone, p.loop.State().View) },
	})
	p.manager = &placement.Manager{
		Zone: p.Zone, Lease: p.holder, Store: p.Store, Logger: p.Logger,
		Source:  &placement.ViewSource{Zone: p.Zone, Clock: clock, State: p.state, Demand: p.demand},
		Planner: &placement.Planner{Clock: clock},
		Dispatcher: &placement.Dispatcher{
			Zone: p.Zone, Lease: p.holder, Sender: p.Sender, Clock: clock, Logger: p.Logger,
		},
	}
	return nil
}

func (p *PlacementService) state() (*bundle.Bundle, *rpc.View, time.Time) {
	s := p.loop.State()
	return s.Parsed, s.View, s.ViewAt
}

// demand returns nothing when control is stopping; nothing is placed then.
func (p *PlacementService) demand() membership.ZoneDemand {
	e := &DemandDue{}
	if p.bus.Publish(e) != nil {
		return membership.ZoneDemand{MissingHosts: []string{p.Host}}
	}
	return e.Demand
}

// Start implements kernel.Starter.
func (p *PlacementService) Start(ctx context.Context) error {
	ctx, p.cancel = context.WithCancel(ctx)
	p.running.Go(func() {
		for ctx.Err() == nil {
			if err := p.manager.Step(ctx); err != nil {
				p.Logger.Debug().Err(err).Str("zone", p.Zone).Msg("placement step failed")
			}
			pause(ctx, placementInterval)
		}
	})
	p.running.Go(func() { p.holder.Run(ctx) })
	return nil
}

// Stop implements kernel.Stopper. It releases the lease.
func (p *PlacementService) Stop(context.Context) error {
	p.cancel()
	p.running.Wait()
	p.manager.Dispatcher.Wait()
	return nil
}

// LeaseHolder implements LeaseReporter.
func (p *PlacementService) LeaseHolder() string { return p.holder.HolderName() }

// leaseCandidate tells whether the host is among the first of its zone's live
// hosts by rendezvous hashing. A host that knows of no others is.
func leaseCandidate(host, zone string, view *rpc.View) bool {
	score := func(name string) uint64 { return xxhash.Sum64String("lease/" + zone + "/" + name) }
	higher := 0
	for _, h := range view.Hosts {
		if h.AvailabilityZone == zone && h.State == rpc.State_STATE_LIVE && h.Host != host && score(h.Host) > score(host) {
			higher++
		}
	}
	return higher < leaseCandidates
}
