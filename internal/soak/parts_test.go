package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/platform"
)

const (
	crashingPart = "c0ffee" // ID of the prompt part on which replicas crash
	firstPart    = "f1"     // ID of the part with which all prompts begin
	// allowedCrashes and maxLateArrivals are the operators' bound: later than limitSettleTime after
	// that many crashes, at most so many requests with the part reach replicas.
	allowedCrashes  = 5
	maxLateArrivals = 3
	// minServedShare is the share of sound requests that must be served meanwhile. The operators ask for
	// half of what is served at other times, which is all but a few.
	minServedShare = 0.8
	crashDowntime  = 1200 * time.Millisecond
)

// crashWith writes the beginning of an answer, ends the replica in the middle of it and starts it
// again after crashDowntime. Some of these answers have neither a length nor chunks, so that their end
// looks like that of a complete answer.
func (r *replica) crashWith(w http.ResponseWriter, id string) {
	begun := []string{"id: 0\nda", ""}[rand.IntN(2)]
	if rand.IntN(2) == 0 {
		_, _ = io.WriteString(w, begun)
		_ = http.NewResponseController(w).Flush()
	} else if c := r.hijackUnframed(w, id); c != nil {
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, begun)
	}
	time.Sleep(30 * time.Millisecond)
	(*r.crash.Load())()
	panic(http.ErrAbortHandler)
}

// hijackUnframed begins a stream without a length or chunks.
func (r *replica) hijackUnframed(w http.ResponseWriter, id string) net.Conn {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nHeatherbarrow-Attempt-Id: %s\r\nHeatherbarrow-Server-Seal: s\r\n"+
		"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n", id)
	return c
}

// streamUnframed sends a complete stream that ends with its connection.
func (r *replica) streamUnframed(w http.ResponseWriter, id string) {
	c := r.hijackUnframed(w, id)
	if c == nil {
		return
	}
	defer func() { _ = c.Close() }()
	for i := range events {
		time.Sleep(10 * time.Millisecond)
		if _, err := io.WriteString(c, eventOf(id, i)); err != nil {
			return
		}
	}
}

// crashes counts the crashes of all replicas.
type crashes struct {
	mu sync.Mutex
	at []time.Time
}

// crashOnPart lets replicas crash on requests with crashingPart.
func (d *deployment) crashOnPart() *crashes {
	c := &crashes{}
	for i, r := range d.replicas {
		var down atomic.Bool
		crash := func() {
			if !down.CompareAndSwap(false, true) {
				return
			}
			c.mu.Lock()
			c.at = append(c.at, time.Now())
			c.mu.Unlock()
			d.links[i].Stop()
			time.AfterFunc(crashDowntime, func() {
				down.Store(false)
				_ = d.links[i].Start() // fails after the end of the test only
			})
		}
		r.crash.Store(&crash)
	}
	return c
}

// nth returns when the nth crash was, counted from 1, and false if there were fewer.
func (c *crashes) nth(n int) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) < n {
		return time.Time{}, false
	}
	return c.at[n-1], true
}

// checkRefused ends the callers. If replicas crashed often enough, it first checks that hosts without
// trouble no longer send requests with the part, and serve others.
func (p *promptCallers) checkRefused() {
	defer p.end()
	if _, enough := p.crashed.nth(allowedCrashes); !enough {
		return
	}
	time.Sleep(limitSettleTime)
	from := time.Now()
	time.Sleep(limitSettleTime)
	assert.LessOrEqual(p.d.t, p.poisonArrivals(from, time.Now()), maxLateArrivals, "requests with the part reach replicas")
	assert.Greater(p.d.t, p.served(from, time.Now().Add(-time.Second)), minServedShare, "sound requests with the same first part are served")
}

// promptCallers send requests with crashingPart to random hosts, and sound ones that begin with the
// same part.
type promptCallers struct {
	*callers
	crashed *crashes
	d       *deployment
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu    sync.Mutex
	sound []result
}

func newPromptCallers(d *deployment) *promptCallers {
	ctx, cancel := context.WithCancel(context.Background())
	p := &promptCallers{crashed: d.crashOnPart(), callers: &callers{d: d, client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}, d: d, stop: cancel}
	p.every(ctx, 120*time.Millisecond, func(h *host) {
		p.send(h, "poison", "/stream/x", firstPart, crashingPart, fmt.Sprintf("%x", rand.Uint32()))
	})
	p.every(ctx, 25*time.Millisecond, func(h *host) {
		r := p.send(h, "sound", "/stream/x", firstPart, fmt.Sprintf("%x", rand.IntN(40)+1000))
		p.mu.Lock()
		p.sound = append(p.sound, r)
		p.mu.Unlock()
	})
	return p
}

func (p *promptCallers) every(ctx context.Context, interval time.Duration, send func(*host)) {
	p.wg.Go(func() {
		for ctx.Err() == nil {
			p.wg.Go(func() { send(p.d.hosts[rand.IntN(len(p.d.hosts))]) })
			time.Sleep(interval)
		}
	})
}

func (p *promptCallers) end() {
	p.stop()
	p.wg.Wait()
}

// served returns the share of the sound requests of a time that were answered whole.
func (p *promptCallers) served(from, until time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	all, whole := 0.0, 0.0
	for _, r := range p.sound {
		if r.sent.Before(from) || r.sent.After(until) {
			continue
		}
		all++
		if r.status == http.StatusOK && r.complete && strings.HasSuffix(r.body, eventOf(r.id, events-1)) {
			whole++
		}
	}
	return whole / max(all, 1)
}

// poisonArrivals counts the requests with crashingPart that reached replicas in a time.
func (p *promptCallers) poisonArrivals(from, until time.Time) int {
	return len(p.d.ledger.arrived(from, until, func(a *arrival) bool { return strings.HasPrefix(a.id, "poison-") }))
}

// Guards against requests that share one part of their prompt, and nothing else, and crash one replica
// after the other: after a few crashes no host sends any more of them, also hosts that saw none of
// the crashes or restarted since, while other requests with the same first part are served.
func TestPromptPartThatCrashesReplicasIsRefusedByAllHosts(t *testing.T) {
	concurrently(t)
	d := newDeployment(t, 2, 2, false)
	awaitReady(t, d.hosts)
	defer d.keepLogs(0)
	p := newPromptCallers(d)
	defer p.end()
	require.Eventually(t, func() bool { _, ok := p.crashed.nth(2); return ok }, settleTime, 10*time.Millisecond, "replicas crash")
	from := time.Now().Add(limitSettleTime)
	for time.Now().Before(from) {
		// The bound begins to hold a while after the fifth crash, or with fewer crashes at once.
		if at, ok := p.crashed.nth(allowedCrashes); ok {
			from = at.Add(limitSettleTime)
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2 * limitSettleTime)
	until := time.Now()
	late := p.poisonArrivals(from, until)
	assert.LessOrEqual(t, late, maxLateArrivals, "requests with the part reach replicas %v after the crashes", limitSettleTime)
	assert.Greater(t, p.served(from.Add(limitSettleTime), until), minServedShare, "sound requests with the same first part are served")

	// The store loses what the hosts wrote there; they write it again.
	saved := d.store.Copy()
	saved.Drop(platform.KindParts)
	d.store.Restore(saved)

	restarts := [][]*host{d.hosts[:1], d.hosts}
	for _, restarted := range restarts {
		killAll(restarted, func() {})
		awaitReady(t, restarted)
		time.Sleep(limitSettleTime)
		from = time.Now()
		time.Sleep(limitSettleTime)
		late += p.poisonArrivals(from, time.Now())
		assert.LessOrEqual(t, late, maxLateArrivals, "requests with the part reach replicas after the restart of %d hosts", len(restarted))
		assert.Greater(t, p.served(from, time.Now().Add(-time.Second)), minServedShare, "sound requests are served after the restart of %d hosts", len(restarted))
	}
}
