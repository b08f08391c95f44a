// Package scheduling decides which request runs next and on which replica. It
// performs no I/O: time comes from a clock, state from snapshots, and results
// from the calls of the traffic path.
package scheduling

import (
	"fmt"
	"strings"
	"time"

	"heatherbarrow/internal/outcome"
)

// ReplicaID names a replica.
type ReplicaID struct {
	Upstream string
	Replica  string
}

// String returns "upstream/replica".
func (id ReplicaID) String() string { return id.Upstream + "/" + id.Replica }

// Request is what scheduling needs to know of a request.
type Request struct {
	ID           string
	Class        int    // index into the bundle's classes
	Team         int    // index into the bundle's teams
	Upstreams    []int  // indexes of the upstreams that may serve it
	Model        string // empty for calls to services
	Fingerprint  uint64 // hash of model and prompt; 0 for calls to services
	PrefixHashes []uint64
	PromptTokens int
	MaxTokens    int // bound given by the caller; 0 when there is none
	Arrived      time.Time
	Deadline     time.Time
	Resumable    bool        // the stream may be preempted and continued
	Attempt      int         // 0 for the first attempt
	Exclude      []ReplicaID // replicas not to be used, for example after a failed attempt
	// Generation is the bundle generation that the indexes above refer to; 0
	// stands for the generation in force.
	Generation uint64
	// Progress is the number of tokens that earlier attempts passed on.
	Progress int
	// Preempted tells that the attempt before this one was preempted. The request
	// was admitted before, so that neither the team's limits nor the retry budget
	// nor the queue's bound apply to it again.
	Preempted bool
	// Preemptions counts how often the request was preempted so far.
	Preemptions int
	// EarlierNotRun tells that the attempt before this one was refused before it
	// ran, so that this one does not count against the retry budget.
	EarlierNotRun bool
	// UseReserve tells the picker that the request may take a slot that it keeps
	// free for the top tier. The scheduler sets it when a lower class runs less
	// than its guaranteed share or has waited too long.
	UseReserve bool
}

// Returning tells whether the request was admitted before, as a retry or after a
// preemption.
func (r *Request) Returning() bool { return r.Attempt > 0 || r.Preempted }

// ReplicaState is the membership state of a replica.
type ReplicaState int

const (
	// ReplicaLive may receive work.
	ReplicaLive ReplicaState = iota
	// ReplicaLeaving receives no new work.
	ReplicaLeaving
	// ReplicaDead receives no work.
	ReplicaDead
)

// ReplicaLoad is the last known report of a replica.
type ReplicaLoad struct {
	ID         ReplicaID
	State      ReplicaState
	HasReport  bool
	Running    int
	Waiting    int
	ReportedAt time.Time // when the replica was in the reported state
	Models     []string  // models loaded; empty when not reported
}

// QuarantineEntry is a fingerprint that crashed replicas.
type QuarantineEntry struct {
	Fingerprint uint64
	Replicas    []ReplicaID // distinct replicas that crashed while running it
	Expires     time.Time
	Released    uint64 // raised by an operator's release and by a completion
}

// SuspectEvent is what this host learned of a fingerprint and the others must know.
type SuspectEvent struct {
	Fingerprint uint64
	Model       string
	Replica     ReplicaID // the replica that crashed; empty when cleared
	Cleared     bool      // a request with the fingerprint completed
}

// TeamShare is a share of a team's entitlement for this host.
type TeamShare struct {
	Team            string
	TokensPerSecond float64
	InProgress      float64
	Expires         time.Time
}

// View is the soft state that control supplies. It is never changed after it
// has been handed over.
type View struct {
	Version     uint64
	Replicas    []ReplicaLoad
	Quarantine  []QuarantineEntry
	Shares      []TeamShare
	HostsInZone int // hosts that divide this zone's entitlements
	ZoneCount   int // zones that divide an entitlement without weights
}

// Refusal reasons.
const (
	ReasonNoReplica   = "no_replica"
	ReasonQueueFull   = "queue_full"
	ReasonDeadline    = "deadline"
	ReasonTeamLimit   = "team_limit"
	ReasonQuarantined = "quarantined"
	ReasonRetryBudget = "retry_budget"
)

// RefusedError tells that a request was refused before anything was sent.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration // 0 when a retry cannot help
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.RetryAfter == 0 {
		return "request refused: " + e.Reason
	}
	return fmt.Sprintf("request refused: %s, retry after %s", e.Reason, e.RetryAfter.Round(time.Millisecond))
}

// Alternative is a replica that was considered but not chosen.
type Alternative struct {
	Replica ReplicaID
	Score   float64 // lower is better
}

// Decision explains an assignment in the log.
type Decision struct {
	Score        float64 // expected delay in seconds; lower is better
	Alternatives []Alternative
	Reason       string
	CrossZone    bool
}

// Result tells how an attempt ended.
type Result struct {
	Outcome  outcome.Outcome
	Tokens   int  // tokens of the answer passed on in this attempt
	Crashed  bool // the replica broke the connection while running the request
	Refused  bool // the replica refused the request before running it
	TimedOut bool // the replica gave no frame in time
	Canceled bool // the caller hung up or the stream was preempted
}

// ParseReplicaID reads the form that ReplicaID.String writes.
func ParseReplicaID(s string) (ReplicaID, bool) {
	upstream, replica, ok := strings.Cut(s, "/")
	return ReplicaID{Upstream: upstream, Replica: replica}, ok && upstream != "" && replica != ""
}
