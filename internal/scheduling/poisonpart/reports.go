package poisonpart

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Reports returns entries for other hosts, at most limit: those that changed in the last seconds,
// and with all also those of parts that requests are refused for. If there are more, quarantined parts
// are preferred, then those of which a second crash or a release is known; equal ones vary from call
// to call.
func (t *Tracker) Reports(all bool, limit int, now time.Time) []Entry {
	return t.ReportsWith(all, func(uint64) bool { return false }, limit, now)
}

// ReportsWith is Reports where requests with a part are also refused if refused returns true.
func (t *Tracker) ReportsWith(all bool, refused func(part uint64) bool, limit int, now time.Time) []Entry {
	var out []Entry
	for _, e := range t.entries.Values() {
		if now.Before(e.Expires) && (now.Sub(e.changedAt) < newsTime || all && (t.refuses(e) || refused(e.Part))) {
			out = append(out, e.Entry)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b Entry) int { return cmp.Compare(b.reportRank(), a.reportRank()) })
	return cloneEntries(out[:min(len(out), limit)])
}

// reportRank orders entries by what other hosts need first.
func (e *Entry) reportRank() int {
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
func (t *Tracker) refuses(e *localEntry) bool {
	return e.Quarantined && t.isUpheld(e) || !e.Quarantined && slices.Contains(t.repeated, e) && t.unexplained(e, nil) >= t.crashLimit
}

// Refuses reports whether requests with the part can be refused for it.
func (t *Tracker) Refuses(part uint64, now time.Time) bool {
	e, ok := t.entries.Peek(part)
	return ok && now.Before(e.Expires) && t.refuses(e)
}

// Refused returns the entries of the parts that requests are refused for.
func (t *Tracker) Refused(now time.Time) []Entry {
	var out []Entry
	for _, e := range t.entries.Values() {
		if now.Before(e.Expires) && t.refuses(e) {
			out = append(out, e.Entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Part, b.Part) })
	return cloneEntries(out)
}

// Suspects returns the entries that are not refused and have minRepeatedCrashes crashes or more, which hosts that
// start need to know: at most limit, those with the most crashes first.
func (t *Tracker) Suspects(limit int, now time.Time) []Entry {
	var out []Entry
	for _, e := range t.entries.Values() {
		if now.Before(e.Expires) && len(e.Crashes) >= minRepeatedCrashes && !t.refuses(e) {
			out = append(out, e.Entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.Part, b.Part))
	})
	return cloneEntries(out[:min(len(out), limit)])
}

// cloneEntries makes the crashes of the entries independent of those of the Tracker.
func cloneEntries(entries []Entry) []Entry {
	for i := range entries {
		entries[i].Crashes = slices.Clone(entries[i].Crashes)
	}
	return entries
}

// Merge applies entries of other hosts or of a store. It returns the parts that are quarantined on
// this host because of them, and those that this host knows to be sound.
func (t *Tracker) Merge(entries []Entry, now time.Time) (quarantined, released []uint64) {
	changed := false
	for i := range entries {
		entryChanged, sound := t.mergeEntry(&entries[i], now)
		changed = changed || entryChanged
		if sound {
			released = append(released, entries[i].Part)
		}
	}
	if !changed {
		return nil, released
	}
	before := make([]uint64, len(t.quarantined))
	for i, e := range t.quarantined {
		before[i] = e.Part
	}
	t.classify(now)
	for _, e := range t.quarantined {
		if !slices.Contains(before, e.Part) {
			quarantined = append(quarantined, e.Part)
		}
	}
	return quarantined, released
}

// mergeEntry applies one entry. It reports whether this host's changed, and whether the part is
// released again because an answer was completed after a crash that was not known yet.
func (t *Tracker) mergeEntry(update *Entry, now time.Time) (changed, released bool) {
	if !now.Before(update.Expires) {
		return false, false
	}
	e, ok := t.entries.Get(update.Part)
	if !ok {
		e = &localEntry{Entry: Entry{Part: update.Part}}
		t.entries.Add(update.Part, e)
	}
	changed = !ok
	switch {
	case update.Released < e.Released:
		e.changedAt = now // the sender does not know of the release
		return false, false
	case update.Released > e.Released:
		if ok {
			e.releasedAt = now
		}
		e.Entry = Entry{Part: update.Part, Released: update.Released}
		changed = true
	}
	for _, c := range update.Crashes {
		if e.addCrash(c) {
			t.remember(c)
			e.answers, changed = t.answers, true
		}
	}
	if update.Quarantined && !e.Quarantined {
		e.Quarantined, changed = true, true
	}
	e.Expires = later(e.Expires, earlier(update.Expires, now.Add(max(t.duration, suspectDuration))))
	if changed {
		e.changedAt = now
	}
	if sound, ok := t.sound.Peek(e.Part); ok && len(e.Crashes) > 0 && !sound.Before(e.Crashes[0].At) {
		released = e.release(now)
		e.releasedAt = sound
		return true, released
	}
	return changed, false
}
