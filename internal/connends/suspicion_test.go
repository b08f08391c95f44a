package connends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against ends of connections that any replica makes by itself being taken for signs of a cut, against signs that are
// missed, and against signs that are kept for ever.
func TestOnlyEndsThatNoReplicaMakesAreSignsOfACut(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		end  connEnd
		sign bool
	}{
		"before the stated time or an answer":     {connEnd{at: now}, true},
		"within an answer":                        {connEnd{at: now, answering: true}, true},
		"idle without a stated time":              {connEnd{at: now, atWill: true}, false},
		"announced, or of an answer that ends so": {connEnd{at: now, expected: true, answering: true}, false},
	} {
		tracker := new(Tracker)
		tracker.noteEnd("address", &c.end)
		assert.Empty(t, tracker.CutSigns(now), "%s: all connections of a process end in one moment", name)
		beside := new(Tracker)
		beside.noteEnd("address", &c.end)
		beside.noteEnd("another", &c.end)
		assert.Equal(t, c.sign, len(beside.CutSigns(now)) > 0, "%s: at two addresses", name)
		c.end.at = now.Add(-time.Second)
		tracker.noteEnd("address", &c.end)
		assert.Equal(t, c.sign, len(tracker.CutSigns(now)) > 0, name)
		tracker.Prune(now.Add(suspicionTime + time.Second))
		assert.Empty(t, tracker.signs, name)
	}
}

// Guards against ends beside that of an answer which are not counted where a busy proxy cuts one connection after the other, and against
// those that are counted although any replica makes them.
func TestEndsNearThatOfAnAnswer(t *testing.T) {
	at := time.Now()
	late, past := at.Add(-NearTime), at.Add(NearTime+time.Millisecond)
	unexpected, atOnce := near([]connEnd{
		{at: late, reserved: true}, {at: at}, {at: past}, {at: at, atWill: true},
		{at: at.Add(SameInstant), expected: true, apart: true}, {at: at, expected: true}, {at: late, expected: true, apart: true},
	}, at)
	assert.Equal(t, 2, unexpected)
	assert.Equal(t, 1, atOnce)
}
