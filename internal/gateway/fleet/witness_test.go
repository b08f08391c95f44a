package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// crashTogether runs requests with a poison part on the replicas of the service, which then crash at the same
// moment.
func crashTogether(t *testing.T, f *Fleet, now time.Time) []string {
	t.Helper()
	var leases []*Lease
	q := partsRequest(teamPart, poisonPart)
	for range 3 {
		l := pick(t, f, q, now)
		l.HeadReceived()
		q.Exclude = append(q.Exclude, l.Member.ID)
		leases = append(leases, l)
	}
	for _, l := range leases {
		l.End(ConnectionLost, now)
	}
	return q.Exclude
}

// Guards against crashes of several replicas at once that do not count at all, as they look like a partition of the
// host, although it reaches other replicas. Found by case 5 of the review (BUDGET).
func TestReplicasThatCrashTogetherCountIfAnotherIsReached(t *testing.T) {
	f := newFleet(2)
	crashed := crashTogether(t, f, start)
	witness, needed := f.Witness(start)
	require.True(t, needed)
	assert.NotContains(t, crashed, witness.ID)
	f.RecordWitness()
	for _, id := range crashed {
		assert.Zero(t, f.RecordInspection(id, true, start).Outages)
	}
	assert.NotEmpty(t, f.PartReports(false, start))
	_, needed = f.Witness(start)
	assert.False(t, needed)
}

// Guards against taking a partition of the host for crashes because the witness is one of the replicas that failed,
// or because there is none.
func TestReplicasThatFailTogetherDoNotCountWithoutWitness(t *testing.T) {
	for _, engineCount := range []int{0, 2} {
		f := newFleet(engineCount)
		for _, id := range crashTogether(t, f, start) {
			assert.Equal(t, 1, f.RecordInspection(id, true, start).Outages)
		}
		assert.Empty(t, f.PartReports(false, start))
	}
	_, needed := newFleet(0).Witness(start)
	assert.False(t, needed)
	f := newFleet(0)
	crashTogether(t, f, start)
	_, found := f.Witness(start)
	assert.False(t, found)
}

// Guards against losing the evidence of a host that takes crashes of all replicas it uses for a failure of its links, so
// that a sound request of other hosts has as many crashes as the one that caused them; and against counting the replicas
// of which no other host tells, late reports, and parts that were answered since.
func TestReplicasThatFailTogetherCountIfAnotherHostTellsOfThem(t *testing.T) {
	for name, c := range map[string]struct {
		after     time.Duration
		answered  bool
		wantParts int
	}{
		"told":              {after: time.Second, wantParts: 2},
		"answered since":    {after: time.Second, answered: true, wantParts: 1},
		"told after a time": {after: CrashReportTime + 2*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f, now := newFleet(0), start
			crashed := crashTogether(t, f, now)
			for _, id := range crashed {
				f.RecordInspection(id, true, now)
			}
			require.Empty(t, f.PartReports(false, now))
			now = now.Add(c.after)
			if c.answered {
				f.completeParts([]uint64{teamPart}, now)
			}
			f.ApplyCrashes([]Crash{{Fingerprint: 5, Upstream: service, Replica: crashed[0], Age: c.after}}, now)
			reports := f.PartReports(false, now)
			assert.Len(t, reports, c.wantParts)
			for _, e := range reports {
				assert.Len(t, e.Crashes, 1, "of the replica that the other host told of")
			}
		})
	}
}
