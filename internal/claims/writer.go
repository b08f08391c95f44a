package claims

import (
	"context"
	"sync"
	"time"

	"heatherbarrow/internal/rpc"
)

// refuseAfterFailures is the number of consecutive failed rounds (calls of appendBatch)
// after which waiting claims are refused at once instead of at their deadline. Rounds are
// consecutive if one starts within AppendTimeout after the failure of the last: those of an
// earlier outage say nothing about a claim that comes later.
const refuseAfterFailures = 2

// shardWriter queues operations and appends them to the log of a shard in batches.
type shardWriter struct {
	service *Service
	shard   int
	log     *shardLog

	mu           sync.Mutex
	queue        []*operation
	dueAt        time.Time     // when the queue is to be written; zero when the queue is empty
	wake         chan struct{} // signals that operations were queued
	failures     int           // consecutive failed rounds
	failedAt     time.Time     // when the last of them failed
	maintainedAt time.Time
	notBefore    time.Time // no round starts before this time
}

// add queues operations. It refuses claims when the queue is full.
func (w *shardWriter) add(operations ...*operation) {
	var refused []*operation
	w.mu.Lock()
	for _, o := range operations {
		if o.isClaim() && len(w.queue) >= maxQueuedOperations {
			refused = append(refused, o)
			continue
		}
		w.queue = append(w.queue, o)
		w.advanceDue(w.service.dueTime(o))
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

// advanceDue makes the queue due at dueAt unless it is due earlier.
func (w *shardWriter) advanceDue(dueAt time.Time) {
	if w.dueAt.IsZero() || dueAt.Before(w.dueAt) {
		w.dueAt = dueAt
	}
}

// run writes batches and maintains the shard until ctx is canceled. It then refuses the
// queued claims and tries once to write the queued outcomes.
func (w *shardWriter) run(ctx context.Context) {
	clock := w.service.options.Clock
	maintenance := clock.NewTicker(maintenanceCheckInterval)
	defer maintenance.Stop()
	for {
		timer := clock.NewTimer(w.untilNextRound())
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
		if w.untilNextRound() == 0 {
			w.appendBatch(ctx)
		}
	}
}

// untilNextRound returns the time until the next batch may be written. While the queue
// is empty, it returns maintenanceInterval; run then waits for wake or for its
// maintenance ticker.
func (w *shardWriter) untilNextRound() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dueAt.IsZero() {
		return maintenanceInterval
	}
	at := w.dueAt
	if at.Before(w.notBefore) {
		at = w.notBefore
	}
	return max(0, at.Sub(w.service.options.Clock.Now()))
}

// takeBatch removes up to maxBatchOperations operations from the queue.
func (w *shardWriter) takeBatch() []*operation {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.queue), maxBatchOperations)
	batch := w.queue[:n:n]
	w.queue = w.queue[n:]
	w.dueAt = time.Time{}
	for _, o := range w.queue {
		w.advanceDue(w.service.dueTime(o))
	}
	return batch
}

// appendBatch runs one round: it appends one batch to the log and, if that fails,
// queues the undecided operations again.
func (w *shardWriter) appendBatch(ctx context.Context) {
	batch := w.takeBatch()
	if len(batch) == 0 {
		return
	}
	options := &w.service.options
	started := options.Clock.Now()
	if started.Sub(w.failedAt) > options.AppendTimeout {
		w.failures = 0
	}
	err := w.withIndex(ctx, func(callCtx context.Context) error { return w.log.append(callCtx, batch) })
	if err == nil {
		w.failures = 0
		w.setNotBefore(started.Add(options.WriteSpacing))
		return
	}
	w.failures, w.failedAt = w.failures+1, options.Clock.Now()
	w.service.logFailure(w.shard, w.failures, err)
	w.setNotBefore(options.Clock.Now().Add(options.RetryDelay))
	w.requeue(batch, err)
}

// withIndex loads the index if there is none and then runs step with AppendTimeout.
// Loading has a timeout of its own, because it reads the whole shard.
func (w *shardWriter) withIndex(ctx context.Context, step func(ctx context.Context) error) error {
	if w.log.index == nil {
		callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		if err := w.log.load(callCtx); err != nil {
			return err
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, w.service.options.AppendTimeout)
	defer cancel()
	return step(callCtx)
}

func (w *shardWriter) setNotBefore(t time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notBefore = t
}

// requeue puts the operations that a failed round left undecided back into the queue.
// It refuses claims that are no longer pending and, after refuseAfterFailures failed
// rounds, all claims.
func (w *shardWriter) requeue(batch []*operation, cause error) {
	now := w.service.options.Clock.Now()
	var requeued []*operation
	for _, o := range batch {
		switch {
		case o.isDecided():
		case !o.isClaim(), w.failures < refuseAfterFailures && o.isPending(now):
			requeued = append(requeued, o)
		default:
			o.finish(unavailable(cause), nil)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(requeued, w.queue...)
	if len(w.queue) > 0 {
		w.advanceDue(now)
	}
}

// maintain loads the index and deletes expired segments if this host is the shard's
// preferred writer. Otherwise it unloads an index that is no longer used.
func (w *shardWriter) maintain(ctx context.Context) {
	if _, self := w.service.preferredWriter(w.shard); !self {
		w.log.unloadIfIdle(maxSyncAge)
		return
	}
	now := w.service.options.Clock.Now()
	if w.log.index != nil && w.log.expiredSegments() == 0 && now.Sub(w.maintainedAt) < maintenanceInterval {
		return
	}
	w.maintainedAt = now
	if err := w.withIndex(ctx, w.log.maintain); err != nil {
		w.service.options.Logger.Debug().Err(err).Int("shard", w.shard).Msg("claim log could not be maintained")
	}
}

// flush refuses the queued claims and tries once to write the queued outcomes before
// the process stops. Outcomes of a batch that it logs as lost may still be in the log,
// because a failed write may have taken effect. The logged number of records includes
// the batch's refused claims, but not the batches that are still queued.
func (w *shardWriter) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	for batch := w.takeBatch(); len(batch) > 0; batch = w.takeBatch() {
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

// isUnavailable reports whether a response leaves a claim undecided.
func isUnavailable(r *rpc.ClaimResponse) bool {
	return r == nil || r.Result == rpc.ClaimResult_CLAIM_RESULT_UNAVAILABLE
}
