package router

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"heatherbarrow/internal/rpc"
)

const (
	// recorderQueue bounds the outcomes that wait while control is away. A claim
	// without an outcome counts as unknown, which is true if less helpful.
	recorderQueue   = 8192
	recorderWorkers = 8
	// outcomeTimeout bounds one call that hands an outcome to control.
	outcomeTimeout = 2 * time.Second
	// outcomeRetries bounds the time in which an outcome is handed over again.
	outcomeRetries    = 2 * time.Minute
	flushPollInterval = 10 * time.Millisecond
)

// recorder hands the outcomes of claimed calls to control behind the answers,
// again and again while control cannot be reached.
type recorder struct {
	feed    rpc.Feed
	logger  zerolog.Logger
	metrics *metrics
	queue   chan *rpc.OutcomeRequest
	pending atomic.Int64 // outcomes queued or being handed over
}

func newRecorder(feed rpc.Feed, logger zerolog.Logger, m *metrics) *recorder {
	return &recorder{feed: feed, logger: logger, metrics: m, queue: make(chan *rpc.OutcomeRequest, recorderQueue)}
}

// run hands outcomes over until ctx ends.
func (r *recorder) run(ctx context.Context) {
	var workers sync.WaitGroup
	for range recorderWorkers {
		workers.Go(func() { r.work(ctx) })
	}
	workers.Wait()
}

func (r *recorder) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-r.queue:
			r.handOver(ctx, request)
			r.pending.Add(-1)
		}
	}
}

// add queues an outcome.
func (r *recorder) add(request *rpc.OutcomeRequest) {
	r.pending.Add(1)
	select {
	case r.queue <- request:
	default:
		r.pending.Add(-1)
		r.lose(request, errors.New("too many outcomes wait for control"))
	}
}

func (r *recorder) handOver(ctx context.Context, request *rpc.OutcomeRequest) {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = 100 * time.Millisecond
	policy.MaxInterval = 2 * time.Second
	_, err := backoff.Retry(ctx, func() (*rpc.OutcomeResponse, error) {
		call, cancel := context.WithTimeout(ctx, outcomeTimeout)
		defer cancel()
		response, err := r.feed.RecordOutcome(call, request)
		if isFinal(err) {
			return nil, backoff.Permanent(err)
		}
		return response, err
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(outcomeRetries))
	if err != nil {
		r.lose(request, err)
	}
}

// isFinal tells whether control refused an outcome in a way that no later try
// can change.
func isFinal(err error) bool {
	var refusal twirp.Error
	if !errors.As(err, &refusal) {
		return false
	}
	switch refusal.Code() {
	case twirp.InvalidArgument, twirp.NotFound, twirp.AlreadyExists, twirp.FailedPrecondition, twirp.BadRoute, twirp.Malformed:
		return true
	default:
		return false
	}
}

func (r *recorder) lose(request *rpc.OutcomeRequest, err error) {
	r.metrics.lost.Inc(1)
	r.logger.Warn().Err(err).Str("request", request.Attempt).Str("outcome", request.Outcome).
		Msg("outcome of a claimed call could not be recorded")
}

// flush waits until all outcomes are handed over or given up, or ctx ends.
func (r *recorder) flush(ctx context.Context) {
	for r.pending.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, flushPollInterval)
	}
}
