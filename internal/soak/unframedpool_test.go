package soak

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// poolRunTime is how long requests begin in each play of a run of all tests.
	poolRunTime = 3 * time.Second
	// draftEvents is the number of events of resumable streams.
	draftEvents = 58
	// poolEvents is the number of events of streams that may not be resumed.
	poolEvents = 20
	// poolHangUp is the share of the streams that callers leave.
	poolHangUp = 0.1
	// minBesideShare is the share of requests which may not be repeated and that nothing cut that must be complete where connections
	// to many replicas are cut all the time: an answer that ends in such a moment looks like those that were cut.
	minBesideShare = 0.85
	// besideCutTime is that moment.
	besideCutTime = 100 * time.Millisecond
)

// poolRoutes returns the routes of a play.
func poolRoutes(p *poolPlay) []*streamRoute {
	short := 20 * time.Millisecond
	draft, plain := cmp.Or(p.draft, short), cmp.Or(p.plain, short)
	return []*streamRoute{
		{name: "draft", service: "model", kind: "streaming", resumable: true, attempts: cmp.Or(p.attempts, 2), events: draftEvents, pause: draft, partly: p.partly},
		{name: "match", service: "model", kind: "streaming", attempts: 1, events: poolEvents, pause: p.pause, partly: p.partly},
		{name: "look", service: "plain", kind: "idempotent", attempts: 2, pause: plain, partly: p.partly},
		{name: "order", service: "plain", kind: "non_idempotent", attempts: 1, pause: plain, partly: p.partly},
	}
}

// poolPlay is what happens in a large pool of replicas while requests run.
type poolPlay struct {
	name   string
	partly float64       // share of the answers that are unframed
	pause  time.Duration // before each event of a stream that may not be resumed
	sound  float64       // least share of the requests that may not be repeated and that nothing cut, which must be complete; 0 if
	// the end of a process refuses or breaks others that a host has just sent there
	disturb func(g *streamRig, random *rand.Rand, stop <-chan struct{})

	// In some plays only:
	draft    time.Duration // before each event of a resumable stream
	plain    time.Duration // before each piece of a plain answer
	attempts int           // of a resumable stream
	apart    bool          // the first host is cut off from the replicas
	old      float64       // share of the callers of HTTP/1.0
	share    float64       // of a processor, for each host
}

// playPools plays each of the given plays in a deployment of its own. SECONDS, SEED and SEEDS are as for the test.
func playPools(t *testing.T, plays []poolPlay) {
	concurrently(t)
	seeds := []uint64{1}
	if os.Getenv("SEED") != "" || os.Getenv("SEEDS") != "" {
		seeds = chosenSeeds(t, nil)
	}
	lasts := poolRunTime
	if n, _ := strconv.Atoi(os.Getenv("SECONDS")); n > 0 {
		lasts = time.Duration(n) * time.Second
	}
	for _, seed := range seeds {
		for i := range plays {
			t.Run(fmt.Sprintf("seed-%d/%s", seed, plays[i].name), func(t *testing.T) {
				concurrently(t)
				playPool(t, seed, &plays[i], lasts)
			})
		}
	}
}

func playPool(t *testing.T, seed uint64, p *poolPlay, lasts time.Duration) {
	shape := rigShape{hosts: 4, zones: 3, replicas: map[string]int{"model": 18, "plain": 3}, apart: p.apart}
	if p.share > 0 {
		shape.env = append(os.Environ(), "GOMAXPROCS=1")
	}
	g := newStreamRig(t, shape, poolRoutes(p)...)
	defer g.keepLogs(seed)
	if p.apart {
		for _, r := range g.replicas {
			r.apart.Stop()
		}
	}
	if p.share > 0 {
		var bounded sync.WaitGroup
		ctx, end := context.WithCancel(t.Context())
		defer bounded.Wait()
		defer end()
		for _, h := range g.hosts {
			bounded.Go(func() { h.runFor(ctx, p.share) })
		}
	}
	c := &rigCallers{g: g, every: 8 * time.Millisecond, hangUp: poolHangUp, old: p.old, random: rand.New(rand.NewPCG(seed, 1))}
	stop := make(chan struct{})
	var disturbing sync.WaitGroup
	if p.disturb != nil {
		disturbing.Go(func() { p.disturb(g, rand.New(rand.NewPCG(seed, 0)), stop) })
	}
	all := c.follow(lasts)
	close(stop)
	disturbing.Wait()
	g.checkPool(p, all)
	if p.apart {
		assert.Zero(t, g.hosts[0].servedWithoutHelper(), "%s: requests that the host which is cut off completes itself", p.name)
	}
}

// servedWithoutHelper returns how many requests the host has completed that no other host ran.
func (h *host) servedWithoutHelper() (n int) {
	file, err := os.Open(h.log)
	require.NoError(h.t, err)
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line struct {
			Message string `json:"message"`
			Outcome string `json:"outcome"`
			Helper  string `json:"helper"`
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == "request" && line.Outcome == "completed" && line.Helper == "" {
			n++
		}
	}
	return n
}

// checkPool checks that each answer is whole and in order, or visibly broken, and that those are whole which nothing cut.
func (g *streamRig) checkPool(p *poolPlay, all []*followed) {
	checkFollowed(g.t, p.name, all)
	g.logEnds(p.name+": complete and too short", slices.DeleteFunc(slices.Clone(all), func(f *followed) bool { return !f.short() }))
	joined := slices.DeleteFunc(slices.Clone(all), func(f *followed) bool { return len(f.versions) < 2 })
	assert.Empty(g.t, joined, "%s: events of two software versions", p.name)
	all = slices.DeleteFunc(slices.Clone(all), func(f *followed) bool { return f.left && !f.route.resumable })
	if p.disturb == nil {
		g.checkSound(p.name, all, p.sound)
		return
	}
	g.checkUncut(p.name, all)
	uncut := slices.DeleteFunc(all, func(f *followed) bool { return g.wasEnded(f.key) || f.route.resumable || f.route.kind == "idempotent" })
	g.checkSound(p.name+", may not be repeated", uncut, p.sound)
	apart := slices.DeleteFunc(slices.Clone(uncut), func(f *followed) bool { return g.endedBesideCut(f.key) })
	if p.sound > 0 && len(apart) < len(uncut) {
		g.checkSound(p.name+", may not be repeated, not beside a cut", apart, minSoundShare)
	}
}

// noteConnectionsEnd records that connections are cut now, or end with their process.
func (g *streamRig) noteConnectionsEnd() {
	g.cutMu.Lock()
	defer g.cutMu.Unlock()
	g.cuts = append(g.cuts, time.Now())
}

// endedBesideCut reports whether a replica last worked on a request in a moment in which connections were cut, or never did:
// what is on its way then does not arrive.
func (g *streamRig) endedBesideCut(key string) bool {
	g.cutMu.Lock()
	defer g.cutMu.Unlock()
	worked := g.worked[key]
	return worked.IsZero() || slices.ContainsFunc(g.cuts, func(cut time.Time) bool { return worked.Sub(cut).Abs() <= besideCutTime })
}

// checkSound checks that of requests which nothing cut at least the given share is complete.
func (g *streamRig) checkSound(name string, sound []*followed, atLeast float64) {
	g.t.Helper()
	broken := slices.DeleteFunc(slices.Clone(sound), func(f *followed) bool { return f.complete })
	g.t.Logf("%s: %d of %d sound ones broken", name, len(broken), len(sound))
	g.logEnds(name+": sound and broken", broken)
	g.noteworthy = g.noteworthy || len(broken) > 0
	assert.GreaterOrEqual(g.t, completeShare(sound), atLeast, "%s: sound requests", name)
}

// logEnds logs by route what the hosts saw at the end of answers, and some of these.
func (g *streamRig) logEnds(name string, all []*followed) {
	if len(all) == 0 {
		return
	}
	ends, seen := g.unframedEnds(), make(map[string]int)
	for i, f := range all {
		last, _, _ := strings.Cut(f.attempts[len(f.attempts)-1], " ")
		seen[f.route.name+" "+ends[last]]++
		if i < 3 {
			g.t.Logf("%s: %v: %s", name, f, ends[last])
		}
	}
	g.t.Logf("%s: %v", name, seen)
}

// unframedEnds returns what the hosts saw at the end of answers, by ID of the attempt.
func (g *streamRig) unframedEnds() map[string]string {
	ends := make(map[string]string)
	for _, h := range g.hosts {
		file, err := os.Open(h.log)
		if err != nil {
			continue // a diagnosis lacks it
		}
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var line struct {
				Request string `json:"request"`
				End     string `json:"unframed_end"`
				Outcome string `json:"outcome"`
				Ended   int    `json:"others_ended"`
				Open    int    `json:"others_open"`
			}
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Request != "" && line.End != "" {
				ends[line.Request] = fmt.Sprintf("%s (%s, %d others ended, %d open)", line.End, line.Outcome, line.Ended, line.Open)
			}
		}
		_ = file.Close()
	}
	return ends
}

// Guards against part of an answer without a length or chunks that is passed off as the whole answer in a deployment with
// more replicas than a host has requests: a host has no other connection to a replica that would show that something cut the
// answer on the way. It also guards against sound answers that are taken for broken. SECONDS is the time of each play, SEED
// and SEEDS are as for TestSoak.
func TestUnframedAnswersInLargePools(t *testing.T) {
	const pause = 60 * time.Millisecond
	one := func(g *streamRig, random *rand.Rand, stop <-chan struct{}) {
		g.cutPool(random, stop, 600*time.Millisecond, 1, 1)
	}
	third := func(g *streamRig, random *rand.Rand, stop <-chan struct{}) {
		g.cutPool(random, stop, 800*time.Millisecond, len(g.replicas)/3, 0.75)
	}
	playPools(t, []poolPlay{
		{name: "no connection is cut", partly: 1, pause: pause, sound: minSoundShare},
		{name: "the connections to one replica are cut", partly: 1, pause: pause, sound: minUncutShare, disturb: one},
		{name: "three quarters of those to a third of the replicas are cut", partly: 1, pause: pause, sound: minBesideShare, disturb: third},
		{name: "the same, 30 percent of the answers are unframed", partly: 0.3, pause: pause, sound: minBesideShare, disturb: third},
		{name: "the same, 5 percent of the answers are unframed", partly: 0.05, pause: pause, sound: minUncutShare, disturb: third},
		{name: "the connections to one replica are cut, 30 percent of the answers are unframed", partly: 0.3, pause: pause, sound: minUncutShare, disturb: one},
		{name: "the connections to one replica are cut, 5 percent of the answers are unframed", partly: 0.05, pause: pause, sound: minUncutShare, disturb: one},
	})
}

// cutPool ends a share of the connections to some replicas in order, on the way, those of other replicas each time, until stopped.
func (g *streamRig) cutPool(random *rand.Rand, stop <-chan struct{}, every time.Duration, replicas int, share float64) {
	order := random.Perm(len(g.replicas))
	for next := 0; ; next += replicas {
		select {
		case <-stop:
			return
		case <-time.After(every):
		}
		for i := range replicas {
			g.replicas[order[(next+i)%len(order)]].cutOnTheWay(share)
		}
	}
}
