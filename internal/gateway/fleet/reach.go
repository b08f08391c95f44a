package fleet

import "time"

const (
	// cutOffFailures is the number of different replicas that a host must fail to reach, with no contact to
	// any in between, before it takes itself for cut off. Fewer may have crashed together.
	cutOffFailures = 3
	// ContactTrialInterval is the interval at which a host that seems to be cut off tries to connect to replicas.
	ContactTrialInterval = 250 * time.Millisecond
	// failedTogetherTime is the time in which a partition that resets connections breaks all of them.
	failedTogetherTime = 500 * time.Millisecond
)

// reach is what a host knows of its own links to the replicas.
type reach struct {
	failed    map[string]time.Time // when replicas, by ID, last could not be reached, since the last contact
	contact   Contact              // the last one
	nextTrial time.Time
	confirmed bool // a trial has failed since the last contact
}

// Contact is a sign that this host reaches replicas.
type Contact struct {
	Sign    ContactSign
	Replica string // its ID, or empty if it is not known
	At      time.Time
}

// ContactSign is what showed that this host reaches replicas.
type ContactSign string

// Signs of contact.
const (
	// ContactAnswer is an answer, which may have arrived on a connection that had been open for long.
	ContactAnswer ContactSign = "answer"
	// ContactConnection is a new connection.
	ContactConnection ContactSign = "connection"
)

// recordFailure notes that a replica could not be reached or broke its connection.
func (r *reach) recordFailure(id string, now time.Time) {
	if r.failed == nil {
		r.failed = make(map[string]time.Time)
	}
	r.failed[id] = now
}

// recordContact notes that a replica has accepted a connection or answered.
func (r *reach) recordContact(sign ContactSign, id string, now time.Time) {
	r.contact = Contact{sign, id, now}
	r.confirmed = false
	clear(r.failed)
}

// Reach returns how many replicas this host has not reached since the last contact to any, and that contact.
func (f *Fleet) Reach() (unreached int, last Contact) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.reach.failed), f.reach.contact
}

// failedTogether reports whether so many replicas failed just now that this host's links are the likely cause.
func (r *reach) failedTogether(now time.Time) bool {
	n := 0
	for _, at := range r.failed {
		if now.Sub(at) < failedTogetherTime {
			n++
		}
	}
	return n >= cutOffFailures
}

// Others returns up to n replicas other than the one with the given ID, in random order: first those to which this host
// has had no failure lately. Replicas that want no requests of this host are left out; none reports whether there are no
// others at all.
func (f *Fleet) Others(except string, n int, now time.Time) (members []Member, none bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	sound, failed := f.others(now, except)
	for _, replicas := range [][]*replica{sound, failed} {
		for _, i := range f.random.Perm(len(replicas)) {
			if r := replicas[i]; len(members) < n && !now.Before(r.restUntil) {
				members = append(members, r.member)
			}
		}
	}
	return members, len(sound)+len(failed) == 0
}

// others returns the usable replicas other than the one with the given ID, parted by whether this host has had a failure
// with them lately.
func (f *Fleet) others(now time.Time, except string) (sound, failed []*replica) {
	for id, r := range f.replicas {
		if id == except || !r.member.usable(now) {
			continue
		}
		if _, unreached := f.reach.failed[id]; unreached || r.consecutiveFailures > 0 {
			failed = append(failed, r)
		} else {
			sound = append(sound, r)
		}
	}
	return sound, failed
}

// RecordWitness notes that a replica has accepted a connection while one that had failed was still down: that one has
// crashed, and so have others that failed together with it.
func (f *Fleet) RecordWitness() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reach.recordContact(ContactConnection, "", time.Now())
}

// CutOff reports whether this host seems to be partitioned from all replicas. Several that have crashed together look like
// that until others have been tried.
func (f *Fleet) CutOff() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutOff()
}

// cutOff is CutOff with the lock held.
func (f *Fleet) cutOff() bool {
	return len(f.reach.failed) >= cutOffFailures
}

// CutOffConfirmed reports whether this host seems to be cut off and a trial of other replicas has failed too.
func (f *Fleet) CutOffConfirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutOff() && f.reach.confirmed
}

// ContactTrial returns the replicas that this host should try to connect to, if it seems to be cut off and a trial is due. The
// first trial is of as many as have failed, of others if there are any, as those that failed may have crashed. The caller
// reports the outcome to RecordContactTrial.
func (f *Fleet) ContactTrial(now time.Time) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.cutOff() || now.Before(f.reach.nextTrial) {
		return nil
	}
	f.reach.nextTrial = now.Add(ContactTrialInterval)
	sound, failed := f.others(now, "")
	f.random.Shuffle(len(sound), func(i, j int) { sound[i], sound[j] = sound[j], sound[i] })
	f.random.Shuffle(len(failed), func(i, j int) { failed[i], failed[j] = failed[j], failed[i] })
	candidates, n := append(sound, failed...), cutOffFailures
	if f.reach.confirmed {
		n = 1
		f.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	}
	var members []Member
	for _, r := range candidates[:min(n, len(candidates))] {
		members = append(members, r.member)
	}
	return members
}

// RecordContactTrial records whether a replica of a trial has accepted a connection.
func (f *Fleet) RecordContactTrial(reached bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !reached:
		f.reach.confirmed = f.cutOff()
	case f.reach.confirmed:
		f.contactRestored(now)
	default:
		f.reach.recordContact(ContactConnection, "", now) // those that failed have crashed
	}
}

// RecordContact notes that a replica has accepted a connection. The failures that others have had may have
// been those of this host's links, so that they may be tried again.
func (f *Fleet) RecordContact(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contactRestored(now)
}

// contactRestored is RecordContact with the lock held.
func (f *Fleet) contactRestored(now time.Time) {
	wasCutOff := f.cutOff()
	f.reach.recordContact(ContactConnection, "", now)
	if !wasCutOff {
		return
	}
	for _, r := range f.replicas {
		r.consecutiveFailures, r.consecutiveConnectFailures, r.suspendedUntil = 0, 0, now
	}
	for name := range f.zones {
		f.zones[name] = &zone{}
	}
}

// Delegated returns a lease of a request that another host runs. It has no effect here.
func Delegated() *Lease { return &Lease{ended: true} }
