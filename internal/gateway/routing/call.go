package routing

import (
	"net/http"
	"time"
)

// PromptPart is a part of a prompt as a caller names it.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Call is what a request says of itself beside its method, path and body.
type Call struct {
	AttemptID    string // identifies this attempt of the caller; repeated by the replica
	Model        string
	PromptTokens int
	MaxTokens    int // bound of the answer
	ExpectTokens int // the caller's estimate of the answer; 0 when there is none
	Prompt       []PromptPart
	Deadline     time.Duration // how long the caller waits; 0 when it does not say
	Key          string        // identifies the team
	LastEventID  string        // the stream continues after this event
}

// Dispatch is what the gateway tells a replica.
type Dispatch struct {
	ReplicaID   string
	Team        string // empty on public routes
	Left        time.Duration
	Urgency     int    // 0 is the most urgent; negative leaves it out
	LastEventID string // the stream continues after this event; empty leaves the caller's
	CopyFrom    string // IP:port of a replica that holds a part of the prompt; empty when there is none
}

// Reply is what a replica says of its answer beside status and body.
type Reply struct {
	AttemptID   string // the request that the answer belongs to
	Sealed      bool   // the replica vouches for the answer
	NotExecuted bool   // the replica did not and will not run the request
	ReplicaID   string
}

// Dialect translates the headers of callers and replicas.
type Dialect interface {
	// Call reads the headers of a caller's request. The error names a header that
	// cannot be read; the other fields are set.
	Call(h http.Header) (Call, error)
	// Forward returns the headers for a replica, made from those of the caller.
	Forward(h http.Header, d Dispatch) http.Header
	// Reply reads the headers of a replica's answer.
	Reply(status int, h http.Header) Reply
}
