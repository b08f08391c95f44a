package limits

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/scheduling"
)

func newSnapshot(teams ...bundle.Team) *bundle.Snapshot {
	return bundle.Compile(&bundle.Bundle{Teams: teams}, 1, "")
}

func newLimiter(clock clockwork.Clock, zone string, hosts, zones int, teams ...bundle.Team) *Limiter {
	l := New(Options{AvailabilityZone: zone, Clock: clock})
	l.Update(newSnapshot(teams...), &scheduling.View{HostsInZone: hosts, ZoneCount: zones})
	return l
}

// Guards against a floor other than
// entitlement × zone fraction ÷ hosts × FloorFraction.
func TestFloorIsFractionOfHostPart(t *testing.T) {
	clock := clockwork.NewFakeClock()
	team := bundle.Team{Name: "a", TokensPerSecond: 1200, MaxInProgress: 120}
	l := newLimiter(clock, "ate", 2, 3, team)
	require.InDelta(t, 100, l.Team(0).floorTokensPerSecond, 1e-9)
	require.InDelta(t, 10, l.Team(0).floorInProgress, 1e-9)
	team.ZoneWeights = map[string]float64{"ate": 3, "surco": 1}
	l = newLimiter(clock, "ate", 2, 3, team)
	require.InDelta(t, 225, l.Team(0).floorTokensPerSecond, 1e-9)
	l = newLimiter(clock, "callao", 2, 3, team)
	require.Zero(t, l.Team(0).floorTokensPerSecond)
}

// Guards against a share that counts beyond its expiry, and against losing the
// tokens that it added before it expired.
func TestExpiredShareLeavesOnlyFloor(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := newLimiter(clock, "ate", 1, 1, bundle.Team{Name: "a", TokensPerSecond: 200, MaxInProgress: 8})
	l.Update(nil, &scheduling.View{HostsInZone: 1, ZoneCount: 1, Shares: []scheduling.TeamShare{
		{Team: "a", TokensPerSecond: 100, InProgress: 4, Expires: clock.Now().Add(time.Second)},
	}})
	a := l.Team(0)
	a.Begin(800)
	clock.Advance(2 * time.Second)
	a.refill()
	require.InDelta(t, -400+300, a.balance, 1e-9, "200 from two seconds of the floor and 100 from one second of the share")
	_, inProgress := a.allowance(clock.Now())
	require.InDelta(t, 4, inProgress, 1e-9)
}

// Guards against a returned wait after which the request is refused again.
func TestRequestIsAdmittedAfterReturnedWait(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := newLimiter(clock, "ate", 1, 1, bundle.Team{Name: "a", TokensPerSecond: 200, MaxInProgress: 100})
	a := l.Team(0)
	a.Begin(150)
	wait, ok := a.Check(100)
	require.False(t, ok)
	require.Equal(t, 500*time.Millisecond, wait)
	clock.Advance(wait)
	_, ok = a.Check(100)
	require.True(t, ok)
	_, ok = a.Check(0)
	require.True(t, ok, "a service call needs no tokens")
}

// Guards against never admitting a request that exceeds the bucket's capacity.
func TestRequestLongerThanCapacityStartsWithFullBucket(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := newLimiter(clock, "ate", 1, 1, bundle.Team{Name: "a", TokensPerSecond: 20, MaxInProgress: 100})
	a := l.Team(0)
	_, ok := a.Check(5000)
	require.True(t, ok)
	a.Begin(5000)
	_, ok = a.Check(1)
	require.False(t, ok)
}

// Guards against keeping memory for idle teams, and against removing a team whose
// balance is still negative or whose request is still in progress.
func TestIdleTeamsAreRemoved(t *testing.T) {
	clock := clockwork.NewFakeClock()
	teams := make([]bundle.Team, 7100)
	for i := range teams {
		teams[i] = bundle.Team{Name: fmt.Sprint("team-", i), TokensPerSecond: 100, MaxInProgress: 10}
	}
	l := newLimiter(clock, "ate", 1, 1, teams...)
	l.Team(5).Begin(100)
	l.Team(6).Begin(100)
	require.Len(t, l.Usage(), 2)
	l.Team(5).End(100, 400)
	require.Len(t, l.Usage(), 2)
	require.Len(t, l.Usage(), 1, "team 6 still has a request in progress")
	require.NotNil(t, l.teams[5])
	clock.Advance(time.Minute)
	l.Usage()
	require.Nil(t, l.teams[5])
	require.NotNil(t, l.teams[6])
}

// Guards against losing negative balances and requests in progress when a bundle
// changes the indexes of the teams.
func TestBundleUpdateKeepsTeamState(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := bundle.Team{Name: "a", TokensPerSecond: 100, MaxInProgress: 10}
	b := bundle.Team{Name: "b", TokensPerSecond: 100, MaxInProgress: 10}
	l := newLimiter(clock, "ate", 1, 1, a, b)
	l.Team(0).Begin(300)
	l.Update(newSnapshot(b, a), nil)
	require.Equal(t, 1, l.Team(1).inProgress)
	require.Negative(t, l.Team(1).balance)
	require.Zero(t, l.Team(0).inProgress)
}

// Guards against the hosts together exceeding an entitlement by more than their burst
// allowances while shares are granted, replaced and expire. The burst allowance of a
// host is the capacity of its bucket plus one request of the maximum length.
func TestTotalOverHostsIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		hosts := rapid.IntRange(1, 6).Draw(rt, "hosts")
		team := bundle.Team{
			Name:            "a",
			TokensPerSecond: float64(rapid.IntRange(10, 2000).Draw(rt, "rate")),
			MaxInProgress:   rapid.IntRange(1, 60).Draw(rt, "in progress"),
		}
		clock := clockwork.NewFakeClock()
		limiters := make([]*Limiter, hosts)
		for i := range limiters {
			limiters[i] = newLimiter(clock, "ate", hosts, 1, team)
		}
		maxTokens := rapid.IntRange(1, 500).Draw(rt, "longest")
		start := clock.Now()
		charged, inProgress := 0, make([]int, hosts)
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			i := rapid.IntRange(0, hosts-1).Draw(rt, "host")
			a := limiters[i].Team(0)
			switch rapid.IntRange(0, 3).Draw(rt, "action") {
			case 0:
				clock.Advance(time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * time.Millisecond)
			case 1:
				grantShares(rt, limiters, &team, clock)
			case 2:
				tokens := rapid.IntRange(1, maxTokens).Draw(rt, "tokens")
				if _, ok := a.Check(tokens); ok {
					a.Begin(tokens)
					charged += tokens
					inProgress[i]++
				}
			case 3:
				if inProgress[i] > 0 {
					a.End(0, 0)
					inProgress[i]--
				}
			}
			total := 0
			for _, n := range inProgress {
				total += n
			}
			require.LessOrEqual(rt, total, team.MaxInProgress+hosts*BurstInProgress)
			burstTokens := team.TokensPerSecond*BurstTime.Seconds() + float64(hosts*maxTokens)
			allowed := team.TokensPerSecond*clock.Since(start).Seconds() + burstTokens
			require.LessOrEqual(rt, float64(charged), allowed+1e-6)
		}
	})
}

// grantShares divides the part of the entitlement that is not covered by floors
// between the limiters at random.
func grantShares(rt *rapid.T, limiters []*Limiter, team *bundle.Team, clock clockwork.Clock) {
	remaining := 1.0 - FloorFraction
	expires := clock.Now().Add(time.Second)
	for _, l := range limiters {
		fraction := remaining * rapid.Float64Range(0, 1).Draw(rt, "part")
		remaining -= fraction
		l.Update(nil, &scheduling.View{HostsInZone: len(limiters), ZoneCount: 1, Shares: []scheduling.TeamShare{{
			Team: team.Name, TokensPerSecond: team.TokensPerSecond * fraction,
			InProgress: float64(team.MaxInProgress) * fraction, Expires: expires,
		}}})
	}
}
