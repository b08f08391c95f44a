package proxy

import (
	"time"

	"heatherbarrow/internal/gateway/fleet"
)

// Outcomes of requests.
const (
	outcomeCompleted  = "completed"
	outcomeNotRun     = "not-run"
	outcomeFailed     = "failed"  // the replica's own failure, passed on
	outcomeUnknown    = "unknown" // it may have run
	outcomeBroken     = "broken"  // the answer was broken off
	outcomeCallerGone = "caller-gone"
)

// record is what the decision line of a request tells.
type record struct {
	upstream   string
	outcome    string
	reason     string
	status     int
	retryAfter time.Duration
	refusal    *fleet.Refusal
	attempts   int
	choice     fleet.Choice
	first      time.Duration // from arrival to the first event
	pause      time.Duration // the longest between two events
	last       time.Time     // the last event
}

func (r *record) attempt(l *fleet.Lease) {
	r.attempts++
	r.choice = l.Choice
}

func (r *record) served(status int) {
	r.status = status
	r.outcome = outcomeCompleted
	if status >= 300 {
		r.outcome = outcomeFailed
	}
}

// event notes an event of a stream.
func (r *record) event(now time.Time) {
	if !r.last.IsZero() {
		r.pause = max(r.pause, now.Sub(r.last))
	}
	r.last = now
}

// finish logs and counts the request. It runs when the handler ends, also when
// the answer is broken off.
func (e *exchange) finish() {
	s := e.server
	took := time.Since(e.arrived)
	rec := &e.record
	line := s.opts.Logger.Info().Str("request", e.call.AttemptID).
		Str("outcome", rec.outcome).Int("status", rec.status).Dur("took_ms", took)
	if rec.reason != "" {
		line.Str("reason", rec.reason)
	}
	if e.table != nil {
		line.Int64("config_version", e.table.Version)
	}
	if e.route != nil {
		line.Str("route", e.route.Name).Str("upstream", rec.upstream).Int("urgency", e.urgency())
	}
	if !e.ends.IsZero() {
		line.Dur("left_ms", e.left(time.Now()))
	}
	if e.team != nil {
		line.Str("team", e.team.Name)
	}
	if rec.first > 0 {
		line.Dur("first_ms", rec.first).Dur("pause_ms", rec.pause)
	}
	if rec.attempts > 0 {
		c := &rec.choice
		line.Int("attempts", rec.attempts).Str("replica", c.Member.ID).Dur("expected_ms", c.Expected).
			Dur("backlog_ms", c.Backlog).Int("cached", c.Cached).Int("prompt", e.call.PromptTokens).
			Int("running", c.Running).Int("eligible", c.Eligible)
		if c.CopyFrom != "" {
			line.Str("copy_from", c.CopyFrom).Int("copied", c.Copied)
		}
	}
	if rec.refusal != nil {
		line.Dur("predicted_ms", rec.refusal.Expected).Dur("backlog_ms", rec.refusal.Backlog).
			Dur("target_ms", e.route.Target).Dur("waited_ms", e.waited)
	}
	if rec.retryAfter > 0 {
		line.Dur("retry_after_ms", rec.retryAfter)
	}
	line.Msg("request")
	s.metrics.ended(e, took)
}
