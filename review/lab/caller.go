//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is a request of a caller and its answer.
type attempt struct {
	id     string
	kind   string
	host   *host
	sentAt time.Time
	status int // 0 if the connection was closed without an answer
	sealed bool
}

// callers send requests and keep what came of them.
type callers struct {
	d     *deployment
	zone  string // of those who ask for streams; empty for all zones
	mixed bool   // every other stream is one that may not be resumed
	next  atomic.Int64
	stop  chan struct{}
	wait  sync.WaitGroup

	mu       sync.Mutex
	attempts map[string]*attempt
}

func newCallers(d *deployment) *callers {
	return &callers{d: d, stop: make(chan struct{}), attempts: make(map[string]*attempt)}
}

// send sends one attempt on a new connection to a host.
func (c *callers) send(h *host, kind, method, path string, body []byte, deadline time.Duration) *attempt {
	a := &attempt{id: fmt.Sprintf("%s-%012x", kind, c.next.Add(1)), kind: kind, host: h, sentAt: time.Now()}
	c.mu.Lock()
	c.attempts[a.id] = a
	c.mu.Unlock()
	q, err := http.NewRequest(method, "http://"+h.at(h.ports.listen)+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	q.Host = callerHost
	q.Header.Set("Heatherbarrow-Attempt-Id", a.id)
	q.Header.Set("Heatherbarrow-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	q.Header.Set("Authorization", "Bearer "+teamKey)
	client := http.Client{Timeout: deadline, Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	c.d.record.note("caller sends %s to %s", a.id, h.name)
	response, err := client.Do(q)
	if err != nil {
		c.d.record.note("caller of %s gets no answer: %v", a.id, err)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	c.mu.Lock()
	a.status, a.sealed = response.StatusCode, response.Header.Get("Heatherbarrow-Server-Seal") != "" && err == nil
	c.mu.Unlock()
	c.d.record.note("caller of %s gets %d, sealed %v, Retry-After %q", a.id, response.StatusCode, a.sealed, response.Header.Get("Retry-After"))
	return a
}

// pick returns a host that the balancer sends callers of a zone to, in turn.
func (d *deployment) pick(zone string, n int) *host {
	var usable []*host
	for _, h := range d.hosts {
		if (zone == "" || h.zone == zone) && h.inRotation() {
			usable = append(usable, h)
		}
	}
	if len(usable) == 0 && zone != "" {
		return d.pick("", n)
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[n%len(usable)]
}

// stream sends requests of one kind from a zone at a rate until end is called.
func (c *callers) stream(zone, kind, method, path string, body []byte, every time.Duration) {
	c.wait.Go(func() {
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-c.stop:
				return
			case <-ticker.C:
			}
			if h := c.d.pick(zone, n); h != nil {
				c.wait.Go(func() { c.send(h, kind, method, path, body, 3*time.Second) })
			}
		}
	})
}

func (c *callers) end() {
	close(c.stop)
	c.wait.Wait()
}

// lostOrders returns the attempts of a kind that had begun to run on a replica which then crashed, and got no
// success.
func (c *callers) lostOrders(kind string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.d.replicas.mu.Lock()
	defer c.d.replicas.mu.Unlock()
	for _, run := range c.d.replicas.arrivals {
		a := c.attempts[run.attempt]
		if a != nil && a.kind == kind && run.lost && a.status != http.StatusOK {
			n++
		}
	}
	return n
}

// served returns how many attempts of a kind sent in a time got a success, and how many there were.
func (c *callers) served(kind string, from, until time.Time) (served, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.attempts {
		if a.kind != kind || a.sentAt.Before(from) || a.sentAt.After(until) {
			continue
		}
		all++
		if a.status == http.StatusOK && a.sealed {
			served++
		}
	}
	return served, all
}
