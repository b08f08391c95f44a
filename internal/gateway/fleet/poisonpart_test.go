package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	poisonPart = 0xc0ffee
	teamPart   = 0xf1 // with which the requests of a team begin
)

func partsRequest(parts ...uint64) *Request {
	q := serviceRequest()
	q.Parts = parts
	return q
}

// crashAnswering runs a request until its answer has begun, and beside it requests that still wait for
// theirs; then their replica crashes.
func crashAnswering(t *testing.T, f *Fleet, now time.Time, parts []uint64, waiting ...[]uint64) {
	t.Helper()
	first := pick(t, f, partsRequest(parts...), now)
	first.HeadReceived()
	leases := []*Lease{first}
	for _, w := range waiting {
		q := partsRequest(w...)
		for _, id := range []string{"s0", "s1", "s2"} {
			if id != first.Member.ID {
				q.Exclude = append(q.Exclude, id)
			}
		}
		leases = append(leases, pick(t, f, q, now))
	}
	inspections := 0
	for _, l := range leases {
		if l.End(ConnectionLost, now) {
			inspections++
		}
	}
	assert.Equal(t, 1, inspections)
	f.RecordInspection(first.Member.ID, true, now)
}

// Guards against blaming a crash on the prompts of requests whose answers had not begun, and against
// sending requests with a part on which three replicas crashed.
func TestPartOfAnswersThatCrashReplicasIsRefused(t *testing.T) {
	f, other := newFleet(0), newFleet(0)
	now := start
	for i := range uint64(3) {
		now = now.Add(3 * time.Second)
		crashAnswering(t, f, now, []uint64{teamPart, poisonPart, i + 1}, []uint64{teamPart + 1, 77})
		served := pick(t, f, partsRequest(teamPart, 50), now.Add(2*time.Second))
		served.HeadReceived()
		served.End(Served, now.Add(2*time.Second))
	}
	other.ApplyPartReports(f.PartReports(false, now), now)
	for _, host := range []*Fleet{f, other} {
		_, refusal := host.Pick(partsRequest(9, poisonPart), now)
		require.NotNil(t, refusal)
		assert.Equal(t, ReasonPoisonPart, refusal.Reason)
		assert.EqualValues(t, poisonPart, refusal.Part)
		assert.Positive(t, refusal.RetryAfter)
		assert.False(t, host.Available(partsRequest(9, poisonPart), now))
		for _, sound := range [][]uint64{{teamPart, 9}, {teamPart + 1, 77}, {2}, nil} {
			_, refusal = host.Pick(partsRequest(sound...), now)
			assert.Nil(t, refusal, "%v", sound)
		}
	}
	assert.Contains(t, f.TakePartChanges(), PartChange{Part: poisonPart, Quarantined: true})
	assert.Empty(t, f.TakePartChanges())
}

// Guards against a part that crashes replicas before the first byte of an answer has left them, beside sound requests
// whose answers have begun: the crashes counted against these alone. Found by case 4 of the review (BUDGET).
func TestPartThatCrashesReplicasBeforeAnswerBeginsIsRefused(t *testing.T) {
	f, other := newFleet(0), newFleet(0)
	now := start
	for i := range uint64(3) {
		now = now.Add(3 * time.Second)
		crashAnswering(t, f, now, []uint64{teamPart, 100 + i}, []uint64{teamPart, poisonPart, i + 1})
		served := pick(t, f, partsRequest(teamPart, 50), now.Add(2*time.Second))
		served.HeadReceived()
		served.End(Served, now.Add(2*time.Second))
	}
	other.ApplyPartReports(f.PartReports(false, now), now)
	for _, host := range []*Fleet{f, other} {
		_, refusal := host.Pick(partsRequest(9, poisonPart), now)
		require.NotNil(t, refusal)
		assert.EqualValues(t, poisonPart, refusal.Part)
		for _, sound := range [][]uint64{{teamPart, 9}, {100}, {2}, nil} {
			_, refusal = host.Pick(partsRequest(sound...), now)
			assert.Nil(t, refusal, "%v", sound)
		}
	}
}

// Guards against refusing a request that callers send again and again because it was in flight in two
// crashes that a part of other requests' prompts explains (soak seed 575053044204).
func TestQuarantinedPartExplainsCrashesOfWholeRequests(t *testing.T) {
	const sound, poison = 5, 6
	f, other := newFleet(0), newFleet(0)
	now := start
	for range 3 {
		now = now.Add(3 * time.Second)
		q := partsRequest(teamPart, poisonPart)
		q.Fingerprint = uint64(now.Unix())
		l := pick(t, f, q, now)
		l.HeadReceived()
		beside := serviceRequest()
		beside.Fingerprint = sound
		for _, id := range []string{"s0", "s1", "s2"} {
			if id != l.Member.ID {
				beside.Exclude = append(beside.Exclude, id)
			}
		}
		if s, refusal := f.Pick(beside, now); refusal == nil {
			s.End(ConnectionLost, now)
		}
		l.End(ConnectionLost, now)
		f.RecordInspection(l.Member.ID, true, now)
		served := pick(t, f, partsRequest(teamPart), now.Add(2*time.Second))
		served.End(Served, now.Add(2*time.Second))
	}
	other.ApplyCrashes(f.Crashes(now), now)
	other.ApplyPartReports(f.PartReports(true, now), now)
	for _, host := range []*Fleet{f, other} {
		q := serviceRequest()
		q.Fingerprint = sound
		_, refusal := host.Pick(q, now)
		assert.Nil(t, refusal)
	}
	crash(t, f, poison, now.Add(10*time.Second))
	crash(t, f, poison, now.Add(20*time.Second))
	q := serviceRequest()
	q.Fingerprint = poison
	_, refusal := f.Pick(q, now.Add(30*time.Second))
	require.NotNil(t, refusal)
	assert.Equal(t, ReasonPoison, refusal.Reason, "crashes without the part count")
}

// Guards against taking an answer without length or chunks for complete, and its prompt for sound,
// because the replica crashed at the end of an event.
func TestAnswerThatEndsWithItsReplicaIsNoProof(t *testing.T) {
	f := newFleet(0)
	now := start
	crashAnswering(t, f, now, []uint64{poisonPart})
	ended := func(down bool) {
		now = now.Add(3 * time.Second)
		l := pick(t, f, partsRequest(poisonPart), now)
		l.HeadReceived()
		require.True(t, l.End(ServedUnframed, now), "a suspect's replica is inspected")
		f.RecordInspection(l.Member.ID, down, now)
	}
	ended(true)
	ended(true)
	_, refusal := f.Pick(partsRequest(poisonPart), now)
	require.NotNil(t, refusal)
	assert.Equal(t, ReasonPoisonPart, refusal.Reason)

	f = newFleet(0)
	crashAnswering(t, f, now, []uint64{poisonPart})
	ended(false)
	l := pick(t, f, partsRequest(poisonPart), now)
	assert.False(t, l.End(ServedUnframed, now), "the complete answer of a live replica shows that the part is sound")
}

// Guards against an inspection that is never started because a request without a prompt was the
// first that the replica broke off.
func TestRequestWithoutPromptDoesNotPreventInspection(t *testing.T) {
	f := newFleet(0)
	q := partsRequest(poisonPart)
	q.Fingerprint = 0
	l := pick(t, f, q, start)
	plain := partsRequest()
	plain.Fingerprint = 0
	for _, id := range []string{"s0", "s1", "s2"} {
		if id != l.Member.ID {
			plain.Exclude = append(plain.Exclude, id)
		}
	}
	other := pick(t, f, plain, start)
	assert.False(t, other.End(ConnectionLost, start))
	assert.True(t, l.End(ConnectionLost, start))
}

// Guards against counting crashes by requests that were sent again at once together with the crashes that broke these
// requests off before.
func TestCrashInRetryIsToldApart(t *testing.T) {
	f := newFleet(0)
	q := partsRequest(teamPart, poisonPart)
	for _, retried := range []bool{false, true} {
		l := pick(t, f, q, start)
		l.HeadReceived()
		q.Exclude = append(q.Exclude, l.Member.ID)
		require.True(t, l.End(ConnectionLost, start))
		f.RecordInspection(l.Member.ID, true, start)
		for _, e := range f.PartReports(false, start) {
			assert.Equal(t, retried, e.Crashes[len(e.Crashes)-1].Retried || len(e.Crashes) == 2 && e.Crashes[0].Retried)
		}
	}
	rejected := newFleet(0)
	q = partsRequest(teamPart, poisonPart)
	l := pick(t, rejected, q, start)
	l.End(Rejected, start)
	q.Exclude = append(q.Exclude, l.Member.ID)
	l = pick(t, rejected, q, start)
	l.End(ConnectionLost, start)
	rejected.RecordInspection(l.Member.ID, true, start)
	for _, e := range rejected.PartReports(false, start) {
		assert.False(t, e.Crashes[0].Retried)
	}
}
