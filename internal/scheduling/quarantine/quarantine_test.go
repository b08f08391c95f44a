package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heatherbarrow/internal/scheduling"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func replicaID(i int) scheduling.ReplicaID {
	return scheduling.ReplicaID{Upstream: "u", Replica: fmt.Sprint(i)}
}

func stateOf(q *Quarantine, fingerprint uint64, now time.Time) State {
	s, _ := q.State(fingerprint, now)
	return s
}

// Guards against a quarantine after two crashes of the same replica, a quarantine
// that never expires, and a release that has no effect.
func TestQuarantineExpiresAndIsReleased(t *testing.T) {
	q := New(2, time.Hour)
	q.Crash(1, replicaID(1), 0, true, start)
	q.Crash(1, replicaID(1), 0, true, start)
	require.Equal(t, Suspect, stateOf(q, 1, start))
	q.Crash(1, replicaID(2), 0, true, start)
	require.Equal(t, Quarantined, stateOf(q, 1, start))
	require.Equal(t, Clear, stateOf(q, 1, start.Add(time.Hour+time.Second)))
	q.Crash(2, replicaID(1), 0, true, start)
	q.Crash(2, replicaID(2), 0, true, start)
	q.Update([]scheduling.QuarantineEntry{{Fingerprint: 2, Released: 1, Expires: start.Add(time.Hour)}}, start)
	require.Equal(t, Clear, stateOf(q, 2, start))
}

// Guards against a crash that is reported late, with the time of long ago, and ends the quarantine for the others.
func TestOldCrashDoesNotShortenQuarantine(t *testing.T) {
	q := New(2, 10*time.Minute)
	q.Crash(1, replicaID(1), 0, true, start)
	q.Crash(1, replicaID(2), 0, true, start)
	q.Crash(1, replicaID(3), 0, true, start.Add(-time.Hour))
	require.Equal(t, Quarantined, stateOf(q, 1, start.Add(9*time.Minute)))
	require.True(t, q.CrashedWithin(1, time.Second, start))
}

// Guards against crashes that other hosts observed and that are not counted, are
// counted twice, or still count after the request completed.
func TestSharedEntriesCount(t *testing.T) {
	q := New(2, time.Hour)
	q.Crash(1, replicaID(1), 0, true, start)
	shared := []scheduling.QuarantineEntry{{Fingerprint: 1, Replicas: []scheduling.ReplicaID{replicaID(1)}, Expires: start.Add(time.Hour)}}
	q.Update(shared, start)
	require.Equal(t, Suspect, stateOf(q, 1, start))
	q.Started(1, start)
	q.Ended(1, true)
	require.Equal(t, Clear, stateOf(q, 1, start))
	shared[0].Replicas = append(shared[0].Replicas, replicaID(2))
	q.Update(shared, start)
	require.Equal(t, Suspect, stateOf(q, 1, start))
	shared[0].Replicas = append(shared[0].Replicas, replicaID(3))
	q.Update(shared, start)
	require.Equal(t, Quarantined, stateOf(q, 1, start))
}

// Guards against quarantining a long answer that was in flight during two unrelated
// crashes, and against missing a poison request that is sent again from the start.
func TestProgressPastCrashClearsEarlierCrashes(t *testing.T) {
	q := New(2, time.Hour)
	q.Crash(1, replicaID(1), 100, true, start)
	q.Crash(1, replicaID(2), 100+minProgressTokens, true, start)
	require.Equal(t, Suspect, stateOf(q, 1, start))
	q.Crash(1, replicaID(3), 100, true, start)
	require.Equal(t, Quarantined, stateOf(q, 1, start))
}

// Guards against a wrong number of running requests, which would block a fingerprint
// forever or let two requests with it run at once.
func TestRunningCountMatchesStartsAndEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(2, time.Hour)
		q.Crash(1, replicaID(1), 0, true, start)
		running := 0
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			switch {
			case running > 0 && rapid.Bool().Draw(t, "end"):
				running--
				q.Ended(1, rapid.Bool().Draw(t, "completed"))
			default:
				running++
				q.Started(1, start)
			}
			require.Equal(t, running > 0, q.Running(1))
		}
	})
}

// Guards against crashes that stay counted when answers on other hosts have voided them, and against dropping others.
func TestVoidRemovesOnlyVoidedCrashes(t *testing.T) {
	q := New(2, time.Hour)
	for i := range 3 {
		q.Crash(1, replicaID(i), 0, true, start.Add(time.Duration(i)*time.Second))
	}
	until := func(end time.Time) func(scheduling.ReplicaID, time.Time) bool {
		return func(_ scheduling.ReplicaID, at time.Time) bool { return !at.After(end) }
	}
	now := start.Add(time.Minute)
	require.False(t, q.Void(1, now, until(start)), "two crashes are left")
	require.Equal(t, Quarantined, stateOf(q, 1, now))
	require.True(t, q.Void(1, now, until(start.Add(time.Second))))
	require.Equal(t, Suspect, stateOf(q, 1, now))
	require.False(t, q.Void(1, now, until(now)))
	require.Equal(t, Clear, stateOf(q, 1, now))
	require.False(t, q.Void(2, now, until(now)), "unknown")
}
