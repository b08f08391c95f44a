package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
)

// The benchmarks below compare mechanisms of admission in virtual time on one pool
// of engines. An engine computes the prompt in prefill and then a token each
// perToken; a preempted stream computes its prompt again.
const (
	prefill  = 80 * time.Millisecond
	perToken = 30 * time.Millisecond
	simStep  = 10 * time.Millisecond
	// drain is the time after the last arrival in which requests still finish.
	drain = 4 * time.Minute
)

// load is the arrival of one class.
type load struct {
	class     int
	perSecond func(t time.Duration) float64
	median    float64 // tokens; lengths are log-normal
	sigma     float64
	resumable bool
	teams     []float64 // weights of the teams; nil for one team
}

type simRequest struct {
	request   scheduling.Request
	tokens    int // left to produce
	firstAt   time.Time
	ticket    *Ticket
	running   *Assignment
	started   time.Time
	epoch     int // number of the attempt, to recognize events of preempted ones
	completed bool
	refused   bool
}

type simEvent struct {
	at    time.Time
	r     *simRequest
	epoch int
	first bool
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type sim struct {
	*fixture
	random      *rand.Rand
	all         []*simRequest
	waiting     []*simRequest
	running     []*simRequest
	events      simEvents
	preemptions int
	wasted      time.Duration
	used        time.Duration
}

func newSim(b *testing.B, tune tuning, definition *bundle.Bundle, seed uint64) *sim {
	f := &fixture{t: b, clock: clockwork.NewFakeClock(), bundle: definition}
	p := &ringPicker{}
	f.Scheduler = New(Options{Clock: f.clock, Picker: p})
	f.tuning = tune
	f.Update(bundle.Compile(definition, 1, ""), &scheduling.View{HostsInZone: 1, ZoneCount: 1})
	return &sim{fixture: f, random: rand.New(rand.NewPCG(seed, 1))}
}

func (s *sim) run(loads []load, length time.Duration) {
	start := s.clock.Now()
	for at := time.Duration(0); at < length+drain; at += simStep {
		if at < length {
			for i := range loads {
				s.arrive(&loads[i], at)
			}
		}
		s.clock.Advance(simStep)
		s.complete()
		if s.clock.Since(start)%(50*time.Millisecond) == 0 {
			s.Tick()
		}
		s.collect()
	}
}

func (s *sim) arrive(l *load, at time.Duration) {
	expected := l.perSecond(at) * simStep.Seconds()
	for p := s.random.Float64(); ; {
		// Knuth's method for Poisson counts, cut off at zero arrivals.
		if p <= math.Exp(-expected) {
			return
		}
		s.submit(s.newRequest(l))
		p *= s.random.Float64()
	}
}

func (s *sim) newRequest(l *load) *simRequest {
	r := &simRequest{request: s.request(l.class, 0)}
	r.request.Resumable = l.resumable
	r.tokens = max(1, int(l.median*math.Exp(l.sigma*s.random.NormFloat64())))
	point := s.random.Float64()
	for i, weight := range l.teams {
		if point -= weight; point < 0 {
			r.request.Team = i
			break
		}
	}
	s.all = append(s.all, r)
	return r
}

func (s *sim) submit(r *simRequest) {
	t, err := s.Enqueue(r.request)
	if err != nil {
		r.refused = true
		return
	}
	r.ticket = t
	s.waiting = append(s.waiting, r)
}

func (s *sim) collect() {
	waitingNow := s.waiting
	s.waiting = nil
	for _, r := range waitingNow {
		switch r.ticket.state {
		case refused:
			r.refused = true
		case granted:
			s.begin(r)
		default:
			s.waiting = append(s.waiting, r)
		}
	}
	runningNow := s.running
	s.running = nil
	for _, r := range runningNow {
		switch {
		case r.completed:
		case r.running.isPreempted:
			s.interrupt(r)
		default:
			s.running = append(s.running, r)
		}
	}
}

func (s *sim) begin(r *simRequest) {
	r.running = &r.ticket.assigned
	r.started = s.clock.Now()
	r.epoch++
	s.running = append(s.running, r)
	first := r.started.Add(prefill + perToken)
	heap.Push(&s.events, simEvent{at: first, r: r, epoch: r.epoch, first: true})
	heap.Push(&s.events, simEvent{at: r.started.Add(prefill + time.Duration(r.tokens)*perToken), r: r, epoch: r.epoch})
}

func (s *sim) interrupt(r *simRequest) {
	s.preemptions++
	ran := s.clock.Since(r.started)
	produced := min(max(0, int((ran-prefill)/perToken)), r.tokens-1)
	s.used += ran
	s.wasted += ran - time.Duration(produced)*perToken
	r.epoch++
	r.tokens -= produced
	r.running.Finish(scheduling.Result{Canceled: true, Tokens: produced})
	r.request.Progress += produced
	r.request.Preempted = true
	r.request.Preemptions++
	s.submit(r)
}

func (s *sim) complete() {
	now := s.clock.Now()
	for len(s.events) > 0 && !s.events[0].at.After(now) {
		e := heap.Pop(&s.events).(simEvent)
		r := e.r
		switch {
		case e.epoch != r.epoch:
		case e.first:
			r.running.FirstToken()
			if r.firstAt.IsZero() {
				r.firstAt = now
			}
		default:
			r.completed = true
			s.used += now.Sub(r.started)
			r.running.Finish(done(r.tokens))
		}
	}
}

// attained tells whether the request met its class's target and its deadline.
func (s *sim) attained(r *simRequest) bool {
	c := s.classes[r.request.Class]
	return r.completed && r.firstAt.Sub(r.request.Arrived) <= c.target()
}

func (s *sim) report(b *testing.B, length time.Duration) {
	total, good := make([]float64, len(s.classes)), make([]float64, len(s.classes))
	attained, unfinished, refusals := 0.0, 0.0, 0.0
	for _, r := range s.all {
		total[r.request.Class]++
		if s.attained(r) {
			good[r.request.Class]++
			attained++
		}
		if r.refused {
			refusals++
		} else if !r.completed {
			unfinished++
		}
	}
	for i, c := range s.classes {
		if total[i] > 0 {
			b.ReportMetric(good[i]/total[i], c.Name+"-attainment")
		}
	}
	b.ReportMetric(attained/length.Seconds(), "goodput/s")
	b.ReportMetric(s.wasted.Seconds()/max(s.used.Seconds(), 1), "wasted")
	b.ReportMetric(float64(s.preemptions), "preemptions")
	b.ReportMetric(refusals, "refused")
	b.ReportMetric(unfinished, "unfinished")
	b.ReportMetric(0, "ns/op")
}

func constant(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// burst has a second rate between two times.
func burst(usual, high float64, from, to time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t >= from && t < to {
			return high
		}
		return usual
	}
}

// Mean service times of the loads below on an engine, with which the rates are
// computed as fractions of the capacity.
const (
	quoteTokens, quoteSigma = 40, 0.6
	draftTokens, draftSigma = 600, 0.5
)

func meanService(median, sigma float64) float64 {
	return prefill.Seconds() + median*math.Exp(sigma*sigma/2)*perToken.Seconds()
}

type scenario struct {
	name   string
	share  float64 // of the drafts
	slots  int     // of the pool
	length time.Duration
	loads  func(slots float64) []load
}

func quotes(rate func(time.Duration) float64) load {
	return load{class: classQuote, perSecond: rate, median: quoteTokens, sigma: quoteSigma}
}

func drafts(perSecond float64, resumable bool) load {
	return load{class: classDraft, perSecond: constant(perSecond), median: draftTokens, sigma: draftSigma, resumable: resumable}
}

func scenarios() []scenario {
	quote := meanService(quoteTokens, quoteSigma)
	draft := meanService(draftTokens, draftSigma)
	minutes := func(n float64) time.Duration { return time.Duration(n * float64(time.Minute)) }
	return []scenario{
		{"steady", 0.1, 48, minutes(5), func(n float64) []load {
			return []load{quotes(constant(0.35 * n / quote)), drafts(0.35*n/draft, true)}
		}},
		{"quotes-burst-3x", 0.1, 48, minutes(5), func(n float64) []load {
			return []load{quotes(burst(0.4*n/quote, 3*n/quote, minutes(1), minutes(1.5))), drafts(0.3*n/draft, true)}
		}},
		{"quotes-95-drafts-wait", 0.04, 48, minutes(5), func(n float64) []load {
			return []load{quotes(constant(0.95 * n / quote)), drafts(0.3*n/draft, true)}
		}},
		{"drafts-over-capacity", 0.1, 48, minutes(5), func(n float64) []load {
			return []load{quotes(constant(0.2 * n / quote)), drafts(1.2*n/draft, true)}
		}},
		{"drafts-over-capacity-small", 0.1, 12, minutes(5), func(n float64) []load {
			return []load{quotes(constant(0.2 * n / quote)), drafts(1.2*n/draft, true)}
		}},
		{"drafts-over-capacity-not-resumable", 0.1, 48, minutes(5), func(n float64) []load {
			return []load{quotes(constant(0.2 * n / quote)), drafts(1.2*n/draft, false)}
		}},
		{"quotes-in-bursts-drafts-over-capacity", 0.1, 48, minutes(5), func(n float64) []load {
			bursts := func(t time.Duration) float64 {
				if t%(30*time.Second) < 5*time.Second {
					return 0.6 * n / quote
				}
				return 0.05 * n / quote
			}
			return []load{quotes(bursts), drafts(1.2*n/draft, true)}
		}},
	}
}

func policies() []struct {
	name string
	tuning
} {
	all := defaultTuning
	noHeadroom, noPreemption, tiersOnly, byDeadline := all, all, all, all
	noHeadroom.headroom = false
	noPreemption.preemption = false
	tiersOnly.headroom, tiersOnly.preemption = false, false
	byDeadline.freshFirst = false
	return []struct {
		name string
		tuning
	}{
		{"fifo", tuning{fifo: true}},
		{"tiers-only", tiersOnly},
		{"headroom-only", noPreemption},
		{"preemption-only", noHeadroom},
		{"deadline-order", byDeadline},
		{"heatherbarrow", all},
	}
}

// BenchmarkPolicy runs each scenario once per policy with the same seed; use
// -benchtime=1x.
func BenchmarkPolicy(b *testing.B) {
	for _, sc := range scenarios() {
		for _, policy := range policies() {
			b.Run(fmt.Sprintf("scenario=%s/policy=%s", sc.name, policy.name), func(b *testing.B) {
				for range b.N {
					definition := testBundle(1, sc.slots/4, 4, 1)
					definition.Classes[classDraft].Share = sc.share
					s := newSim(b, policy.tuning, definition, 1)
					s.run(sc.loads(float64(sc.slots)), sc.length)
					s.report(b, sc.length)
				}
			})
		}
	}
}

// BenchmarkFairness compares the teams of one class at 1.5 times the capacity, of
// which the first team sends 90%.
func BenchmarkFairness(b *testing.B) {
	quote := meanService(quoteTokens, quoteSigma)
	for _, fair := range []bool{false, true} {
		b.Run(fmt.Sprintf("fairness=%t", fair), func(b *testing.B) {
			for range b.N {
				tune := defaultTuning
				tune.fairness = fair
				s := newSim(b, tune, testBundle(1, 12, 4, 2), 1)
				flood := quotes(constant(1.5 * 48 / quote))
				flood.teams = []float64{0.9, 0.1}
				s.run([]load{flood}, 2*time.Minute)
				s.report(b, 2*time.Minute)
				s.reportTeams(b)
			}
		})
	}
}

func (s *sim) reportTeams(b *testing.B) {
	var total, good [2]float64
	for _, r := range s.all {
		total[r.request.Team]++
		if s.attained(r) {
			good[r.request.Team]++
		}
	}
	b.ReportMetric(good[0]/total[0], "large-team-attainment")
	b.ReportMetric(good[1]/total[1], "small-team-attainment")
}
