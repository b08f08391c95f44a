package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against streams that are joined, out of order or too short, or that callers cannot take up, while the hosts of an
// earlier build are replaced one after the other, and then replaced by the earlier build again, beside the faults of
// TestStreamsStayInOrder. Without an earlier build there is nothing to replace. SEED and SEEDS are as for TestSoak; SECONDS
// is the time between two replacements.
func TestHostsAreReplacedByAnotherBuildAndBack(t *testing.T) {
	if earlierBuild() == "" {
		t.Skip("HEATHERBARROW_SOAK_EARLIER names no earlier build")
	}
	gap, _ := runTime(3 * time.Second)
	for _, seed := range chosenSeeds(t, nil) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			playUpgrade(t, seed, gap)
		})
	}
}

func playUpgrade(t *testing.T, seed uint64, gap time.Duration) {
	g := newMixRig(t)
	defer g.keepLogs(seed)
	for _, h := range g.hosts {
		h.replaceBuild(true)
	}
	random := rand.New(rand.NewPCG(seed, 0))
	c := &rigCallers{g: g, every: 8 * time.Millisecond, hangUp: 0.15, slow: 0.1, random: rand.New(rand.NewPCG(seed, 1))}
	for _, earlier := range []bool{false, true} {
		name := fmt.Sprintf("replaced, by the earlier build: %v", earlier)
		stop := make(chan struct{})
		var beside sync.WaitGroup
		beside.Go(func() { g.mixFaults(g.mixFault, rand.New(rand.NewPCG(seed, 2)), stop) })
		beside.Go(func() {
			for _, at := range random.Perm(len(g.hosts)) {
				time.Sleep(gap)
				g.replaceInTrouble(g.hosts[at], earlier, random.IntN(4) == 0)
			}
		})
		all := c.follow(time.Duration(2*len(g.hosts)) * gap) // a stop may take as long as the time between two
		close(stop)
		beside.Wait()
		g.checkMix(name, all)
	}
}

// replaceInTrouble replaces the host by one of the other build when no fault stops or pauses it.
func (g *streamRig) replaceInTrouble(h *host, earlier, kill bool) {
	for !h.claim() {
		time.Sleep(10 * time.Millisecond)
	}
	defer h.release()
	signal := syscall.SIGTERM
	if kill {
		signal = syscall.SIGKILL
	}
	g.t.Logf("%s %s is replaced, earlier build: %v, by %v", time.Now().UTC().Format("15:04:05.000"), h.name, earlier, signal)
	h.build = func() bool { return earlier }
	h.restart(signal, 0)
	assert.Eventually(g.t, h.ready, settleTime, 20*time.Millisecond, "%s starts", h.name)
}
