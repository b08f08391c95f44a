package connends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against sound answers that end one after another while the host is cut off, the last ones of which are taken for
// broken.
func TestEndsAreTogetherOnlyIfTheyAreMoreThanUsual(t *testing.T) {
	at := time.Now()
	const step = 40 * time.Millisecond // four others end within endedTogetherTime
	var ends []connEnd
	for i := range 10 {
		ends = append(ends, connEnd{at: at.Add(-time.Duration(i) * step), expected: true})
	}
	assert.False(t, together(ends, at), "the last of many that end one after another")
	assert.False(t, together(ends, at.Add(-5*step)), "others end later")
	assert.True(t, together(ends[:3], at), "none before")
	few := append(ends[6:9:9], connEnd{at: at, expected: true}, connEnd{at: at.Add(time.Millisecond), expected: true})
	assert.True(t, together(few, at), "two at once, three before")
	assert.False(t, together(append(ends[3:10:10], few[3:]...), at.Add(-endedAtOnceTime-1)), "not at once")
	ends = append(ends, connEnd{at: at, expected: false})
	assert.True(t, together(ends, at), "one ends that would have lived on")
	assert.False(t, together(ends, at.Add(-5*step)))
}

// Guards against sound responses that are taken for cut on the way at a replica that closes connections at any time, and
// against a cut that is not noticed because another one preceded it.
func TestCutNeedsMoreEndsThanChance(t *testing.T) {
	at := time.Now()
	end := func(before time.Duration) connEnd { return connEnd{at: at.Add(-before)} }
	isCut := func(anyOpen bool, ends ...connEnd) bool {
		_, common := cut(ends, at, anyOpen, nil)
		return common
	}
	const moment, later = endedAtOnceTime / 2, endedTogetherTime / 2
	assert.False(t, isCut(false))
	assert.True(t, isCut(false, end(0)), "the only other connection")
	assert.True(t, isCut(true, end(moment)), "others live on")
	assert.True(t, isCut(false, end(-later)), "a little later, and none lives on")
	assert.False(t, isCut(true, end(-later)), "a little later, and others live on")
	assert.False(t, isCut(false, end(2*endedTogetherTime)), "before")
	assert.False(t, isCut(false, end(0), end(500*time.Millisecond)), "one ended a while ago too")
	assert.True(t, isCut(false, end(0), end(moment), end(500*time.Millisecond), end(501*time.Millisecond)), "two of each of two cuts")
	assert.False(t, isCut(false, connEnd{at: at, expected: true}, connEnd{at: at, atWill: true}), "these may end at any time")
}

// Guards against the second of two cuts that is not noticed, as the ends of the first one count as chance, and against a
// whole answer that is taken for cut because its replica broke off one other answer.
func TestCutAfterAnotherCut(t *testing.T) {
	at := time.Now()
	before := at.Add(-800 * time.Millisecond)
	_, common := cut([]connEnd{{at: at}, {at: before}}, at, true, []time.Time{before})
	assert.True(t, common)
	_, common = cut([]connEnd{{at: at, answering: true}}, at, true, nil)
	assert.False(t, common, "one answer")
	_, common = cut([]connEnd{{at: at, answering: true}, {at: at, answering: true}}, at, true, nil)
	assert.True(t, common, "two answers")
}

// Guards against a cut of a share of this host's connections that is not noticed, because the other connections to the
// replica live on, and against answers that are taken for cut because another replica ends, or several one after another.
func TestCutOfShareOfConnectionsShowsElsewhere(t *testing.T) {
	at := time.Now()
	isCut := func(ends ...[]connEnd) bool {
		_, common := cutElsewhere(ends, at, false, nil)
		return common
	}
	then, usual := connEnd{at: at}, connEnd{at: at, atWill: true}
	assert.True(t, isCut([]connEnd{then}, []connEnd{then, then}), "at two replicas")
	assert.False(t, isCut([]connEnd{then, then, then}), "one replica ends")
	assert.False(t, isCut([]connEnd{then}, []connEnd{usual}, []connEnd{{at: at, expected: true}}))
	var released [][]connEnd
	for i := range 5 {
		released = append(released, []connEnd{{at: at.Add(-time.Duration(i) * 200 * time.Millisecond)}})
	}
	assert.False(t, isCut(released...), "one after another")
	assert.False(t, isCut(append(released, []connEnd{then})...), "two of them by chance at once")
}

// Guards against cuts that are not noticed where connections end all the time, although such as had just been used for questions end in
// the moment of an answer.
func TestEndsOfReservedConnectionsShowACut(t *testing.T) {
	at := time.Now()
	usual := []connEnd{{at: at.Add(-300 * time.Millisecond)}, {at: at.Add(-600 * time.Millisecond)}, {at: at.Add(-900 * time.Millisecond)}}
	_, common := cut(append([]connEnd{{at: at}}, usual...), at, true, nil)
	assert.False(t, common, "a connection ends as others do")
	_, common = cut(append([]connEnd{{at: at, reserved: true}}, usual...), at, true, nil)
	assert.True(t, common, "a reserved connection")
	_, common = cut(append([]connEnd{{at: at, reserved: true, atWill: true}}, usual...), at, true, nil)
	assert.False(t, common, "a reserved connection that the replica may close at any time")
	_, common = cut([]connEnd{{at: at, reserved: true, atWill: true}, {at: at, reserved: true, atWill: true}}, at, true, nil)
	assert.True(t, common, "two of these at once")
	reserved := []connEnd{{at: at, reserved: true}}
	_, common = cutElsewhere([][]connEnd{reserved, usual}, at, true, nil)
	assert.False(t, common, "at one replica")
	_, common = cutElsewhere([][]connEnd{reserved, reserved, usual}, at, true, nil)
	assert.True(t, common, "at two replicas")
}

// Guards against sound answers that are taken for cut because connections to other replicas end some time before or after, while others
// to their own live on.
func TestCutElsewhereAtAnotherMomentShowsNothing(t *testing.T) {
	at := time.Now()
	later := []connEnd{{at: at.Add(50 * time.Millisecond), reserved: true}}
	_, common := cutElsewhere([][]connEnd{later, later}, at, true, nil)
	assert.False(t, common)
	_, common = cutElsewhere([][]connEnd{later, later}, at, false, nil)
	assert.True(t, common, "no other connection to the replica tells")
}
