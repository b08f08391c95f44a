// Package retry limits retries to a share of the first attempts in a sliding window.
package retry

import (
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// minRetriesPerWindow is the number of retries that a window allows with little
	// traffic. It is enough to continue all the streams that this host ran on two
	// crashed replicas, as many replicas as a poison request crashes in a zone. With
	// fewer retries, accepted answers end incomplete.
	minRetriesPerWindow = 20
)

// Budget is a retry budget: it allows retries up to a share of the first attempts in
// a sliding window. Its owner keeps one budget for each class or upstream. It is not
// safe for concurrent use.
type Budget struct {
	clock         clockwork.Clock
	share         float64 // allowed retries per first attempt
	firstAttempts *window
	retries       []time.Time // of the last Window
}

// New returns a budget that allows the given number of retries per first attempt, and
// no retries at all when share is zero.
func New(clock clockwork.Clock, share float64) *Budget {
	return &Budget{clock: clock, share: share, firstAttempts: newWindow(clock.Now())}
}

// SetShare changes the number of retries per first attempt. Counted attempts are
// kept.
func (b *Budget) SetShare(share float64) { b.share = share }

// First records a first attempt.
func (b *Budget) First() { b.firstAttempts.add(b.clock.Now()) }

// Allow records a retry and returns true if the budget allows it. Otherwise it
// returns false and the time until the oldest retry leaves the window, or zero when
// the share is zero.
func (b *Budget) Allow() (time.Duration, bool) {
	if b.share <= 0 {
		return 0, false
	}
	now := b.clock.Now()
	for len(b.retries) > 0 && now.Sub(b.retries[0]) >= Window {
		b.retries = b.retries[1:]
	}
	if allowed := max(int(b.share*float64(b.firstAttempts.sum(now))), minRetriesPerWindow); len(b.retries) >= allowed {
		return Window - now.Sub(b.retries[0]), false
	}
	b.retries = append(b.retries, now)
	return 0, true
}
