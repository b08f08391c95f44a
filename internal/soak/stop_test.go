package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/platform"
)

const (
	// lossSlack is how long after its last byte a request may find its connection closed, if it was not forwarded.
	lossSlack = 200 * time.Millisecond
	// excusedSending is how long after SIGTERM a request may be sent whose replica may be too slow for the grace.
	excusedSending = 3 * time.Second
	stopCallers    = 24 // for each host
	stoppedTimeout = 20 * time.Second
)

// stopped is a request around the stop of a host.
type stopped struct {
	result
	whole time.Time     // when its last byte had been sent
	limit time.Duration // in which its caller or its route wants the answer
}

// TestStopsInSeries guards against planned stops, reloads and configuration changes that cut requests in calm: callers
// keep their connections until the process is gone, with slow bodies, slow replicas and streams, while the hosts stop
// one after the other.
func TestStopsInSeries(t *testing.T) {
	concurrently(t)
	for _, seed := range chosenSeeds(t, nil) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			concurrently(t)
			playStops(t, seed)
		})
	}
}

func playStops(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	d := newDeployment(t, 1+random.IntN(2), 2)
	defer d.keepLogs(seed)
	d.slowRoutes()
	for _, h := range d.hosts {
		require.Eventually(t, h.ready, settleTime, 20*time.Millisecond, "%s starts", h.name)
	}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []stopped
	for i, h := range d.hosts {
		for j := range stopCallers {
			wg.Go(func() {
				c := &stopCaller{h: h, random: rand.New(rand.NewPCG(seed, uint64(100*i+j))), name: fmt.Sprintf("%s-%d", h.name, j)}
				c.work(ctx)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, c.seen...)
			})
		}
	}
	stops := make(map[string]time.Time)
	for _, h := range d.hosts {
		time.Sleep(time.Second + time.Duration(random.IntN(2000))*time.Millisecond)
		h.signal(syscall.SIGHUP)
		d.slowRoutes()
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		stops[h.name] = time.Now()
		h.signal(syscall.SIGTERM)
		late := time.AfterFunc(graceSeconds*time.Second, h.logThreads)
		h.wait()
		late.Stop()
		assert.Less(t, time.Since(stops[h.name]), graceSeconds*time.Second, "%s ends in its grace period", h.name)
		h.start()
		require.Eventually(t, h.ready, settleTime, 20*time.Millisecond, "%s starts again", h.name)
	}
	stop()
	wg.Wait()
	results := make([]result, len(all))
	late := 0
	for i := range all {
		results[i] = all[i].result
		if since := all[i].whole.Sub(stops[all[i].host]); since > balancerLag && since < graceSeconds*time.Second {
			late++
		}
		r := &all[i]
		if stop := stops[r.host]; d.cut(r, stop) {
			t.Errorf("%s, sent %v and whole %v after the stop, ended after %v with status %d: %v, runs %d",
				r.id, r.sent.Sub(stop), r.whole.Sub(stop), r.ended.Sub(stop), r.status, r.err, d.ledger.ran(r.id))
		}
	}
	t.Logf("%d requests, %d of them whole after the balancer's lag of a stop", len(all), late)
	d.check(results)
}

// logThreads logs what the threads of the process wait for, which tells a process that is paused, starved, or held in the
// kernel from one that waits by itself.
func (h *host) logThreads() {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	h.t.Logf("%s, process %d, has not ended; %d threads", h.name, pid, len(paths))
	for _, path := range paths {
		status, _ := os.ReadFile(filepath.Join(path, "status")) // the thread may end meanwhile
		wait, _ := os.ReadFile(filepath.Join(path, "wchan"))
		call, _ := os.ReadFile(filepath.Join(path, "syscall"))
		_, state, _ := strings.Cut(string(status), "State:")
		state, _, _ = strings.Cut(state, "\n")
		h.t.Logf("%s: state %s, waits in %s, system call %s", path, strings.TrimSpace(state), wait, strings.TrimSpace(string(call)))
	}
}

// slowRoutes writes a configuration whose requests may outlast a host.
func (d *deployment) slowRoutes() {
	route := func(kind, routeKind string, attempts int) map[string]any {
		return map[string]any{
			"name": kind, "host": callerHost, "pathPrefix": "/" + kind + "/", "routeKind": routeKind,
			"timeoutMs": stoppedTimeout.Milliseconds(), "goalMs": 2000, "gapGoalMs": 4000, "service": "pool", "maxAttempts": attempts, "resumable": kind == "stream", "public": true,
		}
	}
	d.writes.Lock()
	defer d.writes.Unlock()
	version := d.version.Add(1)
	d.store.Put(platform.KindConfig, platform.NameConfig, map[string]any{
		"version": version, "services": []any{map[string]any{"name": "pool"}}, "limits": map[string]any{"idleTimeoutMs": 10_000},
		"routes": []any{route("lookup", "idempotent", 2), route("order", "non_idempotent", 1), route("stream", "streaming", 2)},
	})
}

// cut reports whether a stop of its host, at the given time, has cut a request (LOST).
func (d *deployment) cut(r *stopped, stop time.Time) bool {
	ran := d.ledger.ran(r.id) > 0
	switch {
	case r.status != 0 && r.complete, r.whole.IsZero():
		return false
	case !ran && r.status == 0 && r.ended.Sub(r.whole) <= lossSlack:
		return false // it crossed the close
	case r.ended.Sub(r.sent) >= r.limit:
		return false
	case ran && r.whole.Sub(stop) <= excusedSending && r.ended.Sub(stop) >= graceSeconds*time.Second*5/6:
		return false // the replica was still at work in the last sixth of the grace
	}
	return true
}

// stopCaller sends requests over one connection for as long as its host keeps it.
type stopCaller struct {
	h      *host
	name   string
	random *rand.Rand
	seen   []stopped
}

func (c *stopCaller) work(ctx context.Context) {
	var conn net.Conn
	var in *bufio.Reader
	for n := 0; ctx.Err() == nil; n++ {
		if conn == nil {
			dialed, err := net.Dial("tcp", c.h.settings.Listen)
			if err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			conn, in = dialed, bufio.NewReader(dialed)
		}
		if keep := c.send(conn, in, n); !keep {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(time.Duration(c.random.IntN(300)) * time.Millisecond)
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// send makes one request and reports whether the connection may be used again.
func (c *stopCaller) send(conn net.Conn, in *bufio.Reader, n int) (keep bool) {
	const longestBody, longestWork, body = 5 * time.Second, 8 * time.Second, "body"
	kind := []string{"lookup", "order", "stream"}[c.random.IntN(3)]
	id := fmt.Sprintf("%s-%s-%d", kind, c.name, n)
	header, uploads, limit := "", time.Duration(0), stoppedTimeout
	if c.random.IntN(2) == 0 {
		header += fmt.Sprintf("%s: %v\r\n", workHeader, time.Duration(c.random.Int64N(int64(longestWork))))
	}
	if c.random.IntN(4) == 0 {
		limit = time.Duration(500+c.random.IntN(5000)) * time.Millisecond
		header += fmt.Sprintf("Heatherbarrow-Deadline-Ms: %d\r\n", limit.Milliseconds())
	}
	if c.random.IntN(2) == 0 {
		uploads = time.Duration(c.random.Int64N(int64(longestBody)))
	}
	r := stopped{result: result{id: id, kind: kind, host: c.h.name, sent: time.Now()}, limit: limit}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		defer func() { r.ended = time.Now() }()
		_ = conn.SetReadDeadline(time.Now().Add(2 * stoppedTimeout))
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			r.err = err
			return
		}
		text, err := io.ReadAll(response.Body)
		r.status, r.body, r.err, r.complete, keep = response.StatusCode, string(text), err, err == nil, !response.Close
	}()
	_, err := io.WriteString(conn, strings.Join([]string{
		"POST /" + kind + "/x HTTP/1.1", "Host: " + callerHost, "Heatherbarrow-Attempt-Id: " + id, header + "Content-Length: 4", "", body[:3],
	}, "\r\n"))
	select {
	case <-answered:
	case <-time.After(uploads):
		if _, last := io.WriteString(conn, body[3:]); err == nil && last == nil {
			r.whole = time.Now()
		}
		<-answered
	}
	c.seen = append(c.seen, r)
	return keep && r.err == nil && !r.whole.IsZero()
}
