package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/upstream"
)

// reply is what came of a question to a replica which process it is.
type reply int

const (
	noReply        reply = iota // in time, or the links failed: no evidence
	told                        // the process told its start
	untold                      // it answered, or accepted a connection where no more can be asked, and did not tell
	notRun                      // it refused the question as one that was not run
	garbled                     // what came is no answer that can be read
	hungUp                      // the connection was accepted and ended without an answer
	refused                     // nothing listens at the address
	wasReset                    // connections are accepted and reset, as by a full replica
	openAfterReset              // a connection was reset, and the next one was not as far as was seen
	canceled                    // who asked has gone
)

// answered reports whether something answered the question.
func (r reply) answered() bool { return r == told || r == untold || r == notRun || r == garbled }

// ended reports whether the process seems to have ended.
func (r reply) ended() bool { return r == hungUp || r == refused }

// question is one to a replica which process it is. It serves all who need to know which one it was after it began.
type question struct {
	begunAt time.Time
	done    chan struct{} // closed once the following are set
	reply   reply
	started int64 // of the process, if told
}

// questionKey tells which question serves whom.
type questionKey struct {
	replicaID, address string
	newConnection      bool // an answer on an open connection does not show that new ones are accepted
}

// questions are those under way. There is one at a time for each key.
type questions struct {
	mu       sync.Mutex
	underWay map[questionKey]*question
}

// begin returns the question to the replica that is under way. If there is none, it begins one that the caller asks, and
// returns true.
func (q *questions) begin(key questionKey) (current *question, begun bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if current = q.underWay[key]; current != nil {
		return current, false
	}
	current = &question{begunAt: time.Now(), done: make(chan struct{})}
	if q.underWay == nil {
		q.underWay = make(map[questionKey]*question)
	}
	q.underWay[key] = current
	return current, true
}

// end ends a question.
func (q *questions) end(key questionKey, current *question) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.underWay, key)
	close(current.done)
}

// inquiry is what a question needs besides its replica.
type inquiry struct {
	request       string // for logs
	maxIdle       int    // of upstream.Request
	newConnection bool
	after         time.Time // the earliest time at which the question may have begun
}

// askAfter returns what comes of a question to the replica that began after the given time.
func (s *Server) askAfter(ctx context.Context, member *fleet.Member, in *inquiry) (reply, int64) {
	key := questionKey{replicaID: member.ID, address: member.Address, newConnection: in.newConnection}
	earlier := noReply
	for {
		current, begun := s.questions.begin(key)
		if begun {
			current.reply, current.started = s.askOnce(ctx, member, in)
			result, started := current.reply, current.started
			if ctx.Err() != nil && result == noReply {
				current.reply = canceled // others may have more time
			}
			s.questions.end(key, current)
			return result, started
		}
		select {
		case <-current.done:
		case <-ctx.Done():
			return earlier, 0
		}
		if current.reply.ended() {
			earlier = current.reply // nothing answers, as far as that question can tell
		}
		if current.begunAt.After(in.after) && current.reply != canceled {
			return current.reply, current.started
		}
	}
}

// askOnce asks a replica which process it is, or only connects to it if its registration does not tell either.
func (s *Server) askOnce(ctx context.Context, member *fleet.Member, in *inquiry) (reply, int64) {
	if member.Started == 0 {
		if err := s.opts.Client.Connect(ctx, member.Address, in.maxIdle); err != nil {
			return replyOf(ctx, err), 0
		}
		return untold, 0
	}
	askedAt, status, body, err := s.question(ctx, member.Address, in.maxIdle, in.newConnection)
	if err != nil {
		s.metrics.processQuestions.Inc(1)
		return s.replyAfterReset(ctx, member, err), 0
	}
	lease, registered := s.opts.Fleet.ProcessLease(member.ID)
	if !registered || lease.Member.Address != member.Address {
		s.metrics.processQuestions.Inc(1)
		started, stated := s.opts.Dialect.ProcessStarted(body)
		if !stated {
			return untold, 0
		}
		return told, started
	}
	started, stated := s.recordProcess(lease, in.request, askedAt, status, body)
	if !stated {
		return untold, 0
	}
	return told, started
}

// replyAfterReset is replyOf for a question that was written. What hangs up on a question that it has not read resets the
// connection as a full replica does, whose process lives. Only that one resets a connection on which nothing was sent.
func (s *Server) replyAfterReset(ctx context.Context, member *fleet.Member, err error) reply {
	r := replyOf(ctx, err)
	if r != hungUp || !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		return r
	}
	err = s.opts.Client.EndUnasked(ctx, member.Address, questionPause)
	switch {
	case err == nil, ctx.Err() != nil, timedOut(err):
		return openAfterReset
	case errors.Is(err, syscall.ECONNRESET):
		return wasReset
	}
	return replyOf(ctx, err)
}

// timedOut reports whether the error of a connection is that its time is over. The context of a question may end later: its
// timer is not the one of the connection.
func timedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// replyOf tells what the error of a question shows.
func replyOf(ctx context.Context, err error) reply {
	switch {
	case ctx.Err() != nil:
		return noReply
	case upstream.Refused(err):
		return refused
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return hungUp
	case errors.Is(err, upstream.ErrNotConnected), timedOut(err):
		return noReply
	case errors.Is(err, errQuestionRefused):
		return notRun
	default:
		return garbled
	}
}
