// Package quarantine tracks request fingerprints that crash replicas. A crash
// makes every fingerprint in flight on the replica a suspect, a completion
// clears it, and crashes of enough distinct replicas quarantine it.
package quarantine

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"heatherbarrow/internal/scheduling"
)

const (
	// maxEntries bounds the memory: an entry is about 200 bytes.
	maxEntries = 4096
	// maxReplicas bounds the crashes remembered for a fingerprint.
	maxReplicas = 4
	// suspectTime is how long a fingerprint stays a suspect without another crash.
	suspectTime = 5 * time.Minute
	// passedTokens is how far an answer must go beyond the position of a crash to
	// show that the crash had another cause. It covers the tokens that were lost
	// with the broken connection.
	passedTokens = 32
)

// State of a fingerprint.
type State int

const (
	// Clear fingerprints run without restriction.
	Clear State = iota
	// Suspect fingerprints run one at a time, apart from other suspects and
	// from top-tier work where possible.
	Suspect
	// Isolated fingerprints were beside other suspects in a further crash. They
	// run only where no other suspect runs, so that the next crash is certain
	// evidence.
	Isolated
	// Quarantined fingerprints are refused.
	Quarantined
)

type entry struct {
	replicas []scheduling.ReplicaID
	cleared  []scheduling.ReplicaID // crashes before the last completion
	position int                    // tokens of the answer that were there at the last counted crash
	running  int
	isolated bool
	crashed  time.Time // the last crash
	expires  time.Time
	released uint64
}

// listed is an entry that control supplied.
type listed struct {
	scheduling.QuarantineEntry
	since time.Time // when it got its present crashes
}

// Quarantine is not safe for concurrent use.
type Quarantine struct {
	entries  *simplelru.LRU[uint64, *entry]
	shared   map[uint64]listed
	crashes  int
	duration time.Duration
}

// New returns an empty quarantine. crashes is the number of distinct replicas
// after which a fingerprint is refused, duration the time for which it is.
func New(crashes int, duration time.Duration) *Quarantine {
	// NewLRU fails only for a size below one.
	entries, _ := simplelru.NewLRU[uint64, *entry](maxEntries, nil)
	return &Quarantine{entries: entries, crashes: crashes, duration: duration}
}

// Configure changes the limits.
func (q *Quarantine) Configure(crashes int, duration time.Duration) {
	q.crashes = crashes
	q.duration = duration
}

// Update takes the entries that all hosts share. An entry released since the last
// update, by an operator or by a completion, drops what this host counted on its own.
func (q *Quarantine) Update(shared []scheduling.QuarantineEntry, now time.Time) {
	next := make(map[uint64]listed, len(shared))
	for _, z := range shared {
		entry := listed{QuarantineEntry: z, since: now}
		if old, ok := q.shared[z.Fingerprint]; ok && len(old.Replicas) == len(z.Replicas) {
			entry.since = old.since
		}
		next[z.Fingerprint] = entry
		if own, ok := q.entries.Peek(z.Fingerprint); ok && z.Released > own.released {
			own.replicas = nil
			own.cleared = nil
			own.isolated = false
			own.released = z.Released
		}
	}
	q.shared = next
}

// Empty tells whether no fingerprint needs attention.
func (q *Quarantine) Empty() bool { return q.entries.Len() == 0 && len(q.shared) == 0 }

// State returns the state of a fingerprint and, when it is quarantined, the
// time until it expires.
func (q *Quarantine) State(fingerprint uint64, now time.Time) (State, time.Duration) {
	if fingerprint == 0 || q.Empty() {
		return Clear, 0
	}
	own, counted := q.get(fingerprint, now)
	shared, found := q.shared[fingerprint]
	found = found && now.Before(shared.Expires)
	count := 0
	var expires time.Time
	if counted {
		count = len(own.replicas)
		expires = own.expires
	}
	if found {
		count += extra(own, shared.Replicas)
		expires = later(expires, shared.Expires)
	}
	switch {
	case count >= q.crashes:
		return Quarantined, expires.Sub(now)
	case counted && own.isolated:
		return Isolated, 0
	case count > 0:
		return Suspect, 0
	}
	return Clear, 0
}

// extra counts the replicas that own neither counted nor cleared.
func extra(own *entry, replicas []scheduling.ReplicaID) int {
	n := 0
	for i, id := range replicas {
		known := own != nil && (slices.Contains(own.replicas, id) || slices.Contains(own.cleared, id))
		if !known && !slices.Contains(replicas[:i], id) {
			n++
		}
	}
	return n
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

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

// Running tells whether this host runs a request with the suspect fingerprint.
func (q *Quarantine) Running(fingerprint uint64) bool {
	e, ok := q.entries.Peek(fingerprint)
	return ok && e.running > 0
}

// Settling tells whether the fingerprint's last crash on this host was within hold.
func (q *Quarantine) Settling(fingerprint uint64, hold time.Duration, now time.Time) bool {
	e, ok := q.entries.Peek(fingerprint)
	return ok && !e.crashed.IsZero() && now.Sub(e.crashed) < hold
}

// Elsewhere tells whether the fingerprint is a suspect because of another host's
// crashes alone, of which this host learned within hold.
func (q *Quarantine) Elsewhere(fingerprint uint64, hold time.Duration, now time.Time) bool {
	shared, found := q.shared[fingerprint]
	if !found || now.Sub(shared.since) >= hold {
		return false
	}
	own, counted := q.entries.Peek(fingerprint)
	return !counted || len(own.replicas) == 0
}

// Started records that a suspect runs.
func (q *Quarantine) Started(fingerprint uint64, now time.Time) { q.ensure(fingerprint, now).running++ }

// Ended records that a suspect no longer runs. A completion clears it; Ended then
// returns true.
func (q *Quarantine) Ended(fingerprint uint64, completed bool) (cleared bool) {
	e, ok := q.entries.Peek(fingerprint)
	if !ok {
		return false
	}
	e.running = max(e.running-1, 0)
	if completed {
		q.clear(fingerprint, e)
		cleared = len(e.cleared) > 0
	}
	if e.running == 0 && len(e.replicas) == 0 && len(e.cleared) == 0 && e.released == 0 {
		q.entries.Remove(fingerprint)
	}
	return cleared
}

// Crash counts the crash of a replica against a fingerprint that ran on it.
// position is the number of tokens of the answer by then, earlier attempts
// included. alone is false when another suspect ran there too; a fingerprint that
// already is a suspect is then isolated instead of counted, because the crash does
// not tell which of them caused it.
func (q *Quarantine) Crash(fingerprint uint64, id scheduling.ReplicaID, position int, alone bool, now time.Time) {
	if fingerprint == 0 {
		return
	}
	e := q.ensure(fingerprint, now)
	e.crashed = now
	if slices.Contains(e.replicas, id) {
		return
	}
	if len(e.replicas) > 0 && position >= e.position+passedTokens {
		q.clear(fingerprint, e)
	}
	if len(e.replicas) > 0 && !alone && !e.isolated {
		e.isolated = true
		return
	}
	if len(e.replicas) < maxReplicas {
		e.replicas = append(e.replicas, id)
	}
	e.position = max(e.position, position)
	e.expires = now.Add(suspectTime)
	if len(e.replicas) >= q.crashes {
		e.expires = now.Add(q.duration)
	}
}

// clear forgets the crashes so far. A completion clears, and so does an attempt
// on another replica that went well past the point of the crash.
func (q *Quarantine) clear(fingerprint uint64, e *entry) {
	e.cleared = append(slices.Clone(q.shared[fingerprint].Replicas), e.replicas...)
	e.replicas = nil
	e.isolated = false
}

func (q *Quarantine) ensure(fingerprint uint64, now time.Time) *entry {
	e, ok := q.get(fingerprint, now)
	if !ok {
		e = &entry{expires: now.Add(suspectTime), released: q.shared[fingerprint].Released}
		q.entries.Add(fingerprint, e)
	}
	return e
}
