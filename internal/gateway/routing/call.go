package routing

import (
	"net/http"
	"time"

	"heatherbarrow/internal/scheduling/requestlimit"
)

// PromptPart is a part of a prompt, identified by an ID that the caller chooses: parts of equal
// content have equal IDs. Prompts that begin with the same parts can share an engine's prompt cache.
// The hash that package fleet uses for a part is derived from the model, the IDs of the parts before
// it and its own.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Call holds the metadata of a caller's request that is sent in headers.
type Call struct {
	AttemptID      string // identifies the caller's attempt; the replica returns it with the answer
	Model          string
	PromptTokens   int
	MaxTokens      int // upper bound on the length of the answer
	ExpectedTokens int // the caller's estimate of the length of the answer; 0 if unset
	Prompt         []PromptPart
	TimeLimit      time.Duration // how long the caller waits for the answer; 0 if unset
	Key            string        // API key, which identifies the team
	LastEventID    string        // the stream resumes after this event; empty for a new stream
	Resumes        string        // AttemptID of the attempt that brought the first event of the stream to resume
}

// Continues reports whether the caller has received the beginning of the stream in an earlier attempt.
func (c *Call) Continues() bool { return c.LastEventID != "" || c.Resumes != "" }

// Dispatch holds the metadata of a request that the gateway sends to a replica in addition to the
// caller's headers.
type Dispatch struct {
	ReplicaID   string        // the replica that the request is meant for
	Team        string        // empty on public routes
	Remaining   time.Duration // time until the request's deadline
	Urgency     int           // 0 is the most urgent; a negative value is not sent
	LastEventID string        // the stream resumes after this event; if empty, the caller's value is sent
	CopyFrom    string        // IP:port of a replica that holds the KV cache of a part of the prompt, to copy it from; empty if there is none
}

// Delegation holds what a request that another host is to run needs in addition to the caller's headers.
type Delegation struct {
	Remaining   time.Duration // time until the request's deadline
	LastEventID string        // the stream resumes after this event; if empty, the caller's value is sent
	Resumes     string        // attempt that brought the first event of the stream; if empty, the caller's value is sent
}

// Reply holds the metadata of a replica's answer that is sent in headers.
type Reply struct {
	AttemptID   string // the attempt that the answer belongs to
	Sealed      bool   // the answer has the seal header; the proxy treats a success without it as incomplete
	NotExecuted bool   // the replica did not and will not run the request
	ReplicaID   string
	// Brittle means that the replica falls over if it has to reject more than MaxRejections requests in a
	// second for want of room.
	Brittle       bool
	MaxRejections float64
	// Limit is the replica's statement about the requests that it takes from all hosts together.
	Limit          requestlimit.Statement
	Leaving        bool   // the replica is about to stop
	InvalidLeaving string // a statement about leaving that cannot be read; Leaving is then not set
	// Rest is how long a replica that rejected the request wants none of this host; 0 if it did not say.
	Rest        time.Duration
	InvalidRest string // such a time that cannot be read; Rest is then not set
	// InvalidLimit is the value of a stated limit that cannot be read. Limit is then not valid.
	InvalidLimit string
}

// Dialect reads and writes the headers of callers and replicas.
type Dialect interface {
	// Call reads the headers of a caller's request. If a header is invalid, the error names it,
	// but the fields of the other headers are set nonetheless.
	Call(h http.Header) (Call, error)
	// Forward returns the headers to send to a replica, based on the caller's headers.
	Forward(h http.Header, d Dispatch) http.Header
	// Delegate returns the headers to send to another host that is to run the request.
	Delegate(h http.Header, d Delegation) http.Header
	// Reply reads the headers of a replica's answer.
	Reply(status int, h http.Header) Reply
	// ProcessTarget returns the path at which a replica's process tells when it started.
	ProcessTarget() string
	// ProcessStarted reads that time, in the unit of the registration, from the answer.
	ProcessStarted(body []byte) (started int64, ok bool)
}
