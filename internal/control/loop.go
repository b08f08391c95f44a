// Package control keeps a host's control state: the bundle in force and the
// soft state of hosts and replicas. One goroutine owns the state and consumes
// events from the bus; readers use immutable snapshots.
package control

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/membership"
	"heatherbarrow/internal/placement"
	"heatherbarrow/internal/rollout"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/scheduling/poisonpart"
)

const (
	tickInterval      = 100 * time.Millisecond
	heartbeatInterval = time.Second
	// urgentViewDelay gathers the reports of one crash in one view.
	urgentViewDelay = 10 * time.Millisecond
	// urgentViewInterval bounds how often urgent changes make a view, and
	// viewInterval how often other changes do.
	urgentViewInterval = 200 * time.Millisecond
	viewInterval       = 500 * time.Millisecond
	fetchBacklog       = 16
)

// State is an immutable snapshot of the control state.
type State struct {
	Bundle      *rpc.BundleRecord // with content; nil when the host has none
	Parsed      *bundle.Bundle
	InForceAt   time.Time
	View        *rpc.View
	ViewAt      time.Time // when the ages in View were true
	NotReady    string    // why there is no bundle
	Topology    *Topology
	QuarantineN uint64 // changes with each quarantine entry that the platform must keep
	Pushes      uint64 // changes with each change that peers must hear at once
	transfer    *transfer
	changed     chan struct{}
}

// Changed returns a channel that is closed when a newer snapshot exists.
func (s *State) Changed() <-chan struct{} { return s.changed }

// Options configure a Loop.
type Options struct {
	Bus       *bus.Bus
	Operators rollout.Operators
	Logger    zerolog.Logger
	Clock     clockwork.Clock
	Member    membership.Options
}

// Loop owns the control state.
type Loop struct {
	opts     Options
	state    atomic.Pointer[State]
	fetches  chan Fetch
	table    *membership.Table
	admit    admission
	sharing  sharing
	classes  classWindows
	demand   *placement.Meter
	platform probe

	offering sync.Mutex // held while a bundle is checked, so that none is checked twice
	offered  uint64     // highest generation that passed the checks

	teamsOf      *bundle.Bundle // bundle to which teamIndex belongs
	teamIndex    map[string]*bundle.Team
	seenVersion  uint64    // table version of the newest view
	urgent       bool      // an urgent change is not in the newest view
	urgentAt     time.Time // when the last urgent view was made, or the next one is due
	pushed       uint64
	quarantined  uint64
	partChanges  uint64   // of the table when refusedParts was determined
	refusedParts []string // parts that requests are refused for, with their number of releases
}

// probe is whether the platform answers this host.
type probe struct{ failed bool }

// Fetch is a bundle that a peer has and this host has not.
type Fetch struct {
	Peer       membership.Peer
	Generation uint64
}

// NewLoop returns a loop without a bundle.
func NewLoop(o Options) *Loop {
	now := o.Clock.Now()
	l := &Loop{opts: o, fetches: make(chan Fetch, fetchBacklog), table: membership.NewTable(o.Member, now)}
	l.admit = admission{started: now, failures: make(map[string]string)}
	l.sharing = newSharing()
	l.classes = make(classWindows)
	l.demand = placement.NewMeter(o.Clock)
	l.state.Store(&State{
		NotReady: "no bundle yet: no source has answered",
		// The version differs after a restart, so that the router takes the view.
		View: &rpc.View{Version: uint64(now.UnixNano())}, ViewAt: now,
		Topology: buildTopology(l.table, nil, now), changed: make(chan struct{}),
	})
	return l
}

// Name implements kernel.Service.
func (l *Loop) Name() string { return ServiceLoop }

// Dependencies implements kernel.Dependent.
func (l *Loop) Dependencies() []string { return []string{ServiceBus} }

// State returns the newest snapshot.
func (l *Loop) State() *State { return l.state.Load() }

// Fetches returns the bundles to fetch from peers.
func (l *Loop) Fetches() <-chan Fetch { return l.fetches }

// Start subscribes to the bus and starts the clock's events.
func (l *Loop) Start(ctx context.Context) error {
	if err := l.opts.Bus.Subscribe(ctx, l.handle); err != nil {
		return err
	}
	go l.every(ctx, tickInterval, Tick{})
	go l.every(ctx, heartbeatInterval, HeartbeatDue{})
	return nil
}

func (l *Loop) every(ctx context.Context, d time.Duration, event any) {
	ticker := l.opts.Clock.NewTicker(d)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			_ = l.opts.Bus.Publish(event)
		}
	}
}

func (l *Loop) handle(event any) {
	now := l.opts.Clock.Now()
	if !l.handleBundle(event, now) && !l.handleMembership(event, now) {
		l.handleShares(event, now)
	}
	l.afterEvent(now)
}

func (l *Loop) handleMembership(event any, now time.Time) bool {
	switch e := event.(type) {
	case Tick:
	case HeartbeatDue:
		l.beat(now)
	case HostsReceived:
		l.table.ApplyHostList(&e.List, now)
	case PlatformProbed:
		l.platform.failed = e.Failed
	case *MessageDue:
		e.Message = l.message(now, e.Remote, true)
		if e.Names {
			l.table.AddHostNames(e.Message)
		}
	case *MessageReceived:
		l.receive(e, now)
	case Observed:
		for _, o := range e.Observations {
			l.table.Observe(o)
		}
	case *StatusDue:
		l.status(e, now)
	case *DemandDue:
		e.Demand = l.table.Demand(now)
	case LeaveRequested:
		l.table.Leave(now)
	case *CrashReported:
		l.recordCrash(e, now)
	case *ReleaseRequested:
		e.Found = l.table.ReleaseFingerprint(e.Fingerprint, l.quarantineTime(), now)
		e.Found = l.table.ReleasePart(e.Fingerprint, now) || e.Found
		l.noteQuarantine()
	case *QuarantineDue:
		e.Entries, _ = l.table.Quarantine()
		e.Parts = l.table.RefusedParts(now)
	case QuarantineLoaded:
		l.table.MergeQuarantine(e.Entries, now)
		l.table.MergeParts(e.Parts, now)
	default:
		return false
	}
	return true
}

func (l *Loop) beat(now time.Time) {
	l.table.AdvanceHeartbeat(now, l.platform.failed)
	if rates, known := l.demand.Rates(); known {
		l.table.SetDemand(rates, now)
	}
	l.sharing.expire(l.table, now)
	topology := buildTopology(l.table, l.State().Parsed, now)
	l.publish(func(s *State) { s.Topology = topology })
}

func (l *Loop) message(now time.Time, remote, opens bool) *rpc.ExchangeMessage {
	m := l.table.Message(now, remote, opens)
	if b := l.State().Bundle; b != nil {
		m.Bundle = versionOnly(b)
	}
	return m
}

func (l *Loop) receive(e *MessageReceived, now time.Time) {
	e.WantList = l.table.Merge(e.Message, now)
	if from := e.Message.From; from != nil && e.Message.Bundle != nil {
		l.admit.announced = max(l.admit.announced, e.Message.Bundle.Generation)
		l.wantBundle(from, e.Message.Bundle.Generation)
	}
	if !e.Answer {
		return
	}
	e.Reply = l.message(now, e.Message.From.GetAvailabilityZone() != l.opts.Member.Zone, false)
	e.Reply.WantList = e.WantList
	l.table.Answer(e.Reply, e.Message, now)
}

// wantBundle asks the peer provider to fetch a bundle. The backlog is bounded:
// a bundle that is not fetched now is announced again by the next exchange.
func (l *Loop) wantBundle(from *rpc.HostState, generation uint64) {
	if generation <= l.known() {
		return
	}
	peer := membership.Peer{Host: from.Host, Zone: from.AvailabilityZone, Address: from.PeerAddress}
	select {
	case l.fetches <- Fetch{Peer: peer, Generation: generation}:
	default:
	}
}

func (l *Loop) recordCrash(e *CrashReported, now time.Time) {
	r := e.Request
	replica := r.Upstream + "/" + r.Replica
	if r.Completed {
		l.table.CompleteParts(r.Parts, now)
	} else {
		l.table.RecordPartCrash(r.Parts, replica, now)
	}
	switch {
	case r.Fingerprint == 0:
	case r.Completed:
		// A completion need not outlive a restart: without it, the fingerprint is
		// only a suspect again.
		l.table.ReleaseFingerprint(r.Fingerprint, l.quarantineTime(), now)
	default:
		l.table.RecordCrash(r.Fingerprint, replica, r.Model, l.quarantineTime(), now)
		l.noteQuarantine()
	}
	e.Entries, _ = l.table.Quarantine()
	e.Parts = l.table.SuspectParts(now)
}

// noteRefusedParts makes the platform keep the parts that requests are refused for when they change.
func (l *Loop) noteRefusedParts(now time.Time) {
	changes := l.table.PartChanges()
	if changes == l.partChanges {
		return
	}
	l.partChanges = changes
	var refused []string
	for _, e := range l.table.RefusedParts(now) {
		refused = append(refused, poisonpart.Name(e.Part)+"/"+strconv.FormatUint(e.Released, 10))
	}
	if !slices.Equal(refused, l.refusedParts) {
		l.refusedParts = refused
		l.noteQuarantine()
	}
}

func (l *Loop) quarantineTime() time.Duration {
	if parsed := l.State().Parsed; parsed != nil {
		return parsed.Limits.QuarantineTime.Std()
	}
	return defaultQuarantineTime
}

// defaultQuarantineTime applies to crashes reported before there is a bundle.
const defaultQuarantineTime = time.Hour

func (l *Loop) noteQuarantine() { l.quarantined++ }

// hurry makes an urgent view due, which a Tick then builds.
func (l *Loop) hurry(now time.Time) {
	if l.urgent {
		return
	}
	l.urgent = true
	at := now.Add(urgentViewDelay)
	if next := l.urgentAt.Add(urgentViewInterval); next.After(at) {
		at = next
	}
	l.urgentAt = at
	l.opts.Clock.AfterFunc(at.Sub(now), func() { _ = l.opts.Bus.Publish(Tick{}) })
}

// afterEvent publishes what the event changed: urgent changes soon, others together.
func (l *Loop) afterEvent(now time.Time) {
	l.admitSettled(now)
	l.noteRefusedParts(now)
	if l.table.TakeUrgent() {
		l.pushed++
		l.hurry(now)
	}
	s := l.State()
	since := now.Sub(s.ViewAt)
	due := l.table.Version() != l.seenVersion && since >= viewInterval
	due = due || l.urgent && !now.Before(l.urgentAt)
	if !due && s.Pushes == l.pushed && s.QuarantineN == l.quarantined {
		return
	}
	l.publish(func(s *State) {
		s.Pushes, s.QuarantineN = l.pushed, l.quarantined
		if due {
			s.View = l.buildView(s.View.Version+1, now)
			s.ViewAt = now
		}
	})
	if due {
		l.seenVersion = l.table.Version()
		l.urgent = false
	}
}

func (l *Loop) buildView(version uint64, now time.Time) *rpc.View {
	entries, _ := l.table.Quarantine()
	return &rpc.View{
		Version:      version,
		Replicas:     l.table.Replicas(now),
		Hosts:        l.table.Hosts(now),
		Quarantine:   entries,
		Shares:       l.sharing.current(now),
		Limits:       l.table.Limits(now),
		SuspectParts: l.table.SuspectParts(now),
		HostsInZone:  uint32(l.table.HostsInZone(now)),
		ZoneCount:    uint32(l.table.ZoneCount()),
	}
}

// publish makes a changed copy of the state the newest snapshot and wakes those
// that wait for it.
func (l *Loop) publish(change func(*State)) {
	old := l.State()
	next := *old
	next.changed = make(chan struct{})
	change(&next)
	l.state.Store(&next)
	close(old.changed)
}

// Wait returns the newest snapshot once it has a higher generation or another
// view than given, or after d, or when ctx ends. A router may be ahead of a
// control that has just started; it has nothing to take then.
func (l *Loop) Wait(ctx context.Context, generation, viewVersion uint64, d time.Duration) *State {
	timer := l.opts.Clock.NewTimer(d)
	defer timer.Stop()
	for {
		s := l.State()
		if s.View.Version != viewVersion || s.Bundle.GetGeneration() > generation {
			return s
		}
		select {
		case <-s.changed:
		case <-timer.Chan():
			return s
		case <-ctx.Done():
			return s
		}
	}
}
