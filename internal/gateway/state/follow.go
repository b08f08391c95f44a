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
	// A probe is a watch with a short wait. Its end shows whether the store still reports
	// changes, as a store that dropped its history may leave open watches unanswered until
	// the next change. ProbeWait is the wait of a probe while few hosts share the probing. A
	// configuration must be in force within two seconds of the store's recovery, that is
	// within three seconds of the loss of the history.
	ProbeWait = 2 * time.Second
	// MaxWatchWait is the wait of all other watches and the longest wait of a probe. It keeps
	// the number of calls low, as the platform charges for each one; the store allows up to
	// 30 s.
	MaxWatchWait = 20 * time.Second
	// WatchMargin is added to a watch's wait to get the timeout of the call.
	WatchMargin = 1500 * time.Millisecond
	// FollowerProbeWait and FollowerProbeMargin are the wait and the margin of the probe of
	// a host that follows the store for its zone. They are shorter so that it notices an
	// unresponsive store early and another host can take over: together with one heartbeat
	// interval they stay well below the three seconds mentioned at ProbeWait.
	FollowerProbeWait   = 1500 * time.Millisecond
	FollowerProbeMargin = 600 * time.Millisecond
	// minPeerUpdateWait is the minimum time that a starting host waits for updates from
	// peers before it lists the store itself. A random time of up to the same length is
	// added so that not all hosts list at once. The first hosts of a zone list 3,000
	// replicas in about half a second.
	minPeerUpdateWait = 1500 * time.Millisecond
	// peerUpdatePoll is the interval at which a starting host checks for these updates.
	peerUpdatePoll = 20 * time.Millisecond
	// coalesceDelay is the pause between a change (or a list that returned objects) and the
	// next watch, which then returns all changes of that time in one call: replicas start and
	// leave in groups. It is a tenth of the time allowed for withdrawing a replica.
	coalesceDelay = 200 * time.Millisecond
	// probesPerSecond is the rate at which probes end over all hosts, once there are more
	// than 8 hosts (ProbeWait times probesPerSecond). Each host then waits longer than
	// ProbeWait, as the first to detect a lost history informs the others. From 80 hosts on,
	// MaxWatchWait caps the wait and the rate grows with the number of hosts. With 33 hosts,
	// a third of which are cut off, the chance that no probe ends for 2.5 s is 1 in 2,000;
	// with so many hosts, a configuration must be in force within 4 s of the loss.
	probesPerSecond = 4
	// minProbeWait is the minimum wait of a probe that follows a change.
	minProbeWait = 250 * time.Millisecond
	// listTimeout bounds a list call; a slow store takes a few hundred milliseconds.
	listTimeout = 2 * time.Second
	// The back-off after a failed call starts at initialBackoff and doubles with each further
	// failure up to maxBackoff, so that a host reconnects within a second of the store's
	// recovery and does not overload a store that refuses calls.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
)

// Watcher lists and watches one kind of object in the store.
type Watcher struct {
	Store  objectstore.Store
	Kind   string // of the objects
	State  *State
	Logger zerolog.Logger
	// Wait returns the wait of a watch. afterChange is set when the watch follows a change,
	// a list or a failed call, which all hosts see at about the same time.
	Wait func(afterChange bool) time.Duration
	// Others follow the other kinds of objects on this host. They list again when this
	// one finds that the store has dropped its history, and restart their calls when a call
	// of this one succeeds after a failed one.
	Others []*Watcher
	// Role determines whether this host follows the store; nil means always. A host that
	// does not follow gets updates from peers, and lists again when it resumes following.
	Role *Role
	// Margin returns the time added to a watch's wait to get the timeout of the call; nil
	// means WatchMargin.
	Margin func() time.Duration
	// Apply passes the objects that a list or a watch returned to the state. complete reports
	// whether r holds all objects of the kind rather than changes.
	Apply func(r objectstore.Revisions, complete bool) error

	era uint64 // of the store at the last list; used only by Run

	mu     sync.Mutex
	cancel context.CancelFunc // of the call in progress
	relist bool               // the next call must list
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
func (w *Watcher) newCallContext(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel = cancel
	return callCtx, cancel
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
	callFailed, afterChange := false, true
	if w.Role != nil {
		w.Role.notifyStop(func() { w.restart(false) })
	}
	for ctx.Err() == nil {
		// A host that does not follow the store waits here until it does, once it has the
		// configuration and the replicas from the store or from peers. If peers send none, it
		// lists once itself.
		if w.Role != nil && !w.Role.Following() && (revision > 0 || w.State.Known() || w.awaitPeerUpdates(ctx)) {
			if !w.Role.waitFollowing(ctx) {
				return
			}
			revision = 0
		}
		if w.takeRelist() {
			revision = 0
		}
		callCtx, conns := netio.TraceConn(ctx)
		next, changed, err := w.listOrWatch(callCtx, revision, afterChange)
		afterChange = changed || err != nil || revision == 0
		if ctx.Err() != nil || errors.Is(err, ErrStopped) {
			return
		}
		switch {
		case err == nil:
			revision = next
			backoff = initialBackoff
			if callFailed {
				w.Logger.Info().Str("kind", w.Kind).Uint64("revision", revision).EmbedObject(conns).Msg("store call succeeded after a failed one")
				w.restartOthers(false)
			}
			callFailed = false
			if changed {
				w.sleep(ctx, coalesceDelay)
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
			callFailed = true
			w.Logger.Warn().Err(err).Str("kind", w.Kind).Uint64("revision", revision).EmbedObject(conns).Msg("store call failed")
			w.sleep(ctx, backoff/2+rand.N(backoff))
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

// ProbeWaitFor returns the wait of a host's next probe, given the number of hosts that
// share the probing. afterChange is set when the watch follows an event that all hosts see at
// about the same time.
func ProbeWaitFor(hosts int, afterChange bool) time.Duration {
	return probeWait(hosts, afterChange, rand.Float64())
}

// probeWait is ProbeWaitFor with a given random number in [0, 1), which spreads the ends of the
// hosts' watches. After a change all hosts start a watch at the same time, so these waits are
// spread over the full length of a regular wait.
func probeWait(hosts int, afterChange bool, random float64) time.Duration {
	wait := min(time.Duration(hosts)*time.Second/probesPerSecond, MaxWatchWait)
	if wait <= ProbeWait {
		return ProbeWait
	}
	if afterChange {
		return max(time.Duration(random*float64(wait)), minProbeWait)
	}
	const jitter = 0.25 // fraction of the wait by which it varies in both directions
	return min(time.Duration((1-jitter+2*jitter*random)*float64(wait)), MaxWatchWait)
}

// margin returns the time added to a watch's wait to get the timeout of the call.
func (w *Watcher) margin() time.Duration {
	if w.Margin == nil {
		return WatchMargin
	}
	return w.Margin()
}

// listOrWatch lists when revision is 0 and watches otherwise. It returns the revision to
// continue from and whether the store returned any objects.
func (w *Watcher) listOrWatch(ctx context.Context, revision uint64, afterChange bool) (next uint64, changed bool, err error) {
	timeout, wait := listTimeout, time.Duration(0)
	if revision > 0 {
		wait = w.Wait(afterChange)
		timeout = wait + w.margin()
	}
	callCtx, cancel := w.newCallContext(ctx, timeout)
	defer cancel()
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
	if revision == 0 || changed {
		if err := w.Apply(r, revision == 0); err != nil {
			return revision, false, err
		}
	}
	return max(r.AsOf, revision), changed, nil
}
