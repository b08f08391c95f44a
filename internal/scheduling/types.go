// Package scheduling defines the types shared by the packages that decide which request
// runs next and on which replica. These packages perform no I/O: they take the time from a
// clock, the state from snapshots, and results from calls of the request path.
package scheduling

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/scheduling/poisonpart"
	"heatherbarrow/internal/scheduling/requestlimit"
)

// ReplicaID identifies a replica by its upstream and its name.
type ReplicaID struct {
	Upstream string
	Replica  string
}

// String returns "upstream/replica".
func (id ReplicaID) String() string { return id.Upstream + "/" + id.Replica }

// Hash returns a hash by which all hosts identify the replica.
func (id ReplicaID) Hash() uint64 { return xxhash.Sum64String(id.String()) }

// Request holds the properties of a request that scheduling depends on.
type Request struct {
	ID           string
	Class        int      // index into the bundle's classes
	Team         int      // index into the bundle's teams
	Upstreams    []int    // indexes of the upstreams that may serve it
	Model        string   // empty for calls to services
	Fingerprint  uint64   // hash of model and prompt; 0 for calls to services
	Parts        []uint64 // hashes of the prompt's messages but the last, which belongs to the request alone
	PrefixHashes []uint64 // hashes of prompt prefixes, each twice as long as the previous one, except the last, which is the whole prompt
	PromptTokens int
	MaxTokens    int // limit set by the caller; 0 when there is none
	Arrived      time.Time
	Deadline     time.Time
	Resumable    bool        // the stream may be preempted and continued
	Attempt      int         // 0 for the first attempt
	Exclude      []ReplicaID // replicas that must not serve the request, for example after a failed attempt
	// Generation is the generation of the bundle that Class, Team and Upstreams refer to;
	// 0 means the bundle in force.
	Generation uint64
	// Progress is the number of tokens that earlier attempts delivered to the caller.
	Progress int
	// Preempted is set when the previous attempt was preempted. The request was already
	// admitted, so that the team's limits, the retry budget and the queue limit do not
	// apply again.
	Preempted bool
	// Preemptions is the number of times the request was preempted.
	Preemptions int
	// PreviousNotRun is set when the previous attempt was refused before it ran. This
	// attempt then does not count against the retry budget.
	PreviousNotRun bool
	// UseReserve allows the request to take a slot that the picker reserves for the top
	// tier. The scheduler sets it for a lower class that runs less than its guaranteed
	// share or has waited too long.
	UseReserve bool
}

// AdmittedBefore reports whether the request was admitted before: it is a retry or was
// preempted.
func (r *Request) AdmittedBefore() bool { return r.Attempt > 0 || r.Preempted }

// ReplicaState is the membership state of a replica.
type ReplicaState int

const (
	// ReplicaLive means that the replica may receive requests.
	ReplicaLive ReplicaState = iota
	// ReplicaLeaving means that the replica completes its requests and receives no new
	// ones.
	ReplicaLeaving
	// ReplicaDead means that the replica is down and receives no requests.
	ReplicaDead
)

// ReplicaLoad is the latest state and load report of a replica.
type ReplicaLoad struct {
	ID         ReplicaID
	State      ReplicaState
	HasReport  bool // the fields below are set
	Running    int
	Waiting    int
	ReportedAt time.Time // time at which the replica was in the reported state
	Models     []string  // loaded models; empty when not reported
}

// QuarantineEntry is a fingerprint whose requests crashed replicas.
type QuarantineEntry struct {
	Fingerprint uint64
	Replicas    []ReplicaID // distinct replicas that crashed while running it
	Expires     time.Time
	Released    uint64 // number of releases; incremented by an operator's release and by a completion
}

// SuspectEvent reports to the other hosts that a request with the fingerprint or the parts crashed
// a replica, or completed on this host.
type SuspectEvent struct {
	Fingerprint uint64   // 0 if only Parts are concerned
	Parts       []uint64 // of the prompt; when Cleared is set, those that were suspects
	Model       string
	Replica     ReplicaID // the replica that crashed; empty when Cleared is set
	Cleared     bool      // a request with the fingerprint or the parts completed
}

// TeamShare is the part of a team's entitlement that this host may use in addition to its
// floor (see limits.FloorFraction) until Expires.
type TeamShare struct {
	Team            string
	TokensPerSecond float64
	InProgress      float64
	Expires         time.Time
}

// ReplicaLimit is the newest statement of a replica's request limit that a host knows of.
type ReplicaLimit struct {
	ID ReplicaID
	requestlimit.Known
}

// EntryHost is an entry host that control knows of.
type EntryHost struct {
	Name string
	Zone string
	Live bool
}

// View is the soft state that control supplies. It is immutable once it has been passed on.
type View struct {
	Version     uint64
	Replicas    []ReplicaLoad
	Quarantine  []QuarantineEntry
	Parts       []poisonpart.Entry // suspect parts of prompts
	Shares      []TeamShare
	Limits      []ReplicaLimit
	Hosts       []EntryHost
	HostsInZone int // hosts that share this zone's entitlements
	ZoneCount   int // zones that share an entitlement without weights
}

// Reasons for a RefusedError.
const (
	ReasonNoReplica   = "no_replica"
	ReasonQueueFull   = "queue_full"
	ReasonDeadline    = "deadline"
	ReasonTeamLimit   = "team_limit"
	ReasonQuarantined = "quarantined"
	// ReasonPartQuarantined means that a message of the prompt crashed the replicas that answered
	// requests with it.
	ReasonPartQuarantined = "quarantined_part"
	ReasonRetryBudget     = "retry_budget"
)

// RefusedError reports that a request was refused before anything was sent to a replica.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration // 0 when a retry would not succeed
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

// Decision explains a choice of replica for the log.
type Decision struct {
	Score        float64 // expected delay in seconds; lower is better
	Alternatives []Alternative
	Reason       string
	CrossZone    bool // the replica is in another zone
}

// Result is the result of an attempt.
type Result struct {
	Outcome  outcome.Outcome
	Tokens   int  // answer tokens that this attempt delivered
	Crashed  bool // the replica broke the connection while running the request
	Refused  bool // the replica refused the request before running it
	TimedOut bool // the replica sent no frame in time
	Canceled bool // the caller disconnected or the stream was preempted
}

// ParseReplicaID parses the output of ReplicaID.String. It returns false when the upstream or
// the replica is missing.
func ParseReplicaID(s string) (ReplicaID, bool) {
	upstream, replica, ok := strings.Cut(s, "/")
	return ReplicaID{Upstream: upstream, Replica: replica}, ok && upstream != "" && replica != ""
}
