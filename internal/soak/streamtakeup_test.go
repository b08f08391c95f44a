package soak

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against streams that can't be taken up because the process of their replica ended soon after their first event,
// although other replicas of the only software version serve. SECONDS is the time.
func TestStreamsThatEndEarlyAreTakenUp(t *testing.T) {
	concurrently(t)
	lasts, _ := runTime(6 * time.Second)
	g := newStreamRig(t, rigShape{hosts: 6, zones: 3, replicas: map[string]int{"pool": 6}},
		&streamRoute{name: "resumable", service: "pool", kind: "streaming", resumable: true, attempts: 3, events: longStreamEvents, pause: 20 * time.Millisecond})
	defer g.keepLogs(1)
	c := &rigCallers{g: g, every: 4 * time.Millisecond, random: rand.New(rand.NewPCG(1, 1))}
	stop := make(chan struct{})
	var ends sync.WaitGroup
	ends.Go(func() {
		g.endProcesses(&processEnd{down: 30 * time.Millisecond, every: 400 * time.Millisecond}, rand.New(rand.NewPCG(1, 0)), stop)
	})
	all := c.follow(lasts)
	close(stop)
	ends.Wait()
	checkFollowed(t, "processes end", all)
	g.checkWentOn("processes end", all)
	_, _, takenUp, wentOn := shares(all)
	if takenUp >= minCutStreams {
		assert.GreaterOrEqual(t, wentOn/takenUp, minTakeUpShare, "%v of %v streams that were taken up go on", wentOn, takenUp)
	}
}
