package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"heatherbarrow/internal/rpc"
)

// Guards against a datagram that makes a host panic or send heartbeats to an invalid address.
func FuzzBeat(f *testing.F) {
	for _, seed := range []*rpc.Beat{
		{},
		{Host: "b", Incarnation: 1, Sequence: 1, PullAddress: "127.0.0.1:2", Peers: []string{"127.0.0.1:3", "x", "127.0.0.1:99999"}},
		{Host: "b", PullAddress: "localhost:1", ConfigVersion: -1, Sequence: 1},
		{
			Host: "b", Incarnation: 1, Sequence: 1, PullAddress: "127.0.0.1:2", Uses: []*rpc.ReplicaUse{{Replica: 1, Running: 1 << 31}},
			Prompts: []*rpc.PromptUse{{Replica: 1, Part: 2, Tokens: 1 << 31}}, Crashes: []*rpc.Crash{{Fingerprint: 1}},
		},
	} {
		data, err := proto.Marshal(seed)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m rpc.Beat
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		host := newTestHost(t, "a", "127.0.0.1:1")
		host.handleDatagram(&m, time.Now())
		recipients, _ := host.recipients(false, time.Now())
		for _, to := range recipients {
			require.NotNil(t, to.IP)
		}
	})
}
