package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/kernel"
	"heatherbarrow/internal/membership"
	"heatherbarrow/internal/rpc"
)

const (
	// exchangeInterval is how often a host opens an exchange in its zone. With
	// answers, news reaches 57 hosts in about three intervals.
	exchangeInterval = 500 * time.Millisecond
	// remoteInterval is how often a watcher opens an exchange with one other zone.
	remoteInterval  = time.Second
	exchangeTimeout = time.Second
	fetchTimeout    = 1500 * time.Millisecond
	// silentChance is how often an exchange goes to a host that was not heard:
	// it may be back, or may have been behind a cut.
	silentChance = 0.15
	// pushFanout is the number of peers that hear of an urgent change at once.
	// Each tells as many in turn; what is missed comes with the exchanges.
	pushFanout = 4
	// pushDelay gathers the reports of one crash, one for each request that was in
	// flight, in one message.
	pushDelay = 5 * time.Millisecond
	// pushPause bounds how often one host pushes.
	pushPause = 50 * time.Millisecond
	// pushBurst and pushRefill bound the pushes of urgent changes, since each makes
	// every host send several messages and 14 KB/s is all that one may send. Beyond
	// that, changes wait for the exchanges.
	pushBurst    = 16
	pushRefill   = 10 * time.Second
	fetchers     = 2
	hedgeAfter   = 500 * time.Millisecond
	maxExchanges = 8 // exchanges of one host at the same time
)

// PeerProvider exchanges state with other hosts and fetches bundles from them.
type PeerProvider struct {
	HTTP   *http.Client
	Scheme string

	bus     *bus.Bus
	loop    *Loop
	mu      sync.Mutex
	clients map[string]rpc.Peer
	slots   chan struct{}
	round   int

	fetching  uint64 // generation of the newest fetch
	fetchedAt time.Time
}

// Name implements kernel.Service.
func (p *PeerProvider) Name() string { return ServicePeerProvider }

// Dependencies implements kernel.Dependent.
func (p *PeerProvider) Dependencies() []string { return []string{ServiceBus, ServiceLoop} }

// Provision implements kernel.Provisioner.
func (p *PeerProvider) Provision(r *kernel.Registry) (err error) {
	p.clients, p.slots = make(map[string]rpc.Peer), make(chan struct{}, maxExchanges)
	if p.bus, err = kernel.Lookup[*bus.Bus](r, ServiceBus); err != nil {
		return err
	}
	p.loop, err = kernel.Lookup[*Loop](r, ServiceLoop)
	return err
}

// Start implements kernel.Starter.
func (p *PeerProvider) Start(ctx context.Context) error {
	go p.repeat(ctx, exchangeInterval, p.exchangeInZone)
	go p.repeat(ctx, remoteInterval, p.exchangeRemote)
	go p.push(ctx)
	for range fetchers {
		go p.fetchBundles(ctx)
	}
	return nil
}

// Client returns the client of a host's peer service.
func (p *PeerProvider) Client(address string) rpc.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = rpc.NewPeerProtobufClient(p.Scheme+"://"+address, p.HTTP)
		p.clients[address] = c
	}
	return c
}

// repeat calls work with jitter, so that hosts that start together spread out.
func (p *PeerProvider) repeat(ctx context.Context, d time.Duration, work func(context.Context)) {
	for ctx.Err() == nil {
		work(ctx)
		pause(ctx, d*3/4+rand.N(d/2))
	}
}

func (p *PeerProvider) exchangeInZone(ctx context.Context) {
	t := p.loop.State().Topology
	from := t.Live
	if len(from) == 0 || len(t.Silent) > 0 && rand.Float64() < silentChance {
		from = t.Silent
	}
	if len(from) > 0 {
		p.start(ctx, from[rand.IntN(len(from))], false)
	}
}

// exchangeRemote lets watchers tell one other zone after the other. A host that
// has no bundle asks other zones too.
func (p *PeerProvider) exchangeRemote(ctx context.Context) {
	s := p.loop.State()
	if !s.Topology.Watching && s.Bundle != nil {
		return
	}
	zones := sortedZones(s.Topology.Remote)
	if len(zones) == 0 {
		return
	}
	p.round++
	contacts := s.Topology.Remote[zones[p.round%len(zones)]]
	if len(contacts) > 0 {
		p.start(ctx, contacts[rand.IntN(len(contacts))], true)
	}
}

// push tells peers at once about urgent changes and new bundles.
func (p *PeerProvider) push(ctx context.Context) {
	var pushes, generation uint64
	urgent := rate.NewLimiter(rate.Every(pushRefill), pushBurst)
	for ctx.Err() == nil {
		s := p.loop.State()
		current := s.Bundle.GetGeneration()
		if s.Pushes != pushes || current != generation {
			pause(ctx, pushDelay)
			s = p.loop.State()
			if s.Bundle.GetGeneration() != generation || urgent.Allow() {
				p.pushOnce(ctx, s.Topology)
			}
			pushes, generation = s.Pushes, s.Bundle.GetGeneration()
			pause(ctx, pushPause)
			continue
		}
		select {
		case <-ctx.Done():
		case <-s.Changed():
		}
	}
}

func (p *PeerProvider) pushOnce(ctx context.Context, t *Topology) {
	for n, i := range rand.Perm(len(t.Live)) {
		if n == pushFanout {
			break
		}
		p.start(ctx, t.Live[i], false)
	}
	if !t.Watching {
		return
	}
	for _, contacts := range t.Remote {
		if len(contacts) > 0 {
			p.start(ctx, contacts[rand.IntN(len(contacts))], true)
		}
	}
}

// start opens an exchange in the background. When too many are waiting for
// silent hosts, it is left out; a later one repairs that.
func (p *PeerProvider) start(ctx context.Context, peer membership.Peer, remote bool) {
	select {
	case p.slots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-p.slots }()
		p.Exchange(ctx, peer, remote)
	}()
}

// Exchange opens one exchange with a peer.
func (p *PeerProvider) Exchange(ctx context.Context, peer membership.Peer, remote bool) {
	due := &MessageDue{Remote: remote}
	if p.bus.Publish(due) != nil {
		return
	}
	answer, err := p.call(ctx, peer, due.Message)
	if err != nil {
		_ = p.bus.Publish(SourceFailed{Err: peerError(peer.Host, err)})
		return
	}
	received := &MessageReceived{Message: answer}
	if p.bus.Publish(received) != nil {
		return
	}
	generation := answer.Bundle.GetGeneration()
	if generation == 0 {
		_ = p.bus.Publish(SourceFailed{Err: &SourceError{Source: "peer " + peer.Host, Reason: "has no bundle either"}})
	}
	_ = p.bus.Publish(SourceAnswered{Source: "peer " + peer.Host, Generation: generation})
	if answer.WantList || received.WantList {
		p.exchangeList(ctx, peer, remote, received.WantList)
	}
}

// exchangeList sends or asks for the names of the platform's list.
func (p *PeerProvider) exchangeList(ctx context.Context, peer membership.Peer, remote, want bool) {
	due := &MessageDue{Remote: remote, Names: true}
	if p.bus.Publish(due) != nil {
		return
	}
	due.Message.WantList = want
	if answer, err := p.call(ctx, peer, due.Message); err == nil {
		_ = p.bus.Publish(&MessageReceived{Message: answer})
	}
}

func (p *PeerProvider) call(ctx context.Context, peer membership.Peer, m *rpc.ExchangeMessage) (*rpc.ExchangeMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return p.Client(peer.Address).Exchange(ctx, m)
}

// fetchBundles fetches announced bundles. A peer that does not deliver costs one
// timeout; meanwhile another fetcher asks the next peer that announces.
func (p *PeerProvider) fetchBundles(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-p.loop.Fetches():
			p.fetch(ctx, f)
		}
	}
}

// mayFetch keeps several announcements of one generation from fetching it several
// times. After hedgeAfter another peer is asked; the exchanges announce it again.
func (p *PeerProvider) mayFetch(generation uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if generation <= p.fetching && now.Sub(p.fetchedAt) < hedgeAfter {
		return false
	}
	p.fetching, p.fetchedAt = generation, now
	return true
}

func (p *PeerProvider) fetch(ctx context.Context, f Fetch) {
	have := p.loop.State().Bundle
	if f.Generation <= have.GetGeneration() || !p.mayFetch(f.Generation) {
		return
	}
	source := "peer " + f.Peer.Host
	record, err := p.getBundle(ctx, f.Peer, have, have.GetSha256())
	if errors.Is(err, ErrTransfer) {
		record, err = p.getBundle(ctx, f.Peer, have, "")
	}
	if err != nil {
		_ = p.bus.Publish(SourceFailed{Err: &SourceError{Source: source, Reason: fmt.Sprintf("generation %d could not be fetched", f.Generation)}})
		return
	}
	if len(record.Content) > 0 {
		_ = p.loop.Offer(record, source)
	}
}

func (p *PeerProvider) getBundle(ctx context.Context, peer membership.Peer, have *rpc.BundleRecord, base string) (*rpc.BundleRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request := &rpc.BundleRequest{AboveGeneration: have.GetGeneration(), HaveSha256: base}
	record, err := p.Client(peer.Address).GetBundle(ctx, request)
	if err != nil || record.Generation <= have.GetGeneration() {
		return record, err
	}
	return Restore(record, have)
}
