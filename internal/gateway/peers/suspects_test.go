package peers

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/scheduling/poisonpart"
)

// refuses reports whether the host refuses requests with the part.
func (host *testHost) refuses(part uint64) bool {
	_, refusal := host.fleet.Pick(&fleet.Request{Upstream: "pool", TimeLeft: time.Minute, Parts: []uint64{1, part}}, time.Now())
	return refusal != nil && refusal.Reason == fleet.ReasonPoisonPart
}

// Guards against a part of prompts that crashes replicas and is not recognized because each host saw
// only one of the crashes, with and without zone speakers, or because a host started later.
func TestCrashesOnOnePartAddUpOverAllHosts(t *testing.T) {
	const part = 0xc0ffee
	for port, zones := range map[int][]int{39887: {4, 4}, 39888: {1, 2}} {
		hosts := startZones(t, port, zones...)
		for i := range 3 {
			now := time.Now()
			h := hosts[len(hosts)-1-i]
			crash := poisonpart.Crash{Replica: uint64(i), At: now.Add(-time.Duration(3-i) * time.Second)}
			h.fleet.ApplyPartReports([]poisonpart.Entry{{Part: part, Crashes: []poisonpart.Crash{crash}, Expires: now.Add(time.Minute)}}, now)
			require.False(t, h.refuses(part))
		}
		for _, h := range hosts {
			assert.Eventually(t, func() bool { return h.refuses(part) }, 20*time.Second, 10*time.Millisecond, h.opts.Host)
		}
	}
}

// refusesRequest reports whether the host refuses requests with the fingerprint.
func (host *testHost) refusesRequest(fingerprint uint64) bool {
	_, refusal := host.fleet.Pick(&fleet.Request{Upstream: "pool", TimeLeft: time.Minute, Fingerprint: fingerprint}, time.Now())
	return refusal != nil && refusal.Reason == fleet.ReasonPoison
}

// Guards against a request that crashes replicas and is not refused because each host saw only one of the crashes,
// beside so many suspect parts that these fill a datagram.
func TestCrashesOnOneRequestAddUpOverAllHosts(t *testing.T) {
	const fingerprint = 0xfeed
	hosts := startZones(t, 39893, 1, 2)
	for i, h := range hosts {
		now := time.Now()
		crash := poisonpart.Crash{Replica: uint64(i), At: now.Add(-time.Duration(6-2*i) * time.Second)}
		h.fleet.ApplyRequestReports([]poisonpart.Entry{{Part: fingerprint, Crashes: []poisonpart.Crash{crash}, Expires: now.Add(time.Minute)}}, now)
		require.False(t, h.refusesRequest(fingerprint))
		var parts []poisonpart.Entry
		for part := range uint64(200) {
			parts = append(parts, poisonpart.Entry{Part: part<<32 + 1, Crashes: []poisonpart.Crash{crash}, Expires: now.Add(time.Minute)})
		}
		h.fleet.ApplyPartReports(parts, now)
	}
	for _, h := range hosts {
		assert.Eventually(t, func() bool { return h.refusesRequest(fingerprint) }, 20*time.Second, 10*time.Millisecond, h.opts.Host)
		assert.False(t, h.refusesRequest(fingerprint+1))
	}
}

// Guards against reports that other hosts read differently.
func TestSuspectPartsKeepTheirMeaningInTransit(t *testing.T) {
	now := time.Now()
	sent := []poisonpart.Entry{
		{Part: 7, Released: 2, Quarantined: true, Expires: now.Add(90 * time.Second), Crashes: []poisonpart.Crash{{Replica: 9, At: now.Add(-1500 * time.Millisecond)}}},
		{Part: 8, Released: 1, Expires: now.Add(time.Second)},
		{Part: 9, Expires: now.Add(time.Second), Crashes: []poisonpart.Crash{{Replica: 9, At: now.Add(-time.Second), Waiting: true, Retried: true}}},
	}
	assert.Equal(t, sent, rpc.SuspectPartEntries(rpc.SuspectParts(sent, now), now))
}
