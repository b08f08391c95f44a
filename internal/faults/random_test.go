//go:build faults

package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heatherbarrow/internal/outcome"
)

const (
	randomCalls    = 1000 // for each seed
	randomSeeds    = 3
	randomWorkers  = 8
	randomAttempts = 4
	attemptTimeout = 6 * time.Second
	randomPause    = 200 * time.Millisecond // between two faults
)

// randomFaults are injected one after another while calls are made. Each ends
// before the next one begins.
var randomFaults = []func(c *cluster, random *rand.Rand){
	func(c *cluster, random *rand.Rand) { restart(c.hosts[random.IntN(hostCount)].router) },
	func(c *cluster, random *rand.Rand) { restart(c.hosts[random.IntN(hostCount)].control) },
	func(c *cluster, random *rand.Rand) {
		p := c.hosts[random.IntN(hostCount)].control
		p.signal(sigStop)
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
		p.signal(sigCont)
	},
	func(c *cluster, random *rand.Rand) { c.platform.during(c, random, "down", true, false) },
	func(c *cluster, random *rand.Rand) { c.platform.during(c, random, "delay_ms", 300, 0) },
	func(c *cluster, random *rand.Rand) { c.platform.set(c, "lose_write_answers", 1+random.IntN(4)) },
	func(c *cluster, random *rand.Rand) {
		c.services[random.IntN(len(c.services))].set(c, "lose_answers", 1+random.IntN(4))
	},
	func(c *cluster, random *rand.Rand) {
		c.services[random.IntN(len(c.services))].during(c, random, "refuse", true, false)
	},
	func(c *cluster, random *rand.Rand) {
		c.cutZone()
		time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
		c.healSlowServices()
	},
	func(c *cluster, random *rand.Rand) {
		c.cutZoneFromPlatform()
		time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
		c.healSlowServices()
	},
}

// serviceDelay keeps calls in progress for long enough that faults meet them.
const serviceDelay = 60 // ms

func (c *cluster) healSlowServices() {
	c.heal()
	c.delayServices(serviceDelay)
}

func restart(p *process) {
	p.kill()
	p.start()
}

// during sets a switch for a random time.
func (s *standIn) during(c *cluster, random *rand.Rand, name string, on, off any) {
	s.set(c, name, on)
	time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	s.set(c, name, off)
}

// runRandomCell makes calls that must run once while random faults happen, and
// repeats each through other hosts until it is completed or given up on.
func runRandomCell(t *testing.T, seed uint64) []string {
	c := newCluster(t)
	c.start()
	c.delayServices(serviceDelay)
	a := newCaller(c)
	a.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var next atomic.Int64
	var working sync.WaitGroup
	for worker := range randomWorkers {
		working.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(worker)+1))
			for n := next.Add(1); n <= randomCalls; n = next.Add(1) {
				a.callUntilCompleted(fmt.Sprintf("random-%d-%d", seed, n), random)
			}
		})
	}
	done := make(chan struct{})
	go func() {
		working.Wait()
		close(done)
	}()
	random := rand.New(rand.NewPCG(seed, 0))
	for running := true; running; {
		randomFaults[random.IntN(len(randomFaults))](c, random)
		select {
		case <-done:
			running = false
		case <-time.After(randomPause):
		}
	}
	c.heal()
	count := make(map[outcome.Outcome]int)
	for _, x := range a.all() {
		count[x.outcome]++
	}
	t.Logf("seed %d: %d calls, %d attempts, outcomes %v", seed, randomCalls, len(a.all()), count)
	return append(c.checkAnswers(a.all()), c.versions.broken()...)
}

func (a *caller) callUntilCompleted(key string, random *rand.Rand) {
	for range randomAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		x := a.order(ctx, a.c.hosts[random.IntN(hostCount)], key)
		cancel()
		if x.outcome == outcome.Completed {
			return
		}
		time.Sleep(time.Duration(50+random.IntN(100)) * time.Millisecond)
	}
}

func (r *results) runRandom(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprintf("seed-%d", seed+1), func(t *testing.T) {
			t.Parallel()
			broken := runRandomCell(t, seed+1)
			r.noteRandom(seed+1, broken)
			r.add(t, fmt.Sprintf("random-seed-%d", seed+1), "non-repeatable-calls", broken)
		})
	}
}
