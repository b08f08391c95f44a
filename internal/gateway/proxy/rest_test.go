package proxy_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// rejectFor rejects requests and wants none of the host for the given Retry-After.
func rejectFor(retryAfter string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", retryAfter)
		refuseNotExecuted(w, r)
	}
}

// Guards against requests that go on to a replica that has asked this host for a rest.
func TestReplicaThatAsksForRestGetsNoRequestsMeanwhile(t *testing.T) {
	resting, other := newReplica(rejectFor("30.5")), newReplica(respondWith("ok"))
	g := newTestGateway(t, resting, other)
	for i := range 40 {
		status, _, _ := g.do(testRequest{path: "/lookup/x", header: map[string]string{attemptIDHeader: fmt.Sprintf("a%d", i)}})
		assert.Equal(t, http.StatusOK, status)
	}
	assert.LessOrEqual(t, resting.received.Load(), int64(1))

	alone := newReplica(rejectFor("1.2"))
	g = newTestGateway(t, alone)
	for i := range 5 {
		status, _, header := g.do(testRequest{path: "/order/x", header: map[string]string{attemptIDHeader: fmt.Sprintf("a%d", i)}})
		assert.Equal(t, http.StatusServiceUnavailable, status)
		seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		require.NoError(t, err)
		if i > 0 {
			assert.Greater(t, seconds, 0.5, "there is no use in coming back before")
		}
	}
	assert.Equal(t, int64(1), alone.received.Load())
	time.Sleep(1300 * time.Millisecond)
	_, _, _ = g.do(testRequest{path: "/order/x", header: map[string]string{attemptIDHeader: "after"}})
	assert.Equal(t, int64(2), alone.received.Load(), "the rest has ended")
}

// Guards against a time that cannot be read and takes a replica out of use.
func TestUnreadableRestLeavesReplicaInUse(t *testing.T) {
	for _, value := range []string{"-1", "soon", "NaN", "0", "Sat, 05 Dec 2026 09:00:00 GMT"} {
		replica := newReplica(rejectFor(value))
		g := newTestGateway(t, replica)
		for i := range 3 {
			_, _, _ = g.do(testRequest{path: "/order/x", header: map[string]string{attemptIDHeader: fmt.Sprintf("a%d", i)}})
		}
		assert.Equal(t, int64(3), replica.received.Load(), value)
	}
}
