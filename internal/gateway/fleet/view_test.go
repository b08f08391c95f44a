package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against reporting a replica as ready to operators while it receives no requests.
func TestViewsReportWhyAReplicaIsNotUsed(t *testing.T) {
	f := newFleet(4)
	now := start
	state := func(id string) ReplicaState {
		for _, v := range f.Views(now) {
			if v.Member.ID == id {
				return v.State
			}
		}
		return ""
	}
	f.replicas["e1"].member.Leaving = true
	f.replicas["e2"].recordFailure(true, now)
	f.replicas["e3"].member.UsableUntil = now.Add(time.Second)
	assert.Equal(t, StateReady, state("e0"))
	assert.Equal(t, StateLeaving, state("e1"))
	assert.Equal(t, StateSuspended, state("e2"))
	assert.Equal(t, StateHeld, state("e3"))
	now = now.Add(initialSuspension)
	assert.Equal(t, StateReady, state("e2"), "one request at a time is admitted again")
}
