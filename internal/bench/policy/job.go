package main

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
)

// mix describes the requests of a class.
type mix struct {
	class  string
	load   float64 // share of the upstream's capacity
	prompt int     // mean tokens
	output int     // mean tokens
	shared int     // tokens at the start of the prompt that a group has in common
	groups int     // number of such groups
	work   time.Duration
	// From burstFrom to burstTo, the load is burst times as high.
	burst              float64
	burstFrom, burstTo time.Duration
}

// arrival is a request as it reaches a host. Both policies get the same ones.
type arrival struct {
	at          time.Duration
	host        int
	class       int
	prompt      int
	output      int
	prefix      uint64
	shared      int
	work        time.Duration
	fingerprint uint64
	poison      bool
	caller      int // 1 and up; 0 for none
}

// cost returns the engine seconds that a request of the mix takes in a full batch.
func (m *mix) cost(slots int) float64 {
	if m.work > 0 {
		return m.work.Seconds() / float64(slots)
	}
	perToken := (stepBase.Seconds() + float64(slots)*stepPerEntry.Seconds()) / float64(slots)
	return float64(m.output)*perToken + float64(m.prompt)*stepPerToken.Seconds()
}

// generate draws the arrivals of all mixes as Poisson processes.
func generate(s *scenario, snapshot *bundle.Snapshot) []arrival {
	random := rand.New(rand.NewPCG(s.seed, 1))
	if s.callers > 0 {
		return s.drawCallers(random, snapshot)
	}
	var out []arrival
	for i := range s.mixes {
		m := &s.mixes[i]
		_, class, _ := snapshot.Class(m.class)
		replicas, slots := serving(snapshot.Bundle, m.class)
		rate := m.load * float64(replicas) / m.cost(slots)
		for at := 0.0; ; {
			at += random.ExpFloat64() / (rate * m.factor(seconds(at)))
			if seconds(at) > s.duration {
				break
			}
			out = append(out, m.draw(random, seconds(at), class, s.hosts))
		}
	}
	for i, at := range s.poison {
		out = append(out, arrival{
			at: at, host: i % s.hosts, class: s.poisonClass(snapshot), prompt: 400, output: 40,
			fingerprint: 0xdeadbeef, poison: true,
		})
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (m *mix) factor(at time.Duration) float64 {
	if m.burst > 0 && at >= m.burstFrom && at < m.burstTo {
		return m.burst
	}
	return 1
}

func (m *mix) draw(random *rand.Rand, at time.Duration, class, hosts int) arrival {
	a := arrival{at: at, host: random.IntN(hosts), class: class, fingerprint: random.Uint64() | 1, work: m.work}
	if m.work > 0 {
		a.fingerprint = 0
		a.work = time.Duration(float64(m.work) * (0.5 + random.ExpFloat64()*0.5))
		return a
	}
	a.output = lognormal(random, m.output, 0.5)
	a.prompt = lognormal(random, m.prompt, 0.2)
	if m.groups > 0 {
		a.prefix = xxhash.Sum64String(m.class) + uint64(random.IntN(m.groups)) + 1
		a.shared = m.shared
		a.prompt = max(a.prompt, m.shared+16)
	}
	return a
}

// lognormal draws a length around the mean, bounded to four times of it.
func lognormal(random *rand.Rand, mean int, sigma float64) int {
	x := float64(mean) * math.Exp(random.NormFloat64()*sigma-sigma*sigma/2)
	return min(max(int(x), 4), 4*mean)
}

// prefixes returns the hashes of the prompt's starts of 64, 128, ... tokens;
// those within the shared start are equal in the whole group.
func (a *arrival) prefixes() []uint64 {
	var out []uint64
	for n := 64; n <= a.prompt; n *= 2 {
		seed := a.fingerprint
		if a.prefix != 0 && n <= a.shared {
			seed = a.prefix
		}
		out = append(out, seed*0x9e3779b97f4a7c15^uint64(n)*0xff51afd7ed558ccd)
	}
	return out
}

// serving returns the number of replicas and slots that serve the class.
func serving(b *bundle.Bundle, class string) (replicas, slots int) {
	for i := range b.Upstreams {
		if u := &b.Upstreams[i]; slices.Contains(u.Classes, class) {
			return len(u.Replicas), u.Slots
		}
	}
	return 0, 1
}

// job is an arrival while a policy handles it.
type job struct {
	*arrival
	id            string
	name          *bundle.Class
	arrived       time.Time
	deadline      time.Time
	assigned      time.Time // of the last attempt
	replica       scheduling.ReplicaID
	first         time.Time
	last          time.Time
	delivered     int
	computed      int // tokens computed in all attempts
	prefilled     int // prefill tokens of the last attempt
	attempt       int
	ran           int  // attempts that may have run
	preempted     bool // the last attempt was
	preemptions   int
	earlierNotRun bool
	refused       bool
	completed     bool
	done          bool
	ended         time.Time
	retryAfter    time.Duration // of the refusal
}

// met tells whether the request completed within its class's targets.
func (j *job) met() bool {
	if !j.completed {
		return false
	}
	c := j.name
	if t := c.FirstTokenTarget.Std(); t > 0 && j.first.Sub(j.arrived) > t {
		return false
	}
	if t := c.AnswerTarget.Std(); t > 0 && j.last.Sub(j.arrived) > t {
		return false
	}
	t := c.InterTokenTarget.Std()
	return t == 0 || j.output < 2 || j.last.Sub(j.first) <= t*time.Duration(j.output-1)
}

// wasted returns the computed tokens that did not go into a complete answer.
func (j *job) wasted() int {
	if !j.completed {
		return j.computed
	}
	return max(j.computed-j.prefilled-j.output, 0)
}
