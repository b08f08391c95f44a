package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	client "heatherbarrow/internal/platform"
)

func start(t *testing.T) (*Server, *client.Client) {
	t.Helper()
	s := New()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return s, client.NewClient(server.URL, &http.Client{})
}

// Guards against a stand-in, or a client, that breaks the conditions of updates.
func TestConditionalUpdates(t *testing.T) {
	_, c := start(t)
	ctx := context.Background()
	created, err := c.Create(ctx, "k", "n", 1)
	require.NoError(t, err)
	_, err = c.Create(ctx, "k", "n", 2)
	require.ErrorIs(t, err, client.ErrConflict)
	updated, err := c.Update(ctx, "k", "n", created.Version, 3)
	require.NoError(t, err)
	require.Greater(t, updated.Version, created.Version)
	_, err = c.Update(ctx, "k", "n", created.Version, 4)
	require.ErrorIs(t, err, client.ErrConflict)
	o, err := c.Get(ctx, "k", "n")
	require.NoError(t, err)
	require.JSONEq(t, "3", string(o.Value))
	require.NoError(t, c.Delete(ctx, "k", "n", o.Version))
	_, err = c.Get(ctx, "k", "n")
	require.ErrorIs(t, err, client.ErrNotFound)
	again, err := c.Create(ctx, "k", "n", 5)
	require.NoError(t, err)
	require.Greater(t, again.Version, o.Version)
}

// Guards against a lost answer being taken for a write without effect.
func TestLostAnswerIsUncertain(t *testing.T) {
	s, c := start(t)
	ctx := context.Background()
	s.SetFaults(Faults{LoseWriteAnswers: 1})
	_, err := c.Create(ctx, "k", "n", 1)
	require.ErrorIs(t, err, client.ErrUncertain)
	_, err = c.Get(ctx, "k", "n")
	require.NoError(t, err, "the write took effect")
	s.SetFaults(Faults{Down: true})
	_, err = c.Get(ctx, "k", "n")
	require.ErrorIs(t, err, client.ErrUnavailable)
}

// Guards against a watch that misses a change or a deletion.
func TestWatch(t *testing.T) {
	_, c := start(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	got := make(chan []client.Object, 1)
	go func() {
		objects, err := c.Watch(ctx, "k", 0)
		if err == nil {
			got <- objects
		}
	}()
	o, err := c.Create(ctx, "k", "n", 1)
	require.NoError(t, err)
	require.Equal(t, "n", (<-got)[0].Name)
	require.NoError(t, c.Delete(ctx, "k", "n", o.Version))
	objects, err := c.Watch(ctx, "k", o.Version)
	require.NoError(t, err)
	require.True(t, objects[0].Deleted)
}

// Guards against a stand-in that hides when the documented rates are exceeded.
func TestRates(t *testing.T) {
	s, c := start(t)
	s.SetRates(1, 1)
	ctx := context.Background()
	_, err := c.Create(ctx, "k", "a", 1)
	require.NoError(t, err)
	_, err = c.Create(ctx, "k", "b", 1)
	require.ErrorIs(t, err, client.ErrUnavailable)
	require.EqualValues(t, 1, s.Counts().Limited)
}
