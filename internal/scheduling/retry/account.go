package retry

import (
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// savedShare is the share of the allowance of a window that may be saved up for a burst, such as a crash that
	// breaks many requests at once. The rest accrues while it is used.
	savedShare = 0.5
	// minSaved is the lowest limit of the balance of a host whose slack covers it: a host with few requests could
	// never retry below it.
	minSaved = 1.0
	// reservedShare is the share of a full balance that is kept for requests that may have run, whose callers
	// cannot be told that they did not.
	reservedShare = 0.5
)

// Account is the retry budget of one host of several. The hosts do not tell each other what they spend; the
// retries of all hosts in any period of Window stay below the share of the first attempts plus the slacks,
// however traffic moves between hosts and however often they restart.
//
// An account accrues a part of the allowance with each first attempt and with time, and its balance is at most the
// rest of what the last Window allowed. In a period of Window, a host thus spends at most what it had saved from
// the period before plus what accrues in this one. It starts empty, as its predecessor may have spent the
// balance, and without the slack, as it does not know yet how many hosts share that. It is not safe for
// concurrent use.
type Account struct {
	clock         clockwork.Clock
	started       time.Time // when the host started
	share         float64   // allowed retries per first attempt
	slack         float64   // allowed retries per Window besides
	firstAttempts *window
	balance       float64 // as of updated
	updated       time.Time
}

// NewAccount returns an account of a host that started at the given time.
func NewAccount(clock clockwork.Clock, started time.Time, share, slack float64) *Account {
	now := clock.Now()
	a := &Account{clock: clock, started: started, share: share, slack: slack, firstAttempts: newWindow(now), updated: now}
	if a.slackAccrues(a.updated) {
		a.balance = a.limit(a.updated) // nothing was spent in the last Window
	}
	return a
}

// SetBounds changes the share and the slack.
func (a *Account) SetBounds(share, slack float64) {
	a.update(a.clock.Now())
	a.share, a.slack = share, slack
}

// First records a first attempt.
func (a *Account) First() {
	now := a.clock.Now()
	a.update(now)
	a.firstAttempts.add(now)
	a.balance += (1 - savedShare) * a.share
}

// Allow takes a retry of a request that may have run, or that was sent to a replica that has failed, out of the
// balance and reports whether one was left.
func (a *Account) Allow() bool { return a.take(0) }

// AllowRejected is Allow for a request that a replica rejected without running it. A part of the balance is kept
// for others: the caller of a rejected request can be told to come back.
func (a *Account) AllowRejected() bool {
	return a.take(reservedShare * max(a.limit(a.clock.Now())-1, 0))
}

// AllowOffer is Allow for a request whose run goes on, but may be given up for another one. That one may be refused late, so that
// one more retry is kept at least, if the balance can hold it.
func (a *Account) AllowOffer() bool {
	spare := max(a.limit(a.clock.Now())-1, 0)
	return a.take(max(reservedShare*spare, min(spare, 1)))
}

func (a *Account) take(reserve float64) bool {
	a.update(a.clock.Now())
	if a.balance < 1+reserve {
		return false
	}
	a.balance--
	return true
}

// slackAccrues reports whether the host has known the number of hosts for long enough to use the slack.
func (a *Account) slackAccrues(now time.Time) bool { return now.Sub(a.started) >= Window }

// limit returns the highest balance that the last Window allows.
func (a *Account) limit(now time.Time) float64 {
	allowance := a.share * float64(a.firstAttempts.sum(now))
	if !a.slackAccrues(now) {
		return savedShare * allowance
	}
	limit := savedShare * (allowance + a.slack)
	if a.slack >= minSaved {
		// While the allowance is below two retries, what accrues in a Window does not make a second one.
		limit = max(limit, minSaved)
	}
	return limit
}

// update adds what has accrued with time and applies the limit.
func (a *Account) update(now time.Time) {
	from := a.updated
	if begin := a.started.Add(Window); from.Before(begin) {
		from = begin
	}
	if accruing := now.Sub(from); accruing > 0 {
		a.balance += (1 - savedShare) * a.slack * float64(accruing) / float64(Window)
	}
	a.balance = min(a.balance, a.limit(now))
	a.updated = now
}
