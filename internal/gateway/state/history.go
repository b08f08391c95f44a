package state

import (
	"slices"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/origin"
)

// noteVersions tells the origins which software versions an update names, also of replicas that came and left within it. A full
// list leaves out those that came and left since an earlier one, or since the stored versions were read.
func (s *State) noteVersions(update *Members, now time.Time) {
	if s.opts.Origins == nil {
		return
	}
	earlierKnown := s.membersAsOf.Load() > 0
	select {
	case <-s.opts.Origins.Loaded():
		earlierKnown = true
	default: // the stored versions will be read
	}
	switch {
	case update.Source == FromPeer && len(update.Versions) > 0:
		if !update.VersionsComplete {
			s.opts.Origins.MissVersions(now) // what the peer has missed is missing here too
		}
	case update.Complete && earlierKnown:
		s.opts.Origins.MissVersions(now)
	}
	versions := slices.Clone(update.Versions)
	for i := range update.Entries {
		// What a peer tells of entries that were removed long ago would keep their versions in memory for ever.
		if r := &update.Entries[i]; r.Upstream != "" && (!r.Removed || update.Source == FromStore) {
			versions = append(versions, origin.Version{Origin: origin.Origin{Upstream: r.Upstream, Version: r.SoftwareVersion}})
		}
	}
	s.opts.Origins.AddVersions(versions, now)
}

// noteProcess tells the fleet of the process that an entry of an update names, old being the entry before it or nil. Others of the
// update may replace it. A peer tells only the latest entry of a replica: the processes between it and the one that this host knew may
// have been of any other version in use. For a list, see noteListedProcesses.
func (s *State) noteProcess(old, r *Registration, update *Members, now time.Time) {
	if update.Complete || old != nil && old.Removed == r.Removed && old.SameProcess(&r.Member) {
		return
	}
	if update.Source == FromPeer && !s.onlyVersion(r, old, update, now) {
		s.opts.Fleet.ForgetProcesses(r.ID)
	}
	if !r.Removed {
		s.opts.Fleet.NoteProcess(&r.Member)
	}
}

// noteListedProcesses tells the fleet of all registered processes. A list leaves out those that came and left before it.
func (s *State) noteListedProcesses() {
	members := make([]fleet.Member, 0, len(s.registry.entries))
	for _, r := range s.registry.entries {
		if !r.Removed {
			members = append(members, r.Member)
		}
	}
	s.opts.Fleet.ListProcesses(members)
}

// onlyVersion reports whether all replicas of an entry's upstream have been of one version for as long as streams are remembered, those
// that came and left before the update included.
func (s *State) onlyVersion(r, old *Registration, update *Members, now time.Time) bool {
	upstream := r.Upstream
	if r.Removed && old != nil {
		upstream = old.Upstream // a removal does not tell it
	}
	if s.opts.Origins == nil || len(update.Versions) == 0 {
		return false // nothing tells which versions have left
	}
	_, only := s.opts.Origins.Only([]string{upstream}, now)
	return only
}
