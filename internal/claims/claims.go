// Package claims makes sure that a call that must not be repeated runs at most
// once: a router may run the call only after it was granted a claim on the call's
// key. Claims and outcomes are stored through the platform's object API as one
// segmented log per shard. docs/decisions/at-most-once.md explains why this is safe.
package claims

import (
	"context"
	"encoding/binary"
	"errors"
	"time"

	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/rpc"
)

// kindClaim is the object kind under which the platform stores log segments.
const kindClaim = "claim"

// ShardCount is the number of shards. All hosts must use the same number: it is
// stored in every segment, and claims are unavailable on a host that reads another
// number there.
const ShardCount = 8

const (
	maxBatchOperations  = 512  // operations in one write to the log or one message to a peer
	maxQueuedOperations = 4096 // a shard's writer refuses claims when its queue is this long

	// clockSkewMargin is added to the retention, so that a host whose clock is wrong
	// by up to this much never frees a key early.
	clockSkewMargin = 10 * time.Minute
	// maxSyncAge is the longest time for which an index is used without comparing
	// it with the platform. It is shorter than clockSkewMargin, so that a segment
	// created since the last comparison cannot have been deleted yet.
	maxSyncAge = clockSkewMargin / 2
	// minRetention is the lower bound of the retention. It makes sure that every
	// segment is kept for longer than maxSyncAge.
	minRetention = 2 * maxSyncAge
)

// Errors returned by the claim log and by Service. Responses with
// CLAIM_RESULT_UNAVAILABLE carry the text of an error to peers and callers.
var (
	// errLogChanged means that another host changed the log while this host read or
	// wrote it, so that the index had to be dropped.
	errLogChanged  = errors.New("claim log changed while it was read")
	errFormat      = errors.New("claim segment was written with another format or number of shards")
	errContention  = errors.New("claim log is contended")
	errUnavailable = errors.New("claim log is unavailable")
	// ErrOutcomesFull means that Options.MaxOutcomes outcomes are already waiting to
	// be written to the platform.
	ErrOutcomesFull = errors.New("too many outcomes wait for the platform")
	// errHashLength is also returned for a body hash that is too short.
	errHashLength = errors.New("claim key is too short")
)

// Claimer obtains claims and records the outcomes of the claimed calls.
type Claimer interface {
	// Claim asks for the right to run a call. When no claim can be obtained, the
	// result is CLAIM_RESULT_UNAVAILABLE; there is no separate error.
	Claim(ctx context.Context, request *rpc.ClaimRequest) *rpc.ClaimResponse
	// RecordOutcome queues the outcome of an attempt to be written to the log. It
	// does not wait for the platform.
	RecordOutcome(ctx context.Context, request *rpc.OutcomeRequest) error
}

// Store contains the methods of objectstore.Client that the log uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (objectstore.Object, error)
	List(ctx context.Context, kind, prefix string) ([]objectstore.Object, error)
	Create(ctx context.Context, kind, name string, value any) (objectstore.Object, error)
	Update(ctx context.Context, kind, name string, version uint64, value any) (objectstore.Object, error)
	Delete(ctx context.Context, kind, name string, version uint64) error
}

// shardOf returns the shard of a key. Keys are hashes, so their first bytes are
// evenly distributed.
func shardOf(k key) int { return int(binary.BigEndian.Uint16(k[:2])) % ShardCount }

// unavailable returns the response to a claim that could not be decided.
func unavailable(err error) *rpc.ClaimResponse {
	return &rpc.ClaimResponse{Result: rpc.ClaimResult_CLAIM_RESULT_UNAVAILABLE, Reason: err.Error()}
}
