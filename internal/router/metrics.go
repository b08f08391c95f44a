package router

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/rpc"
)

// Causes of wasted tokens.
const (
	wasteRetry    = "retry"    // tokens made again by a later attempt
	wasteCanceled = "canceled" // the caller hung up
	wasteBroken   = "broken"   // the answer ended without its proper end
)

var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 520 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute, 10 * time.Minute,
}

// metrics are the router's metrics. Those by class are made once for each class,
// because making them takes a lock that all requests share.
type metrics struct {
	scope      tally.Scope
	generation tally.Gauge
	queueWait  [bundle.MaxTier + 1]tally.Histogram
	lost       tally.Counter
	// leavingReplicas and restingReplicas count what replicas said in answers to this host.
	leavingReplicas tally.Counter
	restingReplicas tally.Counter
	classes         sync.Map // class name to *classMetrics
	refusals        sync.Map // reason to tally.Counter
	decisions       sync.Map // reason to tally.Counter
}

type classMetrics struct {
	outcomes   map[outcome.Outcome]tally.Counter
	wasted     map[string]tally.Counter
	firstToken tally.Histogram
	answer     tally.Histogram
	accepted   tally.Counter
	withinGoal tally.Counter
	tokens     tally.Counter
	retries    tally.Counter
	report     classCounts
}

// classCounts are what control is told of a class since the last report.
type classCounts struct {
	finished, attained, refused atomic.Uint64
}

// results returns how requests ended since the last call, by class.
func (m *metrics) results() []*rpc.ClassResult {
	var out []*rpc.ClassResult
	m.classes.Range(func(name, value any) bool {
		counts := &value.(*classMetrics).report
		result := &rpc.ClassResult{
			Class: name.(string), Finished: counts.finished.Swap(0), Attained: counts.attained.Swap(0), Refused: counts.refused.Swap(0),
		}
		if result.Finished > 0 {
			out = append(out, result)
		}
		return true
	})
	return out
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		scope:      scope,
		generation: scope.Gauge("bundle_generation"),
		lost:       scope.Counter("claim_outcomes_lost"),

		leavingReplicas: scope.Counter("replicas_said_leaving"),
		restingReplicas: scope.Counter("replicas_resting"),
	}
	for tier := bundle.TopTier; tier <= bundle.MaxTier; tier++ {
		tagged := scope.Tagged(map[string]string{"tier": strconv.Itoa(tier)})
		m.queueWait[tier] = tagged.Histogram("queue_wait", latencyBuckets)
	}
	return m
}

func (m *metrics) class(c *bundle.Class) *classMetrics {
	if known, ok := m.classes.Load(c.Name); ok {
		return known.(*classMetrics)
	}
	scope := m.scope.Tagged(map[string]string{"class": c.Name})
	made := &classMetrics{
		outcomes:   make(map[outcome.Outcome]tally.Counter),
		wasted:     make(map[string]tally.Counter),
		firstToken: scope.Histogram("first_token_latency", latencyBuckets),
		answer:     scope.Histogram("answer_latency", latencyBuckets),
		accepted:   scope.Counter("requests_accepted"),
		withinGoal: scope.Counter("requests_within_target"),
		tokens:     scope.Counter("tokens"),
		retries:    scope.Counter("retries"),
	}
	for _, o := range []outcome.Outcome{outcome.Completed, outcome.NotRun, outcome.Failed, outcome.Unknown} {
		made.outcomes[o] = scope.Tagged(map[string]string{"outcome": string(o)}).Counter("requests")
	}
	for _, cause := range []string{wasteRetry, wasteCanceled, wasteBroken} {
		made.wasted[cause] = scope.Tagged(map[string]string{"cause": cause}).Counter("wasted_tokens")
	}
	known, _ := m.classes.LoadOrStore(c.Name, made)
	return known.(*classMetrics)
}

func (m *metrics) refused(reason string) { m.countReason(&m.refusals, "refusals", reason) }

// decided counts a routing decision by its reason.
func (m *metrics) decided(reason string) { m.countReason(&m.decisions, "decisions", reason) }

// countReason keeps the counters, because making one takes a lock that all
// requests share.
func (m *metrics) countReason(counters *sync.Map, name, reason string) {
	counter, ok := counters.Load(reason)
	if !ok {
		made := m.scope.Tagged(map[string]string{"reason": reason}).Counter(name)
		counter, _ = counters.LoadOrStore(reason, made)
	}
	counter.(tally.Counter).Inc(1)
}

// finished counts a request. Requests that were never accepted have no class
// whose attainment they could change; they are counted as refusals.
func (m *metrics) finished(e *exchange, o outcome.Outcome, elapsed time.Duration) {
	if e.class == nil || !e.accepted {
		return
	}
	c := m.class(e.class)
	c.outcomes[o].Inc(1)
	c.accepted.Inc(1)
	c.report.finished.Add(1)
	if o == outcome.NotRun {
		c.report.refused.Add(1)
	}
	c.tokens.Inc(int64(e.timing.tokens))
	if o != outcome.Completed {
		return
	}
	c.answer.RecordDuration(elapsed)
	if withinTarget(e.class, &e.timing, e.arrived, elapsed) {
		c.withinGoal.Inc(1)
		c.report.attained.Add(1)
	}
}

// withinTarget tells whether a completed request met its class's latency target.
func withinTarget(c *bundle.Class, t *timing, arrived time.Time, elapsed time.Duration) bool {
	if c.AnswerTarget > 0 && elapsed > c.AnswerTarget.Std() {
		return false
	}
	if t.tokens == 0 {
		return true
	}
	if c.FirstTokenTarget > 0 && t.first.Sub(arrived) > c.FirstTokenTarget.Std() {
		return false
	}
	if c.InterTokenTarget == 0 || t.tokens == 1 {
		return true
	}
	mean := t.last.Sub(t.first) / time.Duration(t.tokens-1)
	return mean <= c.InterTokenTarget.Std()
}
