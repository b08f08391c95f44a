//go:build review

package main

import (
	"time"
)

// leaveUntold lets a replica leave while the store is away. It says so in its answers, as it cannot tell the
// store, and goes on serving. Checked is the rule DRAIN for answers with Server-Leaving.
func leaveUntold(d *deployment, trouble bool) (broken bool, err error) {
	if err := d.configureRegistry(3); err != nil {
		return false, err
	}
	if err := d.start(); err != nil {
		return false, err
	}
	c := newCallers(d)
	c.usualTraffic()
	time.Sleep(4 * time.Second)
	d.storeAway(true)
	time.Sleep(time.Second)
	r := d.replicas.busiest("v1", nil)
	if trouble {
		d.record.note("replica %s leaves", r.id)
		r.mu.Lock()
		r.leaving = time.Now()
		r.mu.Unlock()
	}
	time.Sleep(7 * time.Second)
	d.storeAway(false)
	time.Sleep(time.Second)
	c.end()
	return c.checkLeaving(r.id), nil
}

// checkLeaving counts the requests that reached a leaving replica from a host later than the drain time after
// that host had passed on an answer that says so.
func (c *callers) checkLeaving(id string) (broken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.d.replicas.mu.Lock()
	defer c.d.replicas.mu.Unlock()
	told := make(map[*host]time.Time)
	late := 0
	for _, run := range c.d.replicas.arrivals {
		a := c.attempts[run.attempt]
		if run.replica != id || !run.leaving || a == nil {
			continue
		}
		since, ok := told[a.host]
		if !ok {
			told[a.host] = run.at.Add(100 * time.Millisecond) // the answer has been passed on by then
			continue
		}
		if a.sentAt.Sub(since) > drainTime {
			late++
		}
	}
	c.d.record.say("%d requests reached a replica later than %v after their machine had passed on that it leaves", late, drainTime)
	return late > 0
}
