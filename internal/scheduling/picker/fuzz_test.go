package picker

import (
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/require"
)

// encodedEventSize is the size in bytes of an event in the input of FuzzCacheEvents: two
// bytes for the sequence, one for the kind and one for the prefix.
const encodedEventSize = 4

// decodeCacheEvents decodes the fuzz input. An incomplete last event is ignored.
func decodeCacheEvents(data []byte) []CacheEvent {
	var out []CacheEvent
	for ; len(data) >= encodedEventSize; data = data[encodedEventSize:] {
		out = append(out, CacheEvent{
			Sequence: uint64(binary.LittleEndian.Uint16(data)),
			Kind:     CacheEventKind(data[2] % 3), Prefix: uint64(data[3]) + 1,
		})
	}
	return out
}

// FuzzCacheEvents guards against a replica that remains the holder of a prefix that its
// engine evicted, or that it reported before a gap in the event sequence.
func FuzzCacheEvents(f *testing.F) {
	f.Add([]byte{1, 0, 0, 5, 2, 0, 1, 5, 3, 0, 0, 6})
	f.Add([]byte{1, 0, 0, 5, 9, 0, 0, 6, 10, 0, 1, 6})
	f.Add([]byte{9, 0, 0, 5, 2, 0, 1, 5, 0, 0, 0, 1, 255, 255, 2, 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		p := newFixture(t, 2, 4)
		stored := make(map[uint64]bool)
		lastSequence := uint64(0)
		for _, e := range decodeCacheEvents(data) {
			gap := lastSequence != 0 && e.Sequence > lastSequence+1
			require.Equal(t, !gap, p.ApplyCacheEvents(id(0), []CacheEvent{e}))
			if e.Sequence <= lastSequence {
				continue
			}
			if gap {
				clear(stored)
			}
			lastSequence = e.Sequence
			stored[e.Prefix] = e.Kind == PrefixStored
		}
		// The input contains the prefixes 1 to 256; 0 and 257 are never stored.
		for prefix := range uint64(258) {
			holders, _ := p.affinity.holders(prefix)
			for _, r := range holders {
				require.True(t, r == nil || stored[prefix], "prefix %d", prefix)
			}
		}
	})
}
