package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a write that is taken for refused although it may have taken
// effect, and against an outage that looks like a sign of life.
func TestStatusTellsWhetherAWriteMayHaveTakenEffect(t *testing.T) {
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(`{"version":1}`))
	}))
	defer server.Close()
	cases := []struct {
		status int
		want   error
		alive  bool
	}{
		{http.StatusPreconditionFailed, ErrConflict, true},
		{http.StatusTooManyRequests, ErrUnavailable, true},
		{http.StatusNotFound, ErrNotFound, true},
		{http.StatusServiceUnavailable, ErrUncertain, false},
		{http.StatusOK, nil, true},
	}
	for _, c := range cases {
		client := NewClient(server.URL, server.Client())
		status = c.status
		_, err := client.Create(context.Background(), "kind", "name", 1)
		require.ErrorIs(t, err, c.want, "status %d", c.status)
		require.Equal(t, c.alive, !client.LastAnswer().IsZero(), "status %d", c.status)
	}
	server.Close()
	client := NewClient(server.URL, http.DefaultClient)
	_, err := client.Create(context.Background(), "kind", "name", 1)
	require.ErrorIs(t, err, ErrUncertain)
	_, err = client.Get(context.Background(), "kind", "name")
	require.ErrorIs(t, err, ErrUnavailable)
}
