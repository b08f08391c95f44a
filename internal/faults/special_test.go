package faults

import (
	"context"
	"fmt"
	"testing"
	"time"

	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/standin/engine"
)

const (
	// leaveBound is the time after which a leaving replica gets no new work.
	leaveBound = 3 * time.Second
	// quarantineBound is the time in which all hosts of a zone refuse a request
	// that crashed two replicas.
	quarantineBound = 2 * time.Second
	poisonText      = "poison-mark"
	// longAnswer is the length of an answer that lasts longer than leaveBound.
	longAnswer = "[length=200] "
)

// specialCells check promises that do not follow from a fault at one step.
var specialCells = []struct {
	fault, step string
	run         func(t *testing.T) []string
}{
	{"upstream-leaving", "mid-stream", runLeavingCell},
	{"poison-request", "first-token", runPoisonCell},
	{"host-replaced+platform-down", "apply", runReplacedHostCell},
	{"zone-replaced+zone-cut-both", "apply", runReplacedZoneCell},
	{"foreign-frame", "mid-stream", brokenFrames("foreign_frame_at")},
	{"repeated-frame", "mid-stream", brokenFrames("repeat_frame_at")},
	{"missing-end", "mid-stream", brokenFrames("end_after")},
	{"connection-cut", "mid-stream", brokenFrames("cut_after")},
}

// brokenFrames lets one engine break its streams at a frame. Callers must still
// get whole answers, since the streams can resume on other engines.
func brokenFrames(fault string) func(t *testing.T) []string {
	return func(t *testing.T) []string {
		c := newCluster(t)
		c.start()
		a := newCaller(c)
		ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
		defer cancel()
		c.engines[0].set(c, fault, 5)
		for i := range 12 {
			a.inBackground(func() { a.chat(ctx, c.hosts[i%hostCount], "quote", fmt.Sprintf("[length=30] frames %d", i), nil) })
		}
		a.wait.Wait()
		return append(c.checkAnswers(a.all()), incomplete(a.all())...)
	}
}

// runLeavingCell lets a replica leave while streams run on it.
func runLeavingCell(t *testing.T) []string {
	c := newCluster(t)
	c.start()
	a := newCaller(c)
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	for i := range 12 {
		a.inBackground(func() { a.chat(ctx, c.hosts[i%hostCount], "quote", fmt.Sprintf(longAnswer+"leaving %d", i), nil) })
	}
	waitForFrames(a, 12)
	put(t, c.platform.address, "/admin/hosts", `{"upstreams":[{"upstream":"models","replica":"e0","state":"leaving"}]}`)
	time.Sleep(leaveBound)
	before, err := c.engineRuns(0)
	if err != nil {
		return []string{err.Error()}
	}
	for i := range 24 {
		a.inBackground(func() { a.chat(ctx, c.hosts[i%hostCount], "quote", fmt.Sprintf("[length=5] after %d", i), nil) })
	}
	a.wait.Wait()
	broken := c.checkAnswers(a.all())
	if after, err := c.engineRuns(0); err != nil || after > before {
		broken = append(broken, fmt.Sprintf("P6: the leaving replica got %d new requests (%v)", after-before, err))
	}
	return append(broken, incomplete(a.all())...)
}

// runPoisonCell sends a request that crashes each engine that runs it, beside
// others, and again through the other host of the zone.
func runPoisonCell(t *testing.T) []string {
	c := newCluster(t)
	c.start()
	a := newCaller(c)
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	for _, e := range c.engines {
		e.set(c, "crash_on", poisonText)
		e.set(c, "crash_on_delay_ms", 100)
		e.set(c, "downtime_ms", 200)
	}
	poison := newCaller(c)
	sendChats(ctx, c, a, 8, "quote", "[length=50] beside")
	waitForFrames(a, 8)
	poison.chat(ctx, c.hosts[0], "comparison", longAnswer+poisonText, nil)
	time.Sleep(quarantineBound)
	for range 3 {
		for _, h := range []*host{c.hosts[0], c.hosts[3]} {
			poison.chat(ctx, h, "comparison", longAnswer+poisonText, nil)
		}
	}
	a.wait.Wait()
	crashes := 0
	for i := range c.engines {
		counts, err := c.engineCounts(i)
		if err != nil {
			return []string{err.Error()}
		}
		crashes += counts.Crashes
	}
	broken := append(c.checkAnswers(a.all()), incomplete(a.all())...)
	if crashes > 2 {
		broken = append(broken, fmt.Sprintf("a poison request crashed engines %d times in one zone", crashes))
	}
	answers := poison.all()
	if last := answers[len(answers)-1]; last.outcome != outcome.NotRun {
		broken = append(broken, fmt.Sprintf("a quarantined request ended as %q with status %d", last.outcome, last.status))
	}
	return append(broken, c.checkAnswers(answers)...)
}

// incomplete returns the requests that should have completed and did not.
func incomplete(answers []answer) []string {
	var broken []string
	for _, x := range answers {
		if x.outcome != outcome.Completed || !x.whole {
			broken = append(broken, fmt.Sprintf("chat %s ended as %q with status %d: %v", x.id, x.outcome, x.status, x.err))
		}
	}
	return broken
}

func (c *cluster) engineCounts(i int) (engine.Counts, error) {
	var counts engine.Counts
	err := c.getJSON(c.engines[i].address, "/admin/counts", &counts)
	return counts, err
}

// engineRuns returns the number of requests that an engine ran.
func (c *cluster) engineRuns(i int) (int, error) {
	counts, err := c.engineCounts(i)
	n := 0
	for _, runs := range counts.Requests {
		n += runs
	}
	return n, err
}
