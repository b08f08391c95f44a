package peers

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/netio/relaytest"
)

// Guards against a pull that waits for its timeout on a connection to another host that has gone silent since the
// last pull, so that a configuration or a leaving replica becomes known too late.
func TestPullAfterConnectionsBetweenHostsGoSilent(t *testing.T) {
	ahead := newTestHost(t, "ahead", "127.0.0.1:1")
	relay, err := relaytest.New(ahead.serve(t))
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	behind := newTestHost(t, "behind", "127.0.0.1:2")
	for round, version := range []string{"1", "2", "3"} {
		ahead.publish(t, version)
		started := time.Now()
		require.NoError(t, behind.pullFrom(t.Context(), relay.Address()), "round %d", round)
		assert.Equal(t, int64(round+1), behind.state.ConfigVersion())
		assert.Less(t, time.Since(started), pullTimeout/2, "round %d", round)
		relay.Silence()
	}
}

// Guards against a host without a watch of its own that gets a change of the configuration too late because the host
// which announced it first stalls: other hosts have the change too.
func TestPullFromStalledHostLeavesTimeForAnotherOne(t *testing.T) {
	stalled, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections for a stopped process
	require.NoError(t, err)
	t.Cleanup(func() { _ = stalled.Close() })
	ahead := newTestHost(t, "ahead", "127.0.0.1:1")
	ahead.publish(t, "7")
	behind := newTestHost(t, "behind", "127.0.0.1:2")
	behind.opts.Role.Set(false)
	go behind.pullLoop(t.Context())
	started := time.Now()
	behind.pullAddresses <- stalled.Addr().String()
	behind.pullAddresses <- ahead.serve(t)
	assert.Eventually(t, func() bool { return behind.state.ConfigVersion() == 7 }, 2*pullTimeout, time.Millisecond)
	assert.Less(t, time.Since(started), time.Second, "a change must be in force within 2 s")
}
