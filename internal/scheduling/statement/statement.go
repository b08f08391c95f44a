// Package statement keeps what the process at a replica's address says of itself in its answers: that it leaves, and that
// it wants no requests for a time. It performs no I/O and takes the time as an argument.
//
// A statement belongs to the process that made it. Processes are told apart by the identifier that they state in their
// answers. Identifiers have no order, and an answer may arrive after one of the process's successor, so that another
// process is taken for the successor only if the request was sent after the first answer of the known one had arrived.
package statement

import (
	"strconv"
	"time"
)

const (
	// MaxRest bounds the time for which a process may want no requests.
	MaxRest = 10 * time.Minute
	// UnnamedLeaving is how long a process that does not state its identifier counts as leaving after it last said so, as
	// nothing can show that another one has taken its place.
	UnnamedLeaving = time.Minute
	// minRestAdvance is how much later than the known end of a rest a new one must be to count as a change. Answers to
	// requests in flight at once state the same time, which ends a little later for each.
	minRestAdvance = time.Second
)

// Statement is what an answer says of the process that gave it.
type Statement struct {
	Process string // identifier that changes when the process starts again; empty if it states none
	Leaving bool   // it takes no further requests
	Rest    time.Duration
}

// ParseLeaving reads the value of a header that states that a process leaves. ok is false if it cannot be read.
func ParseLeaving(text string) (leaving, ok bool) {
	switch text {
	case "", "0":
		return false, true
	case "1":
		return true, true
	default:
		return false, false
	}
}

// ParseRest reads the number of seconds for which a process wants no requests. Without a value it is 0. ok is false if it
// cannot be read.
func ParseRest(text string) (rest time.Duration, ok bool) {
	if text == "" {
		return 0, true
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds >= 0) { // includes NaN
		return 0, false
	}
	return time.Duration(min(seconds, MaxRest.Seconds()) * float64(time.Second)), true
}

// Change is what a statement changed.
type Change struct {
	Replaced bool // another process answers, and statements of the one before it have ended
	Leaving  bool // the process leaves, which was not known
	Resting  bool // the process rests, or longer than was known
	Until    time.Time
}

// State is what is known of the process at a replica's address. The zero State is that of a process that said nothing.
type State struct {
	process      string
	knownAt      time.Time // requests sent before may have been answered by an earlier process
	leaving      bool
	leavingUntil time.Time // zero if leaving ends only with the process
	restUntil    time.Time
}

// New returns the state of a replica that has its address since the given time.
func New(now time.Time) State { return State{knownAt: now} }

// Observe applies the statement of an answer to a request that was sent at the given time.
func (s *State) Observe(said Statement, sent, now time.Time) Change {
	var change Change
	if (said.Process == "" || said.Process != s.process) && sent.Before(s.knownAt) {
		return change // maybe of an earlier process
	}
	if said.Process != "" && said.Process != s.process {
		change.Replaced = s.Held(now)
		*s = State{process: said.Process, knownAt: now}
	}
	if said.Leaving {
		change.Leaving = !s.leaves(now)
		s.leave(said.Process != "", now)
	}
	if end := now.Add(min(said.Rest, MaxRest)); said.Rest > 0 && end.After(s.restUntil) {
		change.Resting = !now.Before(s.restUntil) || end.Sub(s.restUntil) >= minRestAdvance
		s.restUntil = end
	}
	if change.Leaving || change.Resting {
		change.Until, _ = s.Until(now)
	}
	return change
}

func (s *State) leave(named bool, now time.Time) {
	switch {
	case named:
		s.leavingUntil = time.Time{}
	case !s.leaving || !s.leavingUntil.IsZero():
		s.leavingUntil = now.Add(UnnamedLeaving)
	}
	s.leaving = true
}

func (s *State) leaves(now time.Time) bool {
	return s.leaving && (s.leavingUntil.IsZero() || now.Before(s.leavingUntil))
}

// Held reports whether the process may get no requests.
func (s *State) Held(now time.Time) bool { return now.Before(s.restUntil) || s.leaves(now) }

// Until returns when the process may get requests again, or false if it leaves and so never may.
func (s *State) Until(now time.Time) (until time.Time, ends bool) {
	if s.leaves(now) {
		if s.leavingUntil.IsZero() {
			return time.Time{}, false
		}
		until = s.leavingUntil
	}
	if s.restUntil.After(until) {
		until = s.restUntil
	}
	return until, true
}

// Process returns the identifier of the process, or an empty string if it stated none.
func (s *State) Process() string { return s.process }
