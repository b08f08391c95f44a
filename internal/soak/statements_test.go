package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// leavingHeader says that a replica leaves.
	leavingHeader = "Server-Leaving"
	// restSettleTime and maxSentInRest are the operators' bound on requests to a replica that asked a host for rest.
	restSettleTime = 500 * time.Millisecond
	maxSentInRest  = 2
)

// Guards against requests to replicas that say in their answers, and nowhere else, that they leave or want rest, beside all other
// faults of the soak.
func TestReplicasThatSayThatTheyLeaveOrRestAreLeftAlone(t *testing.T) {
	concurrently(t)
	for _, seed := range chosenSeeds(t, nil) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			concurrently(t)
			playStatements(t, seed)
		})
	}
}

func playStatements(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	d := newDeployment(t, 2+random.IntN(2), 1+random.IntN(3), false)
	defer d.keepLogs(seed)
	awaitReady(t, d.hosts)
	c := newCallers(d)
	var statements sync.WaitGroup
	statements.Go(func() { d.stateAtRandom(rand.New(rand.NewPCG(seed, 8))) })
	d.trouble(random)
	statements.Wait()
	c.end()
	d.check()
}

// stateAtRandom lets replicas say that they leave, until other processes take their places, or turn all requests away and ask for
// rest, for faultTime.
func (d *deployment) stateAtRandom(random *rand.Rand) {
	var running sync.WaitGroup
	defer running.Wait()
	for end := time.Now().Add(faultTime); time.Now().Before(end); {
		i := random.IntN(len(d.replicas))
		r, leaves, lasts := d.replicas[i], random.IntN(2) == 0, time.Duration(500+random.IntN(4500))*time.Millisecond
		rest := time.Duration(200+random.IntN(4000)) * time.Millisecond
		if r.stating.CompareAndSwap(false, true) {
			running.Go(func() {
				defer r.stating.Store(false)
				if leaves {
					d.t.Logf("%s says that it leaves for %v", r.id, lasts)
					r.leaving.Store(true)
					time.Sleep(lasts)
					r.startAgain()
					d.register(i, "ready")
					return
				}
				d.t.Logf("%s wants rest of %v for %v", r.id, rest, lasts)
				r.rest.Store(int64(rest))
				time.Sleep(lasts)
				r.rest.Store(0)
			})
		}
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
}

// senderOf returns the host to which a caller sent a request.
func senderOf(id string) string { return strings.Split(id, "-")[1] }
