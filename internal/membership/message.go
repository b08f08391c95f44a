package membership

import (
	"slices"
	"time"

	"heatherbarrow/internal/rpc"
)

// Message returns what to tell a peer: news first, then parts of everything
// known in turn, so that lost messages are repaired. Its size is bounded. A
// message to another zone has rows of loads and heartbeats of the own zone only. A
// message that opens an exchange also tells demand and asks for hosts that are
// known by identifier only.
func (t *Table) Message(now time.Time, remote, opens bool) *rpc.ExchangeMessage {
	m := &rpc.ExchangeMessage{
		From:       copyHost(t.self.state),
		Heartbeats: t.heartbeats(now, remote),
		Loads:      t.loads(now, remote),
		Hosts:      t.hostNews(now),
		Replicas:   t.marks(),
		Quarantine: t.quarantine.message(remote),
		List:       t.listDigest(now),
	}
	if !opens {
		return m
	}
	if !remote {
		m.Demand = t.demandDigest(now)
	}
	for id := range t.wanted {
		m.WantHosts = append(m.WantHosts, id)
	}
	clear(t.wanted)
	return m
}

// Merge takes over what a peer tells and returns true when the names of the
// peer's host list are needed.
func (t *Table) Merge(m *rpc.ExchangeMessage, now time.Time) (wantList bool) {
	if m.From != nil {
		t.mergeHost(copyHost(m.From), now)
	}
	t.quarantine.merge(t, m.Quarantine, now)
	for _, s := range m.Hosts {
		t.mergeHost(s, now)
	}
	if m.Heartbeats != nil {
		t.mergeHeartbeats(m.Heartbeats, now)
	}
	for _, s := range m.Replicas {
		t.mergeReplicaMark(s)
	}
	if m.Loads != nil {
		t.mergeLoads(m.Loads, now)
	}
	if m.Demand != nil {
		t.mergeDemand(m.Demand, now)
	}
	return m.List != nil && t.mergeList(m.List, now)
}

// Answer adds to a message what the peer asked for in its own.
func (t *Table) Answer(m, asked *rpc.ExchangeMessage, now time.Time) {
	for _, id := range asked.WantHosts {
		if h := t.hostIDs[id]; h != nil && len(m.Hosts) < 2*maxHostNews {
			m.Hosts = append(m.Hosts, t.fullState(h, now))
		}
	}
	// A host that started with a clock behind its former one must learn of it.
	if h := t.hosts[asked.From.GetHost()]; h != nil && h.state.Incarnation > asked.From.GetIncarnation() {
		m.Hosts = append(m.Hosts, t.fullState(h, now))
	}
	if asked.WantList || asked.List == nil || m.List != nil && asked.List.Hash != m.List.Hash {
		t.addZones(m.List)
	}
}

func (t *Table) listDigest(now time.Time) *rpc.HostListDigest {
	if t.list.at.IsZero() {
		return nil
	}
	return &rpc.HostListDigest{AgeMs: millis(now.Sub(t.list.at)), Hash: t.list.hash}
}

// AddNames adds the names of the platform's list to a message.
func (t *Table) AddNames(m *rpc.ExchangeMessage) { t.addZones(m.List) }

func (t *Table) addZones(d *rpc.HostListDigest) {
	if d == nil || len(d.Zones) > 0 {
		return
	}
	for _, zone := range t.list.zoneNames() {
		d.Zones = append(d.Zones, &rpc.ZoneHosts{AvailabilityZone: zone, Hosts: t.list.zones[zone]})
	}
}

func (t *Table) fullState(h *host, now time.Time) *rpc.HostState {
	s := copyHost(h.state)
	if !h.heardAt.IsZero() {
		s.AgeMs = millis(now.Sub(h.heardAt))
	}
	return s
}

// hostNews returns hosts whose start, address or mark is news.
func (t *Table) hostNews(now time.Time) []*rpc.HostState {
	var out []*rpc.HostState
	for _, h := range t.order {
		if len(out) == maxHostNews {
			break
		}
		if h.newsSent < maxSends && h != t.self && h.state.Incarnation != 0 {
			h.newsSent++
			out = append(out, t.fullState(h, now))
		}
	}
	return out
}

// marks returns the leaving and returned replicas: news first, then others in
// the order of the map, which is random and so repairs in the long run.
func (t *Table) marks() []*rpc.ReplicaState {
	var out []*rpc.ReplicaState
	add := func(r *replica) {
		state := rpc.State_STATE_LIVE
		if r.leaving {
			state = rpc.State_STATE_LEAVING
		}
		out = append(out, &rpc.ReplicaState{Upstream: r.upstream, Replica: r.name, State: state, Mark: r.mark})
	}
	for _, r := range t.replicas {
		if r.mark > 0 && r.marksSent < maxSends && len(out) < maxMarks {
			r.marksSent++
			add(r)
		}
	}
	repair := 0
	for _, r := range t.replicas {
		if repair == maxMarks/4 {
			break
		}
		if r.mark > 0 && r.marksSent >= maxSends {
			repair++
			add(r)
		}
	}
	return out
}

// pick returns the candidates sent least often, and fills a quarter of the
// places with others in rotation. sends is negative for what has no place.
func pick(n, limit, next int, sends func(i int) int) (chosen []int, after int) {
	var bySends [maxSends][]int
	for i := range n {
		if s := sends(i); s >= 0 && s < maxSends && len(bySends[s]) < limit {
			bySends[s] = append(bySends[s], i)
		}
	}
	for _, rows := range bySends {
		room := limit - limit/4 - len(chosen)
		chosen = append(chosen, rows[:min(room, len(rows))]...)
	}
	for steps := 0; steps < n && len(chosen) < limit; steps++ {
		if next >= n {
			next = 0
		}
		if sends(next) >= 0 && !slices.Contains(chosen, next) {
			chosen = append(chosen, next)
		}
		next++
	}
	return chosen, next
}

const notForMessage = -1

// heartbeats has places of their own for hosts of the own zone and for others:
// without them, the many others crowd out the zone's own, which are then taken
// for dead.
func (t *Table) heartbeats(now time.Time, remote bool) *rpc.HeartbeatDigest {
	d := &rpc.HeartbeatDigest{}
	t.addHeartbeats(d, now, true, maxHeartbeats, &t.hostNext)
	if !remote {
		t.addHeartbeats(d, now, false, maxRemoteHeartbeats, &t.remoteHostNext)
	}
	return d
}

func (t *Table) addHeartbeats(d *rpc.HeartbeatDigest, now time.Time, own bool, limit int, next *int) {
	var chosen []int
	chosen, *next = pick(len(t.order), limit, *next, func(i int) int {
		h := t.order[i]
		if h == t.self || h.state.Incarnation == 0 || own != (h.state.AvailabilityZone == t.opts.Zone) {
			return notForMessage
		}
		return h.sends
	})
	for _, i := range chosen {
		h := t.order[i]
		h.sends++
		flags := uint32(0)
		if h.state.PlatformFailed {
			flags = flagNoPlatform
		}
		d.Id = append(d.Id, h.id)
		d.Heartbeat = append(d.Heartbeat, uint32(h.state.Heartbeat))
		d.AgeMs = append(d.AgeMs, millis(now.Sub(h.heardAt)))
		d.Generation = append(d.Generation, h.state.Generation)
		d.Flags = append(d.Flags, flags)
	}
}

func (t *Table) mergeHeartbeats(d *rpc.HeartbeatDigest, now time.Time) {
	n := min(len(d.Id), len(d.Heartbeat), len(d.AgeMs), len(d.Generation), len(d.Flags))
	for i := range n {
		h := t.hostIDs[d.Id[i]]
		if h == nil {
			t.wanted[d.Id[i]] = true
			continue
		}
		if h == t.self {
			continue
		}
		heard := now.Add(-time.Duration(d.AgeMs[i]) * time.Millisecond)
		t.mergeHeartbeat(h, uint64(d.Heartbeat[i]), d.Generation[i], d.Flags[i]&flagNoPlatform != 0, heard)
	}
}

func (t *Table) loads(now time.Time, remote bool) *rpc.LoadDigest {
	d := &rpc.LoadDigest{Generation: t.generation}
	t.addLoads(d, now, true, maxLoads, &t.loadNext)
	if !remote {
		t.addLoads(d, now, false, maxRemoteLoads, &t.remoteLoadNext)
	}
	return d
}

func (t *Table) addLoads(d *rpc.LoadDigest, now time.Time, own bool, limit int, next *int) {
	var chosen []int
	chosen, *next = pick(len(t.indexed), limit, *next, func(i int) int {
		r := t.indexed[i]
		if r.load.at.IsZero() || own != (r.zone == t.opts.Zone) {
			return notForMessage
		}
		return r.sends
	})
	for _, i := range chosen {
		t.indexed[i].sends++
		t.indexed[i].appendTo(d, now)
	}
}
