package proxy

import (
	"context"
	"time"

	"heatherbarrow/internal/gateway/fleet"
)

// What has the address of an ended process may answer questions without being a replica: a balancer, a service of another
// kind, or the next process as it starts. Replicas of one upstream are alike, so that one tells which process it is if
// others do.

// mustTell reports whether the replica is known to tell which process it is, or another one of its upstream is. A replica that
// did not tell before the request was sent need not tell afterwards.
func (e *exchange) mustTell(ctx context.Context, lease *fleet.Lease) bool {
	if lease.Member.Started == 0 || lease.ProcessUntold() {
		return false
	}
	known, others := lease.OthersTell(maxWitnesses, time.Now())
	if known {
		return true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan reply, len(others))
	for i := range others {
		in := inquiry{request: e.call.AttemptID, maxIdle: e.maxIdle(others[i].Upstream)}
		go func() {
			answer, _ := e.server.askAfter(ctx, &others[i], &in)
			replies <- answer
		}()
	}
	for range others {
		if <-replies == told {
			return true
		}
	}
	return false
}
