package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders members for a key by rendezvous hashing: every host that knows the
// same members gets the same order, and a member that goes moves only its own
// place.
func Rank(key string, members []string) []string {
	type ranked struct {
		name  string
		score uint64
	}
	all := make([]ranked, len(members))
	for i, name := range members {
		all[i] = ranked{name, score(key, name)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	out := make([]string, len(all))
	for i := range all {
		out[i] = all[i].name
	}
	return out
}

// Top returns the n highest-ranked members for the key.
func Top(key string, members []string, n int) []string {
	ranked := Rank(key, members)
	return ranked[:min(n, len(ranked))]
}

// First returns the highest-ranked member for the key, empty when there is none.
func First(key string, members []string) string {
	best, bestScore := "", uint64(0)
	for _, name := range members {
		if s := score(key, name); best == "" || s > bestScore || s == bestScore && name < best {
			best, bestScore = name, s
		}
	}
	return best
}

// InTop tells whether the member is among the n highest-ranked for the key. It
// allocates nothing: each host asks it for every replica of its zone each second.
func InTop(key, member string, members []string, n int) bool {
	own := score(key, member)
	above, found := 0, false
	for _, name := range members {
		if name == member {
			found = true
			continue
		}
		if s := score(key, name); s > own || s == own && name < member {
			above++
		}
	}
	return found && above < n
}

func score(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	// The raw hash of near-equal short keys correlates; the finalizer spreads it.
	h := d.Sum64()
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}
