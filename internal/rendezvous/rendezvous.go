// Package rendezvous orders members for a key by rendezvous hashing, so that every host with the
// same members computes the same order.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the members ordered for a key by rendezvous hashing. Every host with
// the same members computes the same order, and removing a member does not change
// the order of the others.
func Rank(key string, members []string) []string {
	type scoredMember struct {
		name  string
		score uint64
	}
	scored := make([]scoredMember, len(members))
	for i, name := range members {
		scored[i] = scoredMember{name, score(key, name)}
	}
	slices.SortFunc(scored, func(a, b scoredMember) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	out := make([]string, len(scored))
	for i := range scored {
		out[i] = scored[i].name
	}
	return out
}

// TopRanked returns the n highest-ranked members for the key.
func TopRanked(key string, members []string, n int) []string {
	ranked := Rank(key, members)
	return ranked[:min(n, len(ranked))]
}

// HighestRanked returns the highest-ranked member for the key, or "" without members.
func HighestRanked(key string, members []string) string {
	best, bestScore := "", uint64(0)
	for _, name := range members {
		if s := score(key, name); best == "" || s > bestScore || s == bestScore && name < best {
			best, bestScore = name, s
		}
	}
	return best
}

// InTop reports whether the member is among the n highest-ranked for the key. It
// does not allocate, because each host calls it every second for each replica of
// its zone.
func InTop(key, member string, members []string, n int) bool {
	return slices.Contains(members, member) && Position(key, member, members) < n
}

// Position returns how many of the members precede the given one for the key. The given member
// need not be among them.
func Position(key, member string, members []string) int {
	memberScore := score(key, member)
	higher := 0
	for _, name := range members {
		if s := score(key, name); s > memberScore || s == memberScore && name < member {
			higher++
		}
	}
	return higher
}

func score(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	// Raw hashes of similar short keys correlate; the finalizer removes this.
	h := d.Sum64()
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}
