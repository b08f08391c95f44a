package control

import (
	"context"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"heatherbarrow/internal/kernel"
	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/rpc"
)

// metricsInterval is how often the gauges are set from the newest snapshot.
const metricsInterval = time.Second

// neverAnswered is the value of platform_answer_age before the first answer.
const neverAnswered = -1

// claimResults are the values of the label "result".
var claimResults = map[rpc.ClaimResult]string{
	rpc.ClaimResult_CLAIM_RESULT_UNAVAILABLE: "unavailable",
	rpc.ClaimResult_CLAIM_RESULT_GRANTED:     "granted",
	rpc.ClaimResult_CLAIM_RESULT_IN_PROGRESS: "in_progress",
	rpc.ClaimResult_CLAIM_RESULT_FINISHED:    "finished",
	rpc.ClaimResult_CLAIM_RESULT_CONFLICT:    "conflict",
}

// claimCounters count claims by result.
type claimCounters map[rpc.ClaimResult]tally.Counter

func newClaimCounters(scope tally.Scope) claimCounters {
	counters := make(claimCounters)
	for result, name := range claimResults {
		counters[result] = scope.Tagged(map[string]string{"result": name}).Counter("claims")
	}
	return counters
}

func (c claimCounters) count(result rpc.ClaimResult) {
	if counter, ok := c[result]; ok {
		counter.Inc(1)
	}
}

// replicaKey names a gauge of replicas.
type replicaKey struct {
	upstream string
	state    rpc.State
}

// gauges are the metrics that are set from snapshots. Zones and upstreams that
// were seen once keep their gauges, so that a zone that is lost shows as 0.
type gauges struct {
	scope       tally.Scope
	generation  tally.Gauge
	bundleAge   tally.Gauge
	viewAge     tally.Gauge
	reportAge   tally.Gauge
	watching    tally.Gauge
	leaseHeld   tally.Gauge
	quarantined tally.Gauge
	answerAge   tally.Gauge
	calls       tally.Counter
	counted     uint64 // platform calls in calls
	limited     tally.Counter
	limitedSeen uint64 // refusals by rate in limited
	hosts       map[string]tally.Gauge
	replicas    map[replicaKey]tally.Gauge
}

func newGauges(scope tally.Scope) *gauges {
	return &gauges{
		scope:       scope,
		generation:  scope.Gauge("bundle_generation"),
		bundleAge:   scope.Gauge("bundle_age_seconds"),
		viewAge:     scope.Gauge("view_age_seconds"),
		reportAge:   scope.Gauge("load_report_age_seconds"),
		watching:    scope.Gauge("platform_watcher"),
		leaseHeld:   scope.Gauge("lease_held"),
		quarantined: scope.Gauge("quarantined_fingerprints"),
		answerAge:   scope.Gauge("platform_answer_age_seconds"),
		calls:       scope.Counter("platform_calls"),
		limited:     scope.Counter("platform_rate_limited"),
		hosts:       make(map[string]tally.Gauge),
		replicas:    make(map[replicaKey]tally.Gauge),
	}
}

// set takes the values from a snapshot.
func (g *gauges) set(s *State, now time.Time) {
	sinceView := now.Sub(s.ViewAt)
	g.viewAge.Update(sinceView.Seconds())
	g.watching.Update(zeroOrOne(s.Topology.Watching))
	if s.Bundle != nil {
		g.generation.Update(float64(s.Bundle.Generation))
		g.bundleAge.Update(now.Sub(s.InForceAt).Seconds())
	}
	quarantined := 0
	for _, e := range s.View.Quarantine {
		if len(e.CrashedReplicas) > 0 {
			quarantined++
		}
	}
	g.quarantined.Update(float64(quarantined))
	g.setHosts(s.View)
	g.setReplicas(s.View, sinceView)
}

func (g *gauges) setHosts(view *rpc.View) {
	live := make(map[string]int)
	for _, h := range view.Hosts {
		live[h.AvailabilityZone] += 0
		if h.State == rpc.State_STATE_LIVE {
			live[h.AvailabilityZone]++
		}
	}
	for zone := range live {
		if g.hosts[zone] == nil {
			g.hosts[zone] = g.scope.Tagged(map[string]string{"zone": zone}).Gauge("hosts_live")
		}
	}
	for zone, gauge := range g.hosts {
		gauge.Update(float64(live[zone]))
	}
}

// setReplicas also sets the age of the oldest load report of a live replica;
// sinceView is the time that passed since the ages in the view were true.
func (g *gauges) setReplicas(view *rpc.View, sinceView time.Duration) {
	counts := make(map[replicaKey]int)
	oldest := time.Duration(0)
	for _, r := range view.Replicas {
		counts[replicaKey{r.Upstream, r.State}]++
		if r.HasLoad && r.State == rpc.State_STATE_LIVE {
			oldest = max(oldest, time.Duration(r.ReportAgeMs)*time.Millisecond+sinceView)
		}
	}
	g.reportAge.Update(oldest.Seconds())
	for key := range counts {
		if g.replicas[key] == nil {
			labels := map[string]string{"upstream": key.upstream, "state": stateLabel(key.state)}
			g.replicas[key] = g.scope.Tagged(labels).Gauge("replicas")
		}
	}
	for key, gauge := range g.replicas {
		gauge.Update(float64(counts[key]))
	}
}

// setLimited takes the number of calls that the platform refused by rate.
func (g *gauges) setLimited(refused uint64) {
	g.limited.Inc(int64(refused - g.limitedSeen))
	g.limitedSeen = refused
}

// setPlatform takes the number of calls and the time of the last answer, which
// is zero when there was none.
func (g *gauges) setPlatform(calls uint64, last, now time.Time) {
	g.calls.Inc(int64(calls - g.counted))
	g.counted = calls
	if last.IsZero() {
		g.answerAge.Update(neverAnswered)
		return
	}
	g.answerAge.Update(now.Sub(last).Seconds())
}

func zeroOrOne(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// MetricsService sets the gauges of heatherbarrow-control once a second. It only
// reads snapshots.
type MetricsService struct {
	Host  string
	Scope tally.Scope

	loop     *Loop
	platform *objectstore.Client
	lease    LeaseReporter
	gauges   *gauges
}

// Name implements kernel.Service.
func (m *MetricsService) Name() string { return ServiceMetrics }

// Dependencies implements kernel.Dependent.
func (m *MetricsService) Dependencies() []string { return []string{ServiceLoop, ServiceStore} }

// Provision implements kernel.Provisioner.
func (m *MetricsService) Provision(r *kernel.Registry) (err error) {
	if m.loop, err = kernel.Lookup[*Loop](r, ServiceLoop); err != nil {
		return err
	}
	store, err := kernel.Lookup[*StoreService](r, ServiceStore)
	if err != nil {
		return err
	}
	m.platform = store.Store.Platform
	if lease, err := kernel.Lookup[LeaseReporter](r, ServiceLease); err == nil {
		m.lease = lease
	}
	m.gauges = newGauges(m.Scope)
	return nil
}

// Start implements kernel.Starter.
func (m *MetricsService) Start(ctx context.Context) error {
	go func() {
		for ctx.Err() == nil {
			m.update(m.loop.opts.Clock.Now())
			pause(ctx, metricsInterval)
		}
	}()
	return nil
}

func (m *MetricsService) update(now time.Time) {
	m.gauges.set(m.loop.State(), now)
	m.gauges.setPlatform(m.platform.Calls(), m.platform.LastAnswer(), now)
	m.gauges.setLimited(m.platform.RateLimited())
	m.gauges.leaseHeld.Update(zeroOrOne(m.lease != nil && m.lease.LeaseHolder() == m.Host))
}

func stateLabel(s rpc.State) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "STATE_"))
}
