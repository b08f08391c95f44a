package control

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"heatherbarrow/internal/docs"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/telemetry"
)

// metricsState is a snapshot 3 s after its view was built and 10 s after its
// bundle came into force.
func metricsState(now time.Time) *State {
	return &State{
		Bundle:    &rpc.BundleRecord{Generation: 7},
		InForceAt: now.Add(-10 * time.Second),
		ViewAt:    now.Add(-3 * time.Second),
		Topology:  &Topology{Watching: true},
		View: &rpc.View{
			Hosts: []*rpc.HostState{
				{Host: "a", AvailabilityZone: "ate", State: rpc.State_STATE_LIVE},
				{Host: "b", AvailabilityZone: "ate", State: rpc.State_STATE_LEAVING},
				{Host: "c", AvailabilityZone: "callao", State: rpc.State_STATE_DEAD},
			},
			Replicas: []*rpc.ReplicaState{
				{Upstream: "models", Replica: "e1", State: rpc.State_STATE_LIVE, HasLoad: true, ReportAgeMs: 500},
				{Upstream: "models", Replica: "e2", State: rpc.State_STATE_DEAD, HasLoad: true, ReportAgeMs: 90000},
			},
			Quarantine: []*rpc.QuarantineEntry{
				{Fingerprint: 1, CrashedReplicas: []string{"models/e1"}},
				{Fingerprint: 2, Released: 1},
			},
		},
	}
}

// Guards against metrics that differ from the snapshot, and against a zone or an
// upstream that disappears from the metrics when it is lost instead of falling to 0.
func TestGaugesFollowSnapshots(t *testing.T) {
	now := time.Unix(1000, 0)
	scope := tally.NewTestScope("", nil)
	g := newGauges(scope)
	value := func(name string) float64 {
		gauge, ok := scope.Snapshot().Gauges()[name]
		require.True(t, ok, name)
		return gauge.Value()
	}
	state := metricsState(now)
	g.set(state, now)
	for name, want := range map[string]float64{
		"bundle_generation+": 7, "bundle_age_seconds+": 10, "view_age_seconds+": 3, "load_report_age_seconds+": 3.5,
		"platform_watcher+": 1, "quarantined_fingerprints+": 1, "hosts_live+zone=ate": 1, "hosts_live+zone=callao": 0,
		"replicas+state=live,upstream=models": 1, "replicas+state=dead,upstream=models": 1,
	} {
		require.Equal(t, want, value(name), name)
	}
	state.View = &rpc.View{}
	g.set(state, now)
	require.Zero(t, value("hosts_live+zone=ate"))
	require.Zero(t, value("replicas+state=live,upstream=models"))
}

// Guards against platform calls counted twice and against an age shown before
// the platform has ever answered.
func TestPlatformMetrics(t *testing.T) {
	now := time.Unix(1000, 0)
	scope := tally.NewTestScope("", nil)
	g := newGauges(scope)
	g.setPlatform(3, time.Time{}, now)
	require.Equal(t, -1.0, scope.Snapshot().Gauges()["platform_answer_age_seconds+"].Value())
	g.setPlatform(5, now.Add(-2*time.Second), now)
	require.Equal(t, 2.0, scope.Snapshot().Gauges()["platform_answer_age_seconds+"].Value())
	require.Equal(t, int64(5), scope.Snapshot().Counters()["platform_calls+"].Value())
}

// Guards against a result of a claim that is not counted.
func TestEveryClaimResultIsCounted(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	counters := newClaimCounters(scope)
	for result := range rpc.ClaimResult_name {
		counters.count(rpc.ClaimResult(result))
		require.Equal(t, int64(1), scope.Snapshot().Counters()["claims+result="+claimResults[rpc.ClaimResult(result)]].Value())
	}
}

// Guards against a metric that operators see and find described nowhere, and
// against a described one that does not exist.
func TestMetricsReference(t *testing.T) {
	m := telemetry.NewMetrics("h", "z")
	defer func() { require.NoError(t, m.Close()) }()
	now := time.Unix(1000, 0)
	newClaimCounters(m.Scope)
	newGauges(m.Scope).set(metricsState(now), now)
	page, err := docs.Page("metrics.md")
	require.NoError(t, err)
	own, runtime := docs.ExposedMetrics(m.Handler)
	require.ElementsMatch(t, own, docs.Names(docs.Section(page, programName)))
	require.Subset(t, docs.Names(docs.Section(page, "Both programs")), runtime)
}

// BenchmarkGauges measures what one second's update costs control at the target
// scale: 400 hosts in 7 zones and 600 replicas of 28 upstreams.
func BenchmarkGauges(b *testing.B) {
	now := time.Unix(1000, 0)
	state := metricsState(now)
	for i := range 400 {
		state.View.Hosts = append(state.View.Hosts, &rpc.HostState{AvailabilityZone: strconv.Itoa(i % 7), State: rpc.State_STATE_LIVE})
	}
	for i := range 600 {
		state.View.Replicas = append(state.View.Replicas, &rpc.ReplicaState{Upstream: strconv.Itoa(i % 28), State: rpc.State_STATE_LIVE, HasLoad: true})
	}
	g := newGauges(tally.NoopScope)
	b.ReportAllocs()
	for b.Loop() {
		g.set(state, now)
	}
}
