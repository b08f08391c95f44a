package picker

import "heatherbarrow/internal/scheduling"

const (
	affinitySets = 1 << 14 // power of two
	affinityWays = 4
)

// affinity remembers which replica lately computed a prompt prefix. It is a
// set-associative table of fixed size instead of an LRU list, because an insert
// on each decision must not allocate.
type affinity struct {
	sets  [][affinityWays]affinityEntry
	clock uint32
}

type affinityEntry struct {
	prefix  uint64
	replica *Replica
	epoch   uint32 // epoch of the replica when the entry was made
	used    uint32
}

func newAffinity() *affinity {
	return &affinity{sets: make([][affinityWays]affinityEntry, affinitySets)}
}

func (a *affinity) set(prefix uint64) *[affinityWays]affinityEntry {
	return &a.sets[prefix&(affinitySets-1)]
}

// put records that the replica holds the prefix. The oldest entry of the set
// makes room.
func (a *affinity) put(prefix uint64, r *Replica) {
	a.clock++
	set := a.set(prefix)
	victim := 0
	for i := range set {
		e := &set[i]
		if e.prefix == prefix && e.replica == r {
			victim = i
			break
		}
		if e.replica == nil || a.clock-e.used > a.clock-set[victim].used {
			victim = i
		}
	}
	set[victim] = affinityEntry{prefix: prefix, replica: r, epoch: r.affinityEpoch, used: a.clock}
}

func (a *affinity) evict(prefix uint64, r *Replica) {
	set := a.set(prefix)
	for i := range set {
		if set[i].prefix == prefix && set[i].replica == r {
			set[i] = affinityEntry{}
		}
	}
}

// holders returns the replicas that hold the prefix; absent ones are nil.
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

// CacheEventKind tells what happened to a prefix in an engine's cache.
type CacheEventKind int

const (
	// PrefixStored adds a prefix.
	PrefixStored CacheEventKind = iota
	// PrefixEvicted removes a prefix.
	PrefixEvicted
)

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64
	Kind     CacheEventKind
	Prefix   uint64
}

// CacheEvents takes an engine's prefix cache events in order of sequence. After
// a gap nothing is certain of the cache, so that the replica's entries are
// dropped before the later events apply. It returns false when there was a gap.
func (p *Picker) CacheEvents(id scheduling.ReplicaID, events []CacheEvent) bool {
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
		if e.Kind == PrefixStored {
			p.affinity.put(e.Prefix, r)
		} else {
			p.affinity.evict(e.Prefix, r)
		}
	}
	return complete
}
