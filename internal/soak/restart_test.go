package soak

import (
	"cmp"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/platform"
)

// TestAllHostsRestartTogether guards against hosts that start together and do not serve for
// seconds, because all of them list all replicas, or wait for each other. HOSTS sets the number
// of hosts of each of three zones, for a run by hand at size. A host that cannot list the others in time, as the store is
// slow, knows of none whose news it could await: such a play is no case of this test and is played again.
func TestAllHostsRestartTogether(t *testing.T) {
	const plays = 10
	slow := true
	for i := 0; i < plays && slow && !t.Failed(); i++ {
		t.Run(fmt.Sprintf("play %d", i), func(t *testing.T) { slow = restartTogether(t) })
	}
	require.False(t, slow, "the store was too slow in each play")
}

// unlisted returns how often hosts could not list the others when they started.
func (d *deployment) unlisted() (n int) {
	for _, h := range d.hosts {
		text, err := os.ReadFile(h.log)
		require.NoError(d.t, err)
		n += strings.Count(string(text), "hosts cannot be listed at startup")
	}
	return n
}

// restartTogether is a play of TestAllHostsRestartTogether. It returns true if the store was too slow.
func restartTogether(t *testing.T) (slow bool) {
	perZone, _ := strconv.Atoi(os.Getenv("HOSTS"))
	d := newDeployment(t, 3, cmp.Or(perZone, 4), false)
	for i := range 20 * len(d.hosts) {
		d.store.Put(platform.KindMembers, fmt.Sprintf("other-%d", i), map[string]any{
			"service": "other", "address": fmt.Sprintf("127.9.%d.%d:1", i/250, 1+i%250), "zone": zoneName(i % 3), "slots": 4, "state": "ready", "born": 1,
		})
	}
	for _, h := range d.hosts {
		require.Eventually(t, h.ready, 2*settleTime, 20*time.Millisecond, "%s starts", h.name)
	}
	require.Eventually(t, func() bool { return d.store.Count(platform.KindHosts) == len(d.hosts) }, settleTime, 20*time.Millisecond)
	var lists, unlisted int
	var began time.Time
	killAll(d.hosts, func() {
		lists, unlisted, began = d.store.ListCalls(platform.KindMembers), d.unlisted(), time.Now()
	})
	for _, h := range d.hosts {
		for !h.ready() && time.Since(began) < 2*settleTime {
			time.Sleep(10 * time.Millisecond)
		}
	}
	took := time.Since(began)
	lists = d.store.ListCalls(platform.KindMembers) - lists
	unlisted = d.unlisted() - unlisted
	t.Logf("%d hosts, %d replicas: all ready %v after the first start, %d lists, %d hosts could not list the others",
		len(d.hosts), 20*len(d.hosts), took.Round(time.Millisecond), lists, unlisted)
	if unlisted > 0 {
		return true
	}
	assert.LessOrEqual(t, lists, len(d.hosts)/2, "most hosts have the news of others")
	return false
}
