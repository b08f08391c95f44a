package router

import (
	"github.com/uber-go/tally/v4"

	"heatherbarrow/internal/scheduling"
)

// ejections keep which replicas this host had ejected at its last report. An
// ejection lasts at least 1 s and reports are made every 500 ms, so that one is
// missed only while control is slow to take a report.
type ejections struct {
	scope   tally.Scope
	ejected map[scheduling.ReplicaID]bool
	gauges  map[string]tally.Gauge // by upstream; kept at 0 when no replica is ejected
}

func newEjections(scope tally.Scope) ejections {
	return ejections{scope: scope, ejected: make(map[scheduling.ReplicaID]bool), gauges: make(map[string]tally.Gauge)}
}

// noteEjections logs each change. Only the goroutine that reports may call it.
func (s *Server) noteEjections(measured []scheduling.ReplicaMeasurement) {
	e := &s.ejections
	now := make(map[scheduling.ReplicaID]bool)
	counts := make(map[string]int)
	for i := range measured {
		m := &measured[i]
		if !m.Ejected {
			continue
		}
		now[m.ID] = true
		counts[m.ID.Upstream]++
		if !e.ejected[m.ID] {
			s.Logger.Warn().Str("upstream", m.ID.Upstream).Str("replica", m.ID.Replica).
				Str("reason", m.EjectionReason).Int("in_progress", m.InProgress).
				Dur("first_token_p50", m.FirstTokenP50).Dur("inter_token_p50", m.InterTokenP50).Msg("replica ejected")
		}
	}
	for id := range e.ejected {
		if !now[id] {
			s.Logger.Info().Str("upstream", id.Upstream).Str("replica", id.Replica).Msg("replica readmitted")
		}
	}
	e.ejected = now
	e.update(counts)
}

func (e *ejections) update(counts map[string]int) {
	for upstream := range counts {
		if e.gauges[upstream] == nil {
			e.gauges[upstream] = e.scope.Tagged(map[string]string{"upstream": upstream}).Gauge("replicas_ejected")
		}
	}
	for upstream, gauge := range e.gauges {
		gauge.Update(float64(counts[upstream]))
	}
}
