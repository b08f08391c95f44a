package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a team that takes the capacity of others during a burst by sending many
// times its usual rate (scenario hot_tenant). Among requests that would be late, teams below
// their fair share may join a longer backlog.
func TestHotTeamIsRefusedFirst(t *testing.T) {
	f := newFleet(3)
	now := start
	var running []*Lease
	refused, sent := map[string]int{}, map[string]int{}
	send := func(team string) {
		q := longPromptRequest(uint64(promptCount)<<20+1, 9000)
		q.Team = team
		l, refusal := f.Pick(q, now)
		sent[team]++
		if refusal != nil {
			refused[team]++
			return
		}
		running = append(running, l)
	}
	// Three engines read 12 prompts a second, 250 ms each; 13.3 are sent. One of the three
	// is the decode group, which takes prompts only if they would be late on the others.
	for i := range 300 {
		now = now.Add(100 * time.Millisecond)
		running = slices.DeleteFunc(running, func(l *Lease) bool {
			done := now.Sub(l.started) >= l.Expected
			if done {
				l.FirstByte(now)
				l.End(Served, now)
			}
			return done
		})
		send("hot")
		if i%3 == 0 {
			send("small")
		}
	}
	share := func(team string) float64 { return float64(refused[team]) / float64(sent[team]) }
	assert.Greater(t, share("hot"), 0.1, "the load should exceed the capacity")
	assert.Less(t, share("small"), share("hot")/2)
}

// Guards against enforcing shares when there is enough capacity or only one active team,
// and against remembering teams forever.
func TestSharesCountOnlyBetweenActiveTeams(t *testing.T) {
	var s teamShares
	assert.InDelta(t, 1, s.backlogFactor("a", start), 0)
	s.add("a", time.Second, start)
	assert.InDelta(t, 1, s.backlogFactor("a", start), 0, "a single team is not limited")
	s.add("b", 10*time.Second, start)
	assert.InDelta(t, maxBacklogFactor, s.backlogFactor("a", start), 0)
	assert.InDelta(t, 0.55, s.backlogFactor("b", start), 0.001)
	later := start.Add(8 * shareTimeConstant)
	s.add("c", 10*time.Second, later)
	assert.InDelta(t, 1, s.backlogFactor("c", later), 0)
	assert.NotContains(t, s.teams, "a")
	f := newFleet(3)
	f.teamShares.add("hot", time.Minute, start)
	f.teamShares.add("other", time.Millisecond, start)
	q := longPromptRequest(3, 9000)
	q.Team = "hot"
	pick(t, f, q, start) // replicas are idle
}
