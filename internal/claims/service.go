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
	defaultBatchWindow  = 2 * time.Millisecond
	defaultWriteSpacing = 50 * time.Millisecond // at most 20 writes/s for each shard
	defaultOutcomeDelay = 250 * time.Millisecond
	// defaultForwardTimeout leaves a quarter of the default claim wait for a write
	// on this host. With 400 ms, more than half the claims were refused while the
	// platform took 300 ms for each call: hosts gave up on a slow writer and
	// contended with it.
	defaultForwardTimeout = 1500 * time.Millisecond
	defaultAppendTimeout  = 3 * time.Second
	defaultRetryDelay     = 100 * time.Millisecond
	defaultAvoidTime      = 2 * time.Second
	// defaultSealBytes bounds what each write sends again. Smaller segments send less
	// and cost more calls: each is one read when created and one write when deleted,
	// which adds 5% to the writes at 400 claims/s.
	defaultSealBytes   = 8 << 10
	defaultSealAge     = time.Minute
	defaultMaxOutcomes = 65536

	maintenanceInterval = time.Minute
	warmInterval        = 5 * time.Second // a preferred writer without an index loads it this soon
	// loadTimeout bounds the listing of a whole shard; 672,000 keys took 10.6 s.
	loadTimeout  = time.Minute
	pageTimeout  = 10 * time.Second // bounds one list of it
	flushTimeout = time.Second
)

// Host is a host that can write claims.
type Host struct {
	Name    string
	Address string // IP:port of the peer service
}

// Appender is the part of rpc.Peer that takes forwarded claims.
type Appender interface {
	AppendClaims(ctx context.Context, request *rpc.AppendClaimsRequest) (*rpc.AppendClaimsResponse, error)
}

// Options configure a Service. Zero durations mean the defaults.
type Options struct {
	Store     Store
	Host      string
	Hosts     func() []Host        // live hosts; may leave out this one
	Dial      func(Host) Appender  // nil writes everything on this host
	Retention func() time.Duration // claim_retention of the bundle in force
	Clock     clockwork.Clock
	Logger    zerolog.Logger

	BatchWindow    time.Duration // wait for claims to share a write with
	WriteSpacing   time.Duration // shortest time between writes of a shard
	OutcomeDelay   time.Duration // longest wait of an outcome for a claim to share a write with
	ForwardTimeout time.Duration
	AppendTimeout  time.Duration
	RetryDelay     time.Duration
	AvoidTime      time.Duration // how long a peer that failed is not asked
	SealBytes      int           // size at which a segment is sealed
	SealAge        time.Duration // age at which a segment is sealed
	MaxOutcomes    int           // outcomes kept in memory while the platform is unavailable
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
	setDefault(&o.OutcomeDelay, defaultOutcomeDelay)
	setDefault(&o.ForwardTimeout, defaultForwardTimeout)
	setDefault(&o.AppendTimeout, defaultAppendTimeout)
	setDefault(&o.RetryDelay, defaultRetryDelay)
	setDefault(&o.AvoidTime, defaultAvoidTime)
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

// Service obtains claims for the router on this host and writes claims for peers.
type Service struct {
	options    Options
	writers    [ShardCount]*shardWriter
	forwarders [ShardCount]*forwarder
	outcomes   atomic.Int64 // outcomes in memory
	running    sync.WaitGroup
	stop       context.CancelFunc

	mu    sync.Mutex
	avoid map[string]time.Time
}

// New returns a service; Start must be called before use.
func New(options Options) *Service {
	options.setDefaults()
	s := &Service{options: options, avoid: make(map[string]time.Time)}
	for i := range s.writers {
		log := &shardLog{store: options.Store, shard: i, now: options.Clock.Now, retention: options.Retention, sealBytes: options.SealBytes, sealAge: options.SealAge}
		s.writers[i] = &shardWriter{service: s, shard: i, log: log, wake: make(chan struct{}, 1)}
		s.forwarders[i] = &forwarder{service: s, shard: i}
	}
	return s
}

// Start starts the writers, which run until Close.
func (s *Service) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	for _, w := range s.writers {
		s.running.Go(func() { w.run(ctx) })
	}
}

// Close writes the queued outcomes once more and stops. No claim may be asked
// for after it.
func (s *Service) Close() {
	for _, f := range s.forwarders {
		f.close()
	}
	s.stop()
	s.running.Wait()
}

// Claim implements Claimer.
func (s *Service) Claim(ctx context.Context, request *rpc.ClaimRequest) *rpc.ClaimResponse {
	r, err := s.claimRecord(request)
	if err != nil {
		return unavailable(err)
	}
	r.Claim = newClaimID(request.Attempt)
	o := s.newOperation(r)
	o.release = s.release
	s.send(o)
	select {
	case <-o.done:
	case <-ctx.Done():
		if o.abandon() {
			return unavailable(errUnavailable)
		}
		<-o.done
	}
	response, _ := o.decided()
	if ctx.Err() != nil && response.Result == rpc.ClaimResult_CLAIM_RESULT_GRANTED {
		// The router may have stopped waiting and refused the call.
		s.release(o)
		return unavailable(errUnavailable)
	}
	return response
}

// RecordOutcome implements Claimer.
func (s *Service) RecordOutcome(_ context.Context, request *rpc.OutcomeRequest) error {
	r, err := s.outcomeRecord(request)
	if err != nil {
		return err
	}
	return s.queueOutcome(r)
}

func (s *Service) queueOutcome(r record) error {
	if s.outcomes.Add(1) > int64(s.options.MaxOutcomes) {
		s.outcomes.Add(-1)
		return ErrOutcomesFull
	}
	o := s.newOperation(r)
	o.finished = func() { s.outcomes.Add(-1) }
	s.send(o)
	return nil
}

// release frees the key of a claim that was refused although it may be in the
// log. It names the claim, not the attempt, so it cannot apply to a claim that
// was granted.
func (s *Service) release(o *operation) {
	r := o.record
	r.Outcome, r.Body = outcomeNotRun, bodyHash{}
	if err := s.queueOutcome(r); err != nil {
		s.options.Logger.Warn().Err(err).Str("claim", r.Claim).Msg("refused claim not released; its key stays in progress")
	}
}

func (s *Service) newOperation(r record) *operation {
	return &operation{record: r, queued: s.options.Clock.Now(), urgent: r.Outcome == "" || r.Outcome == outcomeNotRun, done: make(chan struct{})}
}

func (s *Service) dueTime(o *operation) time.Time {
	if o.urgent || o.forwarded {
		return o.queued.Add(s.options.BatchWindow)
	}
	return o.queued.Add(s.options.OutcomeDelay)
}

// send hands an operation to its shard's preferred writer.
func (s *Service) send(o *operation) {
	shard := shardOf(o.record.Key)
	if _, self := s.preferred(shard); self {
		s.writers[shard].add(o)
		return
	}
	s.forwarders[shard].add(o)
}

// preferred returns the writer of a shard by rendezvous hashing over the live
// hosts, and whether it is this host. It only keeps contention low: any host may
// write to any shard at any time.
func (s *Service) preferred(shard int) (Host, bool) {
	if s.options.Dial == nil {
		return Host{Name: s.options.Host}, true
	}
	best := Host{Name: s.options.Host}
	highest := rendezvousScore(best.Name, shard)
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.options.Hosts() {
		score := rendezvousScore(h.Name, shard)
		if h.Name == s.options.Host || score <= highest || now.Before(s.avoid[h.Name]) {
			continue
		}
		best, highest = h, score
	}
	return best, best.Name == s.options.Host
}

func rendezvousScore(host string, shard int) uint64 {
	return xxhash.Sum64String(segmentPrefix(shard) + host)
}

func (s *Service) avoidHost(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoid[name] = s.options.Clock.Now().Add(s.options.AvoidTime)
}

func (s *Service) failed(shard, failures int, err error) {
	event := s.options.Logger.Debug()
	if failures == refuseAfter {
		event = s.options.Logger.Warn()
	}
	event.Err(err).Int("shard", shard).Int("failures", failures).Msg("claim log cannot be written")
}

func (s *Service) claimRecord(request *rpc.ClaimRequest) (record, error) {
	if len(request.Key) < keyBytes || len(request.BodyHash) < bodyBytes {
		return record{}, errKeyLength
	}
	return record{
		Key: key(request.Key[:keyBytes]), Body: bodyHash(request.BodyHash[:bodyBytes]),
		Claim: request.Attempt, Host: s.options.Host,
	}, nil
}

func (s *Service) outcomeRecord(request *rpc.OutcomeRequest) (record, error) {
	if len(request.Key) < keyBytes {
		return record{}, errKeyLength
	}
	return record{
		Key: key(request.Key[:keyBytes]), Claim: request.Attempt,
		Outcome: request.Outcome, Status: request.Status,
	}, nil
}
