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
	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/gateway/state"
	"heatherbarrow/internal/rpc"
)

// node is a host's exchange on loopback with the pull service on address.
type node struct {
	*Exchange
	state *state.State
	fleet *fleet.Fleet
	hosts int
}

func newNode(t *testing.T, name, address string, seeds ...string) *node {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	n := &node{fleet: fleet.New(fleet.Options{Zone: "a"})}
	n.state = state.New(state.Options{
		Bus: bus.New(), Fleet: n.fleet, Logger: zerolog.Nop(), Withdraw: time.Second, Changed: func() {},
		Decode: func(raw []byte) (c routing.Config, err error) { return c, json.Unmarshal(raw, &c.Version) },
	})
	require.NoError(t, n.state.Start(ctx))
	n.Exchange = New(Options{
		Host: name, Zone: "a", Listen: address, BeatPort: 7200, Seeds: seeds, State: n.state, Fleet: n.fleet,
		Dial: (&net.Dialer{}).DialContext, Logger: zerolog.Nop(), Heard: func(hosts int) { n.hosts = hosts },
	})
	for _, seed := range seeds {
		n.Add(seed)
	}
	return n
}

func (n *node) know(t *testing.T, version string, members ...state.Registration) {
	t.Helper()
	require.NoError(t, n.state.Publish(state.Config{Raw: []byte(version), Source: state.FromStore}))
	require.NoError(t, n.state.Publish(state.Members{Entries: members, Source: state.FromStore}))
}

func member(id string, revision uint64, leaving bool) state.Registration {
	return state.Registration{
		Member: fleet.Member{ID: id, Upstream: "pool", Address: "10.0.0.1:80", Zone: "a", Slots: 4, Leaving: leaving}, Revision: revision,
	}
}

// serve runs the pull service of a node and returns the address.
func (n *node) serve(t *testing.T) string {
	mux := http.NewServeMux()
	mux.Handle("/twirp/", n.Handler())
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Guards against a host that the store refuses and that serves by an old
// configuration, or sends requests to a replica that leaves (platform_down nodes).
func TestHostThatIsBehindPullsFromAnother(t *testing.T) {
	ahead := newNode(t, "ahead", "127.0.0.1:1")
	ahead.know(t, "7", member("a", 3, true), member("b", 4, false))
	address := ahead.serve(t)
	behind := newNode(t, "behind", "127.0.0.1:2")
	behind.know(t, "5", member("a", 1, false))
	beat := &rpc.Beat{Host: "ahead", Incarnation: 1, PullAddress: address, ConfigVersion: 7, MembersRevision: 4}
	now := time.Now()
	for i, after := range []time.Duration{0, behindAfter / 2, behindAfter} {
		require.Empty(t, behind.pulls, "the host's own watch usually brings the news first")
		beat.Sequence = uint64(i + 1)
		behind.handle(beat, now.Add(after))
	}
	require.NoError(t, behind.pullFrom(t.Context(), <-behind.pulls))
	assert.Equal(t, int64(7), behind.state.ConfigVersion())
	all, admissible := behind.fleet.ReplicaCounts("pool", time.Now())
	assert.Equal(t, 2, all)
	assert.Equal(t, 1, admissible, "the one that leaves receives nothing")
	// A further beat with the same news causes no further pull.
	beat.Sequence++
	behind.handle(beat, now.Add(2*behindAfter))
	assert.Empty(t, behind.pulls)
}

// Guards against datagrams that arrive out of order and bring back an older state,
// and against those of a process that has been restarted since.
func TestOlderBeatsAreIgnored(t *testing.T) {
	n := newNode(t, "a", "127.0.0.1:1")
	beat := func(incarnation int64, sequence uint64) bool {
		return n.note(&rpc.Beat{Host: "b", Incarnation: incarnation, Sequence: sequence, PullAddress: "127.0.0.1:2"}, time.Now())
	}
	assert.True(t, beat(10, 5))
	assert.False(t, beat(10, 5))
	assert.False(t, beat(10, 4))
	assert.True(t, beat(11, 1))
	assert.False(t, beat(10, 9))
	assert.Equal(t, 2, n.hosts)
}

// Guards against a deployment that falls apart when only some hosts know the others.
func TestHostsTellEachOtherOfOthers(t *testing.T) {
	n := newNode(t, "a", "127.0.0.1:1", "127.0.0.1:2")
	n.note(&rpc.Beat{Host: "b", AvailabilityZone: "a", Incarnation: 1, Sequence: 1, PullAddress: "127.0.0.1:2", Peers: []string{"127.0.0.1:3", "127.0.0.1:1"}}, time.Now())
	near, peers := n.targets(true, time.Now())
	assert.Len(t, near, 1, "the host of the same availability zone")
	far, _ := n.targets(false, time.Now())
	assert.Len(t, far, 1, "the host that was never heard, but not the host itself")
	assert.Equal(t, []string{"127.0.0.1:2"}, peers, "a host tells of those that it has heard")
}

// Guards against a beat that does not fit a datagram, or that costs as much for a
// host that is gone as for one that lives.
func TestBeatIsBounded(t *testing.T) {
	n := newNode(t, "a", "127.0.0.1:1", "127.0.0.1:2")
	n.fleet.SetMembers([]fleet.Member{{ID: "r", Upstream: "pool", Address: "127.0.0.1:9", Slots: 1000}})
	now := time.Now()
	for i := range 200 {
		_, refusal := n.fleet.Pick(&fleet.Request{Upstream: "pool", Prompt: []fleet.PromptPart{{Hash: uint64(i + 1), Tokens: 9}}, TimeLeft: time.Minute}, now)
		require.Nil(t, refusal)
	}
	message := n.compose(now)
	assert.Len(t, n.near.prompts, maxPrompts)
	assert.Len(t, n.far.prompts, maxPrompts)
	assert.Equal(t, uint64(200), n.far.prompts[maxPrompts-1].Part, "the newest stay")
	message.Prompts = n.far.prompts
	assert.Len(t, message.Uses, 1)
	for i := range 300 {
		message.Uses = append(message.Uses, &rpc.ReplicaUse{Replica: uint64(i) << 50, Running: uint32(i), PrefillMs: 1})
	}
	trim(message)
	assert.LessOrEqual(t, proto.Size(message), maxDatagram)
	assert.Greater(t, len(message.Uses), 20)
	assert.Equal(t, uint32(299), message.Uses[0].Running, "the busiest replicas stay")
	sent := 0
	for i := range 20 {
		targets, _ := n.targets(false, now.Add(quietAfter+time.Second+time.Duration(i)*quietPause/10))
		sent += len(targets)
	}
	assert.Equal(t, 2, sent, "one after each quietPause")
}

// Guards against hosts that see each other's work so late that they all pick the same
// replicas (bursts on deployments of few hosts), and against beats whose cost grows
// with the square of the number of hosts.
func TestIntervalGrowsWithTheHosts(t *testing.T) {
	assert.Equal(t, mostInterval, interval(0), "there is nobody to tell")
	assert.Equal(t, leastInterval, interval(3))
	for _, hosts := range []int{26, 100, 150} {
		assert.InDelta(t, beatRate, float64(hosts)/interval(hosts).Seconds(), 1)
	}
	assert.Equal(t, mostInterval, interval(400))
}

// Guards against hosts of an availability zone that learn late what the others have in
// progress on its replicas (bursts with many hosts), and against prompts that one
// audience never hears of since the other's beat took them.
func TestHostsOfTheZoneAreToldMoreOften(t *testing.T) {
	n := newNode(t, "a", "127.0.0.1:1")
	var err error
	n.socket, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = n.socket.Close() })
	now := time.Now()
	for i := range 34 {
		zone := "a"
		if i >= 8 {
			zone = "b"
		}
		n.note(&rpc.Beat{Host: "h" + strconv.Itoa(i), AvailabilityZone: zone, Incarnation: 1, Sequence: 1, PullAddress: "127.0.0.2:" + strconv.Itoa(2000+i)}, now)
	}
	n.beat(now)
	assert.Less(t, n.near.due.Sub(now), 60*time.Millisecond)
	assert.Greater(t, n.far.due.Sub(now), 150*time.Millisecond)
	n.far.prompts = []*rpc.PromptUse{{Part: 1}}
	n.beat(n.near.due)
	assert.Len(t, n.far.prompts, 1, "they wait for the next beat to the other zones")
	n.beat(n.far.due)
	assert.Empty(t, n.far.prompts)
}

// Guards against an exchange that does not work over real sockets.
func TestBeatsOverSockets(t *testing.T) {
	const port = 39871
	a := newNode(t, "a", "127.0.0.2:1", "127.0.0.3:1")
	b := newNode(t, "b", "127.0.0.3:1", "127.0.0.2:1")
	for _, n := range []*node{a, b} {
		n.opts.BeatPort = port
		n.peers = make(map[string]*peer)
		require.NoError(t, n.Start(t.Context()))
		t.Cleanup(func() { _ = n.Stop(t.Context()) })
	}
	assert.Eventually(t, func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.known) == 2
	}, 10*time.Second, 10*time.Millisecond)
}

// Guards against registrations of hosts that are gone, which nobody removes and
// to which beats are sent for ever.
func TestSilentHostIsGone(t *testing.T) {
	n := newNode(t, "a", "127.0.0.1:1", "127.0.0.1:2")
	n.targets(false, time.Now())
	assert.False(t, n.Gone("127.0.0.1:2"))
	targets, _ := n.targets(false, time.Now().Add(forgetAfter+time.Second))
	assert.Empty(t, targets)
	assert.True(t, n.Gone("127.0.0.1:2"))
	assert.False(t, n.Gone("127.0.0.1:2"), "it may come back")
}
