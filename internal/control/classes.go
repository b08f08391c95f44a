package control

import (
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/rpc"
)

const (
	// classWindow is the time over which a class's attainment is shown.
	classWindow   = time.Minute
	classSlices   = 12
	classSlice    = classWindow / classSlices
	attainmentMin = 0.95 // below it a class is shown as missing its target
)

// classWindows holds the results of each class over the last minute. It belongs
// to the control goroutine.
type classWindows map[string]*classCounts

type classCounts struct {
	slices     [classSlices]classSums
	newest     int64     // number of the newest slice since the epoch
	belowSince time.Time // zero while the target is met
}

type classSums struct{ finished, attained, refused uint64 }

// add takes over a router's report.
func (w classWindows) add(results []*rpc.ClassResult, now time.Time) {
	for _, r := range results {
		counts := w[r.Class]
		if counts == nil {
			counts = &classCounts{}
			w[r.Class] = counts
		}
		counts.advance(now)
		slice := &counts.slices[counts.newest%classSlices]
		slice.finished += r.Finished
		slice.attained += r.Attained
		slice.refused += r.Refused
		counts.judge(now)
	}
}

func (c *classCounts) advance(now time.Time) {
	number := now.UnixNano() / int64(classSlice)
	for range min(number-c.newest, classSlices) {
		c.newest++
		c.slices[c.newest%classSlices] = classSums{}
	}
	c.newest = max(c.newest, number)
}

func (c *classCounts) sum() classSums {
	var sum classSums
	for _, s := range c.slices {
		sum.finished += s.finished
		sum.attained += s.attained
		sum.refused += s.refused
	}
	return sum
}

func (c *classCounts) judge(now time.Time) {
	sum := c.sum()
	switch {
	case float64(sum.attained) >= attainmentMin*float64(sum.finished):
		c.belowSince = time.Time{}
	case c.belowSince.IsZero():
		c.belowSince = now
	}
}

// status returns the classes of the bundle with traffic in the last minute.
func (w classWindows) status(b *bundle.Bundle, now time.Time) []*rpc.ClassStatus {
	if b == nil {
		return nil
	}
	var out []*rpc.ClassStatus
	for i := range b.Classes {
		counts := w[b.Classes[i].Name]
		if counts == nil {
			continue
		}
		counts.advance(now)
		counts.judge(now)
		if sum := counts.sum(); sum.finished > 0 {
			out = append(out, counts.toRPC(&b.Classes[i], sum, now))
		}
	}
	return out
}

func (c *classCounts) toRPC(class *bundle.Class, sum classSums, now time.Time) *rpc.ClassStatus {
	s := &rpc.ClassStatus{
		Class: class.Name, Tier: uint32(class.Tier), Finished: sum.finished, Refused: sum.refused,
		Attainment: float64(sum.attained) / float64(sum.finished),
		Goodput:    float64(sum.attained) / classWindow.Seconds(),
	}
	if !c.belowSince.IsZero() {
		s.BelowTargetMs = max(now.Sub(c.belowSince).Milliseconds(), 1)
	}
	return s
}
