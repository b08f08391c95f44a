// Package peers exchanges state between the gateway hosts of a deployment. Each host
// regularly sends UDP heartbeats with its in-flight requests and the versions of its
// configuration and replica list. A host that is behind pulls the newer state over HTTP.
package peers

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"heatherbarrow/internal/gateway/boottime"
	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/netio"
	"heatherbarrow/internal/gateway/origin"
	"heatherbarrow/internal/gateway/state"
	"heatherbarrow/internal/httphead"
	"heatherbarrow/internal/rpc"
)

const (
	// minHeartbeatInterval and maxHeartbeatInterval bound the interval between heartbeats.
	// An engine takes tens to hundreds of milliseconds to process a prompt. Hosts whose view
	// of the others is older than that tend to pick the same replicas. Package fleet no
	// longer counts a host that is silent for two of the longest intervals.
	minHeartbeatInterval = 50 * time.Millisecond
	maxHeartbeatInterval = time.Second
	// maxHeartbeatsPerSecond bounds the datagrams that a host sends to the hosts of its
	// availability zone, and separately those to the hosts of all other zones. The resulting
	// interval is 53 ms with 8 hosts and 173 ms with 26.
	maxHeartbeatsPerSecond = 150
	// pullDelay is how long a peer's heartbeats must announce newer state before this host
	// pulls it: usually the host's own watch on the store delivers it first. A host that does
	// not follow the store has no watch and pulls from peers of its zone at once.
	pullDelay = 200 * time.Millisecond
	// pullTimeout bounds a pull: 3,000 replicas take 0.2 MB, over links of 24 Mbit/s that are
	// shared with other pulls.
	pullTimeout = 2 * time.Second
	// pullAnswerTimeout bounds the time until the answer to a pull begins. A host composes it within milliseconds;
	// one that is paused must not hold up pulls from others.
	pullAnswerTimeout = 500 * time.Millisecond
	// maxPullBytes bounds the response to a pull: the largest configuration (1 MB) and all
	// replicas fit.
	maxPullBytes = 8 << 20
	// minPullInterval is the minimum pause between two pulls.
	minPullInterval = 250 * time.Millisecond
	// busyRetryDelay is the minimum pause before the next pull after a busy host refused
	// one. Random jitter of up to the same length is added.
	busyRetryDelay = 30 * time.Millisecond
	// silenceTimeout is how long a host may be silent, that is neither send a heartbeat nor be
	// listed in a digest, before it gets only one heartbeat per silentPeerInterval. After
	// peerExpiry a silent host is removed.
	silenceTimeout     = 5 * time.Second
	silentPeerInterval = 2 * time.Second
	peerExpiry         = 10 * time.Minute
	// maxDatagramBytes bounds a datagram (a heartbeat or one part of a zone digest) and is the
	// size of the receive buffer. The network would fragment a larger datagram, and the loss
	// of one fragment loses the whole datagram.
	maxDatagramBytes = 1400
	// maxPromptParts bounds the prompt parts in a heartbeat so that it fits a datagram.
	maxPromptParts = 24
	// maxAdvertisedPeers bounds the peer addresses in a heartbeat.
	maxAdvertisedPeers = 8
	permille           = 1000
	// maxMissedHeartbeats is the number of consecutive heartbeats after whose loss or delay a
	// host of the zone no longer counts as live in the choice of the zone's store followers
	// and speaker. minLivenessTimeout is the lower bound of the resulting timeout, well above
	// the pauses of a busy process.
	maxMissedHeartbeats = 3
	minLivenessTimeout  = 600 * time.Millisecond
	// assumedLiveDuration is how long after this host's start a registered host counts as
	// live without having sent a heartbeat. Hosts that start together receive each other's
	// heartbeats within a few hundred milliseconds.
	assumedLiveDuration = 1200 * time.Millisecond
	// maxFullPulls is the number of full pulls that a host serves concurrently. Further
	// callers are refused at once and find another host that has the state by then. Without
	// the limit, hundreds of hosts that start together would all wait for the links of their
	// zone's two store followers.
	maxFullPulls = 6
	// roleUpdateInterval is the interval between updates of this host's role.
	roleUpdateInterval = 200 * time.Millisecond
	// classCountsInterval is the minimum interval between heartbeats that carry class counts,
	// about the time in which a host sees some requests of each class. engineSpeedsInterval is
	// the minimum interval between those that carry engine speeds. Hosts that have just started
	// learn the speeds together, by combining their measurements.
	classCountsInterval  = 250 * time.Millisecond
	engineSpeedsInterval = 500 * time.Millisecond
)

// Options configures an Exchange.
type Options struct {
	Host     string
	Zone     string
	Listen   string   // IP:port of the pull service, as other hosts reach it
	BeatPort int      // UDP port for heartbeats; the same on all hosts
	Seeds    []string // IP:port of the pull service of some hosts; may be out of date
	State    *state.State
	Fleet    *fleet.Fleet
	Origins  *origin.Tracker // of streams, which the hosts tell each other
	Dial     func(ctx context.Context, network, address string) (net.Conn, error)
	Logger   zerolog.Logger
	// Status returns this host's view of the deployment and the requests that this host
	// refuses, for operators.
	Status func() *rpc.GatewayStatus
	// ReadMembers brings the registrations up to date with the store: when it returns nil, they include all changes that the
	// store had confirmed when it was called. If nil, the store cannot be read.
	ReadMembers func(ctx context.Context) error
	// ReadStreams adds the streams that hosts have written to the store to Origins. If nil, the store cannot be read.
	ReadStreams func(ctx context.Context) error
	// Role holds whether this host follows the store itself. If nil, New creates one that is
	// following.
	Role *state.Role
	// Usage holds the usage counts that hosts tell each other; nil if usage is not counted.
	Usage Usage
	// OnHostCount is called when the number of known hosts, this one included, may have changed.
	// It runs with the Exchange's lock held and must not call the Exchange.
	OnHostCount func(hosts int)
}

// Exchange is the service that exchanges state with the other hosts.
type Exchange struct {
	opts        Options
	incarnation int64 // start of this process in Unix milliseconds; see sentOrder
	created     time.Time
	suspensions *boottime.Suspensions
	wall        boottime.Wall // as taken at the start
	wallOffset  atomic.Int64  // milliseconds by which it is behind the true time, see TrueUnixMilli
	socket      *net.UDPConn
	client      *http.Client
	storeReads  sharedCall // reads of the store by this host; see Refresh
	refresh     sharedCall // by this host or through another one
	streamReads sharedCall // reads of the streams in the store by this host

	// mu guards peers, seenHosts, expired, zones, speaker (see zoneSpeaker), seenInZone, assumedLive
	// and stalls.
	mu        sync.Mutex
	peers     map[string]*peer    // by pull address
	sequence  uint64              // of the last heartbeat; used only by the sending goroutine
	seenHosts map[string]struct{} // names of this host and of all hosts that ever sent a heartbeat
	expired   map[string]struct{} // addresses of peers that were removed after peerExpiry

	packedConfig  configCache
	pullAddresses chan string   // pull addresses of the peers to pull from
	now           chan struct{} // a value requests an immediate heartbeat; see Announce

	zones      map[string]*zone // the other availability zones
	speaker    zoneSpeaker
	nextDigest time.Time // when the next digest of this host's zone is due; used only by the sending goroutine
	seenInZone int       // number of hosts of this zone ever seen, this one included

	assumedLive map[string]time.Time // registered hosts of this zone, by name, and until when they count as live
	fullPulls   atomic.Int32         // full pulls being served
	stalls      stalls

	// The fields below are used only by the sending goroutine.
	announcing bool           // the next heartbeat goes to all hosts of other zones
	sameZone   recipientGroup // hosts of this availability zone; they prefer the same replicas as this host and so need fresher state
	otherZones recipientGroup // all other hosts, and those whose zone is not known yet
}

// recipientGroup is a group of hosts that get heartbeats at the same interval.
type recipientGroup struct {
	nextSend       time.Time
	pendingPrompts []*rpc.PromptUse // to send with the next heartbeat
	counts         time.Time        // when class counts were last sent
	speeds         time.Time        // when engine speeds were last sent
	// lastRefusedParts is when the group was last told of all parts that requests are refused for.
	lastRefusedParts time.Time
}

// peer is another host, identified by the address of its pull service.
type peer struct {
	address        string
	udpAddr        *net.UDPAddr
	host           string
	zone           string
	incarnation    int64
	sequence       uint64
	lastHeartbeat  time.Time
	heard          boottime.Stamp // of the last heartbeat
	addedAt        time.Time
	lastSent       time.Time // when the last heartbeat to this peer was sent
	storeReachable bool      // its last call to the store did not fail, or it made none
	lastInDigest   time.Time // when the last digest of its zone that lists it arrived
	declinedUntil  time.Time // when it may be offered requests again
	// unreachableUntil is when it may be offered requests of an upstream again of which it reached no replica.
	unreachableUntil map[string]time.Time
	replyDue         bool      // a heartbeat is due in reply to its first one
	aheadSince       time.Time // since when it announces newer state than this host's; zero if it does not
	announced        announcement
	transit          transit
	wallOffset       int64 // its time of day less that of this host in ms, if wallKnown
	wallKnown        bool
}

// announcement is the state that a peer has, as it told last.
type announcement struct {
	configVersion   int64
	era             uint64 // of the store, for membersRevision
	membersRevision uint64
	at              time.Time
}

// New returns an Exchange.
func New(opts Options) *Exchange {
	if opts.Origins == nil {
		opts.Origins = origin.NewTracker()
	}
	if opts.Role == nil {
		opts.Role = state.NewRole()
	}
	e := &Exchange{
		opts:          opts,
		created:       time.Now(),
		suspensions:   boottime.NewSuspensions(),
		wall:          boottime.NewWall(),
		incarnation:   time.Now().UnixMilli(),
		peers:         make(map[string]*peer),
		seenHosts:     map[string]struct{}{opts.Host: {}},
		seenInZone:    1,
		zones:         make(map[string]*zone),
		expired:       make(map[string]struct{}),
		pullAddresses: make(chan string, 1),
		now:           make(chan struct{}, 1),
	}
	// Each call opens a connection: one that has been idle may have gone silent, which only the timeout of the
	// call would show, too late for a change of the configuration.
	transport := httphead.NewTransport(&http.Transport{
		DialContext: opts.Dial, DisableKeepAlives: true, MaxResponseHeaderBytes: netio.MaxHeaderBytes, ResponseHeaderTimeout: pullAnswerTimeout,
	})
	e.storeReads = sharedCall{call: e.readStore, pause: storeReadPause}
	e.refresh = sharedCall{call: e.refreshMembers, pause: storeReadPause}
	e.streamReads = sharedCall{call: e.readStreams, pause: streamReadPause}
	e.client = &http.Client{Transport: netio.BoundBodies(transport, maxPullBytes), Timeout: pullTimeout}
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
	go e.stallLoop(ctx)
	go e.receiveLoop()
	go e.sendLoop(ctx)
	go e.originLoop(ctx)
	go e.pullLoop(ctx)
	go e.roleLoop(ctx)
	if e.opts.Usage != nil {
		go e.usageLoop(ctx)
	}
	return nil
}

// Stop implements kernel.Stopper. Nothing else tells the usage since the last time.
func (e *Exchange) Stop(context.Context) error {
	if e.opts.Usage != nil {
		e.SendUsage()
	}
	return e.socket.Close()
}

// Handler returns the pull service for the other hosts.
func (e *Exchange) Handler() http.Handler { return rpc.NewGatewayServer(e) }

// Add adds a peer by the address of its pull service.
func (e *Exchange) Add(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addPeer(address)
}

// AddInZone adds a peer with its availability zone, so that it gets heartbeats at the
// interval for that zone even before its own first heartbeat.
func (e *Exchange) AddInZone(address, zone string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.addPeer(address); p != nil && p.zone == "" {
		p.zone = zone
	}
}

// TakeExpired reports whether the peer at an address was removed because it had been silent for
// too long. The removal is reported only once.
func (e *Exchange) TakeExpired(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, expired := e.expired[address]
	delete(e.expired, address)
	return expired
}

// addPeer returns the peer with the given address and adds it if necessary. It returns nil for this
// host's own address and for an address that is not an IP and port. The caller must hold e.mu.
func (e *Exchange) addPeer(address string) *peer {
	if p, ok := e.peers[address]; ok || address == e.opts.Listen {
		return p
	}
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	if err != nil || ip == nil {
		e.opts.Logger.Warn().Str("address", address).Msg("peer address is invalid")
		return nil
	}
	p := &peer{address: address, udpAddr: &net.UDPAddr{IP: ip, Port: e.opts.BeatPort}, addedAt: time.Now()}
	e.peers[address] = p
	return p
}

// Announce requests an immediate heartbeat to all hosts, for example after a configuration change.
func (e *Exchange) Announce() {
	select {
	case e.now <- struct{}{}:
	default: // an announcement is pending already
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// IsZoneSpeaker reports whether this host is the speaker of its zone.
func (e *Exchange) IsZoneSpeaker() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.speaker.isSelf
}

// pullDue reports whether this host waits no longer for its own watch to deliver what the peer has announced. The
// caller must hold e.mu.
func (e *Exchange) pullDue(p *peer, now time.Time) bool {
	delay := pullDelay
	if !e.opts.Role.Following() && p.zone == e.opts.Zone {
		delay = 0
	}
	return !p.aheadSince.IsZero() && now.Sub(p.aheadSince) >= delay
}

// requestPull asks pullLoop to pull from a peer.
func (e *Exchange) requestPull(p *peer) {
	select {
	case e.pullAddresses <- p.address:
	default: // a pull is pending already
	}
}

// pullAnnounced requests a pull from the peer that was the last to announce newer state, if one is due. Hosts of zones
// that exchange digests announce a change only once, so that no further heartbeat would lead to the pull. A host that
// does not follow the store leaves the other zones to the hosts of its zone that do.
func (e *Exchange) pullAnnounced(now time.Time) {
	following := e.opts.Role.Following()
	e.mu.Lock()
	defer e.mu.Unlock()
	var latest *peer
	for _, p := range e.peers {
		if now.Sub(p.announced.at) > silenceTimeout || p.zone != e.opts.Zone && !following {
			continue
		}
		e.updateAhead(p, now)
		if e.pullDue(p, now) && (latest == nil || p.announced.at.After(latest.announced.at)) {
			latest = p
		}
	}
	if latest != nil {
		e.requestPull(latest)
	}
}
