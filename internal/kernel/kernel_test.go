package kernel

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

type probe struct {
	name  string
	needs []string
	log   *[]string
	fail  error
}

func (p *probe) Name() string           { return p.name }
func (p *probe) Dependencies() []string { return p.needs }
func (p *probe) Start(context.Context) error {
	*p.log = append(*p.log, "start "+p.name)
	return p.fail
}

func (p *probe) Stop(context.Context) error {
	*p.log = append(*p.log, "stop "+p.name)
	return nil
}

func newRegistry(t *testing.T, services ...Service) *Registry {
	t.Helper()
	r := NewRegistry()
	for _, s := range services {
		require.NoError(t, r.Register(s))
	}
	return r
}

// Guards against a service starting before, or stopping after, one that it needs.
func TestServicesStartAndStopInDependencyOrder(t *testing.T) {
	var log []string
	r := newRegistry(t,
		&probe{name: "router", needs: []string{"feed"}, log: &log},
		&probe{name: "feed", log: &log},
	)
	require.NoError(t, r.Start(context.Background()))
	require.NoError(t, r.Stop(context.Background()))
	require.Equal(t, []string{"start feed", "start router", "stop router", "stop feed"}, log)
}

// Guards against services being left running when a later one fails to start.
func TestFailedStartStopsWhatWasStarted(t *testing.T) {
	var log []string
	failure := errors.New("address in use")
	r := newRegistry(t,
		&probe{name: "feed", log: &log},
		&probe{name: "router", needs: []string{"feed"}, log: &log, fail: failure},
	)
	err := r.Start(context.Background())
	require.ErrorIs(t, err, failure)
	require.Equal(t, []string{"start feed", "start router", "stop feed"}, log)
}

// Guards against cycles, unknown names and wrong types being accepted silently.
func TestRegistryErrors(t *testing.T) {
	var log []string
	r := newRegistry(t,
		&probe{name: "a", needs: []string{"b"}, log: &log},
		&probe{name: "b", needs: []string{"a"}, log: &log},
	)
	require.ErrorIs(t, r.Provision(), errCycle)
	require.ErrorIs(t, r.Register(&probe{name: "a"}), errDuplicate)
	_, err := Lookup[*probe](r, "c")
	require.ErrorIs(t, err, errNotRegistered)
	_, err = Lookup[Stopper](r, "a")
	require.NoError(t, err)
	_, err = Lookup[Validator](r, "a")
	require.Error(t, err)
}
