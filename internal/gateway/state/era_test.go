package state

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/objectstore"
)

// inEra returns the registration in an era of the store.
func inEra(era uint64, r Registration) Registration {
	r.Era = era
	return r
}

func leavingEntry(id string, revision uint64) Registration {
	r := registration(id, revision)
	r.Leaving = true
	return r
}

// list applies a full list of an era to the registry.
func (g *registry) list(era, asOf uint64, now time.Time, entries ...Registration) {
	if era > g.era {
		g.beginEra(era)
	}
	listed := make(map[string]bool)
	for _, e := range entries {
		listed[e.ID] = true
		g.merge(inEra(era, e), true, now)
	}
	g.applyFullList(listed, asOf, true, now)
}

// usable returns the IDs of the replicas that may get requests.
func (g *registry) usable(now time.Time) []string {
	ids := []string{}
	for id, e := range g.entries {
		if e.inUse(now) && !e.Leaving {
			ids = append(ids, id)
		}
	}
	return ids
}

// Guards against entries of a restored store that lose against what a host had before because
// revisions begin again at a lower number.
func TestEntriesOfLaterEraHold(t *testing.T) {
	g := newRegistry(testMaxWithdrawTime, testLapse)
	g.list(1, 50, start, registration("a", 40), registration("b", 50))
	g.list(2, 20, start, registration("a", 12), registration("b", 20))
	g.merge(inEra(2, leavingEntry("a", 21)), false, start)
	assert.ElementsMatch(t, []string{"b"}, g.usable(start))
	assert.False(t, g.merge(inEra(1, registration("a", 60)), false, start), "an entry of the earlier era")
	g.merge(inEra(2, removal("b", 22)), false, start)
	assert.Empty(t, g.usable(start))
	g.merge(inEra(2, registration("b", 23)), false, start)
	assert.ElementsMatch(t, []string{"b"}, g.usable(start))
	assert.Len(t, g.since(21), 1)
	assert.EqualValues(t, 23, g.revision)
}

// Guards against replicas that had left before the store came back from a copy in which they have
// not, and against replicas that are not used any more although they are alive.
func TestRestoredEntriesOfReplicasThatLeft(t *testing.T) {
	g := newRegistry(testMaxWithdrawTime, testLapse)
	g.list(1, 30, start, registration("drained", 11), registration("gone", 12), registration("restarted", 13), registration("alive", 14), registration("writes", 15))
	g.merge(inEra(1, leavingEntry("drained", 31)), false, start)
	g.merge(inEra(1, removal("drained", 32)), false, start)
	for i, id := range []string{"gone", "restarted", "alive", "writes"} {
		g.merge(inEra(1, removal(id, uint64(33+i))), false, start)
	}
	now := start.Add(testMaxWithdrawTime) // holds have ended
	require.Empty(t, g.usable(now))

	restarted := registration("restarted", 13)
	restarted.Started = 7
	g.list(2, 16, now, registration("drained", 11), registration("gone", 12), restarted, registration("alive", 14), registration("writes", 15))
	assert.ElementsMatch(t, []string{"restarted"}, g.usable(now), "another process under the ID")
	g.merge(inEra(2, registration("writes", 17)), false, now)
	assert.ElementsMatch(t, []string{"restarted", "writes"}, g.usable(now), "an entry written since the restore")
	g.merge(inEra(2, removal("gone", 18)), true, now)
	assert.ElementsMatch(t, []string{"restarted", "writes"}, g.usable(now), "the removal of an entry that was not used starts no hold")
	g.merge(inEra(2, registration("drained", 19)), false, now)

	now = now.Add(testLapse)
	g.takeChanges(now)
	assert.True(t, g.expire(now), "a replica that comes into use is a change")
	changed, _ := g.takeChanges(now)
	assert.Equal(t, []string{"alive"}, memberIDs(changed))
	assert.ElementsMatch(t, []string{"restarted", "writes", "alive"}, g.usable(now), "its entry did not lapse")
}

// Guards against dropping all replicas that registered in the time that the store lost: they write
// their entries again.
func TestEntriesThatTheStoreLostAreHeld(t *testing.T) {
	g := newRegistry(testMaxWithdrawTime, testLapse)
	g.list(1, 30, start, registration("a", 11), registration("new", 30), leavingEntry("leaving", 29))
	g.list(2, 12, start, registration("a", 11))
	assert.ElementsMatch(t, []string{"a", "new"}, g.usable(start))
	g.merge(inEra(2, registration("new", 13)), false, start.Add(time.Second))
	later := start.Add(2 * testMaxWithdrawTime)
	g.expire(later)
	assert.ElementsMatch(t, []string{"a", "new"}, g.usable(later))
}

// Guards against hosts that take entries of before the restore from a host that has not heard of it,
// ask such a host for newer ones, or do not get those of the new era because their revisions are lower.
func TestHostsWithEntriesOfDifferentEras(t *testing.T) {
	ahead, _ := newTestState(t, nil)
	late, _ := newTestState(t, nil)
	publish := func(s *State, m Members) { require.NoError(t, s.Publish(m)) }
	before := Members{Source: FromStore, Era: 1, Complete: true, AsOf: 90, Entries: []Registration{registration("a", 80), registration("b", 90)}}
	publish(ahead, before)
	publish(late, before)
	publish(ahead, Members{Source: FromStore, Era: 2, Complete: true, AsOf: 20, Entries: []Registration{registration("a", 11)}})
	publish(ahead, Members{Source: FromStore, Era: 2, AsOf: 21, Entries: []Registration{leavingEntry("a", 21)}})

	assert.True(t, late.MembersAhead(ahead.MembersEra(), ahead.MembersRevision()))
	assert.False(t, ahead.MembersAhead(late.MembersEra(), late.MembersRevision()))
	assert.True(t, late.MembersAhead(0, 91), "a host that does not tell an era")

	pull := func(from, to *State) {
		entries, era, asOf, complete := from.MembersSince(to.MembersEra(), to.MembersAsOf())
		publish(to, Members{Source: FromPeer, Era: era, Complete: complete, AsOf: asOf, Entries: entries})
	}
	pull(late, ahead)
	_, usable := ahead.opts.Fleet.ReplicaCounts("pool", time.Now())
	assert.Equal(t, 1, usable, "b, which is held; a drains")
	assert.EqualValues(t, 2, ahead.MembersEra())
	pull(ahead, late)
	assert.EqualValues(t, 2, late.MembersEra())
	assert.Equal(t, ahead.MembersAsOf(), late.MembersAsOf())
	assert.Equal(t, ahead.MembersRevision(), late.MembersRevision())
	assert.False(t, late.MembersAhead(ahead.MembersEra(), ahead.MembersRevision()))
	assert.EqualValues(t, 2, late.StoreEra(), "a host that hears of the restore from a peer")
	publish(ahead, Members{Source: FromPeer, Era: 0, AsOf: 22, Entries: []Registration{registration("c", 22)}})
	_, usable = ahead.opts.Fleet.ReplicaCounts("pool", time.Now())
	assert.Equal(t, 2, usable, "entries of a host that does not tell eras count as those of this host's")
}

// Guards against a starting host that refuses the changes of a peer because it has no list of their era.
func TestStartingHostTakesEntriesOfAnyEra(t *testing.T) {
	s, _ := newTestState(t, nil)
	require.NoError(t, s.Publish(Members{Source: FromPeer, Era: 3, Entries: []Registration{registration("a", 5)}}))
	known, _ := s.opts.Fleet.ReplicaCounts("pool", time.Now())
	assert.Equal(t, 1, known)
	assert.EqualValues(t, 3, s.MembersEra())
	assert.Zero(t, s.MembersAsOf(), "it still needs a full list")
}

// Guards against a watch that goes on from a revision of before the restore, which the store has
// reached again, and against a host that writes nothing again of what the store lost.
func TestNewEraRestartsWatchers(t *testing.T) {
	s, ctx := newTestState(t, nil)
	told := make(chan struct{}, 10)
	s.opts.OnNewEra = func() { told <- struct{}{} }
	store := newScriptedStore()
	store.era.Store(3)
	apply := func(r objectstore.Revisions, complete bool) error {
		return s.Publish(Members{Source: FromStore, Era: r.Era, Complete: complete, AsOf: r.AsOf})
	}
	times := WatchTimes{Wait: time.Hour}
	config := &Watcher{Store: store, Kind: "config", State: s, Logger: zerolog.Nop(), Times: times, Apply: func(objectstore.Revisions, bool) error { return nil }}
	members := &Watcher{Store: store, Kind: "members", State: s, Logger: zerolog.Nop(), Times: times, Apply: apply}
	config.Others, members.Others = []*Watcher{members}, []*Watcher{config}
	go config.Run(ctx)
	go members.Run(ctx)
	require.Eventually(t, func() bool { return store.listCalls("config") == 1 && store.listCalls("members") == 1 }, 10*time.Second, time.Millisecond)
	assert.Empty(t, told, "the first era that a host hears of is not a restore")
	store.era.Store(4)
	store.watches["config"] <- nil
	assert.Eventually(t, func() bool { return store.listCalls("config") == 2 && store.listCalls("members") == 2 }, 10*time.Second, time.Millisecond)
	assert.Eventually(t, func() bool { return s.MembersEra() == 4 && s.StoreEra() == 4 && len(told) == 1 }, 10*time.Second, time.Millisecond)
}
