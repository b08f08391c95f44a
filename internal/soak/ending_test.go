package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/proctest"
)

// playUntilJudged plays again, a few times at most, if the machine did not let hosts run at the end of their grace period.
func playUntilJudged(t *testing.T, play func(t *testing.T) (judged bool)) {
	const plays = 5
	judged := false
	for i := 0; i < plays && !judged && !t.Failed(); i++ {
		t.Run(fmt.Sprintf("play %d", i), func(t *testing.T) { judged = play(t) })
	}
	require.True(t, judged || t.Failed(), "hosts got too little of the processors in each play")
}

// terminate sends SIGTERM. The returned function waits for the end of the process and checks that it is in the grace period.
// It reports whether that could be judged.
func (h *host) terminate(grace time.Duration) (ended func() (judged bool)) {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	overheld, at := h.overheld.Load(), time.Now()
	stop := proctest.Watch(pid)
	h.signal(syscall.SIGTERM)
	late := time.AfterFunc(grace, h.logThreads)
	return func() (judged bool) {
		h.wait()
		late.Stop()
		held := time.Duration(h.overheld.Load() - overheld)
		end := stop.Ended()
		inTime, isLate := end.InTime(grace), end.Late(grace, held)
		if end.Gone >= grace {
			h.t.Logf("%s, stopped at %s, held for %v more than for its share: %v", h.name, at.UTC().Format("15:04:05.000"), held, &end)
		}
		assert.False(h.t, isLate, "%s ends in its grace period", h.name)
		return inTime || isLate
	}
}

// logThreads logs what the threads of the process wait for, which tells a process that is paused, starved, or held in the
// kernel from one that waits by itself.
func (h *host) logThreads() {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	h.t.Logf("%s, process %d, has not ended; %d threads", h.name, pid, len(paths))
	for _, path := range paths {
		status, _ := os.ReadFile(filepath.Join(path, "status")) // the thread may end meanwhile
		wait, _ := os.ReadFile(filepath.Join(path, "wchan"))
		call, _ := os.ReadFile(filepath.Join(path, "syscall"))
		_, state, _ := strings.Cut(string(status), "State:")
		state, _, _ = strings.Cut(state, "\n")
		h.t.Logf("%s: state %s, waits in %s, system call %s", path, strings.TrimSpace(state), wait, strings.TrimSpace(string(call)))
	}
}
