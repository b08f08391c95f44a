package proxy_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a stream that goes on at another software version, as its caller does not name the attempt that began it and
// another stream like that was taken up before.
func TestStreamWithoutTheAttemptThatBeganItIsNotJoinedToAnother(t *testing.T) {
	g := newTestGateway(t, newReplica(events("a", 8, -1)), newReplica(events("b", 8, -1)))
	g.setVersions("v1", "v1")
	status, _, _ := g.takeUp("", "4")
	assert.Equal(t, http.StatusOK, status, "there is one version")
	g.setVersions("v1", "v2")
	for range 4 {
		status, _, header := g.takeUp("", "4")
		assert.Equal(t, http.StatusServiceUnavailable, status, "nobody knows the version")
		assert.Empty(t, header.Get("Retry-After"))
	}
	status, _, _ = g.do(testRequest{path: "/quote/1", header: map[string]string{attemptIDHeader: ""}})
	assert.Equal(t, http.StatusOK, status)
	status, _, _ = g.takeUp("", "4")
	assert.Equal(t, http.StatusServiceUnavailable, status, "nobody knows the version")
}
