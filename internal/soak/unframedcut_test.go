package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// cutPause is the time between two moments at which connections are ended on the way.
const cutPause = 800 * time.Millisecond

// Guards against part of an answer without a length or chunks that is passed off as the whole answer because something
// between the host and its replica ended its connection in order, while the replica's process lives on. It also guards
// against sound answers of this kind that are taken for broken, and streams that do not go on at another replica. SECONDS
// is the time, SEED and SEEDS are as for TestSoak.
func TestUnframedAnswersThatAreCutOnTheWay(t *testing.T) {
	concurrently(t)
	seeds := []uint64{1}
	if os.Getenv("SEED") != "" || os.Getenv("SEEDS") != "" {
		seeds = chosenSeeds(t, nil)
	}
	lasts := 3 * time.Second
	if n, _ := strconv.Atoi(os.Getenv("SECONDS")); n > 0 {
		lasts = time.Duration(n) * time.Second
	}
	for _, seed := range seeds {
		for _, framed := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed-%d,framed=%v", seed, framed), func(t *testing.T) {
				concurrently(t)
				playCuts(t, seed, framed, lasts)
			})
		}
	}
}

// unframedRoutes returns routes whose answers are unframed. framed means that as many others have answers in chunks.
func unframedRoutes(framed bool) []*streamRoute {
	const pause = 20 * time.Millisecond
	routes := []*streamRoute{
		{name: "resumable", service: "pool", kind: "streaming", resumable: true, attempts: 3, events: longStreamEvents, pause: pause, unframed: true},
		{name: "single", service: "pool", kind: "streaming", attempts: 1, events: longStreamEvents, pause: pause, unframed: true},
		{name: "lookup", service: "pool", kind: "idempotent", attempts: 2, pause: pause, unframed: true},
		{name: "order", service: "pool", kind: "non_idempotent", attempts: 1, pause: pause, unframed: true},
	}
	if framed {
		routes = append(routes,
			&streamRoute{name: "chunked", service: "pool", kind: "streaming", resumable: true, attempts: 3, events: longStreamEvents, pause: pause},
			&streamRoute{name: "chunkedsingle", service: "pool", kind: "streaming", attempts: 1, events: longStreamEvents, pause: pause},
			&streamRoute{name: "chunkedlookup", service: "pool", kind: "idempotent", attempts: 2, pause: pause},
			&streamRoute{name: "chunkedorder", service: "pool", kind: "non_idempotent", attempts: 1, pause: pause})
	}
	return routes
}

// playCuts sends requests while connections are cut. framed means that half of the answers are in chunks.
func playCuts(t *testing.T, seed uint64, framed bool, lasts time.Duration) {
	g := newStreamRig(t, rigShape{hosts: 6, zones: 3, replicas: map[string]int{"pool": 6}}, unframedRoutes(framed)...)
	defer g.keepLogs(seed)
	c := &rigCallers{g: g, every: 8 * time.Millisecond, random: rand.New(rand.NewPCG(seed, 1))}

	control := c.follow(lasts)
	checkFollowed(t, "no connection is cut", control)
	assert.GreaterOrEqual(t, completeShare(control), minSoundShare, "no connection is cut")

	for _, way := range cutWays {
		stop := make(chan struct{})
		var cuts sync.WaitGroup
		cuts.Go(func() { g.cutConnections(way, rand.New(rand.NewPCG(seed, 0)), stop) })
		all := c.follow(lasts)
		close(stop)
		cuts.Wait()
		checkFollowed(t, way.name, all)
		g.checkWentOn(way.name, all)
		g.checkUncut(way.name, all)
		time.Sleep(300 * time.Millisecond) // until all hosts use all replicas again
	}
}

// cutWay is which connections are cut in the same moment.
type cutWay struct {
	name     string
	replicas int // 0 for all
	share    float64
}

var cutWays = []cutWay{
	{"the connections to one replica are cut", 1, 1},
	{"half of the connections to all replicas are cut", 0, 0.5},
}

// cutConnections ends connections on the way, those of one replica after the other or of all, until stopped.
func (g *streamRig) cutConnections(way cutWay, random *rand.Rand, stop <-chan struct{}) {
	order := random.Perm(len(g.replicas))
	n := way.replicas
	if n == 0 {
		n = len(order)
	}
	for next := 0; ; next += n {
		select {
		case <-stop:
			return
		case <-time.After(cutPause):
		}
		for i := range n {
			g.replicas[order[(next+i)%len(order)]].cutOnTheWay(way.share)
		}
	}
}

// cutOnTheWay ends a share of the connections to the replica in order. Its process lives on.
func (r *rigReplica) cutOnTheWay(share float64) {
	r.mu.Lock()
	for _, run := range r.running {
		r.rig.noteEnd(run.key)
		if run.written.Load() {
			r.rig.noteCut(run.key)
		}
	}
	r.mu.Unlock()
	r.rig.noteConnectionsEnd()
	r.rig.log.note("%.2f of the connections to %s are cut", share, r.id)
	r.rig.noteCutConnections(r.link.EndConnections(share))
}
