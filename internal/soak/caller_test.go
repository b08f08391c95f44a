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
	status   int  // 0 without an answer
	sealed   bool // it has a replica's seal
	complete bool
	body     string
	err      error
}

// callers send requests to the hosts over kept connections until stopped.
type callers struct {
	d      *deployment
	client *http.Client
	next   atomic.Int64
	wg     sync.WaitGroup
	stop   context.CancelFunc
}

const callersPerHost = 3

func newCallers(d *deployment) *callers {
	c := &callers{d: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}}}
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	for _, h := range d.hosts {
		for range callersPerHost {
			c.wg.Go(func() { c.work(ctx, h) })
		}
	}
	return c
}

// end stops the callers.
func (c *callers) end() {
	c.stop()
	c.wg.Wait()
	c.client.CloseIdleConnections()
}

func (c *callers) work(ctx context.Context, h *host) {
	kinds := []string{"lookup", "order", "stream"}
	for n := 0; ctx.Err() == nil; n++ {
		r := c.send(h, kinds[n%len(kinds)], "/"+kinds[n%len(kinds)]+"/x")
		c.d.ledger.noteResult(r)
		if r.status != http.StatusOK {
			time.Sleep(20 * time.Millisecond) // a refused caller does not come back at once
		}
	}
}

const callerDeadline = 5 * time.Second

// newAttempt returns a request to a host, with the key of the team.
func newAttempt(ctx context.Context, h *host, method, path, id, body string, deadline time.Duration) *http.Request {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+h.settings.Listen+path, strings.NewReader(body))
	if err != nil {
		panic(err) // the address or the path is none
	}
	q.GetBody = nil // net/http must not send the attempt again by itself
	q.Host = callerHost
	q.Header.Set(attemptIDHeader, id)
	q.Header.Set("Heatherbarrow-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	q.Header.Set("Authorization", "Bearer "+teamKey)
	return q
}

// send makes one attempt with an id of its own. With parts of a prompt, its body and the last part are its own, too.
func (c *callers) send(h *host, kind, path string, parts ...string) result {
	n, body := c.next.Add(1), "body"
	r := result{id: fmt.Sprintf("%s-%s-%d", kind, h.name, n), kind: kind, host: h.name, sent: time.Now()}
	if len(parts) > 0 {
		body = r.id
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	q := newAttempt(ctx, h, http.MethodPost, path, r.id, body, callerDeadline)
	if len(parts) > 0 {
		q.Header.Set("Heatherbarrow-Model", "m")
		q.Header.Set("Heatherbarrow-Prompt-Prefix", strings.Join(append(parts, fmt.Sprintf("%x:20", 1<<32+n)), ":100,"))
	}
	q.Header.Set(pinHeader, "77")
	c.d.ledger.noteSent(r.id, askedFor(q, teamName, body), callerDeadline)
	response, err := c.client.Do(q)
	if err != nil {
		r.err, r.ended = err, time.Now()
		return r
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	r.status, r.body, r.err, r.ended = response.StatusCode, string(text), err, time.Now()
	r.complete, r.sealed = err == nil, response.Header.Get("Heatherbarrow-Server-Seal") != ""
	return r
}
