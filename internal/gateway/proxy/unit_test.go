package proxy

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/upstream"
	"heatherbarrow/internal/scheduling/retry"
)

// Guards against more retries from all hosts together than the budget allows. Each host
// keeps to its own part without communicating with the others.
func TestRetryBudgetHoldsAcrossHosts(t *testing.T) {
	const hosts, share, slack, requests = 4, 0.2, 54.0, 100
	clock := clockwork.NewFakeClock()
	retries := 0
	for range hosts {
		b := NewBudget(clock, clock.Now(), share, slack, hosts)
		for range requests {
			b.First("pool")
		}
		for b.Allow("pool") {
			retries++
		}
	}
	assert.LessOrEqual(t, float64(retries), share*hosts*requests+slack)
	assert.Positive(t, retries)
}

// Guards against hosts that start while they are cut off from all others and take the silence for a small deployment: each would use the
// slack of one of a few hosts.
func TestHostsThatHeardOfNoOtherLeaveTheSlack(t *testing.T) {
	const hosts, slack = 12, 54.0
	clock := clockwork.NewFakeClock()
	budgets := make([]*Budget, hosts)
	for i := range budgets {
		budgets[i] = NewBudget(clock, clock.Now(), 0, slack, 4)
		budgets[i].AwaitHosts()
	}
	takeAll := func() (retries int) {
		for _, b := range budgets {
			for b.Allow("pool") {
				retries++
			}
		}
		return retries
	}
	clock.Advance(2 * retry.Window)
	assert.Zero(t, takeAll(), "others may use the whole slack")
	for _, b := range budgets {
		b.SetHosts(hosts)
	}
	clock.Advance(retry.Window)
	retries := takeAll()
	assert.Positive(t, retries)
	assert.LessOrEqual(t, float64(retries), slack)
}

// Guards against a host that takes a larger part of the slack when it loses contact with
// other hosts.
func TestSlackPerHostNeverGrows(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := NewBudget(clock, time.Time{}, 0.2, 54, 4)
	b.SetHosts(9)
	slackPerHost := b.hostSlack()
	b.SetHosts(2)
	assert.Equal(t, slackPerHost, b.hostSlack())
	retries := 0
	const steps = 100
	for range steps {
		for b.Allow("pool") {
			retries++
		}
		clock.Advance(retry.Window / steps)
	}
	assert.LessOrEqual(t, float64(retries), slackPerHost)
	assert.Greater(t, float64(retries), slackPerHost-1, "all of it can be used in a window")
}

// Guards against a caller that sends a request again and is taken for a new one: the wait of
// its earlier attempts counts toward the latency objective.
func TestWaitEstimatorRecognizesReturningCallers(t *testing.T) {
	var estimator waitEstimator
	assert.Zero(t, estimator.waitedBefore("quote", 15*time.Second))
	assert.Equal(t, 5*time.Second, estimator.waitedBefore("quote", 10*time.Second))
	assert.Zero(t, estimator.waitedBefore("other", 10*time.Second))
	assert.Zero(t, estimator.waitedBefore("quote", 0))
}

// deadlineConn records the deadlines that are set.
type deadlineConn struct {
	net.Conn
	deadline      time.Time // for reading
	writeDeadline time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

func (c *deadlineConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline = t
	return nil
}

// Guards against a connection whose next answer is bound by the time of the request before.
func TestNextRequestIsNotBoundByTheTimeOfTheOneBefore(t *testing.T) {
	raw := &deadlineConn{}
	c := &timeoutConn{Conn: raw, idle: func() time.Duration { return time.Minute }, header: func() time.Duration { return time.Minute }}
	require.NoError(t, c.SetWriteDeadline(time.Now()))
	require.NoError(t, c.SetReadDeadline(time.Time{}))
	require.False(t, raw.writeDeadline.IsZero())
	require.NoError(t, c.SetReadDeadline(time.Now().Add(idleSentinel)))
	assert.True(t, raw.writeDeadline.IsZero())
}

// Guards against idle connections that are closed earlier than the configuration in force
// says, and against changes to other deadlines, such as those of request bodies.
func TestTimeoutsFollowConfiguration(t *testing.T) {
	raw := &deadlineConn{}
	idle := 15 * time.Second
	header := 3 * time.Second
	c := &timeoutConn{
		Conn: raw, idle: func() time.Duration { return idle }, header: func() time.Duration { return header },
	}
	require.NoError(t, c.SetReadDeadline(time.Now().Add(headerSentinel)))
	assert.WithinDuration(t, time.Now().Add(header), raw.deadline, time.Second)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(idleSentinel)))
	assert.WithinDuration(t, time.Now().Add(idle), raw.deadline, 10*time.Second)
	idle = time.Hour
	require.NoError(t, c.SetReadDeadline(time.Now().Add(idleSentinel)))
	assert.WithinDuration(t, time.Now().Add(idle), raw.deadline, 10*time.Second)
	exact := time.Now().Add(time.Hour)
	require.NoError(t, c.SetReadDeadline(exact))
	assert.Equal(t, exact, raw.deadline)
	require.NoError(t, c.SetReadDeadline(time.Time{}))
	assert.True(t, raw.deadline.IsZero())
}

// Guards against hosts whose idle connections to a replica together exceed those that it accepts.
func TestIdleConnectionsAreSharedByHosts(t *testing.T) {
	for _, maxConns := range []int{20, 100, 490, 1280} {
		for _, hosts := range []int{1, 4, 31, 78, 300} {
			maxIdle := maxIdlePerHost(maxConns, hosts)
			assert.LessOrEqual(t, max(maxIdle, 0)*hosts, maxConns/2, "%d connections, %d hosts", maxConns, hosts)
			assert.NotZero(t, maxIdle, "0 stands for the client's default")
		}
	}
	assert.Zero(t, maxIdlePerHost(0, 4), "the configuration sets no bound")
}

// Guards against connections beside unframed answers that are opened and closed again and again, as no more may be idle.
func TestNoMoreProbesThanMayBeIdle(t *testing.T) {
	for maxIdle, count := range map[int]int{0: probesPerReplica, -1: 0, 1: 0, 2: 1, 3: 2, 16: probesPerReplica} {
		assert.Equal(t, count, probeCount(maxIdle), "maxIdle %d", maxIdle)
	}
}

// Guards against part of an answer that is passed off as whole beside others that were cut, because the verification of one more
// answer of that moment takes long.
func TestCutsBesideAnAnswerCountThoughAnotherVerificationIsSlow(t *testing.T) {
	const rounds = 20 // the ends come in no order
	for range rounds {
		s, now := &Server{}, time.Now()
		_ = s.unframedEnds.begin("slow", now)
		for range minCutBeside {
			s.unframedEnds.settle(s.unframedEnds.begin("other", now), verifiedPart)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		assert.True(t, (&exchange{server: s}).cutBeside(ctx, &upstream.EndOfUnframed{}, "replica", now))
		cancel()
	}
}

// Guards against a delegation that hosts of the build of b6fae82 have written and that is read as something else since, or
// that they cannot read, and against one of a later build that is not read because it tells more.
func TestDelegationOfOtherBuilds(t *testing.T) {
	d := &delegation{runsLeft: 1, counted: true, ran: []string{"r/1", "r&2"}}
	assert.Equal(t, "counted=1&ran=r%2F1&ran=r%262&runs=1", d.String())
	assert.Equal(t, "runs=2", (&delegation{runsLeft: 2}).String())
	assert.Equal(t, d, parseDelegation("counted=1&ran=r%2F1&ran=r%262&runs=1"))
	assert.Equal(t, &delegation{runsLeft: 2}, parseDelegation("runs=2&more=1"))
}
