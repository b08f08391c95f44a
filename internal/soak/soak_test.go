package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/netio/relaytest"
	"heatherbarrow/platform/storetest"
)

const (
	// faultTime is how long faults are injected in a seed.
	faultTime = 9 * time.Second
	// settleTime is how long after the last fault all hosts have to serve again.
	settleTime = 15 * time.Second
	// ciSeeds is the number of seeds in a run of all tests.
	ciSeeds = 2
)

// regressions are seeds that failed once, each with its cause.
var regressions = []uint64{
	// Of two replicas, one stated a limit and the other was in trouble for five seconds, so that few
	// lookups were served. The limit was kept; see limitReplica.
	472561755314,
	// Requests with a crashing part of their prompt ran beside others that are all alike, which were
	// refused as poison requests themselves and stayed so.
	575053044204,
	// A replica that states a limit came back as another process twice within a second, and the bound on
	// the limit was checked as if it had stated it before.
	353083225119,
}

// TestSoak plays random faults, in series and overlapping, and checks what callers and
// replicas see of it: what must run once runs once, a refusal as not run is true, each answer
// belongs to its request and is whole or visibly broken, repeats stay in their budget, the
// configuration never goes back, a request limit that a replica states is kept, requests with a part of
// their prompt that crashes replicas are stopped, and all hosts serve again afterwards.
func TestSoak(t *testing.T) {
	concurrently(t)
	for _, seed := range chosenSeeds(t, regressions) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			concurrently(t)
			play(t, seed)
		})
	}
}

// chosenSeeds returns the seeds that the environment asks for.
func chosenSeeds(t *testing.T, regressions []uint64) []uint64 {
	t.Helper()
	seeds := append([]uint64(nil), regressions...)
	switch one, many := os.Getenv("SEED"), os.Getenv("SEEDS"); {
	case one != "":
		seed, err := strconv.ParseUint(one, 10, 64)
		require.NoError(t, err)
		seeds = []uint64{seed}
	case many != "":
		n, err := strconv.Atoi(many)
		require.NoError(t, err)
		for range n {
			seeds = append(seeds, rand.Uint64N(1<<40))
		}
	default:
		for i := range ciSeeds {
			seeds = append(seeds, uint64(i+1))
		}
	}
	return seeds
}

func play(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	// Decided apart from the other faults, so that seeds kept from before play the same ones.
	beats := rand.New(rand.NewPCG(seed, 4))
	d := newDeploymentWith(t, 1+random.IntN(3), 1+random.IntN(4), beats.IntN(2) == 0)
	defer d.keepLogs(seed)
	for _, h := range d.hosts {
		require.Eventually(t, h.ready, settleTime, 20*time.Millisecond, "%s starts", h.name)
	}
	c := newCallers(d)
	versions := watchVersions(c)
	limit := d.limitReplica(random)
	// Decided apart too.
	more := rand.New(rand.NewPCG(seed, 1))
	var restored sync.WaitGroup
	if more.IntN(2) == 0 {
		restored.Go(func() { d.restoreStore(more) })
	}
	var poison *promptCallers
	if len(d.replicas) > 2 && limit == nil && seed%3 == 0 {
		d.t.Logf("requests with one part of their prompt crash replicas")
		poison = newPromptCallers(d)
	}
	// Decided apart too.
	var streams []longStream
	var followed sync.WaitGroup
	if rand.New(rand.NewPCG(seed, 2)).IntN(2) == 0 {
		d.t.Logf("replicas of two software versions serve side by side")
		d.setVersions()
		s := &streamCallers{callers: c, hangUp: true, every: 60 * time.Millisecond}
		followed.Go(func() { streams = s.follow(faultTime, nil) })
	}
	// Hosts share a stated limit out by datagrams, so that harm to these would excuse them.
	var harmed sync.WaitGroup
	if d.beats != nil && limit == nil {
		harmed.Go(func() { d.troubleBeats(beats) })
	}
	d.trouble(random)
	harmed.Wait()
	restored.Wait()
	followed.Wait()
	healed := time.Now()
	for _, h := range d.hosts {
		assert.Eventually(t, func() bool {
			r := c.send(h, "lookup", "/lookup/x")
			return r.status == http.StatusOK && c.send(h, "lookup", versionPath(d.version.Load())+"x").status == http.StatusOK
		}, settleTime, 50*time.Millisecond, "%s serves the last configuration after all faults", h.name)
	}
	t.Logf("all serve %v after the last fault", time.Since(healed).Round(time.Millisecond))
	if poison != nil {
		poison.checkRefused()
	}
	results := c.end()
	versions.end()
	d.check(results)
	d.checkLimit(limit)
	d.checkBeats()
	takenUp, wentOn, _ := taken(streams, time.Time{}, "v1", "v2")
	t.Logf("%d streams followed, %d taken up, %.2f of these went on", len(streams), takenUp, wentOn)
	assert.LessOrEqual(t, joined(streams), maxJoinedStreams, "streams hold events of two software versions")
	checkOrder(t, streams)
	for _, h := range d.hosts {
		checkResources(t, h)
	}
}

func (h *host) ready() bool {
	response, err := http.Get("http://" + h.settings.ReadyListen + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// trouble injects random faults until faultTime is over, then ends all of them.
func (d *deployment) trouble(random *rand.Rand) {
	var wg sync.WaitGroup
	for end := time.Now().Add(faultTime); time.Now().Before(end); {
		f, name := d.fault(random)
		lasts := time.Duration(200+random.IntN(2500)) * time.Millisecond
		d.t.Logf("%s for %v", name, lasts)
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(lasts)
		}()
		// Some overlap, some come in series.
		time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond)
	}
	wg.Wait()
}

// fault draws a fault. The returned function plays it and ends it.
func (d *deployment) fault(random *rand.Rand) (play func(time.Duration), name string) {
	h := d.hosts[random.IntN(len(d.hosts))]
	i := random.IntN(len(d.replicas))
	r, l := d.replicas[i], d.links[i]
	onLink := func(l *relaytest.Relay, f relaytest.Fault) func(time.Duration) {
		return func(lasts time.Duration) {
			if l == d.links[i] {
				defer d.noteTrouble(r.id, time.Now())
			}
			end := l.Begin(f)
			time.Sleep(lasts)
			end()
		}
	}
	restart := func(s syscall.Signal) func(time.Duration) {
		return func(lasts time.Duration) {
			if !h.claim() {
				return
			}
			defer h.release()
			defer d.noteTrouble(h.name, time.Now())
			h.signal(s)
			h.wait()
			time.Sleep(min(lasts, 500*time.Millisecond))
			h.start()
		}
	}
	switch n := random.IntN(16); n {
	case 0:
		return restart(syscall.SIGTERM), "stop of " + h.name
	case 1:
		return restart(syscall.SIGKILL), "kill of " + h.name
	case 2:
		return func(lasts time.Duration) {
			if !h.claim() {
				return
			}
			defer h.release()
			defer d.noteTrouble(h.name, time.Now())
			h.signal(syscall.SIGSTOP)
			time.Sleep(lasts)
			h.signal(syscall.SIGCONT)
		}, "pause of " + h.name
	case 3:
		return func(time.Duration) { h.signal(syscall.SIGHUP) }, "reload of " + h.name
	case 4:
		return onLink(h.store, relaytest.Fault{Direction: relaytest.FromTarget, Silent: true}), "silent store for " + h.name
	case 5:
		return onLink(h.store, relaytest.Fault{Direction: relaytest.FromTarget, Reset: true}), "resets by the store for " + h.name
	case 6:
		return func(lasts time.Duration) {
			fault := []storetest.Fault{storetest.Down, storetest.Silent, storetest.Slow, storetest.AnswerLost}[int(lasts)%4]
			d.store.SetFault(fault)
			time.Sleep(lasts)
			d.store.SetFault(storetest.None)
		}, "trouble of the store"
	case 7:
		return func(time.Duration) { d.store.DropHistory() }, "history of the store lost"
	case 8:
		return func(time.Duration) { d.configure() }, "new configuration"
	case 9:
		return onLink(l, relaytest.Fault{Direction: relaytest.ToTarget, Silent: true}), "one way cut to " + r.id
	case 10:
		return onLink(l, relaytest.Fault{Direction: relaytest.FromTarget, Latency: 150 * time.Millisecond, Jitter: 100 * time.Millisecond}), "slow link to " + r.id
	case 11:
		return onLink(l, relaytest.Fault{Direction: relaytest.FromTarget, PieceSize: 20, PieceVariation: 10, PieceDelay: 2 * time.Millisecond}), "slow drip from " + r.id
	case 12:
		return func(lasts time.Duration) {
			// The process that comes after states its limit for the first time.
			defer d.noteTrouble(r.id, time.Now())
			d.register(i, "draining")
			time.Sleep(lasts)
			r.startAgain() // a replica that drains does not return, another process does
			d.register(i, "ready")
		}, "drain of " + r.id
	case 13:
		return func(time.Duration) { r.server.CloseClientConnections() }, "resets by " + r.id
	default:
		fault := replicaFault(1 + random.IntN(int(faultKinds)-1))
		return func(lasts time.Duration) {
			r.fault.Store(int32(fault))
			time.Sleep(lasts)
			r.fault.Store(int32(sound))
		}, fmt.Sprintf("fault %d of %s", fault, r.id)
	}
}

// versionWatch asks each host which configuration is in force.
type versionWatch struct {
	stop atomic.Bool
	wg   sync.WaitGroup
}

func (v *versionWatch) end() {
	v.stop.Store(true)
	v.wg.Wait()
}

// watchVersions checks that no host goes back to an older configuration while its process
// lives: the route of a version that was seen in force stays, or a newer one has replaced it.
func watchVersions(c *callers) *versionWatch {
	v := &versionWatch{}
	for _, h := range c.d.hosts {
		v.wg.Add(1)
		go func() {
			defer v.wg.Done()
			var boot, seen int64
			for !v.stop.Load() {
				time.Sleep(100 * time.Millisecond)
				before, newest := h.boot.Load(), c.d.version.Load()
				if before != boot {
					boot, seen = before, 0
				}
				for version := newest; version >= max(seen-1, 1) && version > newest-4; version-- {
					r := c.send(h, "lookup", versionPath(version)+"x")
					if h.boot.Load() != before {
						break
					}
					if r.status == http.StatusOK && version < seen {
						c.d.t.Errorf("%s serves version %d after %d", h.name, version, seen)
					}
					if r.status == http.StatusOK {
						seen = max(seen, version)
						break
					}
				}
			}
		}()
	}
	return v
}

// check judges what callers and replicas saw.
func (d *deployment) check(results []result) {
	t := d.t
	counts := make(map[string]int)
	for i := range results {
		r := &results[i]
		counts[fmt.Sprintf("%s %d", r.kind, r.status)]++
		runs := d.ledger.ran(r.id)
		if r.kind == "order" {
			assert.LessOrEqual(t, runs, 1, "%s ran more than once", r.id)
		}
		switch {
		case r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests:
			assert.Zero(t, runs, "%s was refused as not run, and ran", r.id)
			assert.NotContains(t, r.body, "answer to", "%s", r.id)
		case r.status == http.StatusOK && r.complete:
			assert.Equal(t, wholeAnswer(r), withoutComments(r.body), "%s of %s", r.id, r.host)
			assert.Positive(t, runs, "%s was answered and never ran", r.id)
		case r.status == http.StatusOK:
			assert.True(t, strings.HasPrefix(wholeAnswer(r), brokenBody(r.body)), "%s broke off with other bytes: %q", r.id, r.body)
		case r.status == http.StatusUnauthorized || r.status == http.StatusForbidden || r.status == http.StatusNotFound:
			t.Errorf("%s got %d though its route and key are in every configuration", r.id, r.status)
		}
	}
	t.Logf("%v", counts)
	assert.Greater(t, counts["lookup 200"], len(results)/20, "most of the time lookups are served")
	d.checkBudget(results)
}

func wholeAnswer(r *result) string {
	if r.kind != "stream" {
		return answerTo(r.id)
	}
	var all strings.Builder
	for i := range events {
		all.WriteString(eventOf(r.id, i))
	}
	return all.String()
}

func withoutComments(body string) string { return strings.ReplaceAll(body, ": wait\n\n", "") }

// brokenBody is withoutComments for a stream that broke off, maybe inside a comment.
func brokenBody(body string) string {
	body = withoutComments(body)
	if at := strings.LastIndex(body, "\n\n:"); at >= 0 && strings.HasPrefix("\n\n: wait\n\n", body[at:]) {
		return body[:at+2]
	}
	return body
}

// checkBudget checks that arrivals beyond the first of each request stay within the budget
// in each sliding window.
func (d *deployment) checkBudget(results []result) {
	const window = 10 * time.Second
	seen := make(map[string]bool)
	var repeats []time.Time
	d.ledger.mu.Lock()
	for _, a := range d.ledger.arrivals {
		if seen[a.id] {
			repeats = append(repeats, a.at)
		}
		seen[a.id] = true
	}
	d.ledger.mu.Unlock()
	first, most, closest := 0, 0, 0.0
	defer func() {
		d.t.Logf("%d repeats, at most %d in %v, %.2f of what is allowed", len(repeats), most, window, closest)
	}()
	for last := range repeats {
		for repeats[last].Sub(repeats[first]) > window {
			first++
		}
		sent := 0
		for i := range results {
			if at := results[i].sent; at.After(repeats[last].Add(-window)) && !at.After(repeats[last]) {
				sent++
			}
		}
		repeated, allowed := last-first+1, retryShare*float64(sent)+retrySlack
		most, closest = max(most, repeated), max(closest, float64(repeated)/allowed)
		if float64(repeated) > allowed {
			d.t.Errorf("%d repeats in %v beside %d requests", repeated, window, sent)
			return
		}
	}
}

// checkResources checks that a host holds no more than it needs when nothing goes on.
func checkResources(t *testing.T, h *host) {
	const mostFiles, mostMemory = 120, 120 << 10 // descriptors and KB, of a gateway with idle connections
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	require.NoError(t, err, "%s runs", h.name)
	assert.Less(t, len(files), mostFiles, "%s keeps descriptors", h.name)
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			require.NoError(t, err)
			assert.Less(t, kilobytes, mostMemory, "%s keeps memory", h.name)
		}
	}
}
