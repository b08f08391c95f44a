package scaling

import (
	"math"
	"time"
)

const (
	// demandBucket is the time over which demand is averaged. Bursts last several seconds, and a single view may catch
	// requests that happen to coincide.
	demandBucket = time.Second
	// minPeakWindow is the least time for which a peak counts as demand: bursts recur within 10 s.
	minPeakWindow = 15 * time.Second
	// peakWindowBoots is that time in boot times. Where replicas boot slowly, a burst that recurs later still comes before those
	// that are ordered for it.
	peakWindowBoots = 2
	// maxPeakWindow bounds it, and with it the memory for the demand of each second.
	maxPeakWindow = 10 * time.Minute
	// usualWindow is the time over which the usual load is averaged. It spans several periods of demand that oscillates
	// within about 10 s, and several bursts.
	usualWindow = 30 * time.Second
	// learningTime is how long demand must have been observed before it replaces the load that the deployment's size
	// suggests. It spans two periods between bursts.
	learningTime = 20 * time.Second
	// idleTime is how long a deployment must have had no demand at all before it is taken to need none. One that has just
	// been set up is about to get its first requests.
	idleTime = 2 * time.Minute
	// minDemand is the demand, in replicas, from which requests count as arriving.
	minDemand = 0.05
	// maxRefusedShare bounds the share of refusals that demand is corrected for, as callers send refused requests again.
	maxRefusedShare = 0.6
)

// bucket is the mean demand over a short time.
type bucket struct {
	start   time.Time
	samples int
	total   float64            // sum over the samples
	zones   map[string]float64 // likewise, by zone
}

// demand is the recent demand in replicas' worth of work.
type demand struct {
	buckets []bucket      // oldest first
	window  time.Duration // in which a peak counts
	since   time.Time     // when demand was first observed; zero before that
	watched time.Time     // when the first view was observed
}

// observe adds a complete view.
func (d *demand) observe(v *View, boot time.Duration, now time.Time) {
	d.window = min(max(minPeakWindow, peakWindowBoots*boot), maxPeakWindow)
	if d.watched.IsZero() {
		d.watched = now
	}
	scale := 1.0
	if v.Refused > 0 {
		scale = 1 / (1 - min(v.Refused, maxRefusedShare))
	}
	total := 0.0
	for i := range v.Zones {
		total += scale * v.Zones[i].busy()
	}
	if d.since.IsZero() {
		if total < minDemand {
			return
		}
		d.since = now
	}
	if n := len(d.buckets); n == 0 || now.Sub(d.buckets[n-1].start) >= demandBucket {
		d.buckets = append(d.buckets, bucket{start: now, zones: make(map[string]float64, len(v.Zones))})
	}
	b := &d.buckets[len(d.buckets)-1]
	b.samples++
	b.total += total
	for i := range v.Zones {
		b.zones[v.Zones[i].Zone] += scale * v.Zones[i].busy()
	}
	for len(d.buckets) > 0 && now.Sub(d.buckets[0].start) > max(usualWindow, d.window) {
		d.buckets = d.buckets[1:]
	}
}

// learned reports whether the demand has been observed for long enough to go by it alone.
func (d *demand) learned(now time.Time) bool {
	if d.since.IsZero() {
		return !d.watched.IsZero() && now.Sub(d.watched) >= idleTime
	}
	return now.Sub(d.since) >= learningTime
}

// usual returns the mean demand of a zone.
func (d *demand) usual(zone string, now time.Time) float64 {
	sum, n := 0.0, 0
	for i := range d.buckets {
		if b := &d.buckets[i]; now.Sub(b.start) <= usualWindow {
			sum += b.zones[zone] / float64(b.samples)
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// peak returns the highest recent demand of all zones together.
func (d *demand) peak(now time.Time) float64 {
	peak := 0.0
	for i := range d.buckets {
		if b := &d.buckets[i]; now.Sub(b.start) <= d.window {
			peak = math.Max(peak, b.total/float64(b.samples))
		}
	}
	return peak
}
