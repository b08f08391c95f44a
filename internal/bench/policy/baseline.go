package main

import (
	"math/rand/v2"
	"time"

	"heatherbarrow/internal/scheduling"
)

// baseline sends each request at once to the replica with the least outstanding
// requests: those of the last report and this host's own since then. Engines
// run them first in, first out. Nothing is refused, and a failed request is
// sent again from the start.
type baseline struct{}

type baselineHost struct {
	random   *rand.Rand
	replicas []scheduling.ReplicaLoad
	own      map[scheduling.ReplicaID][]time.Time // dispatches since the last report
}

func (baseline) state(w *world, h *host) *baselineHost {
	if s, ok := h.state.(*baselineHost); ok {
		return s
	}
	s := &baselineHost{
		random: rand.New(rand.NewPCG(w.scenario.seed, uint64(h.index))),
		own:    make(map[scheduling.ReplicaID][]time.Time),
	}
	h.state = s
	return s
}

func (b baseline) view(w *world, h *host, v *scheduling.View) {
	s := b.state(w, h)
	s.replicas = v.Replicas
	for _, r := range v.Replicas {
		kept := s.own[r.ID][:0]
		for _, t := range s.own[r.ID] {
			if t.After(r.ReportedAt) {
				kept = append(kept, t)
			}
		}
		s.own[r.ID] = kept
	}
}

func (baseline) tick(*world, *host) {}

func (b baseline) place(w *world, h *host, j *job, exclude []scheduling.ReplicaID) {
	s := b.state(w, h)
	_, upstream := upstreamOf(w.snapshot, j.class)
	best, least, ties := -1, 0, 0
	for i := range s.replicas {
		r := &s.replicas[i]
		if r.ID.Upstream != upstream || r.State != scheduling.ReplicaLive || contains(exclude, r.ID) {
			continue
		}
		load := r.Running + r.Waiting + len(s.own[r.ID])
		switch {
		case best < 0 || load < least:
			best, least, ties = i, load, 1
		case load == least:
			ties++
			if s.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	if best < 0 {
		w.end(j, false, false)
		return
	}
	id := s.replicas[best].ID
	s.own[id] = append(s.own[id], w.loop.now())
	w.start(h, j, id, baselineSlot{}, exclude, false)
}

type baselineSlot struct{}

func (baselineSlot) firstToken()              {}
func (baselineSlot) token()                   {}
func (baselineSlot) finish(scheduling.Result) {}
