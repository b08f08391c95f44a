package claims

import (
	"context"
	"sync"
	"time"

	"heatherbarrow/internal/rpc"
)

// refuseAfter is the number of failed rounds in a row after which waiting claims
// are refused at once instead of at their deadline.
const refuseAfter = 2

// shardWriter collects operations and appends them to a shard's log in batches.
type shardWriter struct {
	service *Service
	shard   int
	log     *shardLog

	mu         sync.Mutex
	queue      []*operation
	due        time.Time // when the queue is to be written; zero when it is empty
	wake       chan struct{}
	failures   int
	maintained time.Time
	earliest   time.Time // no write begins before this
}

// add queues operations. It refuses claims when too many wait.
func (w *shardWriter) add(operations ...*operation) {
	var refused []*operation
	w.mu.Lock()
	for _, o := range operations {
		if o.isClaim() && len(w.queue) >= maxPending {
			refused = append(refused, o)
			continue
		}
		w.queue = append(w.queue, o)
		w.advance(w.service.dueTime(o))
	}
	w.mu.Unlock()
	for _, o := range refused {
		o.finish(unavailable(errContention), nil)
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *shardWriter) advance(due time.Time) {
	if w.due.IsZero() || due.Before(w.due) {
		w.due = due
	}
}

// run writes batches and maintains the shard until ctx ends, then writes what is queued.
func (w *shardWriter) run(ctx context.Context) {
	clock := w.service.options.Clock
	maintenance := clock.NewTicker(warmInterval)
	defer maintenance.Stop()
	for {
		timer := clock.NewTimer(w.wait())
		select {
		case <-ctx.Done():
			timer.Stop()
			w.flush(ctx)
			return
		case <-w.wake:
		case <-timer.Chan():
		case <-maintenance.Chan():
			w.maintain(ctx)
		}
		timer.Stop()
		if w.wait() == 0 {
			w.round(ctx)
		}
	}
}

// wait returns the time until the next round.
func (w *shardWriter) wait() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.due.IsZero() {
		return maintenanceInterval
	}
	at := w.due
	if at.Before(w.earliest) {
		at = w.earliest
	}
	return max(0, at.Sub(w.service.options.Clock.Now()))
}

func (w *shardWriter) take() []*operation {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.queue), maxBatch)
	batch := w.queue[:n:n]
	w.queue = w.queue[n:]
	w.due = time.Time{}
	for _, o := range w.queue {
		w.advance(w.service.dueTime(o))
	}
	return batch
}

// round appends one batch.
func (w *shardWriter) round(ctx context.Context) {
	batch := w.take()
	if len(batch) == 0 {
		return
	}
	options := &w.service.options
	started := options.Clock.Now()
	err := w.withIndex(ctx, func(call context.Context) error { return w.log.append(call, batch) })
	if err == nil {
		w.failures = 0
		w.setEarliest(started.Add(options.WriteSpacing))
		return
	}
	w.failures++
	w.service.failed(w.shard, w.failures, err)
	w.setEarliest(options.Clock.Now().Add(options.RetryDelay))
	w.requeue(batch, err)
}

// withIndex loads the index if there is none, which may take long, and then runs
// step within AppendTimeout.
func (w *shardWriter) withIndex(ctx context.Context, step func(ctx context.Context) error) error {
	if w.log.index == nil {
		call, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		if err := w.log.load(call); err != nil {
			return err
		}
	}
	call, cancel := context.WithTimeout(ctx, w.service.options.AppendTimeout)
	defer cancel()
	return step(call)
}

func (w *shardWriter) setEarliest(t time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.earliest = t
}

// requeue keeps what a failed round did not decide: outcomes always, claims
// while they may still succeed.
func (w *shardWriter) requeue(batch []*operation, cause error) {
	now := w.service.options.Clock.Now()
	var kept []*operation
	for _, o := range batch {
		switch {
		case o.isDecided():
		case !o.isClaim(), w.failures < refuseAfter && o.live(now):
			kept = append(kept, o)
		default:
			o.finish(unavailable(cause), nil)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(kept, w.queue...)
	if len(w.queue) > 0 {
		w.advance(now)
	}
}

func (w *shardWriter) maintain(ctx context.Context) {
	if _, self := w.service.preferred(w.shard); !self {
		w.log.idle(staleAfter)
		return
	}
	now := w.service.options.Clock.Now()
	if w.log.index != nil && w.log.expired() == 0 && now.Sub(w.maintained) < maintenanceInterval {
		return
	}
	w.maintained = now
	if err := w.withIndex(ctx, w.log.maintain); err != nil {
		w.service.options.Logger.Debug().Err(err).Int("shard", w.shard).Msg("claim log could not be maintained")
	}
}

// flush writes queued outcomes once more before the process stops.
func (w *shardWriter) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	for batch := w.take(); len(batch) > 0; batch = w.take() {
		for _, o := range batch {
			if o.isClaim() {
				o.finish(unavailable(errUnavailable), nil)
			}
		}
		if err := w.log.append(ctx, batch); err != nil {
			w.service.options.Logger.Warn().Err(err).Int("shard", w.shard).Int("records", len(batch)).Msg("outcomes lost at stop")
			return
		}
	}
}

func (o *operation) isDecided() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state == stateDecided
}

// isUnavailable tells whether a response leaves a claim undecided.
func isUnavailable(r *rpc.ClaimResponse) bool {
	return r == nil || r.Result == rpc.ClaimResult_CLAIM_RESULT_UNAVAILABLE
}
