package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/scheduling/requestlimit"
)

// stated returns the statement of a limit in requests per second.
func stated(perSecond float64) requestlimit.Statement {
	return requestlimit.Statement{Limited: true, PerSecond: perSecond}
}

// answer picks a replica for a request to the plain service and ends it with an answer that makes
// the statement.
func answer(t *testing.T, f *Fleet, s requestlimit.Statement, now time.Time) *Lease {
	t.Helper()
	l := pick(t, f, serviceRequest(), now)
	l.RecordLimit(s, now.Add(time.Millisecond))
	l.End(Served, now.Add(time.Millisecond))
	return l
}

// Guards against requests that go to a replica beyond its limit while others have capacity.
func TestLimitedReplicaIsSkipped(t *testing.T) {
	f := newFleet(0)
	limited := answer(t, f, stated(1), start).Member.ID
	sent := 0
	for i := range 400 {
		now := start.Add(time.Duration(i+1) * 10 * time.Millisecond)
		l := pick(t, f, serviceRequest(), now)
		if l.Member.ID == limited {
			sent++
			l.RecordLimit(stated(1), now)
		}
		l.End(Served, now)
	}
	assert.InDelta(t, 4, sent, 1, "requests in four seconds")
	assert.Equal(t, 1, f.LimitedReplicas(service))
}

// Guards against callers that are refused for the limits of all replicas and told to return at the
// same moment, or long after there is room.
func TestRefusalForLimitsSpreadsReturns(t *testing.T) {
	f := newFleet(0)
	for i := range 3 {
		answer(t, f, stated(2), start.Add(time.Duration(i)*time.Millisecond))
	}
	now := start.Add(10 * time.Millisecond)
	returns := map[time.Duration]int{}
	for range 18 {
		_, refusal := f.Pick(serviceRequest(), now)
		require.NotNil(t, refusal)
		assert.Equal(t, ReasonLimited, refusal.Reason)
		assert.GreaterOrEqual(t, refusal.RetryAfter, minRetryAfter)
		returns[refusal.RetryAfter.Truncate(time.Second)]++
	}
	for second, n := range returns {
		assert.LessOrEqual(t, n, 9, "callers told to return in second %v, for six requests a second", second)
	}
	assert.Greater(t, len(returns), 2)
}

// Guards against a limit that is forgotten when the replica's registration lapses and comes back,
// and against one that a new process under the same ID inherits.
func TestLimitOutlastsLapsedRegistration(t *testing.T) {
	f := newFleet(0)
	member := f.pools[service].replicas[0].member
	member.Started = 7
	f.Update([]Member{member}, nil)
	f.limitFor(member.Key()).Observe(stated(1), start, start)
	f.Update(nil, []string{member.ID})
	f.ExpireDigests(start.Add(5 * time.Second))
	f.Update([]Member{member}, nil)
	assert.Equal(t, stated(1), f.replicas[member.ID].statedLimit())

	member.Started++
	f.Update([]Member{member}, nil)
	assert.False(t, f.replicas[member.ID].statedLimit().Limited)
}

// Guards against a host that learns of a limit only from its own requests, such as one that was
// restarted, and against one that is not told of its end.
func TestReportsSpreadLimits(t *testing.T) {
	f, other := newFleet(0), newFleet(0)
	limited := answer(t, f, stated(1), start)
	now := start.Add(50 * time.Millisecond)
	changes := other.ApplyLimitReports("f", true, f.LimitReports(now), now)
	assert.Equal(t, []LimitChange{{Replica: limited.Member.ID, Statement: stated(1)}}, changes)
	assert.Equal(t, stated(1), other.replicas[limited.Member.ID].statedLimit())
	assert.Equal(t, other.LimitReports(now)[0].Replica, limited.Member.Key())

	f.replicas[limited.Member.ID].limit.Observe(requestlimit.Statement{}, now, now)
	now = now.Add(50 * time.Millisecond)
	other.ApplyLimitReports("f", true, f.LimitReports(now), now)
	assert.False(t, other.replicas[limited.Member.ID].statedLimit().Limited)
	other.ExpireDigests(now.Add(time.Minute))
	assert.Empty(t, other.LimitReports(now.Add(time.Minute)))
}

// Guards against more requests at a replica, of all hosts together, than it accepts connections.
func TestConnectionLimitIsKept(t *testing.T) {
	f := newFleet(0)
	f.SetUpstreams([]routing.Upstream{{Name: service, MaxConns: 8}})
	f.ApplyDigest("other", map[uint64]Use{(&Member{ID: "s0"}).Key(): {Running: 6}}, nil, nil, start)
	counts := map[string]int{}
	for range 2 + 8 + 8 {
		counts[pick(t, f, serviceRequest(), start).Member.ID]++
	}
	assert.Equal(t, map[string]int{"s0": 2, "s1": 8, "s2": 8}, counts)
	_, refusal := f.Pick(serviceRequest(), start)
	require.NotNil(t, refusal)
	assert.Equal(t, ReasonFull, refusal.Reason)
}
