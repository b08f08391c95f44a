package membership

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/rpc"
)

// maxFuzzReplyBytes is the maximum size of a reply, on top of 8 bytes for each byte
// of the message.
const maxFuzzReplyBytes = 64 << 10

func marshal(f *testing.F, m proto.Message) []byte {
	data, err := proto.Marshal(m)
	require.NoError(f, err)
	return data
}

// seedMessages returns encoded messages that hosts send, and malformed ones.
func seedMessages(f *testing.F) [][]byte {
	n := newNetwork(f, 2, 2)
	n.run(3 * time.Second)
	sender := n.hosts["z0-h1"]
	sender.RecordCrash(7, "models/e1", "a", time.Hour, n.now)
	return [][]byte{
		marshal(f, sender.Message(n.now, false, true)),
		marshal(f, sender.Message(n.now, true, false)),
		marshal(f, &rpc.ExchangeMessage{From: &rpc.HostState{Host: "z0-h0", AvailabilityZone: "z0", Incarnation: 1<<64 - 1, Mark: 1<<32 - 1}}),
		marshal(f, &rpc.ExchangeMessage{Loads: &rpc.LoadDigest{Generation: 1, Index: []uint32{0, 9}, Flags: []uint32{1}}}),
		marshal(f, &rpc.ExchangeMessage{Heartbeats: &rpc.HeartbeatDigest{Id: []uint32{1, 2}}, List: &rpc.HostListDigest{Hash: 3}, WantHosts: []uint32{0, 1}}),
		marshal(f, &rpc.ExchangeMessage{Replicas: []*rpc.ReplicaState{{Upstream: "models", Replica: "e1", State: 99, Mark: 5}}}),
		{}, {0x0a}, {0xff, 0xff},
	}
}

// Guards against a peer's message that makes a host panic, lose its own state or
// send a reply of unbounded size.
func FuzzPeerMessage(f *testing.F) {
	for _, seed := range seedMessages(f) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &rpc.ExchangeMessage{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		table := newNetwork(t, 2, 2).hosts["z0-h0"]
		for range 2 {
			table.Merge(m, start)
			reply := table.Message(start, false, false)
			table.Answer(reply, m, start)
			require.LessOrEqual(t, proto.Size(reply), maxFuzzReplyBytes+8*len(data))
		}
		require.Equal(t, "z0-h0", table.Self().Host)
		require.NotZero(t, table.Self().Incarnation)
		table.AdvanceHeartbeat(start.Add(time.Second), false)
		table.Replicas(start)
		table.Hosts(start)
		require.Positive(t, table.HostsInZone(start))
		require.Positive(t, table.ZoneCount())
	})
}

// Guards against a host list from the platform that makes a host panic, lose its own
// state or divide an entitlement by zero hosts.
func FuzzHostList(f *testing.F) {
	for _, seed := range []string{
		`{"hosts":[{"name":"z0-h0","availability_zone":"z0","state":"leaving"},{"name":"z1-h1","availability_zone":"z1","peer_address":"z1-h1:1","state":"live"}],"upstreams":[{"upstream":"models","replica":"e1","state":"leaving"}]}`,
		`{"hosts":[{"name":"z0-h0","availability_zone":"z9"},{"name":"z0-h0","availability_zone":"z0","state":"leaving"}]}`,
		`{"hosts":[{"name":"","availability_zone":""},{}],"upstreams":[{},{"upstream":"a/b","replica":"/"}]}`,
		`{"hosts":null}`, `null`, `{}`, `{"hosts":[null]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var list objectstore.HostList
		if json.Unmarshal(data, &list) != nil {
			return
		}
		table := newNetwork(t, 2, 2).hosts["z0-h0"]
		for range 2 {
			table.ApplyHostList(&list, start)
			table.Message(start, false, true)
		}
		require.Equal(t, "z0-h0", table.Self().Host)
		require.Equal(t, "z0", table.Self().AvailabilityZone)
		table.AdvanceHeartbeat(start.Add(time.Second), false)
		table.Replicas(start)
		table.Hosts(start)
		require.Positive(t, table.HostsInZone(start))
		require.Positive(t, table.ZoneCount())
	})
}
