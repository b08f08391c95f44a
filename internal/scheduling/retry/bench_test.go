package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// policy decides whether a retry is allowed.
type policy interface {
	First()
	Allow() (time.Duration, bool)
}

// depositBudget is an alternative to the sliding window: each first attempt adds a
// fraction of a retry to a bounded balance.
type depositBudget struct{ share, balance, limit float64 }

func (d *depositBudget) First() { d.balance = min(d.balance+d.share, d.limit) }

func (d *depositBudget) Allow() (time.Duration, bool) {
	if d.balance < 1 {
		return 0, false
	}
	d.balance--
	return 0, true
}

// unlimited allows every retry. countRetries makes at most maxRetriesPerRequest.
type unlimited struct{}

func (unlimited) First()                       {}
func (unlimited) Allow() (time.Duration, bool) { return 0, true }

const (
	firstAttemptsPerSecond = 100
	budgetShare            = 0.1
	maxRetriesPerRequest   = 2
)

func policies() map[string]func(clockwork.Clock) policy {
	return map[string]func(clockwork.Clock) policy{
		"none":     func(clockwork.Clock) policy { return unlimited{} },
		"window":   func(c clockwork.Clock) policy { return New(c, budgetShare) },
		"deposits": func(clockwork.Clock) policy { return &depositBudget{share: budgetShare, balance: 10, limit: 100} },
	}
}

// BenchmarkOutage simulates one minute in which all attempts fail for 30 s. It reports
// the attempts per request during the outage, the maximum number of attempts in a
// second relative to the requests, and the share of 40 requests on a crashed replica
// that may be retried after a minute at 2 requests/s.
func BenchmarkOutage(b *testing.B) {
	for _, name := range []string{"none", "window", "deposits"} {
		b.Run(fmt.Sprint("budget=", name), func(b *testing.B) {
			for range b.N {
				clock := clockwork.NewFakeClock()
				p := policies()[name](clock)
				attempts, requests, maxAttemptsInSecond := 0, 0, 0
				for second := range 60 {
					attemptsInSecond := 0
					for range firstAttemptsPerSecond {
						p.First()
						clock.Advance(time.Second / firstAttemptsPerSecond)
						if second < 15 || second >= 45 {
							continue
						}
						requests++
						attemptsInSecond += 1 + countRetries(p)
					}
					attempts += attemptsInSecond
					maxAttemptsInSecond = max(maxAttemptsInSecond, attemptsInSecond)
				}
				b.ReportMetric(float64(attempts)/float64(requests), "attempts/request")
				b.ReportMetric(float64(maxAttemptsInSecond)/firstAttemptsPerSecond, "worst-second")
				b.ReportMetric(retriedShareAfterLowTraffic(name), "crash-retried")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// countRetries returns the number of retries of a request whose attempts all fail.
func countRetries(p policy) int {
	for n := range maxRetriesPerRequest {
		if _, ok := p.Allow(); !ok {
			return n
		}
	}
	return maxRetriesPerRequest
}

// retriedShareAfterLowTraffic returns the share of 40 requests that may be retried after a
// minute at 2 requests/s.
func retriedShareAfterLowTraffic(name string) float64 {
	clock := clockwork.NewFakeClock()
	p := policies()[name](clock)
	for range 120 {
		p.First()
		clock.Advance(time.Second / 2)
	}
	retries := 0.0
	for range 40 {
		if _, ok := p.Allow(); ok {
			retries++
		}
	}
	return retries / 40
}
