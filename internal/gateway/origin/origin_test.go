package origin

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an answer that names another version than the one that began a stream, over random
// sequences of versions that come and leave, streams, reports and restarts. Recorded and Only may know
// nothing, but what they say must be true for each stream that may still be taken up.
func TestOriginIsNeverWrong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		type stream struct {
			Entry
			began time.Time
		}
		var streams []stream
		inUse := map[Origin]bool{{"pool", "v0"}: true}
		stored := map[Origin]bool{} // what an originKeeper wrote
		next := 1
		hosts := []*Tracker{NewTracker(), NewTracker()}
		for _, h := range hosts {
			h.AddEarlier(nil, true, now)
			h.SetInUse(inUse, now)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
			i := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
			switch rapid.SampledFrom([]string{"begin", "begin", "arrive", "leave", "report", "restart"}).Draw(t, "step") {
			case "begin":
				for o := range inUse {
					id := fmt.Sprint(len(streams))
					hosts[i].Record(id, o, now)
					streams = append(streams, stream{Entry{StreamID(id), o}, now})
					break
				}
			case "arrive", "leave":
				changed := map[Origin]bool{}
				for o := range inUse {
					changed[o] = true
				}
				if changed[Origin{"pool", fmt.Sprintf("v%d", next)}] = true; len(inUse) > 1 {
					for o := range inUse {
						delete(changed, o)
						break
					}
				}
				next++
				inUse = changed
				for _, h := range hosts {
					h.SetInUse(inUse, now)
				}
			case "report":
				hosts[1-i].Apply(hosts[i].TakePending(), now)
			case "restart":
				open := hosts[i].Open(now)
				hosts[i] = NewTracker()
				hosts[i].SetInUse(inUse, now)
				var earlier []Origin
				for o := range stored {
					earlier = append(earlier, o)
				}
				hosts[i].Apply(open, now)
				hosts[i].AddOpen(open, now)
				hosts[i].AddEarlier(earlier, true, now)
			}
			stored = hosts[0].Versions(now)
			for o := range hosts[1].Versions(now) {
				stored[o] = true
			}
			for _, h := range hosts {
				only, single := h.Only([]string{"pool"}, now)
				for _, s := range streams {
					if now.Sub(s.began) > Retention {
						continue
					}
					if o, known := h.Recorded(s.Stream); known {
						assert.Equal(t, s.Origin, o)
					} else if single {
						assert.Equal(t, s.Origin, only)
					}
				}
			}
		}
	})
}

// Guards against a host that takes the versions that it sees after its start for all that there were: the
// last version may have left just before.
func TestStartedHostDoesNotInferOrigins(t *testing.T) {
	now := time.Unix(0, 0)
	tracker := NewTracker()
	tracker.SetInUse(map[Origin]bool{{"pool", "v2"}: true}, now)
	_, ok := tracker.Only([]string{"pool"}, now)
	assert.False(t, ok)
	_, ok = tracker.Only([]string{"pool"}, now.Add(Retention))
	assert.True(t, ok, "streams of before are over")
	tracker.AddEarlier([]Origin{{"pool", "v1"}}, true, now)
	_, ok = tracker.Only([]string{"pool"}, now.Add(time.Second))
	assert.False(t, ok, "v1 has just left")
}

// Guards against streams that began while their version was the only one, and that no other host knows of
// when a second version comes.
func TestStreamsAreReportedWhenSecondVersionComes(t *testing.T) {
	now := time.Unix(0, 0)
	tracker := NewTracker()
	v1, v2 := Origin{"pool", "v1"}, Origin{"pool", "v2"}
	tracker.SetInUse(map[Origin]bool{v1: true}, now)
	tracker.Record("a", v1, now)
	assert.Empty(t, tracker.TakePending())
	assert.Empty(t, tracker.Open(now))
	tracker.SetInUse(map[Origin]bool{v1: true, v2: true}, now)
	assert.Equal(t, []Entry{{StreamID("a"), v1}}, tracker.TakePending())
	assert.Equal(t, []Entry{{StreamID("a"), v1}}, tracker.Open(now))
	tracker.Complete("a")
	assert.Empty(t, tracker.Open(now))
	o, known := tracker.Recorded(StreamID("a"))
	assert.True(t, known, "the caller may have missed the end")
	assert.Equal(t, v1, o)
}

// Guards against memory that grows with the number of streams.
func TestStreamsAreForgotten(t *testing.T) {
	now := time.Unix(0, 0)
	tracker := NewTracker()
	v1, v2 := Origin{"pool", "v1"}, Origin{"pool", "v2"}
	tracker.SetInUse(map[Origin]bool{v1: true, v2: true}, now)
	for i := range 3 * maxStreams {
		tracker.Record(fmt.Sprint(i), v1, now)
	}
	assert.LessOrEqual(t, len(tracker.current)+len(tracker.previous), 2*maxStreams)
	assert.LessOrEqual(t, len(tracker.open), maxOpen)
	assert.LessOrEqual(t, len(tracker.pending), maxPending)
	now = now.Add(Retention + time.Second)
	assert.Empty(t, tracker.Open(now))
	tracker.Record("last", v2, now)
	_, known := tracker.Recorded(StreamID(fmt.Sprint(3*maxStreams - 1)))
	assert.True(t, known)
}

// Guards against an origin that was found and is replaced by a late report of what had been assumed, or that is not told
// to the hosts which know the assumption only.
func TestKnownOriginReplacesAssumedOne(t *testing.T) {
	tracker, now := NewTracker(), time.Unix(1000, 0)
	known := Origin{Upstream: "pool", Version: "v1"}
	assumed := Origin{Upstream: "pool", Version: AssumedVersion("r/0", -7)}
	id, started, ok := ParseAssumedVersion(assumed.Version)
	require.True(t, ok)
	assert.Equal(t, "r/0", id)
	assert.EqualValues(t, -7, started)
	_, _, ok = ParseProcessVersion(assumed.Version)
	assert.False(t, ok)
	_, _, ok = ParseAssumedVersion(ProcessVersion("r/0", -7))
	assert.False(t, ok)

	tracker.SetInUse(map[Origin]bool{known: true}, now)
	tracker.Record("a", assumed, now)
	assert.Len(t, tracker.TakePending(), 1)
	assert.Len(t, tracker.Open(now), 1)
	tracker.Record("a", known, now)
	assert.Equal(t, []Entry{{Stream: StreamID("a"), Origin: known}}, tracker.TakePending())
	assert.Empty(t, tracker.Open(now), "it follows from the registrations")
	tracker.Apply([]Entry{{Stream: StreamID("a"), Origin: assumed}}, now)
	o, _ := tracker.Recorded(StreamID("a"))
	assert.Equal(t, known, o)
	tracker.Complete("a")
	tracker.Record("b", assumed, now)
	tracker.Complete("b")
	tracker.Record("b", known, now)
	assert.Empty(t, tracker.open)
}

// Guards against a host that records no more origins because processes that come and go have used up their number.
func TestOriginsOfManyProcesses(t *testing.T) {
	tracker, now := NewTracker(), time.Unix(1000, 0)
	const streams, perProcess = 300_000, 4
	for i := range streams {
		o := Origin{Upstream: "pool", Version: AssumedVersion("r0", int64(i/perProcess))}
		tracker.Record(strconv.Itoa(i), o, now.Add(time.Duration(i)*time.Millisecond))
		before := max(i-1000, 0)
		recorded, ok := tracker.Recorded(StreamID(strconv.Itoa(before)))
		require.True(t, ok)
		require.Equal(t, AssumedVersion("r0", int64(before/perProcess)), recorded.Version)
	}
}

// Guards against streams that nobody but their host knows when the store goes away: no other host can then infer their origins, as
// it cannot tell that there is no further version.
func TestStreamsAreReportedWhileTheStoreIsLost(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker()
	v1 := Origin{"pool", "v1"}
	tracker.SetInUse(map[Origin]bool{v1: true}, now)
	tracker.Record("before", v1, now)
	assert.Empty(t, tracker.TakePending(), "others can infer it")
	tracker.SetStoreLost(true, now)
	assert.Equal(t, []Entry{{StreamID("before"), v1}}, tracker.TakePending())
	tracker.Record("meanwhile", v1, now)
	tracker.SetStoreLost(true, now)
	assert.Equal(t, []Entry{{StreamID("meanwhile"), v1}}, tracker.TakePending())
	assert.Empty(t, tracker.Open(now), "none is written to the store")
	tracker.SetStoreLost(false, now)
	tracker.Record("after", v1, now)
	assert.Empty(t, tracker.TakePending())
}

// Guards against an inference from a history of versions that has a gap, until what others have stored of it was read, and against
// one from what a restored store still has.
func TestOriginIsNotInferredFromHistoryWithGap(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker()
	v1 := Origin{"pool", "v1"}
	tracker.SetInUse(map[Origin]bool{v1: true}, now)
	tracker.AddEarlier(nil, true, now)
	only := func() bool {
		_, ok := tracker.Only([]string{"pool"}, now)
		return ok
	}
	require.True(t, only())
	before, changed := tracker.Missed()
	tracker.MissVersions(now)
	assert.False(t, only())
	after, _ := tracker.Missed()
	assert.Equal(t, before+1, after)
	assert.Len(t, changed, 1)
	tracker.AddEarlier([]Origin{v1}, true, now)
	assert.True(t, only())

	tracker.Record("before", v1, now)
	assert.Empty(t, tracker.TakePending())
	tracker.LoseVersions(now)
	tracker.AddEarlier([]Origin{v1}, true, now)
	assert.False(t, only(), "what was written last is lost")
	assert.Len(t, tracker.TakePending(), 1, "no host can infer it")
	now = now.Add(Retention)
	assert.True(t, only(), "the streams of that time are over")
}

// Guards against versions that hosts tell each other of for ever after they have gone.
func TestVersionsOfOtherHostsAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	v1, v2 := Origin{"pool", "v1"}, Origin{"pool", "v2"}
	a, b := NewTracker(), NewTracker()
	for _, tracker := range []*Tracker{a, b} {
		tracker.SetInUse(map[Origin]bool{v1: true, v2: true}, now)
		tracker.SetInUse(map[Origin]bool{v2: true}, now)
	}
	c := NewTracker()
	c.Record("begun at v1", v1, now)
	c.AddVersions(a.Recent(now), now)
	assert.Len(t, c.TakePending(), 1, "another version has come")
	for range 20 {
		now = now.Add(Retention / 10)
		a.AddVersions(b.Recent(now), now)
		b.AddVersions(a.Recent(now), now)
	}
	assert.Equal(t, map[Origin]bool{v2: true}, a.Versions(now))
	assert.Equal(t, map[Origin]bool{v2: true}, b.Versions(now))
}

// Guards against a wrong report of one host that makes all others go on with a stream at another version.
func TestKnownOriginOfStreamDoesNotChange(t *testing.T) {
	now := time.Unix(1000, 0)
	v1, v2 := Origin{"pool", "v1"}, Origin{"pool", "v2"}
	keeper := NewTracker()
	keeper.SetInUse(map[Origin]bool{v1: true, v2: true}, now)
	keeper.Record("a", v2, now)
	keeper.TakePending()
	for _, later := range []string{v1.Version, ProcessVersion("r0", 2), AssumedVersion("r0", 2), UnknownVersion} {
		keeper.Apply([]Entry{{StreamID("a"), Origin{"pool", later}}}, now)
		keeper.Record("a", Origin{"pool", later}, now)
		o, _ := keeper.Recorded(StreamID("a"))
		assert.Equal(t, v2, o, "%q", later)
		assert.Empty(t, keeper.TakePending(), "%q", later)
	}
	assert.Equal(t, []Entry{{StreamID("a"), v2}}, keeper.Open(now))
	keeper.Apply([]Entry{{StreamID("b"), Origin{"pool", ProcessVersion("r0", 2)}}, {StreamID("b"), v2}}, now)
	o, _ := keeper.Recorded(StreamID("b"))
	assert.Equal(t, v2, o, "the registration of the process has come")
}

// Guards against a write to the store for each stream whose process is found out soon, and against streams that are never written
// as their process is not.
func TestStreamsOfUnprovenProcessesAreStoredOnlyIfTheyStaySo(t *testing.T) {
	now := time.Unix(1000, 0)
	v1, v2 := Origin{"pool", "v1"}, Origin{"pool", "v2"}
	assumed := Origin{"pool", AssumedVersion("r0", 1)}
	tracker := NewTracker()
	tracker.SetInUse(map[Origin]bool{v1: true}, now)
	tracker.Record("proved", assumed, now)
	tracker.Record("unproved", assumed, now)
	settled, unsettled := tracker.OpenSettled(now)
	assert.Empty(t, settled)
	assert.Len(t, unsettled, 2)
	tracker.Record("proved", v1, now.Add(settleTime/2))
	settled, unsettled = tracker.OpenSettled(now.Add(settleTime))
	assert.Equal(t, []Entry{{StreamID("unproved"), assumed}}, settled)
	assert.Empty(t, unsettled)

	tracker.Record("beside another version", assumed, now.Add(settleTime))
	tracker.SetInUse(map[Origin]bool{v1: true, v2: true}, now.Add(settleTime))
	settled, unsettled = tracker.OpenSettled(now.Add(settleTime))
	assert.Len(t, settled, 3, "nobody can infer their origins")
	assert.Empty(t, unsettled)
}
