package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/docs"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/telemetry"
)

// Guards against a metric that operators see and find described nowhere, and
// against a described one that does not exist.
func TestMetricsReference(t *testing.T) {
	m := telemetry.NewMetrics("h", "z")
	defer func() { require.NoError(t, m.Close()) }()
	s := NewServer(Dependencies{Metrics: m.Scope})
	s.metrics.class(&bundle.Class{Name: "quote"})
	s.metrics.refused("queue_full")
	s.metrics.decided("in_zone")
	s.noteEjections([]scheduling.ReplicaMeasurement{{ID: scheduling.ReplicaID{Upstream: "models", Replica: "e1"}, Ejected: true}})
	page, err := docs.Page("metrics.md")
	require.NoError(t, err)
	own, runtime := docs.ExposedMetrics(m.Handler)
	require.ElementsMatch(t, own, docs.Names(docs.Section(page, programName)))
	require.Subset(t, docs.Names(docs.Section(page, "Both programs")), runtime)
}
