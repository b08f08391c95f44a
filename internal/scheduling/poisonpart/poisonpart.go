// Package poisonpart identifies poison parts: parts of prompts that crash each replica that answers a
// request which contains them, whatever else the request contains. Package quarantine does so for
// requests that are the same each time.
package poisonpart

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxEntries is the maximum number of suspect parts tracked on a host. An entry takes
	// about 300 bytes.
	maxEntries = 1024
	// suspectDuration is how long a part stays a suspect without another crash.
	suspectDuration = 5 * time.Minute
	// maxSoundParts is the maximum number of parts whose latest complete answer is remembered. An
	// entry takes about 130 bytes.
	maxSoundParts = 1024
	// maxCrashes is the maximum number of crashes kept for a part; the oldest are dropped.
	maxCrashes = 16
	// crashSeparation is the time between two crashes below which they count once for a part:
	// replicas that end at the same moment have a common cause other than a prompt.
	crashSeparation = 250 * time.Millisecond
	// requestCrashSeparation is crashSeparation for whole requests. Callers repeat them at once, into the
	// same outage.
	requestCrashSeparation = time.Second
	// maxCrashesTogether is how often such crashes count for a part of prompts if no replica ended without the
	// part at that moment, as in an outage, and other answers have been completed since.
	maxCrashesTogether = 2
	// maxManyCrashesTogether is maxCrashesTogether for a part without answers that minManyCrashes or more of such
	// crashes have in common. If others ended without it, that takes more answers.
	maxManyCrashesTogether = 3
	minManyCrashes         = 4
	// minAnswersSinceCrash is the number of complete answers to other requests since the latest crash of a part from
	// which it is telling that none had the part: as sound parts of many requests are soon answered.
	minAnswersSinceCrash = 8
	// minAnswersSinceOutage is minAnswersSinceCrash where other replicas ended without the part at the same moment.
	minAnswersSinceOutage = 16
	// maxKnownCrashes is the maximum number of crashes remembered to tell outages.
	maxKnownCrashes = 64
	// sameCrash is the time within which hosts notice the same crash of a replica; a later one is
	// another crash.
	sameCrash = time.Second
	// minRepeatedCrashes is the number of crashes from which a suspect can explain those of others. One
	// crash says nothing: each part of each request on the replica has it.
	minRepeatedCrashes = 2
	// newsTime is how long a change of an entry is reported to other hosts at every opportunity.
	newsTime = 5 * time.Second
)

// CrashLimit returns the number of crashes after which a part is refused where a request that is the same
// each time is refused after the given number. It is higher, as more requests are refused for a part:
// those that ran beside a poison request on all but one of the replicas are not blamed.
func CrashLimit(requestCrashes int) int { return requestCrashes + 1 }

// Crash is a crash of a replica while it ran a request with a prompt part.
type Crash struct {
	Replica uint64 // hash by which all hosts identify the replica
	At      time.Time
	// Waiting means that the replica had begun to answer other requests, but none with the part. The part is
	// then the less likely cause, unless the replica crashed before its answer had begun.
	Waiting bool
	// Retried means that a request with the part ran which an earlier failure of a replica had broken off: it
	// followed that failure, however soon.
	Retried bool
}

// same reports whether both are observations of one crash.
func (c Crash) same(other Crash) bool {
	return c.Replica == other.Replica && c.At.Sub(other.At).Abs() < sameCrash
}

func (c Crash) compare(other Crash) int {
	return cmp.Or(c.At.Compare(other.At), cmp.Compare(c.Replica, other.Replica))
}

// Entry is what is known of a prompt part that was in flight on replicas that crashed.
type Entry struct {
	Part uint64
	// Released is the number of times that the part was found sound, which voids all crashes before.
	// Of two entries of a part, the one with the higher number holds; equal ones are combined.
	Released    uint64
	Crashes     []Crash // in order of time
	Quarantined bool    // the crashes have no other explanation than the part
	Expires     time.Time
}

// explainedBy reports whether a part that was in flight in the other crash is as likely a cause of this one.
func (c Crash) explainedBy(other Crash) bool { return c.same(other) && (c.Waiting || !other.Waiting) }

// addCrash adds a crash, or what another host observed of it, and reports whether that changed the entry.
func (e *Entry) addCrash(c Crash) bool {
	if i := slices.IndexFunc(e.Crashes, c.same); i >= 0 {
		known := &e.Crashes[i]
		changed := known.Waiting && !c.Waiting || !known.Retried && c.Retried
		known.Waiting, known.Retried = known.Waiting && c.Waiting, known.Retried || c.Retried
		return changed
	}
	if len(e.Crashes) == maxCrashes && c.compare(e.Crashes[0]) < 0 {
		return false
	}
	at, _ := slices.BinarySearchFunc(e.Crashes, c, Crash.compare)
	e.Crashes = slices.Insert(e.Crashes, at, c)
	e.Crashes = e.Crashes[max(len(e.Crashes)-maxCrashes, 0):]
	return true
}

// localEntry is an entry with what this host needs to report it.
type localEntry struct {
	Entry
	changedAt  time.Time
	releasedAt time.Time // crashes until then are void, unless they are in Crashes
	answers    uint64    // answers that the Tracker had counted when it learned of the latest crash
}

// Tracker tracks suspect parts. All parts of the requests in flight on a crashed replica are suspects.
// A complete answer shows that all parts of its request are sound. A suspect with crashes of enough
// replicas is quarantined unless other suspects explain its crashes.
//
// Entries of different hosts are combined by Merge in any order and any number of times with the
// same result. Tracker is not safe for concurrent use.
type Tracker struct {
	crashLimit int
	duration   time.Duration
	separation time.Duration // see crashSeparation
	together   int           // see maxCrashesTogether
	many       int           // see maxManyCrashesTogether
	completed  time.Time     // when the latest complete answer ended
	answers    uint64        // complete answers, with whatever parts
	known      []Crash       // the latest crashes, with whatever parts
	causes     *Tracker      // crashes that its quarantined parts explain do not count; may be nil
	entries    *simplelru.LRU[uint64, *localEntry]
	sound      *simplelru.LRU[uint64, time.Time] // when the latest complete answer to a request with the part ended
	changes    uint64                            // number of times that classify ran
	// The lists are derived from entries by classify.
	quarantined []*localEntry
	upheld      []*localEntry // quarantined parts whose crashes no other one explains
	repeated    []*localEntry // suspects with minRepeatedCrashes crashes that quarantined parts do not explain
	numerous    []*localEntry // suspects with minManyCrashes crashes, of which answers may tell how often they count
}

// New returns an empty Tracker. A part is quarantined for the given duration after crashes of
// crashLimit replicas.
func New(crashLimit int, duration time.Duration) *Tracker {
	// NewLRU fails only for a size below one.
	entries, _ := simplelru.NewLRU[uint64, *localEntry](maxEntries, nil)
	sound, _ := simplelru.NewLRU[uint64, time.Time](maxSoundParts, nil)
	return &Tracker{crashLimit: crashLimit, duration: duration, separation: crashSeparation, together: maxCrashesTogether, many: maxManyCrashesTogether, entries: entries, sound: sound}
}

// NewForRequests returns an empty Tracker of whole requests, each a part by its fingerprint. Crashes that
// quarantined parts of prompts explain do not count.
func NewForRequests(crashLimit int, duration time.Duration, parts *Tracker) *Tracker {
	t := New(crashLimit, duration)
	t.separation, t.together, t.many, t.causes = requestCrashSeparation, 1, 1, parts
	return t
}

// Configure changes the crash limit and the duration of quarantines.
func (t *Tracker) Configure(crashLimit int, duration time.Duration) {
	t.crashLimit, t.duration = crashLimit, duration
}

// Crash counts the crash of a replica against the parts of the requests that were in flight on it. waiting are the
// parts of requests whose answers had not begun while others had; see Crash.Waiting. It returns the parts that are
// quarantined because of it.
func (t *Tracker) Crash(parts, waiting []uint64, replica uint64, now time.Time) (quarantined []uint64) {
	return t.CrashInRetry(parts, waiting, nil, replica, now)
}

// CrashInRetry is Crash with the parts of the requests that an earlier failure of a replica had broken off; see
// Crash.Retried.
func (t *Tracker) CrashInRetry(parts, waiting, retried []uint64, replica uint64, now time.Time) (quarantined []uint64) {
	t.remember(Crash{Replica: replica, At: now})
	changed := false
	for i, part := range slices.Concat(parts, waiting) {
		e, ok := t.entries.Get(part)
		if !ok {
			e = &localEntry{Entry: Entry{Part: part}}
			t.entries.Add(part, e)
		}
		if e.addCrash(Crash{Replica: replica, At: now, Waiting: i >= len(parts), Retried: slices.Contains(retried, part)}) {
			e.changedAt, e.answers, changed = now, t.answers, true
			e.Expires = later(e.Expires, now.Add(suspectDuration))
		}
	}
	if !changed {
		return nil
	}
	return t.classify(now)
}

// Completed records a complete answer to a request with the parts, which shows that they are sound.
// It returns the parts that no longer are suspects because of it, and those that are quarantined
// because their crashes have no other explanation left.
func (t *Tracker) Completed(parts []uint64, now time.Time) (released, quarantined []uint64) {
	t.completed = later(t.completed, now)
	t.answers++
	for _, part := range parts {
		t.sound.Add(part, now)
		if e, ok := t.entries.Peek(part); ok && e.release(now) {
			released = append(released, part)
		}
	}
	enough := func(e *localEntry) bool {
		return t.answers == e.answers+minAnswersSinceCrash || t.answers == e.answers+minAnswersSinceOutage
	}
	if len(released) > 0 || slices.ContainsFunc(t.repeated, enough) || slices.ContainsFunc(t.numerous, enough) {
		quarantined = t.classify(now)
	}
	return released, quarantined
}

// release voids all crashes of the entry and reports whether there were any.
func (e *localEntry) release(now time.Time) bool {
	if len(e.Crashes) == 0 {
		return false
	}
	e.Released++
	e.Crashes, e.Quarantined = nil, false
	e.changedAt, e.releasedAt, e.Expires = now, now, now.Add(suspectDuration)
	return true
}

// Voided reports whether a crash no longer counts against a part, because an answer to a request with the part has
// been completed since, on any host.
func (t *Tracker) Voided(part uint64, c Crash) bool {
	if sound, ok := t.sound.Peek(part); ok && !sound.Before(c.At) {
		return true
	}
	e, ok := t.entries.Peek(part)
	return ok && !c.At.After(e.releasedAt) && !slices.ContainsFunc(e.Crashes, c.same)
}

// Reported counts a crash that another host told by itself, and not in its entry of the part. It returns whether the
// crash counts, and the parts that are quarantined because of it.
func (t *Tracker) Reported(part uint64, c Crash, now time.Time) (counts bool, quarantined []uint64) {
	if t.Voided(part, c) {
		return false, nil
	}
	update := Entry{Part: part, Crashes: []Crash{c}, Expires: now.Add(suspectDuration)}
	if e, ok := t.entries.Peek(part); ok {
		update.Released = e.Released
	}
	quarantined, _ = t.Merge([]Entry{update}, now)
	return true, quarantined
}

// Changes returns a number that increases with every change of the entries.
func (t *Tracker) Changes() uint64 { return t.changes }

// Release ends the quarantine of a part and voids its crashes, for an operator. It reports whether
// the part was a suspect.
func (t *Tracker) Release(part uint64, now time.Time) bool {
	e, ok := t.entries.Peek(part)
	if !ok || !e.release(now) {
		return false
	}
	t.classify(now)
	return true
}

// Blamed reports whether a request with the parts must not run, because one of them is quarantined,
// or is a suspect with enough crashes that no repeated suspect outside the request explains alone.
// expires is when that ends.
func (t *Tracker) Blamed(parts []uint64, now time.Time) (part uint64, expires time.Time, blamed bool) {
	for _, e := range t.quarantined {
		if now.Before(e.Expires) && slices.Contains(parts, e.Part) && t.isUpheld(e) {
			return e.Part, e.Expires, true
		}
	}
	if len(t.repeated) == 0 {
		return 0, time.Time{}, false
	}
	var outside []*localEntry
	for _, e := range t.repeated {
		if !slices.Contains(parts, e.Part) {
			outside = append(outside, e)
		}
	}
	for _, e := range t.repeated {
		if now.Before(e.Expires) && slices.Contains(parts, e.Part) && t.blames(e, outside) {
			e.Expires = now.Add(suspectDuration) // as long as such requests come
			return e.Part, e.Expires, true
		}
	}
	return 0, time.Time{}, false
}

// Suspect reports whether any of the parts has a crash against it.
func (t *Tracker) Suspect(parts []uint64) bool {
	return slices.ContainsFunc(parts, func(part uint64) bool {
		e, ok := t.entries.Peek(part)
		return ok && len(e.Crashes) > 0
	})
}

// remember notes a crash, with whatever parts.
func (t *Tracker) remember(c Crash) {
	if slices.ContainsFunc(t.known, c.same) {
		return
	}
	at, _ := slices.BinarySearchFunc(t.known, c, Crash.compare)
	t.known = slices.Insert(t.known, at, c)
	t.known = t.known[max(len(t.known)-maxKnownCrashes, 0):]
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
