package gateway

import (
	"cmp"
	"slices"
	"time"

	"heatherbarrow/internal/cli"
	"heatherbarrow/internal/rpc"
)

// status returns this host's state for operators: its configuration, its view of the
// replicas and the engine speeds, and the number of refused requests by reason.
func (p *Program) status() *rpc.GatewayStatus {
	const permille = 1000
	now := time.Now()
	origin := p.state.ConfigOrigin()
	out := &rpc.GatewayStatus{
		Host: p.settings.Host, AvailabilityZone: p.settings.AvailabilityZone, Started: p.started.UnixMilli(),
		Ready: p.server.Ready(), ConfigVersion: p.state.ConfigVersion(), ConfigSource: string(origin.Source),
		StoreReachable: p.state.StoreReachable(), FollowsStore: p.role.Following(), SpeaksForZone: p.peers.IsZoneSpeaker(), HostsHeard: uint32(p.fleet.Hosts()),
		RequestsInProgress: uint32(p.server.Active()), MembersRevision: p.state.MembersRevision(), Build: cli.Build(), Duties: p.duties.status(now),
	}
	if !origin.At.IsZero() {
		out.ConfigAgeMs = now.Sub(origin.At).Milliseconds()
	}
	for _, v := range p.fleet.Views(now) {
		out.Replicas = append(out.Replicas, &rpc.GatewayReplica{
			Id: v.Member.ID, Upstream: v.Member.Upstream, Address: v.Member.Address, AvailabilityZone: v.Member.Zone,
			State: string(v.State), Running: uint32(v.Running), BacklogMs: uint32(v.Backlog.Milliseconds()),
			FailingPermille: uint32(v.FailureRate * permille), SlownessPermille: uint32(v.Slowness * permille),
			SoftwareVersion: v.Member.SoftwareVersion, Limited: v.Limit.Limited, LimitPerSecond: v.Limit.PerSecond,
		})
	}
	slices.SortFunc(out.Replicas, func(a, b *rpc.GatewayReplica) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Id, b.Id))
	})
	for reason, requests := range p.server.Refusals() {
		out.Refusals = append(out.Refusals, &rpc.GatewayRefusals{Reason: reason, Requests: requests})
	}
	slices.SortFunc(out.Refusals, func(a, b *rpc.GatewayRefusals) int { return cmp.Compare(a.Reason, b.Reason) })
	out.RefusedParts = rpc.SuspectParts(p.fleet.RefusedParts(now), now)
	for _, speed := range p.fleet.Speeds() {
		m := speed.Model
		out.Speeds = append(out.Speeds, &rpc.GatewaySpeed{
			Upstream: speed.Upstream, PromptTokensPerMs: m.PrefillTokensPerMs, Samples: speed.Prompts.Weight,
			FirstMs: milliseconds(m.First), StepMs: milliseconds(m.Step), StepPerRequestMs: milliseconds(m.StepPerRequest),
		})
	}
	slices.SortFunc(out.Speeds, func(a, b *rpc.GatewaySpeed) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
