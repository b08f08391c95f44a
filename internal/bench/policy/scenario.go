package main

import (
	"fmt"
	"slices"
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/settings"
)

// scenario is a load with faults that both policies go through.
type scenario struct {
	name     string
	seed     uint64
	duration time.Duration // of the arrivals
	hosts    int
	zones    []string
	lag      time.Duration // age of load reports
	bundle   *bundle.Bundle
	mixes    []mix
	poison   []time.Duration
	callers  int // that send the first mix's requests one after the other; 0 for arrivals at random
	faults   func(w *world)
	// The targets that differ between scenarios.
	topAttainment float64
	maxWasted     float64
}

const (
	reportLag  = 500 * time.Millisecond
	duration   = 40 * time.Second
	topTarget  = 0.99
	slowTarget = 0.97 // with a straggler
	wasted     = 0.01
	lossWasted = 0.03 // under crashes
)

func scenarios() []*scenario {
	return []*scenario{
		steady(), burst(), sustained(), straggler(), freeze(), crash(), halfFleet(), poison(), poisonResent(),
		herd("herd4", 4, 16), herd("herd40", 40, 60), overload(), caceres(), kitanomori(),
	}
}

// common is the deployment of most scenarios: 12 replicas and 4 hosts in 3 zones.
func common(name string, mixes ...mix) *scenario {
	zones := []string{"a", "b", "c"}
	return &scenario{
		name: name, seed: 7, duration: duration, hosts: 4, zones: zones, lag: reportLag,
		bundle: commonBundle(12, zones), mixes: mixes, topAttainment: topTarget, maxWasted: wasted,
	}
}

func commonBundle(replicas int, zones []string) *bundle.Bundle {
	ms := func(n int) settings.Duration { return settings.Duration(time.Duration(n) * time.Millisecond) }
	return &bundle.Bundle{
		Format: bundle.Format,
		Classes: []bundle.Class{
			{Name: "chat", Tier: 1, FirstTokenTarget: ms(520), InterTokenTarget: ms(53), Deadline: ms(30_000),
				Share: 0.1, MaxQueue: 1024, RetryBudget: 0.1, ExpectedTokens: 40},
			{Name: "assist", Tier: 2, FirstTokenTarget: ms(1500), Deadline: ms(60_000),
				Share: 0.05, MaxQueue: 1024, RetryBudget: 0.1, ExpectedTokens: 100},
			{Name: "draft", Tier: 3, FirstTokenTarget: ms(10_000), AnswerTarget: ms(300_000), Deadline: ms(900_000),
				Share: 0.15, MaxQueue: 1024, RetryBudget: 0.1, ExpectedTokens: 800, Preemptible: true},
			{Name: "compare", Tier: 4, FirstTokenTarget: ms(10_000), Deadline: ms(600_000),
				Share: 0.1, MaxQueue: 1024, RetryBudget: 0.1, ExpectedTokens: 60, Preemptible: true},
		},
		Teams: teams(10, "chat", "assist", "draft", "compare"),
		Upstreams: []bundle.Upstream{{
			Name: "models", Kind: bundle.KindEngine, Classes: []string{"chat", "assist", "draft", "compare"},
			Models: []string{"m"}, Resumable: true, Slots: 16, Replicas: replicasIn(replicas, "e", zones),
		}},
	}
}

// teams have entitlements that do not bind, because the bench measures placing.
func teams(n int, classes ...string) []bundle.Team {
	var out []bundle.Team
	for i := range n {
		out = append(out, bundle.Team{
			Name: fmt.Sprintf("team%d", i), Classes: classes, KeyHashes: []string{fmt.Sprintf("%064x", i)},
			TokensPerSecond: 1e7, MaxInProgress: 100_000,
		})
	}
	return out
}

func replicasIn(n int, prefix string, zones []string) []bundle.Replica {
	var out []bundle.Replica
	for i := range n {
		out = append(out, bundle.Replica{
			ID: fmt.Sprintf("%s%d", prefix, i+1), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1),
			AvailabilityZone: zones[i%len(zones)],
		})
	}
	return out
}

func chat(load float64) mix {
	return mix{class: "chat", load: load, prompt: 250, output: 40, shared: 128, groups: 20}
}
func assist(load float64) mix { return mix{class: "assist", load: load, prompt: 600, output: 100} }
func draft(load float64) mix  { return mix{class: "draft", load: load, prompt: 6000, output: 800} }
func compare(load float64) mix {
	return mix{class: "compare", load: load, prompt: 5000, output: 60, shared: 4096, groups: 30}
}

func steady() *scenario {
	return common("steady", chat(0.3), assist(0.1), draft(0.15), compare(0.15))
}

func burst() *scenario {
	bursting := compare(0.2)
	bursting.burst = 15 // three times the capacity
	bursting.burstFrom, bursting.burstTo = 10*time.Second, 16*time.Second
	return common("burst", chat(0.3), assist(0.1), draft(0.1), bursting)
}

func sustained() *scenario {
	return common("sustained", chat(0.6), assist(0.35), draft(0.15))
}

func straggler() *scenario {
	s := steady()
	s.name = "straggler"
	s.topAttainment = slowTarget
	s.faults = func(w *world) {
		w.loop.after(10*time.Second, func() {
			w.watch(w.engine("models", "e2"))
			w.engine("models", "e2").slowdown = 8
			w.engine("models", "e2").frozenReport = true
		})
	}
	return s
}

func freeze() *scenario {
	s := steady()
	s.name = "freeze"
	s.topAttainment = slowTarget
	s.maxWasted = lossWasted
	s.faults = func(w *world) {
		w.loop.after(10*time.Second, func() {
			w.watch(w.engine("models", "e2"))
			w.engine("models", "e2").freeze(15 * time.Second)
			w.engine("models", "e2").frozenReport = true
		})
	}
	return s
}

func crash() *scenario {
	s := steady()
	s.name = "crash"
	s.maxWasted = lossWasted
	s.faults = func(w *world) {
		w.loop.after(10*time.Second, func() { w.engine("models", "e2").crash(restartTime) })
		w.loop.after(25*time.Second, func() { w.engine("models", "e7").crash(restartTime) })
	}
	return s
}

func halfFleet() *scenario {
	s := steady()
	s.name = "half_fleet"
	s.maxWasted = lossWasted
	s.faults = func(w *world) {
		w.loop.after(10*time.Second, func() {
			for i, e := range w.order {
				if i%2 == 0 {
					e.crash(time.Hour)
				}
			}
		})
	}
	return s
}

func poison() *scenario {
	s := steady()
	s.name = "poison"
	s.maxWasted = lossWasted
	for i := range 12 {
		s.poison = append(s.poison, 10*time.Second+time.Duration(i)*1500*time.Millisecond)
	}
	return s
}

// resendPause is how soon a caller sends a failed request again.
const resendPause = 100 * time.Millisecond

// poisonResent is a caller that sends the poison request again through another
// host as soon as it has its answer.
func poisonResent() *scenario {
	s := poison()
	s.name = "poison_resent"
	for i := range s.poison {
		s.poison[i] = s.poison[0] + time.Duration(i)*resendPause
	}
	return s
}

func herd(name string, hosts, replicas int) *scenario {
	s := common(name, chat(0.6), assist(0.1))
	s.hosts = hosts
	s.zones = []string{"a"}
	s.lag = time.Second
	s.duration = 20 * time.Second
	s.bundle = commonBundle(replicas, s.zones)
	return s
}

func (w *world) engine(upstream, replica string) *engine {
	return w.engines[scheduling.ReplicaID{Upstream: upstream, Replica: replica}]
}

// poisonClass is the class of the poison requests.
func (s *scenario) poisonClass(snapshot *bundle.Snapshot) int {
	_, class, _ := snapshot.Class("assist")
	return class
}

func upstreamOf(s *bundle.Snapshot, class int) (int, string) {
	for i := range s.Bundle.Upstreams {
		if s.UpstreamServes(i, class) {
			return i, s.Bundle.Upstreams[i].Name
		}
	}
	return 0, ""
}

func contains(list []scheduling.ReplicaID, id scheduling.ReplicaID) bool {
	return slices.Contains(list, id)
}
