package fleet

import (
	"math"
	"time"
)

const (
	// shareMemory is the time constant of what a team has used: a burst of a few seconds
	// counts, and a team that stops is like any other soon after.
	shareTimeConstant = 5 * time.Second
	// leastShare is the part of all recent work below which a team does not count among
	// those that share.
	minActiveShare = 0.01
	// leastFactor and mostFactor bound how much shorter or longer a backlog a team's
	// late requests may join: half for a team with twice its fair share or more.
	minBacklogFactor = 0.5
	maxBacklogFactor = 1.5
)

// shares keeps the prompt time that each team took of late.
type teamShares struct {
	teams map[string]teamUsage
}

type teamUsage struct {
	prefillSeconds float64 // seconds of prompts, at the time at
	at             time.Time
}

func (u teamUsage) decayed(now time.Time) float64 {
	return u.prefillSeconds * math.Exp(-float64(now.Sub(u.at))/float64(shareTimeConstant))
}

// add counts the prompt of a request.
func (s *teamShares) add(team string, prefill time.Duration, now time.Time) {
	if s.teams == nil {
		s.teams = make(map[string]teamUsage)
	}
	s.teams[team] = teamUsage{prefillSeconds: s.teams[team].decayed(now) + prefill.Seconds(), at: now}
}

// factor returns how much longer a backlog late requests of the team may join than
// those of a team with its fair share. It forgets teams that have used next to nothing.
func (s *teamShares) backlogFactor(team string, now time.Time) float64 {
	var total float64
	for _, u := range s.teams {
		total += u.decayed(now)
	}
	active := 0
	for name, u := range s.teams {
		if u.decayed(now) >= minActiveShare*total {
			active++
		} else if name != team {
			delete(s.teams, name)
		}
	}
	used := s.teams[team].decayed(now)
	if active < 2 || used == 0 {
		return 1
	}
	fairShare := total / float64(active)
	return min(max(fairShare/used, minBacklogFactor), maxBacklogFactor)
}
