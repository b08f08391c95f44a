package proxy

import (
	"context"
	"sync"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/upstream"
)

// The end of an unframed answer tells little if its connection is the only one to the replica. While such an answer arrives, the
// host therefore probes the replica on other connections, which stay idle between the probes: what ends a process, or the connections
// to it on the way, ends these too, and a replica that ends its answer in order does not.

const (
	// probesPerReplica is the wanted number of these connections, as what cuts a share of the connections may spare one. Fewer are kept while
	// one that was lost is not replaced.
	probesPerReplica = upstream.MaxReserved
	// probeDelay spares answers that arrive at once the questions.
	probeDelay = 50 * time.Millisecond
	// probeInterval is the time between two probes on a connection, if the replica keeps idle connections for longer.
	probeInterval    = time.Second
	minProbeInterval = 200 * time.Millisecond
	// probeRetryInterval is the time after which a replica is probed again that has kept no connection, as one that is full.
	probeRetryInterval = 5 * time.Second
	// probeIdleShare is the share of the time for which a connection may be idle after which it is used again.
	probeIdleShare = 0.8
)

// probes are the replicas from which unframed answers arrive.
type probes struct {
	mu   sync.Mutex
	kept map[string]*probedReplica // by address
}

// probedReplica is a replica from which unframed answers arrive.
type probedReplica struct {
	address string
	answers int
	stop    context.CancelFunc
}

// probeCount returns the number of connections that are kept at a replica where maxIdle may be idle, as of upstream.Request. Any more
// would be closed after each question.
func probeCount(maxIdle int) int {
	if maxIdle == 0 {
		return probesPerReplica
	}
	return min(probesPerReplica, max(maxIdle-1, 0))
}

// beginProbes probes the replica of an unframed answer until endProbes is called. A replica that wants no or few requests is left
// alone.
func (e *exchange) beginProbes(lease *fleet.Lease) {
	s, address := e.server, lease.Member.Address
	maxIdle := e.maxIdle(lease.Member.Upstream)
	if lease.Member.ID == "" || lease.Member.Started == 0 || probeCount(maxIdle) == 0 {
		return
	}
	c := &s.probes
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kept == nil {
		c.kept = make(map[string]*probedReplica)
	}
	a := c.kept[address]
	if a == nil {
		ctx, cancel := context.WithCancel(context.Background())
		a = &probedReplica{address: address, stop: cancel}
		c.kept[address] = a
		go s.runProbes(ctx, lease, e.call.AttemptID, maxIdle)
	}
	a.answers++
	e.probed = a
}

// endProbes ends what beginProbes began, if it did. The connections stay open for a while.
func (e *exchange) endProbes() {
	a := e.probed
	if a == nil {
		return
	}
	e.probed = nil
	c := &e.server.probes
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.answers--; a.answers == 0 {
		a.stop()
		delete(c.kept, a.address)
	}
}

// runProbes probes the replica on as many connections as are kept open, until the context ends. They are used at different times, so
// that a replica which closes idle connections does not close them together.
func (s *Server) runProbes(ctx context.Context, lease *fleet.Lease, attemptID string, maxIdle int) {
	wait(ctx, probeDelay)
	idle, kept := s.opts.Client.ReservedFor(lease.Member.Address, time.Now())
	for i := range probeCount(maxIdle) {
		// A question that is answered before the next one is asked leaves its connection to that one.
		newConnection := i >= kept || idle <= 0
		go func() {
			pause := s.probe(ctx, lease, attemptID, maxIdle, newConnection)
			if i > 0 && pause <= probeInterval {
				pause /= 2
			}
			for wait(ctx, pause); ctx.Err() == nil; wait(ctx, pause) {
				pause = s.probe(ctx, lease, attemptID, maxIdle, false)
			}
		}()
	}
}

// probe asks the replica which process it is, unless it wants few requests, and returns the time until the next probe. The question
// is left to end if the context ends, as a connection that is reset cannot serve again.
func (s *Server) probe(ctx context.Context, lease *fleet.Lease, attemptID string, maxIdle int, newConnection bool) (pause time.Duration) {
	if ctx.Err() != nil || lease.WantsFewRequests(time.Now()) {
		return minProbeInterval
	}
	s.metrics.probeQuestions.Inc(1)
	questionCtx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	askedAt, status, body, err := s.question(questionCtx, lease.Member.Address, maxIdle, newConnection)
	if err != nil {
		return s.nextProbe(lease.Member.Address)
	}
	if current, registered := s.opts.Fleet.ProcessLease(lease.Member.ID); registered && current.Member.Address == lease.Member.Address {
		s.recordProcess(current, attemptID, askedAt, status, body)
	}
	return s.nextProbe(lease.Member.Address)
}

// nextProbe returns the time until the next probe of the replica at the address.
func (s *Server) nextProbe(address string) time.Duration {
	idle, reserved := s.opts.Client.ReservedFor(address, time.Now())
	if reserved == 0 {
		return probeRetryInterval
	}
	return min(max(time.Duration(probeIdleShare*float64(idle)), minProbeInterval), probeInterval)
}
