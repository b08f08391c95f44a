package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
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

// sendPrompt sends a stream request with the given parts of its prompt.
func (c *callers) sendPrompt(h *host, kind string, parts ...string) result {
	n := c.next.Add(1)
	r := result{id: fmt.Sprintf("%s-%s-%d", kind, h.name, n), kind: kind, host: h.name, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.settings.Listen+"/stream/x", strings.NewReader(r.id))
	if err != nil {
		r.err = err
		return r
	}
	q.GetBody = nil // net/http must not send the attempt again by itself
	q.Host = callerHost
	q.Header.Set("Heatherbarrow-Attempt-Id", r.id)
	q.Header.Set("Heatherbarrow-Deadline-Ms", fmt.Sprint(callerDeadline.Milliseconds()))
	q.Header.Set("Heatherbarrow-Model", "m")
	q.Header.Set("Heatherbarrow-Prompt-Prefix", strings.Join(append(parts, fmt.Sprintf("%x:20", 1<<32+n)), ":100,"))
	q.Header.Set("Authorization", "Bearer "+teamKey)
	response, err := c.client.Do(q)
	if err != nil {
		r.err, r.ended = err, time.Now()
		return r
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	r.status, r.body, r.err, r.ended = response.StatusCode, string(body), err, time.Now()
	r.complete = err == nil
	return r
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
	var names []string
	for _, h := range p.d.hosts {
		names = append(names, h.name)
	}
	assert.LessOrEqual(p.d.t, p.d.ledger.arrivedWith("poison", from, time.Now(), names...), maxLateArrivals, "requests with the part reach replicas")
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
		p.sendPrompt(h, "poison", firstPart, crashingPart, fmt.Sprintf("%x", rand.Uint32()))
	})
	p.every(ctx, 25*time.Millisecond, func(h *host) {
		r := p.sendPrompt(h, "sound", firstPart, fmt.Sprintf("%x", rand.IntN(40)+1000))
		p.mu.Lock()
		p.sound = append(p.sound, r)
		p.mu.Unlock()
	})
	return p
}

func (p *promptCallers) every(ctx context.Context, interval time.Duration, send func(*host)) {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		for ctx.Err() == nil {
			p.wg.Add(1)
			go func() {
				defer p.wg.Done()
				send(p.d.hosts[rand.IntN(len(p.d.hosts))])
			}()
			time.Sleep(interval)
		}
	}()
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

// arrivedWith counts the requests of a kind that reached replicas in a time, sent by any of the hosts.
func (l *ledger) arrivedWith(kind string, from, until time.Time, hosts ...string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, a := range l.arrivals {
		words := strings.Split(a.id, "-")
		if words[0] == kind && slices.Contains(hosts, words[1]) && a.at.After(from) && a.at.Before(until) {
			n++
		}
	}
	return n
}

// Guards against requests that share one part of their prompt, and nothing else, and crash one replica
// after the other: after a few crashes no host sends any more of them, also hosts that saw none of
// the crashes or restarted since, while other requests with the same first part are served.
func TestPromptPartThatCrashesReplicasIsRefusedByAllHosts(t *testing.T) {
	concurrently(t)
	d := newDeployment(t, 2, 2)
	for _, h := range d.hosts {
		require.Eventually(t, h.ready, settleTime, 20*time.Millisecond, "%s starts", h.name)
	}
	defer d.keepLogs(0)
	p := newPromptCallers(d)
	defer p.end()
	crashed := p.crashed
	require.Eventually(t, func() bool { _, ok := crashed.nth(2); return ok }, settleTime, 10*time.Millisecond, "replicas crash")
	from := time.Now().Add(limitSettleTime)
	for time.Now().Before(from) {
		// The bound begins to hold a while after the fifth crash, or with fewer crashes at once.
		if at, ok := crashed.nth(allowedCrashes); ok {
			from = at.Add(limitSettleTime)
		}
		time.Sleep(10 * time.Millisecond)
	}
	names := make([]string, len(d.hosts))
	for i, h := range d.hosts {
		names[i] = h.name
	}
	time.Sleep(2 * limitSettleTime)
	until := time.Now()
	late := d.ledger.arrivedWith("poison", from, until, names...)
	assert.LessOrEqual(t, late, maxLateArrivals, "requests with the part reach replicas %v after the crashes", limitSettleTime)
	assert.Greater(t, p.served(from.Add(limitSettleTime), until), minServedShare, "sound requests with the same first part are served")

	// The store loses what the hosts wrote there; they write it again.
	saved := d.store.Copy()
	saved.Drop(platform.KindParts)
	d.store.Restore(saved)

	restarts := [][]*host{d.hosts[:1], d.hosts}
	for _, restarted := range restarts {
		for _, h := range restarted {
			h.signal(syscall.SIGKILL)
		}
		for _, h := range restarted {
			h.wait()
			h.start()
		}
		for _, h := range restarted {
			require.Eventually(t, h.ready, settleTime, 20*time.Millisecond, "%s starts again", h.name)
		}
		time.Sleep(limitSettleTime)
		from = time.Now()
		time.Sleep(limitSettleTime)
		late += d.ledger.arrivedWith("poison", from, time.Now(), names...)
		assert.LessOrEqual(t, late, maxLateArrivals, "requests with the part reach replicas after the restart of %d hosts", len(restarted))
		assert.Greater(t, p.served(from, time.Now().Add(-time.Second)), minServedShare, "sound requests are served after the restart of %d hosts", len(restarted))
	}
}
