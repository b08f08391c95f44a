package quarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxPartEntries is the maximum number of suspect parts tracked on a host. An entry takes
	// about 300 bytes.
	maxPartEntries = 1024
	// maxSoundParts is the maximum number of parts whose latest complete answer is remembered. An
	// entry takes about 130 bytes.
	maxSoundParts = 1024
	// maxPartCrashes is the maximum number of crashes kept for a part; the oldest are dropped.
	maxPartCrashes = 8
	// partCrashSeparation is the time between two crashes below which they count once for a part:
	// replicas that end at the same moment have a common cause other than a prompt.
	partCrashSeparation = 250 * time.Millisecond
	// samePartCrash is the time within which hosts notice the same crash of a replica; a later one is
	// another crash.
	samePartCrash = time.Second
	// minRepeatedCrashes is the number of crashes from which a suspect can explain those of others. One
	// crash says nothing: each part of each request on the replica has it.
	minRepeatedCrashes = 2
	// partNewsTime is how long a change of an entry is reported to other hosts at every opportunity.
	partNewsTime = 5 * time.Second
)

// PartCrash is a crash of a replica while it ran a request with a prompt part.
type PartCrash struct {
	Replica uint64 // hash by which all hosts identify the replica
	At      time.Time
}

// same reports whether both are observations of one crash.
func (c PartCrash) same(other PartCrash) bool {
	return c.Replica == other.Replica && c.At.Sub(other.At).Abs() < samePartCrash
}

func (c PartCrash) compare(other PartCrash) int {
	return cmp.Or(c.At.Compare(other.At), cmp.Compare(c.Replica, other.Replica))
}

// PartEntry is what is known of a prompt part that was in flight on replicas that crashed.
type PartEntry struct {
	Part uint64
	// Released is the number of times that the part was found sound, which voids all crashes before.
	// Of two entries of a part, the one with the higher number holds; equal ones are combined.
	Released    uint64
	Crashes     []PartCrash // in order of time
	Quarantined bool        // the crashes have no other explanation than the part
	Expires     time.Time
}

// addCrash adds a crash and reports whether that changed the entry.
func (e *PartEntry) addCrash(c PartCrash) bool {
	if slices.ContainsFunc(e.Crashes, c.same) || len(e.Crashes) == maxPartCrashes && c.compare(e.Crashes[0]) < 0 {
		return false
	}
	at, _ := slices.BinarySearchFunc(e.Crashes, c, PartCrash.compare)
	e.Crashes = slices.Insert(e.Crashes, at, c)
	e.Crashes = e.Crashes[max(len(e.Crashes)-maxPartCrashes, 0):]
	return true
}

// partEntry is an entry with what this host needs to report it.
type partEntry struct {
	PartEntry
	changedAt time.Time
}

// Parts identifies poison parts: parts of prompts that crash each replica that answers a request
// which contains them, whatever else the request contains. All parts of the requests in flight on a
// crashed replica are suspects. A complete answer shows that all parts of its request are sound. A
// suspect with crashes of enough replicas is quarantined unless other suspects explain its crashes.
//
// Entries of different hosts are combined by Merge in any order and any number of times with the
// same result. Parts is not safe for concurrent use.
type Parts struct {
	crashLimit int
	duration   time.Duration
	entries    *simplelru.LRU[uint64, *partEntry]
	sound      *simplelru.LRU[uint64, time.Time] // when the latest complete answer to a request with the part ended
	// The lists are derived from entries by classify.
	quarantined []*partEntry
	repeated    []*partEntry // suspects with minRepeatedCrashes crashes that quarantined parts do not explain
}

// NewParts returns an empty Parts. A part is quarantined for the given duration after crashes of
// crashLimit replicas.
func NewParts(crashLimit int, duration time.Duration) *Parts {
	// NewLRU fails only for a size below one.
	entries, _ := simplelru.NewLRU[uint64, *partEntry](maxPartEntries, nil)
	sound, _ := simplelru.NewLRU[uint64, time.Time](maxSoundParts, nil)
	return &Parts{crashLimit: crashLimit, duration: duration, entries: entries, sound: sound}
}

// Configure changes the crash limit and the duration of quarantines.
func (p *Parts) Configure(crashLimit int, duration time.Duration) {
	p.crashLimit, p.duration = crashLimit, duration
}

// Crash counts the crash of a replica against the parts of the requests that were in flight on it.
// It returns the parts that are quarantined because of it.
func (p *Parts) Crash(parts []uint64, replica uint64, now time.Time) (quarantined []uint64) {
	changed := false
	for _, part := range parts {
		e, ok := p.entries.Get(part)
		if !ok {
			e = &partEntry{PartEntry: PartEntry{Part: part}}
			p.entries.Add(part, e)
		}
		if e.addCrash(PartCrash{Replica: replica, At: now}) {
			e.changedAt, changed = now, true
			e.Expires = later(e.Expires, now.Add(suspectDuration))
		}
	}
	if !changed {
		return nil
	}
	return p.classify(now)
}

// Completed records a complete answer to a request with the parts, which shows that they are sound.
// It returns the parts that no longer are suspects because of it, and those that are quarantined
// because their crashes have no other explanation left.
func (p *Parts) Completed(parts []uint64, now time.Time) (released, quarantined []uint64) {
	for _, part := range parts {
		p.sound.Add(part, now)
		if e, ok := p.entries.Peek(part); ok && e.release(now) {
			released = append(released, part)
		}
	}
	if len(released) > 0 {
		quarantined = p.classify(now)
	}
	return released, quarantined
}

// release voids all crashes of the entry and reports whether there were any.
func (e *partEntry) release(now time.Time) bool {
	if len(e.Crashes) == 0 {
		return false
	}
	e.Released++
	e.Crashes, e.Quarantined = nil, false
	e.changedAt, e.Expires = now, now.Add(suspectDuration)
	return true
}

// Release ends the quarantine of a part and voids its crashes, for an operator. It reports whether
// the part was a suspect.
func (p *Parts) Release(part uint64, now time.Time) bool {
	e, ok := p.entries.Peek(part)
	if !ok || !e.release(now) {
		return false
	}
	p.classify(now)
	return true
}

// Blamed reports whether a request with the parts must not run, because one of them is quarantined,
// or is a suspect with enough crashes that no repeated suspect outside the request explains. expires is when
// that ends.
func (p *Parts) Blamed(parts []uint64, now time.Time) (part uint64, expires time.Time, blamed bool) {
	for _, e := range p.quarantined {
		if now.Before(e.Expires) && slices.Contains(parts, e.Part) {
			return e.Part, e.Expires, true
		}
	}
	if len(p.repeated) == 0 {
		return 0, time.Time{}, false
	}
	var outside []*partEntry
	for _, e := range p.repeated {
		if !slices.Contains(parts, e.Part) {
			outside = append(outside, e)
		}
	}
	for _, e := range p.repeated {
		if now.Before(e.Expires) && slices.Contains(parts, e.Part) && p.unexplained(e, outside) >= p.crashLimit {
			e.Expires = now.Add(suspectDuration) // as long as such requests come
			return e.Part, e.Expires, true
		}
	}
	return 0, time.Time{}, false
}

// Suspect reports whether any of the parts has a crash against it.
func (p *Parts) Suspect(parts []uint64) bool {
	return slices.ContainsFunc(parts, func(part uint64) bool {
		e, ok := p.entries.Peek(part)
		return ok && len(e.Crashes) > 0
	})
}

// unexplained counts the crashes of an entry that neither a quarantined part nor one of the others
// had a part in. Crashes closer together than partCrashSeparation count once.
func (p *Parts) unexplained(e *partEntry, others []*partEntry) int {
	count := 0
	var last time.Time
	for _, c := range e.Crashes {
		explains := func(o *partEntry) bool { return o != e && slices.ContainsFunc(o.Crashes, c.same) }
		if count > 0 && c.At.Sub(last) < partCrashSeparation || slices.ContainsFunc(p.quarantined, explains) || slices.ContainsFunc(others, explains) {
			continue
		}
		count++
		last = c.At
	}
	return count
}

// classify removes expired entries, and quarantines the suspects whose crashes no other suspect
// explains. It returns those.
func (p *Parts) classify(now time.Time) (quarantined []uint64) {
	p.quarantined = p.quarantined[:0]
	for _, part := range p.entries.Keys() {
		e, _ := p.entries.Peek(part)
		switch {
		case !now.Before(e.Expires):
			p.entries.Remove(part)
		case e.Quarantined:
			p.quarantined = append(p.quarantined, e)
		}
	}
	for {
		p.repeated = p.repeated[:0]
		for _, e := range p.entries.Values() {
			if !e.Quarantined && p.unexplained(e, nil) >= minRepeatedCrashes {
				p.repeated = append(p.repeated, e)
			}
		}
		i := slices.IndexFunc(p.repeated, func(e *partEntry) bool { return p.unexplained(e, p.repeated) >= p.crashLimit })
		if i < 0 {
			return quarantined
		}
		e := p.repeated[i]
		e.Quarantined, e.changedAt, e.Expires = true, now, now.Add(p.duration)
		p.quarantined = append(p.quarantined, e)
		quarantined = append(quarantined, e.Part)
	}
}

// Merge applies entries of other hosts or of a store. It returns the parts that are quarantined on
// this host because of them.
func (p *Parts) Merge(entries []PartEntry, now time.Time) (quarantined []uint64) {
	changed := false
	for i := range entries {
		changed = p.mergeEntry(&entries[i], now) || changed
	}
	if !changed {
		return nil
	}
	before := make([]uint64, len(p.quarantined))
	for i, e := range p.quarantined {
		before[i] = e.Part
	}
	p.classify(now)
	for _, e := range p.quarantined {
		if !slices.Contains(before, e.Part) {
			quarantined = append(quarantined, e.Part)
		}
	}
	return quarantined
}

// mergeEntry applies one entry and reports whether this host's changed.
func (p *Parts) mergeEntry(update *PartEntry, now time.Time) bool {
	if !now.Before(update.Expires) {
		return false
	}
	e, ok := p.entries.Get(update.Part)
	if !ok {
		e = &partEntry{PartEntry: PartEntry{Part: update.Part}}
		p.entries.Add(update.Part, e)
	}
	changed := !ok
	switch {
	case update.Released < e.Released:
		e.changedAt = now // the sender does not know of the release
		return false
	case update.Released > e.Released:
		e.PartEntry = PartEntry{Part: update.Part, Released: update.Released}
		changed = true
	}
	for _, c := range update.Crashes {
		changed = e.addCrash(c) || changed
	}
	if update.Quarantined && !e.Quarantined {
		e.Quarantined, changed = true, true
	}
	e.Expires = later(e.Expires, earlier(update.Expires, now.Add(max(p.duration, suspectDuration))))
	if changed {
		e.changedAt = now
	}
	if sound, ok := p.sound.Peek(e.Part); ok && len(e.Crashes) > 0 && !sound.Before(e.Crashes[0].At) {
		return e.release(now) // an answer was completed after a crash that was not known yet
	}
	return changed
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Reports returns entries for other hosts, at most limit: those that changed in the last seconds,
// and with all also those of parts that requests are refused for. If there are more, quarantined parts
// are preferred, then those of which a second crash or a release is known; equal ones vary from call
// to call.
func (p *Parts) Reports(all bool, limit int, now time.Time) []PartEntry {
	var out []PartEntry
	for _, e := range p.entries.Values() {
		if now.Before(e.Expires) && (now.Sub(e.changedAt) < partNewsTime || all && p.refuses(e)) {
			out = append(out, e.PartEntry)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b PartEntry) int { return cmp.Compare(b.reportRank(), a.reportRank()) })
	return cloneEntries(out[:min(len(out), limit)])
}

// reportRank orders entries by what other hosts need first.
func (e *PartEntry) reportRank() int {
	switch {
	case e.Quarantined:
		return 2
	case len(e.Crashes) != 1:
		return 1
	default:
		return 0
	}
}

// refuses reports whether requests can be refused for the entry's part.
func (p *Parts) refuses(e *partEntry) bool {
	return e.Quarantined || slices.Contains(p.repeated, e) && p.unexplained(e, nil) >= p.crashLimit
}

// Refused returns the entries of the parts that requests are refused for.
func (p *Parts) Refused(now time.Time) []PartEntry {
	var out []PartEntry
	for _, e := range p.entries.Values() {
		if now.Before(e.Expires) && p.refuses(e) {
			out = append(out, e.PartEntry)
		}
	}
	slices.SortFunc(out, func(a, b PartEntry) int { return cmp.Compare(a.Part, b.Part) })
	return cloneEntries(out)
}

// cloneEntries makes the crashes of the entries independent of those of the Parts.
func cloneEntries(entries []PartEntry) []PartEntry {
	for i := range entries {
		entries[i].Crashes = slices.Clone(entries[i].Crashes)
	}
	return entries
}
