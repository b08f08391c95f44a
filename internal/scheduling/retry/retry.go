// Package retry limits retries to a share of the first attempts in a sliding window.
package retry

import (
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// Window is the period in which first attempts and retries are counted.
	Window = 10 * time.Second

	sliceCount    = 10
	sliceDuration = Window / sliceCount
	// defaultMinRetriesPerWindow is the number of retries that a window allows with little
	// traffic. It is enough to continue all the streams that this host ran on two
	// crashed replicas, as many replicas as a poison request crashes in a zone. With
	// fewer retries, accepted answers end incomplete.
	defaultMinRetriesPerWindow = 20
)

// Budget is a retry budget: it allows retries up to a share of the first attempts in
// a sliding window. Its owner keeps one budget for each class or upstream. It is not
// safe for concurrent use.
type Budget struct {
	clock         clockwork.Clock
	share         float64 // allowed retries per first attempt
	minRetries    int     // retries per window allowed regardless of the share
	firstAttempts [sliceCount]int
	retries       [sliceCount]int
	total         struct{ firstAttempts, retries int }
	currentSlice  int64 // number of the current slice since the Unix epoch
}

// New returns a budget that allows the given number of retries per first attempt, and
// no retries at all when share is zero.
func New(clock clockwork.Clock, share float64) *Budget {
	return &Budget{clock: clock, share: share, minRetries: defaultMinRetriesPerWindow, currentSlice: sliceNumber(clock.Now())}
}

// SetShare changes the number of retries per first attempt. Counted attempts are
// kept.
func (b *Budget) SetShare(share float64) { b.share = share }

// SetMinRetries changes the number of retries per window that are allowed regardless of
// the number of first attempts.
func (b *Budget) SetMinRetries(retries int) { b.minRetries = retries }

// First records a first attempt.
func (b *Budget) First() {
	b.advance()
	b.firstAttempts[b.currentSlice%sliceCount]++
	b.total.firstAttempts++
}

// Allow records a retry and returns true if the budget allows it. Otherwise it
// returns false and the time until the oldest retry leaves the window, or zero when
// the share is zero, or Window when no retry was counted.
func (b *Budget) Allow() (time.Duration, bool) {
	if b.share <= 0 {
		return 0, false
	}
	if b.Spent() {
		return b.untilRetryExpires(), false
	}
	b.retries[b.currentSlice%sliceCount]++
	b.total.retries++
	return 0, true
}

// Spent reports whether the budget allows no further retry.
func (b *Budget) Spent() bool {
	b.advance()
	allowed := max(int(b.share*float64(b.total.firstAttempts)), b.minRetries)
	return b.share <= 0 || b.total.retries >= allowed
}

// untilRetryExpires returns the time until the oldest counted retry leaves the
// window.
func (b *Budget) untilRetryExpires() time.Duration {
	for age := int64(sliceCount - 1); age >= 0; age-- {
		slice := b.currentSlice - age
		if slice >= 0 && b.retries[slice%sliceCount] > 0 {
			end := time.Unix(0, (slice+sliceCount)*int64(sliceDuration))
			return max(end.Sub(b.clock.Now()), time.Millisecond)
		}
	}
	return Window
}

// advance makes the slice at the current time the current one, and clears the counts
// of the slices that have left the window.
func (b *Budget) advance() {
	now := sliceNumber(b.clock.Now())
	for range min(now-b.currentSlice, sliceCount) {
		b.currentSlice++
		b.clearSlice(b.currentSlice % sliceCount)
	}
	b.currentSlice = max(now, b.currentSlice)
}

// clearSlice removes the counts of the slice at index i.
func (b *Budget) clearSlice(i int64) {
	b.total.firstAttempts -= b.firstAttempts[i]
	b.total.retries -= b.retries[i]
	b.firstAttempts[i] = 0
	b.retries[i] = 0
}

// sliceNumber returns the number of the slice that contains t, since the Unix epoch.
func sliceNumber(t time.Time) int64 { return t.UnixNano() / int64(sliceDuration) }
