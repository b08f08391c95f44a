package proxy

import (
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/upstream"
	"heatherbarrow/internal/scheduling/poisonpart"
)

// Outcomes of requests.
const (
	outcomeCompleted  = "completed"
	outcomeNotRun     = "not-run"
	outcomeFailed     = "failed"  // a replica's status of 300 or more, forwarded
	outcomeUnknown    = "unknown" // no usable response; the request may have run
	outcomeBroken     = "broken"  // the response broke off
	outcomeCallerGone = "caller-gone"
)

// record collects what is logged and counted about a request.
type record struct {
	upstream        string
	outcome         string
	reason          string
	status          int
	retryAfter      time.Duration
	refusal         *fleet.Refusal // set if the fleet picked no replica
	attempts        int
	helper          string                 // host that ran the request
	declined        string                 // value of declinedForHeader in the answer to the host that delegated the request
	choice          fleet.Choice           // of the latest attempt
	firstEventAfter time.Duration          // time from the arrival to the first event of a stream
	attemptFirst    time.Duration          // time from the choice of the latest replica to the first event of its stream; 0 without one
	longestPause    time.Duration          // between two events of a stream
	lastEventAt     time.Time              // of a stream
	events          int                    // of a stream, sent to the caller
	firstEventID    string                 // of these events
	lastEventID     string                 // of these events
	unframedEnd     endOfAnswer            // what was seen at the end of an unframed answer, if unframed is set
	unframedOthers  upstream.EndOfUnframed // what connections showed of that end
	unframed        bool                   // the latest answer had neither a length nor chunks, and its end has been read
	cutSuspected    bool                   // connections were suspected to be cut then
	verified        verification           // of the end of an unframed answer that may have been cut
}

// attempt records an attempt and the choice of its replica.
func (r *record) attempt(lease *fleet.Lease) {
	r.attempts++
	r.choice = lease.Choice
	r.attemptFirst = 0
}

// firstEventRatio returns the time to the first event of the latest attempt as a multiple of the prediction; 0 if there
// is no such event or prediction.
func (r *record) firstEventRatio() float64 {
	if r.choice.Expected <= 0 {
		return 0
	}
	return float64(r.attemptFirst) / float64(r.choice.Expected)
}

// responded records that a replica's response with this status is forwarded.
func (r *record) responded(status int) {
	r.status = status
	r.outcome = outcomeCompleted
	if status >= 300 {
		r.outcome = outcomeFailed
	}
}

// event records that an event of a stream was forwarded.
func (r *record) event(id string, now time.Time) {
	if r.events == 0 {
		r.firstEventID = id
	}
	r.events++
	r.lastEventID = id
	if !r.lastEventAt.IsZero() {
		r.longestPause = max(r.longestPause, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
}

// finish logs and counts the request. It runs whenever the handler ends, including by a
// panic that aborts the response.
func (e *exchange) finish() {
	s := e.server
	e.settleEnd(verifiedNot)
	elapsed := time.Since(e.arrived)
	rec := &e.record
	entry := s.opts.Logger.Info().Str("request", e.call.AttemptID).
		Str("outcome", rec.outcome).Int("status", rec.status).Dur("took_ms", elapsed)
	if rec.reason != "" {
		entry.Str("reason", rec.reason)
	}
	if e.table != nil {
		entry.Int64("config_version", e.table.Version)
	}
	if e.route != nil {
		entry.Str("route", e.route.Name).Str("upstream", rec.upstream).Int("urgency", e.urgency())
	}
	if !e.deadline.IsZero() {
		entry.Dur("left_ms", e.timeLeft(time.Now()))
	}
	if e.team != nil {
		entry.Str("team", e.team.Name)
	}
	if rec.firstEventAfter > 0 {
		entry.Dur("first_ms", rec.firstEventAfter).Dur("pause_ms", rec.longestPause)
	}
	if rec.events > 0 {
		entry.Int("events", rec.events).Str("first_event", rec.firstEventID).Str("last_event", rec.lastEventID)
	}
	if rec.unframed {
		entry.Str("unframed_end", endNames[rec.unframedEnd]).Dur("end_after_ms", rec.unframedOthers.Idle).
			Dur("end_awaited_ms", rec.unframedOthers.Awaited).Bool("cuts_suspected", rec.cutSuspected).Int("others_ended", rec.unframedOthers.Ended).Int("others_open", rec.unframedOthers.Open).Int("ended_elsewhere", rec.unframedOthers.Elsewhere).
			Int("others_near", rec.unframedOthers.Near).Int("near_elsewhere", rec.unframedOthers.NearElsewhere).Int("others_at_once", rec.unframedOthers.AtOnce)
	}
	if rec.verified != "" {
		entry.Str("end_verified", string(rec.verified))
	}
	if rec.attempts > 0 {
		picked := &rec.choice
		entry.Int("attempts", rec.attempts).Str("replica", picked.Member.ID).Str("software", picked.Member.SoftwareVersion).Dur("expected_ms", picked.Expected).
			Dur("backlog_ms", picked.Backlog).Int("cached", picked.Cached).Int("prompt", e.call.PromptTokens).
			Int("running", picked.Running).Int("running_elsewhere", picked.RunningElsewhere).Int("eligible", picked.Eligible).
			Dur("backlog_elsewhere_ms", picked.BacklogElsewhere).Float64("slowness", picked.Slowness).Bool("other_zone", picked.OtherZone)
		if picked.OtherZone {
			entry.Dur("zone_cost_ms", picked.ZoneCost)
		}
		if rec.attemptFirst > 0 {
			entry.Dur("attempt_first_ms", rec.attemptFirst)
		}
		if picked.CopyFrom != "" {
			entry.Str("copy_from", picked.CopyFrom).Int("copied", picked.Copied)
		}
	}
	if e.call.Continues() {
		entry.Str("resumes", e.call.Resumes).Str("after_event", e.call.LastEventID)
	}
	if rec.helper != "" {
		entry.Str("helper", rec.helper)
	}
	if e.delegated {
		entry.Str("delegated_by", e.r.RemoteAddr)
	}
	if rec.declined != "" {
		entry.Str("declined", rec.declined)
	}
	if rec.attempts > 0 && rec.choice.Limit.Limited {
		entry.Float64("limit_per_second", rec.choice.Limit.PerSecond)
	}
	if rec.refusal != nil && rec.refusal.Reason == fleet.ReasonPoisonPart {
		entry.Str("part", poisonpart.Name(rec.refusal.Part))
	}
	if rec.refusal != nil {
		entry.Dur("predicted_ms", rec.refusal.Expected).Dur("backlog_ms", rec.refusal.Backlog).
			Dur("target_ms", e.route.Target).Dur("waited_ms", e.waitedBefore)
		if unreached, last := s.opts.Fleet.Reach(); unreached > 0 || rec.refusal.Reason == fleet.ReasonUnreachable {
			entry.Int("unreached", unreached).Str("contact", string(last.Sign)).Str("contact_replica", last.Replica).
				Dur("contact_ago_ms", time.Since(last.At))
		}
	}
	if rec.retryAfter > 0 {
		entry.Dur("retry_after_ms", rec.retryAfter)
	}
	entry.Msg("request")
	s.metrics.requestEnded(e, elapsed)
}
