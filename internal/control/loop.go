// Package control keeps a host's control state: the bundle in force and the
// soft state of hosts and replicas. One goroutine owns the state and consumes
// events from the bus; readers use immutable snapshots.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/platform"
	"heatherbarrow/internal/rollout"
	"heatherbarrow/internal/rpc"
)

// State is an immutable snapshot of the control state.
type State struct {
	Bundle   *rpc.BundleRecord // with content; nil when the host has none
	Parsed   *bundle.Bundle
	View     *rpc.View
	NotReady string // why there is no bundle
	changed  chan struct{}
}

// BundleReceived is the event of a bundle learned from some source.
type BundleReceived struct {
	Record *rpc.BundleRecord
	Source string
}

// HostsReceived is the event of a new list from the platform.
type HostsReceived struct{ List platform.HostList }

// SourceFailed is the event of a source that could not give a bundle.
type SourceFailed struct {
	Source string
	Err    error
}

// Loop owns the control state.
type Loop struct {
	bus       *bus.Bus
	operators rollout.Operators
	logger    zerolog.Logger
	state     atomic.Pointer[State]
}

// NewLoop returns a loop without a bundle.
func NewLoop(b *bus.Bus, operators rollout.Operators, logger zerolog.Logger) *Loop {
	l := &Loop{bus: b, operators: operators, logger: logger}
	l.state.Store(&State{
		NotReady: "no bundle yet: the platform has not answered",
		View:     &rpc.View{Version: uint64(time.Now().UnixNano())},
		changed:  make(chan struct{}),
	})
	return l
}

// State returns the newest snapshot.
func (l *Loop) State() *State { return l.state.Load() }

// Start subscribes to the bus.
func (l *Loop) Start(ctx context.Context) error {
	return l.bus.Subscribe(ctx, l.handle)
}

func (l *Loop) handle(event any) {
	switch e := event.(type) {
	case BundleReceived:
		l.applyBundle(e)
	case HostsReceived:
		l.applyHosts(e.List)
	case SourceFailed:
		if l.State().Bundle == nil {
			l.publish(func(s *State) { s.NotReady = "no bundle yet: " + e.Source + ": " + e.Err.Error() })
		}
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

// applyBundle accepts a bundle only with a higher generation than the one in
// force, so that no source can revert it.
func (l *Loop) applyBundle(e BundleReceived) {
	if current := l.State().Bundle; current != nil && e.Record.Generation <= current.Generation {
		return
	}
	version, content := rollout.FromRPC(e.Record)
	if err := l.operators.Verify(&version, content); err != nil {
		l.logger.Error().Err(err).Str("source", e.Source).Uint64("generation", e.Record.Generation).Msg("bundle refused")
		return
	}
	parsed, err := bundle.Parse(content)
	if err != nil {
		l.logger.Error().Err(err).Str("source", e.Source).Uint64("generation", e.Record.Generation).Msg("bundle refused")
		return
	}
	l.publish(func(s *State) {
		s.Bundle = e.Record
		s.Parsed = parsed
		s.NotReady = ""
	})
	l.logger.Info().Str("source", e.Source).Uint64("generation", e.Record.Generation).Str("sha256", e.Record.Sha256).Msg("bundle in force")
}

func (l *Loop) applyHosts(list platform.HostList) {
	view := &rpc.View{Version: l.State().View.Version + 1}
	for _, u := range list.Upstreams {
		view.Replicas = append(view.Replicas, &rpc.ReplicaState{Upstream: u.Upstream, Replica: u.Replica, State: stateFromList(u.State)})
	}
	l.publish(func(s *State) { s.View = view })
}

func stateFromList(text string) rpc.State {
	if text == "leaving" {
		return rpc.State_STATE_LEAVING
	}
	return rpc.State_STATE_LIVE
}

// Wait returns the newest snapshot once it differs from the given versions, or
// after d, or when ctx ends.
func (l *Loop) Wait(ctx context.Context, generation, viewVersion uint64, d time.Duration) *State {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		s := l.State()
		if s.View.Version != viewVersion || s.Bundle != nil && s.Bundle.Generation != generation {
			return s
		}
		select {
		case <-s.changed:
		case <-timer.C:
			return s
		case <-ctx.Done():
			return s
		}
	}
}
