package picker

import (
	"slices"
	"time"

	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/quarantine"
)

// Filter tells whether a replica may take the request of a query.
type Filter interface {
	// Name is the filter's name for messages and tests.
	Name() string
	// Admit returns false when the replica must not take the request.
	Admit(q *Query, r *Replica) bool
}

// defaultFilters lists the filters, those that reject most often first.
func defaultFilters() []Filter {
	return []Filter{slotFilter{}, liveFilter{}, ejectedFilter{}, modelFilter{}, excludeFilter{}, suspectFilter{}}
}

// slotFilter rejects replicas without a free slot for the request's tier.
type slotFilter struct{}

func (slotFilter) Name() string                    { return "slot" }
func (slotFilter) Admit(q *Query, r *Replica) bool { return r.free[q.level] > 0 }

// liveFilter rejects replicas that leave, are dead or are no longer in the bundle.
type liveFilter struct{}

func (liveFilter) Name() string { return "live" }
func (liveFilter) Admit(_ *Query, r *Replica) bool {
	return r.state == scheduling.ReplicaLive && !r.removed
}

// ejectedFilter rejects replicas whose health allows no further request.
type ejectedFilter struct{}

func (ejectedFilter) Name() string                    { return "ejected" }
func (ejectedFilter) Admit(_ *Query, r *Replica) bool { return len(r.flights) < r.limit }

// modelFilter rejects replicas that have not loaded the model.
type modelFilter struct{}

func (modelFilter) Name() string                    { return "model" }
func (modelFilter) Admit(q *Query, r *Replica) bool { return r.models>>q.model&1 == 1 }

// excludeFilter rejects replicas that the request itself excludes.
type excludeFilter struct{}

func (excludeFilter) Name() string { return "exclude" }
func (excludeFilter) Admit(q *Query, r *Replica) bool {
	return len(q.request.Exclude) == 0 || !slices.Contains(q.request.Exclude, r.id)
}

// brokenTime is how long no suspect goes to a replica that crashed. Its health may
// allow requests at once, when too many others are ejected, and one that is still
// down would count a second crash against an innocent request.
const brokenTime = time.Second

// suspectFilter keeps suspects apart from other suspects and from top-tier work, and
// away from replicas that crashed just now.
type suspectFilter struct{}

func (suspectFilter) Name() string { return "suspect" }
func (suspectFilter) Admit(q *Query, r *Replica) bool {
	switch {
	case q.state == quarantine.Clear:
		return true
	case q.now.Sub(r.brokeAt) < brokenTime:
		return false
	case q.state == quarantine.Isolated && r.suspects > 0:
		return false
	}
	return q.beside == besideSuspects || r.suspects == 0 && (q.beside == besideTop || r.top == 0)
}
