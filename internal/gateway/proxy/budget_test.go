package proxy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/connends"
	"heatherbarrow/internal/gateway/upstream"
	"heatherbarrow/internal/scheduling/retry"
)

// fleetLog records when requests to an upstream began and were retried on all hosts together.
type fleetLog struct{ requests, retries []time.Duration }

// countIn returns how many of the sorted times are in [from, to].
func countIn(times []time.Duration, from, to time.Duration) int {
	first, _ := slices.BinarySearch(times, from)
	end, _ := slices.BinarySearch(times, to+1)
	return end - first
}

// worstExcess returns the largest number of retries beyond the operators' bound in any window of retry.Window:
// share of the requests, plus slack. The requests are those of the window, of the one before it or of the one
// half a window before it, whichever has most.
func (l *fleetLog) worstExcess(share, slack float64) (excess float64, at time.Duration) {
	slices.Sort(l.requests)
	slices.Sort(l.retries)
	excess = math.Inf(-1)
	check := func(from time.Duration) {
		requests := 0
		for _, before := range []time.Duration{0, retry.Window / 2, retry.Window} {
			requests = max(requests, countIn(l.requests, from-before, from-before+retry.Window))
		}
		retries := countIn(l.retries, from, from+retry.Window)
		if over := float64(retries) - share*float64(requests) - slack; over > excess {
			excess, at = over, from
		}
	}
	// The number of retries in a window is greatest where it begins or ends with one.
	for _, t := range l.retries {
		check(t)
		check(t - retry.Window)
	}
	return excess, at
}

// budgetDay is a random day of a fleet: hosts that restart alone and together, traffic that moves between hosts,
// and failures in which hosts retry as often as they may.
type budgetDay struct {
	share, slack float64
	hosts        int
	restarts     bool
}

// simulate plays the day and returns what upstreams saw.
func (d budgetDay) simulate(seed uint64) *fleetLog {
	const step, length = 20 * time.Millisecond, 60 * time.Second
	random := rand.New(rand.NewPCG(seed, 0))
	clock := clockwork.NewFakeClockAt(time.Unix(1_800_000_000, random.Int64N(int64(time.Second))))
	type host struct {
		budget  *Budget
		hears   time.Duration // when it knows of the other hosts
		perStep float64
	}
	hosts := make([]host, d.hosts)
	start := func(i int, now time.Duration) {
		hosts[i].budget = NewBudget(clock, clock.Now(), d.share, d.slack, 4)
		hosts[i].hears = now + time.Duration(random.Int64N(int64(2*time.Second)))
	}
	for i := range hosts {
		start(i, 0)
	}
	log := &fleetLog{}
	failing := 0.0 // share of the attempts that fail
	perHost := math.Exp(random.Float64()*5 - 1)
	for now := time.Duration(0); now < length; now += step {
		if now%(500*time.Millisecond) == 0 {
			if random.IntN(6) == 0 {
				failing = []float64{0, 0, 0.1, 0.4, 1}[random.IntN(5)]
			}
			if random.IntN(8) == 0 || now == 0 { // traffic changes and moves between hosts
				level := random.Float64() * 2
				for i := range hosts {
					hosts[i].perStep = perHost * level * random.Float64() * 2 * step.Seconds()
				}
			}
			if restarted := random.Float64(); d.restarts && random.IntN(8) == 0 {
				for i := range hosts {
					if random.Float64() < restarted {
						start(i, now)
					}
				}
			}
		}
		broken := 0 // requests that a host has to continue at once
		if random.IntN(200) == 0 {
			broken = 1 + random.IntN(60)
		}
		for i := range hosts {
			h := &hosts[i]
			if now >= h.hears {
				h.budget.SetHosts(d.hosts)
			}
			retryOnce := func() bool {
				ok := h.budget.Allow("pool")
				if ok {
					log.retries = append(log.retries, now)
				}
				return ok
			}
			for range broken {
				retryOnce()
			}
			for n := h.perStep + random.Float64(); n >= 1; n-- {
				h.budget.First("pool")
				log.requests = append(log.requests, now)
				for random.Float64() < failing && retryOnce() {
				}
			}
		}
		clock.Advance(step)
	}
	return log
}

// Guards against more retries from all hosts together than the operators allow in some sliding window, whatever
// the hosts have forgotten in restarts, however traffic moves, and whichever seconds the retries fall into.
func TestRetriesOfFleetStayWithinBudgetInEachSlidingWindow(t *testing.T) {
	broken, worst := 0, math.Inf(-1)
	for seed := range uint64(240) {
		random := rand.New(rand.NewPCG(seed, 1))
		d := budgetDay{
			share: 0.2, slack: 10 + 90*random.Float64(), hosts: []int{1, 2, 4, 6, 12, 24}[random.IntN(6)], restarts: seed%2 == 0,
		}
		d.slack *= max(1, float64(d.hosts)/6) // operators give larger fleets more
		log := d.simulate(seed)
		excess, at := log.worstExcess(d.share, d.slack)
		worst = max(worst, excess)
		if excess > 0 {
			broken++
			t.Logf("seed %d: %.1f retries too many from %v on, %+v", seed, excess, at, d)
		}
	}
	assert.Zero(t, broken, "of 240 days, the worst by %.1f retries", worst)
}

// Guards against retries that are forgotten while they are still in the window: those of a burst in the middle of
// a second and of one nine seconds later were counted apart.
func TestRetriesNineSecondsApartShareTheBudget(t *testing.T) {
	for _, offset := range []time.Duration{0, 300 * time.Millisecond, 950 * time.Millisecond} {
		clock := clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0).Add(offset))
		b := NewBudget(clock, clock.Now(), 0.2, 40, 1)
		allowed := 0
		for i := range 300 {
			b.First("pool")
			if (i == 100 || i == 191) && i > 0 {
				for b.Allow("pool") {
					allowed++
				}
			}
			clock.Advance(100 * time.Millisecond)
		}
		assert.LessOrEqual(t, float64(allowed), 0.2*100+40, "within 9.1 s, from %v of a second", offset)
		assert.Positive(t, allowed)
	}
}

// Guards against a host that is killed again and again and spends its part of the slack after each start.
func TestHostThatRestartsDoesNotSpendItsPartAgain(t *testing.T) {
	clock := clockwork.NewFakeClock()
	const slack, restarts = 40.0, 5
	retries, requests := 0, 0
	for range restarts {
		b := NewBudget(clock, clock.Now(), 0.2, slack, 4)
		for range 20 {
			b.First("pool")
			requests++
			clock.Advance(90 * time.Millisecond)
			for b.Allow("pool") {
				retries++
			}
		}
	}
	require.Less(t, restarts*20*90*time.Millisecond, retry.Window)
	assert.LessOrEqual(t, float64(retries), 0.2*float64(requests)+slack/4, fmt.Sprint(requests, " requests"))
	assert.Positive(t, retries)
}

// Guards against parts of answers that are passed off as whole ones for want of a retry, which sound answers have used that ended beside
// nothing.
func TestAnswerThatEndedBesideOthersIsVerifiedFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	budget := NewBudget(clock, clock.Now(), 0, 5, 1) // two retries at most
	clock.Advance(time.Hour)
	budget.First("pool")
	verify := func(others upstream.EndOfUnframed) bool {
		e := &exchange{server: &Server{opts: Options{Budget: budget}}}
		e.record.upstream = "pool"
		return e.payVerification(&progress{doubted: &doubtedEnd{others: others}})
	}
	assert.True(t, verify(upstream.EndOfUnframed{}))
	assert.False(t, verify(upstream.EndOfUnframed{}))
	assert.True(t, verify(upstream.EndOfUnframed{EndOfAnswer: connends.EndOfAnswer{AtOnce: 1}}))
}
