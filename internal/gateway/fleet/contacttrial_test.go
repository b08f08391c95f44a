package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a host that takes replicas that crashed together for a cut of its own links, as it has not tried any other, and
// against one that then sends them requests again at once (KNOWN-RED 42).
func TestReplicasThatCrashTogetherAreToldFromACutByOthers(t *testing.T) {
	f := newFleet(4)
	crashed := crashTogether(t, f, start)
	assert.True(t, f.CutOff(), "it cannot tell yet")
	assert.False(t, f.CutOffConfirmed())
	trial := f.ContactTrial(start)
	require.Len(t, trial, cutOffFailures)
	for i := range trial {
		assert.NotContains(t, crashed, trial[i].ID, "those that have not failed are tried")
	}
	assert.Empty(t, f.ContactTrial(start), "one trial at a time")
	f.RecordContactTrial(true, start)
	assert.False(t, f.CutOff())
	for _, id := range crashed {
		assert.Equal(t, start.Add(initialSuspension), f.replicas[id].suspendedUntil, "they are still down")
	}
}

// Guards against a host that does not know that it is cut off although a trial of other replicas has failed as well, or that
// stays cut off, or keeps replicas suspended, after its links are back.
func TestCutIsConfirmedByATrialAndEndsWithAContact(t *testing.T) {
	for name, restore := range map[string]func(f *Fleet, now time.Time){
		"trial":   func(f *Fleet, now time.Time) { f.RecordContactTrial(true, now) },
		"contact": func(f *Fleet, now time.Time) { f.RecordContact(now) },
	} {
		f, now := newFleet(4), start
		failed := crashTogether(t, f, now)
		require.NotEmpty(t, f.ContactTrial(now))
		f.RecordContactTrial(false, now)
		assert.True(t, f.CutOffConfirmed(), name)
		tried := make(map[string]bool)
		for range 100 {
			now = now.Add(ContactTrialInterval)
			trial := f.ContactTrial(now)
			require.Len(t, trial, 1, "%s: any may be the first that is reached again", name)
			tried[trial[0].ID] = true
			f.RecordContactTrial(false, now)
		}
		assert.Len(t, tried, len(f.replicas), name)
		restore(f, now)
		assert.False(t, f.CutOff(), name)
		assert.False(t, f.CutOffConfirmed(), name)
		for _, id := range failed {
			assert.Zero(t, f.replicas[id].consecutiveFailures, name)
		}
		crashTogether(t, f, now)
		assert.True(t, f.CutOff(), name)
		assert.False(t, f.CutOffConfirmed(), "%s: the earlier trial says nothing about the next cut", name)
	}
}

// Guards against a trial whose failure counts although a replica has answered since it began.
func TestTrialThatFailsAfterAContactConfirmsNothing(t *testing.T) {
	f := newFleet(4)
	crashTogether(t, f, start)
	require.NotEmpty(t, f.ContactTrial(start))
	f.RecordContact(start)
	f.RecordContactTrial(false, start)
	crashTogether(t, f, start)
	assert.True(t, f.CutOff())
	assert.False(t, f.CutOffConfirmed())
}
