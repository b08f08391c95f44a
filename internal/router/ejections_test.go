package router

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"heatherbarrow/internal/scheduling"
)

// Guards against an ejection that no log line or metric shows, one that is
// logged with each report, and a gauge that stays up after readmission.
func TestEjectionsAreShown(t *testing.T) {
	var log bytes.Buffer
	scope := tally.NewTestScope("", nil)
	s := NewServer(Dependencies{Metrics: scope, Logger: zerolog.New(&log)})
	slow := scheduling.ReplicaMeasurement{
		ID:            scheduling.ReplicaID{Upstream: "models", Replica: "e1"},
		InterTokenP50: 400 * time.Millisecond, Ejected: true, EjectionReason: "inter_token",
	}
	fast := scheduling.ReplicaMeasurement{ID: scheduling.ReplicaID{Upstream: "models", Replica: "e2"}}
	ejected := func() float64 {
		return scope.Snapshot().Gauges()["replicas_ejected+upstream=models"].Value()
	}
	for range 2 {
		s.noteEjections([]scheduling.ReplicaMeasurement{slow, fast})
		require.Equal(t, 1.0, ejected())
	}
	s.noteEjections([]scheduling.ReplicaMeasurement{fast})
	require.Zero(t, ejected())
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	require.Len(t, lines, 2)
	require.JSONEq(t, `{"level":"warn","upstream":"models","replica":"e1","reason":"inter_token","in_progress":0,`+
		`"first_token_p50":0,"inter_token_p50":400,"message":"replica ejected"}`, lines[0])
	require.JSONEq(t, `{"level":"info","upstream":"models","replica":"e1","message":"replica readmitted"}`, lines[1])
}
