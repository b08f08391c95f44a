package peers

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/origin"
	"heatherbarrow/internal/gateway/state"
	"heatherbarrow/internal/rpc"
)

// pullLoop pulls state from the peers in pullAddresses until ctx ends.
func (e *Exchange) pullLoop(ctx context.Context) {
	for {
		var pause time.Duration
		select {
		case <-ctx.Done():
			return
		case address := <-e.pullAddresses:
			pause = e.tryPull(ctx, address)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// tryPull pulls state from a peer and returns the pause before the next pull.
func (e *Exchange) tryPull(ctx context.Context, address string) time.Duration {
	err := e.pullFrom(ctx, address)
	var twirpErr twirp.Error
	switch {
	case err == nil:
	case errors.As(err, &twirpErr) && twirpErr.Code() == twirp.ResourceExhausted:
		e.opts.Logger.Debug().Str("address", address).Msg("peer is busy with other pulls")
		return busyRetryDelay + rand.N(busyRetryDelay)
	default:
		e.opts.Logger.Warn().Err(err).Str("address", address).Msg("pull failed")
	}
	return minPullInterval
}

// pullFrom pulls from a peer the configuration and the replicas that are newer than this host's,
// and publishes them to this host's state.
func (e *Exchange) pullFrom(ctx context.Context, address string) error {
	return e.pull(ctx, address, false)
}

// pull is pullFrom. With current set, the peer reads the store for that, and fails if it cannot.
func (e *Exchange) pull(ctx context.Context, address string, current bool) error {
	client := rpc.NewGatewayProtobufClient("http://"+address, e.client)
	response, err := client.Pull(ctx, &rpc.PullRequest{
		ConfigVersion: e.opts.State.ConfigVersion(), MembersEra: e.opts.State.MembersEra(), MembersAsOf: e.opts.State.MembersAsOf(),
		Current: current,
	})
	switch {
	case err != nil:
		return err
	case current && !response.Current:
		return errNotCurrent
	}
	if len(response.Config) > 0 {
		raw, err := unpackConfig(response.Config, response.ConfigCompressed)
		if err != nil {
			return err
		}
		if err := e.opts.State.Publish(state.Config{Raw: raw, Source: state.FromPeer}); err != nil {
			return err
		}
	}
	entries := make([]state.Registration, len(response.Members))
	for i, m := range response.Members {
		entries[i] = state.Registration{
			Member: fleet.Member{
				ID: m.Id, Upstream: m.Upstream, Address: m.Address, Zone: m.AvailabilityZone,
				Started: m.Started, Slots: int(m.Slots), Leaving: m.Leaving, SoftwareVersion: m.SoftwareVersion, Spot: m.Spot,
			},
			Era: m.Era, Revision: m.Revision, Removed: m.Removed, PeerHold: time.Duration(m.HeldMs) * time.Millisecond,
		}
	}
	var versions []origin.Version
	for _, v := range response.Versions {
		versions = append(versions, origin.Version{
			Origin: origin.Origin{Upstream: v.Upstream, Version: v.SoftwareVersion}, Unused: time.Duration(v.UnusedMs) * time.Millisecond,
		})
	}
	err = e.opts.State.Publish(state.Members{
		Entries: entries, Source: state.FromPeer, Complete: response.MembersComplete, AsOf: response.MembersAsOf, Era: response.MembersEra,
		Versions: versions, VersionsComplete: response.VersionsComplete,
	})
	if err == nil && current && (e.opts.State.MembersEra() != response.MembersEra || e.opts.State.MembersAsOf() < response.MembersAsOf) {
		return errNotCurrent // it knows less of the store's eras than this host
	}
	return err
}

// Status implements rpc.Gateway.
func (e *Exchange) Status(context.Context, *rpc.GatewayStatusRequest) (*rpc.GatewayStatus, error) {
	return e.opts.Status(), nil
}

// Pull implements rpc.Gateway. It returns the configuration if the caller has an older one, and
// the changes to the replica list since the revision that the caller has, or the whole list. It
// refuses a caller that has no list (MembersAsOf is 0) while maxFullPulls such pulls are being
// served, and one that asks for what the store has now if the store cannot be read.
func (e *Exchange) Pull(ctx context.Context, request *rpc.PullRequest) (*rpc.PullResponse, error) {
	s := e.opts.State
	if request.Current {
		if err := e.storeReads.do(ctx); err != nil {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
	}
	if request.MembersAsOf == 0 {
		defer e.fullPulls.Add(-1)
		if e.fullPulls.Add(1) > maxFullPulls {
			return nil, twirp.NewError(twirp.ResourceExhausted, "other hosts pull everything now")
		}
	}
	response := &rpc.PullResponse{ConfigVersion: s.ConfigVersion(), Current: request.Current}
	if response.ConfigVersion > request.ConfigVersion {
		var err error
		if response.Config, response.ConfigCompressed, err = e.packedConfig.pack(response.ConfigVersion, s.RawConfig()); err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
	}
	now := time.Now()
	response.VersionsComplete = e.opts.Origins.VersionsComplete(now)
	entries, era, asOf, complete := s.MembersSince(request.MembersEra, request.MembersAsOf)
	response.MembersEra, response.MembersAsOf, response.MembersComplete = era, asOf, complete
	for _, v := range e.opts.Origins.Recent(now) {
		response.Versions = append(response.Versions, &rpc.UpstreamVersion{
			Upstream: v.Upstream, SoftwareVersion: v.Version, UnusedMs: uint32(v.Unused.Milliseconds()),
		})
	}
	for i := range entries {
		r := &entries[i]
		response.Members = append(response.Members, &rpc.Member{
			Id: r.ID, Upstream: r.Upstream, Address: r.Address, AvailabilityZone: r.Zone, Started: r.Started,
			Slots: int32(r.Slots), Leaving: r.Leaving, Removed: r.Removed, Era: r.Era, Revision: r.Revision,
			HeldMs: uint32(r.HeldFor(now).Milliseconds()), SoftwareVersion: r.SoftwareVersion, Spot: r.Spot,
		})
	}
	if response.ConfigVersion == 0 && s.MembersRevision() == 0 {
		return nil, twirp.NewError(twirp.Unavailable, "nothing known")
	}
	slices.SortFunc(response.Members, func(a, b *rpc.Member) int { return cmp.Compare(a.Id, b.Id) })
	return response, nil
}
