package peers

import (
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherbarrow/internal/rpc"
)

// receiveLoop handles incoming datagrams until the socket is closed.
func (e *Exchange) receiveLoop() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := e.socket.ReadFromUDP(buffer)
		if err != nil {
			if opErr, ok := err.(*net.OpError); ok && !opErr.Temporary() {
				return // the socket is closed
			}
			continue
		}
		var message rpc.Beat
		if err := proto.Unmarshal(buffer[:n], &message); err != nil {
			e.opts.Logger.Warn().Err(err).Msg("cannot decode datagram")
			continue
		}
		e.suspensions.Observe()
		e.handleDatagram(&message, time.Now())
	}
}

// handleDatagram applies a heartbeat or a report of suspect parts and requests of another host, or a digest of
// another zone.
func (e *Exchange) handleDatagram(m *rpc.Beat, now time.Time) {
	if len(m.SuspectParts)+len(m.SuspectRequests) > 0 {
		delay := e.transitDelay(m, now)
		e.opts.Fleet.ApplyPartReports(e.suspectEntries(m, m.SuspectParts, delay, now), now)
		e.opts.Fleet.ApplyRequestReports(e.suspectEntries(m, m.SuspectRequests, delay, now), now)
		return
	}
	if len(m.StreamOrigins) > 0 {
		e.opts.Origins.Apply(originsFromProto(m.StreamOrigins), now)
		return
	}
	if m.Usage != nil {
		e.handleUsage(m)
		return
	}
	if m.ZoneDigest != nil {
		e.handleDigest(m, now)
		return
	}
	if m.Host == e.opts.Host || !e.recordHeartbeat(m, now) {
		return
	}
	delay := e.transitDelay(m, now)
	if m.AvailabilityZone != e.opts.Zone && e.receivesDigests(m.AvailabilityZone, now) {
		return // the digests of its zone include its in-flight requests
	}
	uses, parts, tokens := usesFromProto(m.Uses, m.Prompts)
	e.opts.Fleet.ApplyDigest(m.Host, uses, parts, tokens, now)
	e.opts.Fleet.ApplyCrashes(e.crashesFromProto(m, m.Crashes, delay, now), now)
	e.opts.Fleet.ApplyClassCounts(m.Host, m.AvailabilityZone == e.opts.Zone, classCountsFromProto(m.Classes), now)
	e.opts.Fleet.ApplySpeeds(m.Host, speedsFromProto(m.Speeds), now)
	e.applyLimits(m.Host, m.AvailabilityZone == e.opts.Zone, m.Limits, now)
	e.collectForDigest(m, delay, now)
}

// applyLimits applies the request limits that a host, or a zone under the given name, reports.
func (e *Exchange) applyLimits(name string, neighbor bool, limits []*rpc.ReplicaLimit, now time.Time) {
	for _, change := range e.opts.Fleet.ApplyLimitReports(name, neighbor, limitsFromProto(limits), now) {
		e.opts.Logger.Info().Str("replica", change.Replica).Str("reported_by", name).
			Bool("limited", change.Limited).Float64("per_second", change.PerSecond).Msg("request limit of replica changed")
	}
}

// receivesDigests reports whether a digest of the zone has arrived within digestTimeout. Unlike
// coveredByDigests, it locks e.mu and does not ask whether this host's zone has a speaker.
func (e *Exchange) receivesDigests(zone string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	z, ok := e.zones[zone]
	return ok && now.Sub(z.lastDigestAt) < digestTimeout
}

// recordHeartbeat updates the peer that sent a heartbeat, adds the peers that the heartbeat
// lists, and schedules a pull if the sender has newer state. It returns false for a heartbeat
// that is a duplicate or arrives out of order, or whose sender has an invalid address.
func (e *Exchange) recordHeartbeat(m *rpc.Beat, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.addPeer(m.PullAddress)
	if p == nil {
		return false
	}
	last := sentOrder{p.incarnation, p.sequence, p.lastHeartbeat}
	if !last.precedes(m.Incarnation, m.Sequence, now) {
		return false
	}
	if p.lastHeartbeat.IsZero() || now.Sub(p.lastHeartbeat) > silenceTimeout {
		e.opts.Logger.Info().Str("peer", m.Host).Str("address", m.PullAddress).Msg("peer is live")
	}
	restarted := p.incarnation != m.Incarnation
	p.host, p.zone, p.incarnation, p.sequence, p.lastHeartbeat = m.Host, m.AvailabilityZone, m.Incarnation, m.Sequence, now
	p.heard.Set()
	e.noteWall(p, m, restarted)
	p.storeReachable = m.StoreReachable
	if _, ok := e.seenHosts[m.Host]; !ok {
		e.seenHosts[m.Host] = struct{}{}
		if m.AvailabilityZone == e.opts.Zone {
			e.seenInZone++
		} else {
			p.replyDue = true
		}
		e.reportHostCount()
	}
	for _, address := range m.Peers {
		e.addPeer(address)
	}
	e.noteAnnouncement(p, m, now)
	if e.pullDue(p, now) {
		e.requestPull(p)
	}
	return true
}

// noteAnnouncement records the state that a peer has according to its heartbeat, or to the digest that it sends as
// the speaker of its zone. The caller must hold e.mu.
func (e *Exchange) noteAnnouncement(p *peer, m *rpc.Beat, now time.Time) {
	p.announced = announcement{m.ConfigVersion, m.MembersEra, m.MembersRevision, now}
	e.updateAhead(p, now)
}

// updateAhead compares what a peer announced last with the state of this host. The caller must hold e.mu.
func (e *Exchange) updateAhead(p *peer, now time.Time) {
	s, a := e.opts.State, &p.announced
	switch {
	case a.configVersion <= s.ConfigVersion() && !s.MembersAhead(a.era, a.membersRevision):
		p.aheadSince = time.Time{}
	case p.aheadSince.IsZero():
		p.aheadSince = now
	}
}
