package claims

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"heatherbarrow/internal/rpc"
)

// forwarder collects a shard's operations for the preferred writer on another host.
type forwarder struct {
	service *Service
	shard   int

	mu    sync.Mutex
	queue []*operation
	due   time.Time
}

// add queues operations until their window ends.
func (f *forwarder) add(operations ...*operation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clock := f.service.options.Clock
	for _, o := range operations {
		f.queue = append(f.queue, o)
		due := f.service.dueTime(o)
		if f.due.IsZero() || due.Before(f.due) {
			f.due = due
			clock.AfterFunc(max(0, due.Sub(clock.Now())), f.flush)
		}
	}
}

func (f *forwarder) flush() {
	f.mu.Lock()
	operations := f.queue
	f.queue, f.due = nil, time.Time{}
	f.mu.Unlock()
	host, self := f.service.preferred(f.shard)
	for len(operations) > 0 {
		n := min(len(operations), maxBatch)
		if self {
			f.service.writers[f.shard].add(operations[:n]...)
		} else {
			go f.forward(host, operations[:n])
		}
		operations = operations[n:]
	}
}

// close hands what is queued to the writer on this host.
func (f *forwarder) close() {
	f.mu.Lock()
	operations := f.queue
	f.queue = nil
	f.mu.Unlock()
	f.service.writers[f.shard].add(operations...)
}

// forward asks the preferred writer to append a batch. What it does not decide,
// this host writes itself: claims at once, outcomes with the next batch.
func (f *forwarder) forward(host Host, operations []*operation) {
	s := f.service
	request, claims := f.request(operations)
	ctx, cancel := context.WithTimeout(context.Background(), s.options.ForwardTimeout)
	defer cancel()
	response, err := s.options.Dial(host).AppendClaims(ctx, request)
	if err == nil && len(response.Claims) != len(claims) {
		err = eris.Errorf("%s answered %d of %d claims", host.Name, len(response.Claims), len(claims))
	}
	if err != nil {
		s.options.Logger.Debug().Err(err).Str("writer", host.Name).Int("shard", f.shard).Msg("claims could not be forwarded")
		s.avoidHost(host.Name)
	}
	for i, o := range claims {
		switch {
		case err == nil && !isUnavailable(response.Claims[i]):
			o.finish(response.Claims[i], nil)
		case o.live(s.options.Clock.Now()):
			s.writers[f.shard].add(o)
		default:
			o.finish(unavailable(errUnavailable), nil)
		}
	}
	f.finishOutcomes(operations, err)
}

// request builds the message and returns the claims in it.
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
		case !o.live(now):
			o.finish(unavailable(errUnavailable), nil)
		default:
			o.markSent()
			claims = append(claims, o)
			request.Claims = append(request.Claims, &rpc.ClaimRequest{
				Key: r.Key[:], BodyHash: r.Body[:], Attempt: r.Claim, WaitMs: uint32(s.options.ForwardTimeout.Milliseconds()),
			})
		}
	}
	return request, claims
}

func (f *forwarder) finishOutcomes(operations []*operation, err error) {
	for _, o := range operations {
		switch {
		case o.isClaim():
		case err == nil:
			o.finish(nil, nil)
		default:
			o.queued = f.service.options.Clock.Now()
			f.add(o)
		}
	}
}

// AppendClaims appends a peer's batch to this host's log of the shard. It
// returns an error unless all outcomes are in the log.
func (s *Service) AppendClaims(ctx context.Context, request *rpc.AppendClaimsRequest) (*rpc.AppendClaimsResponse, error) {
	if request.Shard >= ShardCount || len(request.Claims)+len(request.Outcomes) > 2*maxBatch {
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
		decided, _ := o.decided()
		response.Claims = append(response.Claims, decided)
	}
	for _, o := range outcomes {
		if err := awaitForwarded(ctx, o); err != nil {
			return nil, err
		}
	}
	return response, nil
}

func awaitForwarded(ctx context.Context, o *operation) error {
	select {
	case <-o.done:
		return nil
	case <-ctx.Done():
		return eris.Wrap(errUnavailable, ctx.Err().Error())
	}
}

func (s *Service) forwardedOperations(request *rpc.AppendClaimsRequest) (claims, outcomes []*operation, err error) {
	for _, c := range request.Claims {
		r, err := s.claimRecord(c)
		if err != nil || shardOf(r.Key) != int(request.Shard) {
			return nil, nil, eris.Errorf("claim %s is not of shard %d", c.Attempt, request.Shard)
		}
		r.Host = request.Host
		o := s.newOperation(r)
		o.forwarded = true
		o.expires = s.options.Clock.Now().Add(time.Duration(c.WaitMs) * time.Millisecond)
		claims = append(claims, o)
	}
	for _, c := range request.Outcomes {
		r, err := s.outcomeRecord(c)
		if err != nil || shardOf(r.Key) != int(request.Shard) {
			return nil, nil, eris.Errorf("outcome of %s is not of shard %d", c.Attempt, request.Shard)
		}
		o := s.newOperation(r)
		o.forwarded = true
		outcomes = append(outcomes, o)
	}
	return claims, outcomes, nil
}
