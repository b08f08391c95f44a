package picker

import (
	"math"

	"heatherbarrow/internal/scheduling"
)

// shortlist holds the candidates of a decision.
type shortlist struct {
	count      int
	candidates [2 * maxExamined]Candidate
}

// add adds a candidate. A full list ignores it, which can happen only when the request has
// several upstreams.
func (s *shortlist) add(c Candidate) {
	if s.count < len(s.candidates) {
		s.candidates[s.count] = c
		s.count++
	}
}

// best returns the candidate with the lowest score. The list must not be empty.
func (s *shortlist) best() *Candidate {
	best := &s.candidates[0]
	for i := range s.candidates[:s.count] {
		if s.candidates[i].score < best.score {
			best = &s.candidates[i]
		}
	}
	return best
}

// choose returns the index of a randomly chosen candidate. The list must not be
// empty. random is in [0, 1). volume is the load, as a score in seconds, that all hosts
// together may add before the next reports.
// Water-filling distributes the volume over the candidates with the lowest scores, and a
// candidate's probability is its share of the volume. With recent reports the volume is
// small and the best candidate is nearly always chosen; with old reports the hosts spread
// their requests over more candidates.
func (s *shortlist) choose(random, volume float64) int {
	waterLevel, chosen := s.waterLevel(volume), 0
	random *= volume
	for i := range s.candidates[:s.count] {
		share := waterLevel - s.candidates[i].score
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

// waterLevel returns the score up to which the volume fills the candidates. Each iteration
// drops the candidates above the level of the previous iteration.
func (s *shortlist) waterLevel(volume float64) float64 {
	waterLevel := math.Inf(1)
	for previousCount := s.count + 1; ; {
		sum, included := volume, 0
		for i := range s.candidates[:s.count] {
			if score := s.candidates[i].score; score < waterLevel {
				sum += score
				included++
			}
		}
		// Rounding errors can move a candidate exactly at the level to either side,
		// so that the count may also increase.
		if included >= previousCount || included == 0 {
			return waterLevel
		}
		waterLevel = sum / float64(included)
		previousCount = included
	}
}

// alternatives returns the two best candidates other than the chosen one, or as many as
// there are.
func (s *shortlist) alternatives(chosen int) []scheduling.Alternative {
	if s.count < 2 {
		return nil
	}
	first, second := -1, -1
	for i := range s.candidates[:s.count] {
		switch score := s.candidates[i].score; {
		case i == chosen:
		case first < 0 || score < s.candidates[first].score:
			first, second = i, first
		case second < 0 || score < s.candidates[second].score:
			second = i
		}
	}
	out := make([]scheduling.Alternative, 0, 2)
	for _, i := range [...]int{first, second} {
		if i >= 0 {
			out = append(out, scheduling.Alternative{Replica: s.candidates[i].replica.id, Score: s.candidates[i].score})
		}
	}
	return out
}
