package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway"
	"heatherbarrow/internal/gateway/netio/relaytest"
	"heatherbarrow/internal/settings"
	"heatherbarrow/platform"
	"heatherbarrow/platform/storetest"
)

// maxLanes is the number of deployments that may run at the same time.
const maxLanes = 3

const (
	callerHost   = "shop.example"
	teamName     = "counter"
	teamKey      = "counter-key"
	retryShare   = 0.2
	retrySlack   = 40
	graceSeconds = 6
	balancerLag  = 500 * time.Millisecond
)

var buildOnce = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "heatherbarrow-soak-")
	if err != nil {
		return "", err
	}
	args := []string{"build", "-o", dir}
	if os.Getenv("HEATHERBARROW_SOAK_RACE") != "" {
		args = append(args, "-race")
	}
	out, err := exec.Command("go", append(args, "heatherbarrow/cmd/heatherbarrow-gateway")...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return filepath.Join(dir, "heatherbarrow-gateway"), nil
})

// earlierBuild returns the path of an earlier build of the gateway, or "" if there is none.
func earlierBuild() string { return os.Getenv("HEATHERBARROW_SOAK_EARLIER") }

func newRelay(t *testing.T, target string) *relaytest.Relay {
	t.Helper()
	r, err := relaytest.NewAt(otherAddress(), target)
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return r
}

// host is a gateway's process.
type host struct {
	t        *testing.T
	name     string
	settings *gateway.Settings
	path     string // of its settings
	log      string
	store    *relaytest.Relay
	boot     atomic.Int64 // counts starts
	env      []string     // of the process; nil for that of the test
	build    func() bool  // tells at each start whether the earlier build starts; nil if that changes at each start

	troubled atomic.Bool  // stopped or paused by a fault in play
	overheld atomic.Int64 // nanoseconds for which the processes were held beyond what their share of a processor allows

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// claim tells whether a fault may stop or pause the process: no other one does.
func (h *host) claim() bool { return h.troubled.CompareAndSwap(false, true) }

func (h *host) release() { h.troubled.Store(false) }

// alone plays a fault that stops or pauses the process, unless another one does.
func (h *host) alone(play func()) {
	if h.claim() {
		defer h.release()
		play()
	}
}

func (h *host) start() {
	h.t.Helper()
	program, err := buildOnce()
	require.NoError(h.t, err)
	// With an earlier build, hosts change between both builds at each start, and neighbors differ.
	earlier := earlierBuild() != "" && (h.boot.Load()+int64(h.name[len(h.name)-1]))%2 == 0
	if h.build != nil {
		earlier = h.build()
	}
	if earlier {
		program = earlierBuild()
	}
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(h.t, err)
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, "--config", h.path)
	cmd.Stdout, cmd.Stderr, cmd.Env = log, log, h.env
	require.NoError(h.t, cmd.Start())
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the way it ended is the soak's own doing, or seen by callers
		close(exited)
	}()
	h.mu.Lock()
	h.cmd, h.exited = cmd, exited
	h.mu.Unlock()
	h.boot.Add(1)
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(s) // it may have ended
}

// wait returns when the process has ended.
func (h *host) wait() {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	<-exited
}

// restart ends the process with a signal, and starts it again a while after.
func (h *host) restart(s syscall.Signal, down time.Duration) {
	h.signal(s)
	h.wait()
	time.Sleep(down)
	h.start()
}

// pause stops the process for a time.
func (h *host) pause(lasts time.Duration) {
	h.signal(syscall.SIGSTOP)
	time.Sleep(lasts)
	h.signal(syscall.SIGCONT)
}

// residentKB returns a figure of the process's resident memory: VmRSS now, VmHWM at most since the start.
func (h *host) residentKB(name string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	require.NoError(h.t, err, "%s runs", h.name)
	_, rest, found := strings.Cut(string(status), name+":")
	require.True(h.t, found, "%s of the process", name)
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(h.t, err)
	return kb
}

// deployment is gateways, replicas, callers and a store on loopback.
type deployment struct {
	t        *testing.T
	store    *storetest.Store
	hosts    []*host
	replicas []*replica
	links    []*relaytest.Relay       // to the replicas
	beats    [][]*relaytest.Datagrams // by sender, to each host but itself; nil without relays
	ledger   *ledger
	version  atomic.Int64 // of the configuration, as confirmed by the store
	writes   sync.Mutex   // held while the operator or a replica writes to the store, and while it is restored

	noteworthy bool        // logs are kept though no check fails
	unjudged   atomic.Bool // the machine did not let a host run at the end of its grace period
}

// lanes are the deployments that may run at the same time, by number.
var lanes = func() chan int {
	free := make(chan int, maxLanes)
	for i := range maxLanes {
		free <- i
	}
	return free
}()

// concurrently lets a test or a group of tests run beside others, unless seeds are chosen by hand: those run one by one.
func concurrently(t *testing.T) {
	if os.Getenv("SEED") == "" && os.Getenv("SEEDS") == "" {
		t.Parallel()
	}
}

// takeLane waits for a lane, and returns its number. The test keeps it until its processes have ended.
func takeLane(t *testing.T) int {
	lane := <-lanes
	t.Cleanup(func() { lanes <- lane })
	return lane
}

// hostAddress returns the address of a host; neither processes nor lanes that run at the same time share any.
func hostAddress(lane, i int) string { return processAddress(1 + hostsInLane*lane + i) }

// hostsInLane is the number of hosts for which a lane has addresses. A test with more of them runs alone.
const hostsInLane = 80

// replicaAddress is where replicas of a lane listen that close their listener for a while. Nothing else listens there, so that
// nothing takes the port meanwhile.
func replicaAddress(lane int) string {
	return net.JoinHostPort(hostAddress(maxLanes, lane), "0")
}

// otherAddress is where relays and other replicas listen: no other process dials there, or takes the port of a
// relay that is stopped.
func otherAddress() string { return net.JoinHostPort(processAddress(254), "0") }

func processAddress(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()/250%100, 1+os.Getpid()%250, i)
}

// newDeployment starts a deployment of two replicas in each zone, with relays for the datagrams between hosts if wanted.
func newDeployment(t *testing.T, zones, perZone int, relayBeats bool) *deployment {
	t.Helper()
	return newDeploymentWith(t, zones, perZone, relayBeats, func(int) []func(*gateway.Settings) { return nil })
}

// newDeploymentWith is newDeployment with further changes to the settings of each host, by number.
func newDeploymentWith(t *testing.T, zones, perZone int, relayBeats bool, changes func(i int) []func(*gateway.Settings)) *deployment {
	t.Helper()
	return startDeployment(t, zones, perZone, relayBeats, nil, changes)
}

// newDeploymentOfVersion is newDeployment with replicas of one software version from the beginning.
func newDeploymentOfVersion(t *testing.T, zones, perZone int, relayBeats bool, version string) *deployment {
	t.Helper()
	return startDeployment(t, zones, perZone, relayBeats, &version, func(int) []func(*gateway.Settings) { return nil })
}

// startDeployment starts a deployment whose replicas have a software version, unless it is nil.
func startDeployment(t *testing.T, zones, perZone int, relayBeats bool, version *string, changes func(i int) []func(*gateway.Settings)) *deployment {
	t.Helper()
	lane := takeLane(t)
	d := &deployment{t: t, store: storetest.New(), ledger: newLedger()}
	t.Cleanup(d.store.Close)
	for i := range 2 * zones {
		r := newReplica(fmt.Sprintf("r%d", i), d.ledger)
		r.software.Store(version)
		t.Cleanup(r.server.CloseClientConnections)
		l := newRelay(t, r.server.Listener.Addr().String())
		d.replicas, d.links = append(d.replicas, r), append(d.links, l)
		d.register(i, "ready")
	}
	d.configure()
	dir := t.TempDir()
	for i := range zones * perZone {
		store := newRelay(t, d.store.Address())
		change := changes(i)
		if relayBeats {
			d.beats = append(d.beats, relayBeatsOf(t, lane, i, zones*perZone))
			change = append(change, ownBeatPort(i))
		}
		h := startHost(t, dir, lane, i, zoneName(i%zones), store.Address(), nil, change...)
		h.store = store
		d.hosts = append(d.hosts, h)
	}
	return d
}

// startHost starts the gateway with the given number in a lane, whose files are in dir.
func startHost(t *testing.T, dir string, lane, i int, zone, store string, env []string, change ...func(*gateway.Settings)) *host {
	address := hostAddress(lane, i)
	h := &host{t: t, name: fmt.Sprintf("h%d", i), log: filepath.Join(dir, fmt.Sprintf("h%d.log", i)), path: filepath.Join(dir, fmt.Sprintf("h%d.json", i)), env: env}
	h.settings = &gateway.Settings{
		Host: h.name, AvailabilityZone: zone, LogLevel: "info", Listen: address + ":9001", ReadyListen: address + ":9002",
		PeerListen: address + ":9003", BeatPort: 9004, Seeds: []string{net.JoinHostPort(hostAddress(lane, 0), "9003")}, Store: store, MemoryLimitMB: 400,
		RetryShare: retryShare, RetrySlack: retrySlack, GraceSeconds: graceSeconds,
		WithdrawWithin: settings.Duration(2 * time.Second), BalancerLag: settings.Duration(balancerLag),
	}
	for _, c := range change {
		c(h.settings)
	}
	require.NoError(t, h.settings.Validate())
	h.writeSettings()
	h.start()
	t.Cleanup(func() {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		h.wait()
	})
	return h
}

// writeSettings replaces the settings file.
func (h *host) writeSettings() {
	data, err := json.Marshal(h.settings)
	require.NoError(h.t, err)
	require.NoError(h.t, os.WriteFile(h.path+".new", data, 0o600))
	require.NoError(h.t, os.Rename(h.path+".new", h.path))
}

func zoneName(i int) string { return fmt.Sprintf("z%d", i) }

// register writes the entry of a replica.
func (d *deployment) register(i int, state string) {
	d.writes.Lock()
	defer d.writes.Unlock()
	d.replicas[i].state = state
	d.writeEntry(i)
	d.ledger.noteState(d.replicas[i].id, d.replicas[i].born.Load(), state)
}

// writeEntry writes what a replica last registered. The caller holds d.writes.
func (d *deployment) writeEntry(i int) {
	d.store.Put(platform.KindMembers, d.replicas[i].id, map[string]any{
		"service": "pool", "address": d.links[i].Address(), "zone": zoneName(i / 2), "slots": 16, "state": d.replicas[i].state, "born": d.replicas[i].born.Load(),
		"version": d.replicas[i].softwareVersion(),
	})
}

// configure writes the next version of the configuration. Its own route names it.
func (d *deployment) configure() {
	d.writes.Lock()
	defer d.writes.Unlock()
	d.putConfig(d.version.Load() + 1)
}

// putConfig writes a version of the configuration. The caller holds d.writes.
func (d *deployment) putConfig(version int64) {
	route := func(name, prefix, kind string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": callerHost, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": 4000, "goalMs": 300, "gapGoalMs": 200,
			"service": "pool", "maxAttempts": attempts, "resumable": resumable,
		}
	}
	d.store.Put(platform.KindConfig, platform.NameConfig, map[string]any{
		"version": version,
		"routes": []any{
			route("lookup", "/lookup/", "idempotent", 2, false), route("order", "/order/", "non_idempotent", 1, false),
			route("stream", "/stream/", "streaming", 2, true), route("version", versionPath(version), "idempotent", 2, false),
		},
		"services": []any{map[string]any{"name": "pool"}},
		"limits":   map[string]any{"idleTimeoutMs": 10_000},
		"tenants":  []any{map[string]any{"name": teamName, "apiKeys": []string{teamKey}}},
	})
	d.version.Store(version)
}

func versionPath(version int64) string { return fmt.Sprintf("/version-%d/", version) }

// keptLogs is where the logs of failed seeds go if the environment names no directory.
const keptLogs = "../../out/soak"

// keepLogs copies the logs of a failed seed to the directory that the environment names.
func (d *deployment) keepLogs(seed uint64) {
	if !d.t.Failed() && !d.noteworthy {
		return
	}
	root := cmp.Or(os.Getenv("HEATHERBARROW_SOAK_LOGS"), keptLogs)
	// Another run of the same test and seed may have failed before.
	dir := fmt.Sprintf("%s-seed-%d-%s", strings.ReplaceAll(d.t.Name(), "/", "_"), seed, time.Now().UTC().Format("20060102T150405.000"))
	target, err := filepath.Abs(filepath.Join(root, dir))
	if err == nil {
		err = os.CopyFS(target, os.DirFS(filepath.Dir(d.hosts[0].log)))
	}
	d.t.Logf("logs are kept in %s: %v", target, err)
}
