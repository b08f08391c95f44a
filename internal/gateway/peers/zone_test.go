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

// newZones starts hosts in availability zones on loopback, each seeded with the first.
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

func (n *node) running(replica string) int {
	for _, v := range n.fleet.Views(time.Now()) {
		if v.Member.ID == replica {
			return v.Running
		}
	}
	return -1
}

// Guards against beats between all hosts of different availability zones, whose bytes grow
// with the square of the number of hosts, and against work that is then not known, or
// counted twice.
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
		assert.Eventually(t, func() bool { return n.fleet.Hosts() == len(nodes) && n.running("r1") == sum }, 20*time.Second, 10*time.Millisecond, n.opts.Host)
	}
	// No host is told singly by those of the other zone any more.
	assert.Eventually(t, func() bool {
		for _, n := range nodes {
			n.mu.Lock()
			for _, p := range n.peers {
				if p.zone != n.opts.Zone && n.needsBeat(p, time.Now()) {
					n.mu.Unlock()
					return false
				}
			}
			n.mu.Unlock()
		}
		return true
	}, 20*time.Second, 10*time.Millisecond)
	for _, n := range nodes {
		assert.Equal(t, sum, n.running("r1"), n.opts.Host)
		assert.Equal(t, len(nodes), n.fleet.Hosts(), n.opts.Host)
	}
}

// Guards against zones that no longer hear of each other when a speaker dies.
func TestAnotherHostSpeaksWhenTheSpeakerDies(t *testing.T) {
	nodes := newZones(t, 39873, 5, 5)
	speaker := func(nodes []*node) (found *node) {
		for _, n := range nodes {
			if n.Speaks() {
				found = n
			}
		}
		return found
	}
	others := nodes[5:]
	require.Eventually(t, func() bool { return speaker(others) != nil && others[0].hearsZone("z0", time.Now()) }, 20*time.Second, 10*time.Millisecond)
	dead := speaker(others)
	require.NoError(t, dead.Stop(t.Context()))
	assert.Eventually(t, func() bool {
		s := speaker(others)
		for _, n := range others {
			if n != dead && n.Speaks() {
				s = n
			}
		}
		return s != dead && nodes[0].hearsZone("z1", time.Now()) && nodes[0].fleet.Hosts() == 9
	}, 20*time.Second, 10*time.Millisecond)
}

// Guards against a digest that is taken twice, by way of two hosts, or after a newer one, and
// against one of the own zone that comes back.
func TestDigestsAreTakenOnce(t *testing.T) {
	n := newNode(t, "a", "127.0.0.1:1")
	now := time.Now()
	digest := func(zone string, incarnation int64, sequence uint64) bool {
		return n.noteDigest(&rpc.ZoneDigest{AvailabilityZone: zone, Speaker: "s", Incarnation: incarnation, Sequence: sequence, HostsKnown: 7}, now)
	}
	assert.True(t, digest("b", 1, 5))
	assert.False(t, digest("b", 1, 5))
	assert.False(t, digest("b", 1, 4))
	assert.True(t, digest("b", 2, 1))
	assert.Equal(t, 8, n.hosts, "the hosts of the zone share the retry budget")
	n.handleDigest(&rpc.ZoneDigest{AvailabilityZone: "a", Speaker: "s", Sequence: 1, Hosts: 9}, now)
	assert.Equal(t, 1, n.fleet.Hosts())
}

// Guards against digests that do not fit a datagram, and against replicas that move between
// the parts of a digest and are counted twice.
func TestDigestIsSplit(t *testing.T) {
	n := newNode(t, "a", "127.0.0.1:1")
	assert.Equal(t, 1, n.digestParts(0, 0))
	assert.Equal(t, 1, n.digestParts(digestBytes/useBytes, 0))
	parts := n.digestParts(500, 100)
	assert.GreaterOrEqual(t, parts*digestBytes, 500*useBytes+100*promptBytes)
	assert.Equal(t, parts, n.digestParts(1, 0), "it never falls")
	m := &rpc.ZoneDigest{AvailabilityZone: "a", Speaker: "a"}
	for i := range 300 {
		m.Prompts = append(m.Prompts, &rpc.PromptUse{Replica: 1 << 60, Part: uint64(i) << 40, Tokens: 9000})
	}
	n.sendDigest(nil, m)
	assert.LessOrEqual(t, proto.Size(m), maxDatagram)
	assert.NotEmpty(t, m.Prompts)
	assert.Equal(t, uint64(299)<<40, m.Prompts[len(m.Prompts)-1].Part, "the newest stay")
}

// Guards against a host that pulls all news across availability zones, and against one that
// waits although no watch of its own will bring them.
func TestNewsArePulledFromTheOwnZoneFirst(t *testing.T) {
	n := newNode(t, "a", "127.0.0.1:1")
	n.opts.Role.Set(false)
	now := time.Now()
	beat := func(zone string, sequence uint64, at time.Time) {
		n.note(&rpc.Beat{Host: zone, AvailabilityZone: zone, Incarnation: 1, Sequence: sequence, PullAddress: "127.0.0.9:" + fmt.Sprint(len(zone)), ConfigVersion: 9}, at)
	}
	beat("far", 1, now)
	assert.Empty(t, n.pulls)
	beat("a", 1, now)
	assert.Equal(t, "127.0.0.9:1", <-n.pulls)
	beat("far", 2, now.Add(behindAfter))
	assert.Equal(t, "127.0.0.9:3", <-n.pulls, "no neighbor has brought them")
}

// Guards against a crash that the hosts of other zones never hear of.
func TestSpeakerPassesCrashesOn(t *testing.T) {
	n := newNode(t, "a", "127.0.0.1:1")
	now := time.Now()
	n.setSpeaker([]state.Neighbor{{Host: "b"}, {Host: "c"}})
	n.collect(&rpc.Beat{AvailabilityZone: "a", Crashes: []*rpc.Crash{{Fingerprint: 1}}}, now)
	assert.Empty(t, n.speaker.recentCrashes(now), "two hosts have no speaker")
	n.speaker.speaks = true
	n.collect(&rpc.Beat{AvailabilityZone: "other", Crashes: []*rpc.Crash{{Fingerprint: 2}}}, now)
	n.collect(&rpc.Beat{AvailabilityZone: "a", Crashes: []*rpc.Crash{{Fingerprint: 1}, {Fingerprint: 1}}}, now)
	assert.Len(t, n.speaker.recentCrashes(now), 1)
	assert.Empty(t, n.speaker.recentCrashes(now.Add(fleet.CrashReportTime+time.Second)))
}

// Guards against hosts that start together and all take themselves for the first of their
// zone before they have heard each other, and against dead hosts that stay registered and
// keep the others from following.
func TestRegisteredHostsCountAsHeardAtTheStart(t *testing.T) {
	n := newNode(t, "a", "127.0.0.1:1")
	registered := []string{"a"}
	for i := range 40 {
		registered = append(registered, fmt.Sprintf("h%d", i))
	}
	n.Presume(registered)
	require.False(t, n.opts.Role.Following(), "others come first")
	n.updateRole(time.Now().Add(presumeTime / 2))
	assert.False(t, n.opts.Role.Following())
	n.updateRole(time.Now().Add(2 * presumeTime))
	assert.True(t, n.opts.Role.Following(), "none of them was heard")
}

// Guards against a host whose link hundreds of starting hosts share until all time out.
func TestWholePullsAreBounded(t *testing.T) {
	n := newNode(t, "a", "127.0.0.1:1")
	n.know(t, "7", member("a", 3, false))
	n.serving.Add(mostWholePulls)
	_, err := n.Pull(t.Context(), &rpc.PullRequest{})
	assert.ErrorContains(t, err, "pull everything")
	_, err = n.Pull(t.Context(), &rpc.PullRequest{MembersAsOf: 2})
	assert.NoError(t, err, "changes are small")
	n.serving.Add(-mostWholePulls)
	_, err = n.Pull(t.Context(), &rpc.PullRequest{})
	assert.NoError(t, err)
	assert.Zero(t, n.serving.Load())
}

// Guards against hosts that start together and all follow the store, since none of them has
// had an answer yet (sweep: 4 s at 100 machines until the first request was served).
func TestStartingHostCountsAsReachingTheStore(t *testing.T) {
	n := newNode(t, "a", "127.0.0.1:1")
	assert.True(t, n.compose(time.Now()).StoreReachable, "it has made no call")
	require.NoError(t, n.state.Publish(state.StoreCall{Err: assert.AnError}))
	assert.False(t, n.compose(time.Now()).StoreReachable)
	require.NoError(t, n.state.Publish(state.StoreCall{}))
	assert.True(t, n.compose(time.Now()).StoreReachable)
}
