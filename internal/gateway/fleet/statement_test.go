package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a rest that a shorter one in a later answer ends, that the lapse of the registration ends, or that
// holds back another process under the ID.
func TestLongestRestOfProcessHolds(t *testing.T) {
	f := New(Options{Zone: "a", Model: testModel, Seed: 1})
	m := Member{ID: "r", Upstream: service, Address: "10.0.0.1:1", Zone: "a", Started: 1, Slots: 6}
	f.SetMembers([]Member{m})
	first, second := pick(t, f, serviceRequest(), start), pick(t, f, serviceRequest(), start)
	assert.True(t, first.RecordRest(3*time.Second, start))
	first.End(Rejected, start)
	assert.False(t, second.RecordRest(time.Second, start.Add(100*time.Millisecond)))
	second.End(Rejected, start)
	f.SetMembers(nil)
	f.ExpireDigests(start.Add(time.Second))
	f.SetMembers([]Member{m})
	for _, after := range []time.Duration{time.Second, 2999 * time.Millisecond} {
		_, refusal := f.Pick(serviceRequest(), start.Add(after))
		require.NotNil(t, refusal)
		assert.Equal(t, ReasonResting, refusal.Reason)
		assert.GreaterOrEqual(t, refusal.RetryAfter, min(3*time.Second-after, minRetryAfter))
	}
	pick(t, f, serviceRequest(), start.Add(3*time.Second)).RecordRest(time.Hour, start.Add(3*time.Second))
	_, refusal := f.Pick(serviceRequest(), start.Add(3*time.Second+maxRest-1))
	require.NotNil(t, refusal)
	pick(t, f, serviceRequest(), start.Add(3*time.Second+maxRest))
	pick(t, f, serviceRequest(), start.Add(4*time.Second+maxRest)).RecordRest(time.Minute, start.Add(4*time.Second+maxRest))
	m.Started++
	f.SetMembers([]Member{m})
	pick(t, f, serviceRequest(), start.Add(5*time.Second+maxRest))
}
