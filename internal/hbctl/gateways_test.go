package hbctl

import (
	"bytes"
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"

	"heatherbarrow/internal/rpc"
)

// Guards against a page that does not tell operators whether a host follows the store
// itself, by which speeds of the engines it decides, and which build it runs.
func TestGatewaysTellWhoFollowsTheStoreAndSpeeds(t *testing.T) {
	statuses := []gatewayStatus{
		{response: &rpc.GatewayStatus{Host: "edge-1", FollowsStore: true, StoreReachable: true, Started: 1_700_000_000_000, Build: "v3-2-gb6fae82"}},
		{response: &rpc.GatewayStatus{Host: "edge-2", FollowsStore: true}},
		{response: &rpc.GatewayStatus{Host: "edge-3", Speeds: []*rpc.GatewaySpeed{{Upstream: "pool", PromptTokensPerMs: 62.4, FirstMs: 120}}}},
		{address: "10.0.0.9:1", err: errors.New("cannot be reached")},
	}
	var out bytes.Buffer
	assert.Equal(t, 3, printGateways(&out, statuses))
	printSpeeds(&out, statuses)
	for _, want := range []string{"edge-1.*reached.*\t2023-11-14T22:13:20Z\tv3-2-gb6fae82", "edge-2.*lost.*\t-\n", "edge-3.*by neighbors", "10.0.0.9:1\tcannot be reached", "edge-3\tpool\t62.4\t120 ms"} {
		assert.Regexp(t, want, out.String())
	}
}
