package scheduler

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
)

// Guards against data races between concurrent streams, bundle and view updates and
// Tick, and against losing a slot when a caller's context ends while its request is
// being granted.
func TestConcurrentUse(t *testing.T) {
	const streams, requests = 16, 100
	definition := testBundle(2, 2, 2, 3)
	p := newFakePicker(t.Errorf)
	s := New(Options{Clock: clockwork.NewRealClock(), Picker: p})
	snapshot := bundle.Compile(definition, 1, "")
	view := &scheduling.View{HostsInZone: 1, ZoneCount: 1}
	s.Update(snapshot, view)
	stop := make(chan struct{})
	var background, traffic sync.WaitGroup
	background.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				s.Tick()
				s.Update(snapshot, view)
				s.Report()
			}
		}
	})
	for stream := range streams {
		traffic.Go(func() {
			for i := range requests {
				runRequest(s, definition, stream+i)
			}
		})
	}
	traffic.Wait()
	close(stop)
	background.Wait()
	require.Zero(t, s.expiry.Len())
	for id, n := range p.running {
		require.Zero(t, n, "slots of %s", id)
	}
}

// runRequest enqueues a request, waits for its assignment for a few milliseconds and
// streams a few tokens.
func runRequest(s *Scheduler, b *bundle.Bundle, i int) {
	now := time.Now()
	r := scheduling.Request{
		Class: i % len(b.Classes), Team: i % len(b.Teams), Upstreams: []int{i % 2}, Model: b.Upstreams[i%2].Models[0],
		Arrived: now, Deadline: now.Add(b.Classes[i%len(b.Classes)].Deadline.Std()), Resumable: true,
	}
	ticket, err := s.Enqueue(r)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%5+1)*time.Millisecond)
	defer cancel()
	a, err := ticket.Wait(ctx)
	if err != nil {
		if a != nil || errors.Is(err, context.Canceled) {
			panic("Wait returned an assignment with an error, or reported a cancellation")
		}
		return
	}
	a.FirstToken()
	select {
	case <-a.Preempted():
	case <-time.After(time.Duration(i%3) * time.Millisecond):
	}
	a.Token(3)
	a.Finish(completedResult(4))
}
