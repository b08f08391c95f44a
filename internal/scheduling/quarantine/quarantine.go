// Package quarantine identifies poison requests: requests that crash the replicas
// they run on. A fingerprint identifies a request and its repeats. A crash makes the
// fingerprint of every request in flight on the replica a suspect, a completed
// request clears its fingerprint, and crashes of enough distinct replicas quarantine
// the fingerprint.
package quarantine

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"heatherbarrow/internal/scheduling"
)

const (
	// maxEntries is the maximum number of fingerprints tracked on a host. An entry
	// takes about 200 bytes.
	maxEntries = 4096
	// maxCrashedReplicas is the maximum number of crashed replicas kept for a
	// fingerprint. A higher crash limit is reached only with the crashes that other
	// hosts observed.
	maxCrashedReplicas = 4
	// suspectDuration is how long a fingerprint stays a suspect without another crash.
	suspectDuration = 5 * time.Minute
	// minProgressTokens is how far an answer must get beyond the position of a crash
	// to show that the crash had another cause. It covers the tokens that were lost
	// with the broken connection.
	minProgressTokens = 32
)

// State determines whether and where a request with a fingerprint may run.
type State int

const (
	// Clear is the state of a fingerprint whose requests run without restriction.
	Clear State = iota
	// Suspect is the state of a fingerprint that was in flight during a crash. Its
	// requests run one at a time, where possible on other replicas than those that
	// run other suspects or top-tier requests.
	Suspect
	// Isolated is the state of a suspect that was in flight with other suspects
	// during another crash. Its requests run only on replicas without other suspects,
	// so that the next crash shows whether it is the cause.
	Isolated
	// Quarantined is the state of a fingerprint whose requests are refused.
	Quarantined
)

// entry holds what this host observed of a fingerprint.
type entry struct {
	crashedReplicas []scheduling.ReplicaID
	crashTimes      []time.Time            // of crashedReplicas
	cleared         []scheduling.ReplicaID // replicas whose crashes no longer count
	crashPosition   int                    // maximum number of answer tokens at a counted crash
	running         int                    // requests on this host
	isolated        bool
	crashedAt       time.Time // time of the latest crash on this host
	expires         time.Time
	releaseNumber   uint64 // of the latest release that was applied
}

// sharedEntry is an entry that control supplied to all hosts.
type sharedEntry struct {
	scheduling.QuarantineEntry
	crashesChangedAt time.Time // when this host received the current list of crashed replicas
}

// Quarantine holds the state of fingerprints on this host. It combines crashes that
// the host observed with the entries that all hosts share. It is not safe for
// concurrent use.
type Quarantine struct {
	entries    *simplelru.LRU[uint64, *entry]
	shared     map[uint64]sharedEntry
	crashLimit int
	duration   time.Duration
}

// New returns an empty quarantine. A fingerprint is quarantined for the given
// duration after crashes of crashLimit distinct replicas.
func New(crashLimit int, duration time.Duration) *Quarantine {
	// NewLRU fails only for a size below one.
	entries, _ := simplelru.NewLRU[uint64, *entry](maxEntries, nil)
	return &Quarantine{entries: entries, crashLimit: crashLimit, duration: duration}
}

// Configure changes the crash limit and the duration of quarantines.
func (q *Quarantine) Configure(crashLimit int, duration time.Duration) {
	q.crashLimit = crashLimit
	q.duration = duration
}

// Update replaces the entries that all hosts share. An entry whose release number has
// increased, because an operator released the fingerprint or a request with it
// completed, resets the crashes that this host counted.
func (q *Quarantine) Update(shared []scheduling.QuarantineEntry, now time.Time) {
	next := make(map[uint64]sharedEntry, len(shared))
	for _, e := range shared {
		updated := sharedEntry{QuarantineEntry: e, crashesChangedAt: now}
		if previous, ok := q.shared[e.Fingerprint]; ok && len(previous.Replicas) == len(e.Replicas) {
			updated.crashesChangedAt = previous.crashesChangedAt
		}
		next[e.Fingerprint] = updated
		if local, ok := q.entries.Peek(e.Fingerprint); ok && e.Released > local.releaseNumber {
			local.crashedReplicas, local.crashTimes = nil, nil
			local.cleared = nil
			local.isolated = false
			local.releaseNumber = e.Released
		}
	}
	q.shared = next
}

// Empty reports whether no fingerprint is tracked.
func (q *Quarantine) Empty() bool { return q.entries.Len() == 0 && len(q.shared) == 0 }

// State returns the state of a fingerprint and, when it is quarantined, the time
// until the quarantine expires.
func (q *Quarantine) State(fingerprint uint64, now time.Time) (State, time.Duration) {
	if fingerprint == 0 || q.Empty() {
		return Clear, 0
	}
	local, hasLocal := q.get(fingerprint, now)
	shared, hasShared := q.shared[fingerprint]
	hasShared = hasShared && now.Before(shared.Expires)
	count := 0
	var expires time.Time
	if hasLocal {
		count = len(local.crashedReplicas)
		expires = local.expires
	}
	if hasShared {
		count += countOther(local, shared.Replicas)
		expires = later(expires, shared.Expires)
	}
	switch {
	case count >= q.crashLimit:
		return Quarantined, expires.Sub(now)
	case hasLocal && local.isolated:
		return Isolated, 0
	case count > 0:
		return Suspect, 0
	}
	return Clear, 0
}

// UnexplainedState is State without the crashes that have another cause than the fingerprint. explained
// reports whether the crash of a replica has one; at is zero if only other hosts know the time.
func (q *Quarantine) UnexplainedState(fingerprint uint64, now time.Time, explained func(id scheduling.ReplicaID, at time.Time) bool) (State, time.Duration) {
	state, remaining := q.State(fingerprint, now)
	if state != Quarantined {
		return state, remaining
	}
	count := 0
	local, hasLocal := q.get(fingerprint, now)
	if hasLocal {
		for i, id := range local.crashedReplicas {
			if !explained(id, local.crashTimes[i]) {
				count++
			}
		}
	}
	if shared, ok := q.shared[fingerprint]; ok && now.Before(shared.Expires) {
		unexplained := slices.DeleteFunc(slices.Clone(shared.Replicas), func(id scheduling.ReplicaID) bool { return explained(id, time.Time{}) })
		count += countOther(local, unexplained)
	}
	switch {
	case count >= q.crashLimit:
		return Quarantined, remaining
	case count > 0:
		return Suspect, 0
	default:
		return Clear, 0
	}
}

// countOther returns the number of distinct replicas that the local entry contains
// neither as crashed nor as cleared. local may be nil.
func countOther(local *entry, crashedReplicas []scheduling.ReplicaID) int {
	count := 0
	for i, id := range crashedReplicas {
		seen := local != nil && (slices.Contains(local.crashedReplicas, id) || slices.Contains(local.cleared, id))
		if !seen && !slices.Contains(crashedReplicas[:i], id) {
			count++
		}
	}
	return count
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// get returns the local entry of a fingerprint. It removes an expired entry, unless a
// request with the fingerprint runs.
func (q *Quarantine) get(fingerprint uint64, now time.Time) (*entry, bool) {
	e, ok := q.entries.Get(fingerprint)
	if !ok {
		return nil, false
	}
	if now.After(e.expires) && e.running == 0 {
		q.entries.Remove(fingerprint)
		return nil, false
	}
	return e, true
}

// Running reports whether a request with the suspect fingerprint runs on this host.
func (q *Quarantine) Running(fingerprint uint64) bool {
	e, ok := q.entries.Peek(fingerprint)
	return ok && e.running > 0
}

// CrashedWithin reports whether the latest crash of the fingerprint on this host was
// within the given period.
func (q *Quarantine) CrashedWithin(fingerprint uint64, period time.Duration, now time.Time) bool {
	e, ok := q.entries.Peek(fingerprint)
	return ok && !e.crashedAt.IsZero() && now.Sub(e.crashedAt) < period
}

// RemoteSuspectWithin reports whether the fingerprint is a suspect only because of
// crashes that other hosts observed, the latest of which this host received within the
// given period.
func (q *Quarantine) RemoteSuspectWithin(fingerprint uint64, period time.Duration, now time.Time) bool {
	shared, ok := q.shared[fingerprint]
	if !ok || now.Sub(shared.crashesChangedAt) >= period {
		return false
	}
	local, hasLocal := q.entries.Peek(fingerprint)
	return !hasLocal || len(local.crashedReplicas) == 0
}

// Started records the start of a request with a suspect fingerprint.
func (q *Quarantine) Started(fingerprint uint64, now time.Time) { q.ensure(fingerprint, now).running++ }

// Ended records the end of a request with a suspect fingerprint. A completed request
// clears the crashes that any host has counted so far; Ended reports whether there
// were any.
func (q *Quarantine) Ended(fingerprint uint64, completed bool) (cleared bool) {
	e, ok := q.entries.Peek(fingerprint)
	if !ok {
		return false
	}
	e.running = max(e.running-1, 0)
	if completed {
		q.clearCrashes(fingerprint, e)
		cleared = len(e.cleared) > 0
	}
	if e.running == 0 && len(e.crashedReplicas) == 0 && len(e.cleared) == 0 && e.releaseNumber == 0 {
		q.entries.Remove(fingerprint)
	}
	return cleared
}

// Crash counts the crash of a replica against a fingerprint that was in flight on it.
// Another crash of the same replica is not counted again. crashPosition is the number
// of answer tokens at the crash, including those of earlier attempts. onlySuspect is
// false when another suspect was in flight on the replica too. Any of the suspects may
// then have caused the crash, so a fingerprint that is a suspect already is isolated
// instead of being counted; if it is isolated already, it is counted.
func (q *Quarantine) Crash(fingerprint uint64, id scheduling.ReplicaID, crashPosition int, onlySuspect bool, now time.Time) {
	if fingerprint == 0 {
		return
	}
	e := q.ensure(fingerprint, now)
	e.crashedAt = later(e.crashedAt, now) // a crash may be reported after later ones
	if slices.Contains(e.crashedReplicas, id) {
		return
	}
	if len(e.crashedReplicas) > 0 && crashPosition >= e.crashPosition+minProgressTokens {
		q.clearCrashes(fingerprint, e)
	}
	if len(e.crashedReplicas) > 0 && !onlySuspect && !e.isolated {
		e.isolated = true
		return
	}
	if len(e.crashedReplicas) < maxCrashedReplicas {
		e.crashedReplicas, e.crashTimes = append(e.crashedReplicas, id), append(e.crashTimes, now)
	}
	e.crashPosition = max(e.crashPosition, crashPosition)
	e.expires = e.crashedAt.Add(suspectDuration)
	if len(e.crashedReplicas) >= q.crashLimit {
		e.expires = e.crashedAt.Add(q.duration)
	}
}

// clearCrashes marks the crashes that any host has counted so far as cleared. It is
// called when a request completes, and when an attempt on another replica crashes
// minProgressTokens or more beyond the position of the earlier crashes.
func (q *Quarantine) clearCrashes(fingerprint uint64, e *entry) {
	e.cleared = append(slices.Clone(q.shared[fingerprint].Replicas), e.crashedReplicas...)
	e.crashedReplicas, e.crashTimes = nil, nil
	e.isolated = false
}

// Void removes the crashes of a fingerprint, counted on this host, for which voided returns true. It reports whether
// the fingerprint was quarantined and no longer is.
func (q *Quarantine) Void(fingerprint uint64, now time.Time, voided func(id scheduling.ReplicaID, at time.Time) bool) (freed bool) {
	e, ok := q.get(fingerprint, now)
	if !ok {
		return false
	}
	before, _ := q.State(fingerprint, now)
	var replicas []scheduling.ReplicaID
	var times []time.Time
	for i, id := range e.crashedReplicas {
		if !voided(id, e.crashTimes[i]) {
			replicas, times = append(replicas, id), append(times, e.crashTimes[i])
		}
	}
	e.crashedReplicas, e.crashTimes = replicas, times
	if len(replicas) == 0 {
		e.isolated = false
	}
	after, _ := q.State(fingerprint, now)
	return before == Quarantined && after != Quarantined
}

// ensure returns the local entry of a fingerprint, and adds one when there is none.
func (q *Quarantine) ensure(fingerprint uint64, now time.Time) *entry {
	e, ok := q.get(fingerprint, now)
	if !ok {
		e = &entry{expires: now.Add(suspectDuration), releaseNumber: q.shared[fingerprint].Released}
		q.entries.Add(fingerprint, e)
	}
	return e
}
