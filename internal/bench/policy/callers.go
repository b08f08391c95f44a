package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"heatherbarrow/internal/bundle"
)

const (
	// overloadCallers on overloadReplicas of overloadSlots leave 16 waiting.
	overloadCallers  = 40
	overloadReplicas = 3
	overloadSlots    = 8
	// requestsOfCaller is more than a caller can send in a scenario.
	requestsOfCaller = 400
	// firstSpread is the time in which the callers send their first requests.
	firstSpread = time.Second
)

// overload is a top tier that alone wants more slots than there are: each caller
// sends its next request when it has the answer, or when a refusal says.
func overload() *scenario {
	s := common("overload", chat(1))
	s.callers = overloadCallers
	s.bundle = commonBundle(overloadReplicas, s.zones)
	s.bundle.Upstreams[0].Slots = overloadSlots
	s.topAttainment = 0
	return s
}

// drawCallers draws the requests of all callers in order. Both policies get the
// same ones, though not at the same times.
func (s *scenario) drawCallers(random *rand.Rand, snapshot *bundle.Snapshot) []arrival {
	_, class, _ := snapshot.Class(s.mixes[0].class)
	var out []arrival
	for caller := range s.callers {
		first := time.Duration(random.Float64() * float64(firstSpread))
		for range requestsOfCaller {
			a := s.mixes[0].draw(random, first, class, s.hosts)
			a.caller = caller + 1
			a.host = caller % s.hosts
			out = append(out, a)
		}
	}
	return out
}

// callers hold the requests that each caller has not sent yet.
type callers [][]*job

func (c *callers) add(j *job) {
	for len(*c) < j.caller {
		*c = append(*c, nil)
	}
	(*c)[j.caller-1] = append((*c)[j.caller-1], j)
}

// nextOf sends the caller's next request after a pause.
func (w *world) nextOf(caller int, pause time.Duration) {
	at := w.loop.now().Add(pause)
	left := w.callers[caller]
	if len(left) == 0 || at.Sub(epoch) > w.scenario.duration {
		return
	}
	if len(left) == requestsOfCaller {
		at = epoch.Add(left[0].at)
	}
	w.callers[caller] = left[1:]
	w.schedule(left[0], at)
}

// printCallers prints what the callers of a closed loop saw.
func printCallers(policy string, s *scenario, jobs []*job) {
	if s.callers == 0 {
		return
	}
	var waits []time.Duration // until a refusal
	completed := 0
	for _, j := range jobs {
		if j.refused {
			waits = append(waits, j.ended.Sub(j.arrived))
		}
		if j.completed {
			completed++
		}
	}
	slices.Sort(waits)
	longest := time.Duration(0)
	if len(waits) > 0 {
		longest = waits[len(waits)-1]
	}
	prefix := fmt.Sprintf("bench metric=%s_%s_", s.name, policy)
	fmt.Printf("%scompleted value=%.2f unit=1/s\n", prefix, float64(completed)/s.duration.Seconds())
	fmt.Printf("%srefused value=%.2f unit=1/s\n", prefix, float64(len(waits))/s.duration.Seconds())
	fmt.Printf("%slongest_refusal value=%.2f unit=s\n", prefix, longest.Seconds())
}
