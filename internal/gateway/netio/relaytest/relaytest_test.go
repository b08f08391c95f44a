package relaytest

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	patience = 5 * time.Second
	// quiet is how long nothing must come of a silent connection.
	quiet = 200 * time.Millisecond
)

// pair is both ends of a connection through a relay.
type pair struct{ caller, target net.Conn }

func newRelay(t *testing.T) (*Relay, net.Listener) {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = target.Close() })
	r, err := New(target.Addr().String())
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return r, target
}

func connect(t *testing.T, r *Relay, target net.Listener) pair {
	t.Helper()
	caller, err := net.Dial("tcp", r.Address())
	require.NoError(t, err)
	accepted, err := target.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = caller.Close(), accepted.Close() })
	return pair{caller, accepted}
}

// passes checks that bytes written at one end come out at the other.
func passes(t *testing.T, from, to net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(from, text)
	require.NoError(t, err)
	expects(t, to, text)
}

func expects(t *testing.T, c net.Conn, text string) {
	t.Helper()
	got := make([]byte, len(text))
	require.NoError(t, c.SetReadDeadline(time.Now().Add(patience)))
	_, err := io.ReadFull(c, got)
	require.NoError(t, err)
	require.Equal(t, text, string(got))
}

// isQuiet checks that nothing comes, and no end.
func isQuiet(t *testing.T, c net.Conn) {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(quiet)))
	n, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Zero(t, n)
}

// ended returns the error with which a connection ends, and checks that no byte comes before.
func ended(t *testing.T, c net.Conn) error {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(patience)))
	n, err := c.Read(make([]byte, 1))
	require.Zero(t, n)
	require.Error(t, err)
	require.False(t, errors.Is(err, os.ErrDeadlineExceeded), "the connection is still open")
	return err
}

func TestRelayForwardsBothWaysAndEnds(t *testing.T) {
	r, target := newRelay(t)
	p := connect(t, r, target)
	passes(t, p.caller, p.target, "question")
	passes(t, p.target, p.caller, "answer")
	long := bytes.Repeat([]byte("0123456789"), 1<<17)
	go func() { _, _ = p.target.Write(long) }()
	expects(t, p.caller, string(long))
	require.NoError(t, p.target.Close())
	assert.ErrorIs(t, ended(t, p.caller), io.EOF)
}

// Guards against a silence that also stops the other direction, that lets bytes through after others are lost, or that
// tells of the end of the other side.
func TestSilenceInOneDirection(t *testing.T) {
	r, target := newRelay(t)
	before, leaves := connect(t, r, target), connect(t, r, target)
	end := r.Begin(Fault{Direction: ToTarget, Silent: true})
	during := connect(t, r, target)
	for _, p := range []pair{before, during} {
		_, err := io.WriteString(p.caller, "lost")
		require.NoError(t, err)
		passes(t, p.target, p.caller, "still comes")
	}
	require.NoError(t, leaves.caller.Close())
	isQuiet(t, leaves.target)
	isQuiet(t, before.target)
	isQuiet(t, during.target)
	end()
	end() // again
	for _, p := range []pair{before, during} {
		assert.ErrorIs(t, ended(t, p.target), io.EOF)
		assert.ErrorIs(t, ended(t, p.caller), io.EOF)
	}
	assert.ErrorIs(t, ended(t, leaves.target), io.EOF)
	after := connect(t, r, target)
	passes(t, after.caller, after.target, "works")
}

// Guards against a fault whose end ends another one that overlaps, of the same kind or not.
func TestFaultsEndByThemselves(t *testing.T) {
	r, target := newRelay(t)
	p := connect(t, r, target)
	endFirst := r.Begin(Fault{Direction: ToTarget, Silent: true})
	endSecond := r.Begin(Fault{Direction: ToTarget, Silent: true})
	endOther := r.Begin(Fault{Direction: FromTarget, Silent: true})
	endFirst()
	_, err := io.WriteString(p.caller, "lost")
	require.NoError(t, err)
	isQuiet(t, p.target)
	endSecond()
	// The way to the target lasts on without the bytes that it lacks; a new connection lacks none.
	_, err = io.WriteString(p.caller, "lost too")
	require.NoError(t, err)
	isQuiet(t, p.target)
	fresh := connect(t, r, target)
	passes(t, fresh.caller, fresh.target, "one way")
	_, err = io.WriteString(fresh.target, "lost")
	require.NoError(t, err)
	isQuiet(t, fresh.caller)
	endOther()
	assert.ErrorIs(t, ended(t, p.target), io.EOF)
	assert.ErrorIs(t, ended(t, fresh.caller), io.EOF)

	const latency = 300 * time.Millisecond
	p = connect(t, r, target)
	endLatency := r.Begin(Fault{Direction: FromTarget, Latency: latency})
	endDrip := r.Begin(Fault{Direction: FromTarget, PieceSize: 1, PieceDelay: time.Millisecond})
	r.Begin(Fault{Direction: FromTarget, PieceSize: 1, PieceDelay: time.Millisecond})()
	endDrip()
	began := time.Now()
	passes(t, p.target, p.caller, "late")
	assert.GreaterOrEqual(t, time.Since(began), latency)
	endLatency()
	began = time.Now()
	passes(t, p.target, p.caller, "at once")
	assert.Less(t, time.Since(began), latency)
}

func TestResetOfConnections(t *testing.T) {
	r, target := newRelay(t)
	p, idle := connect(t, r, target), connect(t, r, target)
	end := r.Begin(Fault{Direction: FromTarget, Reset: true})
	passes(t, p.caller, p.target, "question")
	_, err := io.WriteString(p.target, "lost")
	require.NoError(t, err)
	assert.ErrorIs(t, ended(t, p.caller), syscall.ECONNRESET)
	assert.ErrorIs(t, ended(t, p.target), syscall.ECONNRESET)
	end()
	passes(t, idle.target, idle.caller, "was idle meanwhile")
}

// Guards against connections that are ended by a reset, or of which only one side ends, although an orderly end is wanted.
func TestOrderlyEndOfConnections(t *testing.T) {
	r, target := newRelay(t)
	pairs := []pair{connect(t, r, target), connect(t, r, target)}
	// The relay may know a connection to the target later than the target does, unless bytes have passed.
	passes(t, pairs[0].target, pairs[0].caller, "part of an answer")
	passes(t, pairs[1].caller, pairs[1].target, "question")
	assert.ElementsMatch(t, []string{pairs[0].target.RemoteAddr().String(), pairs[1].target.RemoteAddr().String()}, r.EndConnections(1))
	for _, p := range pairs {
		assert.ErrorIs(t, ended(t, p.caller), io.EOF)
		assert.ErrorIs(t, ended(t, p.target), io.EOF)
	}
	p := connect(t, r, target)
	passes(t, p.caller, p.target, "question")
}

func TestLatencyWithJitter(t *testing.T) {
	const latency, jitter = 100 * time.Millisecond, 50 * time.Millisecond
	r, target := newRelay(t)
	p := connect(t, r, target)
	defer r.Begin(Fault{Direction: FromTarget, Latency: latency, Jitter: jitter})()
	for range 3 {
		began := time.Now()
		passes(t, p.target, p.caller, "late")
		assert.GreaterOrEqual(t, time.Since(began), latency-jitter)
	}
	// Bytes that come one after the other are late by the same time, not by the sum.
	const chunks = 40
	go func() {
		for range chunks {
			_, _ = p.target.Write([]byte("x"))
			time.Sleep(2 * time.Millisecond)
		}
	}()
	began := time.Now()
	expects(t, p.caller, string(bytes.Repeat([]byte("x"), chunks)))
	assert.Less(t, time.Since(began), chunks*(latency-jitter))
}

func TestSlowDripInSmallPieces(t *testing.T) {
	const size, variation, delay, pieces = 20, 10, 5 * time.Millisecond, 10
	r, target := newRelay(t)
	p := connect(t, r, target)
	end := r.Begin(Fault{Direction: FromTarget, PieceSize: size, PieceVariation: variation, PieceDelay: delay})
	text := bytes.Repeat([]byte("0123456789"), (size+variation)*pieces/10)
	began := time.Now()
	_, err := p.target.Write(text)
	require.NoError(t, err)
	first := make([]byte, len(text))
	n, err := p.caller.Read(first)
	require.NoError(t, err)
	assert.Less(t, n, len(text), "it comes in pieces")
	expects(t, p.caller, string(text[n:]))
	assert.GreaterOrEqual(t, time.Since(began), (pieces-1)*delay)

	// The end of the fault lets the rest through at once.
	text = bytes.Repeat([]byte("0123456789"), 100_000)
	go func() { _, _ = p.target.Write(text) }()
	time.Sleep(10 * delay)
	end()
	expects(t, p.caller, string(text))
}

func TestHealEndsAllFaults(t *testing.T) {
	r, target := newRelay(t)
	r.Heal()
	end := r.Begin(Fault{Direction: ToTarget, Silent: true})
	r.Begin(Fault{Direction: FromTarget, Silent: true})
	r.Begin(Fault{Direction: FromTarget, Reset: true})
	p := connect(t, r, target)
	r.Heal()
	assert.ErrorIs(t, ended(t, p.caller), io.EOF)
	p = connect(t, r, target)
	end() // again
	passes(t, p.caller, p.target, "question")
	passes(t, p.target, p.caller, "answer")
}

func TestStopAndStartOnTheSameAddress(t *testing.T) {
	r, target := newRelay(t)
	p := connect(t, r, target)
	address := r.Address()
	for range 3 {
		r.Stop()
		r.Stop()
		assert.Error(t, ended(t, p.caller))
		assert.ErrorIs(t, ended(t, p.target), io.EOF)
		_, err := net.Dial("tcp", address)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		require.NoError(t, r.Start())
		require.NoError(t, r.Start())
		require.Equal(t, address, r.Address())
		p = connect(t, r, target)
		passes(t, p.caller, p.target, "works")
	}
	r.Close()
	require.ErrorIs(t, r.Start(), net.ErrClosed)
}

// Guards against connections that are reset, or a listener that is away, where connections are to end in order.
func TestConnectionsAreClosedInOrder(t *testing.T) {
	r, target := newRelay(t)
	for range 3 {
		p := connect(t, r, target)
		passes(t, p.caller, p.target, "works")
		r.CloseConnections()
		assert.ErrorIs(t, ended(t, p.caller), io.EOF)
		assert.ErrorIs(t, ended(t, p.target), io.EOF)
	}
}

func TestSilenceForGood(t *testing.T) {
	r, target := newRelay(t)
	p := connect(t, r, target)
	r.Silence()
	r.Begin(Fault{Direction: ToTarget, Silent: true})() // its end leaves them silent
	_, err := io.WriteString(p.caller, "lost")
	require.NoError(t, err)
	isQuiet(t, p.target)
	require.NoError(t, p.target.Close())
	isQuiet(t, p.caller)
	later := connect(t, r, target)
	passes(t, later.caller, later.target, "works")
}

// Guards against a relay that waits for a peer which never reads while a fault begins or ends, or while it stops: the
// soak hung that way.
func TestPeerThatNeverReadsDelaysNoFault(t *testing.T) {
	const atOnce = time.Second
	faults := []Fault{
		{Silent: true}, {Latency: time.Hour}, {PieceSize: 20, PieceVariation: 10, PieceDelay: 2 * time.Millisecond}, {Reset: true},
	}
	for _, direction := range []Direction{ToTarget, FromTarget} {
		for _, f := range faults {
			f.Direction = direction
			r, target := newRelay(t)
			for range 3 {
				p := connect(t, r, target)
				from := p.caller
				if direction == FromTarget {
					from = p.target
				}
				fill(t, from)
			}
			began := time.Now()
			ends := []func(){r.Begin(f), r.Begin(f)}
			connect(t, r, target)
			for _, end := range ends {
				end()
			}
			other := r.Begin(Fault{Direction: direction, PieceSize: 1})
			r.Silence()
			other()
			fresh := connect(t, r, target)
			passes(t, fresh.caller, fresh.target, "works")
			r.Stop()
			require.NoError(t, r.Start())
			r.Close()
			assert.Less(t, time.Since(began), atOnce, "%+v", f)
		}
	}
}

// fill writes until the relay takes no more.
func fill(t *testing.T, c net.Conn) {
	t.Helper()
	var written atomic.Int64
	go func() {
		text := make([]byte, 64<<10)
		for {
			n, err := c.Write(text)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	last, since := int64(0), time.Now()
	for time.Since(since) < quiet {
		if now := written.Load(); now != last {
			last, since = now, time.Now()
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.Positive(t, last)
}

// Guards against connections that lack bytes and end in order although a reset is wanted.
func TestSilentFaultResetsAtEnd(t *testing.T) {
	r, target := newRelay(t)
	p := connect(t, r, target)
	end := r.Begin(Fault{Direction: FromTarget, Silent: true, ResetAtEnd: true})
	_, err := io.WriteString(p.target, "lost")
	require.NoError(t, err)
	isQuiet(t, p.caller)
	end()
	assert.ErrorIs(t, ended(t, p.caller), syscall.ECONNRESET)
	assert.ErrorIs(t, ended(t, p.target), syscall.ECONNRESET)
}

// Guards against an address that a later listener gets, so that a test of refused connections reaches another process.
func TestRefusingAddressIsHeld(t *testing.T) {
	address, release, err := RefusingAddress()
	require.NoError(t, err)
	t.Cleanup(release)
	_, err = net.Dial("tcp", address)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	_, err = net.Listen("tcp", address)
	require.ErrorIs(t, err, syscall.EADDRINUSE)
}
