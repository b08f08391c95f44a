package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// processEnd is a way in which the processes of replicas end.
type processEnd struct {
	name  string
	share float64       // of the replicas that end together; 0 for one
	down  time.Duration // in which nothing listens
	every time.Duration // between two ends
}

var processEnds = []processEnd{
	{"the address is taken at once", 0, 0, 400 * time.Millisecond},
	{"nothing listens for 30 ms", 0, 30 * time.Millisecond, 400 * time.Millisecond},
	{"nothing listens for 1 s", 0, time.Second, 400 * time.Millisecond},
	{"half of the replicas, nothing listens for 1 s", 0.5, time.Second, 2500 * time.Millisecond},
	{"all replicas, nothing listens for 1 s", 1, time.Second, 2500 * time.Millisecond},
}

const (
	// minSoundShare is the share of requests that must be answered completely while no process ends.
	minSoundShare = 0.99
	// minUncutShare is that of requests at other replicas than the one whose process ends. Some are sent as it ends.
	minUncutShare = 0.95
	// minCutStreams is the number of streams from which on the share of those that go on is judged.
	minCutStreams = 12
	// unframedRunTime is how long requests begin in a run of all tests, for each way in which processes end.
	unframedRunTime = 1000 * time.Millisecond
)

// Guards against part of an answer without a length or chunks that is passed off as the whole answer, because the process
// of its replica ended, closed its connections in order, and something accepts connections at its address. It also guards
// against complete answers of this kind that are taken for broken, and streams that do not go on at another replica.
// SECONDS is the time of each way in which processes end, SEED and SEEDS are as for TestSoak.
func TestUnframedAnswersOfEndedProcesses(t *testing.T) {
	concurrently(t)
	seeds := []uint64{1}
	if os.Getenv("SEED") != "" || os.Getenv("SEEDS") != "" {
		seeds = chosenSeeds(t, nil)
	}
	lasts := unframedRunTime
	if n, _ := strconv.Atoi(os.Getenv("SECONDS")); n > 0 {
		lasts = time.Duration(n) * time.Second
	}
	for _, seed := range seeds {
		for _, direct := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed-%d,direct=%v", seed, direct), func(t *testing.T) {
				concurrently(t)
				playProcessEnds(t, seed, direct, lasts)
			})
		}
	}
}

func playProcessEnds(t *testing.T, seed uint64, direct bool, lasts time.Duration) {
	const pause = 20 * time.Millisecond
	g := newStreamRig(t, rigShape{hosts: 6, zones: 3, replicas: map[string]int{"pool": 6}, direct: direct},
		&streamRoute{name: "resumable", service: "pool", kind: "streaming", resumable: true, attempts: 3, events: longStreamEvents, pause: pause, unframed: true},
		&streamRoute{name: "single", service: "pool", kind: "streaming", attempts: 1, events: longStreamEvents, pause: pause, unframed: true},
		&streamRoute{name: "resumable", service: "pool", kind: "streaming", resumable: true, attempts: 3, events: longStreamEvents, pause: pause, unframed: true},
		&streamRoute{name: "lookup", service: "pool", kind: "idempotent", attempts: 2, pause: pause, unframed: true},
		&streamRoute{name: "order", service: "pool", kind: "non_idempotent", attempts: 1, pause: pause, unframed: true})
	defer g.keepLogs(seed)
	random := rand.New(rand.NewPCG(seed, 0))
	c := &rigCallers{g: g, every: 8 * time.Millisecond, random: rand.New(rand.NewPCG(seed, 1))}

	control := c.follow(lasts)
	checkFollowed(t, "no process ends", control)
	assert.GreaterOrEqual(t, completeShare(control), minSoundShare, "no process ends")

	for _, way := range processEnds {
		stop := make(chan struct{})
		var ends sync.WaitGroup
		ends.Go(func() { g.endProcesses(&way, random, stop) })
		all := c.follow(lasts)
		close(stop)
		ends.Wait()
		checkFollowed(t, way.name, all)
		if way.share < 1 || way.down == 0 {
			g.checkWentOn(way.name, all)
		}
		if way.share == 0 {
			g.checkUncut(way.name, all)
		}
		time.Sleep(300 * time.Millisecond) // until all hosts use all replicas again
	}
}

// endProcesses ends processes of replicas until stopped.
func (g *streamRig) endProcesses(way *processEnd, random *rand.Rand, stop <-chan struct{}) {
	var ends sync.WaitGroup
	defer ends.Wait()
	order := random.Perm(len(g.replicas))
	next := 0
	wait := min(way.every, 500*time.Millisecond) // until streams run
	for {
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
		for range max(1, int(way.share*float64(len(order)))) {
			r := g.replicas[order[next%len(order)]]
			next++
			ends.Go(func() { r.end(way.down) })
		}
		wait = way.every
	}
}

// checkFollowed checks that each answer is whole and in order, or visibly broken.
func checkFollowed(t *testing.T, name string, all []*followed) {
	t.Helper()
	var order, short []string
	complete, takenUp, wentOn := 0, 0, 0
	shortOf := make(map[string]int)
	for _, f := range all {
		if f.complete {
			complete++
		}
		if f.takenUp {
			takenUp++
		}
		switch {
		case f.wentOn:
			wentOn++
		case f.takenUp && takenUp-wentOn <= 3:
			t.Logf("%s: not gone on: %v", name, f)
		}
		if f.short() {
			short = append(short, f.String())
			shortOf[f.route.name]++
		}
		if f.disorder != "" {
			order = append(order, f.String()+": "+f.disorder)
		}
	}
	t.Logf("%s: %d requests, %d complete, %d of these too short %v, %d out of order, %d taken up, %d of these went on",
		name, len(all), complete, len(short), shortOf, len(order), takenUp, wentOn)
	assert.Empty(t, firstOf(short), "%s: %d answers ended as complete too early", name, len(short))
	assert.Empty(t, firstOf(order), "%s: %d streams are out of order", name, len(order))
}

func firstOf(texts []string) string {
	if len(texts) == 0 {
		return ""
	}
	return texts[0]
}

func completeShare(all []*followed) float64 {
	n := 0.0
	for _, f := range all {
		if f.complete {
			n++
		}
	}
	return n / float64(max(len(all), 1))
}

// checkUncut checks that requests which may be repeated are answered while processes of other replicas end.
func (g *streamRig) checkUncut(name string, all []*followed) {
	uncut := slices.DeleteFunc(slices.Clone(all), func(f *followed) bool {
		return g.wasCut(f.key) || !f.route.resumable && f.route.kind != "idempotent"
	})
	g.t.Logf("%s: %.3f of %d requests complete that were not cut", name, completeShare(uncut), len(uncut))
	assert.GreaterOrEqual(g.t, completeShare(uncut), minUncutShare, "%s: requests that were not cut", name)
}

// checkWentOn checks that streams whose process ended within them go on, as the operators ask for: of 12 or more, at
// least half as many as new ones begin.
func (g *streamRig) checkWentOn(name string, all []*followed) {
	cut, wentOn, streams, began := 0.0, 0.0, 0.0, 0.0
	for _, f := range all {
		if !f.route.resumable {
			continue
		}
		streams++
		if f.events > 0 {
			began++
		}
		if g.wasCut(f.key) {
			cut++
			if f.complete && !f.short() {
				wentOn++
			}
		}
	}
	g.t.Logf("%s: %.0f of %.0f streams cut, %.0f of these went on to their end", name, cut, streams, wentOn)
	if cut >= minCutStreams {
		assert.GreaterOrEqual(g.t, wentOn/cut, minTakeUpShare*began/streams, "%s: streams go on", name)
	}
}
