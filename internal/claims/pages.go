package claims

import (
	"context"
	"errors"
	"strings"

	"heatherbarrow/internal/objectstore"
)

const (
	segmentDigits = 10
	// pageDigits is the number of trailing digits in which the segments of one page
	// differ when a shard is first divided. The 1,000 segments of such a page take
	// about 9 MB when sealed, less than the 16 MB that objectstore.Client accepts
	// for a list.
	pageDigits = 3
)

// segmentWalk visits the segments of a shard in ascending order.
type segmentWalk struct {
	log            *shardLog
	previous       uint64 // number of the segment visited last, 0 for none
	discardVisited func() // called when the segments visited so far turn out not to be part of the log
	visit          func(o *objectstore.Object, number uint64) error
}

// run visits all segments of the shard, and lists them in pages when the shard is
// large. No segment is missed although the pages are read one after the other: the
// prefixes of the pages cover all names, and a segment that is created during the
// walk is either found by a later page or follows a segment that was read unsealed.
func (w *segmentWalk) run(ctx context.Context) error {
	return w.listRange(ctx, segmentPrefix(w.log.shard), "")
}

// listRange visits the segments whose numbers begin with digits.
func (w *segmentWalk) listRange(ctx context.Context, shardPrefix, digits string) error {
	objects, err := w.listPage(ctx, shardPrefix+digits)
	if errors.Is(err, objectstore.ErrTooLarge) && len(digits) < segmentDigits {
		for _, subrange := range splitRange(digits) {
			if err := w.listRange(ctx, shardPrefix, subrange); err != nil {
				return err
			}
		}
		return nil
	}
	if err != nil {
		return err
	}
	for i := range objects {
		if err := w.visitObject(ctx, &objects[i]); err != nil {
			return err
		}
	}
	return nil
}

// listPage returns the segments whose names begin with prefix.
func (w *segmentWalk) listPage(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, listPageTimeout)
	defer cancel()
	return w.log.store.List(ctx, kindClaim, prefix)
}

func (w *segmentWalk) visitObject(ctx context.Context, o *objectstore.Object) error {
	number, err := segmentNumber(o.Name)
	if err != nil {
		return err
	}
	if w.previous != 0 && number != w.previous+1 {
		if err := w.handleGap(ctx, number); err != nil {
			return err
		}
	}
	w.previous = number
	return w.visit(o, number)
}

// handleGap discards the segments below a gap in the numbers. Segments are deleted in
// ascending order, so a segment below a gap was created a second time, by a writer that
// was paused for longer than the retention. If segment firstAfterGap-1 does exist, the
// log changed during the walk and handleGap returns errLogChanged.
func (w *segmentWalk) handleGap(ctx context.Context, firstAfterGap uint64) error {
	_, err := w.log.store.Get(ctx, kindClaim, segmentName(w.log.shard, firstAfterGap-1))
	if err == nil {
		return errLogChanged
	}
	if !errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	w.discardVisited()
	return nil
}

// splitRange divides the numbers that begin with digits into smaller ranges and
// returns the leading digits of each, in ascending order. If digits is empty, it
// returns the page of the lowest numbers and then wider and wider ranges of higher
// numbers. Adding one digit at a time would not help there: all numbers of a shard
// begin with the same zeros, so each list would be too large again.
func splitRange(digits string) []string {
	const nonZeroDigits = "123456789"
	if digits != "" {
		ranges := []string{digits + "0"}
		for _, digit := range nonZeroDigits {
			ranges = append(ranges, digits+string(digit))
		}
		return ranges
	}
	zeros := segmentDigits - pageDigits
	ranges := []string{strings.Repeat("0", zeros)}
	for zeros--; zeros >= 0; zeros-- {
		for _, digit := range nonZeroDigits {
			ranges = append(ranges, strings.Repeat("0", zeros)+string(digit))
		}
	}
	return ranges
}

// load builds the index from all retained segments.
func (l *shardLog) load(ctx context.Context) error {
	started := l.now()
	resetIndex := func() {
		l.reset()
		l.index = newIndex()
	}
	walk := segmentWalk{log: l, discardVisited: resetIndex, visit: func(o *objectstore.Object, number uint64) error {
		if l.newest != nil && !l.newest.Sealed {
			return errLogChanged // a segment was created between the reads of two pages
		}
		return l.addSegment(o, number)
	}}
	resetIndex()
	if err := walk.run(ctx); err != nil {
		l.reset()
		return err
	}
	l.syncedAt, l.needsRefresh = started, false
	return nil
}

// oldestNumber returns the number of the oldest segment of the log, or 0 when the log
// is empty.
func (l *shardLog) oldestNumber(ctx context.Context) (uint64, error) {
	var first uint64
	walk := segmentWalk{log: l, discardVisited: func() { first = 0 }, visit: func(_ *objectstore.Object, number uint64) error {
		if first == 0 {
			first = number
		}
		return nil
	}}
	err := walk.run(ctx)
	return first, err
}
