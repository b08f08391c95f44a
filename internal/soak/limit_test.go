package soak

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
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
	concurrently(t)
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

// statedLimit is a limit that a replica states for the whole of a seed.
type statedLimit struct {
	replica   *replica
	perSecond float64
	since     time.Time
}

// limitReplica makes a random replica state a limit, in half of the seeds with more than two
// replicas: of two, faults of the other one would leave callers little but refusals.
func (d *deployment) limitReplica(random *rand.Rand) *statedLimit {
	limits := []float64{0.4, 1, 1.4, 3, 20}
	l := &statedLimit{replica: d.replicas[random.IntN(len(d.replicas))], perSecond: limits[random.IntN(len(limits))]}
	if random.IntN(2) == 0 || len(d.replicas) == 2 {
		return nil
	}
	d.t.Logf("%s states %v requests a second", l.replica.id, l.perSecond)
	l.since = l.replica.stateLimit(l.perSecond)
	return l
}

// checkLimit checks that a replica got no more requests than its limit allows from hosts that were
// not in trouble.
func (d *deployment) checkLimit(l *statedLimit) {
	if l == nil {
		return
	}
	d.ledger.mu.Lock()
	arrivals := slices.Clone(d.ledger.arrivals)
	d.ledger.mu.Unlock()
	var counted []time.Time
	for _, a := range arrivals {
		sender := strings.Split(a.id, "-")[1]
		if a.replica == l.replica.id && a.at.After(l.since.Add(limitSettleTime)) && d.calm(sender, a.at) && d.calm(a.replica, a.at) {
			counted = append(counted, a.at)
		}
	}
	allowed := limitFactor*l.perSecond*limitWindow.Seconds() + limitSlack
	assert.LessOrEqual(d.t, float64(mostInWindow(counted, limitWindow)), allowed, "%s states %v a second", l.replica.id, l.perSecond)
}
