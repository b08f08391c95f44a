package claims

import (
	"sync"
	"time"

	"heatherbarrow/internal/rpc"
)

type operationState int

const (
	statePending operationState = iota
	stateAbandoned
	stateDecided
)

// operation is a claim or an outcome on its way into the log.
type operation struct {
	record  record
	expires time.Time // claims only; bounded waiting at a writer that was asked by a peer
	// forwarded marks a peer's operation. Its own host resolves it when this host
	// cannot tell whether it was written.
	forwarded bool
	urgent    bool // do not wait for other operations to share a write with
	queued    time.Time
	release   func(o *operation) // called for a refused claim that may be in the log
	finished  func()             // called when an outcome is decided

	mu           sync.Mutex
	state        operationState
	maybeWritten bool // a write or a forward that holds it was sent
	response     *rpc.ClaimResponse
	err          error         // outcomes only
	done         chan struct{} // closed when decided
}

func (o *operation) isClaim() bool { return o.record.Outcome == "" }

// live tells whether somebody still waits for a claim. Outcomes are always live.
func (o *operation) live(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state == statePending && (o.expires.IsZero() || now.Before(o.expires))
}

func (o *operation) markSent() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.maybeWritten = true
}

// abandon takes back a claim. It returns false when the claim is decided
// already. After true is returned the claim can no longer be granted.
func (o *operation) abandon() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.state != statePending {
		return false
	}
	o.state = stateAbandoned
	return true
}

// finish decides an operation once. A claim that its caller was told is
// unavailable, but that is or may be in the log, is released.
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
	if o.finished != nil {
		o.finished()
	}
	if o.isClaim() && refused && written && o.release != nil {
		o.release(o)
	}
}

// decided returns the answer; it is valid after done is closed.
func (o *operation) decided() (*rpc.ClaimResponse, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.response, o.err
}
