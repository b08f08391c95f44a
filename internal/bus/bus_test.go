package bus

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against events of one publisher being handled out of order, and against
// two events being handled at once.
func TestEventsOfAPublisherAreHandledInOrder(t *testing.T) {
	type numbered struct{ publisher, n int }
	b := New()
	defer func() { _ = b.Close() }()
	last := map[int]int{}
	require.NoError(t, b.Subscribe(context.Background(), func(event any) {
		e := event.(numbered)
		if e.n != last[e.publisher]+1 {
			t.Errorf("publisher %d: event %d follows %d", e.publisher, e.n, last[e.publisher])
		}
		last[e.publisher] = e.n
	}))
	var publishers sync.WaitGroup
	for p := range 8 {
		publishers.Go(func() {
			for n := 1; n <= 500; n++ {
				_ = b.Publish(numbered{p, n})
			}
		})
	}
	publishers.Wait()
}

// Guards against a publisher that waits for ever after the subscriber is gone,
// and against one that takes a result which no handler has written.
func TestPublishWithoutSubscriberFails(t *testing.T) {
	b := New()
	require.ErrorIs(t, b.Publish(1), ErrPublish)
	ctx, cancel := context.WithCancel(context.Background())
	var handled atomic.Int64
	require.NoError(t, b.Subscribe(ctx, func(any) { handled.Add(1) }))
	require.NoError(t, b.Publish(1))
	require.EqualValues(t, 1, handled.Load())
	cancel()
	require.Eventually(t, func() bool { return b.Publish(1) != nil }, 10*time.Second, time.Millisecond)
	require.NoError(t, b.Close())
	require.ErrorIs(t, b.Publish(1), ErrPublish)
}
