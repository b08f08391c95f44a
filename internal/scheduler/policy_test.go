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

// The benchmarks below compare scheduling mechanisms in simulated time on one pool
// of engines. An engine takes prefillTime for the prompt and then timePerToken for
// each token; a preempted stream repeats the prefill.
const (
	prefillTime  = 80 * time.Millisecond
	timePerToken = 30 * time.Millisecond
	simStepTime  = 10 * time.Millisecond
	// drainTime is the simulated time after the last arrival in which requests may
	// still finish.
	drainTime = 4 * time.Minute
)

// classLoad describes the requests of one class.
type classLoad struct {
	class             int
	requestsPerSecond func(t time.Duration) float64
	medianTokens      float64 // median answer length; lengths are log-normal
	sigma             float64 // standard deviation of the logarithm of the length
	resumable         bool
	teamWeights       []float64 // probability of each team; nil for one team
}

// simRequest is a simulated request and its current attempt.
type simRequest struct {
	request         scheduling.Request
	remainingTokens int // tokens that the current attempt must generate
	firstTokenAt    time.Time
	ticket          *Ticket
	running         *Assignment
	started         time.Time
	epoch           int // incremented at each start and preemption, so that events scheduled before are ignored
	completed       bool
	refused         bool
}

// simEvent is the arrival of a first token or the end of an answer.
type simEvent struct {
	at         time.Time
	r          *simRequest
	epoch      int // of the request when the event was scheduled
	firstToken bool
}

// simEvents is a heap of events in order of time.
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

// sim simulates callers and engines around a scheduler.
type sim struct {
	*fixture
	random      *rand.Rand
	requests    []*simRequest
	waiting     []*simRequest
	running     []*simRequest
	events      simEvents
	preemptions int
	wastedTime  time.Duration
	busyTime    time.Duration
}

func newSim(b *testing.B, enabled features, definition *bundle.Bundle, seed uint64) *sim {
	f := &fixture{t: b, clock: clockwork.NewFakeClock(), bundle: definition}
	p := &roundRobinPicker{}
	f.Scheduler = New(Options{Clock: f.clock, Picker: p})
	f.features = enabled
	f.Update(bundle.Compile(definition, 1, ""), &scheduling.View{HostsInZone: 1, ZoneCount: 1})
	return &sim{fixture: f, random: rand.New(rand.NewPCG(seed, 1))}
}

func (s *sim) run(loads []classLoad, length time.Duration) {
	start := s.clock.Now()
	for at := time.Duration(0); at < length+drainTime; at += simStepTime {
		if at < length {
			for i := range loads {
				s.generateArrivals(&loads[i], at)
			}
		}
		s.clock.Advance(simStepTime)
		s.processEvents()
		if s.clock.Since(start)%(50*time.Millisecond) == 0 {
			s.Tick()
		}
		s.updateRequests()
	}
}

func (s *sim) generateArrivals(l *classLoad, at time.Duration) {
	expected := l.requestsPerSecond(at) * simStepTime.Seconds()
	for product := s.random.Float64(); ; {
		// Knuth's algorithm for Poisson-distributed counts.
		if product <= math.Exp(-expected) {
			return
		}
		s.submit(s.newRequest(l))
		product *= s.random.Float64()
	}
}

func (s *sim) newRequest(l *classLoad) *simRequest {
	r := &simRequest{request: s.request(l.class, 0)}
	r.request.Resumable = l.resumable
	r.remainingTokens = max(1, int(l.medianTokens*math.Exp(l.sigma*s.random.NormFloat64())))
	draw := s.random.Float64()
	for i, weight := range l.teamWeights {
		if draw -= weight; draw < 0 {
			r.request.Team = i
			break
		}
	}
	s.requests = append(s.requests, r)
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

func (s *sim) updateRequests() {
	previouslyWaiting := s.waiting
	s.waiting = nil
	for _, r := range previouslyWaiting {
		switch r.ticket.state {
		case refused:
			r.refused = true
		case granted:
			s.startRequest(r)
		default:
			s.waiting = append(s.waiting, r)
		}
	}
	previouslyRunning := s.running
	s.running = nil
	for _, r := range previouslyRunning {
		switch {
		case r.completed:
		case r.running.isPreempted:
			s.preemptRequest(r)
		default:
			s.running = append(s.running, r)
		}
	}
}

func (s *sim) startRequest(r *simRequest) {
	r.running = &r.ticket.assignment
	r.started = s.clock.Now()
	r.epoch++
	s.running = append(s.running, r)
	firstToken := r.started.Add(prefillTime + timePerToken)
	heap.Push(&s.events, simEvent{at: firstToken, r: r, epoch: r.epoch, firstToken: true})
	heap.Push(&s.events, simEvent{at: r.started.Add(prefillTime + time.Duration(r.remainingTokens)*timePerToken), r: r, epoch: r.epoch})
}

func (s *sim) preemptRequest(r *simRequest) {
	s.preemptions++
	ran := s.clock.Since(r.started)
	produced := min(max(0, int((ran-prefillTime)/timePerToken)), r.remainingTokens-1)
	s.busyTime += ran
	s.wastedTime += ran - time.Duration(produced)*timePerToken
	r.epoch++
	r.remainingTokens -= produced
	r.running.Finish(scheduling.Result{Canceled: true, Tokens: produced})
	r.request.Progress += produced
	r.request.Preempted = true
	r.request.Preemptions++
	s.submit(r)
}

func (s *sim) processEvents() {
	now := s.clock.Now()
	for len(s.events) > 0 && !s.events[0].at.After(now) {
		e := heap.Pop(&s.events).(simEvent)
		r := e.r
		switch {
		case e.epoch != r.epoch:
		case e.firstToken:
			r.running.FirstToken()
			if r.firstTokenAt.IsZero() {
				r.firstTokenAt = now
			}
		default:
			r.completed = true
			s.busyTime += now.Sub(r.started)
			r.running.Finish(completedResult(r.remainingTokens))
		}
	}
}

// attained reports whether the request was completed and met its class's target for
// the first token.
func (s *sim) attained(r *simRequest) bool {
	c := s.classes[r.request.Class]
	return r.completed && r.firstTokenAt.Sub(r.request.Arrived) <= c.target()
}

func (s *sim) report(b *testing.B, length time.Duration) {
	totalByClass, attainedByClass := make([]float64, len(s.classes)), make([]float64, len(s.classes))
	attained, unfinishedCount, refusedCount := 0.0, 0.0, 0.0
	for _, r := range s.requests {
		totalByClass[r.request.Class]++
		if s.attained(r) {
			attainedByClass[r.request.Class]++
			attained++
		}
		if r.refused {
			refusedCount++
		} else if !r.completed {
			unfinishedCount++
		}
	}
	for i, c := range s.classes {
		if totalByClass[i] > 0 {
			b.ReportMetric(attainedByClass[i]/totalByClass[i], c.Name+"-attainment")
		}
	}
	b.ReportMetric(attained/length.Seconds(), "goodput/s")
	b.ReportMetric(s.wastedTime.Seconds()/max(s.busyTime.Seconds(), 1), "wasted")
	b.ReportMetric(float64(s.preemptions), "preemptions")
	b.ReportMetric(refusedCount, "refused")
	b.ReportMetric(unfinishedCount, "unfinished")
	b.ReportMetric(0, "ns/op")
}

func constantRate(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// burstRate returns a rate function that is peak between two times and base
// otherwise.
func burstRate(base, peak float64, from, to time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t >= from && t < to {
			return peak
		}
		return base
	}
}

// Medians of the answer lengths, in tokens, and standard deviations of their
// logarithms.
const (
	quoteTokens, quoteSigma = 40, 0.6
	draftTokens, draftSigma = 600, 0.5
)

// meanServiceTime returns the mean service time of a load on an engine, in seconds.
// The scenarios use it to compute arrival rates from fractions of the capacity.
func meanServiceTime(median, sigma float64) float64 {
	return prefillTime.Seconds() + median*math.Exp(sigma*sigma/2)*timePerToken.Seconds()
}

// scenario is a combination of loads on one pool.
type scenario struct {
	name       string
	draftShare float64 // guaranteed share of the draft class
	slots      int     // of the pool
	length     time.Duration
	loads      func(slots float64) []classLoad
}

func quoteLoad(rate func(time.Duration) float64) classLoad {
	return classLoad{class: classQuote, requestsPerSecond: rate, medianTokens: quoteTokens, sigma: quoteSigma}
}

func draftLoad(requestsPerSecond float64, resumable bool) classLoad {
	return classLoad{class: classDraft, requestsPerSecond: constantRate(requestsPerSecond), medianTokens: draftTokens, sigma: draftSigma, resumable: resumable}
}

func scenarios() []scenario {
	quoteTime := meanServiceTime(quoteTokens, quoteSigma)
	draftTime := meanServiceTime(draftTokens, draftSigma)
	minutes := func(n float64) time.Duration { return time.Duration(n * float64(time.Minute)) }
	return []scenario{
		{"steady", 0.1, 48, minutes(5), func(n float64) []classLoad {
			return []classLoad{quoteLoad(constantRate(0.35 * n / quoteTime)), draftLoad(0.35*n/draftTime, true)}
		}},
		{"quotes-burst-3x", 0.1, 48, minutes(5), func(n float64) []classLoad {
			return []classLoad{quoteLoad(burstRate(0.4*n/quoteTime, 3*n/quoteTime, minutes(1), minutes(1.5))), draftLoad(0.3*n/draftTime, true)}
		}},
		{"quotes-95-drafts-wait", 0.04, 48, minutes(5), func(n float64) []classLoad {
			return []classLoad{quoteLoad(constantRate(0.95 * n / quoteTime)), draftLoad(0.3*n/draftTime, true)}
		}},
		{"drafts-over-capacity", 0.1, 48, minutes(5), func(n float64) []classLoad {
			return []classLoad{quoteLoad(constantRate(0.2 * n / quoteTime)), draftLoad(1.2*n/draftTime, true)}
		}},
		{"drafts-over-capacity-small", 0.1, 12, minutes(5), func(n float64) []classLoad {
			return []classLoad{quoteLoad(constantRate(0.2 * n / quoteTime)), draftLoad(1.2*n/draftTime, true)}
		}},
		{"drafts-over-capacity-not-resumable", 0.1, 48, minutes(5), func(n float64) []classLoad {
			return []classLoad{quoteLoad(constantRate(0.2 * n / quoteTime)), draftLoad(1.2*n/draftTime, false)}
		}},
		{"quotes-in-bursts-drafts-over-capacity", 0.1, 48, minutes(5), func(n float64) []classLoad {
			bursts := func(t time.Duration) float64 {
				if t%(30*time.Second) < 5*time.Second {
					return 0.6 * n / quoteTime
				}
				return 0.05 * n / quoteTime
			}
			return []classLoad{quoteLoad(bursts), draftLoad(1.2*n/draftTime, true)}
		}},
	}
}

func policies() []struct {
	name string
	features
} {
	allFeatures := defaultFeatures
	preemptionOnly, headroomOnly, tiersOnly, deadlineOrder := allFeatures, allFeatures, allFeatures, allFeatures
	preemptionOnly.headroom = false
	headroomOnly.preemption = false
	tiersOnly.headroom, tiersOnly.preemption = false, false
	deadlineOrder.onTimeFirst = false
	return []struct {
		name string
		features
	}{
		{"fifo", features{fifo: true}},
		{"tiers-only", tiersOnly},
		{"headroom-only", headroomOnly},
		{"preemption-only", preemptionOnly},
		{"deadline-order", deadlineOrder},
		{"heatherbarrow", allFeatures},
	}
}

// BenchmarkPolicy runs each scenario once per policy with the same seed. Run it with
// -benchtime=1x.
func BenchmarkPolicy(b *testing.B) {
	for _, sc := range scenarios() {
		for _, policy := range policies() {
			b.Run(fmt.Sprintf("scenario=%s/policy=%s", sc.name, policy.name), func(b *testing.B) {
				for range b.N {
					definition := testBundle(1, sc.slots/4, 4, 1)
					definition.Classes[classDraft].Share = sc.draftShare
					s := newSim(b, policy.features, definition, 1)
					s.run(sc.loads(float64(sc.slots)), sc.length)
					s.report(b, sc.length)
				}
			})
		}
	}
}

// BenchmarkFairness compares the attainment of two teams of one class at a load of
// 1.5 times the capacity, of which the first team sends 90%.
func BenchmarkFairness(b *testing.B) {
	quoteTime := meanServiceTime(quoteTokens, quoteSigma)
	for _, fairness := range []bool{false, true} {
		b.Run(fmt.Sprintf("fairness=%t", fairness), func(b *testing.B) {
			for range b.N {
				enabled := defaultFeatures
				enabled.teamFairness = fairness
				s := newSim(b, enabled, testBundle(1, 12, 4, 2), 1)
				overload := quoteLoad(constantRate(1.5 * 48 / quoteTime)) // 12 replicas have 48 slots
				overload.teamWeights = []float64{0.9, 0.1}
				s.run([]classLoad{overload}, 2*time.Minute)
				s.report(b, 2*time.Minute)
				s.reportTeams(b)
			}
		})
	}
}

func (s *sim) reportTeams(b *testing.B) {
	var totalByTeam, attainedByTeam [2]float64
	for _, r := range s.requests {
		totalByTeam[r.request.Team]++
		if s.attained(r) {
			attainedByTeam[r.request.Team]++
		}
	}
	b.ReportMetric(attainedByTeam[0]/totalByTeam[0], "large-team-attainment")
	b.ReportMetric(attainedByTeam[1]/totalByTeam[1], "small-team-attainment")
}
