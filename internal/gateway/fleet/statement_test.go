package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a rest that a shorter one in a later answer ends, that the lapse of the registration ends, or that
// holds back another process under the ID.
func TestLongestRestOfProcessHolds(t *testing.T) {
	f := New(Options{Zone: "a", Model: testModel, Seed: 1})
	m := Member{ID: "r", Upstream: service, Address: "10.0.0.1:1", Zone: "a", Started: 1, Slots: 6}
	f.SetMembers([]Member{m})
	first, second := pick(t, f, serviceRequest(), start), pick(t, f, serviceRequest(), start)
	assert.True(t, first.RecordRest(3*time.Second, start))
	first.End(Rejected, start)
	assert.False(t, second.RecordRest(time.Second, start.Add(100*time.Millisecond)))
	second.End(Rejected, start)
	f.SetMembers(nil)
	f.ExpireDigests(start.Add(time.Second))
	f.SetMembers([]Member{m})
	for _, after := range []time.Duration{time.Second, 2999 * time.Millisecond} {
		_, refusal := f.Pick(serviceRequest(), start.Add(after))
		require.NotNil(t, refusal)
		assert.Equal(t, ReasonResting, refusal.Reason)
		assert.GreaterOrEqual(t, refusal.RetryAfter, min(3*time.Second-after, minRetryAfter))
	}
	pick(t, f, serviceRequest(), start.Add(3*time.Second)).RecordRest(time.Hour, start.Add(3*time.Second))
	_, refusal := f.Pick(serviceRequest(), start.Add(3*time.Second+maxRest-1))
	require.NotNil(t, refusal)
	pick(t, f, serviceRequest(), start.Add(3*time.Second+maxRest))
	pick(t, f, serviceRequest(), start.Add(4*time.Second+maxRest)).RecordRest(time.Minute, start.Add(4*time.Second+maxRest))
	m.Started++
	f.SetMembers([]Member{m})
	pick(t, f, serviceRequest(), start.Add(5*time.Second+maxRest))
}

// Guards against requests to a replica whose process leaves or rests, and against a replica that does neither and is held back,
// over random answers, registrations and starts of processes.
func TestReplicasAreHeldBackOnlyForTheirOwnStatements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const replicas = 3
		type process struct {
			id      string
			started int64
		}
		f := New(Options{Zone: "a", Model: testModel, Seed: 1})
		now, leaves, rests := start, make(map[process]bool), make(map[process]time.Time)
		var members [replicas]Member
		var registered [replicas]bool
		processOf := func(m *Member) process { return process{m.ID, m.Started} }
		for i := range members {
			members[i] = Member{ID: fmt.Sprintf("r%d", i), Upstream: service, Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: "a", Started: 1, Slots: 6}
			registered[i] = true
		}
		f.SetMembers(members[:])
		var running []*Lease
		for range 60 { // in less than statementRetention
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, replicas-1).Draw(t, "replica")
			m := &members[i]
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1: // a request in flight is answered, maybe by a process that has been replaced
				if len(running) == 0 {
					break
				}
				k := rapid.IntRange(0, len(running)-1).Draw(t, "request")
				l := running[k]
				running = slices.Delete(running, k, k+1)
				p, newest := processOf(&l.Member), true
				for j := range members {
					newest = newest && (members[j].ID != p.id || members[j].Started == p.started)
				}
				result := Served
				switch rapid.IntRange(0, 3).Draw(t, "answer") {
				case 0:
					rest := time.Duration(rapid.IntRange(1, 5000).Draw(t, "rest")) * time.Millisecond
					l.RecordRest(rest, now)
					if end := now.Add(rest); newest && end.After(rests[p]) {
						rests[p] = end
					}
					result = Rejected
				case 1:
					if newest && rapid.IntRange(0, 3).Draw(t, "leaves") == 0 {
						l.RecordLeaving(now)
						leaves[p] = true
					}
				}
				l.End(result, now)
			case 2: // the registration lapses
				registered[i] = false
				f.Update(nil, []string{m.ID})
			case 3: // it comes back, or changes
				registered[i] = true
				m.Slots++
				f.Update([]Member{*m}, nil)
			case 4: // another process starts under the ID
				registered[i] = true
				m.Started++
				f.Update([]Member{*m}, nil)
			case 5:
				f.ExpireDigests(now)
			}
			free := false
			for j := range members {
				p := processOf(&members[j])
				free = free || registered[j] && !leaves[p] && !now.Before(rests[p])
			}
			l, refusal := f.Pick(serviceRequest(), now)
			if refusal != nil {
				if free {
					t.Fatalf("refused: %s", refusal.Reason)
				}
				continue
			}
			if p := processOf(&l.Member); leaves[p] || now.Before(rests[p]) {
				t.Fatalf("%v was picked; it leaves: %v, rests for %v", p, leaves[p], rests[p].Sub(now))
			}
			if running = append(running, l); len(running) > 4 {
				running[0].End(Served, now)
				running = running[1:]
			}
		}
	})
}
