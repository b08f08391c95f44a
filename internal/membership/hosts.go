package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherbarrow/internal/rpc"
)

// hostID is a short name of one start of a host.
func hostID(name string, incarnation uint64) uint32 {
	return uint32(xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(name), incarnation)))
}

func (t *Table) seed(p Peer, now time.Time) *host {
	if h := t.hosts[p.Host]; h != nil {
		return h
	}
	h := &host{seeded: now, newsSent: maxSends, sends: maxSends, state: &rpc.HostState{
		Host: p.Host, AvailabilityZone: p.Zone, PeerAddress: p.Address, State: rpc.State_STATE_UNKNOWN,
	}}
	t.hosts[p.Host] = h
	t.order = append(t.order, h)
	return h
}

// Beat makes the own next heartbeat.
func (t *Table) Beat(now time.Time, platformFailed bool) {
	s := t.self.state
	t.self.state = &rpc.HostState{
		Host: s.Host, AvailabilityZone: s.AvailabilityZone, PeerAddress: s.PeerAddress, State: s.State, Mark: s.Mark,
		Incarnation: s.Incarnation, Heartbeat: s.Heartbeat + 1, Generation: t.generation, PlatformFailed: platformFailed,
	}
	t.self.heardAt = now
	t.self.sends = 0
	t.forget(now)
	t.quarantine.expire(now)
	t.forgetDemand(now)
	t.version++
}

// Leave marks the own host as leaving for good: only a new start returns.
func (t *Table) Leave(now time.Time) {
	t.drained = true
	if t.self.state.State != rpc.State_STATE_LEAVING {
		t.markHost(t.self, true, now)
	}
}

func (t *Table) markHost(h *host, leaving bool, now time.Time) {
	next := copyHost(h.state)
	next.Mark++
	next.State = rpc.State_STATE_LIVE
	if leaving {
		next.State = rpc.State_STATE_LEAVING
	}
	h.state = next
	h.newsSent = 0
	if h.heardAt.IsZero() {
		h.seeded = now
	}
	t.changed(true)
}

func copyHost(s *rpc.HostState) *rpc.HostState {
	return &rpc.HostState{
		Host: s.Host, AvailabilityZone: s.AvailabilityZone, PeerAddress: s.PeerAddress, State: s.State, Mark: s.Mark,
		Incarnation: s.Incarnation, Heartbeat: s.Heartbeat, Generation: s.Generation, PlatformFailed: s.PlatformFailed,
	}
}

// maxIncarnation bounds what is taken for the start of a host, in milliseconds
// since 1970 with additions for clocks that went back. Beyond it, the next one that
// mergeSelf chooses would overflow.
const maxIncarnation = 1 << 62

// mergeHost takes over a full host state that was learned from a peer.
func (t *Table) mergeHost(s *rpc.HostState, now time.Time) {
	if s.Incarnation > maxIncarnation {
		return
	}
	heard := now.Add(-time.Duration(s.AgeMs) * time.Millisecond)
	h := t.hosts[s.Host]
	switch {
	case s.Host == t.opts.Host:
		t.mergeSelf(s, now)
	case h == nil || s.Incarnation > h.state.Incarnation:
		t.firstHeard(h, s, heard, now)
	case s.Incarnation == h.state.Incarnation:
		t.mergeMark(h, s)
		t.mergeHeartbeat(h, s.Heartbeat, s.Generation, s.PlatformFailed, heard)
	}
}

// firstHeard takes over a new start of a host. A leaving state that the
// platform's list gave before the host was ever heard stays: it is not known
// which start the list means, and the list takes it back itself.
func (t *Table) firstHeard(known *host, s *rpc.HostState, heard, now time.Time) {
	if s.Incarnation == 0 {
		return
	}
	listedLeaving := known != nil && known.state.Incarnation == 0 && known.state.State == rpc.State_STATE_LEAVING
	t.putHost(copyHost(s), heard, now)
	if listedLeaving && s.State != rpc.State_STATE_LEAVING {
		t.markHost(t.hosts[s.Host], true, now)
	}
}

// mergeSelf takes over a mark that another source set for this start of the own
// host, for example the platform's list. When peers know a start of this host
// that seems later, because the clock went back, the own start is renumbered.
func (t *Table) mergeSelf(s *rpc.HostState, now time.Time) {
	own := t.self.state
	switch {
	case s.Incarnation == own.Incarnation:
		t.mergeMark(t.self, s)
		if t.drained && t.self.state.State != rpc.State_STATE_LEAVING {
			t.markHost(t.self, true, now)
		}
	case s.Incarnation > own.Incarnation:
		next := copyHost(own)
		next.Incarnation = s.Incarnation + 1
		t.putHost(next, now, now)
	}
}

// mergeMark lets the higher mark win; at the same mark leaving wins, because
// work sent to a leaving host or replica is lost and work withheld is not.
func (t *Table) mergeMark(h *host, s *rpc.HostState) {
	higher := s.Mark > h.state.Mark
	if !higher && (s.Mark != h.state.Mark || s.State != rpc.State_STATE_LEAVING || h.state.State == rpc.State_STATE_LEAVING) {
		return
	}
	next := copyHost(h.state)
	next.Mark, next.State = s.Mark, s.State
	h.state = next
	h.newsSent = 0
	t.changed(true)
}

func (t *Table) putHost(s *rpc.HostState, heard, now time.Time) {
	h := t.hosts[s.Host]
	if h == nil {
		h = &host{}
		t.hosts[s.Host] = h
		t.order = append(t.order, h)
	}
	delete(t.hostIDs, h.id)
	h.state, h.heardAt, h.seeded = s, heard, now
	h.id = hostID(s.Host, s.Incarnation)
	h.sends, h.newsSent = 0, 0
	t.hostIDs[h.id] = h
	delete(t.wanted, h.id)
	t.changed(s.State == rpc.State_STATE_LEAVING)
}

func (t *Table) mergeHeartbeat(h *host, heartbeat, generation uint64, failed bool, heard time.Time) {
	if heartbeat <= h.state.Heartbeat {
		return
	}
	remote := h.state.AvailabilityZone != t.opts.Zone
	if remote && heard.Sub(h.heardAt) < remoteRefresh(len(t.order), hostsPerRefresh) && generation <= h.state.Generation {
		return
	}
	next := copyHost(h.state)
	next.Heartbeat, next.Generation, next.PlatformFailed = heartbeat, max(generation, next.Generation), failed
	h.state = next
	if heard.After(h.heardAt) {
		h.heardAt = heard
	}
	h.sends = 0
	t.version++
}

// alive tells whether the host's heartbeats are fresh.
func (t *Table) alive(h *host, now time.Time) bool {
	if h == t.self {
		return true
	}
	limit := ZoneDeadAfter
	if h.state.AvailabilityZone != t.opts.Zone {
		limit = RemoteDeadAfter
	}
	return !h.heardAt.IsZero() && now.Sub(h.heardAt) < limit
}

// forget drops hosts that nothing has confirmed for long.
func (t *Table) forget(now time.Time) {
	for name, h := range t.hosts {
		last := h.seeded
		if h.heardAt.After(last) {
			last = h.heardAt
		}
		if h == t.self || now.Sub(last) < forgetAfter || t.list.has(name) || t.configured(name) {
			continue
		}
		delete(t.hosts, name)
		delete(t.hostIDs, h.id)
		for i, other := range t.order {
			if other == h {
				t.order = append(t.order[:i:i], t.order[i+1:]...)
				break
			}
		}
	}
}

func (t *Table) configured(name string) bool {
	for _, p := range t.opts.Peers {
		if p.Host == name {
			return true
		}
	}
	return false
}

// Live returns the names of the zone's hosts whose heartbeats are fresh,
// leaving ones included.
func (t *Table) Live(zone string, now time.Time) []string {
	var out []string
	for name, h := range t.hosts {
		if h.state.AvailabilityZone == zone && t.alive(h, now) {
			out = append(out, name)
		}
	}
	return out
}

// Staying returns the names of the zone's live hosts that are not leaving. Work
// that moves when a host goes is given to these only.
func (t *Table) Staying(zone string, now time.Time) []string {
	var out []string
	for name, h := range t.hosts {
		if h.state.AvailabilityZone == zone && h.state.State != rpc.State_STATE_LEAVING && t.alive(h, now) {
			out = append(out, name)
		}
	}
	return out
}

// Watchers returns the hosts of the zone that hold the platform watch. Hosts
// that got no answer from the platform are passed over while any other is left.
func (t *Table) Watchers(zone string, n int, now time.Time) []string {
	var able, all []string
	for _, name := range t.Staying(zone, now) {
		all = append(all, name)
		if !t.hosts[name].state.PlatformFailed {
			able = append(able, name)
		}
	}
	if len(able) == 0 {
		able = all
	}
	return Top("watch/"+zone, able, n)
}

// Contacts returns the hosts of a zone other than the own one that a call may
// reach: live ones, and silent ones that may be back.
func (t *Table) Contacts(zone string, now time.Time) (live, silent []Peer) {
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

// Zones returns all zones in which hosts are known.
func (t *Table) Zones() []string {
	seen := make(map[string]bool)
	var out []string
	for _, h := range t.order {
		if zone := h.state.AvailabilityZone; zone != "" && !seen[zone] {
			seen[zone] = true
			out = append(out, zone)
		}
	}
	return out
}

// Hosts returns all known hosts with the age of their heartbeats.
func (t *Table) Hosts(now time.Time) []*rpc.HostState {
	out := make([]*rpc.HostState, 0, len(t.order))
	for _, h := range t.order {
		s := copyHost(h.state)
		if !t.alive(h, now) {
			s.State = rpc.State_STATE_DEAD
			if h.heardAt.IsZero() {
				s.State = rpc.State_STATE_UNKNOWN
			}
		}
		if !h.heardAt.IsZero() {
			s.AgeMs = millis(now.Sub(h.heardAt))
		}
		out = append(out, s)
	}
	return out
}

// LastHeard returns when any host of the zone was last heard.
func (t *Table) LastHeard(zone string) time.Time {
	var last time.Time
	for _, h := range t.hosts {
		if h.state.AvailabilityZone == zone && h.heardAt.After(last) {
			last = h.heardAt
		}
	}
	return last
}

// Self returns the own host's state.
func (t *Table) Self() *rpc.HostState { return t.self.state }
