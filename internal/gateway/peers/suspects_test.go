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

// applyCrash lets a host know of a crash on requests with the fingerprint, or with the part, as if it had noticed it.
func (host *testHost) applyCrash(suspect uint64, part bool, replica string, at time.Time) {
	apply := host.fleet.ApplyRequestReports
	if part {
		apply = host.fleet.ApplyPartReports
	}
	m := fleet.Member{ID: replica}
	apply([]poisonpart.Entry{{Part: suspect, Crashes: []poisonpart.Crash{{Replica: m.Key(), At: at}}, Expires: at.Add(5 * time.Minute)}}, at)
}

// crashReports returns the datagrams by which a host tells of a crash at start in the seconds after it: reports of
// the suspect and, with heartbeats, those of the crash. startMs is what the host's clock says at start.
func (host *testHost) crashReports(t *testing.T, suspect uint64, heartbeats bool, start time.Time, length time.Duration, startMs uint64) (out []*rpc.Beat) {
	for age := 50 * time.Millisecond; age < length; age += 500 * time.Millisecond {
		report, beat := host.suspectReport(true, start.Add(age)), host.composeHeartbeat(start.Add(age))
		require.NotNil(t, report)
		require.NotZero(t, report.SentMs)
		require.NotZero(t, beat.SentMs)
		if heartbeats && age < fleet.CrashReportTime {
			beat.Crashes = []*rpc.Crash{{Fingerprint: suspect, Upstream: "pool", Replica: "r1", AgeMs: uint32(age.Milliseconds())}}
		}
		for _, m := range []*rpc.Beat{beat, report} {
			m.SentMs = startMs + uint64(age.Milliseconds())
			out = append(out, m)
		}
	}
	return out
}

// refusesAt reports whether the host refuses requests with the fingerprint, or with the part.
func (host *testHost) refusesAt(suspect uint64, part bool, now time.Time) bool {
	q := &fleet.Request{Upstream: "pool", TimeLeft: time.Minute, Fingerprint: suspect}
	if part {
		q.Fingerprint, q.Parts = 0, []uint64{1, suspect}
	}
	_, refusal := host.fleet.Pick(q, now)
	return refusal != nil && (refusal.Reason == fleet.ReasonPoison || refusal.Reason == fleet.ReasonPoisonPart)
}

// Guards against counting one crash several times, because a host gets its reports of some seconds all at once after a
// pause: a request that ran in one crash, or whose part did, would be refused.
func TestReportsOfOneCrashAfterPauseCountOnce(t *testing.T) {
	const sound = 5
	for name, c := range map[string]struct {
		part, heartbeats bool
		pause            time.Duration
	}{
		"request":                 {false, false, 4 * time.Second},
		"request, heartbeats too": {false, true, 4 * time.Second},
		"request, long pause":     {false, true, 100 * time.Second},
		"part":                    {true, false, 4 * time.Second},
		"part, long pause":        {true, false, 100 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			victim, host := newTestHost(t, "victim", "127.0.0.1:1"), newTestHost(t, "host", "127.0.0.1:2")
			start := time.Now()
			resumed := start.Add(c.pause)
			const startMs = 1 << 40 // the clocks of hosts differ
			before := victim.composeHeartbeat(start.Add(-time.Second))
			before.SentMs = startMs - 1000
			host.handleDatagram(before, start.Add(-time.Second))
			victim.applyCrash(sound, c.part, "r1", start)
			for _, m := range victim.crashReports(t, sound, c.heartbeats, start, 4*time.Second, startMs) {
				host.handleDatagram(m, resumed)
			}
			known := append(host.fleet.RequestReports(true, resumed), host.fleet.PartReports(true, resumed)...)
			require.Len(t, known, 1)
			assert.Len(t, known[0].Crashes, 1)
			assert.False(t, host.refusesAt(sound, c.part, resumed))
		})
	}
}

// Guards against counting one crash several times because a host was suspended: ages are counted by the monotonic clock,
// which does not advance meanwhile, while Beat.sent_ms does.
func TestReportsOfOneCrashAfterSuspensionCountOnce(t *testing.T) {
	const sound, startMs, before, suspended = 5, 1 << 40, 4, 10 * time.Second
	for name, c := range map[string]struct{ part, receiver bool }{
		"request, receiver": {false, true}, "request, sender": {false, false}, "part, receiver": {true, true}, "part, sender": {true, false},
	} {
		t.Run(name, func(t *testing.T) {
			victim, host := newTestHost(t, "victim", "127.0.0.1:1"), newTestHost(t, "host", "127.0.0.1:2")
			start := time.Now()
			victim.applyCrash(sound, c.part, "r1", start)
			handle := func(i int, m *rpc.Beat, late time.Duration) {
				host.handleDatagram(m, start.Add(50*time.Millisecond+time.Duration(i/2)*500*time.Millisecond+late))
			}
			for i, m := range victim.crashReports(t, sound, false, start, 2*time.Second, startMs)[:before] {
				handle(i, m, 0)
			}
			late := suspended // time that only the other host has counted
			if c.receiver {
				late = 0
				host.suspensions.Add(start.Add(600*time.Millisecond), suspended)
			} else {
				victim.suspensions.Add(start.Add(600*time.Millisecond), suspended)
			}
			for i, m := range victim.crashReports(t, sound, false, start, 2*time.Second, startMs)[before:] {
				m.SentMs += uint64(suspended.Milliseconds())
				if c.receiver { // the ages of the sender, which went on
					for _, r := range append(m.SuspectRequests, m.SuspectParts...) {
						for _, crash := range r.Crashes {
							crash.AgeMs += uint32(suspended.Milliseconds())
						}
					}
				}
				handle(before+i, m, late)
			}
			now := start.Add(3 * time.Second)
			known := append(host.fleet.RequestReports(true, now), host.fleet.PartReports(true, now)...)
			require.Len(t, known, 1)
			require.Len(t, known[0].Crashes, 1)
			assert.WithinDuration(t, start, known[0].Crashes[0].At, 100*time.Millisecond)
		})
	}
}

// Guards against reports of hosts with older builds, which do not tell when they send, that do not count.
func TestReportsOfOlderBuildsCount(t *testing.T) {
	const poison = 5
	for _, part := range []bool{false, true} {
		victim, host := newTestHost(t, "victim", "127.0.0.1:1"), newTestHost(t, "host", "127.0.0.1:2")
		start := time.Now()
		for i, replica := range []string{"r1", "r2", "r3"} {
			at := start.Add(time.Duration(i) * 2 * time.Second)
			victim.applyCrash(poison, part, replica, at)
			for j, m := range victim.crashReports(t, poison, false, at, time.Second, 1) {
				m.SentMs = 0
				host.handleDatagram(m, at.Add(time.Duration(j)*250*time.Millisecond))
			}
		}
		assert.True(t, host.refusesAt(poison, part, start.Add(8*time.Second)))
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

// Guards against a crash in heartbeats that is dated before a suspension of this host that it followed, or by a wrong
// time for hosts that do not tell when they send.
func TestAgeOfCrashInHeartbeatAfterSuspension(t *testing.T) {
	host := newTestHost(t, "a", "127.0.0.1:1")
	now := time.Now()
	host.suspensions.Add(now.Add(-time.Second), 10*time.Second)
	for _, c := range []struct {
		sentMs     uint64
		age, delay time.Duration
		want       time.Duration
	}{
		{1, 12 * time.Second, 0, 2 * time.Second},
		{1, 2 * time.Second, 10 * time.Second, 2 * time.Second},
		{1, 500 * time.Millisecond, 0, 500 * time.Millisecond},
		{1, 2 * time.Second, 3 * time.Second, 5 * time.Second}, // during the suspension
		{0, 12 * time.Second, 0, 12 * time.Second},
	} {
		messages := []*rpc.Crash{{Fingerprint: 1, AgeMs: uint32(c.age.Milliseconds())}}
		crash := host.crashesFromProto(&rpc.Beat{SentMs: c.sentMs}, messages, c.delay, now)[0]
		assert.Equal(t, c.want, crash.Age+crash.Delay, "%+v", c)
		assert.GreaterOrEqual(t, crash.Delay, time.Duration(0), "%+v", c)
	}
}
