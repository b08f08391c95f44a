package gateway_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/platform"
)

// Guards against a host that ends, or no longer follows the configuration, after a document with values that make no
// sense, and against an invalid document that comes into force.
func TestConfigurationIsFollowedAfterOddDocuments(t *testing.T) {
	const within = 2 * time.Second
	g := startGateway(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Heatherbarrow-Server-Seal", "s")
		w.Header().Set("Heatherbarrow-Attempt-Id", r.Header.Get("Heatherbarrow-Attempt-Id"))
	})
	g.putConfig(t, 1)
	document := func(version int, prefix, more, text string) json.RawMessage {
		return json.RawMessage(fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":%q,"pathPrefix":%q,"routeKind":"idempotent",`+
			`"timeoutMs":2000,"goalMs":400,"service":"pool","maxAttempts":1,"public":true%s}],"services":[{"name":"pool"}],"limits":{"idleTimeoutMs":15000}%s}`,
			version, g.host(), prefix, more, text))
	}
	inForce := ""
	follows := func(version int) {
		t.Helper()
		inForce = fmt.Sprintf("/v%d/", version)
		g.store.Put(platform.KindConfig, platform.NameConfig, document(version, inForce, "", ""))
		require.Eventually(t, func() bool { return g.status(t, inForce) == http.StatusOK }, within, 5*time.Millisecond)
	}
	follows(3)
	for i, c := range []struct {
		route, document string
		invalid         bool
	}{
		{route: `,"priority":-5`}, {route: `,"priority":9223372036854775807`}, {route: `,"maxAttempts":-3`}, {route: `,"maxAttempts":9223372036854775807`},
		{route: `,"timeoutMs":-1`}, {route: `,"timeoutMs":1e300`}, {route: `,"goalMs":-1e300`}, {route: `,"gapGoalMs":1e300`},
		{route: `,"split":[{"service":"pool","weight":-1},{"service":"pool","weight":-2}]`},
		{route: `,"split":[{"service":"pool","weight":9223372036854775807},{"service":"pool","weight":9223372036854775807}]`},
		{route: `,"split":[{"service":"","weight":0},{"service":"gone","weight":0}]`},
		{route: `,"service":"unknown"`}, {route: `,"host":""`}, {route: `,"pathPrefix":""`}, {route: `,"routeKind":"unknown"`},
		{document: `,"services":[{"name":"pool","maxConns":-1,"engine":{"slots":-1,"kvCapacity":-1,"stride":-1}}]`},
		{document: `,"services":[{"name":"pool","maxConns":9223372036854775807,"engine":{"slots":9223372036854775807,"kvCapacity":9223372036854775807,"stride":0}}]`},
		{document: `,"services":[{"name":"pool"},{"name":"pool","engine":{"slots":0}}]`},
		{document: `,"limits":{"maxHeaderBytes":-1,"maxBodyBytes":-1,"headerTimeoutMs":-1,"idleTimeoutMs":-1}`},
		{document: `,"tenants":[{"name":"a","apiKeys":["k"]},{"name":"b","apiKeys":["k",""]}]`},
		{document: `,"version":"9"`, invalid: true}, {document: `,"version":9223372036854775808`, invalid: true},
		{document: `,"version":0`, invalid: true}, {document: `,"routes":null`, invalid: true}, {document: `,"routes":{}`, invalid: true},
		{document: `,"routes":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000), invalid: true},
		{route: `,"timeoutMs":1e999`, invalid: true}, {route: `,"host":7`, invalid: true}, {document: `,"tenants":[{"apiKeys":"k"}]`, invalid: true},
	} {
		version := 10 * (i + 1)
		g.store.Put(platform.KindConfig, platform.NameConfig, document(version, "/odd/", c.route, c.document))
		if c.invalid {
			time.Sleep(300 * time.Millisecond)
			assert.Equal(t, http.StatusOK, g.status(t, inForce), "%s%.40s", c.route, c.document)
			assert.Equal(t, http.StatusNotFound, g.status(t, "/odd/"))
		} else {
			time.Sleep(50 * time.Millisecond)
			g.status(t, "/odd/")
		}
		follows(version + 2)
	}
}
