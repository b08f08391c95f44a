package retry

import "time"

const (
	// Window is the period in which first attempts and retries are counted.
	Window = 10 * time.Second

	sliceCount    = 100
	sliceDuration = Window / sliceCount
)

// window counts the events of the last Window in slices of time, of which the last is the current one. Events leave
// it up to sliceDuration early.
type window struct {
	origin  time.Time // of the slices; steps of the time of day do not move them
	counts  [sliceCount]int
	total   int
	current int64 // number of the current slice
}

func newWindow(origin time.Time) *window { return &window{origin: origin} }

// add counts an event.
func (w *window) add(now time.Time) {
	w.advance(now)
	w.counts[w.current%sliceCount]++
	w.total++
}

// sum returns the number of events in the window.
func (w *window) sum(now time.Time) int {
	w.advance(now)
	return w.total
}

// advance makes the slice at the given time the current one, and clears the slices that have left the window.
func (w *window) advance(now time.Time) {
	current := int64(now.Sub(w.origin) / sliceDuration)
	for range min(current-w.current, sliceCount) {
		w.current++
		w.total -= w.counts[w.current%sliceCount]
		w.counts[w.current%sliceCount] = 0
	}
	w.current = max(current, w.current)
}
