package proxy

import (
	"context"
	"time"

	"heatherbarrow/internal/gateway/fleet"
)

// cutOff reports whether this host is cut off from all replicas. Other hosts have nobody else to ask for a time after it has
// declined a request, so that it tells a cut from replicas that have crashed together first.
func (s *Server) cutOff() bool {
	if !s.opts.Fleet.CutOff() {
		return false
	}
	if s.opts.Fleet.CutOffConfirmed() {
		go s.tryContact()
		return true
	}
	s.tryContact()
	return s.opts.Fleet.CutOffConfirmed()
}

// tryContact tries to connect to replicas if this host seems to be cut off from all of them and a trial is due. It waits for
// the end of a trial that has begun.
func (s *Server) tryContact() {
	_, _, _ = s.contactTrials.Do("", func() (any, error) {
		if members := s.opts.Fleet.ContactTrial(time.Now()); len(members) > 0 {
			s.runContactTrial(members)
		}
		return struct{}{}, nil
	})
}

// runContactTrial tries to connect to replicas until one accepts a connection.
func (s *Server) runContactTrial(members []fleet.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), fleet.ContactTrialInterval)
	defer cancel()
	reached := make(chan bool, len(members))
	for i := range members {
		go func() {
			err := s.opts.Client.Connect(ctx, members[i].Address, 0)
			reached <- err == nil
			s.opts.Logger.Info().Str("replica", members[i].ID).Err(err).Msg("host cut off from replicas tried to connect")
		}()
	}
	for range members {
		if <-reached {
			s.opts.Fleet.RecordContactTrial(true, time.Now())
			return
		}
	}
	s.opts.Fleet.RecordContactTrial(false, time.Now())
}
