package connends

import (
	"maps"
	"slices"
	"time"
)

// What ends a connection alone shows at no other connection in the same moment. But it also ends connections that no
// replica ends by itself in this way, and these are signs that other ends may be its work, too.

const (
	// suspicionTime is how long a sign tells that something on the way ends connections.
	suspicionTime = 10 * time.Second
	// minSigns is the number of moments with signs, or of addresses, that suggest it: a process that ends loses its
	// connections in one moment and at one address.
	minSigns = 2
	// NearTime is the time within which the ends of connections arrive if a busy proxy cut them together.
	NearTime = 60 * time.Millisecond
	// SameInstant is the accuracy of the dates of ends, which the kernel counts in steps of 4 ms.
	SameInstant = 5 * time.Millisecond
)

// CutSigns returns the addresses with a connection that ended lately, in order, as no sound replica that goes on ends it:
// before the time that it stated, before it had answered a request, or within an answer. It returns none if all such ends came
// in one moment at one address.
func (e *Tracker) CutSigns(now time.Time) (addresses []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pruneSigns(now)
	if len(e.signMoments) < minSigns && len(e.signs) < minSigns {
		return nil
	}
	return slices.Collect(maps.Keys(e.signs))
}

// pruneSigns forgets signs that are long past. The caller holds e.mu.
func (e *Tracker) pruneSigns(now time.Time) {
	past := func(at time.Time) bool { return now.Sub(at) > suspicionTime }
	maps.DeleteFunc(e.signs, func(_ string, at time.Time) bool { return past(at) })
	e.signMoments = slices.DeleteFunc(e.signMoments, past)
}

// NoteCutSign records that an answer from the address, whose connection ended in order at the given time, was not complete.
func (e *Tracker) NoteCutSign(address string, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noteSign(address, at)
}

// near returns the number of connections that ended near the given time, of those that would have lived on, and the number of those
// that ended in the same instant with their answers, but later than the last bytes of these.
func near(ends []connEnd, at time.Time) (unexpected, atOnce int) {
	for _, end := range ends {
		after := end.at.Sub(at).Abs()
		switch {
		case end.expected && end.apart && after <= SameInstant:
			atOnce++
		case !end.expected && !end.atWill && after <= NearTime:
			unexpected++
		}
	}
	return unexpected, atOnce
}

// noteEnd records the end of a connection if it is a sign. The caller holds e.mu.
func (e *Tracker) noteEnd(address string, end *connEnd) {
	if !end.expected && !end.atWill {
		e.noteSign(address, end.at)
	}
}

// noteSign records a sign. The caller holds e.mu.
func (e *Tracker) noteSign(address string, at time.Time) {
	if e.signs == nil {
		e.signs = make(map[string]time.Time)
	}
	if at.After(e.signs[address]) {
		e.signs[address] = at
	}
	known := func(moment time.Time) bool { return at.Sub(moment).Abs() <= endedTogetherTime }
	if !slices.ContainsFunc(e.signMoments, known) {
		e.signMoments = append(e.signMoments[max(len(e.signMoments)-maxEnds+1, 0):], at)
	}
}
