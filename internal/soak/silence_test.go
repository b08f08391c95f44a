package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// silenceRunTime is how long streams begin in a run of all tests.
	silenceRunTime = 8 * time.Second
	// callersOfHost is the number of callers that keep their connections to a host.
	callersOfHost = 40
	// silenceEvery is the time between the beginnings of two silences.
	silenceEvery = 500 * time.Millisecond
	// minStreamsAtStops is the number of streams whose host stopped while they ran, for each second of a run.
	minStreamsAtStops = 2
)

// judgedStream is a stream as its caller saw it, in one attempt.
type judgedStream struct {
	followed
	host        string
	sent, ended time.Time
}

// Guards against streams that their host breaks off because their replica fell silent for a moment and others refuse to
// go on with them, in calm and around planned stops. SECONDS is the time of each seed, SEED and SEEDS are as for TestSoak.
func TestStreamsOutlastSilentReplicas(t *testing.T) {
	concurrently(t)
	lasts, _ := runTime(silenceRunTime)
	for _, seed := range seedOrChosen(t) {
		for _, planned := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed-%d,planned=%v", seed, planned), func(t *testing.T) { playSilence(t, seed, lasts, planned) })
		}
	}
}

// playSilence lets replicas fall silent and refuse half of the requests beside stops of hosts. With planned work,
// configurations change, hosts get SIGHUP and replicas leave, too.
func playSilence(t *testing.T, seed uint64, lasts time.Duration, planned bool) {
	g := newStreamRig(t, rigShape{hosts: 6, zones: 3, replicas: map[string]int{"model": 12}},
		&streamRoute{name: "quote", service: "model", kind: "streaming", resumable: true, attempts: 2, events: 25, pause: 40 * time.Millisecond},
		&streamRoute{name: "quoteslow", service: "model", kind: "streaming", resumable: true, attempts: 2, events: 49, pause: 90 * time.Millisecond},
		&streamRoute{name: "match", service: "model", kind: "streaming", attempts: 1, events: 30, pause: 60 * time.Millisecond})
	defer g.keepLogs(seed)
	random := rand.New(rand.NewPCG(seed, 0))
	stop := make(chan struct{})
	var faults sync.WaitGroup
	for _, r := range g.replicas {
		r.refuses.Store(2)
	}
	if planned {
		faults.Go(func() { g.workAsPlanned(stop) })
	}
	faults.Go(func() { g.fallSilent(random, stop) })
	stops := make(map[string][]time.Time)
	faults.Go(func() { stops = g.stopInSeries(stop) })
	all := g.judge(seed, lasts)
	close(stop)
	faults.Wait()
	for _, r := range g.replicas {
		r.awaitIdle() // until it is known how long it worked
	}
	around, other, whole := 0, 0, 0
	for _, f := range all {
		stop := stopOf(f, stops[f.host])
		atStop := !stop.IsZero()
		r := stopped{result: result{status: http.StatusOK, sent: f.sent, ended: f.ended}, whole: f.sent, limit: rigTimeout, worked: g.workedUntil(f.key)}
		switch {
		case f.complete && atStop:
			whole++
		case f.complete, f.events == 0, r.fate(f.sent, stop, graceSeconds*time.Second) != fateCut:
		case atStop:
			around++
			t.Errorf("%v, ended after %v beside a stop", f, f.ended.Sub(f.sent))
		default:
			other++
			t.Errorf("%v, ended after %v", f, f.ended.Sub(f.sent))
		}
		assert.Empty(t, f.disorder, "%v", f)
		assert.False(t, f.short(), "%v", f)
	}
	assert.Empty(t, g.ledger.judgeDraining())
	t.Logf("%d streams; not whole: %d around a stop, %d at other times; %d whole beside a stop", len(all), around, other, whole)
	assert.GreaterOrEqual(t, whole+around, minStreamsAtStops*int(lasts.Seconds()), "streams around stops")
}

// stopOf returns the stop of its host around which a stream ended, and the zero time if there is none.
func stopOf(f *judgedStream, stops []time.Time) (at time.Time) {
	for _, stop := range stops {
		if since := f.ended.Sub(stop); since >= 0 && since <= graceSeconds*time.Second+time.Second {
			at = stop
		}
	}
	return at
}

// judge lets callers send streams over kept connections for the given time, and returns them.
func (g *streamRig) judge(seed uint64, lasts time.Duration) (all []*judgedStream) {
	end := time.Now().Add(lasts)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range callersOfHost * len(g.hosts) {
		wg.Go(func() {
			h := g.hosts[i%len(g.hosts)]
			c := &rigCallers{g: g, random: rand.New(rand.NewPCG(seed, uint64(1+i)))}
			for time.Now().Before(end) {
				route := g.routes[int(c.float()*float64(len(g.routes)))]
				f := &judgedStream{followed: followed{route: route, key: fmt.Sprintf("k%d", g.next.Add(1))}, host: h.name, sent: time.Now()}
				c.attempt(h, fmt.Sprintf("%s-%s", f.key, h.name), "", &f.followed)
				f.ended = time.Now()
				mu.Lock()
				all = append(all, f)
				mu.Unlock()
				time.Sleep(time.Duration(c.float() * float64(200*time.Millisecond)))
			}
		})
	}
	wg.Wait()
	return all
}

// fallSilent lets one replica after the other fall silent until stopped.
func (g *streamRig) fallSilent(random *rand.Rand, stop <-chan struct{}) {
	var silences sync.WaitGroup
	defer silences.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(silenceEvery):
		}
		r := g.replicas[random.IntN(len(g.replicas))]
		silences.Go(r.fallSilent)
	}
}

// fallSilent lets the replica fall silent once, unless it is.
func (r *rigReplica) fallSilent() {
	if r.stalled.CompareAndSwap(false, true) {
		r.rig.log.note("%s falls silent", r.id)
		time.Sleep(maxStall)
		r.stalled.Store(false)
		r.rig.log.note("%s goes on", r.id)
	}
}

// stopInSeries stops one host after the other and starts it again, until stopped. Neighbors in the series overlap.
func (g *streamRig) stopInSeries(stop <-chan struct{}) map[string][]time.Time {
	const between = 2 * time.Second
	var mu sync.Mutex
	var restarts sync.WaitGroup
	stops := make(map[string][]time.Time)
	defer restarts.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return stops
		case <-time.After(between):
		}
		h := g.hosts[i%len(g.hosts)]
		if !h.claim() {
			continue
		}
		mu.Lock()
		stops[h.name] = append(stops[h.name], time.Now())
		mu.Unlock()
		restarts.Go(func() {
			defer h.release()
			defer g.ledger.noteTrouble(h.name, time.Now())
			h.restart(syscall.SIGTERM, 0)
			require.Eventually(g.t, h.ready, settleTime, 20*time.Millisecond, "%s starts again", h.name)
		})
	}
}

// workAsPlanned changes the configuration, sends SIGHUP to a host and lets a replica leave, in turn, until stopped. A replica
// that leaves serves on until no stream can be left there, and comes back as a new process.
func (g *streamRig) workAsPlanned(stop <-chan struct{}) {
	const between, longestStream = 700 * time.Millisecond, 8 * time.Second
	var leaving sync.WaitGroup
	defer leaving.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(between):
		}
		switch i % 3 {
		case 0:
			g.configure()
		case 1:
			g.hosts[i%len(g.hosts)].signal(syscall.SIGHUP)
		default:
			r := g.replicas[i/3%len(g.replicas)]
			leaving.Go(func() {
				if r.ends.TryLock() { // it does not leave already
					r.register("draining")
					r.ends.Unlock()
					time.Sleep(longestStream)
					r.end(0)
				}
			})
		}
	}
}
