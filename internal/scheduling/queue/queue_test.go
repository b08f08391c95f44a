package queue

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a removal from the middle of the heap that breaks the order or the stored
// indexes.
func TestRemoveFromAnyPosition(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var h Heap[int]
		var queued []*Node[int]
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			if len(queued) == 0 || rapid.Bool().Draw(rt, "push") {
				n := &Node[int]{Key: int64(rapid.IntRange(0, 50).Draw(rt, "key"))}
				h.Push(n)
				queued = append(queued, n)
			} else {
				i := rapid.IntRange(0, len(queued)-1).Draw(rt, "node")
				h.Remove(queued[i])
				require.False(rt, queued[i].Queued())
				queued = append(queued[:i], queued[i+1:]...)
			}
			require.Equal(rt, len(queued), h.Len())
			for _, n := range queued {
				require.True(rt, n.Queued())
				require.LessOrEqual(rt, h.Min().Key, n.Key)
			}
		}
	})
}
