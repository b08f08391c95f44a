package fleet

import (
	"math"
	"time"
)

const (
	// shareTimeConstant is the time constant with which a team's usage decays: a burst of
	// a few seconds counts, and a team that stops sending is soon treated like any other.
	shareTimeConstant = 5 * time.Second
	// minActiveShare is the share of all recent usage below which a team does not count as
	// active.
	minActiveShare = 0.01
	// minBacklogFactor and maxBacklogFactor bound the factor on the backlog that a team's
	// late requests may join. A team with twice its fair share or more gets half.
	minBacklogFactor = 0.5
	maxBacklogFactor = 1.5
)

// teamShares tracks the recent prefill time of each team on this host.
type teamShares struct {
	teams map[string]teamUsage
}

// teamUsage is a decaying sum of prefill time.
type teamUsage struct {
	prefillSeconds float64 // as of at
	at             time.Time
}

// now returns the usage in seconds, decayed to the given time.
func (u teamUsage) now(now time.Time) float64 {
	return u.prefillSeconds * math.Exp(-float64(now.Sub(u.at))/float64(shareTimeConstant))
}

// add counts the prefill time of a request.
func (s *teamShares) add(team string, prefill time.Duration, now time.Time) {
	if s.teams == nil {
		s.teams = make(map[string]teamUsage)
	}
	s.teams[team] = teamUsage{prefillSeconds: s.teams[team].now(now) + prefill.Seconds(), at: now}
}

// backlogFactor returns the factor on the backlog that late requests of the team may join;
// 1 is for a team with its fair share. It deletes other teams that are no longer active.
func (s *teamShares) backlogFactor(team string, now time.Time) float64 {
	var total float64
	for _, u := range s.teams {
		total += u.now(now)
	}
	active := 0
	for name, u := range s.teams {
		if u.now(now) >= minActiveShare*total {
			active++
		} else if name != team {
			delete(s.teams, name)
		}
	}
	used := s.teams[team].now(now)
	if active < 2 || used == 0 {
		return 1
	}
	fairShare := total / float64(active)
	return min(max(fairShare/used, minBacklogFactor), maxBacklogFactor)
}
