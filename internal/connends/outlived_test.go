package connends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against part of an answer that is passed off as whole because of connections that do not show that its process lived on, and against
// connections that show it and are not used.
func TestConnectionsOutliveAnAnswerOnlyIfTheirProcessLivedOn(t *testing.T) {
	const process, opened, long = 7, 10 * time.Second, 2 * outlivedTime
	at := time.Now()
	after := func(d time.Duration) connEnd {
		return connEnd{openedAt: at.Add(-opened), at: at.Add(d), lastOpen: at.Add(d)}
	}
	late := func(end connEnd) connEnd { end.openedAt = at.Add(-outlivedTime / 2); return end }
	unseen := func(end connEnd) connEnd { end.lastOpen = at.Add(-time.Second); return end }
	expected := func(end connEnd) connEnd { end.expected = true; return end }
	for _, c := range []struct {
		name     string
		ends     []connEnd
		started  int64
		outlived bool
	}{
		{"two ended long after it", []connEnd{after(long), after(long)}, process, true},
		{"beside another answer that ended with it", []connEnd{after(long), after(long), expected(after(0))}, process, true},
		{"one ended long after it", []connEnd{after(long)}, process, false},
		{"they ended with it", []connEnd{after(0), after(0)}, process, false},
		{"they ended a little later", []connEnd{after(NearTime), after(NearTime)}, process, false},
		{"one ended a little later", []connEnd{after(NearTime), after(long), after(long)}, process, false},
		{"one ended a little before", []connEnd{after(-NearTime), after(long), after(long)}, process, false},
		{"they may lead to the next process", []connEnd{late(after(long)), late(after(long))}, process, false},
		{"their process is not known", []connEnd{after(long), after(long)}, 0, false},
		{"the date of an end is not certain", []connEnd{after(long), unseen(after(long))}, process, false},
	} {
		tracker := new(Tracker)
		ending, far := pair(t, tracker, listen(t))
		ending.BeginAnswer(true)
		assert.NoError(t, far.Close())
		_, _ = ending.raw.Read(make([]byte, 1))
		ending.end.Store(&connEnd{conn: ending, openedAt: at.Add(-opened), at: at, expected: true})
		for _, end := range c.ends {
			end.conn = new(Conn)
			end.conn.LeadsTo(c.started)
			tracker.ended[ending.address] = append(tracker.ended[ending.address], end)
		}
		if c.outlived {
			assert.Equal(t, []int64{c.started}, tracker.Outlived(ending, time.Now()), c.name)
		} else {
			assert.Empty(t, tracker.Outlived(ending, time.Now()), c.name)
		}
	}
}

// Guards against an end that is dated by the acknowledgment of a later keep-alive probe and counts as late.
func TestConnectionIsKnownToBeOpenUntilItsEndOnlyIfSeenShortlyBefore(t *testing.T) {
	end := time.Now()
	for _, seen := range []time.Duration{0, maxUnseenTime / 2, maxUnseenTime, 3 * maxUnseenTime} {
		c := &Conn{openedAt: end.Add(-time.Minute)}
		c.noteOpen(end.Add(-seen))
		want := end
		if seen >= maxUnseenTime {
			want = end.Add(-seen)
		}
		assert.Equal(t, want, c.lastOpen(end), "seen open %v before", seen)
	}
}

// Guards against connections that are still open and count only once they have ended.
func TestOpenConnectionsOutliveAnAnswer(t *testing.T) {
	const process = 7
	tracker, listener := new(Tracker), listen(t)
	ending, far := pair(t, tracker, listener)
	for range minOutlived {
		other, _ := pair(t, tracker, listener)
		other.LeadsTo(process)
	}
	time.Sleep(2 * outlivedTime)
	ending.BeginAnswer(true)
	closedAt := time.Now()
	assert.NoError(t, far.Close())
	_, _ = ending.raw.Read(make([]byte, 1))
	if processes := tracker.Outlived(ending, time.Now()); time.Since(closedAt) <= outlivedTime {
		assert.Empty(t, processes, "right after the end")
	}
	time.Sleep(2 * outlivedTime)
	assert.Equal(t, []int64{process}, tracker.Outlived(ending, time.Now()))
}
