package picker

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/requestlimit"
)

// limitedHosts returns a picker for each of n hosts in front of one replica that states a limit.
// The hosts listed as dead are known, but not live.
func limitedHosts(t *testing.T, n, dead int, perSecond float64) []*fixture {
	t.Helper()
	view := &scheduling.View{HostsInZone: n}
	for i := range n + dead {
		view.Hosts = append(view.Hosts, scheduling.EntryHost{Name: fmt.Sprintf("h%d", i), Zone: "a", Live: i < n})
	}
	var hosts []*fixture
	for i := range n {
		f := newFixture(t, 1, 1000)
		f.opts.Host = fmt.Sprintf("h%d", i)
		f.Update(nil, view)
		f.RecordLimit(id(0), requestlimit.Statement{Limited: true, PerSecond: perSecond}, f.clock.Now())
		hosts = append(hosts, f)
	}
	return hosts
}

// sendFor lets all hosts send as much as they may, and returns how many requests they sent.
func sendFor(hosts []*fixture, d time.Duration) int {
	sent := 0
	for range d / (50 * time.Millisecond) {
		for _, f := range hosts {
			f.clock.Advance(50 * time.Millisecond)
			f.Tick()
			r := f.request(0, 0)
			if choice, ok := f.Pick(r); ok {
				sent++
				f.Finish(choice.Replica, r, scheduling.Result{Outcome: outcome.Completed})
			}
		}
	}
	return sent
}

// Guards against hosts that each use the whole of a replica's request limit, also while some hosts
// are silent and may do the same.
func TestRequestLimitIsSharedByHosts(t *testing.T) {
	for _, perSecond := range []float64{0.5, 1, 2.5, 12} {
		for _, hosts := range []int{1, 3, 10} {
			sent := sendFor(limitedHosts(t, hosts, 0, perSecond), 10*time.Second)
			require.LessOrEqual(t, float64(sent), 10*perSecond+max(1, min(perSecond, float64(hosts))), "%d hosts, %v a second", hosts, perSecond)
			require.GreaterOrEqual(t, float64(sent), 7*perSecond-1, "%d hosts, %v a second", hosts, perSecond)
		}
		sent := sendFor(limitedHosts(t, 3, 3, perSecond), 10*time.Second)
		require.LessOrEqual(t, float64(sent), 5*perSecond+3, "half of the hosts are silent")
	}
}

// Guards against a limit that other hosts know of and this one ignores, and against one that holds
// for ever on a host that sends the replica no requests.
func TestRequestLimitOfViewIsKept(t *testing.T) {
	f := newFixture(t, 1, 10)
	limits := []scheduling.ReplicaLimit{{ID: id(0), Known: requestlimit.Known{
		Statement: requestlimit.Statement{Limited: true, PerSecond: 0.5}, At: f.clock.Now(),
	}}}
	f.Update(nil, &scheduling.View{HostsInZone: 1, Limits: limits})
	_, ok := f.Pick(f.request(0, 0))
	require.False(t, ok)
	_, free := f.Slots(f.request(0, 0))
	require.Zero(t, free)
	f.clock.Advance(2 * time.Second)
	f.Tick()
	_, ok = f.Pick(f.request(0, 0))
	require.True(t, ok)
	require.Empty(t, f.Limits(), "only what answers to this host said is reported")
	f.RecordLimit(id(0), limits[0].Statement, f.clock.Now())
	require.Len(t, f.Limits(), 1)
	require.Empty(t, f.Limits())
	f.clock.Advance(limitRetention + time.Second)
	f.Tick()
	_, free = f.Slots(f.request(0, 0))
	require.Equal(t, 9, free)
}
