package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against an answer that is taken for whole because another process lives at the address of its replica, and
// against one that is taken for broken although its process lives.
func TestProcessThatARequestWasSentTo(t *testing.T) {
	registered := Member{ID: "r", Upstream: service, Address: "10.0.0.1:1", Zone: "a", Started: 10, Slots: 6}
	f := New(Options{Zone: "a"})
	f.SetMembers([]Member{registered})
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	ask := func(started int64, askedAt time.Time) {
		l, ok := f.ProcessLease("r")
		assert.True(t, ok)
		l.RecordProcess(started, askedAt)
	}
	before := pick(t, f, &Request{Upstream: service, TimeLeft: time.Minute}, at(0))
	_, known := before.ProcessAfter(at(0))
	assert.False(t, known, "a registration is no evidence that its process lives")
	ask(10, at(10))
	started, known := before.ProcessAfter(at(5))
	assert.True(t, known)
	assert.True(t, before.SentTo(started))
	_, known = before.ProcessAfter(at(10))
	assert.False(t, known, "it lived before the end only")

	ask(20, at(20)) // another process, which the store does not list
	started, known = before.ProcessAfter(at(15))
	assert.True(t, known)
	assert.False(t, before.SentTo(started))
	after := pick(t, f, &Request{Upstream: service, TimeLeft: time.Minute}, at(30))
	ask(20, at(40))
	assert.True(t, after.SentTo(20), "known before the request was sent")
	assert.False(t, before.SentTo(20), "even if it has told so again")

	next := registered
	next.Started = 20
	f.SetMembers([]Member{next})
	assert.False(t, before.SentTo(20))
	assert.True(t, after.SentTo(20))
	next.Started = 50
	f.SetMembers([]Member{next})
	assert.False(t, after.SentTo(50), "it may have registered during the answer")
	assert.True(t, after.SentTo(20), "the host may learn late that it lives no more")
}

// Guards against a replica that ended being taken for one that leaves, because its ID has another process by then.
func TestReplacedReplicaLeavesOnlyIfItDidBefore(t *testing.T) {
	for name, c := range map[string]struct {
		between func(f *Fleet, m Member)
		next    int64
		leaving bool
	}{
		"replaced at once":             {func(*Fleet, Member) {}, 6, false},
		"an earlier process is listed": {func(*Fleet, Member) {}, 4, false},
		"left before":                  {func(f *Fleet, m Member) { m.Leaving = true; f.SetMembers([]Member{m}) }, 6, true},
		"removed before":               {func(f *Fleet, _ Member) { f.SetMembers(nil) }, 6, true},
		"its entry lapsed and is back": {func(f *Fleet, _ Member) { f.SetMembers(nil) }, 5, false},
	} {
		f := New(Options{Zone: "a"})
		m := Member{ID: "r", Upstream: service, Address: "10.0.0.1:1", Zone: "a", Started: 5, Slots: 6}
		f.SetMembers([]Member{m})
		l := pick(t, f, &Request{Upstream: service, TimeLeft: time.Minute}, start)
		assert.False(t, l.Leaving(start), name)
		c.between(f, m)
		m.Started = c.next
		f.SetMembers([]Member{m})
		assert.Equal(t, c.leaving, l.Leaving(start), name)
		f.SetMembers(nil)
		assert.True(t, l.Leaving(start), name)
	}
}
