package membership

import (
	"cmp"
	"slices"
	"time"

	"heatherbarrow/internal/rpc"
)

// quarantined is a fingerprint that crashed replicas, or the release of one.
type quarantined struct {
	entry *rpc.QuarantineEntry // replaced, never changed
	sends [2]int               // within the own zone and to other zones
}

// Indexes into quarantined.sends.
const (
	inZone = iota
	toOtherZones
)

// quarantine holds the fingerprints of all zones.
type quarantine struct {
	entries map[uint64]*quarantined
	version uint64 // changes with every change that the platform must keep
}

// RecordCrash adds a crash to a fingerprint and returns the entry.
func (t *Table) RecordCrash(fingerprint uint64, replica, model string, keep time.Duration, now time.Time) *rpc.QuarantineEntry {
	next := &rpc.QuarantineEntry{Fingerprint: fingerprint, Model: model, ExpiresUnixMs: now.Add(keep).UnixMilli()}
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

// ReleaseFingerprint makes a release, by an operator or because a request with the
// fingerprint completed, that wins over all entries known so far. The release is
// kept as long as an entry, because a peer may still have the old one. It returns false when the fingerprint is not known.
func (t *Table) ReleaseFingerprint(fingerprint uint64, keep time.Duration, now time.Time) bool {
	old := t.quarantine.entries[fingerprint]
	if old == nil || len(old.entry.CrashedReplicas) == 0 {
		return false
	}
	t.quarantine.put(t, &rpc.QuarantineEntry{
		Fingerprint: fingerprint, Model: old.entry.Model, Released: old.entry.Released + 1, ExpiresUnixMs: now.Add(keep).UnixMilli(),
	})
	return true
}

// MergeQuarantine takes over entries of the platform's object.
func (t *Table) MergeQuarantine(entries []*rpc.QuarantineEntry, now time.Time) {
	t.quarantine.merge(t, entries, now)
}

// Quarantine returns all entries, releases included, and their version.
func (t *Table) Quarantine() ([]*rpc.QuarantineEntry, uint64) {
	out := make([]*rpc.QuarantineEntry, 0, len(t.quarantine.entries))
	for _, q := range t.quarantine.entries {
		out = append(out, q.entry)
	}
	slices.SortFunc(out, func(a, b *rpc.QuarantineEntry) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return out, t.quarantine.version
}

// put makes a crash urgent. A release only ends a restriction and may wait for the
// exchanges: each suspect that completes makes one, and pushes are bounded.
func (q *quarantine) put(t *Table, e *rpc.QuarantineEntry) {
	q.entries[e.Fingerprint] = &quarantined{entry: e}
	q.version++
	t.changed(len(e.CrashedReplicas) > 0)
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

// MergeEntries combines two entries of a fingerprint: the higher release number
// wins, otherwise the crashes of both count. It returns a when b adds nothing.
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

// message returns news, least sent first, and some others in the order of the map,
// which is random and so repairs in the long run.
func (q *quarantine) message(remote bool) []*rpc.QuarantineEntry {
	scope := inZone
	if remote {
		scope = toOtherZones
	}
	var bySends [maxSends + 1][]*quarantined
	for _, entry := range q.entries {
		n := entry.sends[scope]
		bySends[n] = append(bySends[n], entry)
	}
	var out []*rpc.QuarantineEntry
	for _, news := range bySends[:maxSends] {
		for _, entry := range news[:min(len(news), maxQuarantine-len(out))] {
			entry.sends[scope]++
			out = append(out, entry.entry)
		}
	}
	old := bySends[maxSends]
	for _, entry := range old[:min(len(old), maxQuarantineRepair)] {
		out = append(out, entry.entry)
	}
	return out
}

// LongestLasting returns at most n entries, those that expire last.
func LongestLasting(entries []*rpc.QuarantineEntry, n int) []*rpc.QuarantineEntry {
	if len(entries) <= n {
		return entries
	}
	sorted := slices.Clone(entries)
	slices.SortFunc(sorted, func(a, b *rpc.QuarantineEntry) int { return cmp.Compare(b.ExpiresUnixMs, a.ExpiresUnixMs) })
	return sorted[:n]
}
