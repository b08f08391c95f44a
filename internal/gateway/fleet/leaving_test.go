package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Guards against a replica that said that it leaves and gets requests again after its registration came back or
// changed, and against one that is held back for what another process under its ID said.
func TestProcessThatSaidThatItLeavesStaysOutOfUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := New(Options{Zone: "a", Model: testModel, Seed: 1})
		const replicas = 3
		var processes [replicas]Member
		said := make(map[string]int64) // start of the process that said so, by ID
		now := start
		for i := range processes {
			processes[i] = Member{ID: fmt.Sprintf("r%d", i), Upstream: service, Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: "a", Started: 1, Slots: 6}
		}
		registered := [replicas]bool{true, true, true}
		f.SetMembers(processes[:])
		for range 40 { // in less than leavingRetention
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, replicas-1).Draw(t, "replica")
			m := &processes[i]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0: // the process says that it leaves
				if l, refusal := f.Pick(serviceRequest(), now); refusal == nil {
					l.RecordLeaving(now)
					said[l.Member.ID] = l.Member.Started
					l.End(Served, now)
				}
			case 1: // the registration lapses
				registered[i] = false
				f.Update(nil, []string{m.ID})
			case 2: // it comes back, or changes
				registered[i] = true
				m.Slots++
				f.Update([]Member{*m}, nil)
			case 3: // another process starts under the ID
				registered[i] = true
				m.Started++
				f.Update([]Member{*m}, nil)
			case 4:
				f.ExpireDigests(now)
			}
			for j, m := range processes {
				if registered[j] && f.replicas[m.ID].member.Leaving != (said[m.ID] == m.Started) {
					t.Fatalf("replica %s, start %d: leaving %v, said by start %d", m.ID, m.Started, f.replicas[m.ID].member.Leaving, said[m.ID])
				}
			}
			if l, refusal := f.Pick(serviceRequest(), now); refusal == nil {
				if said[l.Member.ID] == l.Member.Started {
					t.Fatalf("replica %s was picked", l.Member.ID)
				}
				l.End(Served, now)
			}
		}
	})
}

// Guards against an answer of an earlier process that holds back its successor under the same ID.
func TestLateAnswerOfEarlierProcessLeavesSuccessorInUse(t *testing.T) {
	f := newFleet(1)
	l := pick(t, f, longAnswerRequest(), start)
	next := l.Member
	next.Started++
	f.Update([]Member{next}, nil)
	assert.True(t, l.RecordLeaving(start))
	assert.False(t, f.RecordLeaving("unknown", start))
	pick(t, f, longAnswerRequest(), start)
}
