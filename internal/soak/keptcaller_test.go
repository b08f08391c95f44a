package soak

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"heatherbarrow/internal/gateway/netio/relaytest"
)

const (
	// rotationCheck is the time between two checks of a balancer, which leaves a host out after rotationMisses.
	rotationCheck  = time.Second
	rotationMisses = 2
)

// rotation is a balancer: it sends new connections of a zone to the hosts of the zone that are ready.
type rotation struct {
	g      *streamRig
	mu     sync.Mutex
	misses map[*host]int
}

func newRotation(g *streamRig) *rotation { return &rotation{g: g, misses: make(map[*host]int)} }

func (r *rotation) check(ctx context.Context) {
	ticker := time.NewTicker(rotationCheck)
	defer ticker.Stop()
	for {
		for _, h := range r.g.hosts {
			go func() {
				ready := h.ready()
				r.mu.Lock()
				defer r.mu.Unlock()
				if r.misses[h]++; ready {
					r.misses[h] = 0
				}
			}()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pick returns a host for a new connection from a zone.
func (r *rotation) pick(zone string, random *rand.Rand) *host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var own, ownReady, ready []*host
	for _, h := range r.g.hosts {
		in := h.settings.AvailabilityZone == zone
		if in {
			own = append(own, h)
		}
		if r.misses[h] < rotationMisses {
			ready = append(ready, h)
			if in {
				ownReady = append(ownReady, h)
			}
		}
	}
	switch {
	case 2*len(ownReady) >= len(own):
	case len(ownReady) > 0, len(ready) == 0:
		ownReady = own
	default:
		ownReady = ready
	}
	return ownReady[random.IntN(len(ownReady))]
}

// keptCaller sends requests over a connection for as long as its host keeps it.
type keptCaller struct {
	g        *streamRig
	balancer *rotation
	number   int
	h        *host // that it is connected to
	slow     bool
	random   *rand.Rand
	seen     []keptRequest
	refused  int // connections that the balancer sent to a host that does not listen
}

// keptRequest is a request of a keptCaller.
type keptRequest struct {
	stopped
	route  *streamRoute
	events int
	slow   bool
}

func (c *keptCaller) work(ctx context.Context) {
	callOver(ctx, func() (net.Conn, error) {
		c.h = c.balancer.pick(c.g.hosts[c.number%len(c.g.hosts)].settings.AvailabilityZone, c.random)
		dial := (&net.Dialer{}).DialContext
		if c.slow {
			dial = relaytest.DialNarrow
		}
		conn, err := dial(ctx, "tcp", c.h.settings.Listen)
		if err != nil {
			c.refused++
		}
		return conn, err
	}, c.send)
}

// closedByHost reports whether the host has closed a connection without a request.
func closedByHost(conn net.Conn, in *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := in.Peek(1)
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

func (c *keptCaller) send(conn net.Conn, in *bufio.Reader, n int) (wait time.Duration, keep bool) {
	if closedByHost(conn, in) {
		return 0, false
	}
	route := c.g.routes[c.random.IntN(len(c.g.routes))]
	key := fmt.Sprintf("k%d", c.g.next.Add(1))
	r := keptRequest{stopped: stopped{result: result{id: fmt.Sprintf("%s-%s-%d-%d", key, c.h.name, c.number, n), kind: route.name, host: c.h.name}}, route: route}
	r.limit = streamStopLimit
	uploads := time.Duration(0)
	if c.random.IntN(8) == 0 {
		uploads = time.Duration(c.random.Int64N(int64(5 * time.Second)))
	}
	if c.random.IntN(8) == 0 {
		r.limit = time.Duration(1+c.random.IntN(9)) * time.Second
	}
	wait = time.Duration(c.random.IntN(600)) * time.Millisecond
	header := []string{"Authorization: Bearer " + teamKey, fmt.Sprintf("Heatherbarrow-Deadline-Ms: %d", r.limit.Milliseconds())}
	if route.events > 0 {
		header = append(header, "Heatherbarrow-Model: m", "Heatherbarrow-Token-Counts: 800,60", "Heatherbarrow-Prompt-Prefix: 5c1e07a2:500,"+key[1:]+":300")
	}
	keep = r.exchange(conn, in, route.prefix()+key, header, uploads, func(response *http.Response) io.Reader {
		if after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			wait, response.Close = time.Duration(after*float64(time.Second)), true
		}
		if r.slow = c.slow && route.events > 0; r.slow {
			return slowReader{response.Body, 10 * time.Millisecond}
		}
		return response.Body
	})
	if route.events > 0 {
		r.events = len(readEvents(r.body))
	}
	r.limit = min(r.limit, cmp.Or(route.timeout, rigTimeout))
	r.body = r.body[:min(len(r.body), 100)]
	c.seen = append(c.seen, r)
	return wait, keep
}
