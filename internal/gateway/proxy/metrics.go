package proxy

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets cover the latency objectives of a few hundred milliseconds and
// the deadlines of some seconds.
var latencyBuckets = tally.DurationBuckets{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	300 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond,
	1200 * time.Millisecond, 2 * time.Second, 5 * time.Second, 15 * time.Second,
}

// unmatched stands for kind, tier and upstream of a request without a route.
const unmatched = "none"

// series names the counters and histograms of a part of the requests. Routes are
// not told apart: a configuration has hundreds of them, and each series takes about
// a kilobyte.
type series struct {
	kind     string // of the route
	tier     string // urgency on the engines' scale
	upstream string
	outcome  string
}

// class is what the latencies are told apart by.
type class struct {
	kind, tier, upstream string
}

type classMetrics struct {
	duration   tally.Histogram
	firstEvent tally.Histogram
}

// refusalCounter counts refusals for a reason.
type refusalCounter struct {
	tally.Counter
	total uint64 // a counter of tally cannot be read
}

// metrics counts what became of requests. It is safe for concurrent use.
type metrics struct {
	scope     tally.Scope
	firstByte tally.Histogram
	repeats   tally.Counter
	copied    tally.Counter

	mu       sync.Mutex
	requests map[series]tally.Counter
	refusals map[string]refusalCounter
	classes  map[class]classMetrics
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:     scope,
		firstByte: scope.Histogram("upstream_first_byte", latencyBuckets),
		repeats:   scope.Counter("repeated_attempts"),
		copied:    scope.Counter("copied_prompt_tokens"),
		requests:  make(map[series]tally.Counter),
		refusals:  make(map[string]refusalCounter),
		classes:   make(map[class]classMetrics),
	}
}

// ended counts a request.
func (m *metrics) ended(e *exchange, took time.Duration) {
	c := class{kind: unmatched, tier: unmatched, upstream: unmatched}
	if e.route != nil {
		c.kind, c.tier = e.route.Kind.String(), strconv.Itoa(e.urgency())
	}
	if e.record.upstream != "" {
		c.upstream = e.record.upstream
	}
	m.count(series{c.kind, c.tier, c.upstream, e.record.outcome})
	if e.record.outcome == outcomeNotRun {
		m.refused(e.record.reason)
	}
	latencies := m.class(c)
	latencies.duration.RecordDuration(took)
	if e.record.first > 0 {
		latencies.firstEvent.RecordDuration(e.record.first)
	}
}

func (m *metrics) count(s series) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.requests[s]
	if !ok {
		c = m.scope.Tagged(map[string]string{"kind": s.kind, "tier": s.tier, "upstream": s.upstream, "outcome": s.outcome}).Counter("requests")
		m.requests[s] = c
	}
	c.Inc(1)
}

func (m *metrics) refused(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.refusals[reason]
	if !ok {
		c.Counter = m.scope.Tagged(map[string]string{"reason": reason}).Counter("refusals")
	}
	c.Inc(1)
	c.total++
	m.refusals[reason] = c
}

// totals returns the refusals since the start by reason.
func (m *metrics) totals() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	totals := make(map[string]uint64, len(m.refusals))
	for reason, c := range m.refusals {
		totals[reason] = c.total
	}
	return totals
}

func (m *metrics) class(c class) classMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	found, ok := m.classes[c]
	if !ok {
		scope := m.scope.Tagged(map[string]string{"kind": c.kind, "tier": c.tier, "upstream": c.upstream})
		found = classMetrics{
			duration:   scope.Histogram("request_duration", latencyBuckets),
			firstEvent: scope.Histogram("first_event", latencyBuckets),
		}
		m.classes[c] = found
	}
	return found
}
