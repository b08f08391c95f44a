package claims

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/rpc"
)

// maxAppendAttempts is the largest number of attempts to append one batch. A new
// attempt is made when another host changed the log first, or when the index has to be
// refreshed before its decisions can be used.
const maxAppendAttempts = 8

// segmentMeta describes a retained segment without its records.
type segmentMeta struct {
	number     uint64
	version    uint64 // object version, for conditional updates and deletes
	lastUnixMS int64  // time of the newest record
}

// shardLog reads and writes the log of one shard and holds its index. It must be used
// by one goroutine at a time.
type shardLog struct {
	store     Store
	shard     int
	now       func() time.Time
	retention func() time.Duration
	sealBytes int
	sealAge   time.Duration

	index        *index        // nil until loaded, and after the log changed in a way that refresh cannot follow
	segments     []segmentMeta // ascending
	newest       *segment      // content of the last segment in segments
	removedBelow uint64        // the index holds no keys of segments with numbers below this
	needsRefresh bool          // the newest segment must be read before operations are decided
	syncedAt     time.Time     // when the index was last compared with the platform
}

// decision is the planned result of an operation. It takes effect when the batch is
// written or, if there is nothing to write, when the index is up to date.
type decision struct {
	operation *operation
	response  *rpc.ClaimResponse
}

// plan contains the records and decisions for a batch according to the current
// index.
type plan struct {
	records   []record
	recorded  []*operation // the operations that records belong to, in the same order
	decisions []decision
}

// append decides the operations and writes their records to the log. After an error,
// operations may remain undecided; those whose records may be in the log are marked
// as maybeWritten.
func (l *shardLog) append(ctx context.Context, operations []*operation) error {
	refreshed := false
	for range maxAppendAttempts {
		didRead, err := l.catchUp(ctx)
		if err != nil {
			return err
		}
		refreshed = refreshed || didRead
		p := l.plan(operations)
		if len(p.records) == 0 {
			if len(p.decisions) == 0 || refreshed {
				finishAll(p.decisions)
				return nil
			}
			l.needsRefresh = true // without a write, an outdated index would go unnoticed
			continue
		}
		for _, o := range p.recorded {
			o.markMaybeWritten()
		}
		err = l.write(ctx, p.records)
		if err == nil {
			finishAll(p.decisions)
			return nil
		}
		l.needsRefresh = true
		if !errors.Is(err, objectstore.ErrConflict) && !errors.Is(err, errLogChanged) {
			return err
		}
	}
	return errContention
}

func finishAll(decisions []decision) {
	for _, d := range decisions {
		d.operation.finish(d.response, nil)
	}
}

// plan decides the operations: first the outcomes, then the claims, so that a key
// that is released in the batch can be claimed in the same batch.
func (l *shardLog) plan(operations []*operation) plan {
	l.dropExpiredKeys()
	var p plan
	overlay := l.index.overlay()
	now := l.now()
	for _, o := range operations {
		if o.isClaim() {
			continue
		}
		if overlay.outcomeHasEffect(&o.record) {
			p.add(o, overlay)
		}
		p.decisions = append(p.decisions, decision{operation: o})
	}
	for _, o := range operations {
		if !o.isClaim() {
			continue
		}
		if !o.isPending(now) {
			p.decisions = append(p.decisions, decision{o, unavailable(errUnavailable)})
			continue
		}
		response := overlay.decide(&o.record)
		if response == nil {
			p.add(o, overlay)
			response = &rpc.ClaimResponse{Result: rpc.ClaimResult_CLAIM_RESULT_GRANTED}
		}
		p.decisions = append(p.decisions, decision{o, response})
	}
	return p
}

// add plans a record for an operation and applies it to the overlay.
func (p *plan) add(o *operation, overlay *index) {
	p.records = append(p.records, o.record)
	p.recorded = append(p.recorded, o)
	overlay.apply(&o.record, 0)
}

// catchUp brings the index up to date with the platform if it may be out of date. It
// reports whether it read from the platform.
func (l *shardLog) catchUp(ctx context.Context) (bool, error) {
	if l.index != nil && !l.needsRefresh && l.now().Sub(l.syncedAt) <= maxSyncAge {
		return false, nil
	}
	if l.index == nil || len(l.segments) == 0 {
		return true, l.load(ctx)
	}
	started := l.now()
	if err := l.refresh(ctx); err != nil {
		return true, err
	}
	// This check must follow the read. If more than maxSyncAge has passed since the
	// last comparison, a segment just read may have been deleted after its retention
	// and then created a second time, by a writer that was paused for that long.
	if l.now().Sub(l.syncedAt) > maxSyncAge {
		return true, l.load(ctx)
	}
	l.syncedAt, l.needsRefresh = started, false
	return true, nil
}

// refresh adds the records written since the last read to the index.
func (l *shardLog) refresh(ctx context.Context) error {
	for {
		if err := l.refreshNewest(ctx); err != nil {
			return err
		}
		if !l.newest.Sealed {
			return nil
		}
		next := l.segments[len(l.segments)-1].number + 1
		o, err := l.store.Get(ctx, kindClaim, segmentName(l.shard, next))
		if errors.Is(err, objectstore.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := l.addSegment(&o, next); err != nil {
			return err
		}
	}
}

// refreshNewest reads the newest segment again unless it is sealed.
func (l *shardLog) refreshNewest(ctx context.Context) error {
	if l.newest.Sealed {
		return nil
	}
	meta := &l.segments[len(l.segments)-1]
	o, err := l.store.Get(ctx, kindClaim, segmentName(l.shard, meta.number))
	if errors.Is(err, objectstore.ErrNotFound) {
		return l.discardIndex()
	}
	if err != nil || o.Version == meta.version {
		return err
	}
	s, err := decodeSegment(&o)
	if err != nil {
		return err
	}
	loadedCount := len(l.newest.Records)
	if len(s.Records) < loadedCount {
		return l.discardIndex()
	}
	added, err := decodeRecords(s.Records[loadedCount:])
	if err != nil {
		return err
	}
	l.applyRecords(added, meta.number)
	l.newest = s
	meta.version, meta.lastUnixMS = o.Version, s.LastUnixMS
	return nil
}

// discardIndex drops the index, so that the next catchUp loads it again, and returns
// errLogChanged.
func (l *shardLog) discardIndex() error {
	l.reset()
	return errLogChanged
}

func (l *shardLog) reset() { l.index, l.segments, l.newest, l.removedBelow = nil, nil, nil, 0 }

// addSegment applies the records of the next segment to the index and makes it the
// newest one.
func (l *shardLog) addSegment(o *objectstore.Object, number uint64) error {
	s, err := decodeSegment(o)
	if err != nil {
		return err
	}
	records, err := decodeRecords(s.Records)
	if err != nil {
		return err
	}
	l.segments = append(l.segments, segmentMeta{number: number, version: o.Version, lastUnixMS: s.LastUnixMS})
	l.applyRecords(records, number)
	l.newest = s
	return nil
}

func (l *shardLog) applyRecords(records []record, number uint64) {
	for i := range records {
		l.index.apply(&records[i], uint32(number))
	}
}

// write adds records to the newest segment, or creates a new segment if there is none
// or the newest one is sealed.
func (l *shardLog) write(ctx context.Context, records []record) error {
	now := l.now().UnixMilli()
	encoded, err := encodeRecords(records)
	if err != nil {
		return err
	}
	if l.newest == nil || l.newest.Sealed {
		s := &segment{Format: segmentFormat, Shards: ShardCount, OpenedUnixMS: now, LastUnixMS: now, Records: encoded}
		return l.createSegment(ctx, s, records)
	}
	next := *l.newest
	next.Records = append(slices.Clip(next.Records), encoded...)
	next.LastUnixMS = max(next.LastUnixMS, now)
	value, err := l.sealAndEncode(&next, now)
	if err != nil {
		return err
	}
	meta := &l.segments[len(l.segments)-1]
	o, err := l.store.Update(ctx, kindClaim, segmentName(l.shard, meta.number), meta.version, value)
	if errors.Is(err, objectstore.ErrNotFound) {
		return l.discardIndex()
	}
	if err != nil {
		return err
	}
	meta.version, meta.lastUnixMS = o.Version, next.LastUnixMS
	l.applyRecords(records, meta.number)
	l.newest = &next
	return nil
}

// createSegment creates the next segment. The newest segment, if any, must be sealed.
func (l *shardLog) createSegment(ctx context.Context, s *segment, records []record) error {
	number := uint64(1)
	if n := len(l.segments); n > 0 {
		number = l.segments[n-1].number + 1
	}
	value, err := l.sealAndEncode(s, s.LastUnixMS)
	if err != nil {
		return err
	}
	o, err := l.store.Create(ctx, kindClaim, segmentName(l.shard, number), value)
	if err != nil {
		return err
	}
	if err := l.verifyCreatedOnce(ctx, number); err != nil {
		if errors.Is(err, errLogChanged) {
			_ = l.store.Delete(ctx, kindClaim, o.Name, o.Version)
		}
		l.reset()
		return err
	}
	l.segments = append(l.segments, segmentMeta{number: number, version: o.Version, lastUnixMS: s.LastUnixMS})
	l.applyRecords(records, number)
	l.newest = s
	return nil
}

// verifyFirstCreation returns errLogChanged if the segment that was just created may
// have existed and been deleted before. Segments are deleted in ascending order, so
// this is ruled out as long as the predecessor exists. The first segment has no
// predecessor: it must be the oldest segment of the log.
func (l *shardLog) verifyCreatedOnce(ctx context.Context, number uint64) error {
	if number > 1 {
		_, err := l.store.Get(ctx, kindClaim, segmentName(l.shard, number-1))
		if errors.Is(err, objectstore.ErrNotFound) {
			return errLogChanged
		}
		return err
	}
	oldestNumber, err := l.oldestNumber(ctx)
	if err == nil && oldestNumber != number {
		return errLogChanged
	}
	return err
}

// sealAndEncode encodes s, and seals it first if it is large or old enough.
func (l *shardLog) sealAndEncode(s *segment, now int64) (json.RawMessage, error) {
	s.Sealed = now-s.OpenedUnixMS >= l.sealAge.Milliseconds()
	value, err := json.Marshal(s)
	if err != nil {
		return nil, eris.Wrap(err, "encode claim segment")
	}
	if len(value) < l.sealBytes || s.Sealed {
		return value, nil
	}
	s.Sealed = true
	value, err = json.Marshal(s)
	return value, eris.Wrap(err, "encode claim segment")
}
