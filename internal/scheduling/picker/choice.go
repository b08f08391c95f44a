package picker

import (
	"math"

	"heatherbarrow/internal/scheduling"
)

// shortlist holds the candidates of a decision.
type shortlist struct {
	n     int
	items [2 * maxVisited]Candidate
}

func (s *shortlist) add(c Candidate) {
	if s.n < len(s.items) {
		s.items[s.n] = c
		s.n++
	}
}

func (s *shortlist) best() *Candidate {
	best := &s.items[0]
	for i := range s.items[:s.n] {
		if s.items[i].score < best.score {
			best = &s.items[i]
		}
	}
	return best
}

// choose returns the index of a candidate. volume is the load, as a score, that
// all hosts together may add before the next reports. It is poured over the
// candidates like water, and each one's chance is the share that it takes: with
// fresh reports the best candidate is nearly certain, and with stale ones the
// hosts spread over as many as the volume fills to one level.
func (s *shortlist) choose(random, volume float64) int {
	level, chosen := s.level(volume), 0
	random *= volume
	for i := range s.items[:s.n] {
		share := level - s.items[i].score
		if share <= 0 {
			continue
		}
		chosen = i
		if random < share {
			break
		}
		random -= share
	}
	return chosen
}

// level returns the score up to which the volume fills the candidates. Each
// round drops the candidates above the level of the round before.
func (s *shortlist) level(volume float64) float64 {
	level := math.Inf(1)
	for before := s.n + 1; ; {
		sum, count := volume, 0
		for i := range s.items[:s.n] {
			if score := s.items[i].score; score < level {
				sum += score
				count++
			}
		}
		// Rounding can put a candidate exactly at the level on either side, so
		// that the count may also rise again.
		if count >= before || count == 0 {
			return level
		}
		level = sum / float64(count)
		before = count
	}
}

// alternatives returns the two best candidates that were not chosen.
func (s *shortlist) alternatives(chosen int) []scheduling.Alternative {
	if s.n < 2 {
		return nil
	}
	first, second := -1, -1
	for i := range s.items[:s.n] {
		switch score := s.items[i].score; {
		case i == chosen:
		case first < 0 || score < s.items[first].score:
			first, second = i, first
		case second < 0 || score < s.items[second].score:
			second = i
		}
	}
	out := make([]scheduling.Alternative, 0, 2)
	for _, i := range [...]int{first, second} {
		if i >= 0 {
			out = append(out, scheduling.Alternative{Replica: s.items[i].replica.id, Score: s.items[i].score})
		}
	}
	return out
}
