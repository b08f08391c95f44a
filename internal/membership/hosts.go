package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherbarrow/internal/rendezvous"
	"heatherbarrow/internal/rpc"
)

// hostID returns a short identifier for one incarnation of a host.
func hostID(name string, incarnation uint64) uint32 {
	return uint32(xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(name), incarnation)))
}

// addUnknownHost adds a host that has sent no heartbeat yet, unless it is known.
func (t *Table) addUnknownHost(p Peer, now time.Time) *host {
	if h := t.hosts[p.Host]; h != nil {
		return h
	}
	h := &host{confirmedAt: now, stateSends: maxUpdateSends, heartbeatSends: maxUpdateSends, state: &rpc.HostState{
		Host: p.Host, AvailabilityZone: p.Zone, PeerAddress: p.Address, State: rpc.State_STATE_UNKNOWN,
	}}
	t.hosts[p.Host] = h
	t.hostRotation = append(t.hostRotation, h)
	return h
}

// AdvanceHeartbeat makes the local host's next heartbeat and drops expired state.
// platformFailed means that the local host got no answer from the platform; Watchers
// then chooses other hosts of the zone, on every host that received the heartbeat.
func (t *Table) AdvanceHeartbeat(now time.Time, platformFailed bool) {
	s := t.self.state
	t.self.state = &rpc.HostState{
		Host: s.Host, AvailabilityZone: s.AvailabilityZone, PeerAddress: s.PeerAddress, State: s.State, Mark: s.Mark,
		Incarnation: s.Incarnation, Heartbeat: s.Heartbeat + 1, Generation: t.generation, PlatformFailed: platformFailed,
	}
	t.self.heartbeatAt = now
	t.self.heartbeatSends = 0
	t.dropStaleHosts(now)
	t.quarantine.expire(now)
	t.dropStaleDemand(now)
	t.version++
}

// Leave marks the local host as leaving. Only a restart makes it live again.
func (t *Table) Leave(now time.Time) {
	t.drained = true
	if t.self.state.State != rpc.State_STATE_LEAVING {
		t.setHostLeaving(t.self, true, now)
	}
}

// setHostLeaving sets or clears the host's leaving state under a new mark. The mark
// counts the changes between live and leaving; the state with the higher mark wins.
func (t *Table) setHostLeaving(h *host, leaving bool, now time.Time) {
	next := copyHostState(h.state)
	next.Mark++
	next.State = rpc.State_STATE_LIVE
	if leaving {
		next.State = rpc.State_STATE_LEAVING
	}
	h.state = next
	h.stateSends = 0
	if h.heartbeatAt.IsZero() {
		h.confirmedAt = now
	}
	t.recordChange(true)
}

func copyHostState(s *rpc.HostState) *rpc.HostState {
	return &rpc.HostState{
		Host: s.Host, AvailabilityZone: s.AvailabilityZone, PeerAddress: s.PeerAddress, State: s.State, Mark: s.Mark,
		Incarnation: s.Incarnation, Heartbeat: s.Heartbeat, Generation: s.Generation, PlatformFailed: s.PlatformFailed,
	}
}

// maxIncarnation is the highest incarnation accepted from a peer. An incarnation is
// the start time in Unix milliseconds, or higher after the clock went back. Without
// the limit, the next incarnation chosen by mergeSelf could overflow.
const maxIncarnation = 1 << 62

// mergeHost applies a full host state received from a peer.
func (t *Table) mergeHost(s *rpc.HostState, now time.Time) {
	if s.Incarnation > maxIncarnation {
		return
	}
	heartbeatTime := now.Add(-time.Duration(s.AgeMs) * time.Millisecond)
	h := t.hosts[s.Host]
	switch {
	case s.Host == t.opts.Host:
		t.mergeSelf(s, now)
	case h == nil || s.Incarnation > h.state.Incarnation:
		t.mergeNewIncarnation(h, s, heartbeatTime, now)
	case s.Incarnation == h.state.Incarnation:
		t.mergeHostMark(h, s)
		t.mergeHeartbeat(h, s.Heartbeat, s.Generation, s.PlatformFailed, heartbeatTime)
	}
}

// mergeNewIncarnation installs a host that has started or restarted. If the
// platform's list showed the host as leaving before its first heartbeat, the host
// stays leaving: the list does not say which incarnation it refers to, and a later
// list reverts the state.
func (t *Table) mergeNewIncarnation(existing *host, s *rpc.HostState, heartbeatTime, now time.Time) {
	if s.Incarnation == 0 {
		return
	}
	listedLeaving := existing != nil && existing.state.Incarnation == 0 && existing.state.State == rpc.State_STATE_LEAVING
	t.putHost(copyHostState(s), heartbeatTime, now)
	if listedLeaving && s.State != rpc.State_STATE_LEAVING {
		t.setHostLeaving(t.hosts[s.Host], true, now)
	}
}

// mergeSelf applies a peer's state of the local host. For the current incarnation,
// it applies a mark that another source set, such as the platform's list on another
// host. If the peer knows a higher incarnation, because the clock went back between
// two starts, the local host takes the next one above it.
func (t *Table) mergeSelf(s *rpc.HostState, now time.Time) {
	selfState := t.self.state
	switch {
	case s.Incarnation == selfState.Incarnation:
		t.mergeHostMark(t.self, s)
		if t.drained && t.self.state.State != rpc.State_STATE_LEAVING {
			t.setHostLeaving(t.self, true, now)
		}
	case s.Incarnation > selfState.Incarnation:
		next := copyHostState(selfState)
		next.Incarnation = s.Incarnation + 1
		t.putHost(next, now, now)
	}
}

// mergeHostMark applies a peer's live or leaving state of a host. The higher mark
// wins; at equal marks, leaving wins, because work sent to a leaving host may be
// lost while work withheld from a live one is not.
func (t *Table) mergeHostMark(h *host, s *rpc.HostState) {
	higher := s.Mark > h.state.Mark
	if !higher && (s.Mark != h.state.Mark || s.State != rpc.State_STATE_LEAVING || h.state.State == rpc.State_STATE_LEAVING) {
		return
	}
	next := copyHostState(h.state)
	next.Mark, next.State = s.Mark, s.State
	h.state = next
	h.stateSends = 0
	t.recordChange(true)
}

// putHost installs the state of a new host or a new incarnation.
func (t *Table) putHost(s *rpc.HostState, heartbeatTime, now time.Time) {
	h := t.hosts[s.Host]
	if h == nil {
		h = &host{}
		t.hosts[s.Host] = h
		t.hostRotation = append(t.hostRotation, h)
	}
	delete(t.hostsByID, h.id)
	h.state, h.heartbeatAt, h.confirmedAt = s, heartbeatTime, now
	h.id = hostID(s.Host, s.Incarnation)
	h.heartbeatSends, h.stateSends = 0, 0
	t.hostsByID[h.id] = h
	delete(t.wantedHostIDs, h.id)
	t.recordChange(s.State == rpc.State_STATE_LEAVING)
}

// mergeHeartbeat applies a newer heartbeat of a host. Heartbeats of other zones are
// accepted at a limited rate unless they carry a newer bundle generation.
func (t *Table) mergeHeartbeat(h *host, heartbeat, generation uint64, platformFailed bool, heartbeatTime time.Time) {
	if heartbeat <= h.state.Heartbeat {
		return
	}
	remote := h.state.AvailabilityZone != t.opts.Zone
	if remote && heartbeatTime.Sub(h.heartbeatAt) < remoteRefreshInterval(len(t.hostRotation), hostsPerRefreshSecond) && generation <= h.state.Generation {
		return
	}
	next := copyHostState(h.state)
	next.Heartbeat, next.Generation, next.PlatformFailed = heartbeat, max(generation, next.Generation), platformFailed
	h.state = next
	if heartbeatTime.After(h.heartbeatAt) {
		h.heartbeatAt = heartbeatTime
	}
	h.heartbeatSends = 0
	t.version++
}

// alive reports whether the latest heartbeat of the host is recent enough. The
// local host is always alive.
func (t *Table) alive(h *host, now time.Time) bool {
	if h == t.self {
		return true
	}
	limit := ZoneDeadAfter
	if h.state.AvailabilityZone != t.opts.Zone {
		limit = RemoteDeadAfter
	}
	return !h.heartbeatAt.IsZero() && now.Sub(h.heartbeatAt) < limit
}

// dropStaleHosts removes hosts that had no heartbeat for forgetAfter and are in
// neither the platform's list nor the settings.
func (t *Table) dropStaleHosts(now time.Time) {
	for name, h := range t.hosts {
		lastConfirmed := h.confirmedAt
		if h.heartbeatAt.After(lastConfirmed) {
			lastConfirmed = h.heartbeatAt
		}
		if h == t.self || now.Sub(lastConfirmed) < forgetAfter || t.list.contains(name) || t.isConfiguredPeer(name) {
			continue
		}
		delete(t.hosts, name)
		delete(t.hostsByID, h.id)
		for i, other := range t.hostRotation {
			if other == h {
				t.hostRotation = append(t.hostRotation[:i:i], t.hostRotation[i+1:]...)
				break
			}
		}
	}
}

func (t *Table) isConfiguredPeer(name string) bool {
	for _, p := range t.opts.Peers {
		if p.Host == name {
			return true
		}
	}
	return false
}

// LiveHosts returns the names of the zone's hosts with recent heartbeats,
// including leaving ones.
func (t *Table) LiveHosts(zone string, now time.Time) []string {
	var out []string
	for name, h := range t.hosts {
		if h.state.AvailabilityZone == zone && t.alive(h, now) {
			out = append(out, name)
		}
	}
	return out
}

// ActiveHosts returns the names of the zone's live hosts that are not leaving.
// Duties such as watching the platform are assigned only to these hosts, so that a
// leaving host has none to hand over when it stops.
func (t *Table) ActiveHosts(zone string, now time.Time) []string {
	var out []string
	for name, h := range t.hosts {
		if h.state.AvailabilityZone == zone && h.state.State != rpc.State_STATE_LEAVING && t.alive(h, now) {
			out = append(out, name)
		}
	}
	return out
}

// Watchers returns the n hosts of the zone that watch the platform. Hosts that
// cannot reach the platform are chosen only if no host of the zone can.
func (t *Table) Watchers(zone string, n int, now time.Time) []string {
	var connected, all []string
	for _, name := range t.ActiveHosts(zone, now) {
		all = append(all, name)
		if !t.hosts[name].state.PlatformFailed {
			connected = append(connected, name)
		}
	}
	if len(connected) == 0 {
		connected = all
	}
	return rendezvous.TopRanked("watch/"+zone, connected, n)
}

// ZonePeers returns the hosts of the zone that can be called, without the local
// host: live hosts, and silent ones, which had no recent heartbeat but may be
// running again.
func (t *Table) ZonePeers(zone string, now time.Time) (live, silent []Peer) {
	for name, h := range t.hosts {
		s := h.state
		if h == t.self || s.AvailabilityZone != zone || s.PeerAddress == "" {
			continue
		}
		p := Peer{Host: name, Zone: s.AvailabilityZone, Address: s.PeerAddress}
		if t.alive(h, now) {
			live = append(live, p)
		} else {
			silent = append(silent, p)
		}
	}
	return live, silent
}

// Zones returns the zones of all known hosts.
func (t *Table) Zones() []string {
	seen := make(map[string]bool)
	var out []string
	for _, h := range t.hostRotation {
		if zone := h.state.AvailabilityZone; zone != "" && !seen[zone] {
			seen[zone] = true
			out = append(out, zone)
		}
	}
	return out
}

// Hosts returns the states of all known hosts with the ages of their heartbeats.
func (t *Table) Hosts(now time.Time) []*rpc.HostState {
	out := make([]*rpc.HostState, 0, len(t.hostRotation))
	for _, h := range t.hostRotation {
		s := copyHostState(h.state)
		if !t.alive(h, now) {
			s.State = rpc.State_STATE_DEAD
			if h.heartbeatAt.IsZero() {
				s.State = rpc.State_STATE_UNKNOWN
			}
		}
		if !h.heartbeatAt.IsZero() {
			s.AgeMs = millis(now.Sub(h.heartbeatAt))
		}
		out = append(out, s)
	}
	return out
}

// LatestHeartbeat returns the time of the newest heartbeat of any host of the zone, or
// zero if there was none.
func (t *Table) LatestHeartbeat(zone string) time.Time {
	var latest time.Time
	for _, h := range t.hosts {
		if h.state.AvailabilityZone == zone && h.heartbeatAt.After(latest) {
			latest = h.heartbeatAt
		}
	}
	return latest
}

// Self returns the local host's state.
func (t *Table) Self() *rpc.HostState { return t.self.state }
