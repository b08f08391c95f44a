package claims

import (
	"sync"
	"time"

	"heatherbarrow/internal/rpc"
)

type operationState int

const (
	statePending   operationState = iota
	stateAbandoned                // the caller of Claim stopped waiting
	stateDecided
)

// operation is a claim or an outcome that is to be written to the log.
type operation struct {
	record    record
	expiresAt time.Time // set only for a peer's claim: when the peer stops waiting for it
	// forwarded marks an operation that a peer sent. Even an outcome that is not
	// urgent then waits only BatchWindow, because it has already waited in the
	// peer's queue.
	forwarded bool
	urgent    bool // wait only BatchWindow for other operations to share a write with
	queuedAt  time.Time
	// releaseKey is called for a refused claim whose record may be in the log. It is
	// nil for a peer's claim, which the peer releases.
	releaseKey func(o *operation)
	onDecided  func() // called when an outcome is in the log or needs no record there

	mu           sync.Mutex
	state        operationState
	maybeWritten bool // was sent in a write to the platform or to a peer
	response     *rpc.ClaimResponse
	err          error         // outcomes only
	done         chan struct{} // closed when the state becomes stateDecided
}

func (o *operation) isClaim() bool { return o.record.Outcome == "" }

// isPending reports whether the operation is neither decided nor abandoned nor expired.
// Only claims can be abandoned or expire.
func (o *operation) isPending(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state == statePending && (o.expiresAt.IsZero() || now.Before(o.expiresAt))
}

func (o *operation) markMaybeWritten() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.maybeWritten = true
}

// abandon withdraws a claim that is not decided yet. If it returns true, the claim can
// no longer be granted. It returns false if the claim was already decided.
func (o *operation) abandon() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.state != statePending {
		return false
	}
	o.state = stateAbandoned
	return true
}

// finish sets the result of an operation; later calls have no effect. A claim that
// was abandoned or is reported as unavailable, but whose record is or may be in the
// log, is released.
func (o *operation) finish(response *rpc.ClaimResponse, err error) {
	o.mu.Lock()
	if o.state == stateDecided {
		o.mu.Unlock()
		return
	}
	abandoned := o.state == stateAbandoned
	o.state, o.response, o.err = stateDecided, response, err
	refused := abandoned || response != nil && response.Result == rpc.ClaimResult_CLAIM_RESULT_UNAVAILABLE
	written := o.maybeWritten || response != nil && response.Result == rpc.ClaimResult_CLAIM_RESULT_GRANTED
	close(o.done)
	o.mu.Unlock()
	if o.onDecided != nil {
		o.onDecided()
	}
	if o.isClaim() && refused && written && o.releaseKey != nil {
		o.releaseKey(o)
	}
}

// result returns the result of the operation. It is valid after done is closed.
func (o *operation) result() (*rpc.ClaimResponse, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.response, o.err
}
