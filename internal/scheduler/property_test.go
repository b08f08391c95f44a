package scheduler

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/settings"
)

// stateMachine drives a scheduler through a random schedule and checks its
// invariants after each step.
type stateMachine struct {
	*fixture
	rt            *rapid.T
	waiting       map[*Ticket]bool
	running       []*Assignment
	waitingBefore map[*Ticket]bool // tickets that were waiting before the current step
	resolved      struct{ granted, refused, canceled int }
	admitted      int
}

func newStateMachine(rt *rapid.T, t *testing.T) *stateMachine {
	b := testBundle(2, 2, rapid.IntRange(1, 4).Draw(rt, "slots"), 3)
	for i := range b.Classes {
		b.Classes[i].MaxQueue = rapid.IntRange(1, 12).Draw(rt, "max queue")
		if rapid.Bool().Draw(rt, "without share") {
			b.Classes[i].Share = 0
		}
	}
	m := &stateMachine{fixture: newFixture(t, b), rt: rt, waiting: make(map[*Ticket]bool)}
	m.picker.failf = rt.Fatalf
	return m
}

func (m *stateMachine) enqueueSome() {
	for range rapid.IntRange(1, 6).Draw(m.rt, "requests") {
		m.enqueueAny()
	}
}

func (m *stateMachine) enqueueAny() {
	r := m.request(rapid.IntRange(0, 3).Draw(m.rt, "class"), rapid.IntRange(0, 1).Draw(m.rt, "pool"))
	r.Team = rapid.IntRange(0, 2).Draw(m.rt, "team")
	r.Resumable = rapid.Bool().Draw(m.rt, "resumable")
	if rapid.IntRange(0, 5).Draw(m.rt, "suspect") == 0 {
		r.Fingerprint = uint64(rapid.IntRange(1, 20).Draw(m.rt, "fingerprint"))
	}
	if rapid.IntRange(0, 5).Draw(m.rt, "retry") == 0 {
		r.Attempt = 1
		r.Exclude = []scheduling.ReplicaID{{Upstream: m.bundle.Upstreams[r.Upstreams[0]].Name, Replica: "r0"}}
	}
	m.submit(r)
}

func (m *stateMachine) submit(r scheduling.Request) {
	t, err := m.Enqueue(r)
	if err == nil {
		m.admitted++
		m.waiting[t] = true
		return
	}
	var refused *scheduling.RefusedError
	require.True(m.rt, errors.As(err, &refused))
	if refused.Reason != scheduling.ReasonQueueFull {
		return
	}
	for other := range m.waiting {
		displaceable := other.state == waiting && !other.request.AdmittedBefore()
		if displaceable && other.class.Tier > m.bundle.Classes[r.Class].Tier {
			m.rt.Fatalf("tier %d was refused while tier %d waits in the queue", m.bundle.Classes[r.Class].Tier, other.class.Tier)
		}
	}
}

func (m *stateMachine) finishAny() {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(m.rt, "assignment")
	a := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	result := completedResult(rapid.IntRange(1, 200).Draw(m.rt, "tokens"))
	result.Crashed = rapid.IntRange(0, 9).Draw(m.rt, "crashed") == 0
	a.Finish(result)
}

func (m *stateMachine) cancelAny() {
	for t := range m.waiting {
		t.Cancel()
		if t.state == canceled {
			delete(m.waiting, t)
			m.resolved.canceled++
		}
		return
	}
}

func (m *stateMachine) toggleReplica() {
	id := scheduling.ReplicaID{Upstream: "pool-0", Replica: rapid.SampledFrom([]string{"r0", "r1"}).Draw(m.rt, "replica")}
	m.picker.down[id] = !m.picker.down[id]
	m.Update(nil, &scheduling.View{HostsInZone: 1, ZoneCount: 1})
}

func (m *stateMachine) quarantine() {
	m.picker.quarantined[uint64(rapid.IntRange(1, 20).Draw(m.rt, "fingerprint"))] = true
	m.Update(nil, &scheduling.View{HostsInZone: 1, ZoneCount: 1})
}

func (m *stateMachine) advanceClock() {
	m.advance(time.Duration(rapid.IntRange(1, 100).Draw(m.rt, "ticks")) * 50 * time.Millisecond)
}

// collect removes the tickets that were resolved in this step from the waiting ones
// and returns those that were granted.
func (m *stateMachine) collect() []*Ticket {
	var newlyGranted []*Ticket
	for t := range m.waiting {
		a, r := grantOf(t), refusalOf(t)
		if a != nil && r != nil {
			m.rt.Fatalf("a request was both granted and refused")
		}
		if a != nil {
			m.resolved.granted++
			m.running = append(m.running, a)
			newlyGranted = append(newlyGranted, t)
		}
		if r != nil {
			m.resolved.refused++
		}
		if a != nil || r != nil {
			delete(m.waiting, t)
		}
	}
	return newlyGranted
}

// resumePreempted finishes the preempted streams and enqueues their remainders.
func (m *stateMachine) resumePreempted() {
	for i := 0; i < len(m.running); i++ {
		a := m.running[i]
		select {
		case <-a.Preempted():
		default:
			continue
		}
		if a.ticket.class.Tier == bundle.TopTier || !a.ticket.request.Resumable {
			m.rt.Fatalf("preempted a request that is in the top tier or not resumable")
		}
		m.running = append(m.running[:i], m.running[i+1:]...)
		i--
		r := a.ticket.request
		a.Finish(scheduling.Result{Canceled: true, Tokens: 3})
		r.Progress += 3
		r.Preempted = true
		r.Preemptions++
		m.submit(r)
	}
}

// checkOrder verifies that a request was granted while a higher tier waited only
// because of its class's guaranteed share or its age. Waiting requests that exclude
// replicas are not considered.
func (m *stateMachine) checkOrder(grants []*Ticket) {
	for _, t := range grants {
		p := m.pools[poolKeyOf(&t.request)]
		running, slots := p.running(t.class)
		// A quarter of the deadline; see agedDeadlineFraction.
		aged := m.clock.Since(t.enqueuedAt) > t.class.Deadline.Std()/4
		if aged || running-1 < t.class.guaranteedSlots(slots) {
			continue
		}
		for other := range m.waitingBefore {
			competing := other.state == waiting && m.pools[poolKeyOf(&other.request)] == p && len(other.request.Exclude) == 0
			if competing && other.class.Tier < t.class.Tier {
				m.rt.Fatalf("tier %d was granted while tier %d waited", t.class.Tier, other.class.Tier)
			}
		}
	}
}

// check verifies the invariants after every action: each admitted request is
// waiting or was resolved once, and the slots in use are those of the running
// requests.
func (m *stateMachine) check(*rapid.T) {
	grants := m.collect()
	m.checkOrder(grants)
	m.resumePreempted()
	m.collect()
	m.waitingBefore = make(map[*Ticket]bool, len(m.waiting))
	for t := range m.waiting {
		m.waitingBefore[t] = true
	}
	require.Equal(m.rt, m.admitted, len(m.waiting)+m.resolved.granted+m.resolved.refused+m.resolved.canceled)
	require.Equal(m.rt, m.expiry.Len(), len(m.waiting))
	inUse := 0
	for _, n := range m.picker.running {
		inUse += n
	}
	require.Equal(m.rt, inUse, len(m.running))
}

// Guards against priority inversion, requests that are lost or resolved twice, and
// lost slots under random sequences of events.
func TestInvariantsUnderRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newStateMachine(rt, t)
		rt.Repeat(map[string]func(*rapid.T){
			"enqueue":    func(*rapid.T) { m.enqueueSome() },
			"finish":     func(*rapid.T) { m.finishAny() },
			"finish2":    func(*rapid.T) { m.finishAny() }, // makes finishing twice as likely
			"cancel":     func(*rapid.T) { m.cancelAny() },
			"replica":    func(*rapid.T) { m.toggleReplica() },
			"quarantine": func(*rapid.T) { m.quarantine() },
			"advance":    func(*rapid.T) { m.advanceClock() },
			"":           m.check,
		})
		for len(m.running) > 0 || len(m.waiting) > 0 {
			for _, a := range m.running {
				a.Finish(completedResult(1))
			}
			m.running = nil
			m.advance(time.Second)
			m.check(rt)
		}
		for _, c := range m.classes {
			require.Zero(rt, c.waiting)
			require.Empty(rt, c.outstandingByTeam)
		}
	})
}

// Guards against starvation while top-tier requests are always waiting. A draft must
// be granted at the latest when it has aged and each draft ahead of it has been
// granted, at one aged grant per agedGrantInterval, even with a single slot.
func TestNoStarvationUnderTopTierLoad(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 12).Draw(rt, "slots")
		holdTime := time.Duration(rapid.IntRange(2, 10).Draw(rt, "hold")) * 50 * time.Millisecond
		drafts := rapid.IntRange(1, 5).Draw(rt, "drafts")
		b := testBundle(1, 1, slots, 1)
		if rapid.Bool().Draw(rt, "without share") {
			b.Classes[classDraft].Share = 0
		}
		b.Classes[classDraft].Deadline = settings.Duration(200 * time.Second)
		f := newFixture(t, b)
		f.features.earlyRefusal = false
		var waitingDrafts []*Ticket
		running := make(map[*Assignment]time.Time)
		quotes := make(map[*Ticket]bool)
		// A quarter of the deadline (see agedDeadlineFraction) and one interval per
		// draft, with one more interval and two ticks per grant as tolerance.
		maxWait := b.Classes[classDraft].Deadline.Std()/4 + time.Duration((drafts+1)*agedGrantInterval)*(holdTime+100*time.Millisecond)
		for step := 0; ; step++ {
			for len(quotes) < slots+2 {
				quotes[f.enqueue(f.request(classQuote, 0))] = true
			}
			if step == 20 {
				for range drafts {
					waitingDrafts = append(waitingDrafts, f.enqueue(f.request(classDraft, 0)))
				}
			}
			f.advance(50 * time.Millisecond)
			collectQuoteGrants(f, quotes, running)
			for i := 0; i < len(waitingDrafts); i++ {
				require.Nil(rt, refusalOf(waitingDrafts[i]), "a draft was refused after %d steps", step)
				if a := grantOf(waitingDrafts[i]); a != nil {
					running[a] = f.clock.Now()
					waitingDrafts = append(waitingDrafts[:i], waitingDrafts[i+1:]...)
					i--
				}
			}
			if step > 20 && len(waitingDrafts) == 0 {
				return
			}
			require.Less(rt, time.Duration(step-20)*50*time.Millisecond, maxWait)
			for a, grantedAt := range running {
				if f.clock.Since(grantedAt) >= holdTime {
					a.Finish(completedResult(1))
					delete(running, a)
				}
			}
		}
	})
}

func collectQuoteGrants(f *fixture, quotes map[*Ticket]bool, running map[*Assignment]time.Time) {
	for q := range quotes {
		if a := grantOf(q); a != nil {
			running[a] = f.clock.Now()
		}
		if q.state != waiting {
			delete(quotes, q)
		}
	}
}
