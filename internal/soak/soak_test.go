package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
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

// Guards against hosts that retry more than the budget allows all of them together while replicas turn half of the requests away.
func TestRetriesStayInTheirBudget(t *testing.T) {
	concurrently(t)
	d := newDeployment(t, 2, 2, false)
	defer d.keepLogs(1)
	awaitReady(t, d.hosts)
	c := newCallers(d)
	for end := time.Now().Add(faultTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, r := range d.replicas {
			r.fault.Store(int32([]replicaFault{sound, full}[rand.IntN(2)]))
		}
	}
	c.end()
	d.check()
}

// seedOrChosen returns one seed unless the environment asks for others.
func seedOrChosen(t *testing.T) []uint64 {
	t.Helper()
	if os.Getenv("SEED") != "" || os.Getenv("SEEDS") != "" {
		return chosenSeeds(t, nil)
	}
	return []uint64{1}
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

// runTime returns the time of each seed, which SECONDS sets, and whether it does.
func runTime(inCI time.Duration) (lasts time.Duration, set bool) {
	if n, _ := strconv.Atoi(os.Getenv("SECONDS")); n > 0 {
		return time.Duration(n) * time.Second, true
	}
	return inCI, false
}

func play(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	// Decided apart from the other faults, so that seeds kept from before play the same ones.
	beats := rand.New(rand.NewPCG(seed, 4))
	d := newDeployment(t, 1+random.IntN(3), 1+random.IntN(4), beats.IntN(2) == 0)
	defer d.keepLogs(seed)
	awaitReady(t, d.hosts)
	c := newCallers(d)
	endWatch := watchVersions(c)
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
	var streams []*followed
	var following sync.WaitGroup
	if rand.New(rand.NewPCG(seed, 2)).IntN(2) == 0 {
		d.t.Logf("replicas of two software versions serve side by side")
		d.setVersions()
		s := d.longCallers(60 * time.Millisecond)
		s.hangUp = 0.25
		following.Go(func() { streams = s.follow(faultTime) })
	}
	// Hosts share a stated limit out by datagrams, so that harm to these would excuse them.
	var harmed sync.WaitGroup
	if d.beats != nil && limit == nil {
		harmed.Go(func() { d.troubleBeats(beats) })
	}
	d.trouble(random)
	harmed.Wait()
	restored.Wait()
	following.Wait()
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
	c.end()
	endWatch()
	d.check()
	if limit != nil {
		assert.Empty(t, d.ledger.judgeLimit(limit))
	}
	d.checkBeats()
	checkFollowed(t, "long streams", streams)
	t.Logf("joined: %v", joined(streams))
	assert.Empty(t, judgeOrder(streams))
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

// awaitReady returns when the hosts are ready.
func awaitReady(t *testing.T, hosts []*host) {
	t.Helper()
	for _, h := range hosts {
		require.Eventually(t, h.ready, settleTime, 20*time.Millisecond, "%s starts", h.name)
	}
}

// trouble injects random faults until faultTime is over, then ends all of them.
func (d *deployment) trouble(random *rand.Rand) {
	var wg sync.WaitGroup
	for end := time.Now().Add(faultTime); time.Now().Before(end); {
		f, name := d.fault(random)
		lasts := time.Duration(200+random.IntN(2500)) * time.Millisecond
		d.t.Logf("%s for %v", name, lasts)
		wg.Go(func() { f(lasts) })
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
			defer d.ledger.noteTrouble(map[bool]string{true: r.id, false: storeName}[l == d.links[i]], time.Now())
			end := l.Begin(f)
			time.Sleep(lasts)
			end()
		}
	}
	restart := func(s syscall.Signal) func(time.Duration) {
		return func(lasts time.Duration) {
			h.alone(func() {
				defer d.ledger.noteTrouble(h.name, time.Now())
				h.restart(s, min(lasts, 500*time.Millisecond))
			})
		}
	}
	switch n := random.IntN(16); n {
	case 0:
		return restart(syscall.SIGTERM), "stop of " + h.name
	case 1:
		return restart(syscall.SIGKILL), "kill of " + h.name
	case 2:
		return func(lasts time.Duration) {
			h.alone(func() {
				defer d.ledger.noteTrouble(h.name, time.Now())
				h.pause(lasts)
			})
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
			defer d.ledger.noteTrouble(storeName, time.Now())
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
			defer d.ledger.noteTrouble(r.id, time.Now())
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

// watchVersions checks that no host goes back to an older configuration while its process
// lives: the route of a version that was seen in force stays, or a newer one has replaced it. end ends it.
func watchVersions(c *callers) (end func()) {
	var stop atomic.Bool
	var watches sync.WaitGroup
	for _, h := range c.d.hosts {
		watches.Go(func() {
			var boot, seen int64
			for !stop.Load() {
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
		})
	}
	return func() {
		stop.Store(true)
		watches.Wait()
	}
}

// check reports what breaks a rule in the record of a run.
func (d *deployment) check() {
	t := d.t
	answers, counts := d.ledger.judgeAnswers()
	budget, closest := d.ledger.judgeBudget()
	leaving, said := d.ledger.judgeLeaving()
	t.Logf("%v; %s; hosts passed on that %d processes leave", counts, closest, said)
	for _, c := range slices.Concat(answers, d.ledger.judgeTwice(), d.ledger.judgeRuns(), budget, d.ledger.judgeTimeLeft(), d.ledger.judgeDraining(), leaving, d.ledger.judgeRests()) {
		t.Error(c)
	}
	assert.Greater(t, counts["lookup 200"], len(d.ledger.results)/20, "most of the time lookups are served")
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
	assert.Less(t, h.residentKB("VmRSS"), mostMemory, "%s keeps memory", h.name)
}
