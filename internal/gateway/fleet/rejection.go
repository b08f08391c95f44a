package fleet

import "time"

const (
	// initialRejectionBackOff is how long other replicas are preferred after a first rejection. It doubles with
	// each further one up to maxRejectionLevel.
	initialRejectionBackOff = 100 * time.Millisecond
	maxRejectionLevel       = 6 // 3.2 s
)

// rejections is what this host knows of the requests that a replica rejected without running them. Such a replica
// has room for no more, whatever this host knows of its load, and answers faster than any other: by its load alone
// it looks idle.
type rejections struct {
	level   int       // rises with each rejection, halves with each request accepted; 0 for a replica that accepts
	last    time.Time // latest rejection
	retryAt time.Time // when the replica should get a request again
	trial   *Lease    // request that shows whether the replica accepts again
}

// rejecting reports whether the replica is likely to reject a request: its back-off has not ended, or another
// request is trying.
func (r *rejections) rejecting(now time.Time) bool {
	return r.backingOff(now) || r.level > 0 && r.trial != nil
}

// backingOff reports whether the replica's back-off has not ended.
func (r *rejections) backingOff(now time.Time) bool { return r.level > 0 && now.Before(r.retryAt) }

// start notes a request sent to the replica.
func (r *rejections) start(l *Lease) {
	if r.level > 0 && r.trial == nil {
		r.trial = l
	}
}

// rejected notes that the replica rejected a request. Requests sent before an earlier rejection show nothing new.
func (r *rejections) rejected(l *Lease, now time.Time) {
	if l.started.After(r.last) || r.level == 0 {
		r.level = min(r.level+1, maxRejectionLevel)
		r.last, r.retryAt = now, now.Add(initialRejectionBackOff<<(r.level-1))
	}
	r.ended(l)
}

// accepted notes that the replica has begun to run a request.
func (r *rejections) accepted(l *Lease) {
	if !l.accepted && l.started.After(r.last) {
		r.level /= 2
	}
	l.accepted = true
	r.ended(l)
}

// ended notes that a request shows nothing more.
func (r *rejections) ended(l *Lease) {
	if r.trial == l {
		r.trial = nil
	}
}
