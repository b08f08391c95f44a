package claims

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"heatherbarrow/internal/rpc"
)

// forwarder queues a shard's operations and sends them in batches to the preferred
// writer on another host.
type forwarder struct {
	service *Service
	shard   int

	mu    sync.Mutex
	queue []*operation
	dueAt time.Time // earliest scheduled flush; zero after a flush, although later timers may be pending
}

// add queues operations and schedules a flush for the time at which they are due.
func (f *forwarder) add(operations ...*operation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clock := f.service.options.Clock
	for _, o := range operations {
		f.queue = append(f.queue, o)
		dueAt := f.service.dueTime(o)
		if f.dueAt.IsZero() || dueAt.Before(f.dueAt) {
			f.dueAt = dueAt
			clock.AfterFunc(max(0, dueAt.Sub(clock.Now())), f.flush)
		}
	}
}

// flush chooses the preferred writer anew and passes the queued operations to it.
func (f *forwarder) flush() {
	f.mu.Lock()
	operations := f.queue
	f.queue, f.dueAt = nil, time.Time{}
	f.mu.Unlock()
	host, self := f.service.preferredWriter(f.shard)
	for len(operations) > 0 {
		count := min(len(operations), maxBatchOperations)
		if self {
			f.service.writers[f.shard].add(operations[:count]...)
		} else {
			go f.forward(host, operations[:count])
		}
		operations = operations[count:]
	}
}

// close passes the queued operations to the writer on this host.
func (f *forwarder) close() {
	f.mu.Lock()
	operations := f.queue
	f.queue = nil
	f.mu.Unlock()
	f.service.writers[f.shard].add(operations...)
}

// forward sends a batch to the preferred writer. Claims that the preferred writer
// leaves undecided are passed to this host's own writer, or refused if they are no
// longer pending. If the call fails, the outcomes go back into the queue, and the next
// flush chooses the preferred writer again.
func (f *forwarder) forward(host Host, operations []*operation) {
	s := f.service
	request, claims := f.request(operations)
	ctx, cancel := context.WithTimeout(context.Background(), s.options.ForwardTimeout)
	defer cancel()
	response, err := s.options.Dial(host).AppendClaims(ctx, request)
	if err == nil && len(response.Claims) != len(claims) {
		err = eris.Errorf("%s returned %d responses for %d claims", host.Name, len(response.Claims), len(claims))
	}
	if err != nil {
		s.options.Logger.Debug().Err(err).Str("writer", host.Name).Int("shard", f.shard).Msg("claims and outcomes could not be forwarded")
		s.backOffPeer(host.Name)
	}
	for i, o := range claims {
		switch {
		case err == nil && !isUnavailable(response.Claims[i]):
			o.finish(response.Claims[i], nil)
		case o.isPending(s.options.Clock.Now()):
			s.writers[f.shard].add(o)
		default:
			o.finish(unavailable(errUnavailable), nil)
		}
	}
	f.finishOutcomes(operations, err)
}

// request builds the message to the preferred writer and returns the claims in it.
// Claims that are no longer pending are refused and left out.
func (f *forwarder) request(operations []*operation) (*rpc.AppendClaimsRequest, []*operation) {
	s := f.service
	request := &rpc.AppendClaimsRequest{Shard: uint32(f.shard), Host: s.options.Host}
	var claims []*operation
	now := s.options.Clock.Now()
	for _, o := range operations {
		r := &o.record
		switch {
		case !o.isClaim():
			request.Outcomes = append(request.Outcomes, &rpc.OutcomeRequest{Key: r.Key[:], Attempt: r.Claim, Outcome: r.Outcome, Status: r.Status})
		case !o.isPending(now):
			o.finish(unavailable(errUnavailable), nil)
		default:
			o.markMaybeWritten()
			claims = append(claims, o)
			request.Claims = append(request.Claims, &rpc.ClaimRequest{
				Key: r.Key[:], BodyHash: r.Body[:], Attempt: r.Claim, WaitMs: uint32(s.options.ForwardTimeout.Milliseconds()),
			})
		}
	}
	return request, claims
}

// finishOutcomes finishes the outcomes of a batch that was forwarded, or queues them
// again if forwarding failed.
func (f *forwarder) finishOutcomes(operations []*operation, err error) {
	for _, o := range operations {
		switch {
		case o.isClaim():
		case err == nil:
			o.finish(nil, nil)
		default:
			o.queuedAt = f.service.options.Clock.Now()
			f.add(o)
		}
	}
}

// AppendClaims appends a batch from a peer to the log of a shard. Unless it returns an
// error, all outcomes of the batch are in the log. Peers send at most
// maxBatchOperations operations; AppendClaims accepts up to twice as many.
func (s *Service) AppendClaims(ctx context.Context, request *rpc.AppendClaimsRequest) (*rpc.AppendClaimsResponse, error) {
	if request.Shard >= ShardCount || len(request.Claims)+len(request.Outcomes) > 2*maxBatchOperations {
		return nil, eris.Errorf("shard %d with %d records is not acceptable", request.Shard, len(request.Claims)+len(request.Outcomes))
	}
	claims, outcomes, err := s.forwardedOperations(request)
	if err != nil {
		return nil, err
	}
	s.writers[request.Shard].add(append(outcomes, claims...)...)
	response := &rpc.AppendClaimsResponse{}
	for _, o := range claims {
		if err := awaitForwarded(ctx, o); err != nil {
			return nil, err
		}
		result, _ := o.result()
		response.Claims = append(response.Claims, result)
	}
	for _, o := range outcomes {
		if err := awaitForwarded(ctx, o); err != nil {
			return nil, err
		}
	}
	return response, nil
}

// awaitForwarded waits until a peer's operation is decided.
func awaitForwarded(ctx context.Context, o *operation) error {
	select {
	case <-o.done:
		return nil
	case <-ctx.Done():
		return eris.Wrap(errUnavailable, ctx.Err().Error())
	}
}

// forwardedOperations returns the operations of a peer's batch. It returns an error if
// one of them is malformed or belongs to another shard; the text of the error is the
// same for both.
func (s *Service) forwardedOperations(request *rpc.AppendClaimsRequest) (claims, outcomes []*operation, err error) {
	for _, c := range request.Claims {
		r, err := s.newClaimRecord(c)
		if err != nil || shardOf(r.Key) != int(request.Shard) {
			return nil, nil, eris.Errorf("claim %s is not of shard %d", c.Attempt, request.Shard)
		}
		r.Host = request.Host
		o := s.newOperation(r)
		o.forwarded = true
		o.expiresAt = s.options.Clock.Now().Add(time.Duration(c.WaitMs) * time.Millisecond)
		claims = append(claims, o)
	}
	for _, c := range request.Outcomes {
		r, err := s.newOutcomeRecord(c)
		if err != nil || shardOf(r.Key) != int(request.Shard) {
			return nil, nil, eris.Errorf("outcome of %s is not of shard %d", c.Attempt, request.Shard)
		}
		o := s.newOperation(r)
		o.forwarded = true
		outcomes = append(outcomes, o)
	}
	return claims, outcomes, nil
}
