package proxy

import (
	"context"
	"sync"
	"time"

	"heatherbarrow/internal/connends"
	"heatherbarrow/internal/gateway/upstream"
)

// An answer that may not be repeated cannot be verified, nor one for which the retry budget is used up. What cuts many
// connections at once also ends others beside it, and answers that can be verified, which show what became of it.

const (
	// sameMoment is the time within which two answers ended together.
	sameMoment = 20 * time.Millisecond
	// minCutBeside is the number of connections that must have been cut in the moment in which an answer ended: it may have
	// ended beside one by chance.
	minCutBeside = 2
	// besideWait bounds how long an answer waits until others that ended with it are verified.
	besideWait = 500 * time.Millisecond
	// minRunBeside is how long before its end a further run must have been sent to count as cut. A shorter one may have been sent after
	// the cut that it ends beside, as ends near it count before and after it.
	minRunBeside = 2 * connends.NearTime
)

// unframedEnds are the ends of unframed answers that may be verified, while they are.
type unframedEnds struct {
	mu   sync.Mutex
	ends map[*verifiedEnd]struct{}
}

// verifiedEnd is the end of an answer that may be verified.
type verifiedEnd struct {
	at      time.Time
	replica string
	done    chan struct{} // closed once the verification is set
	what    verification
	apart   bool // see connends.EndOfAnswer.Apart; set before done is closed
}

// begin adds an end.
func (u *unframedEnds) begin(replica string, at time.Time) *verifiedEnd {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ends == nil {
		u.ends = make(map[*verifiedEnd]struct{})
	}
	end := &verifiedEnd{at: at, replica: replica, done: make(chan struct{})}
	u.ends[end] = struct{}{}
	return end
}

// settle records what came of the verification of an end, unless that has been recorded. The end is forgotten when no answer can
// be waiting for it any more.
func (u *unframedEnds) settle(end *verifiedEnd, what verification) {
	if end == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if closed(end.done) {
		return
	}
	end.what = what
	close(end.done)
	time.AfterFunc(besideWait, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.ends, end)
	})
}

// at returns the ends that came at the given time.
func (u *unframedEnds) at(t time.Time) (ends []*verifiedEnd) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for end := range u.ends {
		if end.at.Sub(t).Abs() <= sameMoment {
			ends = append(ends, end)
		}
	}
	return ends
}

// cutSuspected reports whether there are signs that connections to replicas which stay are cut.
func (s *Server) cutSuspected() bool {
	now := time.Now()
	signs := s.opts.Client.CutSigns(now)
	return len(signs) > 0 && s.opts.Fleet.Stays(signs, now)
}

// noteUnframedEnd records the end of an answer that may be verified, while connections are cut.
func (e *exchange) noteUnframedEnd(replica string, at time.Time, p *progress) {
	e.settleEnd(verifiedNot)
	e.end = nil
	if e.mayVerify(p) && e.server.cutSuspected() {
		e.end = e.server.unframedEnds.begin(replica, at)
	}
}

// settleEnd records what came of the verification of the end of the request's latest unframed answer.
func (e *exchange) settleEnd(what verification) { e.server.unframedEnds.settle(e.end, what) }

// cutBeside reports whether an answer that cannot be verified ended in the same moment as connections that were cut: one to its replica
// beside others; an end that was verified, beside another one; or, beside any, answers of its replica that ended in the same instant and were
// not found to be whole. It waits until other answers of that moment have been verified.
func (e *exchange) cutBeside(ctx context.Context, seen *upstream.EndOfUnframed, replica string, at time.Time) bool {
	if seen.Near > 0 && seen.Near+seen.NearElsewhere >= minCutBeside {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, besideWait)
	defer cancel()
	part, atOnce := 0, seen.AtOnce
	for _, end := range e.server.unframedEnds.at(at) {
		select {
		case <-end.done:
		case <-ctx.Done():
		}
		if !closed(end.done) {
			continue
		}
		inAtOnce := end.apart && end.replica == replica && end.at.Sub(at).Abs() <= connends.SameInstant
		switch {
		case end.what == verifiedWhole && inAtOnce:
			atOnce--
		case end.what == verifiedPart && !inAtOnce:
			part++
		}
	}
	return part+atOnce > 0 && part+atOnce+max(seen.Ended+seen.Elsewhere, seen.NearElsewhere) >= minCutBeside
}

// cutBesideInTime is cutBeside, and leaves the answer half of its time.
func (e *exchange) cutBesideInTime(ctx context.Context, seen *upstream.EndOfUnframed, replica string, at time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, e.timeLeft(time.Now())/inspectTimeDivisor)
	defer cancel()
	return e.cutBeside(ctx, seen, replica, at)
}

// judgeWhereCut returns what the end of an unframed answer was, as far as ends of other answers tell where connections are cut,
// and lets it tell of others. An answer that verifies a plain one is not verified itself.
func (e *exchange) judgeWhereCut(ctx context.Context, seen endOfAnswer, connections *upstream.EndOfUnframed, replica string, at time.Time, p *progress) endOfAnswer {
	if e.end != nil {
		e.end.apart = connections.Apart
	}
	verified := !p.verifies() && e.mayVerify(p)
	switch {
	case seen == endCut:
		e.settleEnd(verifiedPart)
	case !verified, seen.broken(e.route):
		e.settleEnd(verifiedNot)
	}
	switch {
	case verified, seen.broken(e.route), !e.server.cutSuspected():
	case seen == endNoReply && e.route.Repeatable():
		return endSilence
	case (p.possibleRuns == 1 || at.Sub(e.runSentAt) >= minRunBeside) && e.cutBesideInTime(ctx, connections, replica, at):
		return endCutBeside
	}
	return seen
}
