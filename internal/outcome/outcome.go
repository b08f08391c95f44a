// Package outcome defines how a request ends.
package outcome

// Outcome is one of the four words in which every request ends.
type Outcome string

const (
	// Completed means that the upstream's proper end was seen and passed on whole.
	Completed Outcome = "completed"
	// NotRun means that provably nothing was sent upstream, or that the upstream
	// itself refused the request before running it.
	NotRun Outcome = "not-run"
	// Failed means that the request ran and that its error is known.
	Failed Outcome = "failed"
	// Unknown means that the request may have run and that its result is not known.
	Unknown Outcome = "unknown"
)

// Header names of the caller's interface.
const (
	HeaderRequestID = "Heatherbarrow-Request-Id"
	HeaderOutcome   = "Heatherbarrow-Outcome"
	HeaderClass     = "Heatherbarrow-Class"
	HeaderKey       = "Idempotency-Key"
)

// Valid tells whether o is one of the four outcomes.
func (o Outcome) Valid() bool {
	switch o {
	case Completed, NotRun, Failed, Unknown:
		return true
	}
	return false
}

// Combine returns the outcome of a request from those of two of its attempts
// that did not complete. An attempt that may have run is never forgotten: not-run
// is left only when both attempts did not run.
func Combine(a, b Outcome) Outcome {
	for _, o := range [...]Outcome{Unknown, Failed} {
		if a == o || b == o {
			return o
		}
	}
	return NotRun
}
