package faults

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/control"
	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/rollout"
	"heatherbarrow/internal/router"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/settings"
	"heatherbarrow/internal/standin"
)

const (
	readyTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	counterKey   = "counter-key"
	hostCount    = 4
)

var zones = []string{"ate", "callao", "surco"}

func zoneOf(i int) string { return zones[i%len(zones)] }

// host is an entry host with its two processes and its links.
type host struct {
	name     string
	zone     string
	callers  string // address of the callers' interface
	operator string
	control  *process
	router   *process
	platform *link
	peers    []*link // to the controls of the other hosts
	replicas []*link // to the engines and services of other zones
}

// standIn is the process of a replica or the platform.
type standIn struct {
	address string // direct, for its switches and counts
	link    *link  // what the system's processes use
	process *process
	faults  map[string]any // switches set
}

// cluster is a deployment of real processes on loopback.
type cluster struct {
	t        *testing.T
	dir      string
	platform *standIn
	engines  []*standIn
	services []*standIn
	hosts    []*host
	store    *rollout.Store
	keys     map[string]ed25519.PrivateKey
	http     *http.Client
	versions *versionWatch
}

// clusterOptions change the engines of a cluster.
type clusterOptions struct {
	firstModels   []string // models that engine 0 has; the others have glue-13b
	checksFencing bool
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	return newClusterWith(t, clusterOptions{firstModels: []string{"glue-13b"}})
}

func newClusterWith(t *testing.T, o clusterOptions) *cluster {
	t.Helper()
	c := &cluster{
		t: t, dir: t.TempDir(), keys: make(map[string]ed25519.PrivateKey),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	t.Cleanup(c.keepLogs)
	newStandIn := func(name string, s standin.Settings) *standIn {
		s.Listen = freeAddresses(t, 1)[0]
		p := startProcess(t, c.dir, name, "heatherbarrow-standin", s)
		return &standIn{address: s.Listen, link: newLink(t, s.Listen), process: p}
	}
	c.platform = newStandIn("platform", standin.Settings{Role: "platform"})
	for i := range 3 {
		models := []string{"glue-13b"}
		if i == 0 {
			models = o.firstModels
		}
		c.engines = append(c.engines, newStandIn(fmt.Sprintf("engine%d", i), standin.Settings{
			Role: "engine", Models: models, Slots: 8, TokensPerStep: 8, ChecksFencing: o.checksFencing,
			ReportLag: settings.Duration(200 * time.Millisecond),
		}))
	}
	for i := range 2 {
		c.services = append(c.services, newStandIn(fmt.Sprintf("service%d", i), standin.Settings{Role: "service"}))
	}
	for _, operator := range []string{"ana", "ben"} {
		seed := make([]byte, ed25519.SeedSize)
		copy(seed, operator)
		c.keys[operator] = ed25519.NewKeyFromSeed(seed)
	}
	operators, err := rollout.ParseOperators(c.operatorKeys())
	require.NoError(t, err)
	c.store = &rollout.Store{Platform: objectstore.NewClient("http://"+c.platform.address, c.http), Operators: operators}
	c.startHosts()
	return c
}

// keepLogs copies the logs of a failed cell into the directory named by the
// environment variable HEATHERBARROW_FAULTS_LOGS.
func (c *cluster) keepLogs() {
	root := os.Getenv("HEATHERBARROW_FAULTS_LOGS")
	if !c.t.Failed() || root == "" {
		return
	}
	target := filepath.Join(root, strings.ReplaceAll(c.t.Name(), "/", "_"))
	if err := os.CopyFS(target, os.DirFS(c.dir)); err != nil {
		c.t.Logf("keep logs: %v", err)
	}
}

func (c *cluster) operatorKeys() map[string]string {
	out := make(map[string]string)
	for name, key := range c.keys {
		out[name] = hex.EncodeToString(key.Public().(ed25519.PublicKey))
	}
	return out
}

func (c *cluster) startHosts() {
	t := c.t
	const listeners = 5
	addresses := freeAddresses(t, hostCount*listeners)
	at := func(host, listener int) string { return addresses[host*listeners+listener] }
	for i := range hostCount {
		h := &host{name: fmt.Sprintf("host%d", i), zone: zoneOf(i), callers: at(i, 0), operator: at(i, 4)}
		h.platform = newLink(t, c.platform.address)
		var peers []control.Peer
		// Hosts learn the addresses of peers from each other; without translations
		// they would go around the links.
		translations := make(map[string]string)
		for j := range hostCount {
			if j == i {
				h.peers = append(h.peers, nil)
				continue
			}
			peer := newLink(t, at(j, 2))
			h.peers = append(h.peers, peer)
			translations[at(j, 2)] = peer.listen
			peers = append(peers, control.Peer{Host: fmt.Sprintf("host%d", j), AvailabilityZone: zoneOf(j), Address: peer.listen})
		}
		c.linkReplicas(h, translations)
		h.control = startProcess(t, c.dir, fmt.Sprintf("control%d", i), "heatherbarrow-control", control.Settings{
			Host: h.name, AvailabilityZone: h.zone, FeedListen: at(i, 1), PeerListen: at(i, 2), Router: at(i, 3),
			OperatorListen: h.operator, Platform: "http://" + h.platform.listen, Peers: peers, Translations: translations, Operators: c.operatorKeys(), LogLevel: "info",
		})
		h.router = startProcess(t, c.dir, fmt.Sprintf("router%d", i), "heatherbarrow-router", router.Settings{
			Host: h.name, AvailabilityZone: h.zone, Listen: h.callers, InternalListen: at(i, 3), Control: at(i, 1),
			LogLevel: "info", Translations: translations, BalancerLag: settings.Duration(200 * time.Millisecond),
		})
		c.hosts = append(c.hosts, h)
	}
}

// linkReplicas puts a link of its own between a host and each replica of another
// zone, in front of the replica's link, so that zones can be cut from each other.
func (c *cluster) linkReplicas(h *host, translations map[string]string) {
	for _, standIns := range [][]*standIn{c.engines, c.services} {
		for i, s := range standIns {
			if zoneOf(i) == h.zone {
				continue
			}
			l := newLink(c.t, s.link.listen)
			h.replicas = append(h.replicas, l)
			translations[s.link.listen] = l.listen
		}
	}
}

// bundle returns the configuration of the cluster. expectedTokens only makes
// versions differ.
func (c *cluster) bundle(expectedTokens int) *bundle.Bundle {
	replicas := func(prefix string, standIns []*standIn) []bundle.Replica {
		var out []bundle.Replica
		for i, s := range standIns {
			out = append(out, bundle.Replica{ID: fmt.Sprintf("%s%d", prefix, i), Address: s.link.listen, AvailabilityZone: zoneOf(i)})
		}
		return out
	}
	const second = settings.Duration(time.Second)
	classes := []string{"quote", "order", "stock-lookup", "comparison"}
	return &bundle.Bundle{
		Format: bundle.Format,
		Classes: []bundle.Class{
			{Name: "quote", Tier: 1, FirstTokenTarget: second, Deadline: 15 * second, Share: 0.1, MaxQueue: 100, RetryBudget: 0.5, ExpectedTokens: expectedTokens},
			{Name: "stock-lookup", Tier: 1, AnswerTarget: second, Deadline: 5 * second, Share: 0.1, MaxQueue: 100, RetryBudget: 0.5},
			{Name: "order", Tier: 2, AnswerTarget: 2 * second, Deadline: 8 * second, Share: 0.1, MaxQueue: 100},
			{Name: "comparison", Tier: 4, FirstTokenTarget: 5 * second, Deadline: 30 * second, Share: 0.1, MaxQueue: 100, RetryBudget: 0.5, Preemptible: true},
		},
		Teams: []bundle.Team{{Name: "counter", KeyHashes: []string{bundle.HashKey(counterKey)}, Classes: classes, TokensPerSecond: 100_000, MaxInProgress: 1000}},
		Upstreams: []bundle.Upstream{
			{Name: "models", Kind: bundle.KindEngine, Classes: []string{"quote", "comparison"}, Models: []string{"glue-13b"}, Resumable: true, Slots: 8, Replicas: replicas("e", c.engines)},
			{Name: "warehouse", Kind: bundle.KindService, Classes: []string{"order", "stock-lookup"}, Slots: 32, Replicas: replicas("s", c.services)},
		},
		Routes: []bundle.Route{
			{Upstream: "warehouse", Method: http.MethodPost, PathPrefix: "/orders", Timeout: 4 * second},
			{Upstream: "warehouse", Method: http.MethodGet, PathPrefix: "/stock", Repeatable: true, Timeout: second},
		},
		Limits: bundle.Limits{FrameTimeout: 2 * second, ClaimWait: 2 * second},
	}
}

// rollOut proposes, approves and rolls out a bundle.
func (c *cluster) rollOut(ctx context.Context, b *bundle.Bundle) (rollout.Current, error) {
	content, hash, err := b.Canonical()
	if err != nil {
		return rollout.Current{}, err
	}
	if _, err := c.store.Propose(ctx, content, "ana", c.keys["ana"]); err != nil {
		return rollout.Current{}, err
	}
	if _, err := c.store.Approve(ctx, hash, "ben", c.keys["ben"], time.Now()); err != nil {
		return rollout.Current{}, err
	}
	return c.store.RollOut(ctx, hash)
}

// start rolls out the first bundle and waits until every host is ready.
func (c *cluster) start() {
	c.t.Helper()
	c.startWith(func(*bundle.Bundle) {})
}

// startWith is start with a change to the first bundle.
func (c *cluster) startWith(change func(b *bundle.Bundle)) {
	c.t.Helper()
	c.eventually("the platform answers", readyTimeout, func() bool {
		_, err := c.store.Platform.Hosts(context.Background(), "")
		return err == nil
	})
	first := c.bundle(10)
	change(first)
	_, err := c.rollOut(context.Background(), first)
	require.NoError(c.t, err)
	c.eventually("all hosts are ready", readyTimeout, c.allReady)
	c.versions = watchVersions(c)
}

func (c *cluster) allReady() bool {
	for _, h := range c.hosts {
		response, err := c.http.Get("http://" + h.callers + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// eventually waits until the condition holds.
func (c *cluster) eventually(what string, timeout time.Duration, condition func() bool) bool {
	c.t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	c.t.Errorf("not within %s: %s", timeout, what)
	return false
}

func (h *host) status(ctx context.Context, client *http.Client) (*rpc.StatusResponse, error) {
	return rpc.NewOperatorProtobufClient("http://"+h.operator, client).Status(ctx, &rpc.StatusRequest{})
}

// allAt tells whether every host has a generation in force.
func (c *cluster) allAt(generation uint64) bool {
	for _, h := range c.hosts {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		s, err := h.status(ctx, c.http)
		cancel()
		if err != nil || s.Self.Generation != generation {
			return false
		}
	}
	return true
}

// heal ends all faults and starts processes that ended.
func (c *cluster) heal() {
	for _, h := range c.hosts {
		for _, p := range []*process{h.control, h.router} {
			p.signal(sigCont)
			p.ensureRunning()
		}
		h.platform.Heal()
		for _, l := range append(slices.Clone(h.peers), h.replicas...) {
			if l != nil {
				l.Heal()
			}
		}
	}
	for _, s := range append(append([]*standIn{c.platform}, c.engines...), c.services...) {
		s.link.Heal()
		s.faults = nil
		put(c.t, s.address, "/admin/faults", `{}`)
	}
}
