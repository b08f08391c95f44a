package proxy

import (
	"context"
	"strconv"
	"sync"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/upstream"
)

const (
	// minGapsShownTwice is the number of gaps that two replicas must have shown alike before gaps count as larger steps: two
	// replicas may lose the same event by chance.
	minGapsShownTwice = 3
	// unevenKnownTime is the time after which that must be shown once more.
	unevenKnownTime = 10 * time.Minute
)

// idSteps is what is known of the numbers by which the IDs of a stream's events rise. Only rising IDs are promised: they may
// count tokens, of which an event has several. But where IDs that have risen evenly have a gap, an event may be missing, and
// another replica may send it.
type idSteps struct {
	even   int64 // of all events so far: one, or seen twice; 0 if not known
	uneven bool  // the steps differ, so that none of them shows anything
}

// sequence is the relation of an event to those before it.
type sequence int

const (
	inSequence    sequence = iota
	unconfirmed            // the next event shows whether one is missing before this one
	missingBefore          // an event seems to be missing before this one or before the unconfirmed one
	outOfSequence          // the event comes again or late, or has no ID where it must have one
)

// unconfirmedEvent is an event that is held back until the next one shows whether the caller may have it.
type unconfirmedEvent struct {
	upstream.Event
	step      int64
	continues bool // it is the replica's first event, and the caller has others
}

// follow judges the step to an event. before is the step to the unconfirmed event before it, or 0 if there is none.
func (s *idSteps) follow(step, before int64) sequence {
	switch {
	case step <= 0:
		return outOfSequence
	case before > 0:
		return s.confirm(before, step)
	case s.uneven:
		return inSequence
	case s.even == 0 && step > 1:
		return unconfirmed
	case s.even == 0:
		s.even = step // IDs that count events rise by one
	case step > s.even && step%s.even == 0:
		return missingBefore
	case step != s.even:
		s.even, s.uneven = 0, true
	}
	return inSequence
}

// confirm judges the first two steps, of which the first is more than one.
func (s *idSteps) confirm(first, second int64) sequence {
	switch {
	case first == second:
		s.even = first
	case first%second == 0:
		return missingBefore
	default:
		s.uneven = true
	}
	return inSequence
}

// judge judges an event of a replica that has sent the given event before it, which is held back, or nil. begun means that
// the replica has sent any event of the stream. The first event of a continuation must have an ID: one without could be anything
// that a faulty replica sends. IDs that are not numbers have no order.
func (p *progress) judge(id string, held *unconfirmedEvent, begun bool) (sequence, int64) {
	lastID, before := p.lastEventID, int64(0)
	if held != nil {
		lastID, before = held.ID, held.step
	}
	last, err := strconv.ParseInt(lastID, 10, 64)
	if err != nil {
		return inSequence, 0
	}
	next, err := strconv.ParseInt(id, 10, 64)
	switch {
	case err != nil && (!begun || held != nil && held.continues):
		return outOfSequence, 0
	case err != nil:
		return inSequence, 0
	}
	step := next - last
	return p.idSteps.follow(step, before), step
}

// gapKey names the replicas whose streams have IDs of one kind.
type gapKey struct{ upstream, version string }

// gapHistory is what came of gaps after which another replica went on with the stream.
type gapHistory struct {
	shownTwice int // less those that the other replica closed; 0 at least
	latest     time.Time
}

// gapHistories are those of all replicas.
type gapHistories struct {
	mu        sync.Mutex
	histories map[gapKey]*gapHistory
}

// note records whether the replica that went on with a stream showed the gap that the one before it had shown.
func (g *gapHistories) note(key gapKey, shownTwice bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.histories[key]
	switch {
	case h == nil && !shownTwice:
		return
	case h == nil:
		if g.histories == nil {
			g.histories = make(map[gapKey]*gapHistory)
		}
		h = &gapHistory{}
		g.histories[key] = h
	}
	if !shownTwice {
		h.shownTwice = max(h.shownTwice-1, 0)
		return
	}
	h.shownTwice, h.latest = min(h.shownTwice+1, minGapsShownTwice), now
}

// uneven reports whether gaps are larger steps, as far as is known.
func (g *gapHistories) uneven(key gapKey, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.histories[key]
	if h == nil || h.shownTwice < minGapsShownTwice {
		return false
	}
	if now.Sub(h.latest) > unevenKnownTime {
		h.shownTwice--
		return false
	}
	return true
}

// followStream judges an event like progress.judge. Where one seems to be missing before it, another replica is to go on with the
// stream, unless the gap is known to be a larger step, or the service has no other replica: to break the stream off brings
// nobody the event then, and a sound stream would break off at each try. A replica that goes on with a stream may do so at the
// wrong event, so that its first step passes only if it is known to be one.
func (e *exchange) followStream(id string, held *unconfirmedEvent, begun bool, lease *fleet.Lease, p *progress) (sequence, int64) {
	follows, step := p.judge(id, held, begun)
	if lease.Member.ID == "" {
		return follows, step // another host sent the event, and its replica is not known
	}
	now, key := time.Now(), gapKey{upstream: lease.Member.Upstream, version: lease.Member.SoftwareVersion}
	continues := !begun || held != nil && held.continues
	if continues && follows != unconfirmed && p.gapAfter != "" && p.gapAfter == p.lastEventID {
		e.server.gaps.note(key, follows == missingBefore, now)
		p.gapAfter = ""
	}
	switch {
	case follows != missingBefore:
		return follows, step
	case e.server.gaps.uneven(key, now), !continues && e.onlyReplica(lease, p):
		p.idSteps = idSteps{uneven: true}
		return inSequence, step
	case !continues:
		p.gapAfter = p.lastEventID
	}
	return missingBefore, step
}

// onlyReplica reports whether the service has no replica but that of the lease, of any software version. As others may have joined since
// this host's last news of them, it reads the registrations first.
func (e *exchange) onlyReplica(lease *fleet.Lease, p *progress) bool {
	others := e.fleetRequest(lease.Member.Upstream, p)
	others.SoftwareVersion, others.Exclude = nil, []string{lease.Member.ID}
	s := e.server
	if !s.registrationsCurrent() || s.opts.Fleet.OthersMayServe(others, time.Now()) {
		return false
	}
	if s.opts.RefreshRegistrations == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(e.r.Context(), findOriginTimeout)
	defer cancel()
	return s.opts.RefreshRegistrations(ctx) == nil && !s.opts.Fleet.OthersMayServe(others, time.Now())
}
