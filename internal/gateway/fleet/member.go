// Package fleet decides which replica serves a request and which requests are refused. It
// performs no I/O, starts no goroutines and takes the time as an argument, so that tests
// can simulate load patterns.
package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is a replica as described by its registration.
type Member struct {
	ID       string
	Upstream string
	Address  string // IP:port
	Zone     string
	Started  int64 // Unix time in ms; a different value under the same ID means a different process
	Slots    int
	Leaving  bool
	// Spot means that the platform may reclaim the replica at short notice.
	Spot bool
	// LeavesMs is the time until a leaving replica ends, in ms, as its registration stated when it was written; 0 if it did
	// not.
	LeavesMs int64
	// SoftwareVersion is the version of the replica's software. Streams of different versions do not
	// fit together. It is not that of the model weights.
	SoftwareVersion string
	// UsableUntil is when the replica must stop receiving requests; zero means no limit.
	UsableUntil time.Time
}

// usable reports whether the registration allows requests to the replica.
func (m *Member) usable(now time.Time) bool {
	return !m.Leaving && (m.UsableUntil.IsZero() || now.Before(m.UsableUntil))
}

// SameProcess reports whether both registrations describe one process.
func (m *Member) SameProcess(other *Member) bool {
	return m.Started == other.Started && m.Address == other.Address && m.Upstream == other.Upstream && m.SoftwareVersion == other.SoftwareVersion
}

// Key returns the hash of the ID by which hosts refer to the replica in digests.
func (m *Member) Key() uint64 { return xxhash.Sum64String(m.ID) }

// Use is the in-flight work of one host on a replica.
type Use struct {
	Prefill time.Duration // expected prefill time of the requests without a first token
	Running int           // in-flight requests
	Tokens  int           // tokens that the in-flight requests may occupy in the engine's KV cache
	// LongAnswers is the number of in-flight requests that mostly generate.
	LongAnswers int
	// PrefillLoad is the share of recent time spent on prompts of this host.
	PrefillLoad float64
}

// PromptUse says that a part of a prompt was sent to a replica, whose prompt cache will
// hold it.
type PromptUse struct {
	Replica uint64 // Member.Key
	Part    uint64 // PromptPart.Hash
}

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	Hash   uint64 // covers the model, this part and all parts before it
	Tokens int
}
