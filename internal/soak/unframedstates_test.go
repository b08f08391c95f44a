package soak

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherbarrow/platform/storetest"
)

// Guards against the same in states that are rare: requests that another host runs, replicas that leave while the store is
// silent, callers of HTTP/1.0, hosts with little processor time, and streams whose second replica leaves too. Without SECONDS
// only the first plays are played.
func TestUnframedAnswersInRareStates(t *testing.T) {
	const pause = 60 * time.Millisecond
	drain, removal := leaving("draining", 500*time.Millisecond), leaving("", 500*time.Millisecond)
	one := func(g *streamRig, random *rand.Rand, stop <-chan struct{}) {
		g.cutPool(random, stop, 600*time.Millisecond, 1, 1)
	}
	third := func(g *streamRig, random *rand.Rand, stop <-chan struct{}) {
		g.cutPool(random, stop, 800*time.Millisecond, len(g.replicas)/3, 0.75)
	}
	ends := func(g *streamRig, random *rand.Rand, stop <-chan struct{}) {
		g.endProcesses(&processEnd{down: time.Second, every: 500 * time.Millisecond}, random, stop)
	}
	many := leavingEach(150*time.Millisecond, "draining", 500*time.Millisecond)
	const quick = 4 // plays in a run of all tests
	plays := []poolPlay{
		{name: "delegated, replicas drain", partly: 1, pause: pause, sound: minSoundShare, apart: true, disturb: drain},
		{name: "delegated, a third is cut", partly: 1, pause: pause, sound: minBesideShare, apart: true, disturb: third},
		{name: "plain answers of 1.2 s, replicas drain", partly: 1, pause: pause, sound: minSoundShare, plain: 120 * time.Millisecond, disturb: drain},
		{name: "plain answers of 1.2 s, replicas are removed", partly: 1, pause: pause, sound: minSoundShare, plain: 120 * time.Millisecond, disturb: removal},

		{name: "delegated", partly: 1, pause: pause, sound: minSoundShare, apart: true},
		{name: "delegated, one is cut", partly: 1, pause: pause, sound: minUncutShare, apart: true, disturb: one},
		{name: "delegated, processes end", partly: 1, pause: pause, apart: true, disturb: ends},
		{name: "plain answers of 1.2 s", partly: 1, pause: pause, sound: minSoundShare, plain: 120 * time.Millisecond},
		{name: "silent store", partly: 1, pause: pause, sound: minSoundShare, disturb: silentStore(nil)},
		{name: "silent store, replicas drain", partly: 1, pause: pause, disturb: silentStore(drain)},
		{name: "silent store, replicas are removed", partly: 1, pause: pause, disturb: silentStore(removal)},
		{name: "old callers", partly: 1, pause: pause, sound: minSoundShare, old: 0.5},
		{name: "old callers, replicas drain", partly: 1, pause: pause, sound: minSoundShare, old: 0.5, disturb: drain},
		{name: "old callers, a third is cut", partly: 1, pause: pause, sound: minBesideShare, old: 0.5, disturb: third},
		{name: "share of a processor", partly: 1, pause: pause, sound: minSoundShare, share: 0.6},
		{name: "share of a processor, replicas drain", partly: 1, pause: pause, sound: minSoundShare, share: 0.6, disturb: drain},
		{name: "share of a processor, one is cut", partly: 1, pause: pause, sound: minUncutShare, share: 0.6, disturb: one},
		{name: "share of a processor, a third is cut", partly: 1, pause: pause, sound: minBesideShare, share: 0.6, disturb: third},
		{name: "share of a processor, processes end", partly: 1, pause: pause, share: 0.6, disturb: ends},
		{name: "second replica leaves", partly: 1, pause: pause, draft: 40 * time.Millisecond, disturb: many},
		{name: "second replica leaves, three attempts", partly: 1, pause: pause, draft: 40 * time.Millisecond, attempts: 3, disturb: many},
	}
	if os.Getenv("SECONDS") == "" {
		plays = plays[:quick]
	}
	playPools(t, plays)
}

// silentStore returns what lets the store be silent half of the time, beside another disturbance if that is not nil.
func silentStore(beside func(*streamRig, *rand.Rand, <-chan struct{})) func(*streamRig, *rand.Rand, <-chan struct{}) {
	const silent = 1500 * time.Millisecond
	return func(g *streamRig, random *rand.Rand, stop <-chan struct{}) {
		var running sync.WaitGroup
		defer running.Wait()
		if beside != nil {
			running.Go(func() { beside(g, random, stop) })
		}
		defer g.store.SetFault(storetest.None)
		for fault := storetest.Silent; ; {
			g.store.SetFault(fault)
			g.log.note("store: %v", fault)
			select {
			case <-stop:
				return
			case <-time.After(silent):
			}
			if fault == storetest.Silent {
				fault = storetest.None
			} else {
				fault = storetest.Silent
			}
		}
	}
}

// oldTransport sends requests of HTTP/1.0, each on a connection of its own.
type oldTransport struct{}

// RoundTrip implements http.RoundTripper.
func (oldTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	c, err := new(net.Dialer).DialContext(q.Context(), "tcp", q.URL.Host)
	if err != nil {
		return nil, err
	}
	if at, ok := q.Context().Deadline(); ok {
		_ = c.SetDeadline(at)
	}
	var text bytes.Buffer
	if err = q.Write(&text); err == nil {
		_, err = io.WriteString(c, strings.Replace(text.String(), " HTTP/1.1\r\n", " HTTP/1.0\r\n", 1))
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), q)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	response.Body = oldBody{response.Body, c}
	return response, nil
}

// oldBody is a body that ends its connection.
type oldBody struct {
	io.ReadCloser
	c net.Conn
}

func (b oldBody) Close() error { return b.c.Close() }
