package picker

import (
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/require"
)

// cacheEventBytes is the size of an event in the input of FuzzCacheEvents:
// sequence, kind and prefix.
const cacheEventBytes = 4

func decodeCacheEvents(data []byte) []CacheEvent {
	var out []CacheEvent
	for ; len(data) >= cacheEventBytes; data = data[cacheEventBytes:] {
		out = append(out, CacheEvent{
			Sequence: uint64(binary.LittleEndian.Uint16(data)),
			Kind:     CacheEventKind(data[2] % 3), Prefix: uint64(data[3]) + 1,
		})
	}
	return out
}

// Guards against cache events that leave a replica as the holder of a prefix that
// its engine evicted, or that came before a gap.
func FuzzCacheEvents(f *testing.F) {
	f.Add([]byte{1, 0, 0, 5, 2, 0, 1, 5, 3, 0, 0, 6})
	f.Add([]byte{1, 0, 0, 5, 9, 0, 0, 6, 10, 0, 1, 6})
	f.Add([]byte{9, 0, 0, 5, 2, 0, 1, 5, 0, 0, 0, 1, 255, 255, 2, 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		p := newFixture(t, 2, 4)
		held := make(map[uint64]bool)
		last := uint64(0)
		for _, e := range decodeCacheEvents(data) {
			gap := last != 0 && e.Sequence > last+1
			require.Equal(t, !gap, p.CacheEvents(id(0), []CacheEvent{e}))
			if e.Sequence <= last {
				continue
			}
			if gap {
				clear(held)
			}
			last = e.Sequence
			held[e.Prefix] = e.Kind == PrefixStored
		}
		for prefix := range uint64(258) {
			holders, _ := p.affinity.holders(prefix)
			for _, r := range holders {
				require.True(t, r == nil || held[prefix], "prefix %d", prefix)
			}
		}
	})
}
