package control

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/membership"
)

// Guards against a hung replica that makes the other reports of its group late or
// lost.
func TestHungReplicaIsCalledAlone(t *testing.T) {
	const tries = 20
	for range tries {
		if groups, good, prompt := groupsAfterHungReplica(t); prompt {
			require.Len(t, slices.Concat(groups[:]...), 1)
			require.Equal(t, good, groups[1][0].target)
			return
		}
	}
	require.Fail(t, "a busy machine holds up each answer")
}

// groupsAfterHungReplica returns the groups of the round after one with a replica that hangs and a good one. prompt means that the good
// one was seen to answer in time: a busy machine may hold it up for so long that it counts as slow.
func groupsAfterHungReplica(t *testing.T) (groups [pollGroups][]*history, goodTarget Target, prompt bool) {
	release := make(chan struct{})
	hung := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer hung.Close()
	defer close(release)
	good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"running":3}`)) }))
	defer good.Close()
	events := bus.New()
	l := NewLoop(Options{Bus: events, Clock: clockwork.NewFakeClock(), Logger: zerolog.Nop(), Member: membership.Options{Host: "h", Zone: "z"}})
	o := &LoadObserver{HTTP: &http.Client{}, Scheme: "http", bus: events, loop: l, observed: make(map[Target]*history)}
	var targets []Target
	var group []*history
	for _, s := range []*httptest.Server{hung, good} {
		targets = append(targets, Target{Replica: s.Listener.Addr().String(), Address: s.Listener.Addr().String(), Kind: bundle.KindEngine})
	}
	l.publish(func(s *State) { s.Topology = &Topology{Targets: targets} })
	o.follow()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	got := make(chan membership.Observation, 1)
	require.NoError(t, events.Subscribe(ctx, func(event any) { got <- event.(Observed).Observations[0] }))
	for _, target := range targets {
		group = append(group, o.observed[target])
	}
	o.observe(ctx, group)
	seen := <-got
	prompt = time.Since(seen.CalledAt) < slowAnswer
	require.EqualValues(t, 3, seen.Running)
	cancel()
	return o.groups(ctx), targets[1], prompt
}
