package fleet

import "time"

// View is what this host believes of a replica, for operators.
type View struct {
	Member   Member
	State    ReplicaState
	Running  int           // requests in progress, of all hosts
	Backlog  time.Duration // prompts ahead of a new request
	Failing  float64       // share of the last requests
	Slowness float64       // measured over expected latency
}

// ReplicaState tells whether a replica may receive requests.
type ReplicaState string

// States of replicas.
const (
	StateReady     ReplicaState = "ready"
	StateLeaving   ReplicaState = "leaving"
	StateHeld      ReplicaState = "held"      // its registration vanished; it stays in use for a while
	StateSuspended ReplicaState = "suspended" // it could not be reached or broke off
)

// Views returns what this host believes of all replicas, in no order.
func (f *Fleet) Views(now time.Time) []View {
	f.mu.Lock()
	defer f.mu.Unlock()
	views := make([]View, 0, len(f.replicas))
	for _, r := range f.replicas {
		v := View{
			Member: r.member, State: StateReady, Running: r.inFlight(), Backlog: r.backlog(now),
			Failing: r.failureRate, Slowness: r.slowness,
		}
		switch {
		case r.member.Leaving:
			v.State = StateLeaving
		case !r.admissible(now):
			v.State = StateSuspended
		case !r.member.Until.IsZero():
			v.State = StateHeld
		}
		views = append(views, v)
	}
	return views
}
