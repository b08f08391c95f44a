package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/rpc"
)

// Guards against hosts that learn of a replica's request limit, or of its end, only from their own
// requests, and against statements that seem newer with each host that passes them on.
func TestRequestLimitsReachAllHosts(t *testing.T) {
	n := newNetwork(t, 3, 6)
	n.run(3 * time.Second)
	all := func(limited bool) bool {
		for _, name := range n.names {
			limits := n.hosts[name].Limits(n.now)
			if limited && (len(limits) != 1 || !limits[0].Limited || limits[0].PerSecond != 1.5) || !limited && len(limits) > 0 && limits[0].Limited {
				return false
			}
		}
		return true
	}
	statement := &rpc.StatedLimit{Upstream: "models", Replica: "e1", Limited: true, PerSecond: 1.5}
	n.hosts["z0-h0"].ObserveLimits([]*rpc.StatedLimit{statement}, n.now)
	require.True(t, n.hosts["z0-h0"].TakeUrgent(), "peers are told at once")
	n.run(6 * time.Second)
	require.True(t, all(true))
	require.GreaterOrEqual(t, n.hosts["z2-h5"].Limits(n.now)[0].AgeMs, uint32(5000))

	n.hosts["z1-h1"].ObserveLimits([]*rpc.StatedLimit{{Upstream: "models", Replica: "e1"}}, n.now)
	n.run(8 * time.Second)
	require.True(t, all(false))
	n.run(10 * time.Second)
	require.Empty(t, n.hosts["z1-h1"].Limits(n.now), "an ended limit is not told of for ever")

	for _, perSecond := range []float64{-1, -1e300} {
		n.hosts["z0-h0"].ObserveLimits([]*rpc.StatedLimit{{Upstream: "models", Replica: "e1", Limited: true, PerSecond: perSecond}}, n.now)
		require.Empty(t, n.hosts["z0-h0"].Limits(n.now))
	}
}
