package control

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/kernel"
	"heatherbarrow/internal/membership"
)

const (
	observeInterval = time.Second
	observeTimeout  = 800 * time.Millisecond
	// failuresToReport is the number of failed calls in a row after which an
	// observer tells; the table also waits for the other observer.
	failuresToReport = 3
	maxReportBytes   = 64 << 10
	// maxReportAge bounds the age that a report gives itself. One that old says
	// nothing of the present load.
	maxReportAge = time.Hour
)

// loadReport is an engine's answer to GET /v1/load.
type loadReport struct {
	Running         uint32   `json:"running"`
	Waiting         uint32   `json:"waiting"`
	TokensPerSecond float64  `json:"tokens_per_second"`
	Models          []string `json:"models"`
	Role            string   `json:"role"`
	AgeMS           int64    `json:"age_ms"`
	Boot            string   `json:"boot"`
}

// errReport means that a replica answered without a usable report.
var errReport = errors.New("unusable load report")

// LoadObserver polls the replicas that this host is responsible for.
type LoadObserver struct {
	HTTP   *http.Client
	Scheme string

	bus      *bus.Bus
	loop     *Loop
	mu       sync.Mutex
	observed map[Target]*history
}

// history is what the observer remembers of a replica.
type history struct {
	failures int
	boot     string
	round    int // last round in which the replica was a target
}

// Name implements kernel.Service.
func (o *LoadObserver) Name() string { return ServiceLoadObserver }

// Dependencies implements kernel.Dependent.
func (o *LoadObserver) Dependencies() []string { return []string{ServiceBus, ServiceLoop} }

// Provision implements kernel.Provisioner.
func (o *LoadObserver) Provision(r *kernel.Registry) (err error) {
	o.observed = make(map[Target]*history)
	if o.bus, err = kernel.Lookup[*bus.Bus](r, ServiceBus); err != nil {
		return err
	}
	o.loop, err = kernel.Lookup[*Loop](r, ServiceLoop)
	return err
}

// Start implements kernel.Starter.
func (o *LoadObserver) Start(ctx context.Context) error {
	go func() {
		for round := 1; ctx.Err() == nil; round++ {
			o.poll(ctx, round)
			pause(ctx, observeInterval)
		}
	}()
	return nil
}

// poll starts one call to each target, spread over half the interval.
func (o *LoadObserver) poll(ctx context.Context, round int) {
	for _, target := range o.loop.State().Topology.Targets {
		h := o.history(target, round)
		go func() {
			pause(ctx, rand.N(observeInterval/2))
			if ctx.Err() == nil {
				o.observe(ctx, target, h)
			}
		}()
	}
	o.forget(round)
}

func (o *LoadObserver) history(target Target, round int) *history {
	o.mu.Lock()
	defer o.mu.Unlock()
	h := o.observed[target]
	if h == nil {
		h = &history{}
		o.observed[target] = h
	}
	h.round = round
	return h
}

func (o *LoadObserver) forget(round int) {
	const keptRounds = 10
	o.mu.Lock()
	defer o.mu.Unlock()
	for target, h := range o.observed {
		if round-h.round > keptRounds {
			delete(o.observed, target)
		}
	}
}

func (o *LoadObserver) observe(ctx context.Context, target Target, h *history) {
	at := time.Now()
	report, err := o.call(ctx, target)
	if ctx.Err() != nil {
		return
	}
	observation := membership.Observation{Upstream: target.Upstream, Replica: target.Replica, At: at, Reachable: err == nil}
	if !o.note(h, report, &observation) {
		return
	}
	_ = o.bus.Publish(Observed{Observations: []membership.Observation{observation}})
}

// note completes the observation and tells whether it is worth reporting.
func (o *LoadObserver) note(h *history, report *loadReport, observation *membership.Observation) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !observation.Reachable {
		h.failures++
		return h.failures >= failuresToReport
	}
	h.failures = 0
	if report == nil {
		return true
	}
	observation.Restarted = h.boot != "" && report.Boot != "" && report.Boot != h.boot
	h.boot = report.Boot
	observation.HasLoad = true
	observation.Lag = time.Duration(report.AgeMS) * time.Millisecond
	observation.Running, observation.Waiting = report.Running, report.Waiting
	observation.TokensPerSecond = uint32(report.TokensPerSecond)
	observation.Models, observation.Role = report.Models, report.Role
	return true
}

// call asks an engine for its load. Plain services have no report: an accepted
// connection shows that they are there.
func (o *LoadObserver) call(ctx context.Context, target Target) (*loadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	if target.Kind == bundle.KindService {
		connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", target.Address)
		if err != nil {
			return nil, err
		}
		return nil, connection.Close()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, o.Scheme+"://"+target.Address+"/v1/load", nil)
	if err != nil {
		return nil, err
	}
	response, err := o.HTTP.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, errReport
	}
	return parseLoadReport(body)
}

// parseLoadReport decodes an engine's report and brings its numbers into the ranges
// of an observation, whose types would overflow.
func parseLoadReport(body []byte) (*loadReport, error) {
	report := &loadReport{}
	if json.Unmarshal(body, report) != nil {
		return nil, errReport
	}
	report.TokensPerSecond = min(quantity(report.TokensPerSecond), math.MaxUint32)
	report.AgeMS = min(max(report.AgeMS, 0), maxReportAge.Milliseconds())
	return report, nil
}
