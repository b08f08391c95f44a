package proctest

import (
	"fmt"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stop starts a process, lets act stop it, and returns how it ended.
func stop(t *testing.T, act func(*exec.Cmd), name string, args ...string) End {
	t.Helper()
	cmd := exec.Command(name, args...)
	require.NoError(t, cmd.Start())
	s := Watch(cmd.Process.Pid)
	act(cmd)
	_ = cmd.Wait() // it is ended by a signal
	return s.Ended()
}

// Guards against a late process that counts as in time or as one that the machine did not let run.
func TestProcessThatWaitsByItselfIsLate(t *testing.T) {
	t.Parallel()
	const lasts, limit = 3 * time.Second, 100 * time.Millisecond
	e := stop(t, func(*exec.Cmd) {}, "sleep", fmt.Sprint(lasts.Seconds()))
	assert.False(t, e.InTime(limit))
	assert.True(t, e.Late(limit, 0), e.String())
	assert.Regexp(t, `^\d+ [RS] ran `, e.Threads)
}

// Guards against a process that the test itself held and that counts as late by its own doing.
func TestProcessThatIsHeldIsNotLate(t *testing.T) {
	t.Parallel()
	const limit = 100 * time.Millisecond
	var held time.Duration
	e := stop(t, func(cmd *exec.Cmd) {
		began := time.Now()
		require.NoError(t, cmd.Process.Signal(syscall.SIGSTOP))
		time.Sleep(3 * time.Second)
		held = time.Since(began)
		require.NoError(t, cmd.Process.Signal(syscall.SIGCONT))
		require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	}, "sleep", "60")
	assert.False(t, e.InTime(limit))
	assert.True(t, e.Late(limit, 0), e.String())
	assert.False(t, e.Late(limit, held), e.String())
}

// Guards against a process that has called exit and counts as at work because nobody has waited for it yet.
func TestProcessThatIsNotWaitedForHasEnded(t *testing.T) {
	t.Parallel()
	const noticed = 3 * time.Second
	e := stop(t, func(cmd *exec.Cmd) {
		require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
		time.Sleep(noticed)
	}, "sleep", "60")
	assert.Less(t, e.After, noticed)
	assert.GreaterOrEqual(t, e.Gone, noticed)
}

// line returns the files stat and schedstat of a thread.
func line(state string, flags, pending int, ran, turns int64) (stat, times string) {
	return fmt.Sprintf("7 (a) b) %s 1 1 1 0 -1 %d %s%d 0", state, flags, strings.Repeat("0 ", 21), pending), fmt.Sprintf("%d 500 %d\n", ran, turns)
}

func parse(t *testing.T, state string, flags, pending int, ran, turns int64) thread {
	t.Helper()
	out, known := parseThread(line(state, flags, pending, ran, turns))
	require.True(t, known)
	return out
}

// Guards against threads that are at work and count as ending, or the reverse.
func TestThreadsOfExitingProcess(t *testing.T) {
	const kill, term, exitingFlag, otherFlags = 256, 16384, 0x4, 0x400040
	sleeping, ready := parse(t, "S", otherFlags, term, 1, 1), parse(t, "R", otherFlags, 0, 1, 1)
	zombie, killed := parse(t, "Z", 0, 0, 1, 1), parse(t, "R", otherFlags, kill|term, 1, 1)
	leaving := parse(t, "D", otherFlags|exitingFlag, 0, 1, 1)
	assert.True(t, exiting(map[string]thread{"1": zombie, "2": killed, "3": leaving}))
	for _, atWork := range []thread{sleeping, ready} {
		assert.False(t, exiting(map[string]thread{"1": zombie, "2": killed, "3": atWork}))
	}
	_, known := parseThread("", "")
	assert.False(t, known, "a thread that has ended")
}

// Guards against threads that ran or had nothing to do and count as waiting for a processor.
func TestStarvedThreads(t *testing.T) {
	ready := parse(t, "R", 0, 0, 100, 5)
	for _, c := range []struct {
		name   string
		now    thread
		waited bool
	}{
		{"did not run", parse(t, "R", 0, 0, 100, 5), true},
		{"ran on", parse(t, "R", 0, 0, 200, 5), false},
		{"ran and was ready again", parse(t, "R", 0, 0, 100, 6), false},
		{"sleeps", parse(t, "S", 0, 0, 100, 5), false},
		{"is held", parse(t, "T", 0, 0, 100, 5), false},
	} {
		assert.Equal(t, c.waited, starved(map[string]thread{"1": ready}, map[string]thread{"1": c.now}), c.name)
	}
	assert.False(t, starved(map[string]thread{"1": parse(t, "S", 0, 0, 100, 5)}, map[string]thread{"1": ready}), "became ready")
	assert.False(t, starved(map[string]thread{"2": ready}, map[string]thread{"1": ready}), "another thread")
}
