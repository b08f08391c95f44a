package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/rpc"
)

// Guards against delays that are measured from another start of the sender or from before a clock changed, and against
// delays that grow as clocks drift.
func TestTransitDelay(t *testing.T) {
	start := time.Now()
	const ahead = 1000 * time.Hour // the sender's clock
	var m transit
	delay := func(incarnation int64, sent, read time.Duration) time.Duration {
		return m.delay(incarnation, ahead+sent, read, start.Add(read))
	}
	assert.Zero(t, delay(1, 0, time.Second), "the first one counts as fast")
	assert.Equal(t, 3*time.Second, delay(1, 2*time.Second, 6*time.Second))
	assert.Zero(t, delay(1, 7*time.Second, 7*time.Second), "a faster one")
	assert.Equal(t, time.Second, delay(1, 7*time.Second, 8*time.Second))
	assert.Equal(t, 3*time.Minute, delay(1, 9*time.Second, 9*time.Second+3*time.Minute), "a pause longer than the window")
	assert.Zero(t, delay(2, -time.Hour, 4*time.Minute), "the sender started again")
	assert.Equal(t, time.Second, delay(2, -time.Hour+time.Second, 4*time.Minute+2*time.Second))
	assert.Zero(t, delay(2, -2*time.Hour, 5*time.Minute), "its clock was set back by more than the bound")
	assert.Equal(t, time.Second, delay(2, -2*time.Hour, 5*time.Minute+time.Second))
	for at := 6 * time.Minute; at < time.Hour; at += time.Second {
		drift := at / 10_000
		assert.LessOrEqual(t, delay(3, at-drift, at), 2*transitWindow/10_000+time.Millisecond)
	}
}

// Guards against a datagram of an unknown host, of one with an older build or of an earlier start that is taken for a
// delayed one.
func TestTransitDelayOfUnknownSenders(t *testing.T) {
	host := newTestHost(t, "a", "127.0.0.1:1")
	now := time.Now()
	beat := &rpc.Beat{Host: "b", Incarnation: 2, PullAddress: "127.0.0.1:2", SentMs: 5}
	assert.Zero(t, host.transitDelay(beat, now))
	host.Add(beat.PullAddress)
	assert.Zero(t, host.transitDelay(beat, now))
	assert.Equal(t, time.Second, host.transitDelay(beat, now.Add(time.Second)))
	assert.Zero(t, host.transitDelay(&rpc.Beat{Host: "b", Incarnation: 2, PullAddress: "127.0.0.1:2"}, now.Add(time.Second)))
	assert.Zero(t, host.transitDelay(&rpc.Beat{Host: "b", Incarnation: 1, PullAddress: "127.0.0.1:2", SentMs: 1}, now.Add(time.Second)))
	assert.Equal(t, time.Second, host.transitDelay(beat, now.Add(time.Second)), "nothing was started anew")
}

// Guards against a crash that is dated back, because the sender's clocks stood still for a while, as those of a virtual
// machine that is paused.
func TestTransitDelayAfterSendersClockStoodStill(t *testing.T) {
	host := newTestHost(t, "a", "127.0.0.1:1")
	now := time.Now()
	beat := func(sent time.Duration) *rpc.Beat {
		return &rpc.Beat{Host: "b", Incarnation: 2, PullAddress: "127.0.0.1:2", SentMs: uint64((time.Hour + sent).Milliseconds())}
	}
	host.Add(beat(0).PullAddress)
	for at := time.Duration(0); at < 10*time.Second; at += time.Second {
		host.transitDelay(beat(at), now.Add(at))
	}
	const still = 20 * time.Second
	var last time.Duration
	for at := 10 * time.Second; at < 40*time.Second; at += time.Second {
		last = host.transitDelay(beat(at), now.Add(at+still))
	}
	assert.Less(t, last, time.Second, "30 s and 30 datagrams later")
}

// Guards against a crash that is dated back or counted twice, because a host that was not paused takes a clock of the
// sender that stood still for datagrams that were late.
func TestCrashAfterSendersClockStoodStillCountsOnce(t *testing.T) {
	const sound, startMs, still = 5, 1 << 40, 20 * time.Second
	victim, host := newTestHost(t, "victim", "127.0.0.1:1"), newTestHost(t, "host", "127.0.0.1:2")
	start := time.Now()
	for at := time.Duration(0); at < still+time.Second; at += stallCheckInterval {
		if at < time.Second {
			beat := victim.composeHeartbeat(start)
			beat.SentMs = startMs + uint64(at.Milliseconds())
			host.handleDatagram(beat, start.Add(at))
		}
		host.stalls.note(host.suspensions.Age(host.created, start.Add(at)))
	}
	crashed := start.Add(still + time.Second)
	victim.applyCrash(sound, false, "r1", crashed)
	for i, m := range victim.crashReports(t, sound, false, crashed, 4*time.Second, startMs+1000) {
		read := crashed.Add(50*time.Millisecond + time.Duration(i/2)*500*time.Millisecond)
		for tick := read.Add(-400 * time.Millisecond); tick.Before(read); tick = tick.Add(stallCheckInterval) {
			host.stalls.note(host.suspensions.Age(host.created, tick))
		}
		host.handleDatagram(m, read)
	}
	known := host.fleet.RequestReports(true, crashed.Add(4*time.Second))
	require.Len(t, known, 1)
	require.Len(t, known[0].Crashes, 1)
	assert.WithinDuration(t, crashed, known[0].Crashes[0].At, 600*time.Millisecond)
}
