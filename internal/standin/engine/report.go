package engine

import (
	"net/http"
	"time"

	"heatherbarrow/internal/standin/admin"
)

// Load is the engine's report of its load.
type Load struct {
	Running         int      `json:"running"`
	Waiting         int      `json:"waiting"`
	TokensPerSecond int      `json:"tokens_per_second"`
	Models          []string `json:"models"`
	Role            string   `json:"role"`
	AgeMS           int      `json:"age_ms"`
	Boot            string   `json:"boot"`
}

// timedReport is the load at a moment.
type timedReport struct {
	at      time.Time
	running int
	waiting int
	tokens  uint64
}

// noteLoad keeps the load of the last moments, so that the report can lag. s.mu
// must be held.
func (s *Server) noteLoad(now time.Time) {
	if s.faults.ReportFrozen {
		return
	}
	s.reports = append(s.reports, timedReport{
		at: now, running: len(s.batch.running), waiting: len(s.batch.waiting), tokens: s.counts.Tokens,
	})
	for len(s.reports) > 2 && now.Sub(s.reports[1].at) > s.opts.ReportLag {
		s.reports = s.reports[1:]
	}
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	now := time.Now()
	report := Load{Models: s.orders.loaded(now), Role: s.orders.role, Boot: s.boot}
	if len(s.reports) > 0 {
		oldest, newest := s.reports[0], s.reports[len(s.reports)-1]
		report.Running = oldest.running
		report.Waiting = oldest.waiting
		report.AgeMS = int(now.Sub(oldest.at).Milliseconds())
		if s.faults.ReportFrozen {
			report.AgeMS = int(s.opts.ReportLag.Milliseconds())
		}
		if span := newest.at.Sub(oldest.at).Seconds(); span > 0 {
			report.TokensPerSecond = int(float64(newest.tokens-oldest.tokens) / span)
		}
	}
	s.mu.Unlock()
	admin.WriteJSON(w, report)
}
