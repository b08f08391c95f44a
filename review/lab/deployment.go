//go:build review

// Command lab plays the cases of the review: it starts gateways as separate processes on loopback addresses,
// beside stand-ins for the store, the replicas, the balancer and the callers, and checks a rule of the
// operators' pages from what callers and replicas see.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"heatherbarrow/platform/storetest"
)

// Bounds of the small deployments in the operators' pages.
const (
	heartbeat    = 1200 * time.Millisecond
	stableWindow = 3 * time.Second
	drainTime    = 2 * time.Second
	graceSeconds = 8
	retryBudget  = 0.2
	budgetSlack  = 56
	memoryMB     = 189
)

const (
	callerHost = "ficu95.example"
	teamName   = "huka270"
	teamKey    = "xd9dnn2ctnfzs989anu6"
)

// zones are those of the gateways: four machines in three zones.
var zones = []string{"sapporo", "sapporo", "asahikawa", "hakodate"}

// deployment is a store, replicas and gateways.
type deployment struct {
	record   *record
	store    *storetest.Store
	replicas *replicas
	hosts    []*host
	dir      string
}

// host is a gateway's process.
type host struct {
	name, zone string
	address    string // IP
	ports      ports
	program    string
	settings   string
	record     *record
	view       *view // nil if the host has no links of its own

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	disturbed []time.Time // starts and ends of the process
	missed    int         // readiness checks in a row without 200
}

type ports struct{ listen, ready, peer, beat int }

// freePorts returns ports that are free on all addresses.
func freePorts(addresses []string) (ports, error) {
	for base := 20000 + os.Getpid()%97*100; base < 60000; base += 100 {
		free := true
		for _, a := range addresses {
			for p := base; p < base+3 && free; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", a, p))
				if free = err == nil; free {
					_ = l.Close()
				}
			}
			u, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", a, base+3))
			if free = free && err == nil; err == nil {
				_ = u.Close()
			}
		}
		if free {
			return ports{base, base + 1, base + 2, base + 3}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

// newDeployment prepares gateways with a store. With linked set, each host has links of its own to the replicas,
// which can be cut; replicas that crash are not to be played then, as a link accepts connections all the same.
func newDeployment(r *record, program string, linked bool) (*deployment, error) {
	dir, err := os.MkdirTemp("", "heatherbarrow-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, store: storetest.New(), dir: dir}
	d.replicas = &replicas{store: d.store, record: r, byID: make(map[string]*replica)}
	addresses := make([]string, len(zones))
	for i := range zones {
		addresses[i] = fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, 1+os.Getpid()/128%250, 10+i)
	}
	p, err := freePorts(addresses)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for _, a := range addresses[1:] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", a, p.peer))
	}
	number := make(map[string]int)
	for i, zone := range zones {
		number[zone]++
		h := &host{name: fmt.Sprintf("edge-%s-%d", zone, number[zone]), zone: zone, address: addresses[i], ports: p, program: program, record: r}
		h.settings = filepath.Join(dir, h.name+".json")
		storeAddress := d.store.Address()
		if linked {
			h.view = newView(storeAddress)
			storeAddress = h.view.server.Listener.Addr().String()
		}
		// The fields of deploy/gateway.json.tmpl.
		data, err := json.MarshalIndent(map[string]any{
			"host": h.name, "availability_zone": zone, "log_level": "info",
			"listen": h.at(p.listen), "ready_listen": h.at(p.ready), "peer_listen": h.at(p.peer), "beat_port": p.beat,
			"seeds": seeds, "store": storeAddress, "memory_limit_mb": memoryMB,
			"retry_share": retryBudget, "retry_slack": budgetSlack, "grace_seconds": graceSeconds,
			"withdraw_within":   fmt.Sprintf("%dms", drainTime.Milliseconds()),
			"replica_heartbeat": fmt.Sprintf("%dms", heartbeat.Milliseconds()),
		}, "", "  ")
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(h.settings, data, 0o600); err != nil {
			return nil, err
		}
		d.hosts = append(d.hosts, h)
	}
	return d, nil
}

// start starts all gateways and waits until they are ready.
func (d *deployment) start() error {
	for _, h := range d.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		if err := h.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	go d.checkReadiness()
	return nil
}

// storeAway lets the store answer no call, or ends that.
func (d *deployment) storeAway(away bool) {
	fault := storetest.None
	if away {
		fault = storetest.Down
	}
	d.record.note("store away: %v", away)
	d.store.SetFault(fault)
	d.replicas.setStoreAway(away)
}

// end ends all processes.
func (d *deployment) end() {
	for _, h := range d.hosts {
		h.kill()
	}
	d.replicas.end()
	d.store.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

func (h *host) at(port int) string { return fmt.Sprintf("%s:%d", h.address, port) }

func (h *host) start() error {
	log, err := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(h.program, "--config", h.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited, h.disturbed = cmd, exited, append(h.disturbed, time.Now())
	h.mu.Unlock()
	h.record.note("%s: process %d started", h.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		h.record.note("%s: process %d ended: %v", h.name, cmd.Process.Pid, err)
		close(exited)
	}()
	return nil
}

// terminate asks the process to stop, as the platform does: SIGTERM, and SIGKILL after the grace time.
func (h *host) terminate() {
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
	h.disturbed = append(h.disturbed, time.Now())
	h.mu.Unlock()
	h.record.note("%s: SIGTERM", h.name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(graceSeconds * time.Second):
		h.kill()
	}
}

func (h *host) kill() {
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
	h.disturbed = append(h.disturbed, time.Now())
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// wasInTouch reports whether the host's process had run undisturbed for the stable window before the given time.
func (h *host) wasInTouch(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.disturbed {
		if !t.After(at) && at.Sub(t) <= stableWindow {
			return false
		}
	}
	return true
}

func (h *host) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := c.Get("http://" + h.at(h.ports.ready) + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (h *host) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if h.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", h.name)
}

// checkReadiness asks each host once a second, as the balancer does.
func (d *deployment) checkReadiness() {
	for ; ; time.Sleep(time.Second) {
		for _, h := range d.hosts {
			go func() {
				ready := h.ready()
				h.mu.Lock()
				defer h.mu.Unlock()
				if h.missed++; ready {
					h.missed = 0
				}
			}()
		}
	}
}

// inRotation reports whether the balancer sends new connections to the host.
func (h *host) inRotation() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.missed < 2
}
