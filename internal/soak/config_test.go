package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"slices"
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
	"heatherbarrow/platform"
	"heatherbarrow/platform/storetest"
)

// configRig is gateways in the shape of a deployment, an operator who changes the configuration all the time, and
// callers who ask each host for routes and keys that came and went.
type configRig struct {
	t         *testing.T
	store     *storetest.Store
	hosts     []*host
	fronts    []*storeFront
	datagrams [][]*relaytest.Datagrams // from each host to the others, in their order
	timeouts  []time.Duration
	client    *http.Client
	next      atomic.Int64
	writing   sync.Mutex
	added     []addedReplica // that registered in this run; guarded by writing
	cutOff    atomic.Bool    // a host is cut off from all replicas

	mu       sync.Mutex
	ledger   configLedger
	filler   int // further routes
	gone     []string
	spent    []string // keys that were removed
	services []string // that were added
}

// hostsPerZone returns the shape of CI, or that of the site file in the environment variable SITE.
func hostsPerZone(t *testing.T) map[string]int {
	path := os.Getenv("SITE")
	if path == "" {
		return map[string]int{"z0": 2, "z1": 1, "z2": 1}
	}
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	shape := make(map[string]int)
	machines, _, _ := strings.Cut(string(text[strings.Index(string(text), "\nmachines = "):]), "\n]")
	for _, m := range regexp.MustCompile(`zone = "([^"]+)", count = (\d+)`).FindAllStringSubmatch(machines, -1) {
		n, err := strconv.Atoi(m[2])
		require.NoError(t, err)
		shape[m[1]] += n
	}
	return shape
}

func newConfigRig(t *testing.T, random *rand.Rand) *configRig {
	lane := takeLane(t)
	rig := &configRig{t: t, store: storetest.New(), timeouts: []time.Duration{time.Second, 300 * time.Millisecond}}
	rig.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}, Timeout: 6 * time.Second}
	t.Cleanup(rig.store.Close)
	var replicas []string
	for i, service := range []string{"pool", "pool", "books", "books"} {
		id := fmt.Sprintf("%s-%d", service, i)
		replica := startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answerAs(w, r, id, service) }))
		t.Cleanup(replica.CloseClientConnections)
		replicas = append(replicas, replica.Listener.Addr().String())
		rig.store.Put(platform.KindMembers, id, map[string]any{
			"service": service, "address": replica.Listener.Addr().String(), "zone": "z0", "slots": 64, "state": "ready", "born": 1,
		})
	}
	first := configWrite{version: 1, keys: []string{teamKey}, routes: map[string]configRoute{
		"/first/": {"pool", 4 * time.Second}, "/moved/": {"books", 4 * time.Second}, "/held/": {"pool", rig.timeouts[0]},
	}}
	rig.ledger.newServices = make(map[string]time.Time)
	rig.ledger.first = map[string]bool{"/first/": true, "/moved/": true}
	rig.write(first)
	dir := t.TempDir()
	zones := hostsPerZone(t)
	procs, env := []string{"", "GOMAXPROCS=1", "GOMAXPROCS=8"}[random.IntN(3)], os.Environ()
	if procs != "" {
		env = append(env, procs)
	}
	hosts := 0
	for _, n := range zones {
		hosts += n
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		for range zones[zone] {
			front := newStoreFront(t, rig.store, replicas)
			rig.datagrams = append(rig.datagrams, relayBeatsOf(t, lane, len(rig.hosts), hosts))
			rig.hosts = append(rig.hosts, startHost(t, dir, lane, len(rig.hosts), zone, front.server.Listener.Addr().String(), env, ownBeatPort(len(rig.hosts))))
			rig.fronts = append(rig.fronts, front)
		}
	}
	t.Logf("%d hosts in %v, %s", len(rig.hosts), zones, procs)
	return rig
}

// answerAs is what a replica of a service answers. It holds requests for /held/.
func answerAs(w http.ResponseWriter, r *http.Request, id, service string) {
	w.Header().Set("Heatherbarrow-Attempt-Id", r.Header.Get("Heatherbarrow-Attempt-Id"))
	if r.Header.Get("Heatherbarrow-Expect-Replica") != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/held/") {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(5 * time.Second):
		}
	}
	w.Header().Set("Heatherbarrow-Server-Seal", "seal-"+id)
	_, _ = io.WriteString(w, service)
}

// document returns the configuration as the operator writes it.
func (rig *configRig) document(w *configWrite) map[string]any {
	routes := make([]any, 0, len(w.routes)+rig.filler)
	for _, prefix := range slices.Sorted(maps.Keys(w.routes)) {
		priority := 0
		if strings.HasPrefix(prefix, newServicePrefix) {
			priority = 3
		}
		routes = append(routes, map[string]any{
			"name": strings.Trim(prefix, "/"), "host": callerHost, "priority": priority, "pathPrefix": prefix, "routeKind": "idempotent", "goalMs": 300,
			"timeoutMs": w.routes[prefix].timeout.Milliseconds(), "service": w.routes[prefix].service, "maxAttempts": 2,
		})
	}
	for i := range rig.filler {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("filler-%d", i), "host": fmt.Sprintf("filler-%d.example", i), "pathPrefix": "/a/", "routeKind": "idempotent",
			"service": "pool", "timeoutMs": 1000, "goalMs": 300, "maxAttempts": 1, "priority": 1,
		})
	}
	services := []any{map[string]any{"name": "pool"}, map[string]any{"name": "books"}}
	rig.mu.Lock()
	for _, name := range rig.services {
		service := map[string]any{"name": name}
		if strings.HasPrefix("/"+name, newEnginePrefix) {
			service["engine"] = map[string]any{"slots": 64, "kvCapacity": 200_000, "stride": 5}
		}
		services = append(services, service)
	}
	rig.mu.Unlock()
	// Keys that came with a service are those of a team of its own.
	var keys, newKeys []string
	for _, key := range w.keys {
		if strings.HasPrefix(key, "new-") {
			newKeys = append(newKeys, key)
		} else {
			keys = append(keys, key)
		}
	}
	return map[string]any{
		"version": w.version, "routes": routes, "services": services, "limits": map[string]any{"idleTimeoutMs": 10_000},
		"tenants": []any{map[string]any{"name": "counter", "apiKeys": keys}, map[string]any{"name": "new", "apiKeys": newKeys}},
	}
}

// write writes a version and notes its times.
func (rig *configRig) write(w configWrite) {
	w.sent = time.Now()
	rig.mu.Lock()
	rig.ledger.writes = append(rig.ledger.writes, w)
	rig.mu.Unlock()
	rig.store.Put(platform.KindConfig, platform.NameConfig, rig.document(&w))
	rig.mu.Lock()
	defer rig.mu.Unlock()
	rig.ledger.writes[len(rig.ledger.writes)-1].confirmed = time.Now()
}

// change writes the next version, in which one thing differs.
func (rig *configRig) change(random *rand.Rand) {
	rig.changeBy(random, random.Int64N(6), random.IntN(6))
}

// changeBy writes a version with a number that is higher by 1 + step, in which one thing differs: a route is dropped, one is
// moved, its timeout is changed, a key is added, one is removed, or a route is added.
func (rig *configRig) changeBy(random *rand.Rand, step int64, kind int) {
	rig.writing.Lock()
	defer rig.writing.Unlock()
	rig.writeNext(random, step, kind)
}

// writeNext is changeBy for a caller that holds rig.writing.
func (rig *configRig) writeNext(random *rand.Rand, step int64, kind int) {
	last := rig.last()
	next := configWrite{version: last.version + 1 + step, routes: maps.Clone(last.routes), keys: slices.Clone(last.keys)}
	added := slices.DeleteFunc(slices.Sorted(maps.Keys(next.routes)), func(p string) bool { return !strings.HasPrefix(p, "/added") })
	switch {
	case kind == 0 && len(added) > 2:
		prefix := added[random.IntN(len(added))]
		delete(next.routes, prefix)
		rig.mu.Lock()
		rig.gone = append(rig.gone, prefix)
		rig.mu.Unlock()
	case kind == 1:
		service := map[string]string{"pool": "books", "books": "pool"}[next.routes["/moved/"].service]
		next.routes["/moved/"] = configRoute{service, 4 * time.Second}
	case kind == 2:
		timeout := rig.timeouts[random.IntN(len(rig.timeouts))]
		next.routes["/held/"] = configRoute{"pool", timeout}
	case kind == 3:
		next.keys = append(next.keys, fmt.Sprintf("key-%d", next.version))
	case kind == 4 && len(next.keys) > 1:
		i := 1 + random.IntN(len(next.keys)-1)
		rig.mu.Lock()
		rig.spent = append(rig.spent, next.keys[i])
		rig.mu.Unlock()
		next.keys = slices.Delete(next.keys, i, i+1)
	default:
		next.routes[fmt.Sprintf("/added-%d/", next.version)] = configRoute{[]string{"pool", "books"}[random.IntN(2)], 4 * time.Second}
	}
	rig.write(next)
}

func (rig *configRig) last() configWrite {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	return rig.ledger.writes[len(rig.ledger.writes)-1]
}

// question draws a path and a key: of the newest version mostly, or such as were removed or never there.
func (rig *configRig) question(random *rand.Rand) (path, key string) {
	last := rig.last()
	paths := slices.Sorted(maps.Keys(last.routes))
	rig.mu.Lock()
	defer rig.mu.Unlock()
	path, key = paths[random.IntN(len(paths))], last.keys[random.IntN(len(last.keys))]
	switch n := random.IntN(10); {
	case n == 0 && len(rig.gone) > 0:
		path = rig.gone[len(rig.gone)-1]
	case n == 1 && len(rig.spent) > 0:
		key = rig.spent[len(rig.spent)-1]
	case n == 2:
		path = "/never/"
	case n == 3:
		path = "/moved/"
	case n == 4:
		path = "/first/"
	}
	return path + "x", key
}

// ask sends a request to a host and notes the answer.
func (rig *configRig) ask(h *host, path, key string) {
	q := configQuestion{host: h.name, boot: h.boot.Load(), path: path, key: key, sent: time.Now(), held: strings.HasPrefix(path, "/held/")}
	request := newAttempt(context.Background(), h, http.MethodGet, path, fmt.Sprintf("ask-%s-%d", h.name, rig.next.Add(1)), "", 5*time.Second)
	request.Header.Set("Authorization", "Bearer "+key)
	if strings.HasPrefix(path, newEnginePrefix) {
		request.Header.Set("Heatherbarrow-Model", "m")
		request.Header.Set("Heatherbarrow-Token-Counts", "300,10")
		request.Header.Set("Heatherbarrow-Prompt-Prefix", fmt.Sprintf("5c1e07a2:200,%x:100", rig.next.Load()))
	}
	response, err := rig.client.Do(request)
	if err == nil {
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		q.status = response.StatusCode
		if seal := response.Header.Get("Heatherbarrow-Server-Seal"); seal != "" {
			q.service = string(body)
		}
	}
	q.ended = time.Now()
	if h.boot.Load() != q.boot {
		q.boot = 0
	}
	rig.mu.Lock()
	defer rig.mu.Unlock()
	rig.ledger.questions = append(rig.ledger.questions, q)
}

// note records a disturbance that began at from and ends now.
func (rig *configRig) note(host string, from time.Time, outage, slowed bool) {
	rig.mu.Lock()
	defer rig.mu.Unlock()
	rig.ledger.disturbances = append(rig.ledger.disturbances, disturbance{host, from, time.Now(), outage, slowed})
}

// fault draws a fault; play plays it for a time and notes it.
func (rig *configRig) fault(random *rand.Rand) (play func(time.Duration), name string) {
	i := random.IntN(len(rig.hosts))
	h := rig.hosts[i]
	pause := func(h *host, lasts time.Duration) {
		h.alone(func() {
			defer rig.note(h.name, time.Now(), false, false)
			h.pause(lasts)
		})
	}
	restart := func(s syscall.Signal) func(time.Duration) {
		return func(lasts time.Duration) {
			h.alone(func() {
				defer rig.note(h.name, time.Now(), false, false)
				h.boot.Add(1) // the process that ends and the next one are told apart
				h.restart(s, lasts/2)
			})
		}
	}
	seed := random.Uint64()
	switch n := random.IntN(15); n {
	case 0:
		return restart(syscall.SIGKILL), "kill of " + h.name
	case 1:
		return restart(syscall.SIGTERM), "stop of " + h.name
	case 2, 3:
		return func(lasts time.Duration) { pause(h, lasts) }, "pause of " + h.name
	case 4:
		return func(lasts time.Duration) {
			h.alone(func() {
				for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					h.writeSettings()
					h.signal(syscall.SIGHUP)
				}
			})
		}, "reloads of " + h.name
	case 5, 6:
		mode, hosts := 1+random.Int32N(frontModes-1), 1+random.IntN(len(rig.hosts)-1)
		return func(lasts time.Duration) {
			defer rig.note("", time.Now(), false, false)
			rejected := slices.Concat(rig.fronts, rig.fronts)[i : i+hosts]
			setModes(rejected, mode)
			time.Sleep(2 * lasts)
			setModes(rejected, frontOpen)
		}, fmt.Sprintf("store rejects %d hosts from %s, mode %d", hosts, h.name, mode)
	case 7:
		fault := []storetest.Fault{storetest.Down, storetest.Silent, storetest.Slow}[random.IntN(3)]
		return func(lasts time.Duration) {
			defer rig.note("", time.Now(), true, false)
			rig.store.SetFault(fault)
			time.Sleep(lasts)
			rig.store.SetFault(storetest.None)
		}, fmt.Sprintf("trouble %d of the store", fault)
	case 8:
		return func(time.Duration) { rig.store.DropHistory() }, "history of the store dropped"
	case 9:
		return func(lasts time.Duration) {
			defer rig.note("", time.Now(), true, false)
			rig.writing.Lock()
			defer rig.writing.Unlock()
			saved := rig.store.Copy()
			rig.writing.Unlock()
			time.Sleep(lasts)
			rig.writing.Lock()
			rig.store.Restore(saved)
			time.Sleep(300 * time.Millisecond)
			last := rig.last()
			rig.store.Put(platform.KindConfig, platform.NameConfig, rig.document(&last))
			for _, r := range rig.added {
				rig.store.Put(platform.KindMembers, r.id, r.spec)
			}
		}, "store restored from a copy"
	case 10:
		return func(time.Duration) {
			defer func(from time.Time) {
				for _, h := range rig.hosts {
					rig.note(h.name, from, false, false)
				}
			}(time.Now())
			for _, f := range rig.fronts {
				f.silent.Store(time.Now().UnixNano())
			}
		}, "connections to the store go silent"
	case 11, 12:
		// The host stays in touch: callers, hosts and the store reach it. Another one may be behind.
		return func(lasts time.Duration) {
			if rig.cutOff.Swap(true) {
				return // the end of the first would end the second
			}
			defer rig.cutOff.Store(false)
			for _, l := range rig.fronts[i].links {
				l.Stop()
			}
			if n == 12 {
				pause(rig.hosts[(i+1)%len(rig.hosts)], lasts)
			}
			time.Sleep(lasts)
			for _, l := range rig.fronts[i].links {
				assert.NoError(rig.t, l.Start())
			}
		}, fmt.Sprintf("%s cut off from all replicas, next host paused: %v", h.name, n == 12)
	default:
		gap := 50 + random.IntN(300)
		return func(lasts time.Duration) {
			r := rand.New(rand.NewPCG(seed, 0))
			for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(time.Duration(gap) * time.Millisecond) {
				rig.change(r)
			}
		}, fmt.Sprintf("changes every %d ms", gap)
	}
}

func setModes(fronts []*storeFront, mode int32) {
	for _, f := range fronts {
		f.mode.Store(mode)
	}
}

// TestConfigSoak changes the configuration while faults are played, and asks each host for routes and keys that came
// and went. Guards against a configuration that comes into force late, goes back, or does not serve added routes.
// SITE names a site file whose hosts and zones are used, SEEDS and SEED are as for TestSoak, SECONDS is the time of a
// seed, BUSY a number of processes that keep processors busy.
func TestConfigSoak(t *testing.T) {
	concurrently(t)
	lasts, _ := runTime(8 * time.Second)
	busy, _ := strconv.Atoi(os.Getenv("BUSY"))
	for _, seed := range seedOrChosen(t) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			concurrently(t)
			playConfig(t, seed, lasts, busy)
		})
	}
}

func playConfig(t *testing.T, seed uint64, lasts time.Duration, busy int) {
	random := rand.New(rand.NewPCG(seed, 0))
	rig := newConfigRig(t, random)
	defer (&deployment{t: t, hosts: rig.hosts}).keepLogs(seed)
	awaitReady(t, rig.hosts)
	if random.IntN(3) == 0 {
		rig.filler = 600
	}
	for range busy {
		cmd := exec.Command("sh", "-c", "while :; do :; done")
		require.NoError(t, cmd.Start())
		defer func() {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}()
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers, faults sync.WaitGroup
	for i := range 3 * len(rig.hosts) {
		r := rand.New(rand.NewPCG(seed, uint64(i+1)))
		callers.Go(func() {
			for ctx.Err() == nil {
				path, key := rig.question(r)
				rig.ask(rig.hosts[i%len(rig.hosts)], path, key)
				time.Sleep(time.Duration(10+r.IntN(30)) * time.Millisecond)
			}
		})
	}
	callers.Go(func() {
		r := rand.New(rand.NewPCG(seed, 1000))
		for ctx.Err() == nil {
			rig.change(r)
			time.Sleep(time.Duration(100+r.IntN(3000)) * time.Millisecond)
		}
	})
	harming, endHarm := context.WithCancel(ctx)
	defer endHarm()
	if random := rand.New(rand.NewPCG(seed, 2001)); random.IntN(2) == 0 {
		faults.Go(func() { rig.writeInvalid(harming, random) })
	}
	if random := rand.New(rand.NewPCG(seed, 2002)); random.IntN(2) == 0 {
		faults.Go(func() { rig.addServices(harming, random) })
	}
	faults.Go(func() { rig.harmDatagrams(harming, rand.New(rand.NewPCG(seed, 2000))) })
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		play, name := rig.fault(random)
		t.Logf("%s %s", clock(time.Now()), name)
		d := time.Duration(200+random.IntN(2800)) * time.Millisecond
		faults.Go(func() { play(d) })
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
	}
	endHarm()
	faults.Wait()
	time.Sleep(testBounds.settle + testBounds.within + time.Second)
	cancel()
	callers.Wait()
	v := rig.ledger.judge(testBounds)
	t.Logf("%d versions, %d questions, %d judged with a bound, %d cases; undisturbed hosts acted on an older version for at most %v",
		len(rig.ledger.writes), len(rig.ledger.questions), v.judged, len(v.cases), v.stale.Round(time.Millisecond))
	t.Logf("served: %s", strings.Join(v.served, "; "))
	for _, c := range v.cases[:min(len(v.cases), 20)] {
		t.Error(c)
	}
	assert.Positive(t, v.judged)
}
