package poisonpart

import (
	"slices"
	"time"
)

// Explains reports whether a quarantined part was in flight in the crash of a replica at about the given
// time, or at any time if that is zero.
func (t *Tracker) Explains(replica uint64, at time.Time) bool {
	return slices.ContainsFunc(t.upheld, func(e *localEntry) bool {
		return slices.ContainsFunc(e.Crashes, func(c Crash) bool {
			return c.Replica == replica && (at.IsZero() || c.same(Crash{Replica: replica, At: at}))
		})
	})
}

// hasCause reports whether a part that another Tracker quarantines explains the crash.
func (t *Tracker) hasCause(c Crash) bool {
	return t.causes != nil && t.causes.Explains(c.Replica, c.At)
}

// isUpheld reports whether the crashes of a quarantined entry have no other cause that was found later: a part that
// another Tracker quarantines, or one here that crashed as many replicas without the entry's part.
func (t *Tracker) isUpheld(e *localEntry) bool {
	count := 0
	for _, c := range e.Crashes {
		explains := func(o *localEntry) bool {
			return o != e && slices.ContainsFunc(o.Crashes, c.same) && t.crashesWithout(o, e) >= t.crashLimit
		}
		if !t.hasCause(c) && !slices.ContainsFunc(t.quarantined, explains) {
			count++
		}
	}
	return count >= min(t.crashLimit, len(e.Crashes))
}

// OutweighedBy returns the parts that were in flight in a crash of the given part too, and in more crashes: of two
// that share some, the one with more is the likely cause, and a part that is not the cause is soon found sound.
func (t *Tracker) OutweighedBy(part uint64, c Crash) (out []uint64) {
	e, ok := t.entries.Peek(part)
	if !ok {
		return nil
	}
	for _, o := range t.entries.Values() {
		if o != e && slices.ContainsFunc(o.Crashes, c.same) && t.crashesWithout(o, e) > t.crashesWithout(e, o) {
			out = append(out, o.Part)
		}
	}
	return out
}

// crashesWithout counts the crashes of an entry in which the other's part was not in flight.
func (t *Tracker) crashesWithout(e, other *localEntry) (count int) {
	for _, c := range e.Crashes {
		if !slices.ContainsFunc(other.Crashes, c.same) {
			count++
		}
	}
	return count
}

// unexplained counts the crashes of an entry in which neither a quarantined part was in flight nor the
// other suspect. Crashes closer together than crashSeparation count once, or up to maxCrashesTogether or
// maxManyCrashesTogether; those in retries, which followed the others, do so apart from them.
func (t *Tracker) unexplained(e, other *localEntry) int {
	count, together, inRetries := 0, 0, false
	var first time.Time // of the crashes that came together
	for _, c := range e.Crashes {
		inFlight := func(o *localEntry) bool { return o != e && slices.ContainsFunc(o.Crashes, c.same) }
		if t.hasCause(c) || slices.ContainsFunc(t.upheld, inFlight) ||
			other != nil && other != e && slices.ContainsFunc(other.Crashes, c.explainedBy) {
			continue
		}
		switch {
		case count == 0 || c.At.Sub(first) >= t.separation || c.Retried && !inRetries:
			first, together, inRetries = c.At, 1, c.Retried
		case together < t.maxTogether(e, first) && t.completed.After(c.At):
			together++
		default:
			continue
		}
		count++
	}
	return count
}

// maxTogether returns how often the crashes of an entry around a time count: once in an outage, unless many of them have
// a part without answers in common. A sound part that is in flight on many replicas is soon answered by the others.
func (t *Tracker) maxTogether(e *localEntry, at time.Time) int {
	near := 0
	for _, c := range e.Crashes {
		if c.At.Sub(at).Abs() < t.separation {
			near++
		}
	}
	outage := t.outage(e, at)
	many := t.together != t.many && near >= minManyCrashes && t.lacksAnswers(e)
	switch {
	case many && (!outage || t.answers >= e.answers+minAnswersSinceOutage):
		return t.many
	case many || !outage:
		return t.together
	default:
		return 1
	}
}

// lacksAnswers reports whether this host knows of no complete answer to a request with the entry's part, at any time,
// although it has completed others since the latest crash.
func (t *Tracker) lacksAnswers(e *localEntry) bool {
	return t.answers >= e.answers+minAnswersSinceCrash && e.Released == 0 && !t.sound.Contains(e.Part)
}

// Knows reports whether a crash is known with any part.
func (t *Tracker) Knows(c Crash) bool { return slices.ContainsFunc(t.known, c.same) }

// CrashedSince reports whether a crash of the replica at or after the given time is known, with any part.
func (t *Tracker) CrashedSince(replica uint64, since time.Time) bool {
	return slices.ContainsFunc(t.known, func(c Crash) bool { return c.Replica == replica && !c.At.Before(since) })
}

// outage reports whether a replica crashed within crashSeparation of the given time without the entry's part.
func (t *Tracker) outage(e *localEntry, at time.Time) bool {
	return slices.ContainsFunc(t.known, func(c Crash) bool {
		return c.At.Sub(at).Abs() < t.separation && !slices.ContainsFunc(e.Crashes, c.same)
	})
}

// blames reports whether an entry has enough crashes that none of the others explains alone. Several
// others together do not count as an explanation: each of them would have to be a poison part, which is
// less likely than one that all crashes have in common.
func (t *Tracker) blames(e *localEntry, others []*localEntry) bool {
	if t.unexplained(e, nil) < t.crashLimit {
		return false
	}
	return !slices.ContainsFunc(others, func(o *localEntry) bool { return t.isAlternative(o, e) })
}

// isAlternative reports whether another suspect explains the crashes of an entry so well that the entry is not to
// blame. One that has no crash apart from the entry, and no more than half of the entry's, explains them less well than
// the entry explains those of both, unless requests with the entry's part have been answered.
func (t *Tracker) isAlternative(other, e *localEntry) bool {
	left := t.unexplained(e, other)
	if left >= t.crashLimit {
		return false
	}
	contained := left >= minRepeatedCrashes && left >= t.unexplained(e, nil)-left && t.crashesWithout(other, e) == 0
	return !contained || !t.lacksAnswers(e)
}

// others returns the repeated suspects but e.
func (t *Tracker) others(e *localEntry) []*localEntry {
	return slices.DeleteFunc(slices.Clone(t.repeated), func(o *localEntry) bool { return o == e })
}

// classify removes expired entries, and quarantines the suspects whose crashes no other suspect
// explains. It returns those.
func (t *Tracker) classify(now time.Time) (quarantined []uint64) {
	t.changes++
	t.quarantined, t.numerous = t.quarantined[:0], t.numerous[:0]
	for _, part := range t.entries.Keys() {
		e, _ := t.entries.Peek(part)
		switch {
		case !now.Before(e.Expires):
			t.entries.Remove(part)
		case e.Quarantined:
			t.entries.Get(part) // other suspects must not displace it
			t.quarantined = append(t.quarantined, e)
		case len(e.Crashes) >= minManyCrashes:
			t.numerous = append(t.numerous, e)
		}
	}
	for {
		t.upheld = t.upheld[:0]
		for _, e := range t.quarantined {
			if t.isUpheld(e) {
				t.upheld = append(t.upheld, e)
			}
		}
		t.repeated = t.repeated[:0]
		for _, e := range t.entries.Values() {
			if !e.Quarantined && t.unexplained(e, nil) >= minRepeatedCrashes {
				t.repeated = append(t.repeated, e)
			}
		}
		i := slices.IndexFunc(t.repeated, func(e *localEntry) bool { return t.blames(e, t.others(e)) })
		if i < 0 {
			return quarantined
		}
		e := t.repeated[i]
		e.Quarantined, e.changedAt, e.Expires = true, now, now.Add(t.duration)
		t.quarantined = append(t.quarantined, e)
		quarantined = append(quarantined, e.Part)
	}
}
