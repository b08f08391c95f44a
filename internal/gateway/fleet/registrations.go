package fleet

import (
	"slices"

	"heatherbarrow/internal/gateway/origin"
)

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
}

// registration is a process that was registered, or that answered for a replica without that.
type registration struct {
	started int64
	version string // origin.ProcessVersion if it was not registered
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
	processes := r.of(id)
	if n := len(processes); n > 0 && processes[n-1].started == next.started {
		last := &processes[n-1]
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

// NoteProcess remembers a process that was registered after those noted before, also if it has gone since.
func (f *Fleet) NoteProcess(m *Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registrations.note(m.ID, registration{started: m.Started, version: m.SoftwareVersion})
}

// ForgetProcesses forgets the processes of a replica so far, as others may have come and left after them unnoticed.
func (f *Fleet) ForgetProcesses(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.registrations.current, id)
	delete(f.registrations.previous, id)
}

// ListProcesses notes all processes that are registered. Those of replicas that have gone, or have another process than was known,
// are forgotten as by ForgetProcesses.
func (f *Fleet) ListProcesses(members []Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.registrations
	f.registrations = registrations{}
	for i := range members {
		m := &members[i]
		listed := registration{started: m.Started, version: m.SoftwareVersion}
		f.registrations.note(m.ID, listed)
		if earlier := known.of(m.ID); slices.Contains(earlier, listed) {
			f.registrations.current[m.ID] = earlier
		}
	}
}

// EndedProcessVersion returns the software version of what began a stream that was sent to the replica with the given ID
// while the process with the given start was registered, if a later one has been registered. Another process may have taken its
// place unnoticed by then; the version is therefore that of the process if all that were registered or have answered since
// have the same one. That a registration lapsed shows nothing: what took its place may have ended unregistered.
func (f *Fleet) EndedProcessVersion(id string, started int64) (version string, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	found, ended := false, false
	for _, r := range f.registrations.of(id) {
		switch {
		case !found:
			found, version = r.started == started && !r.unregistered(), r.version
		case r.version != version:
			return "", false
		default:
			ended = true
		}
	}
	return version, found && ended
}
