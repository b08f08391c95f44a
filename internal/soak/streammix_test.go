package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"heatherbarrow/internal/gateway/netio/relaytest"
	"heatherbarrow/platform/storetest"
)

// Guards against events that are missing, come twice or out of order, belong to another stream or run, and streams that
// end as complete before their last event, over all attempts of their callers, while replicas, links, hosts and the store
// fail in every way that real machines do. SECONDS is the time of each seed, SEED and SEEDS are as for TestSoak. With
// UNFRAMED, no answer has a length or chunks.
func TestStreamsStayInOrder(t *testing.T) {
	concurrently(t)
	lasts, _ := runTime(8 * time.Second)
	for _, seed := range seedOrChosen(t) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { playMix(t, seed, lasts) })
	}
}

func playMix(t *testing.T, seed uint64, lasts time.Duration) {
	g := newMixRig(t)
	if os.Getenv("UNFRAMED") != "" {
		for _, r := range g.routes {
			r.unframed = true
		}
	}
	defer g.keepLogs(seed)
	random := rand.New(rand.NewPCG(seed, 0))
	c := &rigCallers{g: g, every: 8 * time.Millisecond, hangUp: 0.15, slow: 0.1, random: rand.New(rand.NewPCG(seed, 1))}
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() { g.mixFaults(g.mixFault, random, stop) })
	// Decided apart from the other faults, so that seeds kept from before play the same ones.
	faults.Go(func() { g.mixFaults(g.orderlyFault, rand.New(rand.NewPCG(seed, 2)), stop) })
	all := c.follow(lasts)
	close(stop)
	faults.Wait()
	g.checkMix("mixed faults", all)
}

// newMixRig returns hosts and replicas of two services, with a route of each kind.
func newMixRig(t *testing.T) *streamRig {
	shape := rigShape{hosts: 4, zones: 3, replicas: map[string]int{"model": 18, "plain": 3}}
	return newStreamRig(t, shape,
		&streamRoute{name: "draft", service: "model", kind: "streaming", resumable: true, attempts: 2, events: 58, pause: 12 * time.Millisecond},
		&streamRoute{name: "match", service: "model", kind: "streaming", attempts: 1, events: 10, pause: 30 * time.Millisecond},
		&streamRoute{name: "draft", service: "model", kind: "streaming", resumable: true, attempts: 2, events: 58, pause: 12 * time.Millisecond},
		&streamRoute{name: "long", service: "model", kind: "streaming", resumable: true, attempts: 3, events: 30, pause: 5 * time.Millisecond, padding: 32 << 10},
		&streamRoute{name: "look", service: "plain", kind: "idempotent", attempts: 2, pause: 6 * time.Millisecond},
		&streamRoute{name: "order", service: "plain", kind: "non_idempotent", attempts: 1, pause: 6 * time.Millisecond})
}

// checkMix checks that no stream is out of order, too short or joined, and that streams which are taken up go on.
func (g *streamRig) checkMix(name string, all []*followed) {
	t := g.t
	checkFollowed(t, name, all)
	both := joined(all)
	g.noteworthy = g.noteworthy || len(both) > 0
	streams, began, takenUp, wentOn := shares(all)
	t.Logf("%s: %.0f resumable streams, %.2f began, %.0f taken up, %.2f of these went on, joined: %v", name, streams, began/streams, takenUp, wentOn/takenUp, both)
	assert.Empty(t, judgeOrder(all))
	assert.Empty(t, g.ledger.judgeTwice())
	if takenUp >= minCutStreams {
		assert.GreaterOrEqual(t, wentOn/takenUp, minTakeUpShare*began/streams, "streams that are taken up go on")
	}
}

// mixFaults plays faults as they are drawn, in series and overlapping, until stopped.
func (g *streamRig) mixFaults(draw func(*rand.Rand) (play func(time.Duration), name string), random *rand.Rand, stop <-chan struct{}) {
	var faults sync.WaitGroup
	defer faults.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(500)) * time.Millisecond):
		}
		play, name := draw(random)
		lasts := time.Duration(100+random.IntN(1400)) * time.Millisecond
		g.t.Logf("%s %s for %v", time.Now().UTC().Format("15:04:05.000"), name, lasts)
		faults.Go(func() { play(lasts) })
	}
}

// mixFault draws a fault. The returned function plays it and ends it.
func (g *streamRig) mixFault(random *rand.Rand) (play func(time.Duration), name string) {
	r, h := g.replicas[random.IntN(len(g.replicas))], g.hosts[random.IntN(len(g.hosts))]
	restart := func(s syscall.Signal) func(time.Duration) {
		return func(lasts time.Duration) { h.alone(func() { h.restart(s, lasts/2) }) }
	}
	switch random.IntN(18) {
	case 0:
		return func(time.Duration) { r.end(0) }, "end of " + r.id + " whose address is taken at once"
	case 1:
		return func(lasts time.Duration) { r.end(lasts) }, "end of " + r.id
	case 2:
		version := "v" + strconv.Itoa(1+random.IntN(2))
		return func(lasts time.Duration) {
			r.version.Store(&version)
			r.end(lasts / 4)
		}, "start of " + r.id + " at " + version
	case 3:
		return r.onLink(relaytest.Fault{Direction: relaytest.FromTarget, Reset: true}), "resets by " + r.id
	case 4:
		return r.onLink(relaytest.Fault{Direction: relaytest.FromTarget, Silent: true, ResetAtEnd: true}), "cut from " + r.id
	case 5:
		return r.onLink(relaytest.Fault{Direction: relaytest.ToTarget, Silent: true, ResetAtEnd: true}), "cut to " + r.id
	case 6:
		return r.onLink(relaytest.Fault{Direction: relaytest.FromTarget, Latency: 150 * time.Millisecond, Jitter: 100 * time.Millisecond}), "slow link to " + r.id
	case 7:
		return r.onLink(relaytest.Fault{Direction: relaytest.FromTarget, PieceSize: 20, PieceVariation: 10, PieceDelay: 2 * time.Millisecond}), "slow drip from " + r.id
	case 8, 9:
		return func(lasts time.Duration) {
			for _, each := range g.replicas {
				each.garbles.Store(3)
			}
			time.Sleep(lasts)
			for _, each := range g.replicas {
				each.garbles.Store(0)
			}
		}, "bytes that belong to no request"
	case 10:
		return func(lasts time.Duration) {
			r.stalled.Store(true)
			time.Sleep(lasts)
			r.stalled.Store(false)
		}, "silence of " + r.id
	case 11:
		return restart(syscall.SIGKILL), "kill of " + h.name
	case 12:
		return restart(syscall.SIGTERM), "stop of " + h.name
	case 13:
		return func(lasts time.Duration) { h.alone(func() { h.pause(2 * lasts) }) }, "pause of " + h.name
	case 14:
		return func(time.Duration) { h.signal(syscall.SIGHUP) }, "reload of " + h.name
	case 15:
		return func(time.Duration) { g.configure() }, "new configuration"
	case 16:
		return func(lasts time.Duration) {
			r.register("draining")
			time.Sleep(lasts)
			r.awaitIdle()
			r.end(0)
		}, "drain of " + r.id
	default:
		return func(lasts time.Duration) {
			g.store.SetFault(storetest.Down)
			time.Sleep(lasts)
			g.store.SetFault(storetest.None)
		}, "store away"
	}
}

// onLink returns what plays a fault of the link to the replica.
func (r *rigReplica) onLink(f relaytest.Fault) func(time.Duration) {
	return func(lasts time.Duration) {
		end := r.link.Begin(f)
		time.Sleep(lasts)
		end()
	}
}

// orderlyFault draws a fault that looks like order to a host: connections end with all bytes acknowledged, or the time of
// day of a replica's host was set before its process starts. The returned function plays it and ends it.
func (g *streamRig) orderlyFault(random *rand.Rand) (play func(time.Duration), name string) {
	// A relay that ends connections in order ends an answer without a length or chunks as its replica does.
	unframed := os.Getenv("UNFRAMED") != ""
	r, h := g.replicas[random.IntN(len(g.replicas))], g.hosts[random.IntN(len(g.hosts))]
	endAll := func(link *relaytest.Relay) func(time.Duration) {
		return func(lasts time.Duration) {
			for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(lasts / 4) {
				link.CloseConnections()
			}
		}
	}
	switch random.IntN(4) {
	case 0:
		if unframed {
			return r.onLink(relaytest.Fault{Direction: relaytest.FromTarget, Reset: true}), "resets by " + r.id
		}
		return endAll(r.link), "ends in order by " + r.id
	case 1:
		return r.onLink(relaytest.Fault{Direction: relaytest.FromTarget, Silent: true, ResetAtEnd: unframed}), "cut from " + r.id + " that ends in order"
	case 2:
		return endAll(h.store), "ends in order by the store, to " + h.name
	default:
		ahead := time.Duration(random.IntN(20_000)-10_000) * time.Millisecond
		return func(lasts time.Duration) {
			r.clock.Store(ahead.Milliseconds())
			r.end(lasts / 4)
		}, fmt.Sprintf("start of %s with its time of day %v ahead", r.id, ahead)
	}
}
