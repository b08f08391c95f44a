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

// machine drives a scheduler through a random schedule and checks after each step
// what must always hold.
type machine struct {
	*fixture
	rt      *rapid.T
	waiting map[*Ticket]bool
	running []*Assignment
	waited  map[*Ticket]bool // waiting before the current step
	ended   struct{ granted, refused, canceled int }
	entered int
}

func newMachine(rt *rapid.T, t *testing.T) *machine {
	b := testBundle(2, 2, rapid.IntRange(1, 4).Draw(rt, "slots"), 3)
	for i := range b.Classes {
		b.Classes[i].MaxQueue = rapid.IntRange(1, 12).Draw(rt, "max queue")
		if rapid.Bool().Draw(rt, "without share") {
			b.Classes[i].Share = 0
		}
	}
	m := &machine{fixture: newFixture(t, b), rt: rt, waiting: make(map[*Ticket]bool)}
	m.picker.failf = rt.Fatalf
	return m
}

func (m *machine) enqueueSome() {
	for range rapid.IntRange(1, 6).Draw(m.rt, "requests") {
		m.enqueueAny()
	}
}

func (m *machine) enqueueAny() {
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

func (m *machine) submit(r scheduling.Request) {
	t, err := m.Enqueue(r)
	if err == nil {
		m.entered++
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

func (m *machine) finishAny() {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(m.rt, "assignment")
	a := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	result := done(rapid.IntRange(1, 200).Draw(m.rt, "tokens"))
	result.Crashed = rapid.IntRange(0, 9).Draw(m.rt, "crashed") == 0
	a.Finish(result)
}

func (m *machine) cancelAny() {
	for t := range m.waiting {
		t.Cancel()
		if t.state == canceled {
			delete(m.waiting, t)
			m.ended.canceled++
		}
		return
	}
}

func (m *machine) toggleReplica() {
	id := scheduling.ReplicaID{Upstream: "pool-0", Replica: rapid.SampledFrom([]string{"r0", "r1"}).Draw(m.rt, "replica")}
	m.picker.down[id] = !m.picker.down[id]
	m.Update(nil, &scheduling.View{HostsInZone: 1, ZoneCount: 1})
}

func (m *machine) quarantine() {
	m.picker.quarantined[uint64(rapid.IntRange(1, 20).Draw(m.rt, "fingerprint"))] = true
	m.Update(nil, &scheduling.View{HostsInZone: 1, ZoneCount: 1})
}

func (m *machine) pass() {
	m.advance(time.Duration(rapid.IntRange(1, 100).Draw(m.rt, "ticks")) * 50 * time.Millisecond)
}

// collect takes the tickets that ended in this step and the streams that were
// preempted.
func (m *machine) collect() []*Ticket {
	var fresh []*Ticket
	for t := range m.waiting {
		a, r := grantOf(t), refusalOf(t)
		if a != nil && r != nil {
			m.rt.Fatalf("a request was granted and refused")
		}
		if a != nil {
			m.ended.granted++
			m.running = append(m.running, a)
			fresh = append(fresh, t)
		}
		if r != nil {
			m.ended.refused++
		}
		if a != nil || r != nil {
			delete(m.waiting, t)
		}
	}
	return fresh
}

func (m *machine) resumePreempted() {
	for i := 0; i < len(m.running); i++ {
		a := m.running[i]
		select {
		case <-a.Preempted():
		default:
			continue
		}
		if a.ticket.class.Tier == bundle.TopTier || !a.ticket.request.Resumable {
			m.rt.Fatalf("preempted a request that must not be")
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

// checkOrder verifies that a request was granted beside a waiting one of a higher
// tier only because of its class's share or its age.
func (m *machine) checkOrder(grants []*Ticket) {
	for _, t := range grants {
		p := m.pools[keyOf(&t.request)]
		running, slots := p.running(t.class)
		aged := m.clock.Since(t.enqueued) > t.class.Deadline.Std()/4
		if aged || running-1 < t.class.guaranteed(slots) {
			continue
		}
		for other := range m.waited {
			same := other.state == waiting && m.pools[keyOf(&other.request)] == p && len(other.request.Exclude) == 0
			if same && other.class.Tier < t.class.Tier {
				m.rt.Fatalf("tier %d was granted while tier %d waited", t.class.Tier, other.class.Tier)
			}
		}
	}
}

// check runs after every action.
func (m *machine) check(*rapid.T) {
	grants := m.collect()
	m.checkOrder(grants)
	m.resumePreempted()
	m.collect()
	m.waited = make(map[*Ticket]bool, len(m.waiting))
	for t := range m.waiting {
		m.waited[t] = true
	}
	require.Equal(m.rt, m.entered, len(m.waiting)+m.ended.granted+m.ended.refused+m.ended.canceled)
	require.Equal(m.rt, m.expiry.Len(), len(m.waiting))
	inUse := 0
	for _, n := range m.picker.running {
		inUse += n
	}
	require.Equal(m.rt, inUse, len(m.running))
}

// Guards against priority inversion, lost or doubly ended requests and lost slots
// under any order of events.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMachine(rt, t)
		rt.Repeat(map[string]func(*rapid.T){
			"enqueue":    func(*rapid.T) { m.enqueueSome() },
			"finish":     func(*rapid.T) { m.finishAny() },
			"finish2":    func(*rapid.T) { m.finishAny() },
			"cancel":     func(*rapid.T) { m.cancelAny() },
			"replica":    func(*rapid.T) { m.toggleReplica() },
			"quarantine": func(*rapid.T) { m.quarantine() },
			"advance":    func(*rapid.T) { m.pass() },
			"":           m.check,
		})
		for len(m.running) > 0 || len(m.waiting) > 0 {
			for _, a := range m.running {
				a.Finish(done(1))
			}
			m.running = nil
			m.advance(time.Second)
			m.check(rt)
		}
		for _, c := range m.classes {
			require.Zero(rt, c.waiting)
			require.Empty(rt, c.outstanding)
		}
	})
}

// Guards against starvation: with top-tier requests always waiting, a draft is
// granted at the latest when it has aged and one in agedInterval grants went to
// each draft ahead of it, even on a single slot.
func TestNoStarvationUnderTopTierLoad(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 12).Draw(rt, "slots")
		hold := time.Duration(rapid.IntRange(2, 10).Draw(rt, "hold")) * 50 * time.Millisecond
		drafts := rapid.IntRange(1, 5).Draw(rt, "drafts")
		b := testBundle(1, 1, slots, 1)
		if rapid.Bool().Draw(rt, "without share") {
			b.Classes[classDraft].Share = 0
		}
		b.Classes[classDraft].Deadline = settings.Duration(200 * time.Second)
		f := newFixture(t, b)
		f.tuning.earlyRefusal = false
		var waitingDrafts []*Ticket
		running := make(map[*Assignment]time.Time)
		quotes := make(map[*Ticket]bool)
		limit := b.Classes[classDraft].Deadline.Std()/4 + time.Duration((drafts+1)*agedInterval)*(hold+100*time.Millisecond)
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
			collectQuotes(f, quotes, running)
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
			require.Less(rt, time.Duration(step-20)*50*time.Millisecond, limit)
			for a, since := range running {
				if f.clock.Since(since) >= hold {
					a.Finish(done(1))
					delete(running, a)
				}
			}
		}
	})
}

func collectQuotes(f *fixture, quotes map[*Ticket]bool, running map[*Assignment]time.Time) {
	for q := range quotes {
		if a := grantOf(q); a != nil {
			running[a] = f.clock.Now()
		}
		if q.state != waiting {
			delete(quotes, q)
		}
	}
}
