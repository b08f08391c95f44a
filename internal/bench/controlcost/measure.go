package main

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"heatherbarrow/internal/rpc"
)

// size is what is measured.
type size struct {
	hosts    int
	zones    int
	replicas int
	teams    int
	changes  int // bundle changes in the measured time, besides one after it
	crashes  int // crashes of a replica in the measured time
}

// result holds the figures of one size, per host where not said otherwise.
type result struct {
	cpuPercent      float64 // of one core; includes the stand-ins and the routers' ends
	memoryMB        float64
	sentBytes       float64 // per second
	receivedBytes   float64 // per second
	watcherBytes    float64 // received from the platform per second and watcher
	messages        float64 // calls opened per second
	platformCalls   float64 // per second, all hosts together
	inForceSeconds  float64 // greatest over hosts and changes
	leavingSeconds  float64 // greatest over hosts
	viewsPerSecond  float64
	watchingHosts   float64 // all zones together
	viewLoadSeconds float64 // mean over all views of the mean age of their reports
}

type metric struct {
	name  string
	value float64
	unit  string
}

func (r *result) metrics() []metric {
	return []metric{
		{"cpu_per_host", r.cpuPercent, "percent_of_core"},
		{"memory_per_host", r.memoryMB, "MB"},
		{"bytes_sent_per_host", r.sentBytes, "B/s"},
		{"bytes_received_per_host", r.receivedBytes, "B/s"},
		{"bytes_from_platform_per_watcher", r.watcherBytes, "B/s"},
		{"messages_per_host", r.messages, "1/s"},
		{"platform_calls_total", r.platformCalls, "1/s"},
		{"bundle_in_force", r.inForceSeconds, "s"},
		{"leaving_known", r.leavingSeconds, "s"},
		{"views_per_host", r.viewsPerSecond, "1/s"},
		{"watching_hosts_total", r.watchingHosts, "hosts"},
		{"view_report_age", r.viewLoadSeconds, "s"},
	}
}

func (r *result) print(where string) {
	for _, m := range r.metrics() {
		fmt.Printf("bench metric=control_%s_%s value=%.4g unit=%s\n", m.name, where, m.value, m.unit)
	}
}

const (
	startTimeout = 20 * time.Second
	eventTimeout = 15 * time.Second
)

var errTimeout = errors.New("not every host arrived in time")

// measure runs one size.
func measure(s size, o *options) (*result, error) {
	runtime.GC()
	idle := heap()
	ctx, cancel := context.WithCancel(context.Background())
	c, err := newCluster(ctx, s)
	defer func() {
		cancel()
		c.close()
	}()
	if err != nil {
		return nil, err
	}
	if _, err := c.rollOut(ctx); err != nil {
		return nil, err
	}
	if _, err := c.awaitGeneration(startTimeout, 1); err != nil {
		return nil, fmt.Errorf("%d hosts: start: %w", s.hosts, err)
	}
	time.Sleep(time.Duration(o.Settle) * time.Second)
	r := &result{}
	if err := c.steady(ctx, r, time.Duration(o.Measure)*time.Second); err != nil {
		return nil, err
	}
	r.memoryMB = (heap() - idle) / float64(s.hosts) / 1e6
	if err := c.change(ctx, r); err != nil {
		return nil, err
	}
	leaving, err := c.leave(eventTimeout)
	r.leavingSeconds = leaving.Seconds()
	return r, err
}

// steady measures the traffic of an undisturbed time with the bundle changes
// spread over it.
func (c *cluster) steady(ctx context.Context, r *result, d time.Duration) error {
	before := c.totals()
	cpu := cpuTime()
	begin := time.Now()
	for i := range c.size.crashes {
		time.Sleep(time.Until(begin.Add(d * time.Duration(i) / time.Duration(c.size.crashes))))
		c.crash(ctx, i)
	}
	for i := range c.size.changes {
		time.Sleep(time.Until(begin.Add(d * time.Duration(i) / time.Duration(c.size.changes))))
		if err := c.change(ctx, r); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(begin.Add(d)))
	elapsed := time.Since(begin).Seconds()
	perHost := 1 / elapsed / float64(c.size.hosts)
	after := c.totals()
	r.cpuPercent = 100 * (cpuTime() - cpu).Seconds() * perHost
	r.sentBytes = float64(after.sent-before.sent) * perHost
	r.receivedBytes = float64(after.received-before.received) * perHost
	r.messages = float64(after.messages-before.messages) * perHost
	r.viewsPerSecond = float64(after.views-before.views) * perHost
	r.platformCalls = float64(after.platform-before.platform) / elapsed
	r.viewLoadSeconds = float64(after.reportAge-before.reportAge) / float64(max(after.views-before.views, 1)) / 1000
	r.watchingHosts = c.watching(ctx)
	r.watcherBytes = float64(after.fromPlatform-before.fromPlatform) / elapsed / max(r.watchingHosts, 1)
	return nil
}

// inFlight is the number of requests that a crash of a replica breaks.
const inFlight = 16

// crash reports the crash of a replica from one host, and that all requests but one
// completed afterwards.
func (c *cluster) crash(ctx context.Context, n int) {
	feed := c.routers[n%len(c.routers)].feed
	for i := range inFlight {
		request := &rpc.CrashRequest{Fingerprint: uint64(n*inFlight + i + 1), Upstream: "models", Replica: fmt.Sprintf("e%d", n), Model: "m"}
		go func() {
			_, _ = feed.ReportCrash(ctx, request)
			if i > 0 {
				_, _ = feed.ReportCrash(ctx, &rpc.CrashRequest{Fingerprint: request.Fingerprint, Completed: true})
			}
		}()
	}
}

// change rolls a bundle out and waits until every host has it in force.
func (c *cluster) change(ctx context.Context, r *result) error {
	generation, err := c.rollOut(ctx)
	if err != nil {
		return err
	}
	took, err := c.awaitGeneration(eventTimeout, generation)
	if err != nil {
		return fmt.Errorf("%d hosts: generation %d: %w", c.size.hosts, generation, err)
	}
	r.inForceSeconds = max(r.inForceSeconds, took.Seconds())
	return nil
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heap returns the bytes of live heap and stacks.
func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
