package router

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"heatherbarrow/internal/forward"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/scheduler"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/poisonpart"
	"heatherbarrow/internal/scheduling/requestlimit"
)

const (
	reportInterval = 500 * time.Millisecond
	// reportTimeout is longer than the interval, so that a slow control does not
	// lose each report; reports are sent one at a time.
	reportTimeout = 2 * time.Second
	// crashRetries bounds the time in which a crash is reported again.
	crashRetries = 10 * time.Second
)

// Report tells control what this host measured and used, until ctx ends.
func (s *Server) Report(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.sendReport(ctx)
		}
	}
}

func (s *Server) sendReport(ctx context.Context) {
	report := s.Scheduler.Report()
	s.noteEjections(report.Replicas)
	request := reportToRPC(report)
	request.Streams = uint32(s.inFlight.Load())
	request.Generation = s.generation()
	request.Draining = s.drain.Begun()
	request.Results = s.metrics.results()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := s.Feed.Report(ctx, request); err != nil {
		s.Logger.Debug().Err(err).Msg("report could not be sent")
	}
}

func reportToRPC(report scheduling.Report) *rpc.ReportRequest {
	out := &rpc.ReportRequest{}
	for i := range report.Replicas {
		m := &report.Replicas[i]
		out.Replicas = append(out.Replicas, &rpc.ReplicaMeasurement{
			Upstream: m.ID.Upstream, Replica: m.ID.Replica,
			InProgress: uint32(m.InProgress), Dispatched: m.Dispatched, Completed: m.Completed, Failed: m.Failed,
			FirstTokenP50Ms: uint32(m.FirstTokenP50.Milliseconds()),
			InterTokenP50Ms: uint32(m.InterTokenP50.Milliseconds()),
			Ejected:         m.Ejected,
		})
	}
	for i := range report.Teams {
		u := &report.Teams[i]
		out.Teams = append(out.Teams, &rpc.TeamUsage{
			Team: u.Team, Tokens: u.Tokens, InProgress: uint32(u.InProgress),
			DemandedTokens: u.DemandedTokens, DemandedInProgress: uint32(u.DemandedInProgress),
		})
	}
	for i := range report.Demand {
		d := &report.Demand[i]
		out.Demand = append(out.Demand, &rpc.ClassDemand{
			Class: d.Class, Model: d.Model, Requests: d.Requests, Tokens: d.Tokens, Refused: d.Refused,
		})
	}
	out.Limits = limitsToRPC(report.Limits, time.Now())
	return out
}

// limitsToRPC gives each statement of a request limit its age.
func limitsToRPC(limits []scheduling.ReplicaLimit, now time.Time) []*rpc.StatedLimit {
	var out []*rpc.StatedLimit
	for i := range limits {
		l := &limits[i]
		out = append(out, &rpc.StatedLimit{
			Upstream: l.ID.Upstream, Replica: l.ID.Replica, Limited: l.Limited, PerSecond: l.PerSecond, AgeMs: uint32(now.Sub(l.At).Milliseconds()),
		})
	}
	return out
}

// recordLimit returns what applies the statement of an answer about its replica's request limit.
func (e *exchange) recordLimit(a *scheduler.Assignment) forward.OnLimit {
	return func(s requestlimit.Statement, invalid string) {
		switch {
		case invalid != "":
			e.server.Logger.Warn().Str("request", e.id).Str("replica", a.Replica.String()).Str("value", invalid).Msg("replica states a request limit that cannot be read")
		case a.RecordLimit(s):
			e.server.Logger.Info().Str("request", e.id).Str("replica", a.Replica.String()).Bool("limited", s.Limited).
				Float64("per_second", s.PerSecond).Msg("request limit of replica changed")
		}
	}
}

// logCrash notes that a replica broke the connection while it ran the request.
func (c *chat) logCrash(cause, err error, a *scheduler.Assignment) {
	if !resultOf(cause, err, 0).Crashed {
		return
	}
	c.server.Logger.Warn().Str("request", c.id).Str("replica", a.Replica.String()).
		Str("fingerprint", formatFingerprint(c.prompt.fingerprint)).Err(err).Msg("replica crashed")
}

// reportSuspects tells control at once what the end of an attempt showed of
// suspects, without making a request wait.
func (s *Server) reportSuspects() {
	for _, e := range s.Scheduler.SuspectEvents() {
		go s.sendCrash(&rpc.CrashRequest{
			Fingerprint: e.Fingerprint, Upstream: e.Replica.Upstream, Replica: e.Replica.Replica, Model: e.Model,
			Completed: e.Cleared, Parts: e.Parts,
		})
	}
}

func (s *Server) sendCrash(request *rpc.CrashRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), crashRetries)
	defer cancel()
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = 50 * time.Millisecond
	policy.MaxInterval = time.Second
	tries := uint(0) // without a bound but the time
	if request.Completed {
		// One that took effect although its answer was lost would undo, when sent
		// again, a crash counted since.
		tries = 1
	}
	response, err := backoff.Retry(ctx, func() (*rpc.CrashResponse, error) {
		call, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		return s.Feed.ReportCrash(call, request)
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(crashRetries), backoff.WithMaxTries(tries))
	if err != nil {
		s.Logger.Warn().Err(err).Str("fingerprint", formatFingerprint(request.Fingerprint)).Bool("completed", request.Completed).Msg("crash or completion could not be reported")
		return
	}
	s.mergeQuarantine(quarantineFromRPC(response.Quarantine), rpc.SuspectPartEntries(response.SuspectParts, time.Now()))
}

// formatFingerprint returns the form that hbctl prints and takes.
func formatFingerprint(fingerprint uint64) string {
	return fmt.Sprintf("%016x", fingerprint)
}

// mergeQuarantine adds entries to the view in force without waiting for the
// next view from control.
func (s *Server) mergeQuarantine(entries []scheduling.QuarantineEntry, parts []poisonpart.Entry) {
	if len(entries) == 0 && len(parts) == 0 {
		return
	}
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	merged := scheduling.View{HostsInZone: 1}
	if s.view != nil {
		merged = *s.view
	}
	merged.Quarantine = mergeEntries(merged.Quarantine, entries)
	merged.Parts = parts // the picker keeps those of earlier views
	s.view = &merged
	s.Scheduler.Update(nil, &merged)
}

// mergeEntries returns old with the entries of added in place of those of the
// same fingerprint, unless an operator's later release is already known.
func mergeEntries(old, added []scheduling.QuarantineEntry) []scheduling.QuarantineEntry {
	out := slices.Clone(old)
	for _, entry := range added {
		i := slices.IndexFunc(out, func(o scheduling.QuarantineEntry) bool { return o.Fingerprint == entry.Fingerprint })
		switch {
		case i < 0:
			out = append(out, entry)
		case entry.Released >= out[i].Released:
			out[i] = entry
		}
	}
	return out
}
