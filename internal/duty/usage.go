package duty

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// KeptWindows bounds the windows for which a host keeps counts. A report is due two windows after its window's end on
// the operators' platform; the rest is for hosts whose counts arrive late.
const KeptWindows = 6

// Windows are the windows of time for which usage is reported.
type Windows struct {
	Length time.Duration
}

// At returns the number of the window that contains a moment in Unix milliseconds.
func (w Windows) At(unixMs int64) int64 { return floorDiv(unixMs, w.Length.Milliseconds()) }

// End returns the end of a window in Unix milliseconds.
func (w Windows) End(window int64) int64 { return (window + 1) * w.Length.Milliseconds() }

func floorDiv(a, b int64) int64 {
	q := a / b
	if a%b < 0 {
		q--
	}
	return q
}

// Counter counts the requests of this host that began to run, by window and team. It may be used by several goroutines.
type Counter struct {
	windows Windows

	mu      sync.Mutex
	counts  map[int64]map[string]uint64
	pending map[uint64]int64 // when requests were sent that are not answered yet, in Unix milliseconds
	begun   uint64
}

// NewCounter returns a Counter without counts.
func NewCounter(w Windows) *Counter {
	return &Counter{windows: w, counts: make(map[int64]map[string]uint64), pending: make(map[uint64]int64)}
}

// Begin notes a request that was sent at the given moment and counts for it once its answer tells that it ran. end is to be
// called after that, once.
func (c *Counter) Begin(unixMs int64) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun++
	id := c.begun
	c.pending[id] = unixMs
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.pending, id)
	}
}

// Pending reports whether a request that is not answered yet may count in the window.
func (c *Counter) Pending(window int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.pending {
		if c.windows.At(at) == window {
			return true
		}
	}
	return false
}

// Add counts a request of a team that began to run at the given moment in Unix milliseconds.
func (c *Counter) Add(team string, unixMs int64) {
	window := c.windows.At(unixMs)
	c.mu.Lock()
	defer c.mu.Unlock()
	teams, ok := c.counts[window]
	if !ok {
		teams = make(map[string]uint64)
		c.counts[window] = teams
		for w := range c.counts {
			if w <= window-KeptWindows {
				delete(c.counts, w)
			}
		}
	}
	teams[team]++
}

// Counts returns the counts of a window, which the caller may keep.
func (c *Counter) Counts(window int64) map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts[window])
}

// Source is one process that counts requests. A host that restarts counts anew.
type Source struct {
	Host        string
	Incarnation int64
}

// Counts are what a source has counted in a window so far, or a part of that.
type Counts struct {
	Window int64
	Teams  map[string]uint64
	Total  uint64 // over all teams of the window, also those of other parts
	Final  bool   // the source will count no more in the window
	// Relayed tells that the counts come from another host than the source, which may be gone.
	Relayed bool
}

// SourceCounts are the counts of a source.
type SourceCounts struct {
	Source
	Counts
}

const (
	// maxAhead bounds the windows after the current one for which counts are taken. Times of day may be off by seconds.
	maxAhead = 2
	// maxSources bounds the sources of a window, and maxTeams the teams of a source. Both are for datagrams that no host
	// of the deployment sends.
	maxSources = 4096
	maxTeams   = 4096
	// maxRelayed bounds the counts that are relayed at once.
	maxRelayed = 100
	// goneAfter is the silence after which a source is not waited for unless its host is live. Counts are told twice a second.
	goneAfter = 2 * time.Second
	// forgetAfter is the silence after which a source no longer counts as heard. Counts are told several times in it.
	forgetAfter = 5 * time.Minute
)

// Ledger collects the counts of all sources. It may be used by several goroutines.
type Ledger struct {
	length Windows

	mu       sync.Mutex
	windows  map[int64]map[Source]*sourceCounts
	heard    map[Source]int64 // when the source last sent counts, in Unix milliseconds
	expected []string         // hosts that are live
}

// sourceCounts are the counts of one source in one window.
type sourceCounts struct {
	teams map[string]uint64
	total uint64
	final bool
}

// complete reports whether the source has told all of its counts.
func (s *sourceCounts) complete() bool {
	sum := uint64(0)
	for _, n := range s.teams {
		sum += n
	}
	return s.final && sum == s.total
}

// NewLedger returns a Ledger without counts.
func NewLedger(w Windows) *Ledger {
	return &Ledger{length: w, windows: make(map[int64]map[Source]*sourceCounts), heard: make(map[Source]int64)}
}

// Expect sets the hosts that are live. A window is complete only if each of them has told its counts: a host that has
// just begun to collect counts may not have heard of some yet.
func (l *Ledger) Expect(hosts []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected = hosts
}

// Apply notes counts of a source. Counts only rise, so that datagrams may arrive late or twice. Windows that are far from
// the current one are ignored: one in the future would take the place of all others.
func (l *Ledger) Apply(from Source, c Counts, unixMs int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current := l.length.At(unixMs); c.Window > current+maxAhead || c.Window <= current-KeptWindows {
		return
	}
	if _, known := l.heard[from]; !known {
		maps.DeleteFunc(l.heard, func(_ Source, at int64) bool { return at < unixMs-forgetAfter.Milliseconds() })
		if len(l.heard) >= maxSources {
			return
		}
	}
	if !c.Relayed {
		l.heard[from] = max(l.heard[from], unixMs)
	}
	sources, ok := l.windows[c.Window]
	if !ok {
		if l.isForgotten(c.Window) {
			return
		}
		sources = make(map[Source]*sourceCounts)
		l.windows[c.Window] = sources
		l.prune()
	}
	s, ok := sources[from]
	if !ok {
		if len(sources) >= maxSources {
			return
		}
		s = &sourceCounts{teams: make(map[string]uint64)}
		sources[from] = s
	}
	for team, n := range c.Teams {
		if before, known := s.teams[team]; known || len(s.teams) < maxTeams {
			s.teams[team] = max(before, n)
		}
	}
	s.total = max(s.total, c.Total)
	s.final = s.final || c.Final
}

// Silent returns the counts from the given window on of sources that were last heard before the given moment, to be relayed:
// after all hosts that the source told them have restarted, nobody else knows them.
func (l *Ledger) Silent(first, before int64) (out []SourceCounts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for window, sources := range l.windows {
		for from, s := range sources {
			if window >= first && l.heard[from] < before && len(out) < maxRelayed {
				out = append(out, SourceCounts{from, Counts{Window: window, Teams: maps.Clone(s.teams), Total: s.total, Final: s.final, Relayed: true}})
			}
		}
	}
	return out
}

// isForgotten reports whether a window is before all of those that are kept.
func (l *Ledger) isForgotten(window int64) bool {
	newest := int64(0)
	for w := range l.windows {
		newest = max(newest, w)
	}
	return window <= newest-KeptWindows
}

func (l *Ledger) prune() {
	for w := range l.windows {
		if l.isForgotten(w) {
			delete(l.windows, w)
		}
	}
}

// Sum returns the counts of a window over all sources, and whether all that were heard since the given moment, and
// all live hosts, have told all of their counts.
func (l *Ledger) Sum(window, heardSince int64) (counts map[string]uint64, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts, complete = make(map[string]uint64), true
	sources := l.windows[window]
	for from, at := range l.heard {
		if s := sources[from]; at >= heardSince && (s == nil || !s.complete()) {
			complete = false
		}
	}
	told := make(map[string]bool)
	for from, s := range sources {
		told[from.Host] = told[from.Host] || s.complete()
		for team, n := range s.teams {
			counts[team] += n
		}
	}
	for _, host := range l.expected {
		complete = complete && told[host]
	}
	return counts, complete
}

// UsageRules say when the usage of a window is reported.
type UsageRules struct {
	Windows Windows
	// Settle is the time after a window's end from which its counts may be final.
	Settle time.Duration
	// Due is the time after a window's end until which its report counts.
	Due time.Duration
	// Reserve is the time before Due from which a report is fixed although sources have not told all of their counts.
	Reserve time.Duration
}

// Fix adds the reports that can be fixed now to the state and returns them, and removes those that are overdue. A report
// that has been fixed is never changed.
func (u UsageRules) Fix(s *State, l *Ledger, unixMs int64) (fixed []Report) {
	s.Reports = slices.DeleteFunc(s.Reports, func(r Report) bool {
		overdue := !u.pending(r.Window, unixMs)
		if overdue {
			s.FirstWindow = max(s.FirstWindow, r.Window+1) // must not be fixed again if a clock goes back
		}
		return overdue
	})
	last := u.Windows.At(unixMs) - 1
	for window := max(s.FirstWindow, last-KeptWindows+1); window <= last; window++ {
		age := time.Duration(unixMs-u.Windows.End(window)) * time.Millisecond
		if s.hasReport(window) || age < u.Settle || age >= u.Due {
			continue
		}
		// A source that has been silent since the window's begin can have counted nothing that it will still tell, and one
		// that is neither heard nor live is gone.
		counts, complete := l.Sum(window, max(u.Windows.End(window-1), unixMs-goneAfter.Milliseconds()))
		if complete || age >= u.Due-u.Reserve {
			fixed = append(fixed, Report{Window: window, Counts: counts})
		}
	}
	s.Reports = append(s.Reports, fixed...)
	return fixed
}

// pending reports whether a report may still be sent.
func (u UsageRules) pending(window, unixMs int64) bool {
	return unixMs < u.Windows.End(window)+u.Due.Milliseconds()
}
