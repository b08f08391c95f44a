package engine

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"heatherbarrow/internal/standin/admin"
)

// shortestPrefix is the number of bytes of the shortest cached prefix; each
// further prefix is twice as long.
const shortestPrefix = 256

// CacheEvent tells that a prefix was stored or evicted.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`   // "stored" or "evicted"
	Prefix   string `json:"prefix"` // 64-bit hash in hex
}

// prefixCache is the engine's cache of prompt prefixes.
type prefixCache struct {
	prefixes  *lru.Cache[uint64, int] // hash to length in bytes
	events    []CacheEvent
	sequence  uint64
	dropEvery int
	random    *rand.Rand
}

func newPrefixCache(size int, seed uint64) prefixCache {
	prefixes, err := lru.New[uint64, int](size)
	if err != nil {
		panic(err) // the size is positive by Options.setDefaults
	}
	return prefixCache{prefixes: prefixes, random: rand.New(rand.NewPCG(seed, 0))}
}

// use returns the length in bytes of the longest cached prefix of the prompt and
// stores the prompt's prefixes.
func (c *prefixCache) use(text string) int {
	longest := 0
	for _, n := range prefixLengths(len(text)) {
		hash := xxhash.Sum64String(text[:n])
		if _, ok := c.prefixes.Get(hash); ok {
			longest = max(longest, n)
			continue
		}
		c.store(hash, n)
	}
	return longest
}

func (c *prefixCache) store(hash uint64, length int) {
	if oldest, _, ok := c.prefixes.GetOldest(); ok && c.prefixes.Add(hash, length) {
		c.publish("evicted", oldest)
	} else if !ok {
		c.prefixes.Add(hash, length)
	}
	c.publish("stored", hash)
}

func (c *prefixCache) publish(kind string, hash uint64) {
	c.sequence++
	if c.dropEvery > 0 && c.random.IntN(c.dropEvery) == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Kind: kind, Prefix: fmt.Sprintf("%016x", hash)})
	if len(c.events) > defaultEventLimit {
		c.events = c.events[len(c.events)-defaultEventLimit:]
	}
}

// reset empties the cache after a crash; the sequence jumps, so that readers see a gap.
func (c *prefixCache) reset() {
	c.prefixes.Purge()
	c.events = nil
	c.sequence += 2
}

func prefixLengths(length int) []int {
	var out []int
	for n := shortestPrefix; n < length; n *= 2 {
		out = append(out, n)
	}
	if length > 0 {
		out = append(out, length)
	}
	return out
}

func (s *Server) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a sequence number", http.StatusBadRequest)
		return
	}
	out := struct {
		Events []CacheEvent `json:"events"`
		Last   uint64       `json:"last"`
	}{Events: []CacheEvent{}}
	s.mu.Lock()
	out.Last = s.cache.sequence
	for _, e := range s.cache.events {
		if e.Sequence > after {
			out.Events = append(out.Events, e)
		}
	}
	s.mu.Unlock()
	admin.WriteJSON(w, out)
}
