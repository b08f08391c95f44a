package fleet

import "heatherbarrow/internal/gateway/origin"

const (
	// maxRegistered bounds the replica IDs of a generation of registrations.
	maxRegistered = 1 << 12
	// maxProcesses bounds the processes that are remembered of an ID.
	maxProcesses = 16
)

// registrations remembers which processes were registered under the IDs of replicas, also after these have gone. Two
// generations bound it.
type registrations struct {
	current, previous map[string][]registration // by replica ID, oldest first
	gaps              int                       // counts the times after which some may have been missed
}

// registration is a process that was registered, or that answered for a replica without that.
type registration struct {
	started int64
	version string // origin.ProcessVersion if it was not registered
	gaps    int    // of registrations, when the process was last registered
}

// unregistered reports whether the process was not registered.
func (r *registration) unregistered() bool {
	_, _, ok := origin.ParseProcessVersion(r.version)
	return ok
}

func (r *registrations) of(id string) []registration {
	if processes, ok := r.current[id]; ok {
		return processes
	}
	return r.previous[id]
}

// note remembers a process. Its registration replaces what stood for its version.
func (r *registrations) note(id string, next registration) {
	next.gaps = r.gaps
	processes := r.of(id)
	if n := len(processes); n > 0 && processes[n-1].started == next.started {
		last := &processes[n-1]
		if !next.unregistered() {
			last.gaps = r.gaps
		}
		if last.version == next.version || next.unregistered() {
			return
		}
		if last.unregistered() {
			last.version = next.version
			return
		}
	}
	if len(processes) >= maxProcesses {
		processes = processes[1:]
	}
	if len(r.current) >= maxRegistered || r.current == nil {
		r.current, r.previous = make(map[string][]registration), r.current
	}
	r.current[id] = append(processes, next)
}

// EndedProcessVersion returns the software version of what began a stream that was sent to the replica with the given ID
// while the process with the given start was registered, if a later one has been registered. Another process may have taken its
// place unnoticed by then; the version is therefore that of the process if all that were registered or have answered since
// have the same one, and none may have been missed. That a registration lapsed shows nothing: what took its place may have ended unregistered.
func (f *Fleet) EndedProcessVersion(id string, started int64) (version string, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	found, ended, gaps := false, false, 0
	for _, r := range f.registrations.of(id) {
		switch {
		case !found:
			found, version, gaps = r.started == started && !r.unregistered(), r.version, r.gaps
		case r.version != version, r.gaps != gaps:
			return "", false
		default:
			ended = true
		}
	}
	return version, found && ended
}

// NoteProcesses notes processes that were registered, oldest first, also those that are not any more. missed means that others may
// have been registered before them unnoticed.
func (f *Fleet) NoteProcesses(members []Member, missed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if missed {
		f.registrations.gaps++
	}
	for i := range members {
		m := &members[i]
		f.registrations.note(m.ID, registration{started: m.Started, version: m.SoftwareVersion})
	}
}
