package picker

import (
	"slices"
	"time"

	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/quarantine"
)

// Filter decides whether a replica may serve the request of a query.
type Filter interface {
	// Name returns the filter's name.
	Name() string
	// Admit reports whether the replica may serve the request.
	Admit(q *Query, r *Replica) bool
}

// defaultFilters returns the filters. Those that reject most often come first.
func defaultFilters() []Filter {
	return []Filter{slotFilter{}, liveFilter{}, ejectedFilter{}, modelFilter{}, excludeFilter{}, suspectFilter{}}
}

// slotFilter rejects replicas without a free slot for the request's slot level.
type slotFilter struct{}

func (slotFilter) Name() string                    { return "slot" }
func (slotFilter) Admit(q *Query, r *Replica) bool { return r.free[q.level] > 0 }

// liveFilter rejects replicas that are leaving, dead or no longer in the bundle.
type liveFilter struct{}

func (liveFilter) Name() string { return "live" }
func (liveFilter) Admit(_ *Query, r *Replica) bool {
	return r.state == scheduling.ReplicaLive && !r.removed
}

// ejectedFilter rejects replicas on which this host already runs as many requests as the
// replica's health allows; on an ejected replica it may run none.
type ejectedFilter struct{}

func (ejectedFilter) Name() string                    { return "ejected" }
func (ejectedFilter) Admit(_ *Query, r *Replica) bool { return len(r.inFlight) < r.healthLimit }

// modelFilter rejects replicas that have not loaded the model.
type modelFilter struct{}

func (modelFilter) Name() string                    { return "model" }
func (modelFilter) Admit(q *Query, r *Replica) bool { return r.modelBits>>q.modelIndex&1 == 1 }

// excludeFilter rejects replicas on the request's exclusion list.
type excludeFilter struct{}

func (excludeFilter) Name() string { return "exclude" }
func (excludeFilter) Admit(q *Query, r *Replica) bool {
	return len(q.request.Exclude) == 0 || !slices.Contains(q.request.Exclude, r.id)
}

// failedReplicaDelay is how long a replica receives no suspects after a crash or a failed
// connection. Its health may allow requests at once when too many other replicas are
// ejected already. If the replica is still down, the failed attempt would be counted as a
// second crash of an innocent request.
const failedReplicaDelay = time.Second

// suspectFilter separates a suspect from other suspects and from top-tier requests as far
// as the query requires, and rejects replicas that crashed recently.
type suspectFilter struct{}

func (suspectFilter) Name() string { return "suspect" }
func (suspectFilter) Admit(q *Query, r *Replica) bool {
	switch {
	case q.quarantineState == quarantine.Clear:
		return true
	case q.now.Sub(r.failedAt) < failedReplicaDelay:
		return false
	case q.quarantineState == quarantine.Isolated && r.suspectsInFlight > 0:
		return false
	}
	return q.allowedCoLocation == coLocateSuspects || r.suspectsInFlight == 0 && (q.allowedCoLocation == coLocateTopTier || r.topTier == 0)
}
