package peers

import (
	"cmp"
	"context"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/rpc"
)

// sendLoop sends heartbeats and digests when they are due, until ctx ends.
func (e *Exchange) sendLoop(ctx context.Context) {
	timer := time.NewTimer(minHeartbeatInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-e.now:
			e.sameZone.nextSend, e.otherZones.nextSend = time.Time{}, time.Time{}
			e.announcing = true
		}
		e.suspensions.Observe()
		now := time.Now()
		e.sendHeartbeats(now)
		nextSend := earlier(e.sameZone.nextSend, e.otherZones.nextSend)
		if e.IsZoneSpeaker() {
			nextSend = earlier(nextSend, e.nextDigest)
		}
		timer.Reset(max(nextSend.Sub(now), time.Millisecond))
	}
}

// heartbeatInterval returns the interval between heartbeats to the given number of hosts.
func heartbeatInterval(hosts int) time.Duration {
	if hosts == 0 {
		return maxHeartbeatInterval
	}
	return min(max(time.Duration(hosts)*time.Second/maxHeartbeatsPerSecond, minHeartbeatInterval), maxHeartbeatInterval)
}

// sendHeartbeats expires old digests, sends the digest of this host's zone if this host is the
// zone speaker and the digest is due, and sends this host's state to the recipient groups that
// are due.
func (e *Exchange) sendHeartbeats(now time.Time) {
	e.opts.Fleet.ExpireDigests(now)
	message := e.composeHeartbeat(now)
	e.sendZoneDigest(now, message.Prompts, message.Crashes)
	message.Prompts = nil
	uses := message.Uses
	for _, group := range []*recipientGroup{&e.sameZone, &e.otherZones} {
		if now.Before(group.nextSend) {
			continue
		}
		recipients, peers := e.recipients(group == &e.sameZone, now)
		group.nextSend = now.Add(heartbeatInterval(len(recipients)))
		if group == &e.otherZones {
			e.announcing = false
		}
		message.Uses, message.Peers = uses, peers // trimUses may have removed uses for the other group
		message.Prompts, group.pendingPrompts = group.pendingPrompts, nil
		message.Limits = limitsToProto(e.opts.Fleet.LimitReports(now))
		message.Classes, message.Speeds = nil, nil
		if now.Sub(group.counts) >= classCountsInterval {
			group.counts, message.Classes = now, classCountsToProto(e.opts.Fleet.ClassCounts())
		}
		if now.Sub(group.speeds) >= engineSpeedsInterval {
			group.speeds, message.Speeds = now, e.speeds()
		}
		e.sendHeartbeat(recipients, message)
		e.sendSuspectParts(recipients, &group.lastRefusedParts, now)
	}
}

// sendHeartbeat sends a heartbeat to each of the recipients.
func (e *Exchange) sendHeartbeat(recipients []*net.UDPAddr, message *rpc.Beat) {
	if len(recipients) == 0 {
		return
	}
	trimUses(message)
	data, err := proto.Marshal(message)
	if err != nil {
		e.opts.Logger.Error().Err(err).Msg("cannot encode heartbeat")
		return
	}
	for _, to := range recipients {
		// No retry: the next heartbeat replaces one that could not be sent.
		if _, err := e.socket.WriteToUDP(data, to); err != nil {
			e.opts.Logger.Debug().Err(err).Stringer("to", to).Msg("cannot send heartbeat")
		}
	}
}

// recipients returns the UDP addresses that get a heartbeat now, either within this host's
// zone or outside it, and, to list in the heartbeat, the pull addresses of peers that have sent a
// heartbeat and are not silent. It records for each recipient that a heartbeat is sent to it now,
// and removes the peers that have been silent for peerExpiry.
func (e *Exchange) recipients(sameZone bool, now time.Time) (recipients []*net.UDPAddr, peers []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, p := range e.peers {
		silence := now.Sub(later(later(p.lastHeartbeat, p.lastInDigest), p.addedAt))
		if silence > peerExpiry {
			delete(e.peers, address)
			e.expired[address] = struct{}{}
			continue
		}
		if silence < silenceTimeout && !p.lastHeartbeat.IsZero() && len(peers) < maxAdvertisedPeers {
			peers = append(peers, address)
		}
		if sameZone != (p.zone == e.opts.Zone) || silence > silenceTimeout && now.Sub(p.lastSent) < silentPeerInterval {
			continue
		}
		if !sameZone && !e.announcing && !e.needsHeartbeat(p, now) {
			continue
		}
		p.lastSent, p.replyDue = now, false
		recipients = append(recipients, p.udpAddr)
	}
	return recipients, peers
}

// composeHeartbeat returns a heartbeat without peers, request limits, class counts and engine speeds. Its Prompts
// are this host's new prompt parts, which it also queues for both recipient groups;
// sendHeartbeats replaces them by the parts that are queued for the group.
func (e *Exchange) composeHeartbeat(now time.Time) *rpc.Beat {
	e.sequence++
	message := &rpc.Beat{
		Host: e.opts.Host, AvailabilityZone: e.opts.Zone, Incarnation: e.incarnation, Sequence: e.sequence, SentMs: sentMs(),
		PullAddress: e.opts.Listen, ConfigVersion: e.opts.State.ConfigVersion(),
		MembersEra: e.opts.State.MembersEra(), MembersRevision: e.opts.State.MembersRevision(), StoreReachable: !e.opts.State.StoreLost(),
	}
	if e.opts.Usage != nil {
		message.WallMs = e.wall.UnixMilli()
	}
	uses, parts, tokens := e.opts.Fleet.Digest(now)
	for key, u := range uses {
		message.Uses = append(message.Uses, useToProto(key, u))
	}
	for i, part := range parts {
		use := &rpc.PromptUse{Replica: part.Replica, Part: part.Part, Tokens: uint32(tokens[i])}
		message.Prompts = append(message.Prompts, use)
		e.sameZone.addPrompt(use)
		e.otherZones.addPrompt(use)
	}
	for _, c := range e.opts.Fleet.Crashes(now) {
		age := e.suspensions.Age(now.Add(-c.Age), now)
		if age > fleet.CrashReportTime {
			continue // reports of suspects tell it: other hosts have forgotten whether they know it
		}
		message.Crashes = append(message.Crashes, &rpc.Crash{Fingerprint: c.Fingerprint, Upstream: c.Upstream, Replica: c.Replica, AgeMs: uint32(max(age.Milliseconds(), 1))})
	}
	return message
}

// addPrompt queues a prompt part for the next heartbeat. If the queue is full, the oldest part
// is dropped, as the replica is most likely to have evicted it from its prompt cache.
func (g *recipientGroup) addPrompt(use *rpc.PromptUse) {
	if len(g.pendingPrompts) == maxPromptParts {
		g.pendingPrompts = append(g.pendingPrompts[:0], g.pendingPrompts[1:]...)
	}
	g.pendingPrompts = append(g.pendingPrompts, use)
}

// trimUses sorts the replicas of a heartbeat by load and drops the least loaded ones until the
// heartbeat fits a datagram.
func trimUses(m *rpc.Beat) {
	slices.SortFunc(m.Uses, func(a, b *rpc.ReplicaUse) int {
		return cmp.Or(cmp.Compare(b.PrefillMs, a.PrefillMs), cmp.Compare(b.Running, a.Running), cmp.Compare(b.PrefillPermille, a.PrefillPermille))
	})
	for size := proto.Size(m); size > maxDatagramBytes && len(m.Uses) > 0; size = proto.Size(m) {
		const maxUseBytes = 40 // upper bound on the encoded size of a replica's entry
		drop := min((size-maxDatagramBytes)/maxUseBytes+1, len(m.Uses))
		m.Uses = m.Uses[:len(m.Uses)-drop]
	}
}
