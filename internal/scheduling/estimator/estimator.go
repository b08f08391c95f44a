// Package estimator learns how long answers are and how long they take, per
// class and model.
package estimator

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"

	"heatherbarrow/internal/bundle"
)

const (
	// minSamples is the number of answers below which the class's defaults apply.
	minSamples = 8
	// refreshSamples is the number of answers between two computations of the
	// quantiles; one computation walks the whole histogram.
	refreshSamples = 16
	// window is the age after which a half of the samples is dropped.
	window        = 5 * time.Minute
	windows       = 2
	maxTokens     = 1 << 20
	maxMillis     = int64(time.Hour / time.Millisecond)
	digits        = 1 // significant digits; keeps a series at about 20 KB
	defaultTokens = 256
	// defaultInterToken is the time per token assumed without a class target.
	defaultInterToken = 53 * time.Millisecond
)

// Estimate is what is known of the answers of a class and model.
type Estimate struct {
	TokensMean int // rounded up
	TokensP50  int
	TokensP90  int
	ServiceP10 time.Duration // from assignment to the end of the answer
	ServiceP50 time.Duration
	ServiceP90 time.Duration
	FirstToken time.Duration // median time from assignment to the first token
	Samples    int64         // answers that the estimate rests on; 0 for the defaults
}

// Estimator keeps one series per class and model. It is not safe for concurrent
// use.
type Estimator struct {
	clock  clockwork.Clock
	series map[key]*Series
}

type key struct {
	class string
	model string
}

// New returns an estimator that knows nothing.
func New(clock clockwork.Clock) *Estimator {
	return &Estimator{clock: clock, series: make(map[key]*Series)}
}

// Series returns the series of the class and model and creates it when needed.
// It stays valid when a new bundle comes into force.
func (e *Estimator) Series(class *bundle.Class, model string) *Series {
	k := key{class: class.Name, model: model}
	s, ok := e.series[k]
	if !ok {
		s = newSeries(e.clock)
		e.series[k] = s
	}
	s.setDefaults(class)
	return s
}

// Series holds the measurements of one class and model.
type Series struct {
	clock     clockwork.Clock
	tokens    *hdrhistogram.WindowedHistogram
	service   *hdrhistogram.WindowedHistogram
	first     *hdrhistogram.WindowedHistogram
	rotated   time.Time
	unread    int // samples since the last refresh
	estimate  Estimate
	lastCount int64
}

func newSeries(clock clockwork.Clock) *Series {
	return &Series{
		clock:   clock,
		tokens:  hdrhistogram.NewWindowed(windows, 1, maxTokens, digits),
		service: hdrhistogram.NewWindowed(windows, 1, maxMillis, digits),
		first:   hdrhistogram.NewWindowed(windows, 1, maxMillis, digits),
		rotated: clock.Now(),
	}
}

func (s *Series) setDefaults(class *bundle.Class) {
	if s.lastCount >= minSamples {
		return
	}
	tokens := class.ExpectedTokens
	if tokens == 0 {
		tokens = defaultTokens
	}
	perToken := class.InterTokenTarget.Std()
	if perToken == 0 {
		perToken = defaultInterToken
	}
	service := time.Duration(tokens) * perToken
	if class.FirstTokenTarget == 0 {
		service = class.AnswerTarget.Std() / 2
	}
	s.estimate = Estimate{
		TokensMean: tokens,
		TokensP50:  tokens,
		TokensP90:  2 * tokens,
		ServiceP50: service,
		ServiceP90: 2 * service,
	}
}

// Estimate returns the current estimate. The caller must not change it.
func (s *Series) Estimate() *Estimate { return &s.estimate }

// ObserveFirstToken records the time from assignment to the first token.
func (s *Series) ObserveFirstToken(latency time.Duration) {
	record(s.first, latency.Milliseconds(), maxMillis)
}

// Observe records a complete answer that ran on one replica from its beginning.
func (s *Series) Observe(tokens int, service time.Duration) {
	if s.clock.Since(s.rotated) >= window {
		s.rotate()
	}
	record(s.tokens, int64(tokens), maxTokens)
	record(s.service, service.Milliseconds(), maxMillis)
	s.unread++
	if s.unread >= refreshSamples || s.lastCount < minSamples {
		s.refresh()
	}
}

func record(h *hdrhistogram.WindowedHistogram, value, highest int64) {
	// RecordValue fails only for values out of range, which min and max exclude.
	_ = h.Current.RecordValue(min(max(value, 1), highest))
}

func (s *Series) rotate() {
	s.tokens.Rotate()
	s.service.Rotate()
	s.first.Rotate()
	s.rotated = s.clock.Now()
}

func (s *Series) refresh() {
	s.unread = 0
	tokens := s.tokens.Merge()
	s.lastCount = tokens.TotalCount()
	if s.lastCount < minSamples {
		return
	}
	service := s.service.Merge()
	s.estimate = Estimate{
		TokensMean: int(math.Ceil(tokens.Mean())),
		TokensP50:  int(tokens.ValueAtQuantile(50)),
		TokensP90:  int(tokens.ValueAtQuantile(90)),
		ServiceP10: millis(service, 10),
		ServiceP50: millis(service, 50),
		ServiceP90: millis(service, 90),
		FirstToken: millis(s.first.Merge(), 50),
		Samples:    s.lastCount,
	}
}

func millis(h *hdrhistogram.Histogram, quantile float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(quantile)) * time.Millisecond
}
