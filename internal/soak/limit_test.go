package soak

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// limitWindow, limitFactor and limitSlack are the operators' bound: in any window, a replica
	// that states a limit gets at most limitFactor times what the limit allows and limitSlack more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitSettleTime is how long after the first statement the bound begins to hold.
	limitSettleTime = 3 * time.Second
)

// stateLimit makes a replica state a limit in requests per second, and returns since when.
func (r *replica) stateLimit(perSecond float64) time.Time {
	text := strconv.FormatFloat(perSecond, 'g', -1, 64)
	r.limit.Store(&text)
	return time.Now()
}

// arrivalsAt returns when requests arrived at a replica in the given time.
func (l *ledger) arrivalsAt(replica string, from, until time.Time) []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var at []time.Time
	for _, a := range l.arrivals {
		if a.replica == replica && a.at.After(from) && a.at.Before(until) {
			at = append(at, a.at)
		}
	}
	return at
}

// mostInWindow returns the largest number of arrivals in any window.
func mostInWindow(at []time.Time, window time.Duration) int {
	most, first := 0, 0
	for last := range at {
		for at[last].Sub(at[first]) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against hosts that send a replica more requests, all hosts together, than the limit
// that it states in its answers, and against replicas that get none although their limit allows
// some.
func TestStatedRequestLimitHoldsOverAllHosts(t *testing.T) {
	const observed = 10 * time.Second
	d := newDeployment(t, 2, 2)
	for _, h := range d.hosts {
		require.Eventually(t, h.ready, settleTime, 20*time.Millisecond, "%s starts", h.name)
	}
	c := newCallers(d)
	limits := map[*replica]float64{d.replicas[0]: 1.4, d.replicas[2]: 20}
	var stated time.Time
	for r, perSecond := range limits {
		stated = r.stateLimit(perSecond)
	}
	time.Sleep(limitSettleTime + observed)
	until := time.Now()
	c.end()
	for r, perSecond := range limits {
		at := d.ledger.arrivalsAt(r.id, stated.Add(limitSettleTime), until)
		allowed := limitFactor*perSecond*limitWindow.Seconds() + limitSlack
		assert.LessOrEqual(t, float64(mostInWindow(at, limitWindow)), allowed, "%s states %v a second", r.id, perSecond)
		assert.GreaterOrEqual(t, float64(len(at)), perSecond*observed.Seconds()/2, "%s states %v a second and has capacity left", r.id, perSecond)
	}
}
