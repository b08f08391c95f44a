package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/scheduling/poisonpart"
)

const (
	maxPartUpdates = 16  // suspect parts sent in a message
	maxPartsInView = 256 // suspect parts that a router learns
)

// ConfigureParts sets the limits of a bundle for parts of prompts that crash replicas.
func (t *Table) ConfigureParts(poisonCrashes int, duration time.Duration) {
	t.parts.Configure(poisonpart.CrashLimit(poisonCrashes), duration)
}

// RecordPartCrash counts a crash of a replica, given as upstream/replica, against the parts of the
// prompt of a request that ran on it.
func (t *Table) RecordPartCrash(parts []uint64, replica string, now time.Time) {
	if len(parts) > 0 {
		t.parts.Crash(parts, nil, xxhash.Sum64String(replica), now)
		t.recordChange(true)
	}
}

// CompleteParts records a complete answer to a request with the parts, which shows that they are sound.
func (t *Table) CompleteParts(parts []uint64, now time.Time) {
	if released, _ := t.parts.Completed(parts, now); len(released) > 0 {
		t.recordChange(true)
	}
}

// ReleasePart ends the quarantine of a part, for an operator, and reports whether it was a suspect.
func (t *Table) ReleasePart(part uint64, now time.Time) bool {
	if !t.parts.Release(part, now) {
		return false
	}
	t.recordChange(true)
	return true
}

// MergeParts applies entries that are kept on the platform.
func (t *Table) MergeParts(entries []poisonpart.Entry, now time.Time) {
	if quarantined, _ := t.parts.Merge(entries, now); len(quarantined) > 0 {
		t.recordChange(true)
	}
}

// mergePartUpdates applies the entries of a message. Those that a router may not know yet are a change
// that it must see at once.
func (t *Table) mergePartUpdates(messages []*rpc.SuspectPart, now time.Time) {
	if len(messages) == 0 {
		return
	}
	before := t.parts.Changes()
	t.parts.Merge(rpc.SuspectPartEntries(messages, now), now)
	if t.parts.Changes() != before {
		t.recordChange(true)
	}
}

// SuspectParts returns the parts that routers must know.
func (t *Table) SuspectParts(now time.Time) []*rpc.SuspectPart {
	return rpc.SuspectParts(t.parts.Reports(true, maxPartsInView, now), now)
}

// PartChanges returns a number that increases with every change of suspect parts.
func (t *Table) PartChanges() uint64 { return t.parts.Changes() }

// RefusedParts returns the parts that requests are refused for.
func (t *Table) RefusedParts(now time.Time) []poisonpart.Entry { return t.parts.Refused(now) }

// partUpdates returns the entries for a message.
func (t *Table) partUpdates(now time.Time) []*rpc.SuspectPart {
	return rpc.SuspectParts(t.parts.Reports(true, maxPartUpdates, now), now)
}
