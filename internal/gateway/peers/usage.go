package peers

import (
	"context"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherbarrow/internal/duty"
	"heatherbarrow/internal/gateway/state"
	"heatherbarrow/internal/rpc"
)

const (
	// usageInterval is the interval at which a host tells its usage counts. What a killed host counted since is lost.
	usageInterval = 500 * time.Millisecond
	// teamCountBytes bounds the encoded size of a team's count, besides its name.
	teamCountBytes = 16
	// leaderTimeout is the silence after which the next host of a zone gets usage counts, too. Hosts take themselves for
	// the first of their zone after 600 ms of silence of the others or more.
	leaderTimeout = 500 * time.Millisecond
	// contactTimeout is the silence after which other hosts count as out of contact. Digests arrive several
	// times a second.
	contactTimeout = 2 * time.Second
	// zoneMemory is how long a zone that is out of contact counts as a zone of the deployment.
	zoneMemory = 2 * time.Minute
)

// Usage is what the exchange of usage counts needs of the host.
type Usage interface {
	// Outgoing returns the counts of this host that are to be told now.
	Outgoing() []duty.Counts
	// Relayed returns the counts of processes that are silent, to be told too.
	Relayed() []duty.SourceCounts
	// Apply notes counts of a process, which may be this one.
	Apply(from duty.Source, c duty.Counts)
}

// usageLoop tells the usage counts of this host to the hosts that may hold the duties, regularly until ctx ends.
func (e *Exchange) usageLoop(ctx context.Context) {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.SendUsage()
		}
	}
}

// SendUsage tells the usage counts of this host to the hosts that may hold the duties.
func (e *Exchange) SendUsage() {
	recipients := e.zoneLeaders(time.Now())
	own := duty.Source{Host: e.opts.Host, Incarnation: e.incarnation}
	for _, c := range e.opts.Usage.Outgoing() {
		e.opts.Usage.Apply(own, c)
		e.sendUsageOf(recipients, own, e.opts.Listen, c)
	}
	for _, c := range e.opts.Usage.Relayed() {
		e.sendUsageOf(recipients, c.Source, "", c.Counts)
	}
}

// sendUsageOf sends counts of a source. Without an address they are relayed ones.
func (e *Exchange) sendUsageOf(recipients []*net.UDPAddr, from duty.Source, address string, c duty.Counts) {
	for _, part := range splitUsage(c) {
		// Sequence 0 makes hosts that do not know this kind of datagram ignore it as an old heartbeat.
		e.sendUsagePart(recipients, &rpc.Beat{Host: from.Host, Incarnation: from.Incarnation, PullAddress: address, Usage: part})
	}
}

func (e *Exchange) sendUsagePart(recipients []*net.UDPAddr, m *rpc.Beat) {
	data, err := proto.Marshal(m)
	if err != nil {
		e.opts.Logger.Error().Err(err).Msg("cannot encode usage counts")
		return
	}
	for _, to := range recipients {
		// No retry: the counts are sums and sent again.
		if _, err := e.socket.WriteToUDP(data, to); err != nil {
			e.opts.Logger.Debug().Err(err).Stringer("to", to).Msg("cannot send usage counts")
		}
	}
}

// splitUsage encodes counts in parts that fit into datagrams.
func splitUsage(c duty.Counts) []*rpc.UsageCounts {
	const headerBytes = 200
	part := &rpc.UsageCounts{Window: c.Window, Total: c.Total, Final: c.Final}
	parts, size := []*rpc.UsageCounts{part}, headerBytes
	for team, n := range c.Teams {
		if size += len(team) + teamCountBytes; size > maxDatagramBytes && len(part.Teams) > 0 {
			part = &rpc.UsageCounts{Window: c.Window, Total: c.Total, Final: c.Final}
			parts, size = append(parts, part), headerBytes+len(team)+teamCountBytes
		}
		part.Teams = append(part.Teams, &rpc.TeamCount{Team: team, Requests: n})
	}
	return parts
}

// handleUsage notes the usage counts of another host.
func (e *Exchange) handleUsage(m *rpc.Beat) {
	if e.opts.Usage == nil || m.Host == "" {
		return
	}
	c := duty.Counts{Window: m.Usage.Window, Teams: make(map[string]uint64, len(m.Usage.Teams)), Total: m.Usage.Total, Final: m.Usage.Final, Relayed: m.PullAddress == ""}
	for _, t := range m.Usage.Teams {
		c.Teams[t.Team] = t.Requests
	}
	e.opts.Usage.Apply(duty.Source{Host: m.Host, Incarnation: m.Incarnation}, c)
}

// LeadsZone reports whether this host is the first live one of its zone, which may take the lease of the duties.
func (e *Exchange) LeadsZone() bool {
	return state.SpeaksForZone(e.opts.Host, e.neighbors(time.Now()))
}

// zoneLeaders returns the addresses of the first live host of each zone, without this one: of the other zones the hosts
// that send the digests, and those that are first among the hosts with a recent heartbeat. While a host may just have
// failed, the one after it is included, which takes its place before all others notice.
func (e *Exchange) zoneLeaders(now time.Time) []*net.UDPAddr {
	e.mu.Lock()
	defer e.mu.Unlock()
	leaders := make(map[*peer]bool)
	for _, timeout := range []time.Duration{leaderTimeout, silenceTimeout} {
		for _, p := range e.firstInZones(now, timeout) {
			leaders[p] = true
		}
	}
	for _, p := range e.firstOfOwnZone(now) {
		leaders[p] = true
	}
	for _, z := range e.zones {
		if p, ok := e.peers[z.speakerAddress]; ok && now.Sub(z.lastDigestAt) < digestTimeout {
			leaders[p] = true
		}
	}
	out := make([]*net.UDPAddr, 0, len(leaders))
	for p := range leaders {
		out = append(out, p.udpAddr)
	}
	return out
}

// firstInZones returns the first host of each zone among those with a heartbeat within the timeout, without this one. The
// caller must hold e.mu.
func (e *Exchange) firstInZones(now time.Time, timeout time.Duration) map[string]*peer {
	first := make(map[string]*peer)
	for _, p := range e.peers {
		if p.zone == "" || now.Sub(p.lastHeartbeat) > timeout {
			continue
		}
		if other, ok := first[p.zone]; !ok || state.SpeaksForZone(p.host, []state.Neighbor{{Host: other.host}}) {
			first[p.zone] = p
		}
	}
	if own, ok := first[e.opts.Zone]; ok && state.SpeaksForZone(e.opts.Host, []state.Neighbor{{Host: own.host}}) {
		delete(first, e.opts.Zone)
	}
	return first
}

// firstOfOwnZone returns the first two hosts of this zone besides this one, so that the counts of one that is killed are known
// to another if there is no other zone. The caller must hold e.mu.
func (e *Exchange) firstOfOwnZone(now time.Time) (first []*peer) {
	for _, p := range e.peers {
		if p.zone == e.opts.Zone && now.Sub(p.lastHeartbeat) < silenceTimeout {
			first = append(first, p)
		}
	}
	slices.SortFunc(first, func(a, b *peer) int {
		switch {
		case a.host == b.host:
			return 0
		case state.SpeaksForZone(a.host, []state.Neighbor{{Host: b.host}}):
			return -1
		}
		return 1
	})
	return first[:min(len(first), 2)]
}

// LiveHosts returns the names of the hosts that were heard of recently, without this one.
func (e *Exchange) LiveHosts() (hosts []string) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		if p.host != "" && now.Sub(later(p.lastHeartbeat, p.lastInDigest)) < contactTimeout {
			hosts = append(hosts, p.host)
		}
	}
	return hosts
}

// CutOffFromZones reports whether this host is out of contact with all other zones of the deployment.
func (e *Exchange) CutOffFromZones() bool {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	known := false
	for _, p := range e.peers {
		silence := now.Sub(later(p.lastHeartbeat, p.lastInDigest))
		if p.zone == "" || p.zone == e.opts.Zone || silence > zoneMemory {
			continue
		}
		if known = true; silence < contactTimeout {
			return false
		}
	}
	return known
}

// TrueUnixMilli returns the time of day: the median of what this host and its neighbors took it for when they started.
// Clocks of single hosts may have been stepped at that moment.
func (e *Exchange) TrueUnixMilli() int64 { return e.wall.UnixMilli() + e.wallOffset.Load() }

// updateWallOffset determines how far the median of the times of day is ahead of that of this host. Other hosts count as
// long as they are known, also while they are silent: how they took the time at their start does not change, and hosts of
// other zones send no regular heartbeats.
func (e *Exchange) updateWallOffset() {
	offsets := []int64{0}
	e.mu.Lock()
	for _, p := range e.peers {
		if p.wallKnown {
			offsets = append(offsets, p.wallOffset)
		}
	}
	e.mu.Unlock()
	slices.Sort(offsets)
	e.wallOffset.Store(offsets[len(offsets)/2])
}

// noteWall records the time of day that a heartbeat tells. The largest difference counts, as heartbeats only arrive late:
// those that waited while this host was suspended would set its time back. The caller must hold e.mu.
func (e *Exchange) noteWall(p *peer, m *rpc.Beat, restarted bool) {
	if m.WallMs == 0 {
		return
	}
	offset := m.WallMs - e.wall.UnixMilli()
	if p.wallKnown && !restarted {
		offset = max(offset, p.wallOffset)
	}
	p.wallOffset, p.wallKnown = offset, true
}
