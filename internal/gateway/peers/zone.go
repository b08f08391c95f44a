package peers

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/state"
	"heatherbarrow/internal/rpc"
)

// Between availability zones hosts do not tell each other singly what they have in progress:
// bytes would grow with the square of their number. One host of a zone, the speaker, sums
// what it hears of its neighbors and sends it to one host of each other zone, which passes
// it on to its own neighbors. Without a speaker, or when a zone's digests do not come, hosts
// tell the hosts there themselves again.

const (
	// leastNeighbors is the number of neighbors from which a zone has a speaker. With fewer
	// hosts the sum saves little and comes later.
	leastNeighbors = 3
	// digestPause is the pause between two digests of a zone: about as long as an engine
	// takes to read a prompt.
	digestPause = 150 * time.Millisecond
	// digestLost is how long no digest of a zone may come before its hosts are told singly.
	digestLost = time.Second
	// digestBytes bounds the uses of one part of a digest, in bytes; the rest of a datagram
	// is for prompts and counts.
	digestBytes = 700
	// useBytes is about the size of a replica's entry.
	useBytes = 24
	// maxZonePrompts bounds the prompt parts of the zone that wait for the next digest.
	maxZonePrompts = 256
	// promptBytes is the size of a prompt part in a datagram.
	promptBytes = 26
	// introducePause is the pause between beats to a host that was never heard.
	introducePause = 500 * time.Millisecond
)

// zone is what is known of another availability zone.
type zone struct {
	heard    time.Time              // the last digest
	speakers map[string]*seenDigest // by name
	hosts    int                    // ever known
}

// seenDigest is the last digest of a speaker.
type seenDigest struct {
	incarnation int64
	sequence    uint64
	at          time.Time
}

// zoneSpeaker is what a speaker keeps between digests. The mutex of Exchange guards it, but for
// sequence and parts, which the sending goroutine alone uses.
type zoneSpeaker struct {
	on       bool // the zone has a speaker, this host or another
	speaks   bool // this host is it
	prompts  []*rpc.PromptUse
	crashes  map[uint64]heardCrash // of neighbors, by fingerprint
	sequence uint64
	parts    int // of a digest; never falls
}

type heardCrash struct {
	crash *rpc.Crash
	at    time.Time
}

// setSpeaker brings up to date who speaks for the zone.
func (e *Exchange) setSpeaker(neighbors []state.Neighbor) {
	e.mu.Lock()
	defer e.mu.Unlock()
	on := len(neighbors) >= leastNeighbors
	speaks := on && state.Speaks(e.opts.Host, neighbors)
	if speaks != e.speaker.speaks {
		e.opts.Logger.Info().Bool("speaks", speaks).Int("neighbors", len(neighbors)).Msg("speaker of the zone changed")
		e.speaker.prompts = nil
	}
	e.speaker.on, e.speaker.speaks = on, speaks
}

// collect keeps what a speaker passes on of a neighbor's beat.
func (e *Exchange) collect(m *rpc.Beat, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.speaker.speaks || m.AvailabilityZone != e.opts.Zone {
		return
	}
	e.speaker.addPrompts(m.Prompts)
	e.speaker.addCrashes(m.Crashes, now)
}

func (s *zoneSpeaker) addPrompts(prompts []*rpc.PromptUse) {
	s.prompts = append(s.prompts, prompts...)
	if drop := len(s.prompts) - maxZonePrompts; drop > 0 {
		s.prompts = slices.Delete(s.prompts, 0, drop)
	}
}

func (s *zoneSpeaker) addCrashes(crashes []*rpc.Crash, now time.Time) {
	for _, c := range crashes {
		if s.crashes == nil {
			s.crashes = make(map[uint64]heardCrash)
		}
		if _, known := s.crashes[c.Fingerprint]; !known {
			s.crashes[c.Fingerprint] = heardCrash{crash: c, at: now}
		}
	}
}

// recentCrashes returns the crashes of the last seconds, and forgets older ones.
func (s *zoneSpeaker) recentCrashes(now time.Time) (out []*rpc.Crash) {
	for fingerprint, c := range s.crashes {
		if now.Sub(c.at) > fleet.CrashReportTime {
			delete(s.crashes, fingerprint)
		} else if len(out) < fleet.MaxCrashes {
			out = append(out, c.crash)
		}
	}
	return out
}

// sendDigests sends the zone's digest to one host of each other zone.
func (e *Exchange) sendDigests(now time.Time, prompts []*rpc.PromptUse, crashes []*rpc.Crash) {
	e.mu.Lock()
	if !e.speaker.speaks {
		e.mu.Unlock()
		return
	}
	e.speaker.addPrompts(prompts)
	e.speaker.addCrashes(crashes, now)
	if now.Before(e.digestDue) {
		e.mu.Unlock()
		return
	}
	e.digestDue = now.Add(digestPause)
	targets := e.representatives(now)
	hosts, addresses := e.live(now)
	head := &rpc.ZoneDigest{
		AvailabilityZone: e.opts.Zone, Speaker: e.opts.Host, Incarnation: e.incarnation,
		Hosts: uint32(len(hosts) + 1), HostsKnown: uint32(e.knownNear),
	}
	waiting := e.speaker.prompts
	e.speaker.prompts = nil
	told := e.speaker.recentCrashes(now)
	e.mu.Unlock()
	if len(targets) == 0 {
		return
	}
	uses := e.opts.Fleet.MergedUses(hosts, now)
	classes := classMessages(e.opts.Fleet.ZoneCounts())
	parts := e.digestParts(len(uses), len(waiting))
	for part := range parts {
		m := proto.CloneOf(head)
		e.speaker.sequence++
		m.Part, m.Sequence = uint32(part), e.speaker.sequence
		for key, u := range uses {
			if int(key%uint64(parts)) == part {
				m.Uses = append(m.Uses, useMessage(key, u))
			}
		}
		for i := part; i < len(waiting); i += parts {
			m.Prompts = append(m.Prompts, waiting[i])
		}
		if part == 0 {
			m.Crashes, m.Classes, m.Peers = told, classes, addresses
		}
		e.sendDigest(targets, m)
	}
}

// digestParts returns into how many datagrams a digest is split. A power of two that
// never falls keeps most replicas in their parts.
func (e *Exchange) digestParts(uses, prompts int) int {
	bytes := max(uses*useBytes+prompts*promptBytes, 1)
	need := 1 << bits.Len(uint((bytes-1)/digestBytes))
	e.speaker.parts = max(e.speaker.parts, need)
	return e.speaker.parts
}

func (e *Exchange) sendDigest(targets []*peer, m *rpc.ZoneDigest) {
	// The oldest prompts matter least: they may have left the replica's memory.
	for size := proto.Size(m); size > maxDatagram && len(m.Prompts) > 0; size = proto.Size(m) {
		drop := min((size-maxDatagram)/promptBytes+1, len(m.Prompts))
		m.Prompts = m.Prompts[drop:]
	}
	data, err := proto.Marshal(&rpc.Beat{ZoneDigest: m})
	if err != nil {
		e.opts.Logger.Error().Err(err).Msg("digest of the zone cannot be encoded")
		return
	}
	for _, to := range targets {
		if _, err := e.socket.WriteToUDP(data, to.datagrams); err != nil {
			e.opts.Logger.Debug().Err(err).Stringer("to", to.datagrams).Msg("digest of the zone was not sent")
		}
	}
}

// representatives returns one live host of each other zone, another one each time.
func (e *Exchange) representatives(now time.Time) []*peer {
	chosen := make(map[string]*peer)
	seen := make(map[string]int)
	for _, p := range e.peers {
		if p.zone == "" || p.zone == e.opts.Zone || now.Sub(later(p.heard, p.told)) > quietAfter {
			continue
		}
		if seen[p.zone]++; rand.IntN(seen[p.zone]) == 0 {
			chosen[p.zone] = p
		}
	}
	out := make([]*peer, 0, len(chosen))
	for _, p := range chosen {
		out = append(out, p)
	}
	return out
}

// live returns the names of the neighbors heard of late, and the addresses of some of the
// zone's hosts, others each time.
func (e *Exchange) live(now time.Time) (hosts, addresses []string) {
	for address, p := range e.peers {
		if p.zone != e.opts.Zone || p.heard.IsZero() || now.Sub(p.heard) > quietAfter {
			continue
		}
		hosts = append(hosts, p.host)
		if len(addresses) < maxPeersTold-1 {
			addresses = append(addresses, address)
		}
	}
	return hosts, append(addresses, e.opts.Listen)
}

// handleDigest takes the digest of another zone and passes it on.
func (e *Exchange) handleDigest(m *rpc.ZoneDigest, now time.Time) {
	if m.AvailabilityZone == e.opts.Zone || m.AvailabilityZone == "" || !e.noteDigest(m, now) {
		return
	}
	uses, parts, tokens := usesOf(m.Uses, m.Prompts)
	name := "zone/" + m.AvailabilityZone + "/" + strconv.Itoa(int(m.Part))
	hosts := 0
	if m.Part == 0 {
		hosts = int(m.Hosts)
	}
	e.opts.Fleet.ApplyMergedDigest(name, hosts, uses, parts, tokens, now)
	e.opts.Fleet.ApplyCrashes(crashesOf(m.Crashes), now)
	e.opts.Fleet.ApplyClassCounts("zone/"+m.AvailabilityZone+"/"+m.Speaker, false, countsOf(m.Classes), now)
	if m.Relayed {
		return
	}
	m.Relayed = true
	e.mu.Lock()
	var near []*peer
	for _, p := range e.peers {
		if p.zone == e.opts.Zone && !p.heard.IsZero() && now.Sub(p.heard) < quietAfter {
			near = append(near, p)
		}
	}
	e.mu.Unlock()
	e.sendDigest(near, m)
}

// noteDigest records that a zone was heard. It returns false for a digest that came before.
func (e *Exchange) noteDigest(m *rpc.ZoneDigest, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	z, ok := e.zones[m.AvailabilityZone]
	if !ok {
		z = &zone{speakers: make(map[string]*seenDigest)}
		e.zones[m.AvailabilityZone] = z
	}
	last, ok := z.speakers[m.Speaker]
	if !ok {
		last = &seenDigest{}
		z.speakers[m.Speaker] = last
	}
	if c := cmp.Compare(m.Incarnation, last.incarnation); c < 0 || c == 0 && m.Sequence <= last.sequence {
		return false
	}
	if now.Sub(z.heard) > digestLost {
		e.opts.Logger.Info().Str("zone", m.AvailabilityZone).Str("speaker", m.Speaker).Uint32("hosts", m.Hosts).Msg("zone heard")
		for _, p := range e.peers {
			if p.zone == m.AvailabilityZone {
				e.opts.Fleet.ForgetHost(p.host, now) // its work is in the digest
			}
		}
	}
	*last = seenDigest{incarnation: m.Incarnation, sequence: m.Sequence, at: now}
	for name, s := range z.speakers {
		if now.Sub(s.at) > quietAfter {
			delete(z.speakers, name)
		}
	}
	z.heard = now
	if int(m.HostsKnown) > z.hosts {
		z.hosts = int(m.HostsKnown)
		e.tellHosts()
	}
	for _, address := range m.Peers {
		if p := e.add(address); p != nil {
			p.zone, p.told = m.AvailabilityZone, now
		}
	}
	return true
}

// tellHosts passes on how many hosts there are: those that were heard, or as many of each
// zone as its digests tell.
func (e *Exchange) tellHosts() {
	hosts := e.knownNear
	for _, z := range e.zones {
		hosts += z.hosts
	}
	e.opts.Heard(max(hosts, len(e.known)))
}

// digestsCome tells whether digests of a zone come, so that its hosts need not be told singly.
func (e *Exchange) digestsCome(zone string, now time.Time) bool {
	z, ok := e.zones[zone]
	return ok && e.speaker.on && now.Sub(z.heard) < digestLost
}

// needsBeat tells whether a host of another zone is told singly.
func (e *Exchange) needsBeat(p *peer, now time.Time) bool {
	switch {
	case !e.speaker.on:
		return true
	case p.owed:
		return true
	case p.zone == "":
		return now.Sub(p.sent) >= introducePause
	default:
		return !e.digestsCome(p.zone, now)
	}
}
