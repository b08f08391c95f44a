package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// streamRequest returns a request for a stream that goes on at the given software version.
func streamRequest(version string) *Request {
	q := longAnswerRequest()
	q.Resumable, q.SoftwareVersion = true, &version
	return q
}

// versioned returns a fleet with an engine of each given software version.
func versioned(versions ...string) (*Fleet, []Member) {
	f := newFleet(len(versions))
	var members []Member
	for i, version := range versions {
		members = append(members, Member{ID: string(rune('a' + i)), Upstream: engines, Address: "10.0.0.9:" + string(rune('1'+i)), Zone: "a", Slots: 64, Started: 100, SoftwareVersion: version})
	}
	f.SetMembers(members)
	return f, members
}

// Guards against a process that is taken for the registered one after its connections broke, or while the
// registrations are out of date.
func TestProcessIsKnownOnlyWithEvidence(t *testing.T) {
	f, _ := versioned("v1")
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	l := pick(t, f, streamRequest("v1"), at(0))
	assert.False(t, l.ProcessKnown(at(1), false, at(1)), "nothing is known while the registrations may be out of date")
	assert.True(t, l.ProcessKnown(at(1), true, at(2)))
	assert.False(t, l.ProcessProved())
	l.FirstByte(at(2))
	assert.False(t, l.ProcessProved(), "another process may have answered")
	assert.False(t, l.ProcessKnown(at(1), false, at(2)), "what was trusted is no evidence")
	assert.True(t, l.RecordProcess(100, at(2)))
	assert.True(t, l.ProcessProved())
	assert.True(t, l.ProcessKnown(at(1), false, at(3)), "the connection was opened while the process lived")
	assert.False(t, l.ProcessKnown(at(3), false, at(3)), "a later connection may lead to another one")
	l.ProcessKnown(at(1), false, at(4)) // the request is sent
	l.FirstByte(at(6))
	assert.True(t, l.ProcessKnown(at(4), false, at(7)), "the process lived when it got the request that it answered")
	assert.False(t, l.ProcessKnown(at(5), false, at(7)), "it may have answered before that")
	l.End(ConnectionLost, at(10))

	l = pick(t, f, streamRequest("v1"), at(1000))
	assert.False(t, l.ProcessKnown(at(1001), true, at(1001)), "a process may have ended with the connection")
	assert.True(t, l.MayAskProcess(at(1001)))
	assert.True(t, l.RecordProcess(100, at(1002)))
	assert.True(t, l.ProcessKnown(at(1001), false, at(1003)))
	assert.True(t, l.ProcessKnown(at(1003), true, at(1004)), "the doubt is over")
}

// Guards against streams that go on at a process that took over a replica's ID and address.
func TestStreamDoesNotGoOnAtReplacedProcess(t *testing.T) {
	f, members := versioned("v1")
	l := pick(t, f, streamRequest("v1"), start)
	assert.False(t, l.RecordProcess(200, start))
	began := l.SoftwareVersion() // of a stream that this process begins
	assert.False(t, l.HasVersion("v1"))
	l.End(Abandoned, start)
	assert.Equal(t, l.Member.ID, pick(t, f, streamRequest(began), start).Member.ID, "its own streams may go on there")
	_, refusal := f.Pick(streamRequest("v1"), start)
	require.NotNil(t, refusal)
	assert.Equal(t, ReasonVersionGone, refusal.Reason)
	pick(t, f, longAnswerRequest(), start).End(Served, start) // others are not concerned

	// The entry of the new process arrives, and then a store restored from a copy lists the earlier one.
	later := members[0]
	later.Started, later.SoftwareVersion = 200, "v2"
	other := later
	other.ID, other.Address = "x", "10.0.0.9:9"
	f.Update([]Member{later, other}, nil)
	pick(t, f, streamRequest("v2"), start).End(Served, start)
	ids := map[string]bool{}
	for range 40 {
		ids[pick(t, f, streamRequest(began), start).Member.ID] = true
	}
	assert.Len(t, ids, 2, "the version of the process is known by now")
	f.Update(members, nil)
	_, refusal = f.Pick(streamRequest("v1"), start)
	assert.NotNil(t, refusal)
}

// Guards against a continuation that waits at a replica which does not tell which process it is.
func TestSilentProcessIsNotAskedAgainAtOnce(t *testing.T) {
	f, _ := versioned("v1", "v1")
	l := pick(t, f, streamRequest("v1"), start)
	l.RecordProcessSilent(start)
	assert.False(t, l.MayAskProcess(start))
	assert.True(t, l.MayAskProcess(start.Add(processQuestionInterval)))
	for range 8 {
		assert.NotEqual(t, l.Member.ID, pick(t, f, streamRequest("v1"), start).Member.ID)
	}
}

// Guards against a stream of a replica that did not state its software version and goes on at another such replica:
// what is not known is not the same.
func TestUnstatedVersionsDoNotFitWhereOthersAreStated(t *testing.T) {
	f, _ := versioned("", "", "v1")
	_, refusal := f.Pick(streamRequest(""), start)
	assert.NotNil(t, refusal)
	f, _ = versioned("", "")
	_, refusal = f.Pick(streamRequest(""), start)
	assert.Nil(t, refusal, "no replica of the upstream states its version")
}

// Guards against a connection that is taken for one of an earlier process, because that process's last answer was read after
// the connection was opened.
func TestLateReadAnswerDoesNotShowThatProcessLives(t *testing.T) {
	f, _ := versioned("v1")
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	slow := pick(t, f, streamRequest("v1"), at(0))
	require.True(t, slow.RecordProcess(100, at(0)))
	slow.FirstByte(at(10))
	// The process sends the rest and ends; the caller reads slowly. Another process takes over and does not answer yet.
	next := pick(t, f, longAnswerRequest(), at(3000))
	require.False(t, next.ProcessKnown(at(3000), false, at(3000)))
	next.RecordProcessSilent(at(3200))
	slow.End(Served, at(3300))
	assert.False(t, next.ProcessKnown(at(3000), false, at(3400)), "nothing shows which process the connection leads to")
}

// Guards against an answer of the process that replaced the registered one, or an old one of the registered process, which
// is taken as evidence that the registered one was sent a request.
func TestProcessIsProvedAfterwardsByItsOwnAnswerOnly(t *testing.T) {
	f, members := versioned("v1")
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	ask := func(started int64, ms int) {
		l, ok := f.ProcessLease(members[0].ID)
		require.True(t, ok)
		l.RecordProcess(started, at(ms))
	}
	l := pick(t, f, streamRequest("v1"), at(0))
	require.True(t, l.ProcessKnown(at(10), true, at(11)))
	ask(100, 9)
	assert.False(t, l.ProcessProved(), "the connection was opened later")
	ask(200, 20)
	assert.False(t, l.ProcessProved())
	ask(200, 30)
	assert.False(t, l.ProcessProved())

	f, _ = versioned("v1")
	l = pick(t, f, streamRequest("v1"), at(0))
	require.True(t, l.ProcessKnown(at(10), true, at(11)))
	ask(100, 20)
	assert.True(t, l.ProcessProved())
	ask(200, 30)
	assert.True(t, l.ProcessProved(), "the process that began the stream has ended since")
	assert.Equal(t, "v1", l.SoftwareVersion())
	assert.True(t, l.BeginProcessQuestion())
	other, _ := f.ProcessLease(members[0].ID)
	assert.False(t, other.BeginProcessQuestion(), "one question at a time")
	l.EndProcessQuestion()
	assert.True(t, other.BeginProcessQuestion())
}

// Guards against an ended process that is given the version of a registration which another process may have overtaken, and
// against one whose version is unknown although all that was registered after it has the same.
func TestVersionOfEndedProcessNeedsTheRegistrationsAfterIt(t *testing.T) {
	f, members := versioned("v1", "v1")
	m := members[0]
	check := func(want string, message string) {
		t.Helper()
		version, known := f.EndedProcessVersion(m.ID, 100)
		assert.Equal(t, want != "", known, message)
		if known {
			assert.Equal(t, want, version, message)
		}
	}
	check("", "it is registered")
	f.SetMembers(members[1:])
	check("", "its registration has lapsed, and what took its place may have ended unregistered")
	f.SetMembers(members)
	check("", "it is registered again")
	next := m
	next.Started = 90 // the time of day was set back
	f.Update([]Member{next}, nil)
	check("v1", "the next process has the same version")
	l, registered := f.ProcessLease(m.ID)
	require.True(t, registered)
	l.RecordProcess(300, start)
	check("", "a process answers that is not registered")
	next.Started = 300
	f.Update([]Member{next}, nil)
	check("v1", "that process is registered with the same version")
	next.Started, next.SoftwareVersion = 400, "v2"
	f.Update([]Member{next}, nil)
	check("", "a later process has another version")
	f.SetMembers(members[1:])
	check("", "its registration has lapsed after that")
	_, known := f.EndedProcessVersion(m.ID, 50)
	assert.False(t, known, "nothing is known of the process")
	_, known = f.EndedProcessVersion("unheard", 100)
	assert.False(t, known, "nothing is known of the replica")
}

// Guards against registrations that are remembered without a bound.
func TestRememberedRegistrationsAreBounded(t *testing.T) {
	var r registrations
	for i := range 4 * maxRegistered {
		r.note(fmt.Sprint("r", i), registration{started: 1, version: "v"})
	}
	assert.LessOrEqual(t, len(r.current)+len(r.previous), 2*maxRegistered)
	for i := range 4 * maxProcesses {
		r.note("often", registration{started: int64(i), version: "v"})
	}
	assert.LessOrEqual(t, len(r.of("often")), maxProcesses)
	assert.EqualValues(t, 4*maxProcesses-1, r.of("often")[maxProcesses-1].started)
}

// Guards against a list of the registrations that hides a process which has answered without being registered.
func TestListKeepsProcessesThatWereNotRegistered(t *testing.T) {
	f, members := versioned("v1")
	pick(t, f, streamRequest("v1"), start).RecordProcess(200, start)
	f.ListProcesses(members)
	members[0].Started = 300
	f.Update(members, nil)
	version, known := f.EndedProcessVersion(members[0].ID, 100)
	assert.False(t, known, version)
}
