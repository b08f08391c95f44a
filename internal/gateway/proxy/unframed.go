package proxy

import (
	"context"
	"errors"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/upstream"
)

// An answer with neither a length nor chunks ends with its connection. The kernel closes the connections of a process that
// was killed in the same way as the replica does after the last byte, so that such an answer is known to be complete only
// if its process lived after the end. A process that leaves ends its answers before it exits.

const (
	// witnessTime is the part of inspectTimeout in which other replicas are asked.
	witnessTime = 150 * time.Millisecond
	// maxWitnesses bounds the replicas that are asked. Half of all may have ended together.
	maxWitnesses = 6
	// questionPause is the time between two questions to a replica at which nothing answers.
	questionPause = 20 * time.Millisecond
)

// endOfAnswer is what was seen at the end of an unframed answer.
type endOfAnswer int

const (
	endLived       endOfAnswer = iota // its process lived afterwards
	endLeaving                        // the replica leaves
	endUntold                         // its replica answers and does not tell which process it is
	endNoReply                        // its replica did not answer in time
	endUnreachable                    // nothing answers, at other replicas either
	endReplaced                       // another process answers for the replica
	endDown                           // nothing answers for the replica, while others answer
	endOfHost                         // another host sent it, which marks the end of each answer
)

// endNames are the values of endOfAnswer in logs and metrics.
var endNames = [...]string{
	endLived: "process_lived", endLeaving: "replica_leaves", endUntold: "process_untold", endNoReply: "no_reply",
	endUnreachable: "unreachable", endReplaced: "process_replaced", endDown: "replica_down", endOfHost: "host_ended",
}

// broken reports whether the answer may be incomplete.
func (e endOfAnswer) broken() bool { return e == endReplaced || e == endDown || e == endOfHost }

// evident reports whether it is clear that the answer is complete, as far as its replica can tell.
func (e endOfAnswer) evident() bool { return e == endLived || e == endLeaving || e == endUntold }

// errProcessEnded means that the body of an unframed response ended with the replica's process.
var errProcessEnded = errors.New("response without a length ended with the replica's process")

// endedWithProcess reports whether a response whose body ended with its connection may be incomplete, because it may have
// ended with the replica's process. It is called when the end has been read.
func (e *exchange) endedWithProcess(response *upstream.Response, lease *fleet.Lease) bool {
	if !response.Unframed {
		return false
	}
	s := e.server
	endedAt := time.Now()
	bound, unbind := s.drain.Bound(e.r.Context())
	defer unbind()
	ctx, cancel := context.WithTimeout(bound, inspectTimeout)
	defer cancel()
	seen := e.inspectEnd(ctx, lease, endedAt)
	s.metrics.unframedEnds[seen].Inc(1)
	if !seen.evident() {
		s.opts.Logger.Info().Str("request", e.call.AttemptID).Str("replica", lease.Member.ID).Str("seen", endNames[seen]).
			Bool("broken", seen.broken()).Dur("elapsed_ms", time.Since(endedAt)).Msg("answer without a length ended")
	}
	return seen.broken()
}

// inspectEnd finds out whether the process that sent an unframed answer lived after its end. Nothing that answers is no
// proof of the contrary by itself: a full replica refuses connections, and the links of this host may have failed.
func (e *exchange) inspectEnd(ctx context.Context, lease *fleet.Lease, endedAt time.Time) endOfAnswer {
	if lease.Member.ID == "" {
		return endOfHost
	}
	if lease.Leaving(endedAt) {
		return endLeaving
	}
	askCtx, cancel := context.WithDeadline(ctx, endedAt.Add(inspectTimeout-witnessTime))
	defer cancel()
	in := inquiry{request: e.call.AttemptID, maxIdle: e.maxIdle(lease.Member.Upstream), after: endedAt}
	othersAsked := false
	for {
		if started, known := lease.ProcessAfter(endedAt); known {
			return endOfProcess(lease, started)
		}
		reply, started := e.server.askAfter(askCtx, &lease.Member, &in)
		switch {
		case reply == told:
			return endOfProcess(lease, started)
		case reply == untold:
			return endUntold
		case reply == noReply && (!in.newConnection || ctx.Err() != nil):
			return endNoReply
		case reply == refused && !othersAsked:
			if e.othersAnswer(askCtx, lease, endedAt) {
				return endDown
			}
			othersAsked = true
		}
		in.newConnection = true
		select {
		case <-askCtx.Done():
			return e.inspectSilentEnd(ctx, lease, endedAt)
		case <-time.After(questionPause):
		}
	}
}

// endOfProcess returns what it shows that the process with the given start lived after the end of an answer.
func endOfProcess(lease *fleet.Lease, started int64) endOfAnswer {
	if lease.SentTo(started) {
		return endLived
	}
	return endReplaced
}

// inspectSilentEnd is inspectEnd for a replica at which nothing has answered.
func (e *exchange) inspectSilentEnd(ctx context.Context, lease *fleet.Lease, endedAt time.Time) endOfAnswer {
	switch {
	case e.othersAnswer(ctx, lease, endedAt):
		return endDown
	case ctx.Err() != nil && e.abandoned():
		return endNoReply
	default:
		return endUnreachable
	}
}

// othersAnswer reports whether another replica answers, so that this host's links work, or whether there is no other one.
// A replica that tells which process it is must do so: a relay accepts connections with nothing behind it.
func (e *exchange) othersAnswer(ctx context.Context, lease *fleet.Lease, endedAt time.Time) bool {
	s := e.server
	others := s.opts.Fleet.Others(lease.Member.ID, maxWitnesses, endedAt)
	if len(others) == 0 {
		return true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan reply, len(others))
	for i := range others {
		other := &others[i]
		in := inquiry{request: e.call.AttemptID, maxIdle: e.maxIdle(other.Upstream), after: endedAt}
		go func() {
			r, _ := s.askAfter(ctx, other, &in)
			replies <- r
		}()
	}
	for range others {
		if r := <-replies; r == told || r == untold {
			return true
		}
	}
	return false
}
