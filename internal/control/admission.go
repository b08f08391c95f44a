package control

import (
	"slices"
	"strings"
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/rollout"
	"heatherbarrow/internal/rpc"
)

const (
	// settleTime is how long a host that just started waits for both the
	// platform and a peer before it takes its first bundle: either may be behind
	// the other, and the host was perhaps on the higher one before.
	settleTime = time.Second
	// announcedTime is how much longer it waits for a higher generation that a
	// peer announced and has not delivered yet.
	announcedTime = 2 * time.Second
)

// admission decides when a bundle comes into force.
type admission struct {
	started   time.Time
	candidate *accepted         // verified first bundle that waits
	announced uint64            // highest generation that a peer has
	platform  bool              // the platform has answered
	peer      bool              // a peer that has a bundle has answered
	failures  map[string]string // source to reason
}

// accepted is a bundle whose hash, signatures and content were checked.
type accepted struct {
	record *rpc.BundleRecord
	parsed *bundle.Bundle
	source string
}

func (l *Loop) handleBundle(event any, now time.Time) bool {
	switch e := event.(type) {
	case BundleReceived:
		l.receiveBundle(&e, now)
	case SourceAnswered:
		l.sourceAnswered(e)
	case SourceFailed:
		l.sourceFailed(e.Err)
	default:
		return false
	}
	return true
}

func (l *Loop) sourceAnswered(e SourceAnswered) {
	delete(l.admit.failures, e.Source)
	if e.Source == platformSource {
		l.admit.platform = true
		return
	}
	if e.Generation > 0 {
		l.admit.peer = true
	}
}

func (l *Loop) sourceFailed(err *SourceError) {
	if l.State().Bundle != nil {
		return
	}
	l.admit.failures[err.Source] = err.Reason
	reasons := make([]string, 0, len(l.admit.failures))
	for source, reason := range l.admit.failures {
		reasons = append(reasons, source+": "+reason)
	}
	slices.Sort(reasons)
	l.publish(func(s *State) { s.NotReady = ErrNoBundle.Error() + ": " + strings.Join(reasons, "; ") })
}

// known is the highest generation in force or waiting.
func (l *Loop) known() uint64 {
	if l.admit.candidate != nil {
		return l.admit.candidate.record.Generation
	}
	if b := l.State().Bundle; b != nil {
		return b.Generation
	}
	return 0
}

// receiveBundle accepts a bundle only with a higher generation than the one
// known, so that no source can revert it.
func (l *Loop) receiveBundle(e *BundleReceived, now time.Time) {
	if e.Record.Generation <= l.known() {
		return
	}
	a := e.checked
	if a == nil {
		var err error
		if a, err = l.check(e); err != nil {
			l.refuse(e, err)
			return
		}
	}
	if l.State().Bundle == nil {
		l.admit.candidate = a
		l.admitSettled(now)
		return
	}
	l.inForce(a, now)
}

func (l *Loop) refuse(e *BundleReceived, err error) {
	l.opts.Logger.Error().Err(err).Str("source", e.Source).Uint64("generation", e.Record.Generation).Msg("bundle refused")
	l.sourceFailed(&SourceError{Source: e.Source, Reason: err.Error()})
}

// Offer checks a bundle in the caller's goroutine and publishes it. Parsing a
// bundle of 7,100 teams takes long enough to hold up heartbeats.
func (l *Loop) Offer(record *rpc.BundleRecord, source string) error {
	l.offering.Lock()
	defer l.offering.Unlock()
	if record.Generation <= max(l.State().Bundle.GetGeneration(), l.offered) {
		return nil
	}
	e := BundleReceived{Record: record, Source: source}
	checked, err := l.check(&e)
	if err == nil {
		e.checked = checked
	}
	if err := l.opts.Bus.Publish(e); err != nil {
		return err
	}
	if checked != nil {
		l.offered = record.Generation
	}
	return nil
}

func (l *Loop) check(e *BundleReceived) (*accepted, error) {
	version, content := rollout.FromRPC(e.Record)
	if err := l.opts.Operators.Verify(&version, content); err != nil {
		return nil, refusedBundle(e, err)
	}
	parsed, err := parseError(content)
	if err != nil {
		return nil, refusedBundle(e, err)
	}
	return &accepted{record: e.Record, parsed: parsed, source: e.Source}, nil
}

// admitSettled takes the first bundle into force once no better one is to be
// expected.
func (l *Loop) admitSettled(now time.Time) {
	c := l.admit.candidate
	if c == nil {
		return
	}
	waited := now.Sub(l.admit.started)
	answered := l.admit.platform && l.admit.peer
	switch {
	case l.admit.announced > c.record.Generation && waited < settleTime+announcedTime:
		return
	case !answered && waited < settleTime:
		return
	}
	l.admit.candidate = nil
	l.inForce(c, now)
}

func (l *Loop) inForce(a *accepted, now time.Time) {
	l.table.SetBundle(a.parsed, a.record.Generation)
	l.table.ConfigureParts(a.parsed.Limits.PoisonCrashes, a.parsed.Limits.QuarantineTime.Std())
	topology := buildTopology(l.table, a.parsed, now)
	transfer := newTransfer(a.record, l.State().Bundle)
	l.publish(func(s *State) {
		s.Bundle, s.Parsed, s.InForceAt = a.record, a.parsed, now
		s.NotReady = ""
		s.Topology = topology
		s.transfer = transfer
	})
	l.opts.Logger.Info().Str("source", a.source).Uint64("generation", a.record.Generation).
		Str("sha256", a.record.Sha256).Msg("bundle in force")
}

func versionOnly(b *rpc.BundleRecord) *rpc.BundleRecord {
	return &rpc.BundleRecord{Generation: b.Generation}
}
