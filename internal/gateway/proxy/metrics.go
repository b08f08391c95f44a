package proxy

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets cover latency objectives of a few hundred milliseconds and deadlines of
// several seconds.
var latencyBuckets = tally.DurationBuckets{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	300 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond,
	1200 * time.Millisecond, 2 * time.Second, 5 * time.Second, 15 * time.Second,
}

// ratioBuckets are multiples of a predicted latency. Predictions are good between 0.8 and 1.25.
var ratioBuckets = tally.ValueBuckets{0.25, 0.5, 0.8, 1, 1.25, 1.5, 2, 3, 4, 6, 8}

// noneLabel is the value of the labels that do not apply to a request. For example, a request
// without a route has no kind, tier or upstream.
const noneLabel = "none"

// requestSeries holds the labels of a request counter. The route is not a label: a
// configuration has hundreds of routes, and each time series takes about a kilobyte.
type requestSeries struct {
	kind     string // the route's kind
	tier     string // urgency on the engines' scale
	upstream string
	outcome  string
}

// latencySeries holds the labels of the latency histograms.
type latencySeries struct {
	kind, tier, upstream string
}

// latencyHistograms hold the latencies of the requests with the same labels.
type latencyHistograms struct {
	duration   tally.Histogram
	firstEvent tally.Histogram
	firstRatio tally.Histogram
}

// refusalCounter counts the refusals with the same reason.
type refusalCounter struct {
	tally.Counter
	total uint64 // same count, as a tally.Counter cannot be read
}

// metrics counts requests by outcome and records their latencies. It is safe for concurrent
// use.
type metrics struct {
	scope              tally.Scope
	firstByte          tally.Histogram
	repeatedAttempts   tally.Counter
	copiedPromptTokens tally.Counter
	delegated          tally.Counter // run by other hosts
	leavingReplicas    tally.Counter // that said that they leave
	restingReplicas    tally.Counter // that wanted no requests for a time
	processQuestions   tally.Counter // asked replicas which process they are
	probeQuestions     tally.Counter // of these, to keep connections open beside unframed answers
	replacedProcesses  tally.Counter // of these, answered by another one than the registered
	limitedAttempts    tally.Counter // sent to replicas that state a request limit
	exhaustedAnswers   tally.Counter // given up or not buffered because there was no memory for them
	unprovenRefusals   tally.Counter // answers withheld by withholdRefusal
	unframedEnds       map[endOfAnswer]tally.Counter
	zones              zoneMetrics

	mu        sync.Mutex
	requests  map[requestSeries]tally.Counter
	refusals  map[string]refusalCounter
	latencies map[latencySeries]latencyHistograms
}

func newMetrics(scope tally.Scope) *metrics {
	unframedEnds := make(map[endOfAnswer]tally.Counter, len(endNames))
	for end, name := range endNames {
		unframedEnds[endOfAnswer(end)] = scope.Tagged(map[string]string{"seen": name}).Counter("unframed_answers")
	}
	return &metrics{
		unframedEnds:       unframedEnds,
		zones:              newZoneMetrics(scope),
		scope:              scope,
		firstByte:          scope.Histogram("upstream_first_byte", latencyBuckets),
		repeatedAttempts:   scope.Counter("repeated_attempts"),
		copiedPromptTokens: scope.Counter("copied_prompt_tokens"),
		delegated:          scope.Counter("delegated_requests"),
		leavingReplicas:    scope.Counter("replicas_said_leaving"),
		restingReplicas:    scope.Counter("replicas_resting"),
		processQuestions:   scope.Counter("process_questions"),
		probeQuestions:     scope.Counter("probe_questions"),
		replacedProcesses:  scope.Counter("processes_replaced"),
		limitedAttempts:    scope.Counter("limited_attempts"),
		exhaustedAnswers:   scope.Counter("answers_without_memory"),
		unprovenRefusals:   scope.Counter("unproven_refusals"),
		requests:           make(map[requestSeries]tally.Counter),
		refusals:           make(map[string]refusalCounter),
		latencies:          make(map[latencySeries]latencyHistograms),
	}
}

// requestEnded counts a request and records its latencies.
func (m *metrics) requestEnded(e *exchange, elapsed time.Duration) {
	series := latencySeries{kind: noneLabel, tier: noneLabel, upstream: noneLabel}
	if e.route != nil {
		series.kind, series.tier = e.route.Kind.String(), strconv.Itoa(e.urgency())
	}
	if e.record.upstream != "" {
		series.upstream = e.record.upstream
	}
	m.countRequest(requestSeries{series.kind, series.tier, series.upstream, e.record.outcome})
	if e.record.outcome == outcomeNotRun {
		m.countRefusal(e.record.reason)
	}
	m.zones.requestEnded(e, elapsed)
	histograms := m.latencySeries(series)
	histograms.duration.RecordDuration(elapsed)
	if e.record.firstEventAfter > 0 {
		histograms.firstEvent.RecordDuration(e.record.firstEventAfter)
	}
	if ratio := e.record.firstEventRatio(); ratio > 0 {
		histograms.firstRatio.RecordValue(ratio)
	}
}

func (m *metrics) countRequest(series requestSeries) {
	m.mu.Lock()
	defer m.mu.Unlock()
	counter, ok := m.requests[series]
	if !ok {
		counter = m.scope.Tagged(map[string]string{"kind": series.kind, "tier": series.tier, "upstream": series.upstream, "outcome": series.outcome}).Counter("requests")
		m.requests[series] = counter
	}
	counter.Inc(1)
}

func (m *metrics) countRefusal(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	counter, ok := m.refusals[reason]
	if !ok {
		counter.Counter = m.scope.Tagged(map[string]string{"reason": reason}).Counter("refusals")
	}
	counter.Inc(1)
	counter.total++
	m.refusals[reason] = counter
}

// refusalTotals returns the number of refusals since the start, by reason.
func (m *metrics) refusalTotals() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	refusalTotals := make(map[string]uint64, len(m.refusals))
	for reason, counter := range m.refusals {
		refusalTotals[reason] = counter.total
	}
	return refusalTotals
}

// latencySeries returns the histograms of a series and creates them on first use.
func (m *metrics) latencySeries(series latencySeries) latencyHistograms {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.latencies[series]
	if !ok {
		scope := m.scope.Tagged(map[string]string{"kind": series.kind, "tier": series.tier, "upstream": series.upstream})
		h = latencyHistograms{
			duration:   scope.Histogram("request_duration", latencyBuckets),
			firstEvent: scope.Histogram("first_event", latencyBuckets),
			firstRatio: scope.Histogram("first_event_ratio", ratioBuckets),
		}
		m.latencies[series] = h
	}
	return h
}
