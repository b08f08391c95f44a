package proxy_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a host that resumes after a suspension and gives replicas more time than the
// caller has left, because the monotonic clock does not advance during the suspension.
func TestSuspensionReducesTimeLeft(t *testing.T) {
	var g *testGateway
	var deadlines []string
	g = newTestGateway(t, newReplica(func(w http.ResponseWriter, r *http.Request) {
		deadlines = append(deadlines, r.Header.Get("Heatherbarrow-Deadline-Ms"))
		if len(deadlines) == 1 {
			g.server.AddSuspension(3 * time.Second)
		}
		w.WriteHeader(http.StatusInternalServerError)
	}))
	g.members = append(g.members, g.members[0])
	g.members[1].ID = "r1"
	g.fleet.SetMembers(g.members)
	g.do(testRequest{path: "/lookup/1"})
	require.Len(t, deadlines, 2)
	secondDeadlineMs, err := strconv.Atoi(deadlines[1])
	require.NoError(t, err)
	assert.Less(t, secondDeadlineMs, 2001, "the host was suspended for 3 s of the route's 5 s")

	deadlines = nil
	g.do(testRequest{path: "/lookup/1"})
	firstDeadlineMs, err := strconv.Atoi(deadlines[0])
	require.NoError(t, err)
	assert.Greater(t, firstDeadlineMs, 2001, "a request after the suspension has its full time")
}
