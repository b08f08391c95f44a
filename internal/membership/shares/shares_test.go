package shares

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heatherbarrow/internal/bundle"
)

var start = time.Unix(1_700_000_000, 0)

const epsilon = 1e-6

// Guards against a team that gets more than its entitlement. The floors of all hosts
// and all grants that may still be in use must not exceed the entitlement for any
// demand, lost responses and restarts of the coordinator.
func TestFloorsAndGrantsNeverExceedTheEntitlement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 8).Draw(t, "hosts")
		zone := Amount{rapid.Float64Range(1, 1e5).Draw(t, "tokens"), rapid.Float64Range(1, 500).Draw(t, "slots")}
		now := start
		coordinator := NewCoordinator()
		coordinator.SetHostList(1, now)
		type use struct {
			amount Amount
			until  time.Time
		}
		inUse := make(map[string]use)
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 30).Draw(t, "restart") == 0 {
				coordinator = NewCoordinator()
				coordinator.SetHostList(1, now)
			}
			host := fmt.Sprint(rapid.IntRange(1, hosts).Draw(t, "host"))
			aboveFloor := Amount{rapid.Float64Range(0, 2e5).Draw(t, "above"), rapid.Float64Range(0, 1e3).Draw(t, "more")}
			got := coordinator.Grant("team", host, aboveFloor, Pool(zone), now)
			if rapid.Bool().Draw(t, "delivered") {
				inUse[host] = use{got, now.Add(GrantLifetime)}
			}
			sum := Floor(zone, hosts).scale(float64(hosts))
			for _, u := range inUse {
				if u.until.After(now) {
					sum = sum.plus(u.amount)
				}
			}
			if sum.TokensPerSecond > zone.TokensPerSecond*(1+epsilon) || sum.InProgress > zone.InProgress*(1+epsilon) {
				t.Fatalf("floors and grants in use %+v exceed the entitlement %+v", sum, zone)
			}
			if got.TokensPerSecond > aboveFloor.TokensPerSecond+epsilon || got.InProgress > aboveFloor.InProgress+epsilon {
				t.Fatalf("grant %+v exceeds the demand %+v", got, aboveFloor)
			}
		}
	})
}

// Guards against zone entitlements whose sum exceeds the team's entitlement.
func TestZonesDivideTheEntitlement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"ate", "callao", "surco"}
		team := &bundle.Team{TokensPerSecond: 900, MaxInProgress: 90}
		if rapid.Bool().Draw(t, "weighted") {
			team.ZoneWeights = map[string]float64{}
			for _, zone := range zones[:rapid.IntRange(1, 3).Draw(t, "named")] {
				team.ZoneWeights[zone] = rapid.Float64Range(0, 5).Draw(t, zone)
			}
		}
		var sum Amount
		for _, zone := range zones {
			sum = sum.plus(ZoneEntitlement(team, zone, len(zones)))
		}
		if sum.TokensPerSecond > 900*(1+epsilon) || sum.InProgress > 90*(1+epsilon) {
			t.Fatalf("sum of the zone entitlements is %+v, want at most 900 tokens/s and 90 in progress", sum)
		}
	})
}

// Guards against floors that differ from those of the router's limiter: a team whose
// zone weights are all 0 gets nothing.
func TestZeroWeightsGiveNothing(t *testing.T) {
	require.Zero(t, ZoneFraction(map[string]float64{"ate": 0}, "ate", 3))
	require.InDelta(t, 1.0/3, ZoneFraction(nil, "ate", 3), epsilon)
	require.InDelta(t, 0.75, ZoneFraction(map[string]float64{"ate": 3, "surco": 1}, "ate", 3), epsilon)
}

// Guards against a host that gets nothing because another one demands more than the
// pool, and against parts of the pool that stay unused despite demand.
func TestPoolIsDividedByDemand(t *testing.T) {
	c := NewCoordinator()
	c.SetHostList(1, start)
	now := start.Add(CoordinatorTakeoverDelay)
	pool := Amount{100, 10}
	for range 8 {
		c.Grant("team", "a", Amount{1000, 100}, pool, now)
		c.Grant("team", "b", Amount{20, 100}, pool, now)
		now = now.Add(time.Second)
	}
	a := c.Grant("team", "a", Amount{1000, 100}, pool, now)
	b := c.Grant("team", "b", Amount{20, 100}, pool, now)
	require.InDelta(t, 80, a.TokensPerSecond, epsilon)
	require.InDelta(t, 20, b.TokensPerSecond, epsilon)
	require.InDelta(t, 5, a.InProgress, epsilon)
	require.InDelta(t, 5, b.InProgress, epsilon)
}

// Guards against a new coordinator that lends an amount while a grant of its
// predecessor for the same amount is still in use.
func TestNewCoordinatorWaitsForPredecessorGrants(t *testing.T) {
	c := NewCoordinator()
	require.Zero(t, c.Grant("team", "a", Amount{1, 1}, Amount{10, 10}, start))
	c.SetHostList(1, start)
	require.Zero(t, c.Grant("team", "a", Amount{1, 1}, Amount{10, 10}, start.Add(CoordinatorTakeoverDelay-time.Millisecond)))
	require.NotZero(t, c.Grant("team", "a", Amount{1, 1}, Amount{10, 10}, start.Add(CoordinatorTakeoverDelay)))
	c.SetHostList(2, start.Add(CoordinatorTakeoverDelay))
	require.Zero(t, c.Grant("team", "a", Amount{1, 1}, Amount{10, 10}, start.Add(CoordinatorTakeoverDelay+GrantLifetime)))
}
