package placement

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/standin/engine"
	"heatherbarrow/internal/standin/inprocess"
)

// Guards against orders that do not match the published protocol of the engines.
func TestHTTPSenderFollowsEngineProtocol(t *testing.T) {
	s := engine.New(engine.Options{Models: []string{"a"}, Slots: 1, ChecksFencing: true})
	sender := &HTTPSender{Scheme: "http", Client: inprocess.Client(s.Handler())}
	for _, c := range []struct {
		order  Order
		status int
	}{
		{Order{Order: OrderLoad, Model: "b", FencingToken: 7}, http.StatusAccepted},
		{Order{Order: OrderUnload, Model: "a", FencingToken: 7}, http.StatusOK},
		{Order{Order: OrderRole, Role: "decode", FencingToken: 8}, http.StatusOK},
		{Order{Order: OrderLoad, Model: "a", FencingToken: 7}, http.StatusConflict},
	} {
		status, err := sender.Send(context.Background(), "engine", c.order)
		require.NoError(t, err)
		require.Equal(t, c.status, status, c.order)
	}
	s.SetFaults(engine.Faults{WeightStoreRPS: 1})
	for _, want := range []int{http.StatusAccepted, http.StatusTooManyRequests} {
		status, err := sender.Send(context.Background(), "engine", Order{Order: OrderLoad, Model: "c" + http.StatusText(want), FencingToken: 8})
		require.NoError(t, err)
		require.Equal(t, want, status)
	}
}
