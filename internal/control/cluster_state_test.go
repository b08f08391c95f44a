package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/membership"
	"heatherbarrow/internal/membership/shares"
	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/rpc"
	standin "heatherbarrow/internal/standin/platform"
)

func (n *node) crashes(fingerprint uint64) int {
	for _, e := range n.loop.State().View.Quarantine {
		if e.Fingerprint == fingerprint {
			return len(e.CrashedReplicas)
		}
	}
	return 0
}

func (n *node) reportCrash(t *testing.T, fingerprint uint64, replica string) {
	response, err := n.feed.ReportCrash(context.Background(), &rpc.CrashRequest{Fingerprint: fingerprint, Upstream: "models", Replica: replica})
	require.NoError(t, err)
	require.NotEmpty(t, response.Quarantine, "the router must learn of its own crash at once")
}

// Guards against a poison request that runs again: on another host, after the answer to the write was lost, and after the whole zone restarted.
func TestQuarantineReachesTheZoneAndOutlivesIt(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "ate", "ate", "ate", "callao")
	c.start()
	c.waitFor(c.rollOut())
	c.platform.SetFaults(standin.Faults{LoseWriteAnswers: 2})
	c.hosts[0].reportCrash(t, 7, "e1")
	c.hosts[1].reportCrash(t, 7, "e2")
	for _, n := range c.hosts {
		c.eventually("the fingerprint must reach all zones", func() bool { return n.crashes(7) == 2 })
	}
	c.eventually("the platform must keep both crashes", func() bool {
		o, err := c.store.Platform.Get(context.Background(), kindQuarantine, "ate")
		var kept keptQuarantine
		return err == nil && json.Unmarshal(o.Value, &kept) == nil && len(kept.Entries) == 1 && len(kept.Entries[0].CrashedReplicas) == 2
	})
	for _, n := range c.hosts {
		n.stop()
	}
	c.hosts[0].start()
	c.eventually("the entry must come back from the platform", func() bool { return c.hosts[0].crashes(7) == 2 })
	released, err := c.hosts[0].operator.ReleaseQuarantine(context.Background(), &rpc.ReleaseRequest{Fingerprint: 7})
	require.NoError(t, err)
	require.True(t, released.Found)
	c.eventually("the release must show", func() bool { return c.hosts[0].crashes(7) == 0 })
	c.hosts[1].start()
	c.eventually("the release must reach a restarted host", func() bool {
		entries := c.hosts[1].loop.State().View.Quarantine
		return len(entries) == 1 && entries[0].Released == 1 && len(entries[0].CrashedReplicas) == 0
	})
}

// Guards against each zone learning of a poison request by two crashes of its own,
// and against a suspect that stays one everywhere although it completed.
func TestSuspectsAreSharedBetweenZones(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "ate", "callao", "surco")
	c.start()
	c.waitFor(c.rollOut())
	c.hosts[0].reportCrash(t, 7, "e1")
	c.hosts[1].reportCrash(t, 7, "e2")
	third := c.hosts[2]
	c.eventually("the third zone must know both crashes", func() bool { return third.crashes(7) == 2 })
	third.reportCrash(t, 8, "e3")
	c.eventually("the suspect must be known", func() bool { return c.hosts[0].crashes(8) == 1 })
	_, err := c.hosts[1].feed.ReportCrash(context.Background(), &rpc.CrashRequest{Fingerprint: 8, Completed: true})
	require.NoError(t, err)
	for _, n := range c.hosts {
		c.eventually("the completion must clear it", func() bool { return n.crashes(8) == 0 && n.crashes(7) == 2 })
	}
}

// Guards against a draining host or a leaving replica that other hosts still use.
func TestLeavingReachesAllHosts(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "ate", "ate", "callao")
	c.start()
	c.waitFor(c.rollOut())
	for _, n := range c.hosts {
		c.eventually("hosts must know each other", func() bool { return n.hostState("h0") == rpc.State_STATE_LIVE })
	}
	_, _ = c.hosts[0].operator.Drain(context.Background(), &rpc.DrainRequest{})
	list := objectstore.HostList{Upstreams: []objectstore.Upstream{{Upstream: "models", Replica: "e1", State: "leaving"}}}
	for _, n := range c.hosts {
		list.Hosts = append(list.Hosts, objectstore.Host{Name: n.settings.Host, AvailabilityZone: n.settings.AvailabilityZone, State: "live"})
	}
	c.platform.SetHosts(list)
	for _, n := range c.hosts {
		c.eventually("the host must be leaving", func() bool { return n.hostState("h0") == rpc.State_STATE_LEAVING })
		c.eventually("the replica must be leaving or dead", func() bool {
			r := n.replica()
			return r != nil && r.State != rpc.State_STATE_LIVE
		})
	}
}

// Guards against a list that is never taken over, and a bundle that never comes,
// because every answer of a slow platform misses a deadline.
func TestSlowPlatformIsStillRead(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "ate", "ate", "callao")
	c.start()
	c.waitFor(c.rollOut())
	hash := c.approved()
	c.platform.SetFaults(standin.Faults{DelayMS: 1700})
	c.platform.SetHosts(objectstore.HostList{Upstreams: []objectstore.Upstream{{Upstream: "models", Replica: "e1", State: "leaving"}}})
	for _, n := range c.hosts {
		c.eventually("the mark must arrive", func() bool { return n.replica().GetMark() > 0 })
	}
	c.waitFor(c.putInForce(hash))
}

// Guards against loads that do not reach the router, and against a restarted
// engine that keeps its leaving state.
func TestLoadReportsReachTheRouter(t *testing.T) {
	t.Parallel()
	var running atomic.Int64
	running.Store(3)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(asJSON(map[string]any{"running": running.Load(), "waiting": 1, "models": []string{"m"}, "age_ms": 500, "boot": "b"}))
	}))
	t.Cleanup(engine.CloseClientConnections)
	c := newCluster(t, "ate", "ate", "ate")
	c.engine = engine.Listener.Addr().String()
	c.start()
	c.waitFor(c.rollOut())
	for _, n := range c.hosts {
		c.eventually("the load must reach "+n.settings.Host, func() bool {
			r := n.replica()
			return r != nil && r.HasLoad && r.Running == uint32(running.Load()) && r.ReportAgeMs >= 500 && len(r.Models) == 1
		})
	}
	observers := 0
	for _, n := range c.hosts {
		observers += len(n.loop.State().Topology.Targets)
	}
	require.LessOrEqual(t, observers, 3)
	engine.Close()
	c.eventually("the replica must be dead", func() bool {
		return c.hosts[2].replica().GetState() == rpc.State_STATE_DEAD
	})
}

// Guards against views that come too often for the router, and against ages that
// stand still while a view waits to be fetched.
func TestFeedCorrectsAges(t *testing.T) {
	view := &rpc.View{Replicas: []*rpc.ReplicaState{{HasLoad: true, ReportAgeMs: 100}}, Shares: []*rpc.TeamShare{{Team: "a", ValidMs: 2000}, {Team: "b", ValidMs: 100}}}
	got := aged(view, 300*time.Millisecond)
	require.EqualValues(t, 400, got.Replicas[0].ReportAgeMs)
	require.Len(t, got.Shares, 1)
	require.EqualValues(t, 1700, got.Shares[0].ValidMs)
	require.EqualValues(t, 100, view.Replicas[0].ReportAgeMs, "the snapshot must not change")
}

// Guards against a router that is ahead of its restarted control and then asks
// again and again without a pause.
func TestWaitDoesNotReturnALowerGeneration(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := NewLoop(Options{Bus: bus.New(), Clock: clock, Logger: zerolog.Nop(), Member: membership.Options{Host: "h", Zone: "z"}})
	l.publish(func(s *State) { s.Bundle = &rpc.BundleRecord{Generation: 4} })
	version := l.State().View.Version
	require.EqualValues(t, 4, l.Wait(context.Background(), 3, version, time.Hour).Bundle.Generation)
	returned := make(chan struct{})
	go func() {
		l.Wait(context.Background(), 5, version, time.Second)
		close(returned)
	}()
	require.NoError(t, clock.BlockUntilContext(context.Background(), 1))
	select {
	case <-returned:
		require.Fail(t, "returned without news")
	default:
	}
	clock.Advance(time.Second)
	<-returned
}

// Guards against hosts that are lent more than the zone's entitlement together,
// and against a demand that is never met.
func TestSharesFollowDemand(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "ate", "ate", "ate")
	c.start()
	c.waitFor(c.rollOut())
	report := func(n *node, tokens uint64) {
		_, err := n.feed.Report(context.Background(), &rpc.ReportRequest{Teams: []*rpc.TeamUsage{{Team: "counter", DemandedTokens: tokens}}})
		require.NoError(t, err)
	}
	zone := shares.Amount{TokensPerSecond: 1000, InProgress: 100}
	floor := shares.Floor(zone, 3).TokensPerSecond
	granted := func(n *node) (sum float64) {
		for _, share := range n.loop.State().View.Shares {
			sum += share.TokensPerSecond
		}
		return sum
	}
	deadline := time.Now().Add(patience)
	for best := 0.0; best < 400; {
		require.True(t, time.Now().Before(deadline), "only %v tokens/s were granted", best)
		report(c.hosts[0], 1000)
		report(c.hosts[1], 60)
		time.Sleep(reportInterval)
		total := 0.0
		for _, n := range c.hosts {
			total += granted(n)
		}
		require.LessOrEqual(t, total+3*floor, zone.TokensPerSecond+1)
		best = granted(c.hosts[0])
	}
	require.EqualValues(t, 3, c.hosts[0].loop.State().View.HostsInZone)
	require.EqualValues(t, 1, c.hosts[0].loop.State().View.ZoneCount)
}

// refusesPart tells whether the host's routers refuse prompts with the part.
func (n *node) refusesPart(part uint64) bool {
	for _, p := range n.loop.State().View.SuspectParts {
		if p.Part == part {
			return p.Quarantined
		}
	}
	return false
}

// Guards against a message that crashes engines in chats that are otherwise different and is not
// recognized because each host saw one of the crashes, or forgotten when a zone restarts.
func TestPartOfPromptsIsQuarantinedByTheCrashesOfAllHosts(t *testing.T) {
	t.Parallel()
	const poison, system = 7, 8
	c := newCluster(t, "ate", "ate", "callao", "surco")
	c.start()
	c.waitFor(c.rollOut())
	for i, n := range c.hosts[1:] {
		response, err := n.feed.ReportCrash(context.Background(), &rpc.CrashRequest{
			Fingerprint: uint64(100 + i), Upstream: "models", Replica: fmt.Sprintf("e%d", i), Parts: []uint64{system, poison, uint64(20 + i)},
		})
		require.NoError(t, err)
		require.NotEmpty(t, response.SuspectParts, "the router must learn of its own crash at once")
		_, err = n.feed.ReportCrash(context.Background(), &rpc.CrashRequest{Completed: true, Parts: []uint64{system}})
		require.NoError(t, err)
		time.Sleep(300 * time.Millisecond) // crashes at the same moment count once
	}
	for _, n := range c.hosts {
		c.eventually("the part must be refused in all zones", func() bool { return n.refusesPart(poison) && !n.refusesPart(system) })
	}
	c.eventually("the platform must keep the part", func() bool {
		o, err := c.store.Platform.Get(context.Background(), kindQuarantine, "ate")
		var kept keptQuarantine
		return err == nil && json.Unmarshal(o.Value, &kept) == nil && len(kept.Parts) == 1 && kept.Parts[0].Part == "7"
	})
	for _, n := range c.hosts {
		n.stop()
	}
	c.hosts[0].start()
	c.eventually("the part must come back from the platform", func() bool { return c.hosts[0].refusesPart(poison) })
	released, err := c.hosts[0].operator.ReleaseQuarantine(context.Background(), &rpc.ReleaseRequest{Fingerprint: poison})
	require.NoError(t, err)
	require.True(t, released.Found)
	c.hosts[1].start()
	c.eventually("the release must reach a host that starts later", func() bool {
		return !c.hosts[0].refusesPart(poison) && !c.hosts[1].refusesPart(poison) && len(c.hosts[1].loop.State().View.Hosts) > 1
	})
}
