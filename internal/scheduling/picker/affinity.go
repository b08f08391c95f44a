package picker

import "heatherbarrow/internal/scheduling"

const (
	affinitySets = 1 << 14 // must be a power of two
	affinityWays = 4       // entries per set
)

// affinity records which replicas recently computed which prompt prefixes. It is a
// set-associative table of fixed size instead of an LRU list, because the insert on each
// decision must not allocate.
type affinity struct {
	sets        [][affinityWays]affinityEntry
	insertCount uint32 // number of inserts so far
}

// affinityEntry states that a replica holds a prefix. It is valid while the replica's epoch
// is unchanged.
type affinityEntry struct {
	prefix       uint64
	replica      *Replica
	epoch        uint32 // affinityEpoch of the replica at the insert
	insertNumber uint32 // insertCount at the latest insert of the entry
}

// newAffinity returns an empty table.
func newAffinity() *affinity {
	return &affinity{sets: make([][affinityWays]affinityEntry, affinitySets)}
}

// set returns the set in which the prefix is stored.
func (a *affinity) set(prefix uint64) *[affinityWays]affinityEntry {
	return &a.sets[prefix&(affinitySets-1)]
}

// insert records that the replica holds the prefix. It replaces an existing entry for both
// if there is one, otherwise an empty or the least recently inserted entry of the set.
func (a *affinity) insert(prefix uint64, r *Replica) {
	a.insertCount++
	set := a.set(prefix)
	victim := 0
	for i := range set {
		e := &set[i]
		if e.prefix == prefix && e.replica == r {
			victim = i
			break
		}
		if e.replica == nil || a.insertCount-e.insertNumber > a.insertCount-set[victim].insertNumber {
			victim = i
		}
	}
	set[victim] = affinityEntry{prefix: prefix, replica: r, epoch: r.affinityEpoch, insertNumber: a.insertCount}
}

// remove deletes the entry for the replica and the prefix.
func (a *affinity) remove(prefix uint64, r *Replica) {
	set := a.set(prefix)
	for i := range set {
		if set[i].prefix == prefix && set[i].replica == r {
			set[i] = affinityEntry{}
		}
	}
}

// holders returns the replicas that hold the prefix and whether there are any. Unused
// elements are nil.
func (a *affinity) holders(prefix uint64) (out [affinityWays]*Replica, found bool) {
	set := a.set(prefix)
	for i := range set {
		e := &set[i]
		if e.prefix == prefix && e.replica != nil && e.epoch == e.replica.affinityEpoch {
			out[i] = e.replica
			found = true
		}
	}
	return out, found
}

// CacheEventKind is the kind of change to an engine's prompt cache.
type CacheEventKind int

const (
	// PrefixStored reports that the engine added a prefix to its cache.
	PrefixStored CacheEventKind = iota
	// PrefixEvicted reports that the engine removed a prefix from its cache.
	PrefixEvicted
)

// CacheEvent is a change to an engine's prompt cache.
type CacheEvent struct {
	Sequence uint64 // consecutive for each engine
	Kind     CacheEventKind
	Prefix   uint64 // hash of the prefix
}

// ApplyCacheEvents applies events of an engine's prompt cache, which must be in order of
// their sequence; events that were applied before are ignored. After a gap in the sequence
// the content of the cache is unknown, so that the replica's entries are dropped before the
// later events are applied. It returns false when there was a gap. Events of an unknown
// replica are ignored.
func (p *Picker) ApplyCacheEvents(id scheduling.ReplicaID, events []CacheEvent) bool {
	r, ok := p.replicas[id]
	if !ok {
		return true
	}
	complete := true
	for _, e := range events {
		if e.Sequence <= r.cacheSequence {
			continue
		}
		if r.cacheSequence != 0 && e.Sequence != r.cacheSequence+1 {
			r.affinityEpoch++
			complete = false
		}
		r.cacheSequence = e.Sequence
		// An unknown kind counts as an eviction, which is the safe assumption.
		if e.Kind == PrefixStored {
			p.affinity.insert(e.Prefix, r)
		} else {
			p.affinity.remove(e.Prefix, r)
		}
	}
	return complete
}
