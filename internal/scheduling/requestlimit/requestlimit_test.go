package requestlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	step        = 10 * time.Millisecond
	replicaKey  = 42
	replicaZone = "z1"
	window      = 4 * time.Second
)

// simHost is a host of a simulation with a clock of its own, which stands still while the host is
// suspended.
type simHost struct {
	name, zone     string
	hosts          Hosts
	limit          *Limit
	now            time.Time
	suspended      bool
	restartedUntil time.Time // requests until then do not count
}

// sim simulates hosts that send requests to a replica with a request limit and tell each other
// about it.
type sim struct {
	random *rand.Rand
	hosts  []*simHost
	zones  map[string][]*simHost
	limit  Statement
	cut    map[string]bool // zones that exchange nothing with others
	demand float64         // probability that a host has a request in a step
	silent bool            // hosts tell each other nothing of limits and requests
	// heartbeat is the interval between heartbeats. As on real hosts, it grows with the hosts of a
	// zone.
	heartbeat time.Duration
	elapsed   time.Duration
	sends     []time.Duration // when counted requests were sent
}

var simStart = time.Unix(1000, 0)

func newSim(hosts, zones int, perSecond float64) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(uint64(hosts), uint64(zones))), zones: make(map[string][]*simHost), cut: make(map[string]bool),
		limit: Statement{Limited: true, PerSecond: perSecond}, demand: 1,
		heartbeat: max(time.Duration(hosts/zones)*time.Second/150, 50*time.Millisecond).Round(step),
	}
	for i := range hosts {
		h := &simHost{name: fmt.Sprintf("h%d", i), zone: fmt.Sprintf("z%d", i%zones), limit: &Limit{}, now: simStart}
		s.hosts = append(s.hosts, h)
		s.zones[h.zone] = append(s.zones[h.zone], h)
	}
	for _, h := range s.hosts {
		s.updateHosts(h)
		h.limit.Observe(s.limit, h.now, h.now)
	}
	return s
}

// updateHosts sets the hosts that h is in contact with.
func (s *sim) updateHosts(h *simHost) {
	h.hosts = Hosts{Host: h.name, Zone: h.zone, ExchangeDelay: 2*s.heartbeat + 150*time.Millisecond}
	for zone, hosts := range s.zones {
		switch {
		case zone == h.zone:
			for _, n := range hosts {
				if n != h {
					h.hosts.Neighbors = append(h.hosts.Neighbors, n.name)
				}
			}
		case !s.cut[zone] && !s.cut[h.zone]:
			h.hosts.OtherZones = append(h.hosts.OtherZones, Zone{Name: zone, Hosts: len(hosts)})
		}
	}
	h.hosts.Reachable = float64(h.hosts.count()) / float64(len(s.hosts))
}

func (s *sim) run(d time.Duration) {
	for end := s.elapsed + d; s.elapsed < end; s.elapsed += step {
		for _, i := range s.random.Perm(len(s.hosts)) {
			h := s.hosts[i]
			if h.suspended {
				continue
			}
			h.now = h.now.Add(step)
			if s.random.Float64() >= s.demand || !h.limit.Allows(&h.hosts, replicaKey, replicaZone, h.now) {
				continue
			}
			h.limit.Take(&h.hosts, h.now)
			h.limit.Observe(s.limit, h.now, h.now)
			if h.now.After(h.restartedUntil) {
				s.sends = append(s.sends, s.elapsed)
			}
		}
		if s.elapsed%s.heartbeat == 0 && !s.silent {
			s.exchange()
		}
	}
}

// exchange sends heartbeats within the zones, and digests by the first running host of each zone.
func (s *sim) exchange() {
	for zone, hosts := range s.zones {
		spoke := false
		for _, from := range hosts {
			if from.suspended {
				continue
			}
			s.deliver(from.name, true, from.limit.Report, from, zone)
			if spoke {
				continue
			}
			spoke = true
			for other := range s.zones {
				if other != zone && !s.cut[zone] && !s.cut[other] {
					s.deliver("zone/"+zone+"/"+from.name, false, from.limit.ZoneReport, from, other)
				}
			}
		}
	}
}

func (s *sim) deliver(name string, neighbor bool, report func(time.Time) (Report, bool), from *simHost, zone string) {
	r, ok := report(from.now)
	if !ok {
		return
	}
	for _, to := range s.zones[zone] {
		if to != from && !to.suspended {
			to.limit.Apply(name, neighbor, r, &to.hosts, to.now)
		}
	}
}

// cutZone separates a zone from the others, or joins it again.
func (s *sim) cutZone(zone string, cut bool) {
	s.cut[zone] = cut
	for _, h := range s.hosts {
		s.updateHosts(h)
	}
}

// restart replaces the host's process.
func (s *sim) restart(h *simHost) {
	h.limit = &Limit{}
	h.restartedUntil = h.now.Add(2 * s.heartbeat)
}

// most returns the largest number of requests in a window.
func (s *sim) most() int {
	most, first := 0, 0
	for last, at := range s.sends {
		for at-s.sends[first] > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// assertBound checks the operators' bound on the requests in a window.
func (s *sim) assertBound(t *testing.T) {
	t.Helper()
	assert.LessOrEqual(t, float64(s.most()), 1.5*s.limit.PerSecond*window.Seconds()+5)
}

// Guards against hosts that together exceed a replica's limit because each keeps it by itself, or
// because many of them spend unused tokens at the same moment, and against limits that stay
// unused.
func TestLimitHoldsOverAnyNumberOfHosts(t *testing.T) {
	for _, hosts := range []int{1, 4, 30, 300} {
		for _, perSecond := range []float64{0, 0.3, 1, 1.4, 3.7, 20, 400} {
			t.Run(fmt.Sprintf("%d hosts, %v a second", hosts, perSecond), func(t *testing.T) {
				s := newSim(hosts, min(hosts, 3), perSecond)
				s.run(10 * time.Second)
				s.assertBound(t)
				most := min(perSecond, float64(hosts)/step.Seconds())
				assert.GreaterOrEqual(t, float64(len(s.sends)), 0.75*most*10-1, "the limit is used")
			})
		}
	}
}

// Guards against a burst of all hosts to a replica that had got no requests for long.
func TestIdleLimitAllowsNoBurstOfAllHosts(t *testing.T) {
	for _, perSecond := range []float64{0, 0.3, 1, 5, 20} {
		s := newSim(120, 3, perSecond)
		s.demand = 0
		s.run(staleAfter + 15*time.Second)
		s.demand = 1
		s.run(10 * time.Second)
		s.assertBound(t)
	}
}

// Guards against a limit that stays unused because the hosts which hold its parts have no requests.
func TestUnusedPartsAreUsedByOtherHosts(t *testing.T) {
	s := newSim(4, 3, 1.4)
	for _, h := range s.hosts {
		if h.hosts.position(replicaKey, replicaZone) == 0 {
			h.suspended = true // other hosts do not notice
		}
	}
	s.run(20 * time.Second)
	s.assertBound(t)
	assert.GreaterOrEqual(t, len(s.sends), 14)
}

// Guards against hosts on both sides of a cut that each use the whole limit, and against a limit
// exceeded when zones are cut off and joined again.
func TestLimitHoldsThroughCuts(t *testing.T) {
	for _, perSecond := range []float64{0.3, 1, 1.4, 8, 40} {
		for _, hosts := range []int{4, 12, 60} {
			s := newSim(hosts, 3, perSecond)
			for round := range 6 {
				zone := fmt.Sprintf("z%d", round%3)
				s.cutZone(zone, true)
				s.run(time.Duration(500+1700*round) * time.Millisecond)
				s.cutZone(zone, false)
				s.run(time.Second)
			}
			s.cutZone("z0", true)
			s.cutZone("z1", true)
			s.run(8 * time.Second)
			s.assertBound(t)
		}
	}
}

// Guards against hosts that lose the limit in a restart, and against a host that wakes from a
// suspension and uses what it believed before.
func TestLimitHoldsThroughRestartsAndSuspensions(t *testing.T) {
	for _, perSecond := range []float64{0.3, 1, 1.4, 8, 40} {
		for _, hosts := range []int{2, 4, 12, 60} {
			s := newSim(hosts, min(hosts, 3), perSecond)
			for round := range 20 {
				h := s.hosts[round%hosts]
				h.suspended = round%2 == 0
				if !h.suspended {
					s.restart(h)
				}
				s.run(time.Duration(100+170*round) * time.Millisecond)
				h.suspended = false
			}
			s.assertBound(t)
		}
	}
}

// Guards against hosts that use unused tokens although they do not learn of each other's requests.
func TestLimitHoldsWithoutExchange(t *testing.T) {
	for _, perSecond := range []float64{0.3, 1, 3.7, 20} {
		s := newSim(30, 3, perSecond)
		s.silent = true
		for _, h := range s.hosts {
			h.hosts.ExchangeDelay = 0
		}
		s.run(40 * time.Second)
		s.assertBound(t)
		assert.GreaterOrEqual(t, float64(len(s.sends)), 0.9*perSecond*40-1)
	}
}

// Guards against a limit that lasts after the replica has ceased to state it, and against one that
// an answer ends which was under way when the limit was stated.
func TestLimitEndsWithAnswerToLaterRequest(t *testing.T) {
	var l Limit
	limited := Statement{Limited: true, PerSecond: 2}
	assert.True(t, l.Observe(limited, simStart, simStart))
	assert.False(t, l.Observe(Statement{}, simStart.Add(-time.Millisecond), simStart.Add(time.Second)))
	assert.True(t, l.Current().Limited)
	assert.True(t, l.Observe(Statement{}, simStart.Add(time.Millisecond), simStart.Add(time.Second)))
	assert.False(t, l.Current().Limited)
	h := &Hosts{Host: "a", Reachable: 1}
	assert.True(t, l.Allows(h, replicaKey, replicaZone, simStart.Add(time.Second)))

	var other Limit
	at := simStart.Add(time.Second)
	assert.True(t, other.Observe(limited, simStart, simStart))
	report, ok := l.Report(at)
	assert.True(t, ok, "other hosts are told that the limit ended")
	assert.True(t, other.Apply("a", true, report, h, at))
	assert.False(t, other.Current().Limited)
}

// Guards against a statement that never ages, because each report from host to host makes it seem
// a little newer, so that an answer without a limit cannot end it.
func TestReportedStatementAges(t *testing.T) {
	a, b := &Limit{}, &Limit{}
	h := &Hosts{Host: "a", Reachable: 1}
	now := simStart
	a.Observe(Statement{Limited: true, PerSecond: 2}, now, now)
	for range 200 {
		for _, pair := range [][2]*Limit{{a, b}, {b, a}} {
			r, _ := pair[0].Report(now)
			now = now.Add(20 * time.Millisecond) // time that the report takes
			pair[1].Apply("other", true, r, h, now)
		}
	}
	assert.Less(t, a.LastStated().Sub(simStart), 2*minReportAdvance)
}
