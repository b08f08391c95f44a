package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against callers that wait for connections in vain, one replica after the
// other, before they are refused (a zone cut off whose own replica of a service has
// left, recorded day inc-b387).
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
	assert.GreaterOrEqual(t, refusal.RetryAfter, connectTrialTime, "the next trial has to end first")

	// One request at a time finds out whether a replica is back.
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

// Guards against refusals while replicas can be reached but break off requests, as
// faulty ones of a whole upstream do (srv_grey reset).
func TestReplicasThatBreakConnectionsAreStillTried(t *testing.T) {
	f := newFleet(0)
	for range 20 {
		pick(t, f, serviceRequest(), start).End(Unreachable, start)
	}
	pick(t, f, serviceRequest(), start)
}

// Guards against a request that never reached a replica and is suspected of its crash.
func TestRequestWithoutConnectionIsNotSuspected(t *testing.T) {
	f := newFleet(0)
	q := serviceRequest()
	q.Fingerprint = 9
	for range 3 {
		l := pick(t, f, q, start)
		assert.False(t, l.End(Unconnected, start), "there is nothing to look at")
		f.Inspected(l.Member.ID, true, start)
	}
	assert.Empty(t, f.Crashes(start))
}
