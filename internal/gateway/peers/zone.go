package peers

import (
	"math/bits"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/state"
	"heatherbarrow/internal/rpc"
)

// Hosts of different availability zones do not send each other heartbeats regularly, as the
// traffic would grow with the square of the number of hosts. Instead, one host of each zone,
// the speaker, merges the state of its zone into a digest and sends it to one host of each
// other zone, which relays it to its neighbors (the other hosts of its zone). If a zone has no
// speaker, or digests of another zone do not arrive, its hosts send heartbeats to the hosts of
// the other zone directly. When the hosts of a zone do not receive each other's heartbeats, several
// of them may act as its speaker.

const (
	// minSpeakerNeighbors is the number of neighbors from which a zone has a speaker. With
	// fewer hosts a digest saves little traffic, and it arrives later than heartbeats.
	minSpeakerNeighbors = 3
	// digestInterval is the interval between digests of a zone, about the time that an engine
	// takes to process a prompt.
	digestInterval = 150 * time.Millisecond
	// digestTimeout is the time since the last digest of a zone after which the hosts of that
	// zone get heartbeats directly.
	digestTimeout = time.Second
	// maxDigestPartBytes is the estimated size of the replica, prompt and limit entries per part above
	// which a digest is split into more parts. A part may exceed it, as replica keys are not
	// spread evenly over the parts. The rest of the datagram is for crashes, class counts and
	// peer addresses.
	maxDigestPartBytes = 700
	// useEntryBytes is the approximate encoded size of a replica's entry.
	useEntryBytes = 24
	// maxPendingZonePrompts bounds the prompt parts that are queued for the zone's next digest.
	maxPendingZonePrompts = 256
	// promptEntryBytes is the approximate encoded size of a prompt part.
	promptEntryBytes = 26
	// limitEntryBytes is the approximate encoded size of a replica's request limit.
	limitEntryBytes = 30
	// introductionInterval is the interval between heartbeats to a host whose zone is not
	// known yet.
	introductionInterval = 500 * time.Millisecond
)

// zone holds what this host knows about another availability zone.
type zone struct {
	lastDigestAt        time.Time             // when its last digest arrived
	speakerAddress      string                // pull address of the host that sent it
	lastDigestBySpeaker map[string]*sentOrder // by host name of the speaker
	hostsKnown          int                   // number of hosts ever seen in the zone, according to its digests
	hostsLive           int                   // number of hosts that its last digest covers
}

// zoneSpeaker is this host's view of the speaker of its zone and, if this host is the speaker, the
// data queued for the next digest. Exchange.mu guards all fields except sequence, partCount and
// lastRefusedParts, which only the sending goroutine uses.
type zoneSpeaker struct {
	active    bool                     // the zone has a speaker: this host or another one
	isSelf    bool                     // this host is the speaker
	prompts   []*rpc.PromptUse         // queued for the next digest
	crashes   map[uint64]reportedCrash // crashes that hosts of this zone reported, by request fingerprint
	sequence  uint64                   // of the last datagram of a digest
	partCount int                      // number of datagrams of a digest; never decreases
	// lastRefusedParts is when other zones were last told of all parts that requests are refused for.
	lastRefusedParts time.Time
}

// reportedCrash is a crash that a host of this zone reported.
type reportedCrash struct {
	crash      *rpc.Crash
	delay      time.Duration // of the report
	reportedAt time.Time
}

// updateSpeaker determines whether the zone has a speaker and whether this host is it.
func (e *Exchange) updateSpeaker(neighbors []state.Neighbor) {
	e.mu.Lock()
	defer e.mu.Unlock()
	active := len(neighbors) >= minSpeakerNeighbors
	isSelf := active && state.SpeaksForZone(e.opts.Host, neighbors)
	if isSelf != e.speaker.isSelf {
		e.opts.Logger.Info().Bool("speaks", isSelf).Int("neighbors", len(neighbors)).Msg("speaker of the zone changed")
		e.speaker.prompts = nil
	}
	e.speaker.active, e.speaker.isSelf = active, isSelf
}

// collectForDigest stores the prompt parts and crashes of a neighbor's heartbeat for the next
// digest if this host is the zone speaker. The heartbeat was delayed on its way.
func (e *Exchange) collectForDigest(m *rpc.Beat, delay time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.speaker.isSelf || m.AvailabilityZone != e.opts.Zone {
		return
	}
	e.speaker.addPrompts(m.Prompts)
	e.speaker.addCrashes(m.Crashes, delay, now)
}

// addPrompts queues prompt parts for the next digest and drops the oldest if there are too many.
func (s *zoneSpeaker) addPrompts(prompts []*rpc.PromptUse) {
	s.prompts = append(s.prompts, prompts...)
	if drop := len(s.prompts) - maxPendingZonePrompts; drop > 0 {
		s.prompts = slices.Delete(s.prompts, 0, drop)
	}
}

// addCrashes records crashes that are not known yet. Their report was delayed on its way.
func (s *zoneSpeaker) addCrashes(crashes []*rpc.Crash, delay time.Duration, now time.Time) {
	for _, c := range crashes {
		if s.crashes == nil {
			s.crashes = make(map[uint64]reportedCrash)
		}
		if _, known := s.crashes[c.Fingerprint]; !known {
			s.crashes[c.Fingerprint] = reportedCrash{crash: c, delay: delay, reportedAt: now}
		}
	}
}

// recentCrashes returns the crashes that are recent enough to be sent to other zones, at most
// fleet.MaxCrashes of them, and removes older ones.
func (s *zoneSpeaker) recentCrashes(now time.Time) (out []*rpc.Crash) {
	for fingerprint, c := range s.crashes {
		if now.Sub(c.reportedAt) > fleet.CrashReportTime {
			delete(s.crashes, fingerprint)
		} else if len(out) < fleet.MaxCrashes {
			forwarded := &rpc.Crash{Fingerprint: c.crash.Fingerprint, Upstream: c.crash.Upstream, Replica: c.crash.Replica}
			if c.crash.AgeMs > 0 {
				// now may be before reportedAt: heartbeats arrive while a digest is composed.
				forwarded.AgeMs = c.crash.AgeMs + uint32((c.delay + max(now.Sub(c.reportedAt), 0)).Milliseconds())
			}
			out = append(out, forwarded)
		}
	}
	return out
}

// sendZoneDigest sends the zone's digest to one host of each other zone if this host is the
// zone speaker and the digest is due. prompts and crashes are those of this host; those of its
// neighbors come from collectForDigest.
func (e *Exchange) sendZoneDigest(now time.Time, prompts []*rpc.PromptUse, crashes []*rpc.Crash) {
	e.mu.Lock()
	if !e.speaker.isSelf {
		e.mu.Unlock()
		return
	}
	e.speaker.addPrompts(prompts)
	e.speaker.addCrashes(crashes, 0, now)
	if now.Before(e.nextDigest) {
		e.mu.Unlock()
		return
	}
	e.nextDigest = now.Add(digestInterval)
	targets := e.digestTargets(now)
	hosts, addresses := e.recentNeighbors(now)
	header := &rpc.ZoneDigest{
		AvailabilityZone: e.opts.Zone, Speaker: e.opts.Host, Incarnation: e.incarnation,
		Hosts: uint32(len(hosts) + 1), HostsKnown: uint32(e.seenInZone), // this host included
	}
	pending := e.speaker.prompts
	e.speaker.prompts = nil
	recent := e.speaker.recentCrashes(now)
	e.mu.Unlock()
	if len(targets) == 0 {
		return
	}
	uses := e.opts.Fleet.MergedUses(hosts, now)
	classes := classCountsToProto(e.opts.Fleet.ZoneCounts())
	limits := limitsToProto(e.opts.Fleet.ZoneLimitReports(now))
	partCount := e.digestPartCount(len(uses), len(pending), len(limits))
	for part := range partCount {
		m := proto.CloneOf(header)
		e.speaker.sequence++
		m.Part, m.Sequence = uint32(part), e.speaker.sequence
		for key, u := range uses {
			if int(key%uint64(partCount)) == part {
				m.Uses = append(m.Uses, useToProto(key, u))
			}
		}
		for i := part; i < len(pending); i += partCount {
			m.Prompts = append(m.Prompts, pending[i])
		}
		for _, l := range limits {
			if int(l.Replica%uint64(partCount)) == part {
				m.Limits = append(m.Limits, l)
			}
		}
		if part == 0 {
			m.Crashes, m.Classes, m.Peers = recent, classes, addresses
		}
		e.sendDigestPart(targets, &rpc.Beat{
			ZoneDigest: m, PullAddress: e.opts.Listen, SentMs: sentMs(), ConfigVersion: e.opts.State.ConfigVersion(),
			MembersEra: e.opts.State.MembersEra(), MembersRevision: e.opts.State.MembersRevision(),
		})
	}
	addressees := make([]*net.UDPAddr, len(targets))
	for i, to := range targets {
		addressees[i] = to.udpAddr
	}
	e.sendSuspectParts(addressees, &e.speaker.lastRefusedParts, now)
}

// digestPartCount returns the number of datagrams that a digest is split into. A replica's part
// is its key modulo this number, so a power of two that never decreases keeps most replicas in
// the same part.
func (e *Exchange) digestPartCount(uses, prompts, limits int) int {
	estimatedBytes := max(uses*useEntryBytes+prompts*promptEntryBytes+limits*limitEntryBytes, 1)
	needed := 1 << bits.Len(uint((estimatedBytes-1)/maxDigestPartBytes))
	e.speaker.partCount = max(e.speaker.partCount, needed)
	return e.speaker.partCount
}

// sendDigestPart sends one datagram of a digest, which also announces the state of the speaker, to each of the
// targets.
func (e *Exchange) sendDigestPart(targets []*peer, m *rpc.Beat) {
	digest := m.ZoneDigest
	// Drop the oldest prompt parts first: replicas may have evicted them from their prompt caches.
	for size := proto.Size(m); size > maxDatagramBytes && len(digest.Prompts) > 0; size = proto.Size(m) {
		drop := min((size-maxDatagramBytes)/promptEntryBytes+1, len(digest.Prompts))
		digest.Prompts = digest.Prompts[drop:]
	}
	data, err := proto.Marshal(m)
	if err != nil {
		e.opts.Logger.Error().Err(err).Msg("cannot encode zone digest")
		return
	}
	for _, to := range targets {
		if _, err := e.socket.WriteToUDP(data, to.udpAddr); err != nil {
			e.opts.Logger.Debug().Err(err).Stringer("to", to.udpAddr).Msg("cannot send zone digest")
		}
	}
}

// digestTargets returns for each other zone one host that sent a heartbeat or was listed in a digest
// within silenceTimeout. It is chosen at random on each call. The caller must hold e.mu.
func (e *Exchange) digestTargets(now time.Time) []*peer {
	chosen := make(map[string]*peer)
	hostsSeen := make(map[string]int)
	for _, p := range e.peers {
		if p.zone == "" || p.zone == e.opts.Zone || now.Sub(later(p.lastHeartbeat, p.lastInDigest)) > silenceTimeout {
			continue
		}
		if hostsSeen[p.zone]++; rand.IntN(hostsSeen[p.zone]) == 0 {
			chosen[p.zone] = p
		}
	}
	out := make([]*peer, 0, len(chosen))
	for _, p := range chosen {
		out = append(out, p)
	}
	return out
}

// recentNeighbors returns the names of the neighbors whose last heartbeat is at most
// silenceTimeout old, and the addresses of this host and of at most maxAdvertisedPeers-1 of them.
// The choice varies from call to call (map order), so that other zones learn all addresses over
// time. The caller must hold e.mu.
func (e *Exchange) recentNeighbors(now time.Time) (names, addresses []string) {
	for address, p := range e.peers {
		if p.zone != e.opts.Zone || p.lastHeartbeat.IsZero() || now.Sub(p.lastHeartbeat) > silenceTimeout {
			continue
		}
		names = append(names, p.host)
		if len(addresses) < maxAdvertisedPeers-1 {
			addresses = append(addresses, address)
		}
	}
	return names, append(addresses, e.opts.Listen)
}

// handleDigest applies one part of a digest of another zone. If the part has not been relayed yet,
// it also relays it to the neighbors with a heartbeat within silenceTimeout.
func (e *Exchange) handleDigest(message *rpc.Beat, now time.Time) {
	m := message.ZoneDigest
	if m.AvailabilityZone == e.opts.Zone || m.AvailabilityZone == "" || !e.recordDigest(m, now) {
		return
	}
	e.recordSpeaker(message, now)
	uses, parts, tokens := usesFromProto(m.Uses, m.Prompts)
	name := "zone/" + m.AvailabilityZone + "/" + strconv.Itoa(int(m.Part))
	hosts := 0
	if m.Part == 0 { // one part only, so that the zone's hosts are not counted several times
		hosts = int(m.Hosts)
	}
	e.opts.Fleet.ApplyMergedDigest(name, hosts, uses, parts, tokens, now)
	e.opts.Fleet.ApplyCrashes(e.crashesFromProto(message, m.Crashes, e.transitDelay(message, now), now), now)
	e.opts.Fleet.ApplyClassCounts("zone/"+m.AvailabilityZone+"/"+m.Speaker, false, classCountsFromProto(m.Classes), now)
	e.applyLimits("zone/"+m.AvailabilityZone+"/"+m.Speaker, false, m.Limits, now)
	if m.Relayed {
		return
	}
	m.Relayed = true
	e.mu.Lock()
	var recentNeighbors []*peer
	for _, p := range e.peers {
		if p.zone == e.opts.Zone && !p.lastHeartbeat.IsZero() && now.Sub(p.lastHeartbeat) < silenceTimeout {
			recentNeighbors = append(recentNeighbors, p)
		}
	}
	e.mu.Unlock()
	e.sendDigestPart(recentNeighbors, message)
}

// recordSpeaker records the state that the speaker of another zone announces with its digest.
func (e *Exchange) recordSpeaker(m *rpc.Beat, now time.Time) {
	if m.PullAddress == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.addPeer(m.PullAddress); p != nil {
		e.noteAnnouncement(p, m, now)
	}
	e.zones[m.ZoneDigest.AvailabilityZone].speakerAddress = m.PullAddress
}

// recordDigest records the arrival of a digest of another zone and adds the peers that the digest
// lists. It returns false for a digest that is a duplicate or arrives out of order, and, while the
// hosts of the zone send heartbeats, for one that covers fewer hosts than those: its speaker does not
// know all of them yet, and the heartbeats would be ignored.
func (e *Exchange) recordDigest(m *rpc.ZoneDigest, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	z, ok := e.zones[m.AvailabilityZone]
	if !ok {
		z = &zone{lastDigestBySpeaker: make(map[string]*sentOrder)}
		e.zones[m.AvailabilityZone] = z
	}
	previous, ok := z.lastDigestBySpeaker[m.Speaker]
	if !ok {
		previous = &sentOrder{}
		z.lastDigestBySpeaker[m.Speaker] = previous
	}
	if !previous.precedes(m.Incarnation, m.Sequence, now) {
		return false
	}
	firstDigest := now.Sub(z.lastDigestAt) > digestTimeout
	if firstDigest && int(m.Hosts) < e.hostsHeard(m.AvailabilityZone, now) {
		return false
	}
	if firstDigest {
		e.opts.Logger.Info().Str("zone", m.AvailabilityZone).Str("speaker", m.Speaker).Uint32("hosts", m.Hosts).Msg("receiving digests of zone")
		for _, p := range e.peers {
			if p.zone == m.AvailabilityZone {
				e.opts.Fleet.ForgetHost(p.host, now) // the digest includes its in-flight requests
			}
		}
	}
	*previous = sentOrder{incarnation: m.Incarnation, sequence: m.Sequence, receivedAt: now}
	for name, s := range z.lastDigestBySpeaker {
		if now.Sub(s.receivedAt) > silenceTimeout {
			delete(z.lastDigestBySpeaker, name)
		}
	}
	z.lastDigestAt, z.hostsLive = now, int(m.Hosts)
	if int(m.HostsKnown) > z.hostsKnown {
		z.hostsKnown = int(m.HostsKnown)
		e.reportHostCount()
	}
	for _, address := range m.Peers {
		if p := e.addPeer(address); p != nil {
			p.zone, p.lastInDigest = m.AvailabilityZone, now
		}
	}
	return true
}

// hostsHeard returns the number of hosts of another zone whose last heartbeat is at most digestTimeout
// old. The caller must hold e.mu.
func (e *Exchange) hostsHeard(zone string, now time.Time) int {
	heard := 0
	for _, p := range e.peers {
		if p.zone == zone && !p.lastHeartbeat.IsZero() && now.Sub(p.lastHeartbeat) <= digestTimeout {
			heard++
		}
	}
	return heard
}

// reportHostCount reports the number of known hosts: those of this zone plus those that the
// digests of other zones report, or the number of hosts that ever sent a heartbeat to this one if
// that is larger. The caller must hold e.mu.
func (e *Exchange) reportHostCount() {
	hostsKnown := e.seenInZone
	for _, z := range e.zones {
		hostsKnown += z.hostsKnown
	}
	e.opts.OnHostCount(max(hostsKnown, len(e.seenHosts)))
}

// coveredByDigests reports whether this zone has a speaker and a digest of the other zone has
// arrived within digestTimeout, so that the hosts of the other zone need no heartbeats from this
// host. The caller must hold e.mu; receivesDigests is the variant without the speaker.
func (e *Exchange) coveredByDigests(zone string, now time.Time) bool {
	z, ok := e.zones[zone]
	return ok && e.speaker.active && now.Sub(z.lastDigestAt) < digestTimeout
}

// needsHeartbeat reports whether a host outside this zone gets a heartbeat from this host. The
// caller must hold e.mu.
func (e *Exchange) needsHeartbeat(p *peer, now time.Time) bool {
	switch {
	case !e.speaker.active:
		return true
	case p.replyDue:
		return true
	case p.zone == "":
		return now.Sub(p.lastSent) >= introductionInterval
	default:
		return !e.coveredByDigests(p.zone, now)
	}
}
