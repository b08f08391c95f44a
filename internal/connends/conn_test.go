package connends

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// pair returns both ends of a connection, of which the tracker tracks the first.
func pair(t *testing.T, tracker *Tracker, listener net.Listener) (near *Conn, far net.Conn) {
	raw, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	far, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = far.Close() })
	return tracker.Add(listener.Addr().String(), raw), far
}

func listen(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// Guards against a sound answer that is taken for cut because another one ended with it whose head had not been noticed by then, and
// against a cut that is not noticed as it ended a connection that awaited an answer.
func TestEndOfAnswerThatHasJustBegunShowsNoCut(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\n\r\nok"
	for _, c := range []struct {
		name           string
		before, answer string // the answers to an earlier request and to the latest one
		read           int    // of the latter, without notice
		isCut          bool
	}{
		{"unread", "", unframed, 0, false},
		{"read", "", unframed, len(unframed), false},
		{"awaited", "", "", 0, true},
		{"unread, after another", "earlier", unframed, 0, false},
		{"read, after another", "earlier", unframed, len(unframed), false},
		{"awaited, after another", "earlier", "", 0, true},
	} {
		tracker := new(Tracker)
		listener := listen(t)
		ending, farEnding := pair(t, tracker, listener)
		other, farOther := pair(t, tracker, listener)
		if c.before != "" {
			_, err := fmt.Fprint(farOther, c.before)
			require.NoError(t, err)
			_, err = io.ReadFull(other.raw, make([]byte, len(c.before)))
			require.NoError(t, err)
			other.BeginAnswer(false)
			other.EndAnswer(true)
			other.Use()
		}
		ending.BeginAnswer(true)
		_, err := fmt.Fprint(farOther, c.answer)
		require.NoError(t, err)
		_, err = io.ReadFull(other.raw, make([]byte, c.read))
		require.NoError(t, err)
		require.NoError(t, farOther.Close())
		require.NoError(t, farEnding.Close())
		_, err = ending.raw.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		time.Sleep(5 * time.Millisecond)
		assert.Equal(t, c.isCut, tracker.EndOfAnswer(ending, time.Now()).Cut, c.name)
	}
}

// Guards against an answer that is compared with its own connection because that has been closed by then, and against one whose end
// seems to come later for that reason.
func TestRemovedConnectionIsNotComparedWithItself(t *testing.T) {
	tracker := new(Tracker)
	ending, far := pair(t, tracker, listen(t))
	require.NoError(t, far.Close())
	_, err := ending.raw.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	ending.Remove()
	require.NoError(t, ending.raw.Close())
	time.Sleep(2 * endedTogetherTime)
	seen := tracker.EndOfAnswer(ending, time.Now())
	assert.False(t, seen.Cut)
	assert.Zero(t, seen.Ended)
	assert.Greater(t, time.Since(ending.EndedAt(time.Now())), endedTogetherTime)
}

// Guards against a cut that is not noticed because the only other connection is taken for that of the answer, which has been closed.
func TestOtherConnectionIsAwaitedAfterRemoval(t *testing.T) {
	const within = 50 * time.Millisecond
	tracker := new(Tracker)
	listener := listen(t)
	ending, _ := pair(t, tracker, listener)
	other, _ := pair(t, tracker, listener)
	awaited := func() bool {
		began := time.Now()
		tracker.AwaitOthers(t.Context(), ending, began, within)
		return time.Since(began) >= within
	}
	assert.True(t, awaited())
	ending.Remove()
	assert.True(t, awaited())
	other.Remove()
	assert.False(t, awaited())
}

// Guards against ends of connections to replicas that are gone being kept for ever by a client that does not prune them.
func TestEndsOfVanishedReplicasAreForgotten(t *testing.T) {
	tracker := new(Tracker)
	ended, far := pair(t, tracker, listen(t))
	require.NoError(t, far.Close())
	time.Sleep(5 * time.Millisecond)
	ended.Remove()
	require.Equal(t, 1, tracker.Addresses())
	time.Sleep(endRetention + 10*time.Millisecond)
	open, _ := pair(t, tracker, listen(t))
	assert.Equal(t, 1, tracker.Addresses())
	open.Remove()
	assert.Zero(t, tracker.Addresses())
}

// Guards against a connection for questions that was used long ago being taken for one that no replica closes.
func TestReservedConnectionShowsACutForAWhile(t *testing.T) {
	for _, c := range []struct {
		until time.Time
		shows bool
	}{{time.Now().Add(-time.Second), false}, {time.Now().Add(time.Minute), true}, {time.Time{}, true}} {
		tracker := new(Tracker)
		conn, far := pair(t, tracker, listen(t))
		conn.Reserve(c.until)
		require.NoError(t, far.Close())
		time.Sleep(5 * time.Millisecond)
		end, _, ended := conn.state()
		assert.True(t, ended)
		assert.Equal(t, c.shows, end.reserved)
		conn.Use()
		end, _, _ = conn.state()
		assert.False(t, end.reserved)
	}
}

// Guards against ends and last bytes that are dated too early where this host waits for a lock, or gets no processor time: sound answers of
// one replica that end together seem to have been cut, and connections that are cut together seem to end apart.
func TestEndsAreDatedWhenTheyAreRead(t *testing.T) {
	const held, looks = 50 * time.Millisecond, 2
	for heldLook := range looks {
		tracker := new(Tracker)
		listener := listen(t)
		ending, farEnding := pair(t, tracker, listener)
		other, farOther := pair(t, tracker, listener)
		ending.BeginAnswer(true)
		other.BeginAnswer(true)
		for _, far := range []net.Conn{farEnding, farOther} {
			Control(far, func(fd int) { require.NoError(t, unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_CORK, 1)) })
			_, err := fmt.Fprint(far, "HTTP/1.1 200 OK\r\n\r\nok")
			require.NoError(t, err)
			require.NoError(t, far.Close()) // sends both in one segment
		}
		at := ending.EndedAt(time.Now())
		for look := range looks {
			looked := make(chan EndOfAnswer)
			tracker.mu.Lock()
			go func() { looked <- tracker.EndOfAnswer(ending, time.Now()) }()
			if look == heldLook {
				time.Sleep(held)
			}
			tracker.mu.Unlock()
			assert.Zero(t, (<-looked).AtOnce, "the ends came with the last bytes")
		}
		end, _, ended := other.state()
		assert.True(t, ended)
		assert.Less(t, end.at.Sub(at).Abs(), held/2)
	}
}
