package control

import (
	"hash/fnv"
	"math"
	"strconv"
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/membership"
	"heatherbarrow/internal/membership/shares"
	"heatherbarrow/internal/rendezvous"
	"heatherbarrow/internal/rpc"
)

const (
	// reportInterval is how often the router reports.
	reportInterval = 500 * time.Millisecond
	// usageMemory is how long a team's reported demand counts.
	usageMemory = 2 * time.Second
	// needFraction of the floor is where a host begins to ask for more, so that
	// the grant is there before the floor is used up.
	needFraction = 0.9
	// headroom is asked for above the demand seen, to let it grow.
	headroom = 1.25
)

// sharing is the loop's state of team shares: this host's own demand and grants,
// and what it lends as coordinator.
type sharing struct {
	usage       map[string]usage
	granted     map[string]held
	coordinator *shares.Coordinator
	reported    time.Time
}

type usage struct {
	demand shares.Amount
	at     time.Time
}

type held struct {
	share *rpc.TeamShare
	until time.Time
}

func newSharing() sharing {
	return sharing{usage: make(map[string]usage), granted: make(map[string]held), coordinator: shares.NewCoordinator()}
}

func (l *Loop) handleShares(event any, now time.Time) {
	switch e := event.(type) {
	case UsageReported:
		l.sharing.report(e.Report, now)
		l.classes.add(e.Report.Results, now)
		l.demand.Add(e.Report.Demand)
		l.table.ObserveLimits(e.Report.Limits, now)
	case *SharesDue:
		l.sharesDue(e, now)
	case *SharesRequested:
		l.lendShares(e, now)
	case SharesGranted:
		l.sharing.take(&e, now)
		if len(e.Shares) > 0 {
			l.hurry(now)
		}
	}
}

func (s *sharing) report(r *rpc.ReportRequest, now time.Time) {
	elapsed := now.Sub(s.reported)
	s.reported = now
	// After a pause the counts cover an unknown time; assume a usual interval.
	if elapsed <= 0 || elapsed > 2*reportInterval {
		elapsed = reportInterval
	}
	for _, u := range r.Teams {
		fresh := shares.Amount{
			TokensPerSecond: float64(u.DemandedTokens) / elapsed.Seconds(),
			InProgress:      float64(u.DemandedInProgress),
		}
		old := s.usage[u.Team].demand
		// Demand rises at once and falls by half with each report.
		s.usage[u.Team] = usage{at: now, demand: shares.Amount{
			TokensPerSecond: max(fresh.TokensPerSecond, old.TokensPerSecond/2),
			InProgress:      max(fresh.InProgress, old.InProgress/2),
		}}
	}
}

func (s *sharing) expire(t *membership.Table, now time.Time) {
	for team, u := range s.usage {
		if now.Sub(u.at) > usageMemory {
			delete(s.usage, team)
		}
	}
	for team, h := range s.granted {
		if !h.until.After(now) {
			delete(s.granted, team)
		}
	}
	s.coordinator.Expire(now)
	_, hash := t.ListedHosts(t.Self().AvailabilityZone)
	s.coordinator.SetHostList(hash, now)
}

// take installs grants. Their time counts from the question, because the
// coordinator counts from before the answer.
func (s *sharing) take(e *SharesGranted, now time.Time) {
	for _, share := range e.Shares {
		until := e.AskedAt.Add(time.Duration(share.ValidMs) * time.Millisecond)
		if until.After(now) {
			s.granted[share.Team] = held{share, until}
		}
	}
}

// current returns the grants with the time that they may still be used.
func (s *sharing) current(now time.Time) []*rpc.TeamShare {
	var out []*rpc.TeamShare
	for _, h := range s.granted {
		if h.until.After(now) {
			out = append(out, &rpc.TeamShare{
				Team: h.share.Team, TokensPerSecond: quantity(h.share.TokensPerSecond),
				InProgress: quantity(h.share.InProgress), ValidMs: millisOf(h.until.Sub(now)),
			})
		}
	}
	return out
}

// quantity returns a number that a peer sent, or 0 when it is negative or not finite.
// A NaN would stay in every sum that it enters.
func quantity(x float64) float64 {
	if !(x >= 0) || math.IsInf(x, 1) {
		return 0
	}
	return x
}

func millisOf(d time.Duration) uint32 { return uint32(max(d, 0).Milliseconds()) }

// bucketOf groups teams.
func bucketOf(team string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(team))
	return int(h.Sum32() % shareBuckets)
}

// coordinatorOf chooses among the hosts that the platform lists. The list is the
// same on both sides of a partition, so that no two coordinators lend the same
// pool; hosts that cannot reach the coordinator keep their floors.
func coordinatorOf(team string, listed []string) string {
	return rendezvous.HighestRanked("shares/"+strconv.Itoa(bucketOf(team)), listed)
}

func (l *Loop) zoneEntitlement(t *bundle.Team) shares.Amount {
	return shares.ZoneEntitlement(t, l.opts.Member.Zone, l.table.ZoneCount())
}

func (l *Loop) teams() map[string]*bundle.Team {
	parsed := l.State().Parsed
	if parsed == nil {
		return nil
	}
	if l.teamsOf != parsed {
		l.teamsOf, l.teamIndex = parsed, make(map[string]*bundle.Team, len(parsed.Teams))
		for i := range parsed.Teams {
			l.teamIndex[parsed.Teams[i].Name] = &parsed.Teams[i]
		}
	}
	return l.teamIndex
}

func (l *Loop) sharesDue(e *SharesDue, now time.Time) {
	e.ByCoordinator = make(map[string][]*rpc.TeamDemand)
	e.Addresses = make(map[string]string)
	teams := l.teams()
	listed, _ := l.table.ListedHosts(l.opts.Member.Zone)
	hosts := l.table.HostsInZone(now)
	for name, u := range l.sharing.usage {
		team := teams[name]
		if team == nil {
			continue
		}
		above, needed := aboveFloor(u.demand, shares.Floor(l.zoneEntitlement(team), hosts))
		if !needed {
			continue
		}
		coordinator := coordinatorOf(name, listed)
		e.ByCoordinator[coordinator] = append(e.ByCoordinator[coordinator], &rpc.TeamDemand{
			Team: name, TokensPerSecond: above.TokensPerSecond, InProgress: above.InProgress,
		})
	}
	live, silent := l.table.ZonePeers(l.opts.Member.Zone, now)
	for _, p := range append(live, silent...) {
		if e.ByCoordinator[p.Host] != nil {
			e.Addresses[p.Host] = p.Address
		}
	}
}

func aboveFloor(demand, floor shares.Amount) (shares.Amount, bool) {
	needed := demand.TokensPerSecond > needFraction*floor.TokensPerSecond || demand.InProgress > needFraction*floor.InProgress
	return shares.Amount{
		TokensPerSecond: max(0, headroom*demand.TokensPerSecond-floor.TokensPerSecond),
		InProgress:      max(0, headroom*demand.InProgress-floor.InProgress),
	}, needed
}

// lendShares answers as coordinator. It grants nothing for teams that another
// host coordinates under the list that this host knows.
func (l *Loop) lendShares(e *SharesRequested, now time.Time) {
	teams := l.teams()
	listed, hash := l.table.ListedHosts(l.opts.Member.Zone)
	l.sharing.coordinator.SetHostList(hash, now)
	for _, d := range e.Request.Demand {
		team := teams[d.Team]
		if team == nil || coordinatorOf(d.Team, listed) != l.opts.Member.Host {
			e.Err = ErrNotCoordinator
			continue
		}
		above := shares.Amount{TokensPerSecond: quantity(d.TokensPerSecond), InProgress: quantity(d.InProgress)}
		amount := l.sharing.coordinator.Grant(d.Team, e.Request.Host, above, shares.Pool(l.zoneEntitlement(team)), now)
		if amount == (shares.Amount{}) {
			continue
		}
		e.Shares = append(e.Shares, &rpc.TeamShare{
			Team: d.Team, TokensPerSecond: amount.TokensPerSecond, InProgress: amount.InProgress,
			ValidMs: millisOf(shares.GrantLifetime),
		})
	}
	if len(e.Shares) > 0 {
		e.Err = nil
	}
}
