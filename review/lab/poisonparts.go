//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

// poisonPartBurst lets a caller send prompts with a part that crashes replicas, several at the same time, and
// send such prompts again after some seconds. Without the disruption they come one by one.
func poisonPartBurst(d *deployment, trouble bool) (broken bool, err error) {
	return playPoisonPart(d, poisonPlan{path: draftsPath, inBursts: trouble, headFirst: true})
}

// poisonPartSilent lets prompts with a part that crashes replicas come one by one. The replica crashes before
// any byte of its answer has left it. Without the disruption, the head of the answer arrives first.
func poisonPartSilent(d *deployment, trouble bool) (broken bool, err error) {
	return playPoisonPart(d, poisonPlan{path: minutesPath, zone: "hakodate", headFirst: !trouble})
}

// poisonPlan says how prompts with a part that crashes replicas come.
type poisonPlan struct {
	path      string // of their route
	zone      string // of all callers; empty for all zones
	inBursts  bool   // several at the same time, not one by one
	headFirst bool   // the head of an answer arrives before the crash
}

// playPoisonPart plays prompts with a part that crashes replicas.
func playPoisonPart(d *deployment, plan poisonPlan) (bool, error) {
	const burst = 4
	const bursts, between = 9, 4500 * time.Millisecond
	d.replicas.headFirst = plan.headFirst
	d.configureEngines()
	for i := range 12 {
		r := &replica{service: "huvo11a", zone: zones[1+i%3], version: "v1", slots: make(chan struct{}, 64), downFor: 2500 * time.Millisecond, streams: true}
		if err := d.replicas.start(r, ""); err != nil {
			return false, err
		}
	}
	if err := d.start(); err != nil {
		return false, err
	}
	c := newCallers(d)
	c.mixed, c.zone = true, plan.zone
	drafts := c.sendDrafts(100*time.Millisecond, 10*time.Second+bursts*between)
	time.Sleep(8 * time.Second)
	number := 0
	poison := func() {
		number++
		n := number
		c.wait.Go(func() {
			id := fmt.Sprintf("poison-%012x", n)
			prompt := fmt.Sprintf("5c1e07a2:800,%s:410,%x:250", poisonPart, 0x90000+n)
			c.readStream(d.pick(c.zone, n), plan.path, id, "", prompt, &stream{}, time.Now().Add(streamWait))
		})
	}
	for range bursts {
		for range burst {
			poison()
			if !plan.inBursts {
				time.Sleep(between / burst)
			}
		}
		if plan.inBursts {
			time.Sleep(between)
		}
	}
	all, complete, broken := 0, 0, 0
	for s := range drafts {
		all++
		complete += count(s.whole())
		broken += count(!s.whole() && s.lastID > 0)
	}
	d.record.say("%d streams of other callers, %d complete, %d broken off for good", all, complete, broken)
	return d.checkPoisonPart(), nil
}

// checkPoisonPart applies the rule BUDGET to requests with a part that crashes replicas: after the fifth crash
// and the stable window, no more than three may reach replicas that machines in touch send.
func (d *deployment) checkPoisonPart() (broken bool) {
	const maxLate = 3
	d.replicas.mu.Lock()
	defer d.replicas.mu.Unlock()
	crashes, late, reached := 0, 0, 0
	var fifth time.Time
	for _, run := range d.replicas.arrivals {
		if !strings.HasPrefix(run.attempt, "poison-") {
			continue
		}
		reached++
		if !run.excused && !fifth.IsZero() && run.at.Sub(fifth) > stableWindow {
			late++
			d.record.note("%s reached replica %s %.1f s after the fifth crash", run.attempt, run.replica, run.at.Sub(fifth).Seconds())
		}
		if run.crashed {
			if crashes++; crashes == 5 {
				fifth = run.at.Add(promptTime)
			}
		}
	}
	d.record.say("requests with the part reached replicas %d times and crashed %d; %d later than %v after the fifth crash, %d allowed", reached, crashes, late, stableWindow, maxLate)
	return late > maxLate
}
