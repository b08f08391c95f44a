package origin

import "time"

// SetInUse sets the versions of all upstreams that have registered replicas.
func (t *Tracker) SetInUse(inUse map[Origin]bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for o := range t.inUse {
		t.lastInUse[o] = now
	}
	added := false
	for o := range inUse {
		added = t.addVersion(Version{Origin: o}, now) || added
	}
	t.inUse = inUse
	if t.completeFrom.IsZero() {
		t.completeFrom = now.Add(Retention)
	}
	if added {
		t.reportAll(now)
	}
}

// addVersion notes that a version is or was in use, and returns true if it was not known.
func (t *Tracker) addVersion(v Version, now time.Time) (added bool) {
	if v.Unused > Retention {
		return false
	}
	last, known := t.lastInUse[v.Origin]
	if at := now.Add(-v.Unused); !known || at.After(last) {
		t.lastInUse[v.Origin] = at
	}
	return !known
}

// SetStoreLost tells whether this host has lost the store. Meanwhile others may have lost it too. As only the store shows that
// there is no further version, they cannot infer the origins of streams.
func (t *Tracker) SetStoreLost(lost bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.storeLost == lost {
		return
	}
	if t.storeLost = lost; lost {
		t.reportAll(now)
	}
}

// MissVersions notes that versions may have come and left unnoticed. Until AddEarlier adds them, Only returns none.
func (t *Tracker) MissVersions(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.miss(now)
}

func (t *Tracker) miss(now time.Time) {
	t.completeFrom = now.Add(Retention)
	t.missed++
	select {
	case t.missedSignal <- struct{}{}:
	default: // the last value has not been received yet
	}
}

// LoseVersions notes that versions may have come and left that nobody can read any more, as the store has lost what hosts
// wrote. Others cannot infer origins either until the streams of that time are over.
func (t *Tracker) LoseVersions(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.miss(now)
	t.lostUntil = t.completeFrom
	t.reportAll(now)
}

// Missed returns how often MissVersions and LoseVersions were called, and a channel that receives a value when that changes.
func (t *Tracker) Missed() (count uint64, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.missed, t.missedSignal
}

// AddEarlier adds versions that were in use before this host started, or while it missed some. With complete set, they are
// all that there were.
func (t *Tracker) AddEarlier(versions []Origin, complete bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	earlier := make([]Version, len(versions))
	for i, o := range versions {
		earlier[i].Origin = o
	}
	t.addVersions(earlier, now)
	if !t.isLoaded {
		t.isLoaded = true
		close(t.loaded)
	}
	if complete && !now.Before(t.lostUntil) && (t.completeFrom.IsZero() || now.Before(t.completeFrom)) {
		t.completeFrom = now
	}
}

// AddVersions adds versions that other hosts or the store's history tell of.
func (t *Tracker) AddVersions(versions []Version, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addVersions(versions, now)
}

func (t *Tracker) addVersions(versions []Version, now time.Time) {
	added := false
	for _, v := range versions {
		added = t.addVersion(v, now) || added
	}
	if added {
		t.reportAll(now)
	}
}

// Recent returns the versions of all upstreams that are in use or were within Retention.
func (t *Tracker) Recent(now time.Time) (out []Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for o, at := range t.lastInUse {
		switch {
		case t.inUse[o]:
			out = append(out, Version{Origin: o})
		case t.recent(o, now):
			out = append(out, Version{Origin: o, Unused: now.Sub(at)})
		}
	}
	return out
}

// VersionsComplete reports whether Recent holds all versions that may have begun a stream which can still be taken up.
func (t *Tracker) VersionsComplete(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.complete(now)
}

func (t *Tracker) complete(now time.Time) bool {
	return !t.completeFrom.IsZero() && !now.Before(t.completeFrom)
}

// Versions returns the origins of Recent.
func (t *Tracker) Versions(now time.Time) map[Origin]bool {
	out := make(map[Origin]bool)
	for _, v := range t.Recent(now) {
		out[v.Origin] = true
	}
	return out
}

// recent reports whether the version is in use or was within Retention, and forgets it otherwise.
func (t *Tracker) recent(o Origin, now time.Time) bool {
	at, known := t.lastInUse[o]
	switch {
	case t.inUse[o]:
		return true
	case known && now.Sub(at) > Retention:
		delete(t.lastInUse, o)
		return false
	}
	return known
}

// versionCount returns the number of versions of an upstream that are in use or were within Retention.
func (t *Tracker) versionCount(upstream string, now time.Time) (n int) {
	for o := range t.lastInUse {
		if o.Upstream == upstream && t.recent(o, now) {
			n++
		}
	}
	return n
}

// severalVersions reports whether the origin's upstream has another version too.
func (t *Tracker) severalVersions(o Origin, now time.Time) bool {
	for other := range t.lastInUse {
		if other.Upstream == o.Upstream && other.Version != o.Version && t.recent(other, now) {
			return true
		}
	}
	return false
}

// Only returns the origin of all streams of the given upstreams, if there is just one. It tells nothing of a stream that
// began after the registrations that this host has.
func (t *Tracker) Only(upstreams []string, now time.Time) (only Origin, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.complete(now) {
		return Origin{}, false
	}
	for o := range t.lastInUse {
		for _, upstream := range upstreams {
			if o.Upstream != upstream || !t.recent(o, now) {
				continue
			}
			if ok && o != only {
				return Origin{}, false
			}
			only, ok = o, true
		}
	}
	return only, ok
}
