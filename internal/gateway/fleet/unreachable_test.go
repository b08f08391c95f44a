package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against callers that wait in vain for a connection to one replica after another
// before they are refused. This happened in a cut-off zone after its own replica of a
// service had left (recorded day inc-b387).
func TestRequestsAreRefusedAtOnceWhenNoReplicaCanBeConnectedTo(t *testing.T) {
	f := newFleet(0)
	now := start
	for range connectFailureThreshold {
		var leases []*Lease
		q := serviceRequest()
		for range 3 {
			l := pick(t, f, q, now)
			q.Exclude = append(q.Exclude, l.Member.ID)
			leases = append(leases, l)
		}
		now = now.Add(500 * time.Millisecond)
		for _, l := range leases {
			l.End(Unconnected, now)
		}
	}
	_, refusal := f.Pick(serviceRequest(), now)
	require.NotNil(t, refusal)
	assert.Equal(t, ReasonUnreachable, refusal.Reason)
	assert.LessOrEqual(t, refusal.RetryAfter, (maxSuspension+connectTrialTime)*3/2)
	assert.GreaterOrEqual(t, refusal.RetryAfter, connectTrialTime, "not before the next trial ends")

	// One request at a time tries whether a replica accepts connections again.
	now = now.Add(maxSuspension)
	var trials []*Lease
	for range 10 {
		if l, refusal := f.Pick(serviceRequest(), now); refusal == nil {
			trials = append(trials, l)
		}
	}
	require.Len(t, trials, 3, "one for each replica")
	trials[0].FirstByte(now)
	trials[0].End(Served, now)
	for range 4 {
		assert.Equal(t, trials[0].Member.ID, pick(t, f, serviceRequest(), now).Member.ID)
	}
}

// Guards against refusing requests while replicas accept connections but break them, as
// when all replicas of an upstream are faulty (scenario srv_grey, reset).
func TestReplicasThatBreakConnectionsAreStillTried(t *testing.T) {
	f := newFleet(0)
	for range 20 {
		pick(t, f, serviceRequest(), start).End(ConnectionLost, start)
	}
	pick(t, f, serviceRequest(), start)
}

// Guards against suspecting a request that never reached a replica of crashing it.
func TestRequestWithoutConnectionIsNotSuspected(t *testing.T) {
	f := newFleet(0)
	q := serviceRequest()
	q.Fingerprint = 9
	for range 3 {
		l := pick(t, f, q, start)
		assert.False(t, l.End(Unconnected, start), "no inspection without a connection")
		f.RecordInspection(l.Member.ID, true, start)
	}
	assert.Empty(t, f.Crashes(start))
}
