package fleet

import (
	"time"

	"heatherbarrow/internal/scheduling/requestlimit"
)

// View is the state of a replica as seen by this host, for operators.
type View struct {
	Member      Member
	State       ReplicaState
	Running     int           // in-flight requests of all hosts
	Backlog     time.Duration // expected wait of a new request for prompts ahead of it
	FailureRate float64       // failure rate of recent requests, from 0 to 1
	Limit       requestlimit.Statement
	Slowness    float64 // ratio of measured to expected latency
}

// ReplicaState says whether a replica may receive requests, and if not, why.
type ReplicaState string

// States of replicas.
const (
	StateReady     ReplicaState = "ready"
	StateLeaving   ReplicaState = "leaving"
	StateHeld      ReplicaState = "held"      // registration vanished; the replica stays in use for a while
	StateResting   ReplicaState = "resting"   // said that it wants no requests of this host for a time
	StateSuspended ReplicaState = "suspended" // recently could not be reached or broke a connection
)

// Views returns the state of all replicas, in no particular order.
func (f *Fleet) Views(now time.Time) []View {
	f.mu.Lock()
	defer f.mu.Unlock()
	views := make([]View, 0, len(f.replicas))
	for _, r := range f.replicas {
		v := View{
			Member: r.member, State: StateReady, Running: r.inFlight(), Backlog: r.backlog(now),
			FailureRate: r.failureRate, Slowness: r.slowness, Limit: r.statedLimit(),
		}
		switch {
		case r.member.Leaving:
			v.State = StateLeaving
		case now.Before(r.restUntil):
			v.State = StateResting
		case !r.admissible(now):
			v.State = StateSuspended
		case !r.member.UsableUntil.IsZero():
			v.State = StateHeld
		}
		views = append(views, v)
	}
	return views
}
