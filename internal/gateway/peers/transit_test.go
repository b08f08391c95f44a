package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

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
