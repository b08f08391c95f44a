package gateway_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/rpc"
	"heatherbarrow/platform"
	"heatherbarrow/platform/storetest"
)

// Guards against a host that tells another one, which asks for what the store has now, what it had read before: a watch brings
// changes late, none come while the store is away, and revisions of a restored store tell nothing.
func TestHostTellsWhatTheStoreHasNow(t *testing.T) {
	g := startGateway(t, func(http.ResponseWriter, *http.Request) {})
	g.putConfig(t, 1)
	client := rpc.NewGatewayProtobufClient("http://"+g.PeerListen, http.DefaultClient)
	pull := func() (*rpc.PullResponse, error) { return client.Pull(t.Context(), &rpc.PullRequest{Current: true}) }
	put := func(id, version, state string) {
		g.store.Put(platform.KindMembers, id, map[string]any{
			"service": "pool", "address": "127.0.0.1:1", "zone": "a", "slots": 8, "state": state, "born": 1, "version": version,
		})
	}
	knows := func(response *rpc.PullResponse, version string) bool {
		return slices.ContainsFunc(response.Versions, func(v *rpc.UpstreamVersion) bool { return v.SoftwareVersion == version })
	}
	for _, version := range []string{"v1", "v2", "v3"} { // in quick succession, which the watch brings together
		put(version, version, "ready")
		response, err := pull()
		require.NoError(t, err)
		assert.True(t, response.Current)
		assert.True(t, knows(response, version), version)
	}
	put("v4", "v4", "ready")
	g.store.Remove(platform.KindMembers, "v4")
	response, err := pull()
	require.NoError(t, err)
	assert.True(t, knows(response, "v4"), "a replica that has left may have begun streams")

	for _, fault := range []storetest.Fault{storetest.Down, storetest.Silent} {
		g.store.SetFault(fault)
		_, err = pull()
		require.Error(t, err)
	}
	g.store.SetFault(storetest.None)
	require.Eventually(t, func() bool {
		_, err := pull()
		return err == nil
	}, 10*time.Second, 20*time.Millisecond)

	saved := g.store.Copy()
	put("lost", "v5", "ready")
	g.store.Restore(saved)
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if response, err = pull(); err == nil {
			break
		}
	}
	require.NoError(t, err)
	assert.EqualValues(t, 2, response.MembersEra, "registrations of the era before tell nothing of this one")
}
