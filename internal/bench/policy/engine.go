package main

import (
	"slices"
	"time"

	"heatherbarrow/internal/scheduling"
)

// Cost model of the fake engine. A full batch that also prefills takes 40 ms a
// step, which leaves a quarter of the 53 ms inter-token target.
const (
	stepBase     = 12 * time.Millisecond
	stepPerEntry = 500 * time.Microsecond
	stepPerToken = 40 * time.Microsecond // prefill
	stepBudget   = 512                   // tokens a step, decoding and prefill together
	cacheTokens  = 100_000
	restartTime  = 5 * time.Second
	samplePeriod = 100 * time.Millisecond
)

// ending tells how the engine's work on a request ended.
type ending int

const (
	endComplete ending = iota
	endCrashed
	endUnreachable
	endTimeout  // found by the host
	endCanceled // found by the host
)

// sequence is a request on an engine.
type sequence struct {
	priority int
	prompts  [2]cacheKey // starts of the prompt that may be cached, longest first
	prefill  int         // tokens to prefill before the first token
	decode   int         // tokens to generate
	poison   bool
	work     time.Duration // services: time that the call takes
	token    func()
	ended    func(ending)

	order    uint64
	left     int
	computed int
	prefills int // prefill tokens computed
	gone     bool
}

// engine does continuous batching under a token budget. It is also the fake
// plain service: a call then has a fixed duration and no tokens.
type engine struct {
	id         scheduling.ReplicaID
	loop       *loop
	zone       string
	slots      int
	service    bool
	priorities bool // honored when filling the batch

	waiting, running []*sequence
	order            uint64
	busy             bool
	down, frozen     bool
	frozenReport     bool
	slowdown         float64
	generation       int // raised by each crash
	poisoned         int // crashes by a poison request
	cache            map[uint64]cacheEntry
	cached           int
	history          []sample
	downSince        time.Time
}

// cacheEntry is a cached start of a prompt.
type cacheEntry struct {
	used   uint64 // order of the last request that used it
	tokens int
}

type sample struct {
	at               time.Time
	running, waiting int
}

func (e *engine) submit(s *sequence) {
	if e.down {
		s.ended(endUnreachable)
		return
	}
	e.order++
	s.order = e.order
	if e.service {
		e.serve(s)
		return
	}
	s.left = s.prefill
	e.waiting = append(e.waiting, s)
	e.wake()
}

func (e *engine) serve(s *sequence) {
	if len(e.running) >= e.slots {
		e.waiting = append(e.waiting, s)
		return
	}
	e.running = append(e.running, s)
	generation := e.generation
	e.loop.after(time.Duration(float64(s.work)*e.slowdown), func() {
		if generation != e.generation || s.gone {
			return
		}
		e.remove(s)
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			e.serve(next)
		}
		s.token()
		s.ended(endComplete)
	})
}

// cancel stops a request; the engine ends it without a further event.
func (e *engine) cancel(s *sequence) {
	s.gone = true
	e.remove(s)
}

func (e *engine) remove(s *sequence) {
	same := func(other *sequence) bool { return other == s }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
}

// top returns the number of running top-tier requests.
func (e *engine) top() int {
	n := 0
	for _, s := range e.running {
		if s.priority == 1 {
			n++
		}
	}
	return n
}

func (e *engine) wake() {
	if e.busy || e.down || e.frozen {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.busy = true
	plan, duration := e.plan()
	generation := e.generation
	e.loop.after(duration, func() {
		if generation != e.generation {
			return
		}
		e.busy = false
		if !e.frozen {
			e.finishStep(plan)
		}
		e.wake()
	})
}

func (e *engine) admit() {
	if e.priorities {
		slices.SortStableFunc(e.waiting, func(a, b *sequence) int { return a.priority - b.priority })
	}
	for len(e.waiting) > 0 && len(e.running) < e.slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.left = max(s.left-e.hit(s), 1)
		e.running = append(e.running, s)
	}
	if e.priorities {
		slices.SortStableFunc(e.running, func(a, b *sequence) int { return a.priority - b.priority })
	}
}

// part is a sequence's share of a step; prefill is 0 for decoding.
type part struct {
	sequence *sequence
	prefill  int
}

func (e *engine) plan() ([]part, time.Duration) {
	var plan []part
	budget := stepBudget
	duration := stepBase
	for _, s := range e.running {
		if s.left == 0 {
			plan = append(plan, part{sequence: s})
			budget--
			duration += stepPerEntry
		}
	}
	for _, s := range e.running {
		if n := min(s.left, budget); n > 0 {
			plan = append(plan, part{sequence: s, prefill: n})
			budget -= n
			duration += time.Duration(n) * stepPerToken
		}
	}
	return plan, time.Duration(float64(duration) * e.slowdown)
}

func (e *engine) finishStep(plan []part) {
	for _, p := range plan {
		s := p.sequence
		if s.gone {
			continue
		}
		s.left -= p.prefill
		s.prefills += p.prefill
		s.computed += p.prefill
		if s.left > 0 {
			continue
		}
		if s.poison {
			e.poisoned++
			e.crash(restartTime)
			return
		}
		if p.prefill > 0 {
			e.store(s)
		}
		s.computed++
		s.decode--
		s.token()
		if s.decode <= 0 && !s.gone {
			s.gone = true
			e.remove(s)
			s.ended(endComplete)
		}
	}
}

// cacheKey is a start of a prompt; prompt is 0 for none.
type cacheKey struct {
	prompt uint64
	tokens int
}

// hit returns the tokens of the longest start of the prompt in the cache.
func (e *engine) hit(s *sequence) int {
	for _, k := range s.prompts {
		if _, ok := e.cache[k.prompt]; ok && k.prompt != 0 {
			e.cache[k.prompt] = cacheEntry{used: e.order, tokens: k.tokens}
			return k.tokens
		}
	}
	return 0
}

// store puts the prompt and its shared start into the cache and evicts the
// least recently used ones beyond the cache's size.
func (e *engine) store(s *sequence) {
	for _, k := range s.prompts {
		if k.prompt == 0 {
			continue
		}
		if _, ok := e.cache[k.prompt]; !ok {
			e.cached += k.tokens
		}
		e.cache[k.prompt] = cacheEntry{used: e.order, tokens: k.tokens}
	}
	for e.cached > cacheTokens && len(e.cache) > 1 {
		e.evict()
	}
}

func (e *engine) evict() {
	var oldest uint64
	for prefix, c := range e.cache {
		// The prefix breaks ties, because the order of a map is random.
		if o := e.cache[oldest]; oldest == 0 || c.used < o.used || c.used == o.used && prefix < oldest {
			oldest = prefix
		}
	}
	e.cached -= e.cache[oldest].tokens
	delete(e.cache, oldest)
}

// crash breaks all requests and restarts the engine after a time.
func (e *engine) crash(restart time.Duration) {
	lost := append(slices.Clone(e.running), e.waiting...)
	e.running, e.waiting = nil, nil
	e.generation++
	e.busy = false
	e.down = true
	e.downSince = e.loop.now()
	clear(e.cache)
	e.cached = 0
	for _, s := range lost {
		s.gone = true
	}
	for _, s := range lost {
		s.ended(endCrashed)
	}
	e.loop.after(restart, func() { e.down = false })
}

func (e *engine) freeze(d time.Duration) {
	e.frozen = true
	e.loop.after(d, func() {
		e.frozen = false
		e.wake()
	})
}

// record keeps a load sample; a frozen report repeats the last one as if it
// were new.
func (e *engine) record() {
	s := sample{at: e.loop.now(), running: len(e.running), waiting: len(e.waiting)}
	if e.frozenReport && len(e.history) > 0 {
		last := e.history[len(e.history)-1]
		s.running, s.waiting = last.running, last.waiting
	}
	e.history = append(e.history, s)
	if len(e.history) > 64 {
		e.history = e.history[1:]
	}
}

// report returns the newest sample that is at least lag old.
func (e *engine) report(lag time.Duration) scheduling.ReplicaLoad {
	load := scheduling.ReplicaLoad{ID: e.id}
	limit := e.loop.now().Add(-lag)
	for i := len(e.history) - 1; i >= 0; i-- {
		if s := e.history[i]; !s.at.After(limit) {
			load.HasReport = true
			load.Running, load.Waiting, load.ReportedAt = s.running, s.waiting, s.at
			break
		}
	}
	if e.down && e.loop.now().Sub(e.downSince) > deadAfter {
		load.State = scheduling.ReplicaDead
	}
	return load
}
