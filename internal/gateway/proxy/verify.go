package proxy

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/gateway/upstream"
	"heatherbarrow/internal/membudget"
)

// What ends a connection alone, on the way, leaves nothing to see at the end of an unframed answer on it. While there are
// signs that connections are cut, another replica is therefore asked to go on with a stream, or to give a plain answer
// again, if the request may be repeated. Without such signs no answer is verified.

// doubtedEnd is the end of an unframed answer that may have been cut.
type doubtedEnd struct {
	plain   *bufferedResponse // nil for a stream
	memory  *membudget.Account
	others  upstream.EndOfUnframed
	replica string
	at      time.Time
	end     *verifiedEnd // nil if none is recorded
	part    bool         // another replica had more
	late    bool         // another replica had nothing to add, but did not say so at once, see emptyVerifiesNothing
	seen    endOfAnswer
}

// newDoubtedEnd returns the end of the response that has just been read.
func (e *exchange) newDoubtedEnd(replica string) *doubtedEnd {
	d := &doubtedEnd{others: e.record.unframedOthers, replica: replica, at: time.Now(), seen: e.record.unframedEnd}
	if d.end, e.end = e.end, nil; d.end != nil {
		d.at = d.end.at
	}
	return d
}

// verification is what came of the verification of an end.
type verification string

const (
	verifiedWhole verification = "whole"   // another replica had nothing to add
	verifiedPart  verification = "part"    // another replica had more
	verifiedNot   verification = "unknown" // the other replica did not tell in time
	verifyNoRoom  verification = "no_room" // no other replica would accept the request
	verifyUnpaid  verification = "retry_budget"
	verifyBounded verification = "not_allowed" // the request allows no further attempt
)

// verifies reports whether an attempt was sent to verify a plain answer.
func (p *progress) verifies() bool { return p.doubted != nil && p.doubted.plain != nil }

// doubts reports whether an unframed response that seems to be complete may have been cut and can be verified.
func (e *exchange) doubts(response *upstream.Response, p *progress) bool {
	if !response.Unframed || p.verifies() || !e.mayVerify(p) {
		return false
	}
	return e.server.cutSuspected()
}

// mayVerify reports whether the request may be sent to another replica to verify the end of its answer. The host that has
// delegated a request decides on its further attempts.
func (e *exchange) mayVerify(p *progress) bool {
	if e.delegation != nil || (e.route.Kind == routing.Streaming || p.headerSent) && !p.mayContinue() {
		return false
	}
	return e.route.Repeatable() && p.possibleRuns < e.maxAttempts() && p.triedReplicas < maxTriedReplicas && !e.abandoned() &&
		e.timeLeft(time.Now()) >= minTimeLeft
}

// doubtPlain ends an attempt whose plain answer may have been cut.
func (e *exchange) doubtPlain(answer *bufferedResponse, response *upstream.Response, lease *fleet.Lease, p *progress) attemptResult {
	p.doubted = e.newDoubtedEnd(lease.Member.ID)
	p.doubted.plain, p.doubted.memory = answer, response.TakeMemory()
	return attemptDoubted
}

// answerVerified answers the caller with the answer of the replica that was asked again, or with the doubted one if that is
// longer and the later one may have been cut as well.
func (e *exchange) answerVerified(later *bufferedResponse, response *upstream.Response, p *progress) {
	d := p.doubted
	switch {
	case len(later.body) > len(d.plain.body):
		e.notePart(d)
	case response.Unframed:
		later = d.plain
	}
	e.sendBuffered(later)
}

// notePlainPart records that a doubted plain answer was cut if a later one, which may be incomplete itself, is longer.
func (e *exchange) notePlainPart(later []byte, status int, reply routing.Reply, p *progress) {
	if p.verifies() && reply.Sealed && status < http.StatusMultipleChoices && len(later) > len(p.doubted.plain.body) {
		e.notePart(p.doubted)
	}
}

// notePart records that a doubted answer was cut.
func (e *exchange) notePart(d *doubtedEnd) {
	if d == nil || d.part {
		return
	}
	d.part = true
	e.server.unframedEnds.settle(d.end, verifiedPart)
	e.record.verified = verifiedPart
}

// doubtStream ends an attempt whose stream ended in order, as a cut one would.
func (e *exchange) doubtStream(response *upstream.Response, lease *fleet.Lease, p *progress) attemptResult {
	response.MarkComplete()
	e.endServed(response, lease)
	p.doubted = e.newDoubtedEnd(lease.Member.ID)
	return attemptDoubted
}

// emptyVerifiesNothing reports whether a continuation without events, which is to verify the end of a stream, may have been cut
// before its first event. A replica that has nothing to add mostly ends it together with its head; if it ends later, one more
// replica is asked.
func (e *exchange) emptyVerifiesNothing(response *upstream.Response, p *progress) bool {
	if p.doubted == nil || p.emptyBefore || !response.Unframed || !e.record.unframedOthers.Apart {
		return false
	}
	p.emptyBefore, p.doubted.late = true, true
	return true
}

// attemptVerified is attemptOnce, and verifies the answer if its end is doubted.
func (e *exchange) attemptVerified(ctx context.Context, p *progress) (result attemptResult, ended bool) {
	result, ended = e.attemptOnce(ctx, p)
	if result == attemptDoubted {
		result = e.verify(ctx, p)
	}
	return result, ended
}

// verify lets another replica show whether a doubted answer is whole, and answers the caller. If none does, the answer
// counts as whole unless it ended beside others that were cut or its replica gave no sign of life afterwards. The result is
// attemptDone, or that of an attempt that went on with the stream and broke off.
func (e *exchange) verify(ctx context.Context, p *progress) attemptResult {
	defer func() { e.dropDoubted(p) }()
	failure := verification("")
	for ctx.Err() == nil {
		h := p.openOffer()
		if p.next != nil {
			break
		}
		if h == nil {
			var lease *fleet.Lease
			if lease, failure = e.pickVerifier(ctx, p); lease == nil {
				break
			}
			h = e.beginHandover(ctx, lease, e.upstreamRequest(lease, p))
		}
		doubted, events := p.doubted, p.events
		result := e.verifyAt(ctx, h, p)
		p.exclude = append(p.exclude, h.lease.Member.ID)
		switch {
		case p.events > events:
			if result != attemptDoubted {
				return result
			}
			continue // the end of the continuation is doubted
		case result == attemptDone:
			if !doubted.part {
				e.settleWhole(doubted.end)
			}
			return attemptDone
		case result == attemptNotRun, e.record.unframedEnd.broken(e.route), result == attemptMayHaveRun && !p.gaveUp, result == attemptDoubted:
			continue // the latter two were cut as well, or lost their connection
		}
		failure = verifiedNot
		break
	}
	if p.next != nil {
		return attemptMayHaveRun // an attempt goes on with the request
	}
	if p.doubted.late && !p.doubted.part {
		e.settleWhole(p.doubted.end)
		e.server.opts.Origins.Complete(e.firstAttemptID())
		return attemptDone
	}
	if e.record.verified == "" {
		e.record.verified = cmp.Or(failure, verifiedNot)
	}
	e.server.unframedEnds.settle(p.doubted.end, verifiedNot)
	cut := p.doubted.part || p.doubted.seen == endNoReply || e.cutBesideInTime(ctx, &p.doubted.others, p.doubted.replica, p.doubted.at)
	switch {
	case cut && p.doubted.plain != nil:
		e.failUnknown(http.StatusBadGateway, "no_answer")
	case cut:
		e.abortResponse()
	case p.doubted.plain != nil:
		e.sendBuffered(p.doubted.plain)
	default:
		e.server.opts.Origins.Complete(e.firstAttemptID())
	}
	return attemptDone
}

// settleWhole records that a doubted answer is whole.
func (e *exchange) settleWhole(end *verifiedEnd) {
	e.server.unframedEnds.settle(end, verifiedWhole)
	e.record.verified = verifiedWhole
}

// pickVerifier picks a replica to verify the end of an answer. Without one it returns the reason.
func (e *exchange) pickVerifier(ctx context.Context, p *progress) (*fleet.Lease, verification) {
	s := e.server
	p.settleOrigin(ctx)
	if !e.mayVerify(p) {
		return nil, verifyBounded
	}
	if !s.opts.Fleet.Available(e.fleetRequest(e.record.upstream, p), time.Now()) {
		return nil, verifyNoRoom
	}
	if !e.payVerification(p) {
		return nil, verifyUnpaid
	}
	lease, refusal := s.opts.Fleet.Pick(e.fleetRequest(e.record.upstream, p), time.Now())
	if refusal != nil {
		return nil, verifyNoRoom
	}
	return lease, ""
}

// payVerification takes an attempt that verifies the end of an answer out of the retry budget, unless it is paid for already. A
// part of the budget is kept for requests that have no answer, and for answers that ended beside others.
func (e *exchange) payVerification(p *progress) bool {
	allow := e.server.opts.Budget.AllowRejected
	if others := &p.doubted.others; others.Near+others.NearElsewhere+others.AtOnce > 0 {
		allow = e.server.opts.Budget.Allow
	}
	if p.paidAttempts <= p.sentAttempts && !allow(e.record.upstream) {
		return false
	}
	p.paidAttempts = p.sentAttempts + 1
	return true
}

// openOffer takes the attempt that has begun beside the one with a doubted plain answer, which it verifies. It returns nil if there is
// none at a replica.
func (p *progress) openOffer() *handover {
	if p.doubted.plain == nil || p.next == nil || p.next.helper != "" {
		return nil
	}
	h := p.next
	p.next = nil
	return h
}

// verifyAt forwards what the attempt that has begun at another replica adds. It is given up if nothing comes in time.
func (e *exchange) verifyAt(ctx context.Context, h *handover, p *progress) attemptResult {
	lease := h.lease
	e.noteAttempt(lease, p)
	defer h.cancel()
	events := p.events
	given := attemptSoFar(p, lease)
	w := &watchdog{awaiting: true, ctx: h.ctx, cancel: h.cancel, before: given, after: given}
	w.handOver = func(q *progress, revived <-chan struct{}) (*handover, bool) {
		if q.events > events {
			return e.handOver(ctx, q, revived)
		}
		lease.End(fleet.Abandoned, time.Now())
		return nil, true
	}
	w.timer = time.AfterFunc(unsetTimerDelay, w.expired) // expired uses the timer
	w.timer.Reset(e.verifyTime())
	defer w.stop()
	<-h.done
	return e.forward(h.startedAt, h.response, h.err, lease, p, w)
}

// verifyTime bounds how long the caller waits for the first sign that its answer goes on: for a stream as long as for the
// next event of a silent replica, otherwise as long as the answer took.
func (e *exchange) verifyTime() time.Duration {
	now := time.Now()
	usual := now.Sub(e.arrived)
	if e.route.Kind == routing.Streaming {
		usual = time.Duration(stallTimeoutGaps * float64(e.route.GapTarget))
	}
	return min(max(usual, minResponseTimeout), e.timeLeft(now)/inspectTimeDivisor)
}

// dropDoubted forgets a doubted answer.
func (e *exchange) dropDoubted(p *progress) {
	if p.doubted != nil {
		e.server.unframedEnds.settle(p.doubted.end, verifiedNot)
		p.doubted.memory.Close()
		p.doubted = nil
	}
}
