// Command lab2 plays one case of the second review against real gateway processes on loopback addresses.
package main

import (
	"context"
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

	"heatherbarrow/platform"
	"heatherbarrow/platform/storetest"
)

const (
	callerHost = "shop.example"
	teamName   = "counter"
	teamKey    = "counter-key"
	pool       = "pool"
)

// lab is a small deployment: a store, replicas and gateways. All its processes and listeners end with close.
type lab struct {
	trouble bool
	dir     string // of the settings and logs
	record  *os.File
	store   *storetest.Store
	gates   []*gate
	version int64

	mu     sync.Mutex
	began  time.Time
	closed []func()
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// onClose registers what ends something that the lab has started.
func (l *lab) onClose(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = append(l.closed, f)
}

func (l *lab) close() {
	l.mu.Lock()
	closed := l.closed
	l.mu.Unlock()
	for i := len(closed) - 1; i >= 0; i-- {
		closed[i]()
	}
}

// address returns an IP:port of an address that only this process uses, with a free port.
func address(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 30+os.Getpid()/250%60, 1+os.Getpid()%250, i)
}

// listen opens a listener with a free port.
func (l *lab) listen() net.Listener {
	listener, err := net.Listen("tcp", address(250)+":0")
	if err != nil {
		panic(err)
	}
	l.onClose(func() { _ = listener.Close() })
	return listener
}

// gate is a gateway's process.
type gate struct {
	lab    *lab
	name   string
	ip     string
	path   string // of its settings
	cmd    *exec.Cmd
	exited chan struct{}
}

// caller returns the address for callers.
func (g *gate) caller() string { return g.ip + ":8740" }

// startStore starts the platform's store.
func (l *lab) startStore() {
	l.store = storetest.New()
	l.onClose(l.store.Close)
}

// register writes the entry of a replica.
func (l *lab) register(id, service, zone, at, state string, more map[string]any) {
	entry := map[string]any{
		"service": service, "address": at, "zone": zone, "version": "v1", "slots": 16, "state": state, "coldLeftMs": 0, "sequence": 1,
	}
	for name, value := range more {
		entry[name] = value
	}
	l.store.Put(platform.KindMembers, id, entry)
}

// configure writes the next version of the configuration.
func (l *lab) configure(routes []map[string]any) {
	l.version++
	l.store.Put(platform.KindConfig, platform.NameConfig, map[string]any{
		"version": l.version, "routes": routes,
		"services": []map[string]any{{"name": pool, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": teamName, "apiKeys": []string{teamKey}}},
	})
}

// route is a route of the configuration, whose name is that of its path prefix.
func route(name, kind string, attempts int, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": callerHost, "pathPrefix": "/" + name + "/", "routeKind": kind, "timeoutMs": 15000, "goalMs": 400, "priority": 0,
		"service": pool, "maxAttempts": attempts, "public": false, "sticky": false, "resumable": false,
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}

// startGate starts a gateway with the settings that the deploy file's template gives on a small deployment.
func (l *lab) startGate(zone string, more map[string]any) *gate {
	i := len(l.gates) + 1
	g := &gate{lab: l, name: fmt.Sprintf("edge-%s-%d", zone, i), ip: address(i)}
	seeds := []string{address(1) + ":8748"}
	settings := map[string]any{
		"host": g.name, "availability_zone": zone, "log_level": "info", "listen": g.caller(), "ready_listen": g.ip + ":8749",
		"peer_listen": g.ip + ":8748", "beat_port": 7200, "seeds": seeds, "store": l.store.Address(), "memory_limit_mb": 414,
		"retry_share": 0.2, "retry_slack": 54, "grace_seconds": 8, "withdraw_within": "2000ms", "config_within": "2000ms",
		"replica_heartbeat": "1200ms", "zone_overflow": map[string]any{"cost_per_gb": 1000000},
	}
	for name, value := range more {
		settings[name] = value
	}
	data, err := json.Marshal(settings)
	if err != nil {
		panic(err)
	}
	g.path = filepath.Join(l.dir, g.name+".json")
	if err := os.WriteFile(g.path, data, 0o600); err != nil {
		panic(err)
	}
	l.gates = append(l.gates, g)
	g.start()
	l.onClose(func() {
		g.signal(syscall.SIGCONT)
		g.signal(syscall.SIGKILL)
		<-g.exited
	})
	return g
}

func (g *gate) start() {
	log, err := os.OpenFile(filepath.Join(g.lab.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/heatherbarrow-gateway", "--config", g.path)
	cmd.Stdout, cmd.Stderr, cmd.Env = log, log, []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	g.cmd, g.exited = cmd, exited
}

func (g *gate) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// awaitReady returns false if a gateway is not ready in time.
func (l *lab) awaitReady() bool {
	for _, g := range l.gates {
		ready := false
		for end := time.Now().Add(15 * time.Second); !ready && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ip+":8749/v1/readyz", nil)
			response, err := http.DefaultClient.Do(request)
			if err == nil {
				_ = response.Body.Close()
				ready = response.StatusCode == http.StatusOK
			}
			cancel()
		}
		if !ready {
			return false
		}
	}
	time.Sleep(1500 * time.Millisecond) // the gateways hear of each other
	return true
}
