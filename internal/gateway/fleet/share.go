package fleet

import (
	"math"
	"time"
)

const (
	// shareMemory is the time constant of what a team has used: a burst of a few seconds
	// counts, and a team that stops is like any other soon after.
	shareMemory = 5 * time.Second
	// leastShare is the part of all recent work below which a team does not count among
	// those that share.
	leastShare = 0.01
	// leastFactor and mostFactor bound how much shorter or longer a backlog a team's
	// late requests may join: half for a team with twice its fair share or more.
	leastFactor = 0.5
	mostFactor  = 1.5
)

// shares keeps the prompt time that each team took of late.
type shares struct {
	teams map[string]usage
}

type usage struct {
	work float64 // seconds of prompts, at the time at
	at   time.Time
}

func (u usage) now(now time.Time) float64 {
	return u.work * math.Exp(-float64(now.Sub(u.at))/float64(shareMemory))
}

// add counts the prompt of a request.
func (s *shares) add(team string, prompt time.Duration, now time.Time) {
	if s.teams == nil {
		s.teams = make(map[string]usage)
	}
	s.teams[team] = usage{work: s.teams[team].now(now) + prompt.Seconds(), at: now}
}

// factor returns how much longer a backlog late requests of the team may join than
// those of a team with its fair share. It forgets teams that have used next to nothing.
func (s *shares) factor(team string, now time.Time) float64 {
	var total float64
	for _, u := range s.teams {
		total += u.now(now)
	}
	active := 0
	for name, u := range s.teams {
		if u.now(now) >= leastShare*total {
			active++
		} else if name != team {
			delete(s.teams, name)
		}
	}
	own := s.teams[team].now(now)
	if active < 2 || own == 0 {
		return 1
	}
	fair := total / float64(active)
	return min(max(fair/own, leastFactor), mostFactor)
}
