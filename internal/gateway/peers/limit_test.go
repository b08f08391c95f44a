package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/scheduling/requestlimit"
)

// limitOf returns the limit of a replica in requests per second as the host knows it, or 0 for none.
func (host *testHost) limitOf(replica string) float64 {
	for _, v := range host.fleet.Views(time.Now()) {
		if v.Member.ID == replica && v.Limit.Limited {
			return v.Limit.PerSecond
		}
	}
	return 0
}

// Guards against hosts that learn of a replica's request limit, or of its end, only from their own
// requests, and against parts of the limit for hosts that do not exist.
func TestRequestLimitsReachAllHosts(t *testing.T) {
	for port, zones := range map[int][]int{39885: {4, 4}, 39886: {1, 2}} { // with and without zone speakers
		hosts := startZones(t, port, zones...)
		q := &fleet.Request{Upstream: "pool", TimeLeft: time.Minute, Exclude: []string{"r2"}}
		lease, refusal := hosts[0].fleet.Pick(q, time.Now())
		require.Nil(t, refusal)
		require.True(t, lease.RecordLimit(requestlimit.Statement{Limited: true, PerSecond: 2.5}, time.Now()))
		for _, host := range hosts {
			assert.Eventually(t, func() bool { return host.limitOf("r1") == 2.5 }, 20*time.Second, 10*time.Millisecond, host.opts.Host)
			assert.Eventually(t, func() bool {
				h := host.limitHosts(host.neighbors(time.Now()), time.Now())
				live := 1 + len(h.Neighbors)
				for _, z := range h.OtherZones {
					live += z.Hosts
				}
				return live == len(hosts)
			}, 20*time.Second, 10*time.Millisecond, host.opts.Host)
		}
		var later *fleet.Lease
		require.Eventually(t, func() bool {
			later, refusal = hosts[0].fleet.Pick(q, time.Now())
			return refusal == nil
		}, 20*time.Second, 10*time.Millisecond)
		require.True(t, later.RecordLimit(requestlimit.Statement{}, time.Now()))
		for _, host := range hosts {
			assert.Eventually(t, func() bool { return host.limitOf("r1") == 0 }, 20*time.Second, 10*time.Millisecond, host.opts.Host)
		}
	}
}
