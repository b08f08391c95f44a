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
	"sync/atomic"
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/kernel"
	"heatherbarrow/internal/membership"
)

const (
	observeInterval = time.Second
	observeTimeout  = 800 * time.Millisecond
	// pollGroups is the number of groups in which the replicas are called in each
	// interval.
	pollGroups = 4
	// slowAnswer is the time of a call after which a replica is called alone for
	// roundsAlone rounds.
	slowAnswer  = 100 * time.Millisecond
	roundsAlone = 10
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
	observed map[Target]*history // used by poll's goroutine alone
}

// history is what the observer remembers of a replica.
type history struct {
	target   Target
	failures int
	boot     string
	alone    int         // rounds in which it is not called in a group
	calling  atomic.Bool // a poll is under way; it alone uses the fields above
	unwanted int         // rounds without being a target
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
		for ctx.Err() == nil {
			o.poll(ctx)
		}
	}()
	return nil
}

// poll calls each target once in an interval with jitter, so that the two
// observers of a replica do not stay in step. The calls are made in a few groups,
// one after the other within a group: what a call costs is mostly the waking of
// idle threads and the event for the control goroutine, which a group shares.
func (o *LoadObserver) poll(ctx context.Context) {
	o.follow()
	groups := o.groups(ctx)
	for i := range pollGroups {
		if len(groups[i]) > 0 {
			go o.observe(ctx, groups[i])
		}
		pause(ctx, (observeInterval*3/4+rand.N(observeInterval/2))/pollGroups)
	}
}

// follow brings the remembered replicas in line with the targets. A replica that
// is no target any more is kept for some rounds, so that a restart of its engine
// shows when it becomes one again.
func (o *LoadObserver) follow() {
	const keptRounds = 10
	for _, h := range o.observed {
		h.unwanted++
	}
	for _, target := range o.loop.State().Topology.Targets {
		h := o.observed[target]
		if h == nil {
			h = &history{target: target}
			o.observed[target] = h
		}
		h.unwanted = 0
	}
	for target, h := range o.observed {
		if h.unwanted > keptRounds {
			delete(o.observed, target)
		}
	}
}

// groups distributes the targets over the groups of a round and starts the calls
// of those that may take long, which would hold up the others of their group.
func (o *LoadObserver) groups(ctx context.Context) (groups [pollGroups][]*history) {
	for i, target := range o.loop.State().Topology.Targets {
		h := o.observed[target]
		if h == nil || !h.calling.CompareAndSwap(false, true) {
			continue // new since follow, or the last call still waits
		}
		if h.alone > 0 {
			go o.observe(ctx, []*history{h})
			continue
		}
		groups[i%pollGroups] = append(groups[i%pollGroups], h)
	}
	return groups
}

// observe calls a group of replicas and reports what it learned of them. When one
// is slow, the others are not kept waiting: with many silent replicas, as when a
// rack fails, the timeouts of a group would add up.
func (o *LoadObserver) observe(ctx context.Context, group []*history) {
	var observations []membership.Observation
	for i, h := range group {
		observation, reported, prompt := o.observeOne(ctx, h)
		if reported {
			observations = append(observations, observation)
		}
		if !prompt {
			for _, rest := range group[i+1:] {
				go o.observe(ctx, []*history{rest})
			}
			break
		}
	}
	if len(observations) > 0 && ctx.Err() == nil {
		_ = o.bus.Publish(Observed{Observations: observations})
	}
}

// observeOne calls a replica and tells whether the result is worth reporting and
// whether it came in time.
func (o *LoadObserver) observeOne(ctx context.Context, h *history) (observation membership.Observation, reported, prompt bool) {
	defer h.calling.Store(false)
	at := time.Now()
	report, err := o.call(ctx, h.target)
	prompt = err == nil && time.Since(at) < slowAnswer
	h.rate(prompt)
	observation = membership.Observation{Upstream: h.target.Upstream, Replica: h.target.Replica, CalledAt: at, Reachable: err == nil}
	return observation, h.note(report, &observation), prompt
}

// rate keeps a replica that failed or was slow out of the groups for some rounds.
func (h *history) rate(prompt bool) {
	if !prompt {
		h.alone = roundsAlone
	} else if h.alone > 0 {
		h.alone--
	}
}

// note completes the observation and tells whether it is worth reporting.
func (h *history) note(report *loadReport, observation *membership.Observation) bool {
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
