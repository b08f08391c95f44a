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

// The benchmarks below compare limiter rules by simulation in virtual time: four
// hosts of one zone serve a team that is entitled to 4,000 tokens/s. The lengths of
// answers have a log-normal distribution, and each answer streams at 33 tokens/s.
const (
	simHosts                 = 4
	simTokensPerSecond       = 4000.0
	simMedianTokens          = 150.0
	simLogSigma              = 0.9
	simStreamTokensPerSecond = 33.0
	simStep                  = 50 * time.Millisecond
	simDuration              = 3 * time.Minute
)

// answer is a simulated answer that is being streamed. Lengths are in tokens.
type answer struct {
	team      *Team
	charged   int
	remaining float64
	tokens    int
}

// simulation simulates the requests of one team to the hosts of one zone.
type simulation struct {
	clock           *clockwork.FakeClock
	random          *rand.Rand
	hosts           []*Limiter
	demandFractions []float64 // by host; the sum is 1
	running         []*answer
	recentDemand    []float64 // tokens by host, halved at each update of the shares
	offeredTokens   float64
	servedTokens    float64
	tokensBySecond  []float64
}

func newSimulation(demandFractions []float64, floorFraction float64) *simulation {
	s := &simulation{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(1, 1)), demandFractions: demandFractions, recentDemand: make([]float64, simHosts)}
	// FloorFraction is constant. To simulate another fraction, the entitlement is
	// scaled so that the floors add up to floorFraction of simTokensPerSecond.
	team := bundle.Team{Name: "a", TokensPerSecond: simTokensPerSecond * floorFraction / FloorFraction, MaxInProgress: 1 << 20}
	for range simHosts {
		s.hosts = append(s.hosts, newLimiter(s.clock, "ate", simHosts, 1, team))
	}
	return s
}

// updateShares divides the part of the entitlement that is not covered by floors
// between the hosts in proportion to recent demand, as a coordinator does.
func (s *simulation) updateShares(floorFraction float64) {
	total := 0.0
	for _, tokens := range s.recentDemand {
		total += tokens
	}
	for i, l := range s.hosts {
		fraction := 1.0 / simHosts
		if total > 0 {
			fraction = s.recentDemand[i] / total
		}
		s.recentDemand[i] /= 2
		l.Update(nil, &scheduling.View{HostsInZone: simHosts, ZoneCount: 1, Shares: []scheduling.TeamShare{{
			Team: "a", TokensPerSecond: simTokensPerSecond * (1 - floorFraction) * fraction, InProgress: 1 << 20,
			Expires: s.clock.Now().Add(2 * time.Second),
		}}})
	}
}

// addArrivals adds the requests of one step as a Poisson process at the given load
// relative to the entitlement, and begins those that the limiter admits.
func (s *simulation) addArrivals(load float64, charge func() int) {
	mean := simMedianTokens * math.Exp(simLogSigma*simLogSigma/2)
	expected := load * simTokensPerSecond / mean * simStep.Seconds()
	for product := s.random.Float64(); product > math.Exp(-expected); product *= s.random.Float64() {
		host := 0
		for point := s.random.Float64() - s.demandFractions[0]; point > 0 && host < simHosts-1; point -= s.demandFractions[host] {
			host++
		}
		tokens := max(1, int(simMedianTokens*math.Exp(simLogSigma*s.random.NormFloat64())))
		s.offeredTokens += float64(tokens)
		s.recentDemand[host] += float64(tokens)
		team := s.hosts[host].Team(0)
		charged := charge()
		if _, ok := team.Check(charged); !ok {
			continue
		}
		team.Begin(charged)
		s.servedTokens += float64(tokens)
		s.running = append(s.running, &answer{team: team, charged: charged, remaining: float64(tokens), tokens: tokens})
	}
}

// stream streams one step of the running answers and returns the number of tokens.
func (s *simulation) stream() float64 {
	streamedTokens := 0.0
	unfinished := s.running[:0]
	for _, a := range s.running {
		n := min(a.remaining, simStreamTokensPerSecond*simStep.Seconds())
		a.remaining -= n
		streamedTokens += n
		if a.remaining > 0 {
			unfinished = append(unfinished, a)
		} else {
			a.team.End(a.charged, a.tokens)
		}
	}
	s.running = unfinished
	return streamedTokens
}

// run simulates simDuration. Unless connected, hosts receive no shares.
func (s *simulation) run(load, floorFraction float64, connected bool, charge func() int) {
	tokensInSecond := 0.0
	for elapsed := time.Duration(0); elapsed < simDuration; elapsed += simStep {
		if connected && elapsed%(500*time.Millisecond) == 0 {
			s.updateShares(floorFraction)
		}
		s.addArrivals(load, charge)
		tokensInSecond += s.stream()
		s.clock.Advance(simStep)
		if (elapsed+simStep)%time.Second == 0 {
			s.tokensBySecond = append(s.tokensBySecond, tokensInSecond)
			tokensInSecond = 0
		}
	}
}

// peakUse returns the maximum use over ten seconds relative to the entitlement.
func (s *simulation) peakUse() float64 {
	maxUse := 0.0
	for i := 10; i <= len(s.tokensBySecond); i++ {
		sum := 0.0
		for _, n := range s.tokensBySecond[i-10 : i] {
			sum += n
		}
		maxUse = max(maxUse, sum/10/simTokensPerSecond)
	}
	return maxUse
}

func (s *simulation) report(b *testing.B) {
	b.ReportMetric(s.servedTokens/s.offeredTokens, "served")
	b.ReportMetric(s.peakUse(), "peak")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkFloorFraction compares values of FloorFraction with and without a
// coordinator, at a demand of 90% of the entitlement of which 70% arrives at one
// host.
func BenchmarkFloorFraction(b *testing.B) {
	demandFractions := []float64{0.7, 0.1, 0.1, 0.1}
	for _, floorFraction := range []float64{0.25, 0.5, 0.75, 1} {
		for _, connected := range []bool{true, false} {
			b.Run(fmt.Sprintf("floor=%g/connected=%t", floorFraction, connected), func(b *testing.B) {
				for range b.N {
					s := newSimulation(demandFractions, floorFraction)
					s.run(0.9, floorFraction, connected, func() int { return int(simMedianTokens) })
					s.report(b)
				}
			})
		}
	}
}

// BenchmarkCharge compares the number of tokens charged at the beginning of a
// request: one, or the median, the mean or the 90th percentile of the length. The
// demand is 90% or 300% of the entitlement.
func BenchmarkCharge(b *testing.B) {
	charges := map[string]int{"none": 1, "p50": int(simMedianTokens), "mean": int(simMedianTokens * math.Exp(simLogSigma*simLogSigma/2)), "p90": int(simMedianTokens * math.Exp(1.2816*simLogSigma))}
	for _, name := range []string{"none", "p50", "mean", "p90"} {
		for _, load := range []float64{0.9, 3} {
			b.Run(fmt.Sprintf("charge=%s/load=%g", name, load), func(b *testing.B) {
				for range b.N {
					s := newSimulation([]float64{0.25, 0.25, 0.25, 0.25}, FloorFraction)
					s.run(load, FloorFraction, true, func() int { return charges[name] })
					s.report(b)
				}
			})
		}
	}
}

// BenchmarkCheck measures Check, Begin and End of one request with 7,100 teams.
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
