package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"heatherbarrow/internal/forward"
	"heatherbarrow/internal/scheduler"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/picker"
	"heatherbarrow/internal/scheduling/statement"
)

// processAskInterval is the mean time between two questions to a replica that gets no requests, for the process that
// answers at its address. It bounds how long a successor goes unused; all hosts ask, and the replica may be overloaded.
const processAskInterval = 5 * time.Second

// recordStatement returns what applies the statement of an answer about the process that gave it.
func (e *exchange) recordStatement(a *scheduler.Assignment) forward.OnStatement {
	return func(said statement.Statement, invalid []string) {
		if len(invalid) > 0 {
			e.server.Logger.Warn().Str("request", e.id).Str("replica", a.Replica.String()).Strs("values", invalid).
				Msg("replica states something of itself that cannot be read")
		}
		e.server.noteStatement(a.RecordStatement(said), &said, a.Address, func(event *zerolog.Event) {
			event.Str("request", e.id).Str("replica", a.Replica.String())
		})
	}
}

// noteStatement logs and counts what a statement changed. addContext adds what else is known of the answer.
func (s *Server) noteStatement(change statement.Change, said *statement.Statement, address string, addContext func(*zerolog.Event)) {
	event := func() *zerolog.Event {
		event := s.Logger.Info().Str("address", address)
		addContext(event)
		if said.Process != "" {
			event = event.Str("process", said.Process)
		}
		if !change.Until.IsZero() {
			event = event.Time("until", change.Until)
		}
		return event
	}
	if change.Replaced {
		event().Msg("another process answers for the replica, what the one before said has ended")
	}
	if change.Leaving {
		s.metrics.leavingReplicas.Inc(1)
		event().Bool("leaving", true).Msg("replica says that it leaves")
	}
	if change.Resting {
		s.metrics.restingReplicas.Inc(1)
		event().Dur("rest", said.Rest).Msg("replica wants no requests for a time")
	}
}

// retryAfter returns when a caller may come back whose request no replica took.
func (e *exchange) retryAfter(request scheduling.Request) time.Duration {
	request.Exclude = nil
	rest, _ := e.server.Scheduler.RestEnds(request)
	return max(rest, retrySoon)
}

// AskHeld asks which processes answer where ones get no requests because of what they said, until ctx ends: a successor at the same
// address begins afresh, and control may not be there to tell of it.
func (s *Server) AskHeld(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, processAskInterval/2+rand.N(processAskInterval))
		s.askHeld(ctx)
	}
}

// askHeld asks once at each such address whose process states itself.
func (s *Server) askHeld(ctx context.Context) {
	var questions sync.WaitGroup
	for _, held := range s.Scheduler.HeldProcesses() {
		if held.Process != "" {
			questions.Go(func() { s.askProcess(ctx, &held) })
		}
	}
	questions.Wait()
}

func (s *Server) askProcess(ctx context.Context, held *picker.HeldProcess) {
	asked := time.Now()
	process, err := s.Forward.Process(ctx, held.Address)
	if err != nil {
		return // what it said holds
	}
	said := statement.Statement{Process: process}
	s.noteStatement(s.Scheduler.RecordProcess(held.Address, process, asked), &said, held.Address, func(*zerolog.Event) {})
}
