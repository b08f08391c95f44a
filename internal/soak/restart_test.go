package soak

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/platform"
)

// TestAllHostsRestartTogether guards against hosts that start together and do not serve for
// seconds, because all of them list all replicas, or wait for each other. HOSTS sets the number
// of hosts of each of three zones, for a run by hand at size.
func TestAllHostsRestartTogether(t *testing.T) {
	perZone := 4
	if text := os.Getenv("HOSTS"); text != "" {
		var err error
		perZone, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	d := newDeployment(t, 3, perZone)
	for i := range 20 * len(d.hosts) {
		d.store.Put(platform.KindMembers, fmt.Sprintf("other-%d", i), map[string]any{
			"service": "other", "address": fmt.Sprintf("127.9.%d.%d:1", i/250, 1+i%250), "zone": zoneName(i % 3), "slots": 4, "state": "ready", "born": 1,
		})
	}
	for _, h := range d.hosts {
		require.Eventually(t, h.ready, 2*settleTime, 20*time.Millisecond, "%s starts", h.name)
	}
	require.Eventually(t, func() bool { return d.store.Count(platform.KindHosts) == len(d.hosts) }, settleTime, 20*time.Millisecond)
	for _, h := range d.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range d.hosts {
		h.wait()
	}
	lists := d.store.ListCalls(platform.KindMembers)
	began := time.Now()
	var wg sync.WaitGroup
	took := make([]time.Duration, len(d.hosts))
	for i, h := range d.hosts {
		h.start()
		wg.Add(1)
		go func() {
			defer wg.Done()
			for !h.ready() && time.Since(began) < 2*settleTime {
				time.Sleep(10 * time.Millisecond)
			}
			took[i] = time.Since(began)
		}()
	}
	wg.Wait()
	most := time.Duration(0)
	for _, each := range took {
		most = max(most, each)
	}
	lists = d.store.ListCalls(platform.KindMembers) - lists
	t.Logf("%d hosts, %d replicas: all ready %v after the first start, %d lists", len(d.hosts), 20*len(d.hosts), most.Round(time.Millisecond), lists)
	assert.LessOrEqual(t, lists, len(d.hosts)/2, "most hosts have the news of others")
}
