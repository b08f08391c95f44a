package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/origin"
	"heatherbarrow/internal/gateway/upstream"
	"heatherbarrow/internal/membudget"
)

// A stream may begin at a process that is only assumed to be the registered one, so that no question delays its first
// event. The process is asked afterwards, unless other traffic has shown by then which one it is: when the stream breaks
// off or is taken up, and while it lasts, as a process that has ended tells nothing. The registered process lived before
// the stream began; if it answers later, it began the stream. If it has ended, the registrations that follow may show of
// which version the stream is.

const (
	// proofDelay is the time after the first event of a stream until the process is asked. Most short streams are complete
	// by then, and other answers of the process often show which one it is.
	proofDelay = 100 * time.Millisecond
	// maxProcessReportBytes limits the answer of a process.
	maxProcessReportBytes = 64 << 10
)

// assumption is that the registered process of a replica began a stream.
type assumption struct {
	server    *Server
	attemptID string        // that brought the first event
	lease     *fleet.Lease  // of that attempt
	origin    origin.Origin // that follows
	maxIdle   int           // of upstream.Request
	timer     *time.Timer
}

// proveLater asks the process after a while, in the background.
func (a *assumption) proveLater() {
	prove := func() {
		if !a.lease.ProcessProved() {
			if !a.lease.BeginProcessQuestion() {
				a.timer.Reset(proofDelay) // the answer to the question that is under way may show it
				return
			}
			defer a.lease.EndProcessQuestion()
			a.ask(context.Background())
		}
		a.record()
	}
	a.timer = time.AfterFunc(unsetTimerDelay, prove) // prove uses the timer
	a.timer.Reset(proofDelay)
}

// stop ends proveLater. The stream is complete.
func (a *assumption) stop() {
	if a != nil && a.timer != nil {
		a.timer.Stop()
	}
}

// ask asks the process which one it is, if it may be asked.
func (a *assumption) ask(ctx context.Context) {
	if lease, ok := a.server.opts.Fleet.ProcessLease(a.lease.Member.ID); ok && lease.MayAskProcess(time.Now()) {
		a.server.askProcess(ctx, lease, a.attemptID, a.maxIdle)
	}
}

// record records the origin of the stream and returns true if the assumption holds. If a process that is not registered has answered,
// it may have begun the stream, and only this host knows of it: no later registration tells the version.
func (a *assumption) record() bool {
	proved := a.lease.ProcessProved()
	a.server.opts.Logger.Info().Str("request", a.attemptID).Str("replica", a.lease.Member.ID).Bool("proved", proved).
		Msg("process that began the stream inquired")
	switch {
	case proved:
		a.server.opts.Origins.Record(a.attemptID, a.origin, time.Now())
	case a.lease.ProcessOvertaken():
		a.server.opts.Origins.Record(a.attemptID, origin.Origin{Upstream: a.origin.Upstream, Version: origin.UnknownVersion}, time.Now())
	}
	return proved
}

// settleOrigin replaces the assumed origin of a stream that broke off by what is known. If nothing is, the stream goes
// on nowhere within this answer; when the caller takes it up, the process is asked again.
func (p *progress) settleOrigin(ctx context.Context) {
	a := p.assumed
	if a == nil {
		return
	}
	p.assumed = nil
	a.stop()
	if !a.lease.ProcessProved() {
		a.ask(ctx)
	}
	p.origin.Version = origin.UnknownVersion
	if a.record() {
		*p.origin = a.origin
	}
}

// lookUpOrigin returns the origin of the stream whose first event the attempt brought. The errors are those of
// Origins.Find.
func (e *exchange) lookUpOrigin(ctx context.Context, attemptID string) (origin.Origin, error) {
	s := e.server
	o, err := s.opts.Origins.Find(ctx, attemptID, e.route.Upstreams())
	if err != nil {
		return o, err
	}
	replicaID, assumed, ok := origin.ParseAssumedVersion(o.Version)
	if !ok {
		return o, nil
	}
	if _, ended := s.opts.Fleet.EndedProcessVersion(replicaID, assumed); ended {
		if s.opts.RefreshRegistrations != nil && s.opts.RefreshRegistrations(ctx) != nil {
			return o, origin.ErrUnreachable
		}
		version, ended := s.opts.Fleet.EndedProcessVersion(replicaID, assumed) // as of now
		if !ended {
			return o, origin.ErrUnknown
		}
		o.Version = version
		s.opts.Origins.Record(attemptID, o, time.Now())
		return o, nil
	}
	lease, ok := s.opts.Fleet.ProcessLease(replicaID)
	if !ok || lease.Member.Started > assumed {
		return o, origin.ErrUnknown // the process has ended
	}
	if !lease.MayAskProcess(time.Now()) {
		return o, origin.ErrUnreachable
	}
	started, stated := s.askProcess(ctx, lease, e.call.AttemptID, e.maxIdle(lease.Member.Upstream))
	switch {
	case !stated, started != assumed && lease.Member.Started == assumed:
		return o, origin.ErrUnreachable // the next registration may tell
	case started != assumed:
		return o, origin.ErrUnknown
	}
	o.Version = lease.SoftwareVersion()
	s.opts.Origins.Record(attemptID, o, time.Now())
	return o, nil
}

// askProcess asks the process at a replica's address when it started, on a connection of its own, and records what it
// states.
func (s *Server) askProcess(ctx context.Context, lease *fleet.Lease, request string, maxIdle int) (started int64, stated bool) {
	askCtx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	askedAt, status, body, _ := s.question(askCtx, lease.Member.Address, maxIdle, true) // status tells of an error
	if status == 0 && ctx.Err() != nil {
		return 0, false // the request that needs the answer has ended before it
	}
	return s.recordProcess(lease, request, askedAt, status, body)
}

// errQuestionRefused means that a replica did not answer a question as it is busy.
var errQuestionRefused = errors.New("replica refused the question")

// question asks the process at an address which one it is. status is 0 if there is no complete answer.
func (s *Server) question(ctx context.Context, address string, maxIdle int, newConnection bool) (askedAt time.Time, status int, body []byte, err error) {
	// askedAt is after the connection was opened, so that the answer shows where it leads to.
	response, err := s.opts.Client.Do(ctx, &upstream.Request{
		Address: address, Method: http.MethodGet, Target: s.opts.Dialect.ProcessTarget(), Host: address, Question: true, NewConnection: newConnection, MaxIdle: maxIdle,
		Header: func() http.Header {
			askedAt = time.Now()
			return http.Header{}
		},
		Matches: func(status int, h http.Header, _ bool) bool { return s.answersQuestion(status, h) },
	})
	if err != nil {
		return askedAt, 0, nil, err
	}
	defer response.Close()
	if s.opts.Dialect.Reply(response.Status, response.Header).NotExecuted {
		return askedAt, 0, nil, errQuestionRefused
	}
	var unbounded *membudget.Account // answers that exhaust the memory must not hide which process lives
	body, complete, err := unbounded.ReadAll(response.Body, 0, maxProcessReportBytes)
	switch {
	case err != nil:
		return askedAt, 0, nil, err
	case !complete:
		return askedAt, 0, nil, upstream.ErrResponseTooLarge
	}
	response.MarkComplete()
	if started, stated := s.opts.Dialect.ProcessStarted(body); stated && response.Status == http.StatusOK {
		response.NoteProcess(started)
	}
	return askedAt, response.Status, body, nil
}

// answersQuestion reports whether an answer may be that to a question which process a replica is.
func (s *Server) answersQuestion(status int, h http.Header) bool {
	return s.opts.Dialect.Reply(status, h).AttemptID == ""
}

// recordProcess records what a process has answered to the question when it started; status 0 means no answer. It returns
// false if the process does not tell.
func (s *Server) recordProcess(lease *fleet.Lease, request string, askedAt time.Time, status int, body []byte) (started int64, stated bool) {
	member := &lease.Member
	s.metrics.processQuestions.Inc(1)
	started, stated = s.opts.Dialect.ProcessStarted(body)
	if status != http.StatusOK || !stated {
		lease.RecordProcessSilent(time.Now())
		if status != 0 {
			lease.RecordProcessUntold(askedAt)
		}
		s.opts.Logger.Info().Str("request", request).Str("replica", member.ID).Int("status", status).
			Msg("replica does not tell which process it is")
		return 0, false
	}
	if !lease.RecordProcess(started, askedAt) {
		s.metrics.replacedProcesses.Inc(1)
		s.opts.Logger.Warn().Str("request", request).Str("replica", member.ID).Str("software", member.SoftwareVersion).
			Int64("registered", member.Started).Int64("started", started).Msg("another process answers for the replica")
	}
	return started, true
}
