package picker

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/statement"
)

// modelProcess is a process at a replica's address, with what a host may know of it.
type modelProcess struct {
	name      string
	said      bool // an answer of it has arrived
	leaves    bool
	restUntil time.Time
}

func (p *modelProcess) held(now time.Time) bool { return p.leaves || now.Before(p.restUntil) }

// sentRequest is a request in progress at a process.
type sentRequest struct {
	assignment
	process *modelProcess
}

// Guards against requests to a replica whose process leaves or rests, and against a replica that does neither and is held
// back, over random answers, starts of processes, views, bundles and times. Without a successor's answer a host cannot know
// that the process is another one, so that one is held back until a question or a late answer tells.
func TestReplicasAreHeldBackOnlyForTheirOwnStatements(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const replicas = 3
		f := newFixture(t, replicas, 1000)
		var current, known [replicas]*modelProcess // at the address; the last one that the host has heard of
		started := 0
		start := func(i int) {
			started++
			current[i] = &modelProcess{name: fmt.Sprintf("p%d", started)}
		}
		for i := range replicas {
			start(i)
			known[i] = current[i]
		}
		var running []sentRequest
		// hear applies what process i of the model says. An answer to a request that was sent before the known process's
		// first answer is another one's, maybe an earlier one's, and is passed over by model and picker.
		hear := func(i int, p *modelProcess, said statement.Statement, sent time.Time, knownAt *[replicas]time.Time) {
			said.Process = p.name
			change := f.RecordStatement(addressOf(i), said, sent)
			now := f.clock.Now()
			if known[i] != p || !p.said {
				if known[i] != p && sent.Before(knownAt[i]) {
					require.Zero(rt, change)
					return
				}
				known[i], knownAt[i], p.said = p, now, true
				p.leaves, p.restUntil = false, time.Time{}
			}
			p.leaves = p.leaves || said.Leaving
			if end := now.Add(said.Rest); said.Rest > 0 && end.After(p.restUntil) {
				p.restUntil = end
			}
		}
		var knownAt [replicas]time.Time
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			f.clock.Advance(time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "tick") {
				f.Tick()
			}
			i := rapid.IntRange(0, replicas-1).Draw(rt, "replica")
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0, 1: // a request in progress is answered, maybe by a process that has been replaced
				if len(running) == 0 {
					break
				}
				k := rapid.IntRange(0, len(running)-1).Draw(rt, "request")
				r := running[k]
				running = slices.Delete(running, k, k+1)
				said := statement.Statement{}
				result := scheduling.Result{Outcome: outcome.Completed}
				switch rapid.IntRange(0, 4).Draw(rt, "answer") {
				case 0:
					said.Rest = time.Duration(rapid.IntRange(1, 5000).Draw(rt, "rest")) * time.Millisecond
					result = scheduling.Result{Outcome: outcome.NotRun, Refused: true}
				case 1:
					said.Leaving = rapid.Bool().Draw(rt, "leaves")
				}
				hear(int(r.replica.Replica[1]-'0'), r.process, said, r.req.Arrived, &knownAt)
				f.Finish(r.replica, r.req, result)
			case 2:
				start(i)
			case 3: // a question, as of a host that has had no answer from a successor
				if known[i].held(f.clock.Now()) {
					hear(i, current[i], statement.Statement{}, f.clock.Now(), &knownAt)
				}
			case 4: // control's views say that all live
				f.Update(nil, &scheduling.View{HostsInZone: 1, Replicas: []scheduling.ReplicaLoad{{ID: id(i)}}})
			case 5:
				f.Update(bundle.Compile(f.bundle, 2, ""), nil)
			}
			f.Tick()
			now := f.clock.Now()
			free := false
			for j := range replicas {
				require.Equal(rt, known[j].held(now), f.Held(addressOf(j)))
				free = free || !known[j].held(now)
			}
			req := f.request(0, 0)
			choice, ok := f.Pick(req)
			require.Equal(rt, free, ok)
			rest, resting := f.RestEnds(req)
			if !ok {
				ends := time.Duration(0)
				for j := range replicas {
					if left := known[j].restUntil.Sub(now); !known[j].leaves && (ends == 0 || left < ends) {
						ends = left
					}
				}
				require.Equal(rt, ends, rest)
				require.Equal(rt, ends > 0, resting)
				continue
			}
			require.False(rt, resting)
			j := int(choice.Replica.Replica[1] - '0')
			require.False(rt, known[j].held(now))
			f.FirstToken(choice.Replica, req, time.Millisecond) // health holds no replica back
			running = append(running, sentRequest{assignment: assignment{choice.Replica, req}, process: current[j]})
		}
	})
}

// Guards against a replica that is held back for what the one at its former address said, and against what an answer from
// there still does to it.
func TestStatementEndsWithAddress(t *testing.T) {
	f := newFixture(t, 1, 4)
	sent := f.clock.Now()
	f.clock.Advance(time.Second)
	said := statement.Statement{Process: "p", Leaving: true}
	f.RecordStatement(addressOf(0), said, sent)
	require.True(t, f.Held(addressOf(0)))
	_, ok := f.Pick(f.request(0, 0))
	require.False(t, ok)
	_, resting := f.RestEnds(f.request(0, 0))
	require.False(t, resting)
	moved := *f.bundle
	moved.Upstreams = slices.Clone(f.bundle.Upstreams)
	moved.Upstreams[0].Replicas = slices.Clone(f.bundle.Upstreams[0].Replicas)
	moved.Upstreams[0].Replicas[0].Address = "10.0.0.99:80"
	f.clock.Advance(time.Second)
	f.Update(bundle.Compile(&moved, 2, ""), nil)
	require.Zero(t, f.RecordStatement(addressOf(0), said, sent))
	_, ok = f.Pick(f.request(0, 0))
	require.True(t, ok)
	f.clock.Advance(time.Second)
	f.Update(bundle.Compile(f.bundle, 3, ""), nil)
	require.Zero(t, f.RecordStatement(addressOf(0), said, sent), "a statement from before the address was in the bundle again")
	_, ok = f.Pick(f.request(0, 0))
	require.True(t, ok)
}

// Guards against requests to a process that leaves by way of another upstream which it serves at the same address.
func TestStatementHoldsForAllUpstreamsOfAddress(t *testing.T) {
	f := newFixture(t, 2, 4)
	both := *f.bundle
	both.Upstreams = append(slices.Clone(f.bundle.Upstreams), f.bundle.Upstreams[0])
	both.Upstreams[1].Name = "v"
	f.Update(bundle.Compile(&both, 2, ""), nil)
	f.RecordStatement(addressOf(0), statement.Statement{Process: "p", Leaving: true}, f.clock.Now())
	for range 4 {
		for upstream := range both.Upstreams {
			r := f.request(0, 0)
			r.Upstreams = []int{upstream}
			choice, ok := f.Pick(r)
			require.True(t, ok)
			require.Equal(t, addressOf(1), choice.Address)
		}
	}
}

// addressOf returns the address of replica i of newFixture.
func addressOf(i int) string { return fmt.Sprintf("10.0.0.%d:80", i+1) }
