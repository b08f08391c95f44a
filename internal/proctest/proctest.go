// Package proctest observes how a process that a test stops comes to its end. It tells a process that is late by its own
// doing from one that the machine did not let run, and from a test that looked late.
package proctest

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// lookInterval is the time between two looks at the threads. Shorter waits for a processor are held against the process.
const lookInterval = 50 * time.Millisecond

// Stop is a stop in progress.
type Stop struct {
	proc  string // directory of the process
	sent  time.Time
	ended chan struct{}
	found chan End
}

// End is how a stop ended.
type End struct {
	// After is the time from the stop to the observation that the process had called exit or had ended. A process that has
	// called exit does nothing more, and SIGKILL changes nothing for it, though its threads may wait for a processor to end.
	After time.Duration
	// Gone is the time from the stop until the caller had waited for the process.
	Gone time.Duration
	// Unseen is the last part of After, since the look before. The process called exit at some time in it.
	Unseen time.Duration
	// Starved is how long at least one thread of the process was ready to run and got no processor, between looks.
	Starved time.Duration
	// Threads are the threads in the last look that found the process at work.
	Threads string
}

// Watch observes the process from now on, which is the time of its stop: the caller sends it a signal next. The caller must
// call Ended.
func Watch(pid int) *Stop {
	s := &Stop{proc: fmt.Sprintf("/proc/%d", pid), sent: time.Now(), ended: make(chan struct{}), found: make(chan End, 1)}
	go func() { s.found <- s.observe() }()
	return s
}

// Ended returns how the stop ended. The caller has waited for the process.
func (s *Stop) Ended() End {
	gone := time.Since(s.sent)
	close(s.ended)
	end := <-s.found
	end.Gone = gone
	return end
}

// InTime reports whether the process has called exit within the given time.
func (e *End) InTime(limit time.Duration) bool { return e.After < limit }

// Late reports whether the process would also have been late if it had not waited for processors, nor been held by the
// test for the given time, and had been seen at once. A process that is neither in time nor late was observed under
// conditions that judge nothing.
func (e *End) Late(limit, held time.Duration) bool {
	return e.After-e.Unseen-e.Starved-held >= limit
}

func (e *End) String() string {
	return fmt.Sprintf("called exit or ended %v after its stop, %v after the look before, and was gone after %v; without a processor for %v; threads in that look: %s",
		e.After, e.Unseen, e.Gone, e.Starved, e.Threads)
}

func (s *Stop) observe() (e End) {
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	before, began, finished := map[string]thread{}, s.sent, s.sent
	for {
		select {
		case <-s.ended:
			now := time.Now()
			e.After, e.Unseen = now.Sub(s.sent), now.Sub(began)
			return e
		case <-ticker.C:
		}
		start := time.Now()
		threads := readThreads(s.proc)
		now := time.Now()
		switch {
		case len(threads) == 0: // the process has just ended
			continue
		case exiting(threads):
			e.After, e.Unseen = now.Sub(s.sent), now.Sub(began)
			<-s.ended
			return e
		case starved(before, threads):
			e.Starved += start.Sub(finished)
		}
		before, began, finished = threads, start, now
		e.Threads = describe(threads)
	}
}

// thread is what the kernel tells of a thread.
type thread struct {
	state  byte
	ending bool          // it has called exit, or will be ended before it runs any code of the program
	ran    time.Duration // on processors
	waited time.Duration // for them
	turns  string        // how often it got one
}

// readThreads returns the threads of a process by their ID.
func readThreads(proc string) map[string]thread {
	paths, _ := filepath.Glob(filepath.Join(proc, "task", "*")) // the pattern is valid
	out := make(map[string]thread, len(paths))
	for _, path := range paths {
		stat, _ := os.ReadFile(filepath.Join(path, "stat")) // the thread may end meanwhile
		times, _ := os.ReadFile(filepath.Join(path, "schedstat"))
		if t, known := parseThread(string(stat), string(times)); known {
			out[filepath.Base(path)] = t
		}
	}
	return out
}

// parseThread parses the files stat and schedstat of a thread, as in proc_pid_stat(5) and the kernel's sched-stats.rst.
func parseThread(stat, times string) (t thread, known bool) {
	const (
		// Positions after the command.
		stateField, flagsField, pendingField = 0, 6, 28
		flagExiting                          = 0x4 // PF_EXITING
		killPending                          = 1 << (syscall.SIGKILL - 1)
	)
	fields, ran := strings.Fields(stat[strings.LastIndex(stat, ")")+1:]), strings.Fields(times) // the command may hold any character
	if len(fields) <= pendingField || len(ran) != 3 {
		return t, false
	}
	flags, _ := strconv.ParseUint(fields[flagsField], 10, 64)
	pending, _ := strconv.ParseUint(fields[pendingField], 10, 64)
	t.state, t.turns = fields[stateField][0], ran[2]
	t.ran, t.waited = nanoseconds(ran[0]), nanoseconds(ran[1])
	t.ending = t.state == 'Z' || t.state == 'X' || flags&flagExiting != 0 || pending&killPending != 0
	return t, true
}

func nanoseconds(text string) time.Duration {
	n, _ := strconv.ParseInt(text, 10, 64)
	return time.Duration(n)
}

// exiting reports whether the process has called exit: all threads end then.
func exiting(threads map[string]thread) bool {
	for _, t := range threads {
		if !t.ending {
			return false
		}
	}
	return true
}

// starved reports whether a thread was ready to run in two looks and did not run in between.
func starved(before, now map[string]thread) bool {
	const ready = 'R'
	for id, t := range now {
		if b, known := before[id]; known && b.state == ready && t.state == ready && b.ran == t.ran && b.turns == t.turns {
			return true
		}
	}
	return false
}

func describe(threads map[string]thread) string {
	var out []string
	for id, t := range threads {
		out = append(out, fmt.Sprintf("%s %c ran %v waited %v", id, t.state, t.ran.Round(time.Millisecond), t.waited.Round(time.Millisecond)))
	}
	return strings.Join(out, ", ")
}
