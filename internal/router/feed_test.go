package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/scheduling"
)

// Guards against a field of control's view being dropped on its way to the
// scheduler; without the zone count every zone took the whole entitlement.
func TestViewKeepsAllFields(t *testing.T) {
	now := time.Unix(1000, 0)
	got := viewFromRPC(&rpc.View{
		Version: 3, HostsInZone: 2, ZoneCount: 3,
		Replicas: []*rpc.ReplicaState{{
			Upstream: "models", Replica: "e1", State: rpc.State_STATE_LEAVING, HasLoad: true, Running: 4, Waiting: 1,
			ReportAgeMs: 500, Models: []string{"m"},
		}},
		Quarantine: []*rpc.QuarantineEntry{{Fingerprint: 9, CrashedReplicas: []string{"models/e2", "broken"}, ExpiresUnixMs: 5, Released: 2}},
		Shares:     []*rpc.TeamShare{{Team: "counter", TokensPerSecond: 10, InProgress: 2, ValidMs: 3000}},
	}, now)
	e1 := scheduling.ReplicaID{Upstream: "models", Replica: "e1"}
	e2 := scheduling.ReplicaID{Upstream: "models", Replica: "e2"}
	require.Equal(t, &scheduling.View{
		Version: 3, HostsInZone: 2, ZoneCount: 3,
		Replicas: []scheduling.ReplicaLoad{{
			ID: e1, State: scheduling.ReplicaLeaving, HasReport: true, Running: 4, Waiting: 1,
			ReportedAt: now.Add(-500 * time.Millisecond), Models: []string{"m"},
		}},
		Quarantine: []scheduling.QuarantineEntry{{Fingerprint: 9, Replicas: []scheduling.ReplicaID{e2}, Expires: time.UnixMilli(5), Released: 2}},
		Shares:     []scheduling.TeamShare{{Team: "counter", TokensPerSecond: 10, InProgress: 2, Expires: now.Add(3 * time.Second)}},
	}, got)
}
