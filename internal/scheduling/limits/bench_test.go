package limits

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
)

// The benchmarks below compare rules of the limiter in virtual time: four hosts
// of one zone, a team of 4,000 tokens/s and answers of log-normal length that
// stream at 33 tokens/s.
const (
	simHosts  = 4
	simRate   = 4000.0
	simMedian = 150.0
	simSigma  = 0.9
	simSpeed  = 33.0
	simStep   = 50 * time.Millisecond
	simTime   = 3 * time.Minute
)

type answer struct {
	team    *Team
	charged int
	left    float64
	tokens  int
}

type limitSim struct {
	clock    *clockwork.FakeClock
	random   *rand.Rand
	hosts    []*Limiter
	skew     []float64 // of the demand over the hosts
	running  []*answer
	demanded []float64 // by host, since the last shares
	offered  float64
	served   float64
	streamed []float64 // tokens by second
}

func newLimitSim(skew []float64, floor float64) *limitSim {
	s := &limitSim{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(1, 1)), skew: skew, demanded: make([]float64, simHosts)}
	// The zone weight scales the floor, so that other fractions than the
	// constant can be compared.
	team := bundle.Team{Name: "a", TokensPerSecond: simRate * floor / FloorFraction, MaxInProgress: 1 << 20}
	for range simHosts {
		s.hosts = append(s.hosts, newLimiter(s.clock, "ate", simHosts, 1, team))
	}
	return s
}

// share divides what the floors leave by recent demand, as a coordinator does.
func (s *limitSim) share(floor float64) {
	total := 0.0
	for _, d := range s.demanded {
		total += d
	}
	for i, l := range s.hosts {
		part := 1.0 / simHosts
		if total > 0 {
			part = s.demanded[i] / total
		}
		s.demanded[i] /= 2
		l.Update(nil, &scheduling.View{HostsInZone: simHosts, ZoneCount: 1, Shares: []scheduling.TeamShare{{
			Team: "a", TokensPerSecond: simRate * (1 - floor) * part, InProgress: 1 << 20,
			Expires: s.clock.Now().Add(2 * time.Second),
		}}})
	}
}

func (s *limitSim) arrive(load float64, charge func() int) {
	mean := simMedian * math.Exp(simSigma*simSigma/2)
	expected := load * simRate / mean * simStep.Seconds()
	for p := s.random.Float64(); p > math.Exp(-expected); p *= s.random.Float64() {
		host := 0
		for point := s.random.Float64() - s.skew[0]; point > 0 && host < simHosts-1; point -= s.skew[host] {
			host++
		}
		tokens := max(1, int(simMedian*math.Exp(simSigma*s.random.NormFloat64())))
		s.offered += float64(tokens)
		s.demanded[host] += float64(tokens)
		team := s.hosts[host].Team(0)
		charged := charge()
		if _, ok := team.Check(charged); !ok {
			continue
		}
		team.Begin(charged)
		s.served += float64(tokens)
		s.running = append(s.running, &answer{team: team, charged: charged, left: float64(tokens), tokens: tokens})
	}
}

func (s *limitSim) stream() float64 {
	sum := 0.0
	kept := s.running[:0]
	for _, a := range s.running {
		n := min(a.left, simSpeed*simStep.Seconds())
		a.left -= n
		sum += n
		if a.left > 0 {
			kept = append(kept, a)
		} else {
			a.team.End(a.charged, a.tokens)
		}
	}
	s.running = kept
	return sum
}

func (s *limitSim) run(load, floor float64, connected bool, charge func() int) {
	second := 0.0
	for at := time.Duration(0); at < simTime; at += simStep {
		if connected && at%(500*time.Millisecond) == 0 {
			s.share(floor)
		}
		s.arrive(load, charge)
		second += s.stream()
		s.clock.Advance(simStep)
		if (at+simStep)%time.Second == 0 {
			s.streamed = append(s.streamed, second)
			second = 0
		}
	}
}

// peak returns the highest use over ten seconds relative to the entitlement.
func (s *limitSim) peak() float64 {
	best := 0.0
	for i := 10; i <= len(s.streamed); i++ {
		sum := 0.0
		for _, n := range s.streamed[i-10 : i] {
			sum += n
		}
		best = max(best, sum/10/simRate)
	}
	return best
}

func (s *limitSim) report(b *testing.B) {
	b.ReportMetric(s.served/s.offered, "served")
	b.ReportMetric(s.peak(), "peak")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkFloorFraction compares fractions of the entitlement that hosts keep
// without a coordinator, at 90% of the entitlement with 70% of it on one host.
func BenchmarkFloorFraction(b *testing.B) {
	skew := []float64{0.7, 0.1, 0.1, 0.1}
	for _, floor := range []float64{0.25, 0.5, 0.75, 1} {
		for _, connected := range []bool{true, false} {
			b.Run(fmt.Sprintf("floor=%g/connected=%t", floor, connected), func(b *testing.B) {
				for range b.N {
					s := newLimitSim(skew, floor)
					s.run(0.9, floor, connected, func() int { return int(simMedian) })
					s.report(b)
				}
			})
		}
	}
}

// BenchmarkCharge compares what is charged up front: nothing, the median, the
// mean or the 90th percentile, at 90% of the entitlement and at three times it.
func BenchmarkCharge(b *testing.B) {
	charges := map[string]int{"none": 1, "p50": int(simMedian), "mean": int(simMedian * math.Exp(simSigma*simSigma/2)), "p90": int(simMedian * math.Exp(1.2816*simSigma))}
	for _, name := range []string{"none", "p50", "mean", "p90"} {
		for _, load := range []float64{0.9, 3} {
			b.Run(fmt.Sprintf("charge=%s/load=%g", name, load), func(b *testing.B) {
				for range b.N {
					s := newLimitSim([]float64{0.25, 0.25, 0.25, 0.25}, FloorFraction)
					s.run(load, FloorFraction, true, func() int { return charges[name] })
					s.report(b)
				}
			})
		}
	}
}

// BenchmarkCheck measures the charge and settlement of one request among 7,100
// teams.
func BenchmarkCheck(b *testing.B) {
	teams := make([]bundle.Team, 7100)
	for i := range teams {
		teams[i] = bundle.Team{Name: fmt.Sprint("team-", i), TokensPerSecond: 1e9, MaxInProgress: 1 << 20}
	}
	l := newLimiter(clockwork.NewFakeClock(), "ate", 1, 1, teams...)
	b.ReportAllocs()
	for i := range b.N {
		t := l.Team(i % len(teams))
		t.Check(100)
		t.Begin(100)
		t.End(100, 90)
	}
}
