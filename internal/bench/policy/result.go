package main

import (
	"fmt"
	"slices"
	"time"

	"heatherbarrow/internal/bundle"
)

// figures are the results of one class.
type figures struct {
	class      *bundle.Class
	requests   int
	met        int
	computed   int
	wasted     int
	unfinished int
	refused    int
}

func (f *figures) attainment() float64 { return ratio(f.met, f.requests) }

// summary holds the results of a scenario under one policy.
type summary struct {
	classes []figures
}

func summarize(s *scenario, snapshot *bundle.Snapshot, jobs []*job) *summary {
	out := &summary{classes: make([]figures, len(snapshot.Bundle.Classes))}
	for i := range out.classes {
		out.classes[i].class = &snapshot.Bundle.Classes[i]
	}
	for _, j := range jobs {
		if j.poison {
			continue // its only truthful outcomes are a failure and a refusal
		}
		f := &out.classes[j.class]
		f.requests++
		f.computed += j.computed
		f.wasted += j.wasted()
		switch {
		case j.met():
			f.met++
		case j.refused:
			f.refused++
		case !j.completed:
			f.unfinished++
		}
	}
	return out
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func (s *summary) goodput(of *scenario) float64 {
	met := 0
	for i := range s.classes {
		met += s.classes[i].met
	}
	return float64(met) / of.duration.Seconds()
}

func (s *summary) wasted() float64 {
	wasted, computed := 0, 0
	for i := range s.classes {
		wasted += s.classes[i].wasted
		computed += s.classes[i].computed
	}
	return ratio(wasted, computed)
}

func (s *summary) print(policy string, of *scenario) {
	for i := range s.classes {
		f := &s.classes[i]
		if f.requests == 0 {
			continue
		}
		fmt.Printf("bench policy=%s scenario=%s class=%s tier=%d attainment=%.4f goodput=%.2f wasted=%.4f unfinished=%d\n",
			policy, of.name, f.class.Name, f.class.Tier, f.attainment(), float64(f.met)/of.duration.Seconds(),
			ratio(f.wasted, f.computed), f.unfinished)
	}
}

// tally counts the targets of the design page.
type tally struct{ met, missed int }

func (t *tally) check(ok bool, format string, args ...any) {
	if ok {
		t.met++
		return
	}
	t.missed++
	fmt.Printf("bench missed "+format+"\n", args...)
}

func (s *summary) check(of *scenario, base *summary, t *tally) {
	for i := range s.classes {
		f := &s.classes[i]
		switch {
		case f.requests == 0:
		case f.class.Tier == bundle.TopTier:
			t.check(f.attainment() >= of.topAttainment, "scenario=%s class=%s attainment=%.4f target=%.2f refused=%d unfinished=%d",
				of.name, f.class.Name, f.attainment(), of.topAttainment, f.refused, f.unfinished)
		default:
			t.check(f.unfinished == 0, "scenario=%s class=%s unfinished=%d target=0", of.name, f.class.Name, f.unfinished)
		}
	}
	t.check(s.wasted() <= of.maxWasted, "scenario=%s wasted=%.4f target=%.2f", of.name, s.wasted(), of.maxWasted)
	t.check(s.goodput(of) >= base.goodput(of), "scenario=%s goodput=%.2f baseline=%.2f",
		of.name, s.goodput(of), base.goodput(of))
}

// maxDetection is the design's bound on detecting a straggler or a dead engine.
const maxDetection = 2 * time.Second

// checkDetection compares the slowest of the hosts that had work on the faulty
// replica with the bound.
func (w *world) checkDetection(t *tally) {
	if w.faulty.IsZero() {
		return
	}
	if len(w.detected) == 0 {
		t.check(false, "scenario=%s detection=none target=%v", w.scenario.name, maxDetection)
		return
	}
	slices.Sort(w.detected)
	median, last := w.detected[len(w.detected)/2], w.detected[len(w.detected)-1]
	fmt.Printf("bench metric=detection_%s_median value=%.2f unit=s\n", w.scenario.name, median.Seconds())
	fmt.Printf("bench metric=detection_%s_last value=%.2f unit=s\n", w.scenario.name, last.Seconds())
	t.check(last <= maxDetection, "scenario=%s detection=%v target=%v", w.scenario.name, last, maxDetection)
}

// maxPoisoned is how many replicas a poison request may crash before every host
// refuses it.
const maxPoisoned = 2

// checkPoison compares the crashes by poison requests with the bound.
func (w *world) checkPoison(t *tally) {
	if len(w.scenario.poison) == 0 {
		return
	}
	crashes := 0
	for _, e := range w.order {
		crashes += e.poisoned
	}
	fmt.Printf("bench metric=crashes_%s value=%d unit=crashes\n", w.scenario.name, crashes)
	t.check(crashes <= maxPoisoned, "scenario=%s crashes=%d target=%d", w.scenario.name, crashes, maxPoisoned)
}
