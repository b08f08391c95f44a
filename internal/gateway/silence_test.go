package gateway_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/netio/relaytest"
	"heatherbarrow/internal/settings"
	"heatherbarrow/platform"
)

// Guards against a configuration that comes into force too late because the connections to the store that were
// open before the change have gone silent: the watch's, and idle ones that the next call would use. Found by the
// check CONFIG in unanswered-all of Caceres, seeds 2 and 4.
func TestConfigurationComesIntoForceInTimeAfterStoreConnectionsGoSilent(t *testing.T) {
	const within = 4 * time.Second
	var relay *relaytest.Relay
	g := startGatewayWith(t, func(g *testGateway) {
		var err error
		relay, err = relaytest.New(g.Store)
		require.NoError(t, err)
		t.Cleanup(relay.Close)
		g.Store, g.ConfigWithin = relay.Address(), settings.Duration(within)
	}, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Heatherbarrow-Server-Seal", "s")
		w.Header().Set("Heatherbarrow-Attempt-Id", r.Header.Get("Heatherbarrow-Attempt-Id"))
	})
	g.putConfig(t, 1)
	// After the calls of the start, the pool holds idle connections.
	require.Eventually(t, func() bool { return g.store.ListCalls(platform.KindHosts) >= 2 }, 20*time.Second, 10*time.Millisecond)
	for round := range 3 { // the connections that replace silent ones may go silent too
		version, prefix := 2+round, fmt.Sprintf("/added-%d/", round)
		require.Equal(t, http.StatusNotFound, g.status(t, prefix))
		time.Sleep(500 * time.Millisecond) // the watch is open again
		relay.Silence()
		changed := time.Now()
		g.store.Put(platform.KindConfig, platform.NameConfig, json.RawMessage(fmt.Sprintf(
			`{"version":%d,"routes":[{"name":"r","host":%q,"pathPrefix":%q,"routeKind":"idempotent","timeoutMs":20000,"goalMs":400,"service":"pool","maxAttempts":1,"public":true}],"services":[{"name":"pool"}],"limits":{"idleTimeoutMs":15000}}`,
			version, g.host(), prefix)))
		for g.status(t, prefix) == http.StatusNotFound && time.Since(changed) < 2*within {
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("round %d: in force after %v", round, time.Since(changed))
		assert.Less(t, time.Since(changed), within, "round %d", round)
	}
}

// status returns the status of a request with the path.
func (g *testGateway) status(t *testing.T, path string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+g.Listen+path, nil)
	require.NoError(t, err)
	request.Header.Set("Heatherbarrow-Attempt-Id", fmt.Sprintf("%s-%d", t.Name(), time.Now().UnixNano()))
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, response.Body)
	require.NoError(t, response.Body.Close())
	return response.StatusCode
}

// Guards against replicas that are not used, or used on, for up to 20 s because the store dropped its history while
// the watch of the replicas was open, and did not report it: a route to a service with new replicas is not served.
func TestReplicasAreFollowedAfterUnreportedLossOfHistory(t *testing.T) {
	const within = 4 * time.Second
	replica := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Heatherbarrow-Server-Seal", "s")
		w.Header().Set("Heatherbarrow-Attempt-Id", r.Header.Get("Heatherbarrow-Attempt-Id"))
	}
	g := startGateway(t, replica)
	g.putConfig(t, 1)
	added := httptest.NewServer(http.HandlerFunc(replica))
	t.Cleanup(added.CloseClientConnections)
	g.store.Put(platform.KindConfig, platform.NameConfig, json.RawMessage(fmt.Sprintf(
		`{"version":2,"routes":[{"name":"r","host":%q,"pathPrefix":"/added/","routeKind":"idempotent","timeoutMs":1000,"goalMs":400,"service":"added","maxAttempts":1,"public":true}],"services":[{"name":"pool"},{"name":"added"}],"limits":{"idleTimeoutMs":15000}}`,
		g.host())))
	require.Eventually(t, func() bool { return g.status(t, "/added/") == http.StatusServiceUnavailable }, within, 10*time.Millisecond)
	for round := range 2 {
		// The watch of the configuration, which ends each second, starts from the last revision before the drop. That of
		// the replicas started before.
		time.Sleep(3 * time.Second)
		g.store.DropHistoryUnreported()
		time.Sleep(100 * time.Millisecond)
		changed, want := time.Now(), http.StatusOK
		if round == 1 {
			want = http.StatusServiceUnavailable
			g.store.Remove(platform.KindMembers, "i-added")
		} else {
			g.store.Put(platform.KindMembers, "i-added", map[string]any{
				"service": "added", "address": added.Listener.Addr().String(), "zone": "a", "slots": 8, "state": "ready", "born": 2 + round,
			})
		}
		for g.status(t, "/added/") != want && time.Since(changed) < 6*within {
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("round %d: followed after %v", round, time.Since(changed))
		assert.Less(t, time.Since(changed), within, "round %d", round)
	}
}
