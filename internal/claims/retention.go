package claims

import (
	"context"
	"errors"
	"time"

	"heatherbarrow/internal/objectstore"
)

// minSegments is the number of segments that are never deleted: the newest segment and
// its predecessor, whose existence proves that the newest one was created only once.
const minSegments = 2

// One maintenance pass deletes at most maxDeletesPerPass segments and starts no delete
// after deleteStartLimit, because the shard's claims wait during a pass and all shards
// share the platform's write rate. With a pass every maintenanceCheckInterval (5 s) and
// segments of defaultSealBytes, deletion keeps up with 140 claims/s per shard.
const (
	maxDeletesPerPass = 16
	deleteStartLimit  = 100 * time.Millisecond
)

// expiredSegments returns how many of the oldest segments are past their retention.
func (l *shardLog) expiredSegments() int {
	maxAge := max(l.retention(), minRetention) + clockSkewMargin
	cutoff := l.now().Add(-maxAge).UnixMilli()
	n := 0
	for n < len(l.segments)-minSegments && l.segments[n].lastUnixMS < cutoff {
		n++
	}
	return n
}

// dropExpiredKeys removes the keys of expired segments from the index.
func (l *shardLog) dropExpiredKeys() {
	n := l.expiredSegments()
	if n == 0 || l.segments[n].number == l.removedBelow {
		return
	}
	l.removedBelow = l.segments[n].number
	l.index.removeBelow(uint32(l.removedBelow))
}

// maintain updates the index from the platform and deletes some of the expired
// segments, oldest first.
func (l *shardLog) maintain(ctx context.Context) error {
	l.needsRefresh = true
	if _, err := l.catchUp(ctx); err != nil {
		return err
	}
	l.dropExpiredKeys()
	started := l.now()
	for range min(l.expiredSegments(), maxDeletesPerPass) {
		if l.now().Sub(started) > deleteStartLimit {
			return nil
		}
		oldest := l.segments[0]
		err := l.store.Delete(ctx, kindClaim, segmentName(l.shard, oldest.number), oldest.version)
		if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
			return err
		}
		l.segments = l.segments[1:]
	}
	return nil
}

// unloadIfIdle drops the index when it was last compared with the platform more than
// maxIdle ago. This frees its memory when another host has become the shard's
// preferred writer.
func (l *shardLog) unloadIfIdle(maxIdle time.Duration) {
	if l.index != nil && l.now().Sub(l.syncedAt) > maxIdle {
		l.reset()
	}
}
