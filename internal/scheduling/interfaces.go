package scheduling

import (
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling/requestlimit"
)

// Choice is the replica picked for a request.
type Choice struct {
	Replica  ReplicaID
	Address  string // IP:port
	Decision Decision
	// CachedTokens is the number of prompt tokens that the replica is expected to have in
	// its prompt cache.
	CachedTokens int
}

// Picker chooses a replica for a request and tracks the state of the replicas as this host
// observes it. The scheduler calls all methods with its lock held, so that an
// implementation needs no lock of its own. It must not block.
type Picker interface {
	// Update installs a new bundle or view. If an argument is nil, the present one stays
	// in force.
	Update(snapshot *bundle.Snapshot, view *View)
	// Pick takes a slot on the best replica for the request. It returns false when no
	// replica can serve the request now; Refusal then reports whether the request must be
	// refused instead of waiting.
	Pick(r *Request) (Choice, bool)
	// Slots returns the number of slots of all replicas that may serve the request now,
	// and how many of them are free.
	Slots(r *Request) (total, free int)
	// PlannedSlots returns the number of slots of all replicas of the bundle that hold the
	// model, including replicas that cannot serve now.
	PlannedSlots(r *Request) int
	// Refusal returns a *RefusedError when the request cannot run even with a free slot,
	// for example because its fingerprint is quarantined, and nil otherwise.
	Refusal(r *Request) *RefusedError
	// FirstToken records the time from the dispatch of the request to its first token.
	FirstToken(id ReplicaID, r *Request, latency time.Duration)
	// Tokens records n further tokens of a stream that took elapsed since the previous
	// tokens.
	Tokens(id ReplicaID, n int, elapsed time.Duration)
	// Finish releases the slot and records the result of the attempt.
	Finish(id ReplicaID, r *Request, result Result)
	// RecordLimit applies what an answer of the replica says of its request limit; sent is when
	// the request was dispatched. It reports whether that changed the limit in force.
	RecordLimit(id ReplicaID, s requestlimit.Statement, sent time.Time) (changed bool)
	// Limits returns the request limits of replicas that answers to this host stated or ended since
	// the last call.
	Limits() []ReplicaLimit
	// SuspectEvents returns the events since the last call: crashes with their
	// fingerprints, and completions of suspects.
	SuspectEvents() []SuspectEvent
	// Tick performs the work that depends only on time, such as the ejection of frozen
	// replicas. It is called every 50 ms.
	Tick()
	// Measurements returns the measurements of the replicas since the last call.
	Measurements() []ReplicaMeasurement
}

// ReplicaMeasurement holds this host's measurements of a replica. InProgress, Ejected and
// EjectionReason are current; the other counts and the latencies are those since the last
// call of Picker.Measurements.
type ReplicaMeasurement struct {
	ID             ReplicaID
	InProgress     int
	Dispatched     uint64 // attempts sent to the replica
	Completed      uint64
	Failed         uint64
	FirstTokenP50  time.Duration
	InterTokenP50  time.Duration
	Ejected        bool
	EjectionReason string // empty when not ejected
}

// TeamUsage is a team's usage on this host. Except for InProgress, it covers the time since
// the last report.
type TeamUsage struct {
	Team               string
	Tokens             uint64
	InProgress         int    // requests in progress at the time of the report
	DemandedTokens     uint64 // tokens used plus those of refused requests
	DemandedInProgress int    // peak of requests in progress, plus one for each request refused after it
}

// ClassDemand is the demand for a model by class since the last report.
type ClassDemand struct {
	Class    string
	Model    string
	Requests uint64
	Tokens   uint64
	Refused  uint64
}

// Report is a host's report to control about its traffic.
type Report struct {
	Replicas []ReplicaMeasurement
	Teams    []TeamUsage
	Demand   []ClassDemand
	Limits   []ReplicaLimit
}
