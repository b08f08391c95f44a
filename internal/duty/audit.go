package duty

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// auditGrace is the time after a report was due until it counts as not accepted. The answer to a call that was made in
// time may arrive up to a second later.
const auditGrace = time.Second

// MissedCause is why the report of a window may not have been accepted in time.
type MissedCause string

// Causes.
const (
	NotFixed    MissedCause = "not_fixed"    // no host held the duties, or the report could not be stored
	NotAccepted MissedCause = "not_accepted" // the report was stored, and the platform did not accept it from this host
	Unknown     MissedCause = "unknown"      // an earlier holder may have sent the report
)

// Missed are consecutive windows whose reports the platform may not have accepted.
type Missed struct {
	First, Last int64
	Cause       MissedCause
}

// Progress is how far the reports are, as the holder of the duties knows it. A window of 0 is not known.
type Progress struct {
	Fixed    int64 // last window whose report is stored
	Accepted int64 // last window whose report the platform has accepted from this host
}

// audit finds windows that are overdue without an accepted report.
type audit struct {
	next         int64          // first window that has not been looked at
	since        int64          // when this host took the duties over, in Unix milliseconds
	unsureBefore int64          // windows before may have been reported although the stored state has no report
	fixed        map[int64]bool // windows from next on whose report has been stored; true if it has been accepted
	progress     Progress
}

// begin notes that the duties are taken over with the given stored state, in an era of the store and during a window.
func (a *audit) begin(stored json.RawMessage, era uint64, window, unixMs int64) {
	first := window
	var s State
	if len(stored) > 0 && json.Unmarshal(stored, &s) == nil && s.FirstWindow > 0 {
		a.unsureBefore = s.FirstWindow
		if s.Era != era {
			a.unsureBefore = window
		}
		if first = s.FirstWindow; s.Audited > 0 {
			first = s.Audited
		}
	}
	// Windows before next were looked at when this host held the duties earlier.
	a.next, a.since = max(a.next, min(first, window)), unixMs
}

// note records reports that are stored.
func (a *audit) note(reports []Report) {
	for _, r := range reports {
		a.progress.Fixed = max(a.progress.Fixed, r.Window)
		if r.Window >= a.next && !a.fixed[r.Window] {
			a.set(r.Window, false)
		}
	}
}

func (a *audit) accept(window int64) {
	a.progress.Accepted = max(a.progress.Accepted, window)
	a.set(window, true)
}

func (a *audit) set(window int64, accepted bool) {
	if a.fixed == nil {
		a.fixed = make(map[int64]bool)
	}
	a.fixed[window] = accepted
}

// missed returns the windows that became overdue since the last call without an accepted report.
func (a *audit) missed(rules UsageRules, unixMs int64) (out []Missed) {
	end := rules.Windows.At(unixMs - (rules.Due + auditGrace).Milliseconds()) // windows before it are overdue
	add := func(first, last int64, cause MissedCause) {
		if first > last {
			return
		}
		if n := len(out); n > 0 && out[n-1].Cause == cause && out[n-1].Last == first-1 {
			out[n-1].Last = last
			return
		}
		out = append(out, Missed{First: first, Last: last, Cause: cause})
	}
	addNotFixed := func(first, last int64) {
		add(first, min(last, a.unsureBefore-1), Unknown)
		add(max(first, a.unsureBefore), last, NotFixed)
	}
	// The windows without a report are not visited one by one, as there may have been no holder for days.
	for _, window := range slices.Sorted(maps.Keys(a.fixed)) {
		if window >= end {
			break
		}
		if accepted := a.fixed[window]; window >= a.next {
			addNotFixed(a.next, window-1)
			switch {
			case accepted:
			case rules.pending(window, a.since):
				add(window, window, NotAccepted)
			default:
				add(window, window, Unknown)
			}
			a.next = window + 1
		}
		delete(a.fixed, window)
	}
	if a.next < end {
		addNotFixed(a.next, end-1)
		a.next = end
	}
	return out
}

// Missed returns the windows that became overdue since the last call while the platform may not have accepted their
// reports. Each window is returned once. Only the holder of the duties knows of any. It must be called by the goroutine
// that calls Step.
func (k *Keeper) Missed(unixMs int64) []Missed {
	if k.token == 0 || k.rules.Windows.Length == 0 {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.audit.missed(k.rules, unixMs)
}

// audited returns the first window that has not been looked at for a missed report.
func (k *Keeper) audited() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.audit.next
}

// Progress returns how far the reports are. It is safe for concurrent use.
func (k *Keeper) Progress() Progress {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.audit.progress
}
