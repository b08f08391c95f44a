package peers

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/origin"
	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/gateway/state"
	"heatherbarrow/internal/rpc"
)

// testHost is a host's Exchange with its own state and fleet.
type testHost struct {
	*Exchange
	state     *state.State
	fleet     *fleet.Fleet
	hostCount int
	// readMembers is the read of the store.
	readMembers func(ctx context.Context) error
	// readStreams is the read of the streams in the store.
	readStreams func(ctx context.Context) error
}

// newTestHost returns a host in zone "a" with the pull service at address. Its Exchange is not
// started.
func newTestHost(t *testing.T, name, address string, seeds ...string) *testHost {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	host := &testHost{fleet: fleet.New(fleet.Options{Zone: "a"}), readMembers: func(context.Context) error { return nil }, readStreams: func(context.Context) error { return nil }}
	origins := origin.NewTracker()
	host.state = state.New(state.Options{
		Bus: bus.New(), Fleet: host.fleet, Origins: origins, Logger: zerolog.Nop(), MaxWithdrawTime: time.Second, MaxConfigDelay: 2 * time.Second, OnStoreChange: func() {},
		Decode: func(raw []byte) (c routing.Config, err error) { return c, json.Unmarshal(raw, &c.Version) },
	})
	require.NoError(t, host.state.Start(ctx))
	host.Exchange = New(Options{
		Host: name, Zone: "a", Listen: address, BeatPort: 7200, Seeds: seeds, State: host.state, Fleet: host.fleet, Origins: origins,
		ReadMembers: func(ctx context.Context) error { return host.readMembers(ctx) },
		ReadStreams: func(ctx context.Context) error { return host.readStreams(ctx) },
		Dial:        (&net.Dialer{}).DialContext, Logger: zerolog.Nop(), OnHostCount: func(hostCount int) { host.hostCount = hostCount },
	})
	for _, seed := range seeds {
		host.Add(seed)
	}
	return host
}

// publish publishes a configuration version and replicas as if the store had sent them.
func (host *testHost) publish(t *testing.T, version string, members ...state.Registration) {
	t.Helper()
	require.NoError(t, host.state.Publish(state.Config{Raw: []byte(version), Source: state.FromStore}))
	require.NoError(t, host.state.Publish(state.Members{Entries: members, Source: state.FromStore}))
}

// member returns the registration of a replica.
func member(id string, revision uint64, leaving bool) state.Registration {
	return state.Registration{
		Member: fleet.Member{ID: id, Upstream: "pool", Address: "10.0.0.1:80", Zone: "a", Slots: 4, Leaving: leaving}, Revision: revision,
	}
}

// serve runs the host's pull service and returns its address.
func (host *testHost) serve(t *testing.T) string {
	mux := http.NewServeMux()
	mux.Handle("/twirp/", host.Handler())
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Guards against a host that the store does not serve (fault platform_down on some hosts) and that
// therefore keeps an old configuration or sends requests to a replica that is leaving.
func TestPullsNewerStateFromPeer(t *testing.T) {
	ahead := newTestHost(t, "ahead", "127.0.0.1:1")
	ahead.publish(t, "7", member("a", 3, true), member("b", 4, false))
	address := ahead.serve(t)
	behind := newTestHost(t, "behind", "127.0.0.1:2")
	behind.publish(t, "5", member("a", 1, false))
	heartbeat := &rpc.Beat{Host: "ahead", Incarnation: 1, PullAddress: address, ConfigVersion: 7, MembersRevision: 4}
	now := time.Now()
	for i, after := range []time.Duration{0, pullDelay / 2, pullDelay} {
		require.Empty(t, behind.pullAddresses, "pulls only after pullDelay, as its own watch is usually faster")
		heartbeat.Sequence = uint64(i + 1)
		behind.handleDatagram(heartbeat, now.Add(after))
	}
	require.NoError(t, behind.pullFrom(t.Context(), <-behind.pullAddresses))
	assert.Equal(t, int64(7), behind.state.ConfigVersion())
	all, admissible := behind.fleet.ReplicaCounts("pool", time.Now())
	assert.Equal(t, 2, all)
	assert.Equal(t, 1, admissible, "the leaving replica gets no requests")
	// Another heartbeat with the same versions causes no other pull.
	heartbeat.Sequence++
	behind.handleDatagram(heartbeat, now.Add(2*pullDelay))
	assert.Empty(t, behind.pullAddresses)
}

// Guards against a host that learns of replicas from peers and takes spot replicas for others.
func TestPulledReplicaIsSpot(t *testing.T) {
	ahead, behind := newTestHost(t, "ahead", "127.0.0.1:1"), newTestHost(t, "behind", "127.0.0.1:2")
	spot := member("a", 3, false)
	spot.Spot = true
	ahead.publish(t, "7", spot, member("b", 4, false))
	require.NoError(t, behind.pullFrom(t.Context(), ahead.serve(t)))
	loads := behind.fleet.ZoneLoads("pool", time.Now())
	require.Len(t, loads, 1)
	assert.Equal(t, []int{1, 1}, []int{loads[0].OnDemand, loads[0].Spot})
}

// Guards against datagrams that arrive out of order, or from before a restart of the sender, and
// replace newer state with older state.
func TestIgnoresStaleHeartbeats(t *testing.T) {
	host := newTestHost(t, "a", "127.0.0.1:1")
	heartbeat := func(incarnation int64, sequence uint64) bool {
		return host.recordHeartbeat(&rpc.Beat{Host: "b", Incarnation: incarnation, Sequence: sequence, PullAddress: "127.0.0.1:2"}, time.Now())
	}
	assert.True(t, heartbeat(10, 5))
	assert.False(t, heartbeat(10, 5))
	assert.False(t, heartbeat(10, 4))
	assert.True(t, heartbeat(11, 1))
	assert.False(t, heartbeat(10, 9))
	assert.Equal(t, 2, host.hostCount)
}

// Guards against a host that is taken for dead because its time of day was set back before it started again, and against a
// datagram from before a restart that counts as long as its sender is live.
func TestHostWhoseTimeOfDayWasSetBackIsHeard(t *testing.T) {
	host := newTestHost(t, "a", "127.0.0.1:1")
	now := time.Now()
	heartbeat := func(incarnation int64, sequence uint64) bool {
		return host.recordHeartbeat(&rpc.Beat{Host: "b", Incarnation: incarnation, Sequence: sequence, PullAddress: "127.0.0.1:2"}, now)
	}
	digest := func(incarnation int64, sequence uint64) bool {
		return host.recordDigest(&rpc.ZoneDigest{AvailabilityZone: "z", Speaker: "c", Incarnation: incarnation, Sequence: sequence, Hosts: 1}, now)
	}
	for name, send := range map[string]func(int64, uint64) bool{"heartbeat": heartbeat, "digest": digest} {
		now = time.Now()
		assert.True(t, send(5000, 7), name)
		now = now.Add(maxHeartbeatInterval)
		assert.False(t, send(2000, 1), "%s: it may come from before a restart", name)
		assert.True(t, send(5000, 8), "%s: the sender is live", name)
		now = now.Add(2*maxHeartbeatInterval + time.Millisecond)
		assert.True(t, send(2000, 3), "%s: the process that started later is gone", name)
		assert.False(t, send(2000, 3), name)
		assert.True(t, send(2000, 4), name)
		assert.True(t, send(5000, 9), "%s: it is live after all", name)
	}
}

// Guards against a deployment that is partitioned because hosts know only their seeds: heartbeats
// must list other hosts.
func TestDiscoversPeersThroughHeartbeats(t *testing.T) {
	host := newTestHost(t, "a", "127.0.0.1:1", "127.0.0.1:2")
	host.recordHeartbeat(&rpc.Beat{Host: "b", AvailabilityZone: "a", Incarnation: 1, Sequence: 1, PullAddress: "127.0.0.1:2", Peers: []string{"127.0.0.1:3", "127.0.0.1:1"}}, time.Now())
	sameZone, peers := host.recipients(true, time.Now())
	assert.Len(t, sameZone, 1, "the host of the same zone")
	otherZones, _ := host.recipients(false, time.Now())
	assert.Len(t, otherZones, 1, "the host that has not sent a heartbeat yet; this host itself is no recipient")
	assert.Equal(t, []string{"127.0.0.1:2"}, peers, "a host advertises the peers from which it has received heartbeats")
}

// Guards against a heartbeat that does not fit a datagram, and against a host that is gone but
// still gets as many heartbeats as a live one.
func TestHeartbeatSizeIsBounded(t *testing.T) {
	host := newTestHost(t, "a", "127.0.0.1:1", "127.0.0.1:2")
	host.fleet.SetMembers([]fleet.Member{{ID: "r", Upstream: "pool", Address: "127.0.0.1:9", Slots: 1000}})
	now := time.Now()
	for i := range 200 {
		_, refusal := host.fleet.Pick(&fleet.Request{Upstream: "pool", Prompt: []fleet.PromptPart{{Hash: uint64(i + 1), Tokens: 9}}, TimeLeft: time.Minute}, now)
		require.Nil(t, refusal)
	}
	message := host.composeHeartbeat(now)
	assert.Len(t, host.sameZone.pendingPrompts, maxPromptParts)
	assert.Len(t, host.otherZones.pendingPrompts, maxPromptParts)
	assert.Equal(t, uint64(200), host.otherZones.pendingPrompts[maxPromptParts-1].Part, "the newest parts stay")
	message.Prompts = host.otherZones.pendingPrompts
	assert.Len(t, message.Uses, 1)
	for i := range 300 {
		message.Uses = append(message.Uses, &rpc.ReplicaUse{Replica: uint64(i) << 50, Running: uint32(i), PrefillMs: 1})
	}
	trimUses(message)
	assert.LessOrEqual(t, proto.Size(message), maxDatagramBytes)
	assert.Greater(t, len(message.Uses), 20)
	assert.Equal(t, uint32(299), message.Uses[0].Running, "the busiest replicas stay")
	sent := 0
	for i := range 20 {
		recipients, _ := host.recipients(false, now.Add(silenceTimeout+time.Second+time.Duration(i)*silentPeerInterval/10))
		sent += len(recipients)
	}
	assert.Equal(t, 2, sent, "one per silentPeerInterval")
}

// Guards against hosts that see each other's in-flight requests so late that they all pick the
// same replicas, which shows in bursts of requests on deployments of few hosts, and against
// heartbeat traffic that grows with the square of the number of hosts.
func TestHeartbeatIntervalGrowsWithHostCount(t *testing.T) {
	assert.Equal(t, maxHeartbeatInterval, heartbeatInterval(0), "no recipients")
	assert.Equal(t, minHeartbeatInterval, heartbeatInterval(3))
	for _, hosts := range []int{26, 100, 150} {
		assert.InDelta(t, maxHeartbeatsPerSecond, float64(hosts)/heartbeatInterval(hosts).Seconds(), 1)
	}
	assert.Equal(t, maxHeartbeatInterval, heartbeatInterval(400))
}

// Guards against hosts of one availability zone that see each other's in-flight requests late,
// which shows in bursts of requests on deployments of many hosts, and against prompt parts that
// one recipient group never gets because they were sent with the heartbeat to the other.
func TestHeartbeatsWithinZoneAreMoreFrequent(t *testing.T) {
	host := newTestHost(t, "a", "127.0.0.1:1")
	var err error
	host.socket, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = host.socket.Close() })
	now := time.Now()
	for i := range 34 {
		zone := "a"
		if i >= 8 {
			zone = "b"
		}
		host.recordHeartbeat(&rpc.Beat{Host: "h" + strconv.Itoa(i), AvailabilityZone: zone, Incarnation: 1, Sequence: 1, PullAddress: "127.0.0.2:" + strconv.Itoa(2000+i)}, now)
	}
	host.sendHeartbeats(now)
	assert.Less(t, host.sameZone.nextSend.Sub(now), 60*time.Millisecond)
	assert.Greater(t, host.otherZones.nextSend.Sub(now), 150*time.Millisecond)
	host.otherZones.pendingPrompts = []*rpc.PromptUse{{Part: 1}}
	host.sendHeartbeats(host.sameZone.nextSend)
	assert.Len(t, host.otherZones.pendingPrompts, 1, "prompt parts stay queued until the next heartbeat to the other zones")
	host.sendHeartbeats(host.otherZones.nextSend)
	assert.Empty(t, host.otherZones.pendingPrompts)
}

// Guards against hosts that do not find each other over real UDP sockets.
func TestHeartbeatsOverSockets(t *testing.T) {
	const port = 39871 // UDP; distinct from the ports of this package's other tests
	a := newTestHost(t, "a", "127.0.0.2:1", "127.0.0.3:1")
	b := newTestHost(t, "b", "127.0.0.3:1", "127.0.0.2:1")
	for _, host := range []*testHost{a, b} {
		host.opts.BeatPort = port
		host.peers = make(map[string]*peer)
		require.NoError(t, host.Start(t.Context()))
		t.Cleanup(func() { _ = host.Stop(t.Context()) })
	}
	assert.Eventually(t, func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.seenHosts) == 2
	}, 10*time.Second, 10*time.Millisecond)
}

// Guards against a host that is gone but keeps its registration and gets heartbeats forever.
func TestSilentHostExpires(t *testing.T) {
	host := newTestHost(t, "a", "127.0.0.1:1", "127.0.0.1:2")
	host.recipients(false, time.Now())
	assert.False(t, host.TakeExpired("127.0.0.1:2"))
	recipients, _ := host.recipients(false, time.Now().Add(peerExpiry+time.Second))
	assert.Empty(t, recipients)
	assert.True(t, host.TakeExpired("127.0.0.1:2"))
	assert.False(t, host.TakeExpired("127.0.0.1:2"), "the removal is reported once, as the host may return")
}
