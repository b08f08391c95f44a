package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// result is what a caller saw of one request.
type result struct {
	id       string
	kind     string
	host     string
	sent     time.Time
	ended    time.Time
	status   int // 0 without an answer
	complete bool
	body     string
	err      error
}

// callers send requests to the hosts over kept connections until stopped.
type callers struct {
	d       *deployment
	client  *http.Client
	next    atomic.Int64
	wg      sync.WaitGroup
	stop    context.CancelFunc
	mu      sync.Mutex
	results []result
}

const callersPerHost = 3

func newCallers(d *deployment) *callers {
	c := &callers{d: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}}
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	for _, h := range d.hosts {
		for range callersPerHost {
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.work(ctx, h)
			}()
		}
	}
	return c
}

// end stops the callers and returns all that they saw.
func (c *callers) end() []result {
	c.stop()
	c.wg.Wait()
	c.client.CloseIdleConnections()
	return c.results
}

func (c *callers) work(ctx context.Context, h *host) {
	kinds := []string{"lookup", "order", "stream"}
	for n := 0; ctx.Err() == nil; n++ {
		r := c.send(h, kinds[n%len(kinds)], "/"+kinds[n%len(kinds)]+"/x")
		c.mu.Lock()
		c.results = append(c.results, r)
		c.mu.Unlock()
		if r.status != http.StatusOK {
			time.Sleep(20 * time.Millisecond) // a refused caller does not come back at once
		}
	}
}

const callerDeadline = 5 * time.Second

// send makes one attempt with an id of its own.
func (c *callers) send(h *host, kind, path string) result {
	r := result{id: fmt.Sprintf("%s-%s-%d", kind, h.name, c.next.Add(1)), kind: kind, host: h.name, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.settings.Listen+path, strings.NewReader("body"))
	if err != nil {
		r.err = err
		return r
	}
	q.GetBody = nil // net/http must not send the attempt again by itself
	q.Host = callerHost
	q.Header.Set("Heatherbarrow-Attempt-Id", r.id)
	q.Header.Set("Heatherbarrow-Deadline-Ms", fmt.Sprint(callerDeadline.Milliseconds()))
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
