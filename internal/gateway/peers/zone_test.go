package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/state"
	"heatherbarrow/internal/rpc"
)

// newZones starts hosts on loopback, with the given number of hosts for each zone. The first host
// is the seed of all others.
func newZones(t *testing.T, port int, zones ...int) (nodes []*node) {
	t.Helper()
	const seed = "127.0.1.1:1"
	for z, hosts := range zones {
		for h := range hosts {
			address := fmt.Sprintf("127.0.%d.%d:1", z+1, h+1)
			n := newNode(t, fmt.Sprintf("z%d-h%d", z, h), address, seed)
			n.opts.BeatPort, n.opts.Zone = port, fmt.Sprintf("z%d", z)
			n.Exchange.peers = make(map[string]*peer)
			n.fleet.SetMembers([]fleet.Member{
				{ID: "r1", Upstream: "pool", Address: "10.0.0.1:1", Zone: "z0", Slots: 100},
				{ID: "r2", Upstream: "pool", Address: "10.0.0.2:1", Zone: "z1", Slots: 100},
			})
			require.NoError(t, n.Start(t.Context()))
			t.Cleanup(func() { _ = n.Stop(t.Context()) })
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// runningRequests returns the number of requests that the node counts as running on a replica, or
// -1 if it does not know the replica.
func (n *node) runningRequests(replica string) int {
	for _, v := range n.fleet.Views(time.Now()) {
		if v.Member.ID == replica {
			return v.Running
		}
	}
	return -1
}

// Guards against heartbeats between all hosts of different availability zones, which grow with
// the square of the number of hosts, and against in-flight requests that are missed or counted
// twice because they are exchanged in digests instead.
func TestZonesTellEachOtherThroughSpeakers(t *testing.T) {
	nodes := newZones(t, 39872, 5, 5)
	sum := 0
	for i, n := range nodes {
		for range i + 1 {
			_, refusal := n.fleet.Pick(&fleet.Request{Upstream: "pool", TimeLeft: time.Minute, Exclude: []string{"r2"}}, time.Now())
			require.Nil(t, refusal)
			sum++
		}
	}
	for _, n := range nodes {
		assert.Eventually(t, func() bool { return n.fleet.Hosts() == len(nodes) && n.runningRequests("r1") == sum }, 20*time.Second, 10*time.Millisecond, n.opts.Host)
	}
	// No host sends heartbeats to hosts of the other zone any more.
	assert.Eventually(t, func() bool {
		for _, n := range nodes {
			n.mu.Lock()
			for _, p := range n.peers {
				if p.zone != n.opts.Zone && n.needsHeartbeat(p, time.Now()) {
					n.mu.Unlock()
					return false
				}
			}
			n.mu.Unlock()
		}
		return true
	}, 20*time.Second, 10*time.Millisecond)
	for _, n := range nodes {
		assert.Equal(t, sum, n.runningRequests("r1"), n.opts.Host)
		assert.Equal(t, len(nodes), n.fleet.Hosts(), n.opts.Host)
	}
}

// Guards against zones that exchange no more digests after a speaker has died.
func TestSpeakerFailover(t *testing.T) {
	nodes := newZones(t, 39873, 5, 5)
	speaker := func(nodes []*node) (found *node) {
		for _, n := range nodes {
			if n.IsZoneSpeaker() {
				found = n
			}
		}
		return found
	}
	others := nodes[5:]
	require.Eventually(t, func() bool { return speaker(others) != nil && others[0].receivesDigests("z0", time.Now()) }, 20*time.Second, 10*time.Millisecond)
	dead := speaker(others)
	require.NoError(t, dead.Stop(t.Context()))
	assert.Eventually(t, func() bool {
		s := speaker(others)
		for _, n := range others {
			if n != dead && n.IsZoneSpeaker() {
				s = n
			}
		}
		return s != dead && nodes[0].receivesDigests("z1", time.Now()) && nodes[0].fleet.Hosts() == 9
	}, 20*time.Second, 10*time.Millisecond)
}

// Guards against a digest that is applied twice because two hosts relay it, or after a newer one,
// and against a digest of this host's zone that is relayed back to it.
func TestDigestsAreAppliedOnce(t *testing.T) {
	n := newNode(t, "a", "127.0.0.1:1")
	now := time.Now()
	digest := func(zone string, incarnation int64, sequence uint64) bool {
		return n.recordDigest(&rpc.ZoneDigest{AvailabilityZone: zone, Speaker: "s", Incarnation: incarnation, Sequence: sequence, HostsKnown: 7}, now)
	}
	assert.True(t, digest("b", 1, 5))
	assert.False(t, digest("b", 1, 5))
	assert.False(t, digest("b", 1, 4))
	assert.True(t, digest("b", 2, 1))
	assert.Equal(t, 8, n.hostCount, "this host and the seven of zone b share the retry budget")
	n.handleDigest(&rpc.ZoneDigest{AvailabilityZone: "a", Speaker: "s", Sequence: 1, Hosts: 9}, now)
	assert.Equal(t, 1, n.fleet.Hosts())
}

// Guards against digests that do not fit a datagram, and against replicas that move from one part
// of a digest to another and are counted twice.
func TestDigestIsSplitIntoDatagrams(t *testing.T) {
	n := newNode(t, "a", "127.0.0.1:1")
	assert.Equal(t, 1, n.digestPartCount(0, 0))
	assert.Equal(t, 1, n.digestPartCount(maxDigestPartBytes/useEntryBytes, 0))
	parts := n.digestPartCount(500, 100)
	assert.GreaterOrEqual(t, parts*maxDigestPartBytes, 500*useEntryBytes+100*promptEntryBytes)
	assert.Equal(t, parts, n.digestPartCount(1, 0), "the number of parts never decreases")
	m := &rpc.ZoneDigest{AvailabilityZone: "a", Speaker: "a"}
	for i := range 300 {
		m.Prompts = append(m.Prompts, &rpc.PromptUse{Replica: 1 << 60, Part: uint64(i) << 40, Tokens: 9000})
	}
	n.sendDigestPart(nil, m)
	assert.LessOrEqual(t, proto.Size(m), maxDatagramBytes)
	assert.NotEmpty(t, m.Prompts)
	assert.Equal(t, uint64(299)<<40, m.Prompts[len(m.Prompts)-1].Part, "the newest parts stay")
}

// Guards against a host that pulls all state across availability zones, and against a host without
// its own watch on the store that waits for a watch before it pulls.
func TestPullsFromSameZoneFirst(t *testing.T) {
	n := newNode(t, "a", "127.0.0.1:1")
	n.opts.Role.Set(false)
	now := time.Now()
	heartbeat := func(zone string, sequence uint64, at time.Time) {
		n.recordHeartbeat(&rpc.Beat{Host: zone, AvailabilityZone: zone, Incarnation: 1, Sequence: sequence, PullAddress: "127.0.0.9:" + fmt.Sprint(len(zone)), ConfigVersion: 9}, at)
	}
	heartbeat("far", 1, now)
	assert.Empty(t, n.pullAddresses)
	heartbeat("a", 1, now)
	assert.Equal(t, "127.0.0.9:1", <-n.pullAddresses)
	heartbeat("far", 2, now.Add(pullDelay))
	assert.Equal(t, "127.0.0.9:3", <-n.pullAddresses, "no host of the zone has the newer state")
}

// Guards against a crash that is not reported to the hosts of other zones.
func TestSpeakerForwardsCrashes(t *testing.T) {
	n := newNode(t, "a", "127.0.0.1:1")
	now := time.Now()
	n.updateSpeaker([]state.Neighbor{{Host: "b"}, {Host: "c"}})
	n.collectForDigest(&rpc.Beat{AvailabilityZone: "a", Crashes: []*rpc.Crash{{Fingerprint: 1}}}, now)
	assert.Empty(t, n.speaker.recentCrashes(now), "a zone of three hosts has no speaker")
	n.speaker.isSelf = true
	n.collectForDigest(&rpc.Beat{AvailabilityZone: "other", Crashes: []*rpc.Crash{{Fingerprint: 2}}}, now)
	n.collectForDigest(&rpc.Beat{AvailabilityZone: "a", Crashes: []*rpc.Crash{{Fingerprint: 1}, {Fingerprint: 1}}}, now)
	assert.Len(t, n.speaker.recentCrashes(now), 1)
	assert.Empty(t, n.speaker.recentCrashes(now.Add(fleet.CrashReportTime+time.Second)))
}

// Guards against hosts that start together and all follow the store before they have received each
// other's heartbeats, and against dead hosts that stay registered and keep the others from
// following the store.
func TestRegisteredHostsAreAssumedLiveAtStart(t *testing.T) {
	n := newNode(t, "a", "127.0.0.1:1")
	registered := []string{"a"}
	for i := range 40 {
		registered = append(registered, fmt.Sprintf("h%d", i))
	}
	n.AssumeLive(registered)
	require.False(t, n.opts.Role.Following(), "registered hosts rank first")
	n.updateRole(time.Now().Add(assumedLiveDuration / 2))
	assert.False(t, n.opts.Role.Following())
	n.updateRole(time.Now().Add(2 * assumedLiveDuration))
	assert.True(t, n.opts.Role.Following(), "none of them sent a heartbeat")
}

// Guards against hundreds of starting hosts that pull from one host until all time out on its
// link.
func TestConcurrentFullPullsAreBounded(t *testing.T) {
	n := newNode(t, "a", "127.0.0.1:1")
	n.publish(t, "7", member("a", 3, false))
	n.fullPulls.Add(maxFullPulls)
	_, err := n.Pull(t.Context(), &rpc.PullRequest{})
	assert.ErrorContains(t, err, "pull everything")
	_, err = n.Pull(t.Context(), &rpc.PullRequest{MembersAsOf: 2})
	assert.NoError(t, err, "incremental pulls are not limited")
	n.fullPulls.Add(-maxFullPulls)
	_, err = n.Pull(t.Context(), &rpc.PullRequest{})
	assert.NoError(t, err)
	assert.Zero(t, n.fullPulls.Load())
}

// Guards against hosts that start together and all follow the store because none of them has had
// an answer from it yet. With 100 hosts this delayed the first request by 4 s.
func TestStoreIsAssumedReachableAtStart(t *testing.T) {
	n := newNode(t, "a", "127.0.0.1:1")
	assert.True(t, n.composeHeartbeat(time.Now()).StoreReachable, "it has not called the store yet")
	require.NoError(t, n.state.Publish(state.StoreCall{Err: assert.AnError}))
	assert.False(t, n.composeHeartbeat(time.Now()).StoreReachable)
	require.NoError(t, n.state.Publish(state.StoreCall{}))
	assert.True(t, n.composeHeartbeat(time.Now()).StoreReachable)
}
