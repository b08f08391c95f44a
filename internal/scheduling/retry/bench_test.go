package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// policy decides on retries.
type policy interface {
	First()
	Allow() (time.Duration, bool)
}

// deposits is the alternative to the window: each first attempt pays a part of a
// retry into a bounded account.
type deposits struct{ share, balance, limit float64 }

func (d *deposits) First() { d.balance = min(d.balance+d.share, d.limit) }

func (d *deposits) Allow() (time.Duration, bool) {
	if d.balance < 1 {
		return 0, false
	}
	d.balance--
	return 0, true
}

// unlimited retries everything, up to two retries per request.
type unlimited struct{}

func (unlimited) First()                       {}
func (unlimited) Allow() (time.Duration, bool) { return 0, true }

const (
	firstsPerSecond = 100
	budgetShare     = 0.1
	maxRetries      = 2
)

func policies() map[string]func(clockwork.Clock) policy {
	return map[string]func(clockwork.Clock) policy{
		"none":     func(clockwork.Clock) policy { return unlimited{} },
		"window":   func(c clockwork.Clock) policy { return New(c, budgetShare) },
		"deposits": func(clockwork.Clock) policy { return &deposits{share: budgetShare, balance: 10, limit: 100} },
	}
}

// BenchmarkOutage fails all attempts for 30 s of a minute and reports the attempts
// per request in the outage, and the share of retries that a crash of 40 requests
// gets after a quiet minute at 2 requests/s.
func BenchmarkOutage(b *testing.B) {
	for _, name := range []string{"none", "window", "deposits"} {
		b.Run(fmt.Sprint("budget=", name), func(b *testing.B) {
			for range b.N {
				clock := clockwork.NewFakeClock()
				p := policies()[name](clock)
				attempts, requests, worst := 0, 0, 0
				for second := range 60 {
					inSecond := 0
					for range firstsPerSecond {
						p.First()
						clock.Advance(time.Second / firstsPerSecond)
						if second < 15 || second >= 45 {
							continue
						}
						requests++
						inSecond += 1 + retriesOf(p)
					}
					attempts += inSecond
					worst = max(worst, inSecond)
				}
				b.ReportMetric(float64(attempts)/float64(requests), "attempts/request")
				b.ReportMetric(float64(worst)/firstsPerSecond, "worst-second")
				b.ReportMetric(afterQuiet(name), "crash-retried")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

func retriesOf(p policy) int {
	for n := range maxRetries {
		if _, ok := p.Allow(); !ok {
			return n
		}
	}
	return maxRetries
}

func afterQuiet(name string) float64 {
	clock := clockwork.NewFakeClock()
	p := policies()[name](clock)
	for range 120 {
		p.First()
		clock.Advance(time.Second / 2)
	}
	retried := 0.0
	for range 40 {
		if _, ok := p.Allow(); ok {
			retried++
		}
	}
	return retried / 40
}
