package engine

import "slices"

// job is one request in the engine.
type job struct {
	priority int // tier, 1 is the highest
	prefill  int // prompt tokens still to process
	produced int
	total    int
	tokens   chan struct{} // one value per token made
}

// batch holds the running and waiting requests.
type batch struct {
	slots          int
	tokensPerStep  int
	prefillPerStep int
	running        []*job
	waiting        []*job
	next           int // running job that gets the first token of the next step
}

func (b *batch) add(j *job) { b.waiting = append(b.waiting, j) }

func (b *batch) remove(j *job) {
	isJob := func(other *job) bool { return other == j }
	b.running = slices.DeleteFunc(b.running, isJob)
	b.waiting = slices.DeleteFunc(b.waiting, isJob)
}

func (b *batch) clear() {
	b.running = nil
	b.waiting = nil
}

// admit fills free slots, the highest priority first.
func (b *batch) admit() {
	for len(b.running) < b.slots && len(b.waiting) > 0 {
		best := 0
		for i, j := range b.waiting {
			if j.priority < b.waiting[best].priority {
				best = i
			}
		}
		b.running = append(b.running, b.waiting[best])
		b.waiting = slices.Delete(b.waiting, best, best+1)
	}
}

// step processes prompts and makes at most tokensPerStep tokens, one for each
// running request. It returns the number of tokens made.
func (b *batch) step() int {
	b.admit()
	prefill, made := b.prefillPerStep, 0
	for range b.running {
		j := b.running[b.next%len(b.running)]
		b.next++
		if j.prefill > 0 {
			n := min(j.prefill, prefill)
			j.prefill -= n
			prefill -= n
			continue
		}
		if made < b.tokensPerStep && j.produced < j.total {
			j.produced++
			made++
			j.tokens <- struct{}{}
		}
	}
	if len(b.running) > 0 {
		b.next %= len(b.running)
	}
	return made
}
