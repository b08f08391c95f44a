package scheduling

import (
	"time"

	"heatherbarrow/internal/bundle"
)

// Choice is the replica picked for a request.
type Choice struct {
	Replica  ReplicaID
	Address  string // IP:port
	Decision Decision
	// CachedTokens is the part of the prompt that the replica is expected to hold.
	CachedTokens int
}

// Picker chooses a replica for a request and keeps what this host knows of the
// replicas. The scheduler calls all methods with its lock held; an
// implementation needs no lock of its own and must not block.
type Picker interface {
	// Update installs a new bundle or view; a nil argument leaves the old one.
	Update(snapshot *bundle.Snapshot, view *View)
	// Pick takes a slot on the best replica for the request. It returns false
	// when no replica can take the request now; Refusal tells why.
	Pick(r *Request) (Choice, bool)
	// Slots returns the number of slots over all replicas that may serve the
	// request now, and how many of them are free.
	Slots(r *Request) (total, free int)
	// PlannedSlots returns the number of slots over all replicas of the bundle that
	// hold the model, including those that cannot serve now.
	PlannedSlots(r *Request) int
	// Refusal returns a *RefusedError when the request can never run as things
	// are, for example because its fingerprint is quarantined; nil otherwise.
	Refusal(r *Request) *RefusedError
	// FirstToken records the time from dispatch to the first token.
	FirstToken(id ReplicaID, r *Request, latency time.Duration)
	// Tokens records n further tokens that took elapsed since the ones before.
	Tokens(id ReplicaID, n int, elapsed time.Duration)
	// Finish gives the slot back.
	Finish(id ReplicaID, r *Request, result Result)
	// SuspectEvents returns the crashes of fingerprints and the completions of
	// suspects since the last call.
	SuspectEvents() []SuspectEvent
	// Tick does work that depends on time alone; it is called every 50 ms.
	Tick()
	// Measurements returns what was measured since the last call.
	Measurements() []ReplicaMeasurement
}

// ReplicaMeasurement is what this host measured of a replica.
type ReplicaMeasurement struct {
	ID             ReplicaID
	InProgress     int
	Dispatched     uint64 // since the last report
	Completed      uint64
	Failed         uint64
	FirstTokenP50  time.Duration
	InterTokenP50  time.Duration
	Ejected        bool
	EjectionReason string // why, when ejected
}

// TeamUsage is what this host used for a team since the last report.
type TeamUsage struct {
	Team               string
	Tokens             uint64
	InProgress         int
	DemandedTokens     uint64 // used plus refused
	DemandedInProgress int
}

// ClassDemand is the demand for a model by class since the last report.
type ClassDemand struct {
	Class    string
	Model    string
	Requests uint64
	Tokens   uint64
	Refused  uint64
}

// Report is what a host tells control about its traffic.
type Report struct {
	Replicas []ReplicaMeasurement
	Teams    []TeamUsage
	Demand   []ClassDemand
}
