package main

import (
	"container/heap"
	"time"

	"github.com/jonboulle/clockwork"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// loop runs events in order of virtual time, and in order of scheduling where
// times are equal.
type loop struct {
	clock  *clockwork.FakeClock
	events eventHeap
	next   uint64
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

func newLoop() *loop { return &loop{clock: clockwork.NewFakeClockAt(epoch)} }

func (l *loop) now() time.Time { return l.clock.Now() }

func (l *loop) after(d time.Duration, run func()) { l.at(l.now().Add(d), run) }

func (l *loop) at(t time.Time, run func()) {
	l.next++
	heap.Push(&l.events, event{at: t, order: l.next, run: run})
}

// every runs f periodically as long as it returns true.
func (l *loop) every(d time.Duration, f func() bool) {
	l.after(d, func() {
		if f() {
			l.every(d, f)
		}
	})
}

// run executes events until none is left or the end is reached.
func (l *loop) run(end time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(event)
		if d := e.at.Sub(l.now()); d > 0 {
			l.clock.Advance(d)
		}
		e.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
