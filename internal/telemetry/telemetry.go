// Package telemetry sets up structured logs and metrics.
package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"heatherbarrow/internal/cli"
)

// reportInterval is how often tally flushes counters into the scraped registry.
const reportInterval = time.Second

// Requests follow each other within milliseconds, so that lines need them to be
// put in order.
func init() { zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00" }

// NewLogger returns a JSON logger for one program on one host.
func NewLogger(w io.Writer, level, program, host, zone string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Logger{}, err
	}
	logger := zerolog.New(w).Level(parsed).With().Timestamp().
		Str("program", program).Str("host", host).Str("availability_zone", zone).Logger()
	return logger, nil
}

// Metrics is a tally scope together with the handler that exposes it.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics whose names begin with "heatherbarrow", beside those
// of the Go runtime and the process. They have a registry of their own, so that
// several programs can run in one process.
func NewMetrics(host, zone string) *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "heatherbarrow",
		Separator:      promreporter.DefaultSeparator,
		Tags:           map[string]string{"host": host, "availability_zone": zone},
		CachedReporter: reporter,
	}, reportInterval)
	scope.Tagged(map[string]string{"build": cli.Build()}).Gauge("build").Update(1)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close flushes and stops the scope.
func (m *Metrics) Close() error { return m.closer.Close() }
