package proxy

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/gateway/upstream"
)

// An answer with neither a length nor chunks ends with its connection. The kernel closes the connections of a process that
// was killed in the same way as the replica does after the last byte, so that such an answer is known to be complete only
// if its process lived after the end and other connections to it did not end too. That also holds for a process that leaves: it may
// exit before it has ended its answers.

const (
	// maxWitnesses bounds the replicas that are asked. Half of all may have ended together.
	maxWitnesses = 6
	// questionPause is the time until a replica at which nothing answers is asked again, and doubles with each question.
	questionPause = 200 * time.Millisecond
	// streamPatience is how long the replica of a stream that can go on nowhere else is asked. Its caller has all events, and a
	// sound replica may be silent for a second.
	streamPatience = 1500 * time.Millisecond
	// inspectTimeDivisor leaves an answer that must wait for a question the larger part of its time.
	inspectTimeDivisor = 2
	// endsArriveTime is the time within which the ends of connections that something on the way ended together arrive. What
	// ends them may be busy; the caller of a plain answer waits for that time, that of a stream has its events.
	endsArriveTime       = 10 * time.Millisecond
	streamEndsArriveTime = 50 * time.Millisecond
	// maxByteDelay is the time by which the bytes of a process may arrive later than the news of the next one, which has to
	// start and to register first.
	maxByteDelay = 50 * time.Millisecond
)

// endOfAnswer is what was seen at the end of an unframed answer.
type endOfAnswer int

const (
	endLived       endOfAnswer = iota // its process lived afterwards
	endUntold                         // its replica answers and does not tell which process it is
	endNoReply                        // its replica did not answer in time
	endUnreachable                    // nothing answers, at other replicas either if it was refused; see broken
	endOthersOpen                     // nothing answers, while other connections to the replica are open
	endGarbled                        // what answers for the replica sends bytes that are no answer; see broken
	endOutlived                       // nothing answers, and other connections to its process were open for long after the end
	// From here on, the answer may be incomplete.

	endReplaced    // another process answers for the replica
	endDown        // nothing answers for the replica, while others answer
	endOthersEnded // nothing answers, at other replicas either, and the connections to the replica or to all ended together
	endStranger    // what answers for the replica does not tell which process it is, as replicas of its upstream do
	endOfHost      // another host sent it, which marks the end of each answer
	endCut         // its process may live, and other connections to the replica ended with it
	endCutBeside   // its process may live, and other answers that were cut ended with it
	endSilence     // its replica did not answer in time where connections are cut, and no other one is asked
)

// endNames are the values of endOfAnswer in logs and metrics.
var endNames = [...]string{
	endLived: "process_lived", endUntold: "process_untold", endNoReply: "no_reply",
	endUnreachable: "unreachable", endOthersOpen: "connections_open", endGarbled: "answer_garbled", endOutlived: "connections_outlived",
	endReplaced: "process_replaced", endDown: "replica_down",
	endOthersEnded: "connections_ended", endStranger: "stranger_answers", endOfHost: "host_ended", endCut: "connections_cut",
	endCutBeside: "answers_cut", endSilence: "no_reply_where_cut",
}

// broken reports whether an answer on the route counts as incomplete. If nothing answers at any replica, all may have ended
// with the answer, or this host was cut off right after it: only what may be run again is broken then. So it is if bytes that are no
// answer come twice, from the next process or from a faulty one that lives.
func (e endOfAnswer) broken(r *routing.Route) bool {
	return e >= endReplaced || (e == endUnreachable || e == endGarbled) && r.Repeatable()
}

// evident reports whether it is clear that the answer is complete, as far as its replica can tell.
func (e endOfAnswer) evident() bool { return e == endLived || e == endUntold }

// errMayBePart means that the body of an unframed response may have ended early.
var errMayBePart = errors.New("response without a length may have ended early")

// mayBePart reports whether a response whose body ended with its connection may be incomplete, because it may have ended
// with the replica's process or on the way. It is called when the end has been read.
func (e *exchange) mayBePart(response *upstream.Response, lease *fleet.Lease, p *progress) bool {
	return response.Unframed && e.endOf(response, lease, p).broken(e.route)
}

// streamMayBePart is mayBePart for a stream. begun means that the replica sent an event. A continuation
// without any is the end of the stream only if its process is known to have lived: nothing else in it shows that.
func (e *exchange) streamMayBePart(response *upstream.Response, lease *fleet.Lease, p *progress, begun bool) bool {
	if response.Unframed {
		p.assumed.stop() // the replica is asked now, or by settleOrigin
	}
	if begun {
		return e.mayBePart(response, lease, p)
	}
	return response.Unframed && p.lastEventID != "" && e.endOf(response, lease, p) != endLived
}

// endOf finds out what the end of an unframed response was.
func (e *exchange) endOf(response *upstream.Response, lease *fleet.Lease, p *progress) endOfAnswer {
	s := e.server
	endedAt := time.Now()
	e.endProbes()
	bound, unbind := s.drain.Bound(e.r.Context())
	defer unbind()
	ctx, cancel := context.WithTimeout(bound, min(e.patience(), e.timeLeft(endedAt)/inspectTimeDivisor))
	defer cancel()
	endAt := s.opts.Client.EndedAt(response, endedAt)
	e.noteUnframedEnd(lease.Member.ID, endAt, p)
	within := endsArriveTime
	if e.route.Kind == routing.Streaming {
		within = streamEndsArriveTime
	}
	s.opts.Client.AwaitEnds(ctx, response, endedAt, within)
	seen := e.inspectEnd(ctx, response, lease, endedAt)
	if (seen == endDown || seen == endOthersEnded) && e.outlived(response, lease, endedAt) {
		seen = endOutlived
	}
	connections := s.opts.Client.UnframedEnd(response, endedAt)
	if connections.Cut && !seen.broken(e.route) {
		seen = endCut
	}
	seen = e.judgeWhereCut(bound, seen, &connections, lease.Member.ID, endAt, p)
	e.record.unframed, e.record.unframedEnd, e.record.unframedOthers, e.record.cutSuspected = true, seen, connections, s.cutSuspected()
	s.metrics.unframedEnds[seen].Inc(1)
	if !seen.evident() {
		s.opts.Logger.Info().Str("request", e.call.AttemptID).Str("replica", lease.Member.ID).Str("seen", endNames[seen]).
			Bool("broken", seen.broken(e.route)).Dur("elapsed_ms", time.Since(endedAt)).Dur("read_after_ms", endedAt.Sub(endAt)).Dur("end_after_ms", connections.Idle).
			Int("others_ended", connections.Ended).Int("others_open", connections.Open).Msg("answer without a length ended")
	}
	return seen
}

// patience is how long the replica of an unframed answer is asked.
func (e *exchange) patience() time.Duration {
	if e.route.Kind == routing.Streaming && !e.route.Repeatable() {
		return streamPatience
	}
	return inspectTimeout
}

// inspectEnd finds out whether the process that sent an unframed answer lived after its end. If nothing answers, that alone
// does not show that it ended: a full replica refuses connections, and the links of this host may have failed.
func (e *exchange) inspectEnd(ctx context.Context, response *upstream.Response, lease *fleet.Lease, endedAt time.Time) endOfAnswer {
	if lease.Member.ID == "" {
		return endOfHost
	}
	in := inquiry{request: e.call.AttemptID, maxIdle: e.maxIdle(lease.Member.Upstream), after: endedAt}
	var others *witnesses
	hungUpOn := false // the replica reset a connection, and what that meant is not known
	failed := noReply // what came instead of the start of a process, if it must be told
	for pause := questionPause; ; pause *= 2 {
		if started, known := lease.ProcessAfter(endedAt); known {
			return e.endOfProcess(response, lease, started, endedAt)
		}
		reply, started := e.askInTime(ctx, lease, &in)
		switch {
		case reply == told:
			return e.endOfProcess(response, lease, started, endedAt)
		case reply == untold && failed == untold:
			return endStranger
		case failed != noReply && (reply == untold || reply == garbled):
			return endGarbled
		case reply == notRun, (reply == untold || reply == garbled) && !e.mustTell(ctx, lease):
			return endUntold
		case reply == untold, reply == garbled:
			failed, in.newConnection = reply, true
			wait(ctx, questionPause) // a replica may fail to answer a question
			continue
		case others == nil && reply == wasReset:
			return endNoReply
		case others == nil && reply == openAfterReset && ctx.Err() == nil:
			hungUpOn, in.newConnection = true, true
			continue
		case others == nil && (hungUpOn || reply == openAfterReset) && !reply.ended():
			return e.endInSilence(response, lease, endedAt, endUnreachable)
		case others == nil && reply == noReply:
			if seen := e.endInSilence(response, lease, endedAt, endNoReply); seen != endNoReply {
				return seen
			}
			if wait(ctx, questionPause); ctx.Err() != nil {
				return endNoReply
			}
			in.newConnection = true
			continue
		}
		if others == nil {
			others = e.askOthers(ctx, lease, endedAt)
		}
		in.newConnection = true
		if reply == refused && !e.othersOpen(response, endedAt) {
			if others.waitAnswer(ctx, pause) {
				return endDown
			}
		} else {
			wait(ctx, pause)
		}
		if ctx.Err() == nil && time.Since(endedAt) < inspectTimeout {
			continue
		}
		if seen := e.endWithoutReply(response, others, endedAt); seen != endUnreachable || ctx.Err() != nil {
			return seen // or the next process may still answer
		}
	}
}

// askInTime asks the replica once, for as long as an answer may take.
func (e *exchange) askInTime(ctx context.Context, lease *fleet.Lease, in *inquiry) (reply, int64) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	return e.server.askAfter(ctx, &lease.Member, in)
}

// endInSilence returns what is seen if no question was answered in its time, or seen if the connections do not tell: the
// processes may have ended, with something that is slow to show it at their addresses, or this host may have been paused.
func (e *exchange) endInSilence(response *upstream.Response, lease *fleet.Lease, endedAt time.Time, seen endOfAnswer) endOfAnswer {
	client := e.server.opts.Client
	open, endedTogether := client.OtherConnections(response, endedAt)
	if open || e.abandoned() {
		return seen
	}
	if !endedTogether {
		others, _ := e.server.opts.Fleet.Others(lease.Member.ID, maxWitnesses, endedAt)
		addresses := make([]string, len(others))
		for i := range others {
			addresses[i] = others[i].Address
		}
		_, endedTogether = client.OtherConnections(response, endedAt, addresses...)
	}
	if endedTogether {
		return endOthersEnded
	}
	return seen
}

// endOfProcess returns what it shows that the process with the given start lived after the end of an answer. If the request
// was sent before this host knew of that process, bytes that arrived later are from it: the one before had ended. A process that
// leaves may live on beside its successor, with its connections.
func (e *exchange) endOfProcess(response *upstream.Response, lease *fleet.Lease, started int64, endedAt time.Time) endOfAnswer {
	if lease.SentTo(started) {
		return endLived
	}
	since, known := lease.ProcessKnownSince(started)
	if at, received := response.LastBytesAt(); known && received && at.After(since.Add(maxByteDelay)) {
		return endLived
	}
	if lease.Leaving(endedAt) && e.server.opts.Client.EarlierConnectionOpen(response) {
		return endOthersOpen
	}
	return endReplaced
}

// outlived reports whether other connections to the process of an answer that cannot be run again were open for long after its end: the process
// has ended since.
func (e *exchange) outlived(response *upstream.Response, lease *fleet.Lease, endedAt time.Time) bool {
	return !e.route.Repeatable() && slices.ContainsFunc(e.server.opts.Client.Outlived(response, endedAt), lease.SentTo)
}

// othersOpen reports whether other connections to the replica live on that were opened before the end of the answer.
func (e *exchange) othersOpen(response *upstream.Response, endedAt time.Time) bool {
	open, _ := e.server.opts.Client.OtherConnections(response, endedAt)
	return open
}

// endWithoutReply returns what is seen if nothing has answered at the replica's address.
func (e *exchange) endWithoutReply(response *upstream.Response, others *witnesses, endedAt time.Time) endOfAnswer {
	open, endedTogether := e.server.opts.Client.OtherConnections(response, endedAt)
	switch {
	case open:
		return endOthersOpen
	case others.answered():
		return endDown
	case e.abandoned():
		return endNoReply
	case endedTogether:
		return endOthersEnded
	}
	// This host may have too few connections to one replica. All replicas may have ended together.
	if _, endedTogether = e.server.opts.Client.OtherConnections(response, endedAt, others.addresses...); endedTogether {
		return endOthersEnded
	}
	return endUnreachable
}

// witnesses are other replicas that are asked, as nothing answers for one. An answer shows that this host's links work.
type witnesses struct {
	answer    chan struct{} // closed with the first answer
	addresses []string
}

// answered reports whether one has answered.
func (w *witnesses) answered() bool {
	select {
	case <-w.answer:
		return true
	default:
		return false
	}
}

// waitAnswer waits for an answer, for the given time at most, and reports whether a witness has answered.
func (w *witnesses) waitAnswer(ctx context.Context, atMost time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, atMost)
	defer cancel()
	select {
	case <-w.answer:
	case <-ctx.Done():
	}
	return w.answered()
}

// wait waits for the given time or until the context ends.
func wait(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
}

// askOthers asks other replicas until one answers or the context ends. If there is none, that counts as an answer. A
// replica that tells which process it is must do so: a relay accepts connections with nothing behind it. They are asked on
// new connections, as open ones may live on where new ones are refused.
func (e *exchange) askOthers(ctx context.Context, lease *fleet.Lease, endedAt time.Time) *witnesses {
	s, w := e.server, &witnesses{answer: make(chan struct{})}
	others, none := s.opts.Fleet.Others(lease.Member.ID, maxWitnesses, endedAt)
	if none {
		close(w.answer)
		return w
	}
	var answer sync.Once
	for i := range others {
		w.addresses = append(w.addresses, others[i].Address)
	}
	for i := range others {
		in := inquiry{request: e.call.AttemptID, maxIdle: e.maxIdle(others[i].Upstream), after: endedAt, newConnection: true}
		go func() {
			for pause := questionPause; ; pause *= 2 {
				reply, _ := s.askAfter(ctx, &others[i], &in)
				if reply.answered() {
					answer.Do(func() { close(w.answer) })
				}
				if !reply.ended() && reply != wasReset && reply != openAfterReset || w.waitAnswer(ctx, pause) || ctx.Err() != nil {
					return
				}
			}
		}()
	}
	return w
}
