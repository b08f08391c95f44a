package proxy

import (
	"context"
	"slices"
	"time"

	"heatherbarrow/internal/gateway/fleet"
)

const (
	// inspectTimeout is the time within which a live replica accepts a connection.
	inspectTimeout = 500 * time.Millisecond
	// inspectSettleTime is the time until the outcome of an inspection counts.
	inspectSettleTime = 50 * time.Millisecond
)

// inspect checks whether a replica that broke off a request is down, and reports it to the
// fleet.
func (s *Server) inspect(member fleet.Member, attemptID string) {
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	down, reached := s.opts.Client.Down(ctx, member.Address), true
	if down {
		// A partition that breaks the connections to other replicas too shows within this time.
		time.Sleep(inspectSettleTime)
		down, reached = s.confirmDown(ctx, member)
	}
	var evidence fleet.CrashEvidence
	if reached {
		evidence = s.opts.Fleet.RecordInspection(member.ID, down, time.Now())
	} else {
		evidence = s.opts.Fleet.RecordUnreached(member.ID, time.Now())
	}
	s.opts.Logger.Info().Str("request", attemptID).Str("replica", member.ID).Bool("down", down).Bool("others_reached", reached).
		Int("suspects", evidence.Suspects).Int("outages", evidence.Outages).Msg("replica broke off requests")
}

// confirmDown reports whether a replica that refused a connection is down, and whether this host reaches any other, if
// there is one: if not, its links may have failed.
func (s *Server) confirmDown(ctx context.Context, member fleet.Member) (down, reached bool) {
	witnesses, _ := s.opts.Fleet.Others(member.ID, maxWitnesses, time.Now())
	if len(witnesses) == 0 {
		return true, true
	}
	if !slices.ContainsFunc(witnesses, func(w fleet.Member) bool { return s.accepts(ctx, &w) }) {
		return true, false
	}
	if s.opts.Client.Down(ctx, member.Address) {
		s.opts.Fleet.RecordWitness()
		return true, true
	}
	s.opts.Fleet.RecordContact(time.Now()) // the links have failed and are back
	return false, true
}

// accepts reports whether a replica accepts a connection soon.
func (s *Server) accepts(ctx context.Context, member *fleet.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout/(maxWitnesses+1))
	defer cancel()
	return s.opts.Client.Connect(ctx, member.Address, 0) == nil
}
