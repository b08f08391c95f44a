package membership

import (
	"cmp"
	"slices"
	"time"

	"heatherbarrow/internal/rpc"
)

// quarantineRecord holds the entry of a fingerprint whose requests crashed replicas,
// or the release of the fingerprint.
type quarantineRecord struct {
	entry *rpc.QuarantineEntry // immutable: every change replaces it
	sends [2]int               // times sent within the zone and to other zones
}

// Indexes into quarantineRecord.sends.
const (
	withinZone = iota
	toOtherZones
)

// quarantine stores the quarantined fingerprints of all zones.
type quarantine struct {
	entries map[uint64]*quarantineRecord // by fingerprint
	version uint64                       // increases with every change to be stored on the platform
}

// RecordCrash adds a crashed replica to the entry of a fingerprint, sets the entry to
// expire after the retention time and returns it.
func (t *Table) RecordCrash(fingerprint uint64, replica, model string, retention time.Duration, now time.Time) *rpc.QuarantineEntry {
	next := &rpc.QuarantineEntry{Fingerprint: fingerprint, Model: model, ExpiresUnixMs: now.Add(retention).UnixMilli()}
	if old := t.quarantine.entries[fingerprint]; old != nil {
		next.Released = old.entry.Released
		next.CrashedReplicas = slices.Clone(old.entry.CrashedReplicas)
	}
	if !slices.Contains(next.CrashedReplicas, replica) {
		next.CrashedReplicas = append(next.CrashedReplicas, replica)
	}
	t.quarantine.put(t, next)
	return next
}

// ReleaseFingerprint ends the quarantine of a fingerprint, because an operator
// releases it or a request with the fingerprint completed. The release overrides
// all entries known so far. It is kept as long as an entry, because a peer may still
// have the old one. ReleaseFingerprint reports whether the fingerprint was
// quarantined.
func (t *Table) ReleaseFingerprint(fingerprint uint64, retention time.Duration, now time.Time) bool {
	old := t.quarantine.entries[fingerprint]
	if old == nil || len(old.entry.CrashedReplicas) == 0 {
		return false
	}
	t.quarantine.put(t, &rpc.QuarantineEntry{
		Fingerprint: fingerprint, Model: old.entry.Model, Released: old.entry.Released + 1, ExpiresUnixMs: now.Add(retention).UnixMilli(),
	})
	return true
}

// MergeQuarantine applies the entries of the quarantine object on the platform.
func (t *Table) MergeQuarantine(entries []*rpc.QuarantineEntry, now time.Time) {
	t.quarantine.merge(t, entries, now)
}

// Quarantine returns all entries, including releases, ordered by fingerprint, and a
// version that increases with every change.
func (t *Table) Quarantine() ([]*rpc.QuarantineEntry, uint64) {
	out := make([]*rpc.QuarantineEntry, 0, len(t.quarantine.entries))
	for _, record := range t.quarantine.entries {
		out = append(out, record.entry)
	}
	slices.SortFunc(out, func(a, b *rpc.QuarantineEntry) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return out, t.quarantine.version
}

// put stores an entry. A crash is an urgent change, which hosts send to peers at
// once. A release only ends a restriction and can wait for the regular exchanges:
// every completed request with a quarantined fingerprint makes one, and the number
// of messages sent outside the regular exchanges is limited.
func (q *quarantine) put(t *Table, e *rpc.QuarantineEntry) {
	q.entries[e.Fingerprint] = &quarantineRecord{entry: e}
	q.version++
	t.recordChange(len(e.CrashedReplicas) > 0)
}

func (q *quarantine) merge(t *Table, entries []*rpc.QuarantineEntry, now time.Time) {
	for _, e := range entries {
		if e.ExpiresUnixMs <= now.UnixMilli() {
			continue
		}
		old := q.entries[e.Fingerprint]
		if old == nil {
			q.put(t, e)
			continue
		}
		if next := MergeEntries(old.entry, e); next != old.entry {
			q.put(t, next)
		}
	}
}

// MergeEntries combines two entries of a fingerprint. The entry with the higher
// release number wins; at equal numbers, the result has the crashed replicas of both
// and the later expiry. MergeEntries returns a itself if b adds nothing.
func MergeEntries(a, b *rpc.QuarantineEntry) *rpc.QuarantineEntry {
	switch {
	case b.Released > a.Released:
		return b
	case b.Released < a.Released:
		return a
	}
	next := &rpc.QuarantineEntry{
		Fingerprint: a.Fingerprint, Model: a.Model, Released: a.Released,
		ExpiresUnixMs: max(a.ExpiresUnixMs, b.ExpiresUnixMs), CrashedReplicas: slices.Clone(a.CrashedReplicas),
	}
	for _, replica := range b.CrashedReplicas {
		if !slices.Contains(next.CrashedReplicas, replica) {
			next.CrashedReplicas = append(next.CrashedReplicas, replica)
		}
	}
	if len(next.CrashedReplicas) == len(a.CrashedReplicas) && next.ExpiresUnixMs == a.ExpiresUnixMs {
		return a
	}
	slices.Sort(next.CrashedReplicas)
	return next
}

func (q *quarantine) expire(now time.Time) {
	for fingerprint, entry := range q.entries {
		if entry.entry.ExpiresUnixMs <= now.UnixMilli() {
			delete(q.entries, fingerprint)
			q.version++
		}
	}
}

// updates returns the entries for a message: those sent fewer than maxUpdateSends
// times, starting with those sent the fewest times, and a few others. The random
// order of map iteration repeats all of the others over time, which makes up for
// lost messages.
func (q *quarantine) updates(toOtherZone bool) []*rpc.QuarantineEntry {
	scope := withinZone
	if toOtherZone {
		scope = toOtherZones
	}
	var bySends [maxUpdateSends + 1][]*quarantineRecord
	for _, entry := range q.entries {
		n := entry.sends[scope]
		bySends[n] = append(bySends[n], entry)
	}
	var out []*rpc.QuarantineEntry
	for _, pending := range bySends[:maxUpdateSends] {
		for _, entry := range pending[:min(len(pending), maxQuarantineUpdates-len(out))] {
			entry.sends[scope]++
			out = append(out, entry.entry)
		}
	}
	others := bySends[maxUpdateSends]
	for _, entry := range others[:min(len(others), maxQuarantineRepeats)] {
		out = append(out, entry.entry)
	}
	return out
}

// LatestExpiring returns the n entries that expire last, or all if there are fewer.
func LatestExpiring(entries []*rpc.QuarantineEntry, n int) []*rpc.QuarantineEntry {
	if len(entries) <= n {
		return entries
	}
	sorted := slices.Clone(entries)
	slices.SortFunc(sorted, func(a, b *rpc.QuarantineEntry) int { return cmp.Compare(b.ExpiresUnixMs, a.ExpiresUnixMs) })
	return sorted[:n]
}
