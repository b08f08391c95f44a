// Package duty holds the duties that one host of a deployment performs at a time for all hosts: reporting the usage of
// teams to the platform, and ordering replicas. It decides what is reported and when, starts no goroutines and takes the
// time as an argument. A Keeper reads and writes the lease that it is given; nothing else performs I/O.
package duty

import (
	"context"
	"errors"

	"heatherbarrow/internal/objectstore"
)

// Name is the name of a duty in settings.
type Name string

// Duties.
const (
	Usage   Name = "usage_report"
	Scaling Name = "autoscale"
)

// Errors of API. Other errors mean that the call was not answered and may still be carried out.
var (
	// ErrConflict means that the platform has seen a higher token for the subject, or that it cannot carry out the
	// order now. Nothing was done.
	ErrConflict = errors.New("platform refused the call: higher token seen, or not available")
	// ErrRefused means that the platform did not carry out the call, for example because of its rate.
	ErrRefused = errors.New("platform did not carry out the call")
)

// Caller identifies the holder of a duty in calls.
type Caller struct {
	Host  string
	Token uint64 // fencing token of its lease
}

// Report is the usage of one window.
type Report struct {
	Window int64             `json:"window"` // number of the window since 1970
	Counts map[string]uint64 `json:"counts"` // requests that began to run, by team
}

// total returns the number of requests of all teams.
func (r Report) total() (n uint64) {
	for _, count := range r.Counts {
		n += count
	}
	return n
}

// Order is a number of replicas of an upstream that are wanted in a zone.
type Order struct {
	Upstream string `json:"upstream"`
	Zone     string `json:"zone"`
	Replicas int    `json:"replicas"`
	Spot     bool   `json:"spot,omitempty"` // replicas that cost less and may be reclaimed; counted separately from the others
}

// API is the platform's interface for duties.
type API interface {
	ReportUsage(ctx context.Context, c Caller, r Report) error
	OrderReplicas(ctx context.Context, c Caller, o Order) error
}

// eraShift leaves 40 bits of a token for revisions, and 13 bits for eras in the 53 bits that any JSON reader
// represents exactly.
const eraShift = 40

// Token returns the fencing token for the acquisition that wrote the object. Within an era of the store revisions rise;
// a later era begins after the store came back from a copy and gives out revisions again.
func Token(o objectstore.Object) uint64 { return o.Era<<eraShift + o.Version&(1<<eraShift-1) }
