package soak

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"
)

const (
	// leavePause is the time between two replicas that begin to leave.
	leavePause = 800 * time.Millisecond
	// leftTime is how long nothing listens after the process of a replica has ended.
	leftTime = time.Second
)

// Guards against part of an answer without a length or chunks that is passed off as the whole answer because its replica had
// said that it leaves, or was removed, and exited in the midst of the answer. It also guards against sound answers of such
// replicas that are taken for broken. SECONDS is the time of each play, SEED and SEEDS are as for TestSoak.
func TestUnframedAnswersOfLeavingReplicas(t *testing.T) {
	const (
		short, long           = 60 * time.Millisecond, 200 * time.Millisecond // pauses of streams that last 1.2 s and 4 s
		servesShort, servesOn = 500 * time.Millisecond, 2500 * time.Millisecond
	)
	playPools(t, []poolPlay{
		{name: "no replica leaves", partly: 1, pause: short, sound: minSoundShare},
		{name: "replicas drain for 0.5 s", partly: 1, pause: short, sound: minUncutShare, disturb: leaving("draining", servesShort)},
		{name: "replicas are removed and serve for 0.5 s", partly: 1, pause: short, sound: minUncutShare, disturb: leaving("", servesShort)},
		{name: "no replica leaves, streams last 4 s", partly: 1, pause: long, sound: minSoundShare},
		{name: "replicas drain for 2.5 s, streams last 4 s", partly: 1, pause: long, sound: minUncutShare, disturb: leaving("draining", servesOn)},
		{name: "replicas are removed and serve for 2.5 s, streams last 4 s", partly: 1, pause: long, sound: minUncutShare, disturb: leaving("", servesOn)},
	})
}

// leaving returns what lets replicas leave one after the other: see rigReplica.leave.
func leaving(state string, serves time.Duration) func(*streamRig, *rand.Rand, <-chan struct{}) {
	return leavingEach(leavePause, state, serves)
}

// leavingEach is leaving with another time between two replicas.
func leavingEach(pause time.Duration, state string, serves time.Duration) func(*streamRig, *rand.Rand, <-chan struct{}) {
	return func(g *streamRig, random *rand.Rand, stop <-chan struct{}) {
		var running sync.WaitGroup
		defer running.Wait()
		order := g.leavingOrder(random)
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			running.Go(func() { order[n%len(order)].leave(state, serves) })
		}
	}
}

// leavingOrder returns the replicas in a random order in which those of each service are spread evenly, so that most of them
// serve while others leave.
func (g *streamRig) leavingOrder(random *rand.Rand) (order []*rigReplica) {
	shuffled := slices.Clone(g.replicas)
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	of, place := make(map[string]int), make(map[*rigReplica]float64)
	for _, r := range shuffled {
		of[r.service]++
	}
	at := make(map[string]float64)
	for _, r := range shuffled {
		place[r] = (at[r.service] + 0.5) / float64(of[r.service])
		at[r.service]++
	}
	slices.SortStableFunc(shuffled, func(a, b *rigReplica) int {
		if place[a] < place[b] {
			return -1
		}
		return 1
	})
	return shuffled
}

// leave lets the replica say that it leaves, by the given state of its entry or, if that is empty, by removing it. Its process serves
// on for a while and exits, which ends answers in progress. Another process starts later.
func (r *rigReplica) leave(state string, serves time.Duration) {
	r.ends.Lock()
	defer r.ends.Unlock()
	r.rig.log.note("%s leaves", r.id)
	if state == "" {
		r.unregister()
	} else {
		r.register(state)
	}
	time.Sleep(serves)
	r.rig.log.note("%s exits", r.id)
	r.rig.noteConnectionsEnd() // its connections end now
	r.exit(true)
	r.unregister()
	time.Sleep(leftTime)
	r.listen(r.address)
	r.register("ready")
}
