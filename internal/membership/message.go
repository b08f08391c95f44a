package membership

import (
	"slices"
	"time"

	"heatherbarrow/internal/rpc"
)

// Message returns a message of bounded size for a peer. It holds updates that were
// sent fewer than maxUpdateSends times. Parts of the remaining state are repeated in
// rotation or at random, which makes up for lost messages. A message to another zone
// has loads and heartbeats of the local zone only. A message that opens an exchange
// also has demand, if the peer is in the same zone, and requests the full states of
// hosts known by identifier only.
func (t *Table) Message(now time.Time, toOtherZone, opensExchange bool) *rpc.ExchangeMessage {
	m := &rpc.ExchangeMessage{
		From:         copyHostState(t.self.state),
		Heartbeats:   t.heartbeatDigest(now, toOtherZone),
		Loads:        t.loadDigest(now, toOtherZone),
		Hosts:        t.changedHosts(now),
		Replicas:     t.replicaMarks(),
		Quarantine:   t.quarantine.updates(toOtherZone),
		List:         t.listDigest(now),
		Limits:       t.limitUpdates(now),
		SuspectParts: t.partUpdates(now),
	}
	if !opensExchange {
		return m
	}
	if !toOtherZone {
		m.Demand = t.demandDigest(now)
	}
	for id := range t.wantedHostIDs {
		m.WantHosts = append(m.WantHosts, id)
	}
	clear(t.wantedHostIDs)
	return m
}

// Merge applies a message from a peer and reports whether the peer must also send
// the host names of its list.
func (t *Table) Merge(m *rpc.ExchangeMessage, now time.Time) (wantList bool) {
	if m.From != nil {
		t.mergeHost(copyHostState(m.From), now)
	}
	t.quarantine.merge(t, m.Quarantine, now)
	t.mergePartUpdates(m.SuspectParts, now)
	for _, s := range m.Hosts {
		t.mergeHost(s, now)
	}
	if m.Heartbeats != nil {
		t.mergeHeartbeatDigest(m.Heartbeats, now)
	}
	for _, s := range m.Replicas {
		t.mergeReplicaMark(s)
	}
	t.ObserveLimits(m.Limits, now)
	if m.Loads != nil {
		t.mergeLoadDigest(m.Loads, now)
	}
	if m.Demand != nil {
		t.mergeDemandDigest(m.Demand, now)
	}
	return m.List != nil && t.mergeListDigest(m.List, now)
}

// Answer adds to a reply what the peer requested in its message: full host states,
// and the host names of the platform's list if the peer has another list or none.
func (t *Table) Answer(reply, request *rpc.ExchangeMessage, now time.Time) {
	for _, id := range request.WantHosts {
		if h := t.hostsByID[id]; h != nil && len(reply.Hosts) < 2*maxHostStates {
			reply.Hosts = append(reply.Hosts, t.hostStateWithAge(h, now))
		}
	}
	// A host that restarted with an earlier clock must learn of its higher former
	// incarnation.
	if h := t.hosts[request.From.GetHost()]; h != nil && h.state.Incarnation > request.From.GetIncarnation() {
		reply.Hosts = append(reply.Hosts, t.hostStateWithAge(h, now))
	}
	if request.WantList || request.List == nil || reply.List != nil && request.List.Hash != reply.List.Hash {
		t.addHostNamesTo(reply.List)
	}
}

func (t *Table) listDigest(now time.Time) *rpc.HostListDigest {
	if t.list.fetchedAt.IsZero() {
		return nil
	}
	return &rpc.HostListDigest{AgeMs: millis(now.Sub(t.list.fetchedAt)), Hash: t.list.hash}
}

// AddHostNames adds the host names of the platform's list to a message.
func (t *Table) AddHostNames(m *rpc.ExchangeMessage) { t.addHostNamesTo(m.List) }

// addHostNamesTo adds the host names of all zones to a digest that has none yet.
func (t *Table) addHostNamesTo(d *rpc.HostListDigest) {
	if d == nil || len(d.Zones) > 0 {
		return
	}
	for _, zone := range t.list.zoneNames() {
		d.Zones = append(d.Zones, &rpc.ZoneHosts{AvailabilityZone: zone, Hosts: t.list.zones[zone]})
	}
}

func (t *Table) hostStateWithAge(h *host, now time.Time) *rpc.HostState {
	s := copyHostState(h.state)
	if !h.heartbeatAt.IsZero() {
		s.AgeMs = millis(now.Sub(h.heartbeatAt))
	}
	return s
}

// changedHosts returns full states of hosts whose latest change of incarnation,
// address or mark was sent fewer than maxUpdateSends times.
func (t *Table) changedHosts(now time.Time) []*rpc.HostState {
	var out []*rpc.HostState
	for _, h := range t.hostRotation {
		if len(out) == maxHostStates {
			break
		}
		if h.stateSends < maxUpdateSends && h != t.self && h.state.Incarnation != 0 {
			h.stateSends++
			out = append(out, t.hostStateWithAge(h, now))
		}
	}
	return out
}

// replicaMarks returns replicas whose state has changed between live and leaving:
// recent changes first, then others. The random order of map iteration repeats all
// of them over time, which makes up for lost messages.
func (t *Table) replicaMarks() []*rpc.ReplicaState {
	var out []*rpc.ReplicaState
	add := func(r *replica) {
		state := rpc.State_STATE_LIVE
		if r.leaving {
			state = rpc.State_STATE_LEAVING
		}
		out = append(out, &rpc.ReplicaState{Upstream: r.upstream, Replica: r.name, State: state, Mark: r.mark})
	}
	for _, r := range t.replicas {
		if r.mark > 0 && r.markSends < maxUpdateSends && len(out) < maxReplicaMarks {
			r.markSends++
			add(r)
		}
	}
	repeated := 0
	for _, r := range t.replicas {
		if repeated == maxReplicaMarks/4 {
			break
		}
		if r.mark > 0 && r.markSends >= maxUpdateSends {
			repeated++
			add(r)
		}
	}
	return out
}

// selectRows selects up to limit of n rows for a message. Up to three quarters
// are the rows sent the fewest times, without those sent maxUpdateSends times; the
// rest is filled in rotation from next. sends returns how often a row was sent, or
// notEligible. selectRows also returns the value of next for the following call.
func selectRows(n, limit, next int, sends func(i int) int) (selected []int, newNext int) {
	var bySends [maxUpdateSends][]int
	for i := range n {
		if s := sends(i); s >= 0 && s < maxUpdateSends && len(bySends[s]) < limit {
			bySends[s] = append(bySends[s], i)
		}
	}
	for _, rows := range bySends {
		available := limit - limit/4 - len(selected)
		selected = append(selected, rows[:min(available, len(rows))]...)
	}
	for steps := 0; steps < n && len(selected) < limit; steps++ {
		if next >= n {
			next = 0
		}
		if sends(next) >= 0 && !slices.Contains(selected, next) {
			selected = append(selected, next)
		}
		next++
	}
	return selected, next
}

// notEligible is returned by the sends argument of selectRows for rows that must
// not be in the message.
const notEligible = -1

// heartbeatDigest returns heartbeats of the local zone and, for a peer in this zone,
// of other zones. Each group has its own limit of rows: with a common one, the many
// hosts of other zones crowd out those of the local zone, which then count as dead.
func (t *Table) heartbeatDigest(now time.Time, toOtherZone bool) *rpc.HeartbeatDigest {
	d := &rpc.HeartbeatDigest{}
	t.addHeartbeatRows(d, now, true, maxHeartbeatRows, &t.nextHost)
	if !toOtherZone {
		t.addHeartbeatRows(d, now, false, maxRemoteHeartbeatRows, &t.nextRemoteHost)
	}
	return d
}

func (t *Table) addHeartbeatRows(d *rpc.HeartbeatDigest, now time.Time, localZone bool, limit int, next *int) {
	var selected []int
	selected, *next = selectRows(len(t.hostRotation), limit, *next, func(i int) int {
		h := t.hostRotation[i]
		if h == t.self || h.state.Incarnation == 0 || localZone != (h.state.AvailabilityZone == t.opts.Zone) {
			return notEligible
		}
		return h.heartbeatSends
	})
	for _, i := range selected {
		h := t.hostRotation[i]
		h.heartbeatSends++
		flags := uint32(0)
		if h.state.PlatformFailed {
			flags = flagPlatformFailed
		}
		d.Id = append(d.Id, h.id)
		d.Heartbeat = append(d.Heartbeat, uint32(h.state.Heartbeat))
		d.AgeMs = append(d.AgeMs, millis(now.Sub(h.heartbeatAt)))
		d.Generation = append(d.Generation, h.state.Generation)
		d.Flags = append(d.Flags, flags)
	}
}

// mergeHeartbeatDigest applies a peer's heartbeat digest. The states of hosts with an
// unknown identifier are requested in the next message that opens an exchange.
func (t *Table) mergeHeartbeatDigest(d *rpc.HeartbeatDigest, now time.Time) {
	n := min(len(d.Id), len(d.Heartbeat), len(d.AgeMs), len(d.Generation), len(d.Flags))
	for i := range n {
		h := t.hostsByID[d.Id[i]]
		if h == nil {
			t.wantedHostIDs[d.Id[i]] = true
			continue
		}
		if h == t.self {
			continue
		}
		heartbeatTime := now.Add(-time.Duration(d.AgeMs[i]) * time.Millisecond)
		t.mergeHeartbeat(h, uint64(d.Heartbeat[i]), d.Generation[i], d.Flags[i]&flagPlatformFailed != 0, heartbeatTime)
	}
}

// loadDigest returns loads of replicas in the local zone and, for a peer in this
// zone, in other zones, each group with its own limit of rows.
func (t *Table) loadDigest(now time.Time, toOtherZone bool) *rpc.LoadDigest {
	d := &rpc.LoadDigest{Generation: t.generation}
	t.addLoadRows(d, now, true, maxLoadRows, &t.nextLoad)
	if !toOtherZone {
		t.addLoadRows(d, now, false, maxRemoteLoadRows, &t.nextRemoteLoad)
	}
	return d
}

func (t *Table) addLoadRows(d *rpc.LoadDigest, now time.Time, localZone bool, limit int, next *int) {
	var selected []int
	selected, *next = selectRows(len(t.replicasByIndex), limit, *next, func(i int) int {
		r := t.replicasByIndex[i]
		if r.load.calledAt.IsZero() || localZone != (r.zone == t.opts.Zone) {
			return notEligible
		}
		return r.loadSends
	})
	for _, i := range selected {
		t.replicasByIndex[i].loadSends++
		t.replicasByIndex[i].appendLoadRow(d, now)
	}
}
