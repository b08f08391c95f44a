package control

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/netio/relaytest"
	"heatherbarrow/internal/kernel"
	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/rollout"
	"heatherbarrow/internal/rpc"
	standin "heatherbarrow/internal/standin/platform"
)

func lookup[T any](t *testing.T, r *kernel.Registry, name string) T {
	s, err := kernel.Lookup[T](r, name)
	require.NoError(t, err)
	return s
}

// Guards against a bundle that does not reach a zone or that a host takes back,
// while zones are cut off from the platform, from each other and from both.
func TestBundleReachesZonesThatAreCutOff(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "ate", "callao", "surco", "ate")
	c.start()
	c.waitFor(c.rollOut())
	stop := c.watchGenerations()
	defer stop()
	c.cutZone("ate", true, false)
	c.waitFor(c.rollOut()) // ate learns from the other zones
	c.cutZone("ate", true, true)
	second := c.rollOut()
	c.waitFor(second, c.hosts[1], c.hosts[2])
	require.EqualValues(t, second-1, c.hosts[0].generation())
	c.setCut(nil)
	c.waitFor(second)
}

// Guards against a host that restarts during an outage of the platform and then
// serves an old bundle, or none although its peers know one.
func TestRestartDuringOutageLearnsFromPeers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "ate", "callao", "ate")
	c.start()
	generation := c.rollOut()
	c.waitFor(generation)
	c.platform.SetFaults(standin.Faults{Down: true})
	c.hosts[2].stop()
	c.hosts[2].start()
	require.Zero(t, c.hosts[2].generation(), "a restarted host knows nothing")
	c.waitFor(generation, c.hosts[2])
}

// Guards against a zone that restarts as a whole without any source and guesses:
// it must stay not ready, say why, and recover when a source is back.
func TestZoneWithoutAnySourceStaysNotReady(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "ate", "ate", "callao")
	c.start()
	generation := c.rollOut()
	c.waitFor(generation)
	c.cutZone("ate", true, true)
	for _, n := range c.hosts[:2] {
		n.stop()
	}
	for _, n := range c.hosts[:2] {
		n.start()
	}
	c.eventually("the reason must name both sources", func() bool {
		reason := c.hosts[0].loop.State().NotReady
		return strings.Contains(reason, "platform: cannot be reached") && strings.Contains(reason, "peer h1: has no bundle either")
	})
	require.Zero(t, c.hosts[0].generation())
	c.cutZone("ate", true, false) // the other zone is back, the platform is not
	c.waitFor(generation)
}

// Guards against a platform that was restored to an older state and pulls a
// restarted host back behind its peers.
func TestHigherGenerationOfAPeerWinsOverThePlatform(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "ate", "ate")
	c.start()
	c.rollOut()
	old, _, err := c.store.Current(context.Background())
	require.NoError(t, err)
	generation := c.rollOut()
	c.waitFor(generation)
	restored := standin.New()
	server := httptest.NewServer(restored.Handler())
	t.Cleanup(server.CloseClientConnections)
	client := objectstore.NewClient(server.URL, http.DefaultClient)
	content, err := c.store.Content(context.Background(), old.SHA256)
	require.NoError(t, err)
	_, err = client.Create(context.Background(), rollout.KindContent, old.SHA256, map[string][]byte{"content_gzip": rollout.Compress(content)})
	require.NoError(t, err)
	_, err = client.Create(context.Background(), rollout.KindCurrent, rollout.NameCurrent, old)
	require.NoError(t, err)
	c.hosts[1].stop()
	c.hosts[1].settings.Platform = server.URL
	c.hosts[1].start()
	stop := c.watchGenerations()
	c.waitFor(generation, c.hosts[1])
	stop()
}

// Guards against forged, altered and reverting bundles, from whatever source.
func TestBundlesAreCheckedFromEverySource(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "ate")
	c.start()
	c.rollOut()
	first, _, err := c.store.Current(context.Background())
	require.NoError(t, err)
	firstContent, err := c.store.Content(context.Background(), first.SHA256)
	require.NoError(t, err)
	generation := c.rollOut()
	c.waitFor(generation)
	loop := c.hosts[0].loop
	send := func(record *rpc.BundleRecord) {
		require.NoError(t, loop.opts.Bus.Publish(BundleReceived{Record: record, Source: "peer test"}))
		require.Equal(t, generation, loop.State().Bundle.Generation)
	}
	send(first.ToRPC(firstContent)) // an old bundle
	higher := loop.State().Bundle
	raised := rpc.BundleRecord{
		Generation: generation + 1, Sha256: higher.Sha256, Content: higher.Content, Author: higher.Author, Approver: higher.Approver,
		AuthorSignature: higher.AuthorSignature, ApproverSignature: higher.ApproverSignature,
	}
	send(&raised) // the signatures are of another generation
	version := rollout.Current{Generation: generation + 1, SHA256: higher.Sha256}
	version.SignAuthor("ana", keys["ana"])
	version.SignApprover("ana", keys["ana"], time.Now())
	send(version.ToRPC(higher.Content)) // approved by its author
	version.SignApprover("ben", keys["ana"], time.Now())
	send(version.ToRPC(higher.Content)) // approver's name, author's key
	version.SignApprover("ben", keys["ben"], time.Now())
	send(version.ToRPC(append(bytes.Clone(higher.Content), ' '))) // altered content
	require.NoError(t, loop.opts.Bus.Publish(BundleReceived{Record: version.ToRPC(higher.Content), Source: "peer test"}))
	require.Equal(t, generation+1, loop.State().Bundle.Generation)
}

// Guards against a zone that is left without a watch when its watchers die, and
// against every host of a zone holding one.
func TestWatchMovesWhenWatchersDie(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "ate", "ate", "ate", "ate", "ate")
	c.start()
	c.waitFor(c.rollOut())
	watching := func(hosts []*node) (out []*node) {
		for _, n := range hosts {
			if n.loop.State().Topology.Watching {
				out = append(out, n)
			}
		}
		return out
	}
	c.eventually("two hosts must watch", func() bool { return len(watching(c.hosts)) == 2 })
	first := watching(c.hosts)
	var rest []*node
	for _, n := range c.hosts {
		if n != first[0] && n != first[1] {
			rest = append(rest, n)
		}
	}
	first[0].stop()
	first[1].stop()
	generation := c.rollOut()
	c.waitFor(generation, rest...)
	c.eventually("two others must watch", func() bool { return len(watching(rest)) == 2 })
}

// Guards against a watcher whose packets to the platform vanish without an error
// and that keeps the watch although it hears nothing.
func TestWatcherBehindABlackHoleIsReplaced(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "ate", "ate", "ate", "ate")
	relays := map[*node]*relaytest.Relay{}
	for _, n := range c.hosts {
		relay, err := relaytest.New(strings.TrimPrefix(c.url, "http://"))
		require.NoError(t, err)
		t.Cleanup(relay.Close)
		relays[n] = relay
		n.settings.Platform = "http://" + relay.Address()
	}
	c.start()
	c.waitFor(c.rollOut())
	c.eventually("two hosts must watch", func() bool {
		count := 0
		for _, n := range c.hosts {
			if n.loop.State().Topology.Watching {
				count++
			}
		}
		return count == 2
	})
	for _, n := range c.hosts {
		if n.loop.State().Topology.Watching {
			relays[n].Begin(relaytest.Fault{Direction: relaytest.FromTarget, Silent: true})
		}
	}
	c.waitFor(c.rollOut())
}

// Guards against a platform restored to an older state, whose next generations
// hosts would ignore because they are ahead, and against a rollout that an
// operator then believes to be in force.
func TestPlatformThatLostTheBundleGetsItBack(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "ate", "callao", "ate")
	c.start()
	c.waitFor(c.rollOut())
	older, _, err := c.store.Current(context.Background())
	require.NoError(t, err)
	generation := c.rollOut()
	c.waitFor(generation)
	restored := func() bool {
		current, _, err := c.store.Current(context.Background())
		return err == nil && current.Generation == generation
	}
	_, version, err := c.store.Current(context.Background())
	require.NoError(t, err)
	require.NoError(t, c.store.Platform.Delete(context.Background(), rollout.KindCurrent, rollout.NameCurrent, version))
	require.Eventually(t, restored, patience, 10*time.Millisecond)

	_, version, err = c.store.Current(context.Background())
	require.NoError(t, err)
	_, err = c.store.Platform.Update(context.Background(), rollout.KindCurrent, rollout.NameCurrent, version, older)
	require.NoError(t, err)
	require.Eventually(t, restored, patience, 10*time.Millisecond)

	next := c.rollOut()
	require.Equal(t, generation+1, next)
	c.waitFor(next)
}
