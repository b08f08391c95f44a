package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"

	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/claims"
	"heatherbarrow/internal/kernel"
	"heatherbarrow/internal/rpc"
)

const (
	// maxWatchWait bounds how long a watch of the router may wait.
	maxWatchWait = 30 * time.Second
	// agedAfter is the age of a view from which its ages are corrected before it
	// is sent.
	agedAfter = 20 * time.Millisecond
)

// FeedServer implements rpc.Feed for the router on this host.
type FeedServer struct {
	drainReport atomic.Int64 // unix nanoseconds of the last report of a draining router

	bus     *bus.Bus
	loop    *Loop
	lookup  *Lookup
	claimer claims.Claimer
}

// Name implements kernel.Service.
func (f *FeedServer) Name() string { return ServiceFeed }

// Dependencies implements kernel.Dependent.
func (f *FeedServer) Dependencies() []string {
	return []string{ServiceBus, ServiceLoop, ServiceLookup, ServiceClaimer}
}

// Provision implements kernel.Provisioner.
func (f *FeedServer) Provision(r *kernel.Registry) (err error) {
	if f.bus, err = kernel.Lookup[*bus.Bus](r, ServiceBus); err != nil {
		return err
	}
	if f.loop, err = kernel.Lookup[*Loop](r, ServiceLoop); err != nil {
		return err
	}
	if f.lookup, err = kernel.Lookup[*Lookup](r, ServiceLookup); err != nil {
		return err
	}
	f.claimer, err = kernel.Lookup[claims.Claimer](r, ServiceClaimer)
	return err
}

// Watch implements rpc.Feed.
func (f *FeedServer) Watch(ctx context.Context, request *rpc.WatchRequest) (*rpc.WatchResponse, error) {
	wait := min(time.Duration(request.WaitMs)*time.Millisecond, maxWatchWait)
	s := f.loop.Wait(ctx, request.Generation, request.ViewVersion, wait)
	response := &rpc.WatchResponse{NotReady: s.NotReady}
	if s.Bundle != nil && s.Bundle.Generation > request.Generation {
		response.Bundle = s.Bundle
	}
	if s.View.Version != request.ViewVersion {
		response.View = aged(s.View, f.loop.opts.Clock.Since(s.ViewAt))
	}
	return response, nil
}

// aged returns the view with its ages and remaining times corrected by d.
func aged(v *rpc.View, d time.Duration) *rpc.View {
	if d < agedAfter {
		return v
	}
	add := millisOf(d)
	out := &rpc.View{
		Version: v.Version, Hosts: v.Hosts, Quarantine: v.Quarantine, HostsInZone: v.HostsInZone, ZoneCount: v.ZoneCount,
		Replicas: make([]*rpc.ReplicaState, len(v.Replicas)),
	}
	for _, l := range v.Limits {
		out.Limits = append(out.Limits, &rpc.StatedLimit{
			Upstream: l.Upstream, Replica: l.Replica, Limited: l.Limited, PerSecond: l.PerSecond, AgeMs: l.AgeMs + add,
		})
	}
	for _, p := range v.SuspectParts {
		part := &rpc.SuspectPart{Part: p.Part, Released: p.Released, Quarantined: p.Quarantined, ExpiresInS: p.ExpiresInS}
		for _, c := range p.Crashes {
			part.Crashes = append(part.Crashes, &rpc.PartCrash{Replica: c.Replica, AgeMs: c.AgeMs + add})
		}
		out.SuspectParts = append(out.SuspectParts, part)
	}
	for i, r := range v.Replicas {
		out.Replicas[i] = &rpc.ReplicaState{
			Upstream: r.Upstream, Replica: r.Replica, State: r.State, Mark: r.Mark, Role: r.Role, Models: r.Models, UnlistedModels: r.UnlistedModels,
			HasLoad: r.HasLoad, Running: r.Running, Waiting: r.Waiting, TokensPerSecond: r.TokensPerSecond,
			ReportAgeMs: r.ReportAgeMs + add,
		}
	}
	for _, share := range v.Shares {
		if share.ValidMs > add {
			out.Shares = append(out.Shares, &rpc.TeamShare{
				Team: share.Team, TokensPerSecond: share.TokensPerSecond, InProgress: share.InProgress, ValidMs: share.ValidMs - add,
			})
		}
	}
	return out
}

// Report implements rpc.Feed.
func (f *FeedServer) Report(_ context.Context, request *rpc.ReportRequest) (*rpc.ReportResponse, error) {
	f.noteReport(request)
	if err := f.bus.Publish(UsageReported{Report: request}); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "control is stopping")
	}
	return &rpc.ReportResponse{}, nil
}

// routerGoneAfter is the time without a report after which a draining router
// counts as gone.
const routerGoneAfter = 3 * time.Second

func (f *FeedServer) noteReport(request *rpc.ReportRequest) {
	if request.Draining {
		f.drainReport.Store(time.Now().UnixNano())
	} else {
		f.drainReport.Store(0)
	}
}

// RouterDraining tells whether the router on this host has lately reported that
// it drains.
func (f *FeedServer) RouterDraining() bool {
	return time.Since(time.Unix(0, f.drainReport.Load())) < routerGoneAfter
}

// ReportCrash implements rpc.Feed. The answer has all entries with this one changed,
// so that the router need not wait for the next view.
func (f *FeedServer) ReportCrash(_ context.Context, request *rpc.CrashRequest) (*rpc.CrashResponse, error) {
	e := &CrashReported{Request: request}
	if err := f.bus.Publish(e); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "control is stopping")
	}
	return &rpc.CrashResponse{Quarantine: e.Entries, SuspectParts: e.Parts}, nil
}

// Claim implements rpc.Feed.
func (f *FeedServer) Claim(ctx context.Context, request *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMs)*time.Millisecond)
	defer cancel()
	return f.claimer.Claim(ctx, request), nil
}

// RecordOutcome implements rpc.Feed.
func (f *FeedServer) RecordOutcome(ctx context.Context, request *rpc.OutcomeRequest) (*rpc.OutcomeResponse, error) {
	if err := f.claimer.RecordOutcome(ctx, request); err != nil {
		return nil, err
	}
	return &rpc.OutcomeResponse{}, nil
}

// Lookup implements rpc.Feed.
func (f *FeedServer) Lookup(ctx context.Context, request *rpc.LookupRequest) (*rpc.StoredAnswer, error) {
	return f.lookup.Find(ctx, request)
}
