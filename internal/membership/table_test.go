package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/rendezvous"
	"heatherbarrow/internal/rpc"
)

var start = time.Unix(1_700_000_000, 0)

// network runs the tables of several hosts in virtual time. Every half second, each
// host opens an exchange with a random peer of its zone, as in production.
type network struct {
	t           testing.TB
	now         time.Time
	rng         *rand.Rand
	hosts       map[string]*Table
	names       []string
	down        map[string]bool
	partitioned func(a, b string) bool

	observeAll bool // hosts observe the replicas assigned to them
	sentBytes  int  // total size of all messages
}

func newNetwork(t testing.TB, zones, perZone int) *network {
	n := &network{t: t, now: start, rng: rand.New(rand.NewPCG(1, 2)), hosts: map[string]*Table{}, down: map[string]bool{}}
	var peers []Peer
	for z := range zones {
		for h := range perZone {
			name := fmt.Sprintf("z%d-h%d", z, h)
			peers = append(peers, Peer{Host: name, Zone: fmt.Sprintf("z%d", z), Address: name + ":1"})
		}
	}
	for _, p := range peers {
		n.names = append(n.names, p.Host)
		n.start(p, peers)
	}
	return n
}

func (n *network) start(p Peer, peers []Peer) {
	table := NewTable(Options{
		Host: p.Host, Zone: p.Zone, PeerAddress: p.Address, Incarnation: uint64(n.now.UnixMilli()), Peers: peers,
	}, n.now)
	table.SetBundle(testBundle(), 1)
	n.hosts[p.Host] = table
}

func testBundle() *bundle.Bundle {
	return &bundle.Bundle{Upstreams: []bundle.Upstream{{
		Name: "models", Kind: bundle.KindEngine, Models: []string{"a", "b"},
		Replicas: []bundle.Replica{{ID: "e1", AvailabilityZone: "z0"}, {ID: "e2", AvailabilityZone: "z1"}},
	}}}
}

func (n *network) exchange(from, to string, toOtherZone bool) {
	if n.down[from] || n.down[to] || n.partitioned != nil && n.partitioned(from, to) {
		return
	}
	a, b := n.hosts[from], n.hosts[to]
	request := a.Message(n.now, toOtherZone, true)
	n.sentBytes += proto.Size(request)
	if b.Merge(request, n.now) {
		a.AddHostNames(request)
		b.Merge(request, n.now)
	}
	reply := b.Message(n.now, toOtherZone, false)
	b.Answer(reply, request, n.now)
	n.sentBytes += proto.Size(reply)
	a.Merge(reply, n.now)
}

// run advances the time. Two hosts of each zone also exchange messages with other
// zones every second.
func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(500 * time.Millisecond) {
		wholeSecond := n.now.Sub(start)%time.Second == 0
		for _, name := range n.names {
			if n.down[name] {
				continue
			}
			if wholeSecond {
				n.tick(name)
			}
			zone := n.hosts[name].opts.Zone
			if peer := n.peer(name, func(p string) bool { return n.hosts[p].opts.Zone == zone }); peer != "" {
				n.exchange(name, peer, false)
			}
		}
	}
}

// tick runs what a host does every second.
func (n *network) tick(name string) {
	table := n.hosts[name]
	zone := table.opts.Zone
	table.AdvanceHeartbeat(n.now, false)
	active := table.ActiveHosts(zone, n.now)
	if n.observeAll {
		for i, r := range table.replicasByIndex {
			if r.zone == zone && rendezvous.InTop(r.key, name, active, 2) {
				table.Observe(Observation{Upstream: r.upstream, Replica: r.name, CalledAt: n.now, Reachable: true, HasLoad: true, Running: uint32(i % 16), TokensPerSecond: 400})
			}
		}
	}
	if rendezvous.InTop("watch/"+zone, name, active, 2) {
		if peer := n.peer(name, func(p string) bool { return n.hosts[p].opts.Zone != zone }); peer != "" {
			n.exchange(name, peer, true)
		}
	}
}

// peer returns a random other host that is allowed, or "" if none is found.
func (n *network) peer(name string, allowed func(candidate string) bool) string {
	for range 200 {
		if candidate := n.names[n.rng.IntN(len(n.names))]; candidate != name && allowed(candidate) {
			return candidate
		}
	}
	return ""
}

// state returns the state of a host as seen by the observer.
func (n *network) state(observer, host string) rpc.State {
	for _, h := range n.hosts[observer].Hosts(n.now) {
		if h.Host == host {
			return h.State
		}
	}
	return rpc.State_STATE_UNKNOWN
}

func firstReplicaState(t *Table, now time.Time) rpc.State { return t.Replicas(now)[0].State }

// Guards against hosts that never become live, that stay live after a crash, or
// that stay dead after a restart.
func TestHostLivenessAcrossCrashAndRestart(t *testing.T) {
	n := newNetwork(t, 2, 8)
	n.run(15 * time.Second)
	for _, observer := range n.names {
		for _, host := range n.names {
			require.Equal(t, rpc.State_STATE_LIVE, n.state(observer, host), "%s sees %s", observer, host)
		}
	}
	n.down["z0-h3"] = true
	n.run(10 * time.Second)
	require.Equal(t, rpc.State_STATE_DEAD, n.state("z0-h1", "z0-h3"))
	require.NotContains(t, n.hosts["z0-h1"].Watchers("z0", 8, n.now), "z0-h3")
	n.down["z0-h3"] = false
	n.start(Peer{Host: "z0-h3", Zone: "z0", Address: "new:1"}, []Peer{{Host: "z0-h1", Zone: "z0", Address: "z0-h1:1"}})
	n.run(10 * time.Second)
	require.Equal(t, rpc.State_STATE_LIVE, n.state("z0-h1", "z0-h3"))
	require.Equal(t, rpc.State_STATE_LIVE, n.state("z0-h3", "z0-h5"))
}

// Guards against a partitioned zone that still sees the hosts of other zones as live,
// and against zones that do not reconnect after the partition.
func TestZonesReconnectAfterPartition(t *testing.T) {
	n := newNetwork(t, 2, 4)
	n.run(15 * time.Second)
	n.partitioned = func(a, b string) bool { return a[:2] != b[:2] }
	n.run(RemoteDeadAfter + time.Second)
	require.Equal(t, rpc.State_STATE_DEAD, n.state("z0-h1", "z1-h1"))
	require.Equal(t, rpc.State_STATE_LIVE, n.state("z0-h1", "z0-h2"))
	n.partitioned = nil
	n.run(15 * time.Second)
	require.Equal(t, rpc.State_STATE_LIVE, n.state("z0-h1", "z1-h1"))
}

// Guards against a restarted host that peers ignore forever because its clock is
// earlier than at its former start.
func TestRestartWithEarlierClockRaisesIncarnation(t *testing.T) {
	n := newNetwork(t, 1, 3)
	n.run(5 * time.Second)
	old := n.hosts["z0-h0"].Self().Incarnation
	n.hosts["z0-h0"] = NewTable(Options{Host: "z0-h0", Zone: "z0", PeerAddress: "x:1", Incarnation: old - 5000,
		Peers: []Peer{{Host: "z0-h1", Zone: "z0", Address: "z0-h1:1"}}}, n.now)
	n.run(10 * time.Second)
	require.Greater(t, n.hosts["z0-h0"].Self().Incarnation, old)
	require.Equal(t, rpc.State_STATE_LIVE, n.state("z0-h1", "z0-h0"))
}

// Guards against a leaving host or replica that gets work again because a stale
// source, here a host list, still shows it as live (property P6 of internal/faults).
func TestStaleListDoesNotRevertLeavingState(t *testing.T) {
	n := newNetwork(t, 2, 4)
	n.run(5 * time.Second)
	live := &objectstore.HostList{
		Hosts:     []objectstore.Host{{Name: "z0-h1", AvailabilityZone: "z0", State: "live"}},
		Upstreams: []objectstore.Upstream{{Upstream: "models", Replica: "e1", State: "live"}},
	}
	leaving := &objectstore.HostList{Hosts: live.Hosts, Upstreams: []objectstore.Upstream{{Upstream: "models", Replica: "e1", State: "leaving"}}}
	n.hosts["z0-h0"].ApplyHostList(leaving, n.now)
	n.hosts["z0-h1"].Leave(n.now)
	n.run(4 * time.Second)
	for _, name := range n.names[:4] {
		n.hosts[name].ApplyHostList(live, n.now)
	}
	n.run(4 * time.Second)
	// The list polled by z0-h0 showed the replica as leaving, so a live entry reverts
	// that. No list showed z0-h1 as leaving, so none reverts its Leave.
	require.Equal(t, rpc.State_STATE_LIVE, firstReplicaState(n.hosts["z0-h2"], n.now))
	require.Equal(t, rpc.State_STATE_LEAVING, n.state("z0-h2", "z0-h1"))

	n.hosts["z0-h3"].ApplyHostList(leaving, n.now)
	n.run(4 * time.Second)
	for range 5 {
		n.hosts["z0-h2"].ApplyHostList(live, n.now)
		n.run(time.Second)
	}
	for _, name := range n.names {
		require.Equal(t, rpc.State_STATE_LEAVING, firstReplicaState(n.hosts[name], n.now), name)
	}
}

// Guards against a host that stays leaving after the platform's list shows it as
// live again, and against a list that makes a drained host live again.
func TestListRevertsLeavingExceptForDrainedHost(t *testing.T) {
	n := newNetwork(t, 1, 3)
	n.run(5 * time.Second)
	applyState := func(state string) {
		l := &objectstore.HostList{}
		for _, name := range n.names {
			l.Hosts = append(l.Hosts, objectstore.Host{Name: name, AvailabilityZone: "z0", State: "live"})
		}
		l.Hosts[0].State = state
		for _, name := range n.names {
			n.hosts[name].ApplyHostList(l, n.now)
		}
		n.run(4 * time.Second)
	}
	for _, drained := range []bool{false, true} {
		applyState("live")
		if drained {
			n.hosts["z0-h0"].Leave(n.now)
			n.run(4 * time.Second)
		}
		applyState("leaving")
		for _, observer := range n.names {
			require.Equal(t, rpc.State_STATE_LEAVING, n.state(observer, "z0-h0"), "%s, drained %v", observer, drained)
		}
		applyState("live")
		for _, observer := range n.names {
			require.Equal(t, drained, n.state(observer, "z0-h0") == rpc.State_STATE_LEAVING, "%s, drained %v", observer, drained)
		}
	}
}

// Guards against a replica that is still leaving after it has restarted.
func TestRestartClearsReplicaLeavingState(t *testing.T) {
	n := newNetwork(t, 1, 2)
	table := n.hosts["z0-h0"]
	table.ApplyHostList(&objectstore.HostList{Upstreams: []objectstore.Upstream{{Upstream: "models", Replica: "e1", State: "leaving"}}}, n.now)
	require.Equal(t, rpc.State_STATE_LEAVING, firstReplicaState(table, n.now))
	table.Observe(Observation{Upstream: "models", Replica: "e1", CalledAt: n.now, Reachable: true, Restarted: true, HasLoad: true})
	require.Equal(t, rpc.State_STATE_LIVE, firstReplicaState(table, n.now))
}

// Guards against load ages that are reset when a host passes them on, which would
// make an old report look recent when a replica is picked, and against loads that do
// not reach all hosts of the zone.
func TestLoadAgeAccumulatesAcrossHops(t *testing.T) {
	n := newNetwork(t, 1, 12)
	n.run(5 * time.Second)
	n.hosts["z0-h0"].Observe(Observation{Upstream: "models", Replica: "e1", CalledAt: n.now, Reachable: true,
		HasLoad: true, Lag: 300 * time.Millisecond, Running: 7, Models: []string{"b"}, Role: "decode"})
	observed := n.now
	n.run(6 * time.Second)
	for _, name := range n.names {
		r := n.hosts[name].Replicas(n.now)[0]
		require.True(t, r.HasLoad, name)
		require.EqualValues(t, 7, r.Running)
		require.Equal(t, []string{"b"}, r.Models)
		require.Equal(t, "decode", r.Role)
		require.EqualValues(t, n.now.Sub(observed).Milliseconds()+300, r.ReportAgeMs, name)
	}
}

// Guards against a replica that counts as dead because only one of its observers
// cannot reach it, and against a dead replica that still counts as live.
func TestReplicaIsDeadOnlyWhenNoObserverReachesIt(t *testing.T) {
	n := newNetwork(t, 1, 4)
	n.run(5 * time.Second)
	step := func(secondReachable bool) {
		n.hosts["z0-h0"].Observe(Observation{Upstream: "models", Replica: "e1", CalledAt: n.now})
		n.hosts["z0-h1"].Observe(Observation{Upstream: "models", Replica: "e1", CalledAt: n.now, Reachable: secondReachable, HasLoad: secondReachable})
		n.run(time.Second)
	}
	step(true)
	for range 15 {
		step(true)
		require.Equal(t, rpc.State_STATE_LIVE, firstReplicaState(n.hosts["z0-h3"], n.now))
	}
	for range 10 {
		step(false)
	}
	require.Equal(t, rpc.State_STATE_DEAD, firstReplicaState(n.hosts["z0-h3"], n.now))
	for range 4 {
		step(true)
	}
	require.Equal(t, rpc.State_STATE_LIVE, firstReplicaState(n.hosts["z0-h3"], n.now))
}

// Guards against loads that are attributed to the wrong replica while hosts have
// different bundles, in which the positions of replicas differ.
func TestLoadsOfAnotherBundleAreIgnored(t *testing.T) {
	n := newNetwork(t, 1, 2)
	n.run(2 * time.Second)
	other := testBundle()
	other.Upstreams[0].Replicas[0].ID = "e9"
	n.hosts["z0-h1"].SetBundle(other, 2)
	n.hosts["z0-h0"].Observe(Observation{Upstream: "models", Replica: "e1", CalledAt: n.now, Reachable: true, HasLoad: true})
	n.run(3 * time.Second)
	require.False(t, n.hosts["z0-h1"].Replicas(n.now)[0].HasLoad)
}

// Guards against floors that grow when hosts send no heartbeats: such a host may
// still serve requests and use its floor.
func TestSilentHostsKeepTheirShareOfEntitlement(t *testing.T) {
	n := newNetwork(t, 1, 3)
	list := &objectstore.HostList{}
	for _, name := range n.names {
		list.Hosts = append(list.Hosts, objectstore.Host{Name: name, AvailabilityZone: "z0", State: "live"})
	}
	n.hosts["z0-h0"].ApplyHostList(list, n.now)
	n.run(5 * time.Second)
	n.down["z0-h1"], n.down["z0-h2"] = true, true
	n.run(time.Minute)
	require.Equal(t, 3, n.hosts["z0-h0"].HostsInZone(n.now))
	list.Hosts = list.Hosts[:2]
	n.hosts["z0-h0"].ApplyHostList(list, n.now)
	require.Equal(t, 3, n.hosts["z0-h0"].HostsInZone(n.now), "a smaller list takes effect only after zoneSizeHold")
	require.Equal(t, list.Hosts[0].Name, n.hosts["z0-h0"].list.zones["z0"][0])
}

// Guards against a zone without share coordinators and with too large floors while
// the platform's list does not have the zone's hosts yet.
func TestEmptyListFallsBackToKnownHosts(t *testing.T) {
	n := newNetwork(t, 2, 3)
	table := n.hosts["z0-h0"]
	table.ApplyHostList(&objectstore.HostList{}, n.now)
	listed, _ := table.ListedHosts("z0")
	require.Equal(t, []string{"z0-h0", "z0-h1", "z0-h2"}, listed)
	require.Equal(t, 3, table.HostsInZone(n.now))
	require.Equal(t, 2, table.ZoneCount())
	require.Zero(t, table.ListedHostCount("z0"))
}

// Guards against a release that a peer with the old entry reverts, and against
// crashes that are lost when two hosts record them at the same time.
func TestQuarantineMergesCrashesAndReleaseOverridesThem(t *testing.T) {
	n := newNetwork(t, 2, 4)
	n.run(2 * time.Second)
	n.hosts["z0-h0"].RecordCrash(42, "models/e1", "a", time.Hour, n.now)
	n.hosts["z0-h3"].RecordCrash(42, "models/e2", "a", time.Hour, n.now)
	n.run(5 * time.Second)
	for _, name := range n.names {
		entries, _ := n.hosts[name].Quarantine()
		require.Len(t, entries, 1, name)
		require.Equal(t, []string{"models/e1", "models/e2"}, entries[0].CrashedReplicas)
	}
	n.partitioned = func(a, b string) bool { return a == "z0-h3" || b == "z0-h3" }
	require.True(t, n.hosts["z0-h0"].ReleaseFingerprint(42, time.Hour, n.now))
	n.run(5 * time.Second)
	n.partitioned = nil
	n.run(5 * time.Second)
	for _, name := range n.names {
		entries, _ := n.hosts[name].Quarantine()
		require.Empty(t, entries[0].CrashedReplicas, name)
		require.EqualValues(t, 1, entries[0].Released)
	}
}

// Guards against hosts that disagree on the watchers of a zone, and against watchers
// that cannot reach the platform.
func TestWatchersSkipHostsThatCannotReachPlatform(t *testing.T) {
	n := newNetwork(t, 1, 6)
	n.run(8 * time.Second)
	expected := n.hosts["z0-h0"].Watchers("z0", 2, n.now)
	for _, name := range n.names {
		require.Equal(t, expected, n.hosts[name].Watchers("z0", 2, n.now))
	}
	n.hosts[expected[0]].AdvanceHeartbeat(n.now, true)
	disconnected := expected[0]
	for range 3 {
		for _, name := range n.names {
			n.exchange(disconnected, name, false)
		}
	}
	other := n.names[0]
	if other == disconnected {
		other = n.names[1]
	}
	require.NotContains(t, n.hosts[other].Watchers("z0", 2, n.now), disconnected)
}

// targetScaleTable returns a table with 57 hosts in the local zone, 343 hosts in
// other zones and 600 replicas, none of whose updates have been sent.
func targetScaleTable() *Table {
	table := NewTable(Options{Host: "z0-h0", Zone: "z0", PeerAddress: "10.0.0.1:7000", Incarnation: 1}, start)
	b := targetScaleBundle()
	table.SetBundle(b, 2)
	for i := 1; i < 400; i++ {
		zone := i % 7
		if i < 57 {
			zone = 0
		}
		table.mergeHost(&rpc.HostState{Host: fmt.Sprint("host", i), AvailabilityZone: fmt.Sprint("z", zone), PeerAddress: "10.0.0.2:7000",
			State: rpc.State_STATE_LIVE, Incarnation: uint64(start.UnixMilli()), Heartbeat: 1000}, start)
	}
	for i := range b.Upstreams[0].Replicas {
		table.Observe(Observation{Upstream: "models", Replica: fmt.Sprint("e", i), CalledAt: start, Reachable: true, HasLoad: true, Running: 9, TokensPerSecond: 900, Lag: time.Second})
	}
	return table
}

// targetScaleBundle returns a bundle with 600 replicas in 7 zones.
func targetScaleBundle() *bundle.Bundle {
	b := &bundle.Bundle{Upstreams: []bundle.Upstream{{Name: "models", Models: []string{"a"}}}}
	for i := range 600 {
		b.Upstreams[0].Replicas = append(b.Upstreams[0].Replicas, bundle.Replica{ID: fmt.Sprint("e", i), AvailabilityZone: fmt.Sprint("z", i%7)})
	}
	return b
}

// Guards against messages that grow with the size of the deployment: 4 messages per
// second must stay below 12 KB/s, not counting full host states, each of which may
// add 60 bytes to a message. Also guards against heartbeats of other zones that
// crowd out those of the local zone, whose hosts would then count as dead.
func TestMessagesStayBoundedAtTargetScale(t *testing.T) {
	table := targetScaleTable()
	for i := range 20 {
		m := table.Message(start.Add(time.Duration(i)*500*time.Millisecond), false, true)
		require.Less(t, proto.Size(m), 3000+maxHostStates*60)
		localZoneRows := 0
		for _, id := range m.Heartbeats.Id {
			if table.hostsByID[id].state.AvailabilityZone == "z0" {
				localZoneRows++
			}
		}
		require.GreaterOrEqual(t, localZoneRows, maxHeartbeatRows*3/4)
	}
}

// BenchmarkTargetScale measures the exchanges of 7 zones of 57 hosts over 12 s of
// virtual time, after 18 s of warm-up.
func BenchmarkTargetScale(b *testing.B) {
	for range b.N {
		n := newNetwork(nil, 7, 57)
		for _, table := range n.hosts {
			table.SetBundle(targetScaleBundle(), 2)
		}
		n.observeAll = true
		n.run(18 * time.Second)
		n.sentBytes = 0
		const measured = 12 * time.Second
		n.run(measured)
		missing := 0
		for _, name := range n.names {
			missing += 57 - len(n.hosts[name].LiveHosts(n.hosts[name].opts.Zone, n.now))
		}
		ages := map[bool][]float64{}
		unknown := 0
		for _, r := range n.hosts["z0-h0"].Replicas(n.now) {
			local := n.hosts["z0-h0"].replicas[r.Upstream+"/"+r.Replica].zone == "z0"
			if r.HasLoad {
				ages[local] = append(ages[local], float64(r.ReportAgeMs))
			} else {
				unknown++
			}
		}
		slices.Sort(ages[true])
		slices.Sort(ages[false])
		b.ReportMetric(float64(n.sentBytes)/measured.Seconds()/float64(len(n.names)), "B/s/host")
		b.ReportMetric(float64(missing), "false-dead")
		b.ReportMetric(float64(unknown), "unknown-loads")
		b.ReportMetric(ages[true][len(ages[true])/2], "own-age-ms-p50")
		b.ReportMetric(ages[true][len(ages[true])-1], "own-age-ms-max")
		b.ReportMetric(ages[false][len(ages[false])/2], "other-age-ms-p50")
		b.ReportMetric(ages[false][len(ages[false])-1], "other-age-ms-max")
	}
}
