package control

import (
	"context"
	"time"

	"heatherbarrow/internal/claims"
	"heatherbarrow/internal/rpc"
)

// maxWatchWait bounds how long a watch of the router may wait.
const maxWatchWait = 30 * time.Second

// FeedServer implements rpc.Feed for the router on this host.
type FeedServer struct {
	Loop    *Loop
	Claimer claims.Claimer
	Answers rpc.Answers // the router on this host
}

// Watch implements rpc.Feed.
func (f *FeedServer) Watch(ctx context.Context, request *rpc.WatchRequest) (*rpc.WatchResponse, error) {
	wait := min(time.Duration(request.WaitMs)*time.Millisecond, maxWatchWait)
	s := f.Loop.Wait(ctx, request.Generation, request.ViewVersion, wait)
	response := &rpc.WatchResponse{NotReady: s.NotReady}
	if s.Bundle != nil && s.Bundle.Generation > request.Generation {
		response.Bundle = s.Bundle
	}
	if s.View.Version != request.ViewVersion {
		response.View = s.View
	}
	return response, nil
}

// Report implements rpc.Feed.
func (f *FeedServer) Report(context.Context, *rpc.ReportRequest) (*rpc.ReportResponse, error) {
	return &rpc.ReportResponse{}, nil
}

// ReportCrash implements rpc.Feed.
func (f *FeedServer) ReportCrash(context.Context, *rpc.CrashRequest) (*rpc.CrashResponse, error) {
	return &rpc.CrashResponse{}, nil
}

// Claim implements rpc.Feed.
func (f *FeedServer) Claim(ctx context.Context, request *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMs)*time.Millisecond)
	defer cancel()
	return f.Claimer.Claim(ctx, request), nil
}

// RecordOutcome implements rpc.Feed.
func (f *FeedServer) RecordOutcome(ctx context.Context, request *rpc.OutcomeRequest) (*rpc.OutcomeResponse, error) {
	if err := f.Claimer.RecordOutcome(ctx, request); err != nil {
		return nil, err
	}
	return &rpc.OutcomeResponse{}, nil
}

// Lookup implements rpc.Feed.
func (f *FeedServer) Lookup(ctx context.Context, request *rpc.LookupRequest) (*rpc.StoredAnswer, error) {
	return f.Answers.Lookup(ctx, request)
}

// OperatorServer implements rpc.Operator for hbctl.
type OperatorServer struct {
	Settings *Settings
	Loop     *Loop
	Answers  rpc.Answers
}

// Status implements rpc.Operator.
func (o *OperatorServer) Status(context.Context, *rpc.StatusRequest) (*rpc.StatusResponse, error) {
	s := o.Loop.State()
	response := &rpc.StatusResponse{
		Self:     &rpc.HostState{Host: o.Settings.Host, AvailabilityZone: o.Settings.AvailabilityZone, State: rpc.State_STATE_LIVE},
		NotReady: s.NotReady,
		Replicas: s.View.Replicas,
		Hosts:    s.View.Hosts,
	}
	if s.Bundle != nil {
		response.Self.Generation = s.Bundle.Generation
		response.Bundle = &rpc.BundleRecord{Generation: s.Bundle.Generation, Sha256: s.Bundle.Sha256, Author: s.Bundle.Author, Approver: s.Bundle.Approver}
	}
	return response, nil
}

// Drain implements rpc.Operator.
func (o *OperatorServer) Drain(ctx context.Context, request *rpc.DrainRequest) (*rpc.DrainResponse, error) {
	return o.Answers.Drain(ctx, request)
}

// ReleaseQuarantine implements rpc.Operator.
func (o *OperatorServer) ReleaseQuarantine(context.Context, *rpc.ReleaseRequest) (*rpc.ReleaseResponse, error) {
	return &rpc.ReleaseResponse{}, nil
}

// Lookup implements rpc.Operator.
func (o *OperatorServer) Lookup(ctx context.Context, request *rpc.LookupRequest) (*rpc.StoredAnswer, error) {
	return o.Answers.Lookup(ctx, request)
}
