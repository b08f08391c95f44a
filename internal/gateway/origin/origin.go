// Package origin remembers which software version of an upstream began each stream. What two versions
// write does not fit together, and replicas do not check it, so a stream may go on only at the version
// that began it. The package performs no I/O and takes the time as an argument.
package origin

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Retention is how long the origin of a stream, and a version that is no longer in use, are
	// remembered. It exceeds the time from the first event of a stream to its caller's last attempt, which
	// the callers' deadlines bound.
	Retention = 2 * time.Minute
	// maxStreams bounds the streams of a generation; each takes about 20 bytes.
	maxStreams = 1 << 16
	// maxPending bounds the streams that wait to be reported to other hosts.
	maxPending = 1 << 12
	// maxOpen bounds the streams that are kept in the store.
	maxOpen = 1 << 13
	// settleTime is the time after the beginning of a stream in which it is mostly found out which process began it. It is
	// asked after 0.1 s.
	settleTime = 300 * time.Millisecond
)

// Errors of a search for the origin of a stream.
var (
	// ErrUnknown means that nobody knows it.
	ErrUnknown = errors.New("origin of the stream is not known")
	// ErrUnreachable means that some of those who may know it could not be asked.
	ErrUnreachable = errors.New("origin of the stream cannot be asked for")
)

// UnknownVersion is the version of a process that is not known to be the registered one. It is recorded so that the
// version of the stream is not inferred from the registrations.
const UnknownVersion = "\x00"

// ProcessVersion stands for the version of a process that is not the registered one of the replica with the given ID:
// until its registration arrives, its streams may go on there only.
func ProcessVersion(replicaID string, started int64) string {
	return UnknownVersion + strconv.FormatInt(started, 10) + "/" + replicaID
}

// ParseProcessVersion returns the arguments of ProcessVersion, or false if the version is none of its results.
func ParseProcessVersion(version string) (replicaID string, started int64, ok bool) {
	text, ok := strings.CutPrefix(version, UnknownVersion)
	if !ok {
		return "", 0, false
	}
	text, replicaID, ok = strings.Cut(text, "/")
	started, err := strconv.ParseInt(text, 10, 64)
	return replicaID, started, ok && err == nil
}

// AssumedVersion stands for the version of the replica's registered process, as far as nothing shows that another one
// began the stream. That process lived before the stream began; if it answers later, it was the one.
func AssumedVersion(replicaID string, started int64) string {
	return assumedPrefix + strconv.FormatInt(started, 10) + "/" + replicaID
}

// assumedPrefix begins all results of AssumedVersion, and none of ProcessVersion.
const assumedPrefix = UnknownVersion + "?"

// ParseAssumedVersion returns the arguments of AssumedVersion, or false if the version is none of its results.
func ParseAssumedVersion(version string) (replicaID string, started int64, ok bool) {
	text, ok := strings.CutPrefix(version, assumedPrefix)
	if !ok {
		return "", 0, false
	}
	return ParseProcessVersion(UnknownVersion + text)
}

// Assumed reports whether the version is a result of AssumedVersion.
func Assumed(version string) bool { return strings.HasPrefix(version, assumedPrefix) }

// standsForProcess reports whether the version is that of a process whose software version is not known yet.
func standsForProcess(version string) bool { return strings.HasPrefix(version, UnknownVersion) }

// Origin is what began a stream.
type Origin struct {
	Upstream string
	Version  string // of the replica's software
}

// Entry is a stream with its origin.
type Entry struct {
	Stream uint64 // StreamID of the attempt that brought its first event
	Origin
}

// Version is a software version of an upstream.
type Version struct {
	Origin
	Unused time.Duration // since a replica of it was registered last; 0 if one is
}

// StreamID identifies the stream whose first event an attempt brought.
func StreamID(attemptID string) uint64 { return xxhash.Sum64String(attemptID) }

// Tracker remembers the origins of streams and the versions of upstreams. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	origins   []Origin // that were ever seen; streams refer to them by index
	indexes   map[Origin]uint16
	current   map[uint64]uint16 // streams of the present generation
	previous  map[uint64]uint16
	rotatedAt time.Time
	// lastInUse holds for each version of an upstream when a replica of it was last registered.
	lastInUse map[Origin]time.Time
	inUse     map[Origin]bool
	// completeFrom is when lastInUse holds all versions that began a stream within Retention; zero while
	// no replicas are known. missed counts the times after which it may lack some, and missedSignal wakes who can read
	// them. lostUntil is when completeFrom may be brought forward again.
	completeFrom time.Time
	missed       uint64
	missedSignal chan struct{}
	lostUntil    time.Time
	storeLost    bool    // this host does not reach the store
	pending      []Entry // to be reported to other hosts
	wake         chan struct{}
	open         map[uint64]openStream // streams of this host that have not been completed
	opened       chan struct{}
	loaded       chan struct{} // closed when what was known before the start has been added
	isLoaded     bool
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		indexes: make(map[Origin]uint16), current: make(map[uint64]uint16), previous: make(map[uint64]uint16),
		lastInUse: make(map[Origin]time.Time), inUse: make(map[Origin]bool), wake: make(chan struct{}, 1),
		open: make(map[uint64]openStream), opened: make(chan struct{}, 1), loaded: make(chan struct{}), missedSignal: make(chan struct{}, 1),
	}
}

// reportAll queues the streams that were not reported as others could infer their origins, incomplete ones first.
func (t *Tracker) reportAll(now time.Time) {
	for stream, s := range t.open {
		t.report(Entry{Stream: stream, Origin: s.Origin}, now)
	}
	for stream, index := range t.current {
		if _, open := t.open[stream]; !open {
			t.report(Entry{Stream: stream, Origin: t.origins[index]}, now)
		}
	}
}

// Record notes that a stream of this host has begun. Streams whose attempt has no ID cannot be told apart.
func (t *Tracker) Record(attemptID string, o Origin, now time.Time) {
	if attemptID == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := Entry{Stream: StreamID(attemptID), Origin: o}
	before, _ := t.recorded(e.Stream)
	if !t.put(e, now) {
		return
	}
	if !Assumed(before.Version) || Assumed(o.Version) {
		t.report(e, now)
		t.keepOpen(e, now)
		return
	}
	t.queue(e) // other hosts have been told of what was assumed
	if open, ok := t.open[e.Stream]; ok {
		open.Origin = o
		t.open[e.Stream] = open
	}
}

// openStream is a stream of this host that has not been completed.
type openStream struct {
	Origin
	begun time.Time
}

// keepOpen adds a stream to those that are kept in the store.
func (t *Tracker) keepOpen(e Entry, now time.Time) {
	if len(t.open) < maxOpen {
		t.open[e.Stream] = openStream{Origin: e.Origin, begun: now}
	}
}

// Complete notes that the caller has been sent all of a stream.
func (t *Tracker) Complete(attemptID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, StreamID(attemptID))
}

// Open returns the streams of this host that have not been completed and whose origins others may be unable to infer, as their
// upstreams have several versions or it is only assumed which process began them.
func (t *Tracker) Open(now time.Time) (out []Entry) {
	out, unsettled := t.OpenSettled(now)
	return append(out, unsettled...)
}

// OpenSettled returns the streams of Open, apart from those whose process may still be found out: if it is the registered one of
// the only version, others can infer their origins.
func (t *Tracker) OpenSettled(now time.Time) (out, unsettled []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	several := make(map[string]bool) // by upstream
	for stream, s := range t.open {
		if now.Sub(s.begun) > Retention {
			delete(t.open, stream)
			continue
		}
		if !t.severalVersions(s.Origin, now) {
			continue
		}
		e := Entry{Stream: stream, Origin: s.Origin}
		if Assumed(s.Version) && now.Sub(s.begun) < settleTime {
			if _, ok := several[s.Upstream]; !ok {
				several[s.Upstream] = t.versionCount(s.Upstream, now) > 1
			}
			if !several[s.Upstream] {
				unsettled = append(unsettled, e)
				continue
			}
		}
		out = append(out, e)
	}
	return out, unsettled
}

// AddOpen adds streams that this host had not completed before it restarted.
func (t *Tracker) AddOpen(entries []Entry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range entries {
		t.keepOpen(e, now)
	}
}

// Opened returns a channel that receives a value when the result of Open has grown.
func (t *Tracker) Opened() <-chan struct{} { return t.opened }

// Loaded returns a channel that is closed when what was known before the start has been added.
func (t *Tracker) Loaded() <-chan struct{} { return t.loaded }

// Apply notes streams that other hosts report.
func (t *Tracker) Apply(entries []Entry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range entries {
		t.put(e, now)
	}
}

// put remembers a stream, and returns false if its origin is known to be another one: it does not change, so that a host which
// is wrong about it must not mislead the others. What stands for a process does not replace a known version either.
func (t *Tracker) put(e Entry, now time.Time) bool {
	before, ok := t.recorded(e.Stream)
	if ok && before != e.Origin && !standsForProcess(before.Version) {
		return false
	}
	if ok && Assumed(e.Version) && !Assumed(before.Version) {
		return true
	}
	if now.Sub(t.rotatedAt) > Retention || len(t.current) >= maxStreams {
		t.previous, t.current, t.rotatedAt = t.current, make(map[uint64]uint16), now
		t.forgetOrigins()
	}
	if _, ok := t.indexes[e.Origin]; !ok && len(t.origins) > math.MaxUint16 {
		return true // more than a process ever meets; unknown streams are refused
	}
	t.current[e.Stream] = t.index(e.Origin)
	return true
}

// forgetOrigins forgets the origins that no remembered stream has: those of processes come and go. The present generation
// must be empty.
func (t *Tracker) forgetOrigins() {
	before := t.origins
	t.origins, t.indexes = nil, make(map[Origin]uint16)
	for stream, index := range t.previous {
		t.previous[stream] = t.index(before[index])
	}
}

// index returns the index of an origin, for which there must be room.
func (t *Tracker) index(o Origin) uint16 {
	index, ok := t.indexes[o]
	if !ok {
		index = uint16(len(t.origins))
		t.origins, t.indexes[o] = append(t.origins, o), index
	}
	return index
}

// report queues a stream for other hosts, if they may be unable to infer its origin.
func (t *Tracker) report(e Entry, now time.Time) {
	if t.storeLost || now.Before(t.lostUntil) || t.severalVersions(e.Origin, now) {
		t.queue(e)
	}
}

// queue adds a stream to those that are reported to other hosts.
func (t *Tracker) queue(e Entry) {
	if len(t.pending) < maxPending {
		t.pending = append(t.pending, e)
	}
	for _, wake := range []chan struct{}{t.wake, t.opened} {
		select {
		case wake <- struct{}{}:
		default: // the last value has not been received yet
		}
	}
}

// Pending returns a channel that receives a value when there are streams to report.
func (t *Tracker) Pending() <-chan struct{} { return t.wake }

// TakePending returns the streams to report to other hosts, and clears them.
func (t *Tracker) TakePending() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.pending
	t.pending = nil
	return out
}

// Recorded returns the origin of a stream that this host began or was told of.
func (t *Tracker) Recorded(stream uint64) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recorded(stream)
}

func (t *Tracker) recorded(stream uint64) (Origin, bool) {
	index, ok := t.current[stream]
	if !ok {
		index, ok = t.previous[stream]
	}
	if !ok {
		return Origin{}, false
	}
	return t.origins[index], true
}
