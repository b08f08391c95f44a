package claims

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"heatherbarrow/internal/rpc"
)

const (
	defaultBatchWindow     = 2 * time.Millisecond
	defaultWriteSpacing    = 50 * time.Millisecond // at most 20 writes/s for each shard
	defaultMaxOutcomeDelay = 250 * time.Millisecond
	// defaultForwardTimeout leaves a quarter of the default claim_wait (2 s) for a
	// write by this host. With a timeout of 400 ms, more than half of the claims were
	// refused while each platform call took 300 ms, because hosts gave up on the
	// slow preferred writer and then contended with it for the log.
	defaultForwardTimeout = 1500 * time.Millisecond
	defaultAppendTimeout  = 3 * time.Second
	defaultRetryDelay     = 100 * time.Millisecond
	defaultPeerBackoff    = 2 * time.Second
	// defaultSealBytes limits how much each write sends again. Smaller segments mean
	// less to send but more calls: each segment costs one read when it is created
	// and one write when it is deleted, which adds 5% to the writes at 400 claims/s.
	defaultSealBytes   = 8 << 10
	defaultSealAge     = time.Minute
	defaultMaxOutcomes = 65536

	// maintenanceInterval is the time between the maintenance passes of a preferred
	// writer while no segments are expired.
	maintenanceInterval = time.Minute
	// maintenanceCheckInterval is how often a writer checks whether it must load a
	// missing index or run a maintenance pass.
	maintenanceCheckInterval = 5 * time.Second
	// loadTimeout limits the time to read a whole shard; 672,000 keys took 10.6 s.
	loadTimeout     = time.Minute
	listPageTimeout = 10 * time.Second // for one page of a shard
	flushTimeout    = time.Second
)

// Host is a live host that can write claims.
type Host struct {
	Name    string
	Address string // IP:port of the peer service
}

// Appender is the part of rpc.Peer through which claims are forwarded to another host.
type Appender interface {
	AppendClaims(ctx context.Context, request *rpc.AppendClaimsRequest) (*rpc.AppendClaimsResponse, error)
}

// Options configures a Service. Zero durations, sizes and counts and a nil Clock, Hosts
// or Retention stand for the defaults.
type Options struct {
	Store     Store
	Host      string               // name of this host
	Hosts     func() []Host        // returns the live hosts, with or without this one
	Dial      func(Host) Appender  // if nil, this host writes everything itself
	Retention func() time.Duration // returns claim_retention of the bundle in force
	Clock     clockwork.Clock
	Logger    zerolog.Logger

	BatchWindow     time.Duration // how long claims, not-run outcomes and forwarded operations wait for others to share a write with
	WriteSpacing    time.Duration // minimum time between the starts of two writes to a shard
	MaxOutcomeDelay time.Duration // maximum time that an outcome other than not-run waits for a claim to share a write with
	ForwardTimeout  time.Duration // for forwarding a batch to the preferred writer
	AppendTimeout   time.Duration // for appending a batch to the log
	RetryDelay      time.Duration // minimum time between a failed attempt to append a batch and the next attempt
	PeerBackoff     time.Duration // how long no claims are forwarded to a peer after a failure
	SealBytes       int           // size at which a segment is sealed
	SealAge         time.Duration // age at which a segment is sealed
	MaxOutcomes     int           // maximum number of outcomes waiting to be written
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

func (o *Options) setDefaults() {
	setDefault(&o.Clock, clockwork.NewRealClock())
	setDefault(&o.BatchWindow, defaultBatchWindow)
	setDefault(&o.WriteSpacing, defaultWriteSpacing)
	setDefault(&o.MaxOutcomeDelay, defaultMaxOutcomeDelay)
	setDefault(&o.ForwardTimeout, defaultForwardTimeout)
	setDefault(&o.AppendTimeout, defaultAppendTimeout)
	setDefault(&o.RetryDelay, defaultRetryDelay)
	setDefault(&o.PeerBackoff, defaultPeerBackoff)
	setDefault(&o.SealBytes, defaultSealBytes)
	setDefault(&o.SealAge, defaultSealAge)
	setDefault(&o.MaxOutcomes, defaultMaxOutcomes)
	if o.Hosts == nil {
		o.Hosts = func() []Host { return nil }
	}
	if o.Retention == nil {
		o.Retention = func() time.Duration { return 24 * time.Hour }
	}
}

// Service implements Claimer for the router on this host and writes the claims that
// peers forward.
type Service struct {
	options         Options
	writers         [ShardCount]*shardWriter
	forwarders      [ShardCount]*forwarder
	pendingOutcomes atomic.Int64 // outcomes waiting to be written
	running         sync.WaitGroup
	stop            context.CancelFunc

	mu           sync.Mutex
	backoffUntil map[string]time.Time // by name of a peer that failed
}

// New returns a service. Start must be called before it is used.
func New(options Options) *Service {
	options.setDefaults()
	s := &Service{options: options, backoffUntil: make(map[string]time.Time)}
	for i := range s.writers {
		log := &shardLog{store: options.Store, shard: i, now: options.Clock.Now, retention: options.Retention, sealBytes: options.SealBytes, sealAge: options.SealAge}
		s.writers[i] = &shardWriter{service: s, shard: i, log: log, wake: make(chan struct{}, 1)}
		s.forwarders[i] = &forwarder{service: s, shard: i}
	}
	return s
}

// Start starts the shards' writers, which run until Close.
func (s *Service) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	for _, w := range s.writers {
		s.running.Go(func() { w.run(ctx) })
	}
}

// Close tries once to write the queued outcomes and stops the writers. Claim must not
// be called after Close.
func (s *Service) Close() {
	for _, f := range s.forwarders {
		f.close()
	}
	s.stop()
	s.running.Wait()
}

// Claim implements Claimer.
func (s *Service) Claim(ctx context.Context, request *rpc.ClaimRequest) *rpc.ClaimResponse {
	r, err := s.newClaimRecord(request)
	if err != nil {
		return unavailable(err)
	}
	r.Claim = newClaimID(request.Attempt)
	o := s.newOperation(r)
	o.releaseKey = s.releaseKey
	s.dispatch(o)
	select {
	case <-o.done:
	case <-ctx.Done():
		if o.abandon() {
			return unavailable(errUnavailable)
		}
		<-o.done
	}
	response, _ := o.result()
	if ctx.Err() != nil && response.Result == rpc.ClaimResult_CLAIM_RESULT_GRANTED {
		// The router may have stopped waiting and refused the call, so the claim
		// must not stay in the log.
		s.releaseKey(o)
		return unavailable(errUnavailable)
	}
	return response
}

// RecordOutcome implements Claimer.
func (s *Service) RecordOutcome(_ context.Context, request *rpc.OutcomeRequest) error {
	r, err := s.newOutcomeRecord(request)
	if err != nil {
		return err
	}
	return s.queueOutcome(r)
}

func (s *Service) queueOutcome(r record) error {
	if s.pendingOutcomes.Add(1) > int64(s.options.MaxOutcomes) {
		s.pendingOutcomes.Add(-1)
		return ErrOutcomesFull
	}
	o := s.newOperation(r)
	o.onDecided = func() { s.pendingOutcomes.Add(-1) }
	s.dispatch(o)
	return nil
}

// releaseKey frees the key of a claim that was refused although its record may be in
// the log. The record that it queues names the claim, not the attempt, so it cannot
// release another claim of the same attempt that was granted.
func (s *Service) releaseKey(o *operation) {
	r := o.record
	r.Outcome, r.Body = outcomeNotRun, bodyHash{}
	if err := s.queueOutcome(r); err != nil {
		s.options.Logger.Warn().Err(err).Str("claim", r.Claim).Msg("refused claim not released; its key stays in progress")
	}
}

func (s *Service) newOperation(r record) *operation {
	return &operation{record: r, queuedAt: s.options.Clock.Now(), urgent: r.Outcome == "" || r.Outcome == outcomeNotRun, done: make(chan struct{})}
}

// dueTime returns the time at which an operation makes its queue due.
func (s *Service) dueTime(o *operation) time.Time {
	if o.urgent || o.forwarded {
		return o.queuedAt.Add(s.options.BatchWindow)
	}
	return o.queuedAt.Add(s.options.MaxOutcomeDelay)
}

// dispatch queues an operation for the preferred writer of its shard: on this host or,
// through the forwarder, on a peer.
func (s *Service) dispatch(o *operation) {
	shard := shardOf(o.record.Key)
	if _, self := s.preferredWriter(shard); self {
		s.writers[shard].add(o)
		return
	}
	s.forwarders[shard].add(o)
}

// preferredWriter chooses the writer of a shard by rendezvous hashing over the live
// hosts and reports whether it is this host. The choice only reduces contention: any
// host may safely write to any shard at any time.
func (s *Service) preferredWriter(shard int) (Host, bool) {
	if s.options.Dial == nil {
		return Host{Name: s.options.Host}, true
	}
	preferred := Host{Name: s.options.Host}
	highestScore := rendezvousScore(preferred.Name, shard)
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.options.Hosts() {
		score := rendezvousScore(h.Name, shard)
		if h.Name == s.options.Host || score <= highestScore || now.Before(s.backoffUntil[h.Name]) {
			continue
		}
		preferred, highestScore = h, score
	}
	return preferred, preferred.Name == s.options.Host
}

func rendezvousScore(host string, shard int) uint64 {
	return xxhash.Sum64String(segmentPrefix(shard) + host)
}

// backOffPeer excludes a peer from the choice of writers for PeerBackoff.
func (s *Service) backOffPeer(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backoffUntil[name] = s.options.Clock.Now().Add(s.options.PeerBackoff)
}

// logFailure logs that a round of a shard's writer failed: the log could not be read
// or written, or other hosts changed it too often. The message is a warning only when
// the failure makes the writer start to refuse claims.
func (s *Service) logFailure(shard, failures int, err error) {
	event := s.options.Logger.Debug()
	if failures == refuseAfterFailures {
		event = s.options.Logger.Warn()
	}
	event.Err(err).Int("shard", shard).Int("failures", failures).Msg("claim log cannot be written")
}

func (s *Service) newClaimRecord(request *rpc.ClaimRequest) (record, error) {
	if len(request.Key) < keyBytes || len(request.BodyHash) < bodyHashBytes {
		return record{}, errHashLength
	}
	return record{
		Key: key(request.Key[:keyBytes]), Body: bodyHash(request.BodyHash[:bodyHashBytes]),
		Claim: request.Attempt, Host: s.options.Host,
	}, nil
}

func (s *Service) newOutcomeRecord(request *rpc.OutcomeRequest) (record, error) {
	if len(request.Key) < keyBytes {
		return record{}, errHashLength
	}
	return record{
		Key: key(request.Key[:keyBytes]), Claim: request.Attempt,
		Outcome: request.Outcome, Status: request.Status,
	}, nil
}
