package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Bounds of the operators for a request that crashes replicas.
const (
	poisonSettle  = 3 * time.Second // from the third crash on
	maxLatePoison = 3               // retries that may reach replicas later
)

// crashIfServed runs a request, whose replica crashes, unless it is refused. It reports whether it ran.
func crashIfServed(f *Fleet, fingerprint uint64, now time.Time) bool {
	q := serviceRequest()
	q.Fingerprint = fingerprint
	l, refusal := f.Pick(q, now)
	if refusal != nil {
		return false
	}
	if l.End(ConnectionLost, now) {
		f.RecordInspection(l.Member.ID, true, now)
	}
	return true
}

// serveFingerprint runs a request to a good end, unless it is refused.
func serveFingerprint(t *testing.T, f *Fleet, fingerprint uint64, now time.Time) {
	t.Helper()
	q := serviceRequest()
	q.Fingerprint = fingerprint
	l, refusal := f.Pick(q, now)
	if refusal != nil {
		assert.NotEqual(t, ReasonPoison, refusal.Reason)
		return
	}
	l.End(Served, now)
}

// Guards against two requests that crash replicas by turns and are never refused, as the crashes by one of them
// were taken for an outage which excuses the other. Found by case 3 of the review (BUDGET).
func TestRequestsThatCrashReplicasByTurnsAreRefused(t *testing.T) {
	for _, interval := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1900 * time.Millisecond} {
		f := newFleet(0)
		crashes, late := map[uint64]int{}, map[uint64]int{}
		third := map[uint64]time.Time{}
		now := start
		for i := range uint64(40) {
			now = now.Add(interval)
			poison := 7 + i%2
			if crashIfServed(f, poison, now) {
				if crashes[poison]++; crashes[poison] == 3 {
					third[poison] = now
				}
				if crashes[poison] > 3 && now.Sub(third[poison]) > poisonSettle {
					late[poison]++
				}
			}
			serveFingerprint(t, f, 100, now.Add(interval/2))
		}
		for poison, n := range late {
			assert.LessOrEqual(t, n, maxLatePoison, "request %d, every %v", poison, interval)
		}
	}
}

// Guards against refusing a request that callers send again and again into one outage of several replicas.
func TestRequestRepeatedIntoOneOutageIsNotPoison(t *testing.T) {
	const repeated, other = 5, 6
	f := newFleet(0)
	now := start
	for range 5 {
		crashIfServed(f, other, now)
		crashIfServed(f, repeated, now)
		now = now.Add(300 * time.Millisecond)
	}
	q := serviceRequest()
	q.Fingerprint = repeated
	_, refusal := f.Pick(q, now.Add(maxSuspension))
	assert.Nil(t, refusal)
}

// Guards against refusing a request that completes between crashes in which it was in flight.
func TestRequestThatCompletesBetweenCrashesIsNotPoison(t *testing.T) {
	const sound, poison = 5, 6
	f, other := newFleet(0), newFleet(0)
	now := start
	for i := range 8 {
		now = now.Add(1500 * time.Millisecond)
		crashIfServed(f, poison+uint64(i%3), now)
		crashIfServed(f, sound, now)
		other.ApplyRequestReports(f.RequestReports(false, now), now)
		serveFingerprint(t, other, sound, now.Add(time.Second))
		f.ApplyRequestReports(other.RequestReports(false, now.Add(time.Second)), now.Add(time.Second))
	}
	for _, host := range []*Fleet{f, other} {
		for _, e := range host.RefusedRequests(now.Add(time.Second)) {
			assert.NotEqualValues(t, sound, e.Part)
		}
	}
}

// Guards against hosts that send a request on which three replicas crashed because they started since, and
// nobody told them. Found by poison-after-restart of the review (BUDGET).
func TestHostThatStartsLaterRefusesRequestThatCrashedReplicas(t *testing.T) {
	const poison = 7
	f, started := newFleet(0), newFleet(0)
	now := start
	for range 3 {
		now = now.Add(3 * time.Second)
		f.ApplyRequestReports(started.RequestReports(false, now), now)
		crashIfServed(started, poison, now) // each on a host that has just started
		f.ApplyRequestReports(started.RequestReports(false, now), now)
		started = newFleet(0)
	}
	now = now.Add(time.Minute)
	started.ApplyRequestReports(f.RequestReports(true, now), now)
	for _, host := range []*Fleet{f, started} {
		q := serviceRequest()
		q.Fingerprint = poison
		_, refusal := host.Pick(q, now)
		require.NotNil(t, refusal)
		assert.Equal(t, ReasonPoison, refusal.Reason)
		q.Fingerprint = poison + 1
		_, refusal = host.Pick(q, now)
		assert.Nil(t, refusal)
	}
}

// Guards against refusing a request because it was in flight in crashes that a part of other requests' prompts
// caused, and of which its host learns later.
func TestPartFoundLaterExplainsCrashesOfRequests(t *testing.T) {
	const sound = 5
	f, other := newFleet(0), newFleet(0)
	now := start
	for range 3 {
		now = now.Add(3 * time.Second)
		m := Member{ID: "s0"}
		f.recordRequestCrash(&m, []suspect{{fingerprint: sound}}, now)
		other.parts.Crash([]uint64{poisonPart}, nil, m.Key(), now.Add(10*time.Millisecond))
	}
	require.NotEmpty(t, f.RefusedRequests(now))
	f.ApplyPartReports(other.PartReports(true, now), now)
	assert.Empty(t, f.RefusedRequests(now))
	q := serviceRequest()
	q.Fingerprint = sound
	_, refusal := f.Pick(q, now)
	assert.Nil(t, refusal)
}
