// Package peers exchanges state between the gateways of a deployment: datagrams
// tell what each host has in progress and which configuration it knows, and a host
// that is behind pulls what it lacks.
package peers

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/netio"
	"heatherbarrow/internal/gateway/state"
	"heatherbarrow/internal/rpc"
)

const (
	// leastInterval and mostInterval bound the pause between two beats. A prompt takes
	// an engine tens to hundreds of milliseconds, and hosts that see an older state
	// pick the same replicas. A host that is silent for two of the longest pauses does not
	// count any more (fleet).
	leastInterval = 50 * time.Millisecond
	mostInterval  = time.Second
	// beatRate bounds the datagrams that a host sends in a second to the hosts of its
	// availability zone, and again to the others. The pauses follow: 53 ms with 8
	// hosts, 173 ms with 26.
	beatRate = 150
	// behindAfter is how long beats must tell of newer news before a host pulls them that
	// follows the store: usually its own watch brings them first. Others pull at once, from
	// a host of their availability zone.
	behindAfter = 200 * time.Millisecond
	// pullTimeout bounds a pull: 3,000 replicas are 0.2 MB, on links of 24 Mbit/s shared with
	// other pulls.
	pullTimeout = 2 * time.Second
	// maxPull bounds the bytes of a pull: the largest configuration, of 1 MB, and all replicas.
	maxPull = 8 << 20
	// pullPause is the least time between two pulls.
	pullPause = 250 * time.Millisecond
	// busyPause is the least time before another host is asked when one is busy; as much
	// again is spread.
	busyPause = 30 * time.Millisecond
	// quietAfter is how long a host may be silent before it gets a beat only after
	// each quietPause; forgetAfter, before it is forgotten.
	quietAfter  = 5 * time.Second
	quietPause  = 2 * time.Second
	forgetAfter = 10 * time.Minute
	// maxDatagram bounds a beat, in bytes; longer ones would be split by the network,
	// and the loss of one part loses all.
	maxDatagram = 1400
	// maxPrompts bounds the prompt parts of a beat so that it fits a datagram.
	maxPrompts = 24
	// maxPeersTold bounds the addresses of a beat.
	maxPeersTold = 8
	permille     = 1000
	// roleBeats is the number of beats in a row that may be lost, or late, before a host of
	// the zone does not count among those that follow the store; leastRole is the least
	// time for it, well above the pauses of a busy process.
	roleBeats = 3
	leastRole = 600 * time.Millisecond
	// presumeTime is how long a registered host counts as heard after this one's start.
	// Hosts that start together hear each other within some hundred milliseconds.
	presumeTime = 1200 * time.Millisecond
	// mostWholePulls is the number of pulls of everything that a host serves at a time.
	// Others are sent away at once and find a host that has it by then: with hundreds of
	// hosts that start together all would else wait for the links of the first two.
	mostWholePulls = 6
	// rolePause is the pause between two looks at the role.
	rolePause = 200 * time.Millisecond
	// countsPause is the least time between two beats with counts of classes, about the
	// time in which a host sees some requests of each; speedsPause that with speeds, which
	// hosts that have just started learn together.
	countsPause = 250 * time.Millisecond
	speedsPause = 500 * time.Millisecond
)

// Options configure an Exchange.
type Options struct {
	Host     string
	Zone     string
	Listen   string   // IP:port of the pull service, as others reach it
	BeatPort int      // datagrams; the same on all hosts
	Seeds    []string // IP:port of the pull service of some hosts; may be stale
	State    *state.State
	Fleet    *fleet.Fleet
	Dial     func(ctx context.Context, network, address string) (net.Conn, error)
	Logger   zerolog.Logger
	// Status tells operators what this host believes and refuses.
	Status func() *rpc.GatewayStatus
	// Role is whether this host follows the store itself; it always does when nil.
	Role *state.Role
	// Heard is called with the number of hosts known, this one included.
	Heard func(hosts int)
}

// Exchange is the service that talks to the other hosts.
type Exchange struct {
	opts        Options
	incarnation int64
	socket      *net.UDPConn
	client      *http.Client

	mu       sync.Mutex
	peers    map[string]*peer // by pull address
	sequence uint64
	known    map[string]struct{} // names of hosts ever heard
	gone     map[string]struct{} // addresses that were silent for forgetAfter

	configs configCache
	pulls   chan string
	now     chan struct{} // asks for a beat at once

	zones     map[string]*zone // the other availability zones
	speaker   zoneSpeaker
	digestDue time.Time // of the next digest
	knownNear int       // hosts of the own zone ever heard, this one included

	presumed map[string]time.Time // registered hosts of the zone that count as heard until then
	serving  atomic.Int32         // pulls of everything in progress

	shared atomic.Bool // hosts of the zone leave it to others to follow the store

	// Used by the sending goroutine alone.
	news bool     // all hosts of other zones are told at once
	near audience // hosts of the own availability zone, whose replicas this host prefers
	far  audience // the others, and those never heard
}

// audience is a part of the hosts that get beats at the same pace.
type audience struct {
	due     time.Time
	prompts []*rpc.PromptUse // since the last beat to it
	counts  time.Time        // the last beat to it with counts of classes
	speeds  time.Time        // the last beat to it with speeds of engines
}

type peer struct {
	address     string
	datagrams   *net.UDPAddr
	host        string
	zone        string
	incarnation int64
	sequence    uint64
	heard       time.Time
	added       time.Time
	sent        time.Time // the last beat to it
	reachable   bool      // the store answered its last call
	told        time.Time // its zone's digest named it last
	owed        bool      // it was heard for the first time and gets an answer
	aheadSince  time.Time // its beats tell of newer news than this host's; zero when they do not
}

// New returns an exchange.
func New(opts Options) *Exchange {
	if opts.Role == nil {
		opts.Role = state.NewRole()
	}
	e := &Exchange{
		opts:        opts,
		incarnation: time.Now().UnixMilli(),
		peers:       make(map[string]*peer),
		known:       map[string]struct{}{opts.Host: {}},
		knownNear:   1,
		zones:       make(map[string]*zone),
		gone:        make(map[string]struct{}),
		pulls:       make(chan string, 1),
		now:         make(chan struct{}, 1),
	}
	transport := &http.Transport{
		DialContext: opts.Dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second, MaxResponseHeaderBytes: netio.MaxHeaderBytes,
	}
	e.client = &http.Client{Transport: netio.BoundBodies(transport, maxPull), Timeout: pullTimeout}
	return e
}

// Name implements kernel.Service.
func (e *Exchange) Name() string { return "peers" }

// Dependencies implements kernel.Dependent.
func (e *Exchange) Dependencies() []string { return []string{"state"} }

// Start implements kernel.Starter.
func (e *Exchange) Start(ctx context.Context) error {
	host, _, err := net.SplitHostPort(e.opts.Listen)
	if err != nil {
		return err
	}
	e.socket, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(host), Port: e.opts.BeatPort})
	if err != nil {
		return err
	}
	for _, seed := range e.opts.Seeds {
		e.Add(seed)
	}
	go e.receive()
	go e.send(ctx)
	go e.pull(ctx)
	go e.followRole(ctx)
	return nil
}

// Stop implements kernel.Stopper.
func (e *Exchange) Stop(context.Context) error { return e.socket.Close() }

// Handler returns the pull service for the other hosts.
func (e *Exchange) Handler() http.Handler { return rpc.NewGatewayServer(e) }

// Add makes another host known by the address of its pull service.
func (e *Exchange) Add(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.add(address)
}

// AddInZone makes another host known with its availability zone, so that it gets beats at the
// pace of its zone before it is heard.
func (e *Exchange) AddInZone(address, zone string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.add(address); p != nil && p.zone == "" {
		p.zone = zone
	}
}

// Gone tells whether an address was silent so long that it is no host's any more,
// and forgets that it was.
func (e *Exchange) Gone(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, gone := e.gone[address]
	delete(e.gone, address)
	return gone
}

func (e *Exchange) add(address string) *peer {
	if p, ok := e.peers[address]; ok || address == e.opts.Listen {
		return p
	}
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	if err != nil || ip == nil {
		e.opts.Logger.Warn().Str("address", address).Msg("address of another host cannot be read")
		return nil
	}
	p := &peer{address: address, datagrams: &net.UDPAddr{IP: ip, Port: e.opts.BeatPort}, added: time.Now()}
	e.peers[address] = p
	return p
}

// Announce sends a beat at once, for example after a new configuration.
func (e *Exchange) Announce() {
	select {
	case e.now <- struct{}{}:
	default: // one is due already
	}
}

func (e *Exchange) send(ctx context.Context) {
	timer := time.NewTimer(leastInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-e.now:
			e.near.due, e.far.due = time.Time{}, time.Time{}
			e.news = true
		}
		now := time.Now()
		e.beat(now)
		due := earlier(e.near.due, e.far.due)
		if e.Speaks() {
			due = earlier(due, e.digestDue)
		}
		timer.Reset(max(due.Sub(now), time.Millisecond))
	}
}

// interval returns the pause after a beat to a number of hosts.
func interval(hosts int) time.Duration {
	if hosts == 0 {
		return mostInterval
	}
	return min(max(time.Duration(hosts)*time.Second/beatRate, leastInterval), mostInterval)
}

// beat sends this host's state to the audiences that are due.
func (e *Exchange) beat(now time.Time) {
	e.opts.Fleet.ExpireDigests(now)
	message := e.compose(now)
	e.sendDigests(now, message.Prompts, message.Crashes)
	message.Prompts = nil
	uses := message.Uses
	for _, a := range []*audience{&e.near, &e.far} {
		if now.Before(a.due) {
			continue
		}
		targets, peers := e.targets(a == &e.near, now)
		a.due = now.Add(interval(len(targets)))
		if a == &e.far {
			e.news = false
		}
		message.Uses, message.Peers = uses, peers // a beat that is too long has lost uses
		message.Prompts, a.prompts = a.prompts, nil
		message.Classes, message.Speeds = nil, nil
		if now.Sub(a.counts) >= countsPause {
			a.counts, message.Classes = now, classMessages(e.opts.Fleet.ClassCounts())
		}
		if now.Sub(a.speeds) >= speedsPause {
			a.speeds, message.Speeds = now, e.speeds()
		}
		e.sendTo(targets, message)
	}
}

func (e *Exchange) sendTo(targets []*net.UDPAddr, message *rpc.Beat) {
	if len(targets) == 0 {
		return
	}
	trim(message)
	data, err := proto.Marshal(message)
	if err != nil {
		e.opts.Logger.Error().Err(err).Msg("beat cannot be encoded")
		return
	}
	for _, to := range targets {
		// The next beat replaces one that was not sent.
		if _, err := e.socket.WriteToUDP(data, to); err != nil {
			e.opts.Logger.Debug().Err(err).Stringer("to", to).Msg("beat was not sent")
		}
	}
}

// targets returns the addresses of an audience that get a beat now, and the hosts to
// tell them of.
func (e *Exchange) targets(near bool, now time.Time) (targets []*net.UDPAddr, peers []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, p := range e.peers {
		silent := now.Sub(later(later(p.heard, p.told), p.added))
		if silent > forgetAfter {
			delete(e.peers, address)
			e.gone[address] = struct{}{}
			continue
		}
		if silent < quietAfter && !p.heard.IsZero() && len(peers) < maxPeersTold {
			peers = append(peers, address)
		}
		if near != (p.zone == e.opts.Zone) || silent > quietAfter && now.Sub(p.sent) < quietPause {
			continue
		}
		if !near && !e.news && !e.needsBeat(p, now) {
			continue
		}
		p.sent, p.owed = now, false
		targets = append(targets, p.datagrams)
	}
	return targets, peers
}

// compose makes a beat without hosts and prompts and hands new prompts to the audiences.
func (e *Exchange) compose(now time.Time) *rpc.Beat {
	e.sequence++
	message := &rpc.Beat{
		Host: e.opts.Host, AvailabilityZone: e.opts.Zone, Incarnation: e.incarnation, Sequence: e.sequence,
		PullAddress: e.opts.Listen, ConfigVersion: e.opts.State.ConfigVersion(),
		MembersRevision: e.opts.State.MembersRevision(), StoreReachable: !e.opts.State.StoreLost(),
	}
	uses, parts, tokens := e.opts.Fleet.Digest(now)
	for key, u := range uses {
		message.Uses = append(message.Uses, useMessage(key, u))
	}
	for i, part := range parts {
		use := &rpc.PromptUse{Replica: part.Replica, Part: part.Part, Tokens: uint32(tokens[i])}
		message.Prompts = append(message.Prompts, use)
		e.near.add(use)
		e.far.add(use)
	}
	for _, c := range e.opts.Fleet.Crashes(now) {
		message.Crashes = append(message.Crashes, &rpc.Crash{Fingerprint: c.Fingerprint, Upstream: c.Upstream, Replica: c.Replica})
	}
	return message
}

// add takes a prompt part for the next beat. The newest parts matter most: those
// before may have left the replica's memory.
func (a *audience) add(use *rpc.PromptUse) {
	if len(a.prompts) == maxPrompts {
		a.prompts = append(a.prompts[:0], a.prompts[1:]...)
	}
	a.prompts = append(a.prompts, use)
}

// trim leaves out the replicas with the least work until the beat fits a datagram.
func trim(m *rpc.Beat) {
	slices.SortFunc(m.Uses, func(a, b *rpc.ReplicaUse) int {
		return cmp.Or(cmp.Compare(b.PrefillMs, a.PrefillMs), cmp.Compare(b.Running, a.Running), cmp.Compare(b.PrefillPermille, a.PrefillPermille))
	})
	for size := proto.Size(m); size > maxDatagram && len(m.Uses) > 0; size = proto.Size(m) {
		const mostUse = 40 // bytes of a replica's entry at most
		drop := min((size-maxDatagram)/mostUse+1, len(m.Uses))
		m.Uses = m.Uses[:len(m.Uses)-drop]
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (e *Exchange) receive() {
	buffer := make([]byte, maxDatagram)
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
			e.opts.Logger.Warn().Err(err).Msg("datagram cannot be read")
			continue
		}
		e.handle(&message, time.Now())
	}
}

// handle takes the beat of another host.
func (e *Exchange) handle(m *rpc.Beat, now time.Time) {
	if m.ZoneDigest != nil {
		e.handleDigest(m.ZoneDigest, now)
		return
	}
	if m.Host == e.opts.Host || !e.note(m, now) {
		return
	}
	if m.AvailabilityZone != e.opts.Zone && e.hearsZone(m.AvailabilityZone, now) {
		return // the digests of its zone hold what it has in progress
	}
	uses, parts, tokens := usesOf(m.Uses, m.Prompts)
	e.opts.Fleet.ApplyDigest(m.Host, uses, parts, tokens, now)
	e.opts.Fleet.ApplyCrashes(crashesOf(m.Crashes), now)
	e.opts.Fleet.ApplyClassCounts(m.Host, m.AvailabilityZone == e.opts.Zone, countsOf(m.Classes), now)
	e.opts.Fleet.ApplySpeeds(m.Host, speedsOf(m.Speeds), now)
	e.collect(m, now)
}

// hearsZone tells whether digests of a zone come.
func (e *Exchange) hearsZone(zone string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	z, ok := e.zones[zone]
	return ok && now.Sub(z.heard) < digestLost
}

// Speaks tells whether this host speaks for its zone.
func (e *Exchange) Speaks() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.speaker.speaks
}

// note records that a host was heard. It returns false for a beat that is older
// than one before.
func (e *Exchange) note(m *rpc.Beat, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.add(m.PullAddress)
	if p == nil {
		return false
	}
	if c := cmp.Compare(m.Incarnation, p.incarnation); c < 0 || c == 0 && m.Sequence <= p.sequence {
		return false
	}
	if p.heard.IsZero() || now.Sub(p.heard) > quietAfter {
		e.opts.Logger.Info().Str("peer", m.Host).Str("address", m.PullAddress).Msg("host heard")
	}
	p.host, p.zone, p.incarnation, p.sequence, p.heard = m.Host, m.AvailabilityZone, m.Incarnation, m.Sequence, now
	p.reachable = m.StoreReachable
	if _, ok := e.known[m.Host]; !ok {
		e.known[m.Host] = struct{}{}
		if m.AvailabilityZone == e.opts.Zone {
			e.knownNear++
		} else {
			p.owed = true
		}
		e.tellHosts()
	}
	for _, address := range m.Peers {
		e.add(address)
	}
	if m.ConfigVersion > e.opts.State.ConfigVersion() || m.MembersRevision > e.opts.State.MembersRevision() {
		if p.aheadSince.IsZero() {
			p.aheadSince = now
		}
	} else {
		p.aheadSince = time.Time{}
	}
	wait := behindAfter
	if !e.opts.Role.Following() && p.zone == e.opts.Zone {
		wait = 0
	}
	if !p.aheadSince.IsZero() && now.Sub(p.aheadSince) >= wait {
		select {
		case e.pulls <- p.address:
		default: // a pull is waiting already
		}
	}
	return true
}
