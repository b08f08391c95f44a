package state

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"heatherbarrow/internal/gateway/netio"
	"heatherbarrow/internal/objectstore"
)

const (
	// MaxWatchWait is the wait of all watches but probes. It keeps the number of calls low, as the platform
	// charges for each one; the store allows up to 30 s.
	MaxWatchWait = 20 * time.Second
	// WatchMargin is added to the wait of such a watch to get the timeout of the call, and is the longest margin
	// of a probe that grows because the store is slow.
	WatchMargin = 1500 * time.Millisecond
	// probeWaitShare and probeMarginShare are the wait of a probe and its initial margin, as shares of the time
	// within which a configuration must be in force. The rest is for the next call, on a new connection, and for
	// the way to the other hosts of the zone.
	probeWaitShare   = 0.5
	probeMarginShare = 0.25
	// minPeerUpdateWait is the minimum time that a starting host waits for updates from
	// peers before it lists the store itself. A random time of up to the same length is
	// added so that not all hosts list at once. The first hosts of a zone list 3,000
	// replicas in about half a second.
	minPeerUpdateWait = 1500 * time.Millisecond
	// MinWatchWait is the shortest wait of a watch.
	MinWatchWait = time.Millisecond
	// peerUpdatePoll is the interval at which a starting host checks for these updates.
	peerUpdatePoll = 20 * time.Millisecond
	// coalesceDelay is the pause between a change (or a list that returned objects) and the
	// next call, which then returns all changes of that time: replicas start and
	// leave in groups. It is a tenth of the time allowed for withdrawing a replica.
	coalesceDelay = 200 * time.Millisecond
	// listTimeout bounds a list call; a slow store takes a few hundred milliseconds.
	listTimeout = 2 * time.Second
	// The back-off after a failed call starts at initialBackoff and doubles with each further
	// failure up to maxBackoff, so that a host reconnects soon after the store's recovery and does
	// not overload a store that refuses calls. It counts from the begin of the call: one that has
	// timed out is followed by the next one at once.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
)

// Watcher lists and watches one kind of object in the store.
type Watcher struct {
	Store  objectstore.Store
	Kind   string // of the objects
	State  *State
	Logger zerolog.Logger
	// Times are the wait and the margin of a watch.
	Times WatchTimes
	// NewestOnly is set for a kind of which only the newest versions matter. A watch that reported a change or failed
	// is followed by a list, as a further watch would return all versions that were written meanwhile.
	NewestOnly bool
	// Others follow the other kinds of objects on this host. They list again when this
	// one finds that the store has dropped its history, restart their watches when a watch of this one
	// fails, as their connections may have gone silent too, and restart their calls when a call of this
	// one succeeds after a failed one. Those with a longer wait watch again when the revision of the store has
	// risen, as a store that dropped its history may leave open watches unanswered.
	Others []*Watcher
	// Role determines whether this host follows the store; nil means always. A host that
	// does not follow gets updates from peers, and lists again when it resumes following.
	Role *Role
	// Apply passes the objects that a list or a watch returned to the state. complete reports
	// whether r holds all objects of the kind rather than changes, which may be none up to r.AsOf.
	Apply func(r objectstore.Revisions, complete bool) error

	// Used only by Run.
	era      uint64        // of the store at the last list
	margin   time.Duration // of the next watch
	timedOut bool          // the last watch did

	mu       sync.Mutex
	cancel   context.CancelFunc // of the call in progress
	watching bool               // the call in progress is a watch
	relist   bool               // the next call must list
	check    bool               // the watch must start again, to check for changes up to reported
	checked  time.Time          // when check was last set
	reported uint64             // latest revision that another watcher has reported
	seenTo   uint64             // revision up to which the open watch returns all changes, 0 during a list
	began    time.Time          // when the open watch began, or that which it continues after a check
}

// WatchTimes are the times of a watch: Wait is how long the store may wait for a change, Margin is added to
// it to get the timeout of the call.
type WatchTimes struct {
	Wait, Margin time.Duration
}

// ProbeTimes returns the times of a watch that, besides reporting changes, probes whether the store still reports
// them: a store that dropped its history may leave a watch unanswered until the next change, and a connection that
// goes silent until the timeout. maxConfigDelay is the time within which a change must be in force. Each host that
// follows the store keeps it by itself, as it may be cut off from the others, or theirs may be silent too.
func ProbeTimes(maxConfigDelay time.Duration) WatchTimes {
	return WatchTimes{
		Wait:   time.Duration(probeWaitShare * float64(maxConfigDelay)),
		Margin: time.Duration(probeMarginShare * float64(maxConfigDelay)),
	}
}

// restart cancels the call in progress. With relist set, the next call lists.
func (w *Watcher) restart(relist bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.relist = w.relist || relist
	if w.cancel != nil {
		w.cancel()
	}
}

// newCallContext returns the context of a call, which restart can cancel.
func (w *Watcher) newCallContext(ctx context.Context, timeout time.Duration, watch bool) (context.Context, context.CancelFunc) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel, w.watching = cancel, watch
	if watch && (w.relist || w.check) {
		cancel() // requested after the last call of takeRelist or beginCall
	}
	return callCtx, cancel
}

// checkOthers makes the watchers with a longer wait check for changes up to a revision that the store has reported.
func (w *Watcher) checkOthers(revision uint64) {
	for _, other := range w.Others {
		if other.Times.Wait > w.Times.Wait {
			other.checkFor(revision, w.Times.Wait)
		}
	}
}

// checkFor starts an open watch again that began before a revision: the store then returns what it did not report to
// that watch. The interval bounds the rate.
func (w *Watcher) checkFor(revision uint64, interval time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.seenTo == 0 || revision <= w.seenTo || time.Since(w.checked) < interval {
		return
	}
	w.check, w.checked, w.reported = true, time.Now(), revision
	if w.cancel != nil {
		w.cancel()
	}
}

// beginCall notes that a call starts from a revision, 0 for a list, and returns how long the store may wait for a
// change. Checks do not prolong a watch, as its revision must not get older than the store's history.
func (w *Watcher) beginCall(revision uint64) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	check := w.check && revision > 0
	w.check, w.seenTo = false, revision
	if !check {
		w.began = time.Now()
		return w.Times.Wait
	}
	w.seenTo = max(revision, w.reported)
	return max(w.Times.Wait-time.Since(w.began), MinWatchWait)
}

// restartWatch cancels the call in progress if it is a watch.
func (w *Watcher) restartWatch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.watching && w.cancel != nil {
		w.cancel()
	}
}

// takeRelist reports whether restart requested a list, and clears the request.
func (w *Watcher) takeRelist() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	relist := w.relist
	w.relist = false
	return relist
}

// Run lists and watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var revision uint64
	backoff := initialBackoff
	callFailed := false
	if w.Role != nil {
		w.Role.notifyStop(func() { w.restart(false) })
	}
	for ctx.Err() == nil {
		// A host that does not follow the store waits here until it does, once it has the
		// configuration and the replicas from the store or from peers. If peers send none, it
		// lists once itself.
		if w.Role != nil && !w.Role.Following() && (revision > 0 || w.State.Known() || w.awaitPeerUpdates(ctx)) {
			if w.State.Publish(notFollowing{}) != nil || !w.Role.waitFollowing(ctx) {
				return
			}
			revision = 0
		}
		if w.takeRelist() {
			revision = 0
		}
		callCtx, conns := netio.TraceConn(ctx)
		started := time.Now()
		next, changed, err := w.listOrWatch(callCtx, revision)
		if ctx.Err() != nil || errors.Is(err, ErrStopped) {
			return
		}
		switch {
		case err == nil:
			watched := revision > 0
			revision = next
			backoff = initialBackoff
			if callFailed {
				w.Logger.Info().Str("kind", w.Kind).Uint64("revision", revision).EmbedObject(conns).Msg("store call succeeded after a failed one")
				w.restartOthers(false)
			}
			callFailed = false
			w.checkOthers(revision)
			switch {
			case changed && !w.NewestOnly:
				w.sleep(ctx, coalesceDelay)
			case changed && watched:
				w.sleep(ctx, coalesceDelay)
				revision = 0
			}
		case errors.Is(err, objectstore.ErrHistoryGone):
			w.Logger.Info().Str("kind", w.Kind).Uint64("revision", revision).Msg("store dropped its history; listing again")
			revision = 0
			w.restartOthers(true)
		case errors.Is(err, errNewEra):
			w.Logger.Info().Str("kind", w.Kind).Uint64("revision", revision).Uint64("era", w.era).Msg("store came back from a copy; listing again")
			revision = 0
			w.restartOthers(true)
		case errors.Is(err, errRestarted):
		default:
			if !callFailed && revision > 0 {
				for _, other := range w.Others {
					other.restartWatch()
				}
			}
			callFailed = true
			w.Logger.Warn().Err(err).Str("kind", w.Kind).Uint64("revision", revision).EmbedObject(conns).Msg("store call failed")
			if w.NewestOnly || errors.Is(err, objectstore.ErrTooLarge) {
				revision = 0
			}
			w.sleep(ctx, backoff/2+rand.N(backoff)-time.Since(started))
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// awaitPeerUpdates waits on a starting host until peers have sent the configuration and the
// replicas, the host is to follow the store, or the wait times out. It returns false on a timeout:
// the host must then list the objects in the store itself.
func (w *Watcher) awaitPeerUpdates(ctx context.Context) bool {
	waitCtx, cancel := context.WithTimeout(ctx, minPeerUpdateWait+rand.N(minPeerUpdateWait))
	defer cancel()
	for waitCtx.Err() == nil && !w.Role.Following() && !w.State.Known() {
		w.sleep(waitCtx, peerUpdatePoll)
	}
	return w.Role.Following() || w.State.Known()
}

func (w *Watcher) restartOthers(relist bool) {
	for _, other := range w.Others {
		other.restart(relist)
	}
}

// errRestarted means that restart canceled a call.
var errRestarted = errors.New("store call canceled by a restart")

// errNewEra means that the store has come back from a copy since the last list: a watch from a revision of
// before may miss changes that have lower ones.
var errNewEra = errors.New("store came back from a copy")

func (w *Watcher) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// adaptMargin adapts the margin after a watch without a change, which timed out or took the given time. The
// answers of a slow store come later; without a longer margin each of its watches would time out. A first timeout
// is that of a silent connection.
func (w *Watcher) adaptMargin(took time.Duration, timedOut bool) {
	longest := max(w.Times.Margin, WatchMargin)
	switch {
	case !timedOut:
		w.margin = min(max(2*(took-w.Times.Wait), w.Times.Margin), longest)
	case w.timedOut:
		w.margin = min(2*w.margin, longest)
	}
	w.timedOut = timedOut
}

// listOrWatch lists when revision is 0 and watches otherwise. It returns the revision to
// continue from and whether the store returned any objects.
func (w *Watcher) listOrWatch(ctx context.Context, revision uint64) (next uint64, changed bool, err error) {
	w.margin = max(w.margin, w.Times.Margin)
	timeout, wait := listTimeout, w.beginCall(revision)
	if revision > 0 {
		timeout = wait + w.margin
	}
	callCtx, cancel := w.newCallContext(ctx, timeout, revision > 0)
	defer cancel()
	started := time.Now()
	var r objectstore.Revisions
	if revision == 0 {
		r, err = w.Store.ListKind(callCtx, w.Kind)
	} else {
		r, err = w.Store.WatchKind(callCtx, w.Kind, revision, wait)
	}
	if ctx.Err() != nil {
		return revision, false, ctx.Err()
	}
	if err != nil && errors.Is(callCtx.Err(), context.Canceled) {
		return revision, false, errRestarted
	}
	if revision > 0 && len(r.Objects) == 0 {
		w.adaptMargin(time.Since(started), errors.Is(callCtx.Err(), context.DeadlineExceeded))
	}
	outcome := StoreCall{Err: err, Era: r.Era}
	if errors.Is(err, objectstore.ErrHistoryGone) {
		outcome.Err = nil // the store answered, so it counts as reachable
	}
	if publishErr := w.State.Publish(outcome); publishErr != nil {
		return revision, false, publishErr
	}
	if err != nil {
		return revision, false, err
	}
	if r.Unreadable > 0 {
		w.Logger.Warn().Str("kind", w.Kind).Int("entries", r.Unreadable).Uint64("revision", r.AsOf).Msg("cannot decode entries of the store")
	}
	if revision > 0 && r.Era != w.era {
		return revision, false, errNewEra
	}
	w.era = r.Era
	changed = len(r.Objects) > 0
	if revision == 0 || changed || r.AsOf > revision {
		if err := w.Apply(r, revision == 0); err != nil {
			return revision, false, err
		}
	}
	return max(r.AsOf, revision), changed, nil
}
