package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a team that sends many times its usual and takes the room of the
// others (hot_tenant under a burst): of requests that would be late, those of teams with
// less than their share join a longer backlog.
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
	// Two engines read a prompt in about 250 ms each; a bit more than that is sent.
	for i := range 300 {
		now = now.Add(100 * time.Millisecond)
		running = slices.DeleteFunc(running, func(l *Lease) bool {
			over := now.Sub(l.started) >= l.Expected
			if over {
				l.FirstByte(now)
				l.End(Served, now)
			}
			return over
		})
		send("hot")
		if i%3 == 0 {
			send("small")
		}
	}
	share := func(team string) float64 { return float64(refused[team]) / float64(sent[team]) }
	assert.Greater(t, share("hot"), 0.1, "it is tight")
	assert.Less(t, share("small"), share("hot")/2)
}

// Guards against shares that hold when nothing is tight, or for a team alone, and
// against teams that are remembered for ever.
func TestSharesCountOnlyBetweenActiveTeams(t *testing.T) {
	var s teamShares
	assert.InDelta(t, 1, s.backlogFactor("a", start), 0)
	s.add("a", time.Second, start)
	assert.InDelta(t, 1, s.backlogFactor("a", start), 0, "a team alone has all")
	s.add("b", 10*time.Second, start)
	assert.InDelta(t, maxBacklogFactor, s.backlogFactor("a", start), 0)
	assert.InDelta(t, 0.55, s.backlogFactor("b", start), 0.001)
	later := start.Add(8 * shareTimeConstant)
	s.add("c", 10*time.Second, later)
	assert.InDelta(t, 1, s.backlogFactor("c", later), 0)
	assert.NotContains(t, s.teams, "a")
	f := newFleet(3)
	f.shares.add("hot", time.Minute, start)
	f.shares.add("other", time.Millisecond, start)
	q := longPromptRequest(3, 9000)
	q.Team = "hot"
	pick(t, f, q, start) // places are free
}
