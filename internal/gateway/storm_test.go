package gateway_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/platform"
	"heatherbarrow/platform/storetest"
)

// throttledStore passes calls on to a store and answers them at a few MB/s.
type throttledStore struct{ *storetest.Store }

// ServeHTTP implements http.Handler.
func (s throttledStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	const chunk, pause = 10 << 10, 5 * time.Millisecond
	answer := httptest.NewRecorder()
	s.Store.ServeHTTP(answer, r)
	maps.Copy(w.Header(), answer.Header())
	w.WriteHeader(answer.Code)
	for answer.Body.Len() > 0 && r.Context().Err() == nil {
		_, _ = w.Write(answer.Body.Next(chunk))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(pause)
	}
}

// Guards against a host that falls further and further behind a series of large configurations, because each watch
// returns all versions since the last one that succeeded, and times out before it has read them. Found by the
// configuration soak beside busy processes (TestConfigSoak, seed 1067318133941 of its first form).
func TestHostFollowsSeriesOfLargeConfigurations(t *testing.T) {
	const versions, within, maxSeries = 120, 2 * time.Second, 3
	g := startGatewayWith(t, func(g *testGateway) {
		front := httptest.NewServer(throttledStore{g.store})
		t.Cleanup(front.CloseClientConnections)
		g.Store = front.Listener.Addr().String()
	}, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Heatherbarrow-Server-Seal", "s")
		w.Header().Set("Heatherbarrow-Attempt-Id", r.Header.Get("Heatherbarrow-Attempt-Id"))
	})
	g.putConfig(t, 1)
	var filler strings.Builder
	for i := range 700 {
		fmt.Fprintf(&filler, `{"name":"filler-%d","host":"filler-%d.example","pathPrefix":"/filler/","routeKind":"idempotent","service":"pool","maxAttempts":1},`, i, i)
	}
	const format = `{"version":%d,"routes":[%s{"name":"r","host":%q,"pathPrefix":"/version-%d/","routeKind":"idempotent","timeoutMs":20000,"service":"pool","maxAttempts":1,"public":true}],"services":[{"name":"pool"}]}`
	version := 1
	// inForceAfter writes a series and returns the time until its last version is in force.
	inForceAfter := func() time.Duration {
		for range versions {
			version++
			g.store.Put(platform.KindConfig, platform.NameConfig, json.RawMessage(fmt.Sprintf(format, version, filler.String(), g.host(), version)))
			time.Sleep(30 * time.Millisecond)
		}
		confirmed := time.Now()
		last := fmt.Sprintf("/version-%d/", version)
		require.Eventually(t, func() bool { return g.status(t, last) == http.StatusOK }, 30*time.Second, 10*time.Millisecond)
		t.Logf("in force after %v", time.Since(confirmed))
		return time.Since(confirmed)
	}
	for inForceAfter() >= within { // a busy machine may delay one series
		require.LessOrEqual(t, version, maxSeries*versions, "no series was in force in time")
	}
}
