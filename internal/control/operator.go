package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/kernel"
	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/rpc"
)

// platformFresh is how recent the platform's last answer must be for a watcher
// to call it reachable: a watch alone may wait 10 s, but lists come each second.
const platformFresh = 3 * time.Second

// LeaseReporter is a service that knows who holds the zone's lease. It is
// optional; it registers itself as ServiceLease.
type LeaseReporter interface {
	LeaseHolder() string
}

// OperatorServer implements rpc.Operator for hbctl.
type OperatorServer struct {
	bus      *bus.Bus
	loop     *Loop
	lookup   *Lookup
	platform *objectstore.Client
	answers  rpc.Answers
	lease    LeaseReporter
}

// Name implements kernel.Service.
func (o *OperatorServer) Name() string { return ServiceOperator }

// Dependencies implements kernel.Dependent.
func (o *OperatorServer) Dependencies() []string {
	return []string{ServiceBus, ServiceLoop, ServiceLookup, ServiceStore, ServiceAnswers}
}

// Provision implements kernel.Provisioner.
func (o *OperatorServer) Provision(r *kernel.Registry) (err error) {
	if o.bus, err = kernel.Lookup[*bus.Bus](r, ServiceBus); err != nil {
		return err
	}
	if o.loop, err = kernel.Lookup[*Loop](r, ServiceLoop); err != nil {
		return err
	}
	if o.lookup, err = kernel.Lookup[*Lookup](r, ServiceLookup); err != nil {
		return err
	}
	store, err := kernel.Lookup[*StoreService](r, ServiceStore)
	if err != nil {
		return err
	}
	o.platform = store.Store.Platform
	answers, err := kernel.Lookup[*AnswersService](r, ServiceAnswers)
	if err != nil {
		return err
	}
	o.answers = answers.Answers
	if lease, err := kernel.Lookup[LeaseReporter](r, ServiceLease); err == nil {
		o.lease = lease
	}
	return nil
}

// Status implements rpc.Operator.
func (o *OperatorServer) Status(context.Context, *rpc.StatusRequest) (*rpc.StatusResponse, error) {
	e := &StatusDue{}
	if err := o.bus.Publish(e); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "control is stopping")
	}
	s := o.loop.State()
	response := &rpc.StatusResponse{
		Self: e.Self, NotReady: s.NotReady, Replicas: e.Replicas, Hosts: e.Hosts, Quarantine: e.Quarantine, SuspectParts: e.Parts, Zones: e.Zones, Classes: e.Classes,
		WatchesPlatform: s.Topology.Watching, PlatformCalls: o.platform.Calls(), PlatformLastOkMs: -1,
	}
	if last := o.platform.LastAnswer(); !last.IsZero() {
		response.PlatformLastOkMs = time.Since(last).Milliseconds()
		response.PlatformReachable = !e.Self.PlatformFailed && (!s.Topology.Watching || time.Since(last) < platformFresh)
	}
	if o.lease != nil {
		response.LeaseHolder = o.lease.LeaseHolder()
	}
	if b := s.Bundle; b != nil {
		response.Bundle = &rpc.BundleRecord{
			Generation: b.Generation, Sha256: b.Sha256, Author: b.Author, Approver: b.Approver, ApprovedUnixMs: b.ApprovedUnixMs,
		}
		response.BundleAgeMs = time.Since(s.InForceAt).Milliseconds()
	}
	return response, nil
}

// Drain implements rpc.Operator. Peers hear first that the host leaves.
func (o *OperatorServer) Drain(ctx context.Context, request *rpc.DrainRequest) (*rpc.DrainResponse, error) {
	if err := o.bus.Publish(LeaveRequested{}); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "control is stopping")
	}
	return o.answers.Drain(ctx, request)
}

// ReleaseQuarantine implements rpc.Operator.
func (o *OperatorServer) ReleaseQuarantine(_ context.Context, request *rpc.ReleaseRequest) (*rpc.ReleaseResponse, error) {
	e := &ReleaseRequested{Fingerprint: request.Fingerprint}
	if err := o.bus.Publish(e); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "control is stopping")
	}
	return &rpc.ReleaseResponse{Found: e.Found}, nil
}

// Lookup implements rpc.Operator.
func (o *OperatorServer) Lookup(ctx context.Context, request *rpc.LookupRequest) (*rpc.StoredAnswer, error) {
	return o.lookup.Find(ctx, request)
}

// status answers StatusDue in the control goroutine.
func (l *Loop) status(e *StatusDue, now time.Time) {
	self := l.table.Self()
	e.Replicas = l.table.Replicas(now)
	e.Hosts = l.table.Hosts(now)
	e.Quarantine, _ = l.table.Quarantine()
	e.Parts = rpc.SuspectParts(l.table.RefusedParts(now), now)
	e.Self = self
	e.Classes = l.classes.status(l.State().Parsed, now)
	for _, zone := range l.table.Zones() {
		e.Zones = append(e.Zones, l.zoneStatus(zone, e.Hosts, now))
	}
}

func (l *Loop) zoneStatus(zone string, hosts []*rpc.HostState, now time.Time) *rpc.ZoneStatus {
	z := &rpc.ZoneStatus{AvailabilityZone: zone, ListedHosts: uint32(l.table.ListedHostCount(zone)), LastHeardMs: -1}
	if last := l.table.LatestHeartbeat(zone); !last.IsZero() {
		z.LastHeardMs = now.Sub(last).Milliseconds()
	}
	for _, h := range hosts {
		if h.AvailabilityZone != zone || h.State == rpc.State_STATE_DEAD || h.State == rpc.State_STATE_UNKNOWN {
			continue
		}
		if z.LiveHosts == 0 || h.Generation < z.Generation {
			z.Generation = h.Generation
		}
		z.LiveHosts++
	}
	return z
}
