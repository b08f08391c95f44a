package soak

import (
	"math/rand/v2"
	"slices"
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

// arrivedAt is arrived of one replica.
func (l *ledger) arrivedAt(replica string, from, until time.Time) []time.Time {
	return l.arrived(from, until, func(a *arrival) bool { return a.replica == replica })
}

// busySeconds returns the seconds since the given time in which each replica got at least as many requests as given.
func (l *ledger) busySeconds(replicas []string, least int, from, until time.Time) (busy []int) {
	counts := make([][]int, max(0, int(until.Sub(from)/time.Second)))
	for i, id := range replicas {
		for _, at := range l.arrivedAt(id, from, until) {
			if s := int(at.Sub(from) / time.Second); s < len(counts) {
				if counts[s] == nil {
					counts[s] = make([]int, len(replicas))
				}
				counts[s][i]++
			}
		}
	}
	for s, ofReplicas := range counts {
		if ofReplicas != nil && slices.Min(ofReplicas) >= least {
			busy = append(busy, s)
		}
	}
	return busy
}

// Guards against hosts that send a replica more requests, all hosts together, than the limit
// that it states in its answers, and against replicas that get none although their limit allows
// some. The latter is judged by seconds in which callers send enough requests, as a busy machine
// may leave callers and hosts too little time for that.
func TestStatedRequestLimitHoldsOverAllHosts(t *testing.T) {
	concurrently(t)
	const observed, highest = 10, 20 // seconds; requests a second
	const demand = highest * 3 / 2   // at each replica without a limit
	d := newDeployment(t, 2, 2, false)
	awaitReady(t, d.hosts)
	c := newCallers(d)
	limits := []*statedLimit{{replica: d.replicas[0], perSecond: 1.4}, {replica: d.replicas[2], perSecond: highest}}
	unlimited := []string{d.replicas[1].id, d.replicas[3].id}
	var from time.Time
	for _, l := range limits {
		l.since = l.replica.stateLimit(l.perSecond)
		from = l.since.Add(limitSettleTime)
	}
	var busy []int
	enough := func() bool {
		busy = d.ledger.busySeconds(unlimited, demand, from, time.Now())
		return len(busy) >= observed
	}
	for began := time.Now(); !enough(); time.Sleep(100 * time.Millisecond) {
		require.Less(t, time.Since(began), 2*time.Minute, "callers send enough requests in %d seconds", len(busy))
	}
	until := time.Now()
	c.end()
	for _, l := range limits {
		assert.Empty(t, d.ledger.judgeLimit(l))
		perBusySecond := make([]int, observed)
		for _, at := range d.ledger.arrivedAt(l.replica.id, from, until) {
			if i := slices.Index(busy[:observed], int(at.Sub(from)/time.Second)); i >= 0 {
				perBusySecond[i]++
			}
		}
		served := 0
		for _, n := range perBusySecond {
			served += n
		}
		assert.GreaterOrEqual(t, float64(served), l.perSecond*observed/2, "%s states %v a second and has capacity left: %v in seconds %v",
			l.replica.id, l.perSecond, perBusySecond, busy)
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
