package proxy_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// crashingReplica serves with h until the function that it passes to h ends it as a process does: the operating
// system closes its listener and then, in order, its connections.
func (g *testGateway) crashingReplica(i int, h func(crash func()) http.HandlerFunc) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(g.t, err)
	replica := &http.Server{Handler: h(func() { _ = listener.Close() })}
	go func() { _ = replica.Serve(listener) }()
	g.t.Cleanup(func() { _ = replica.Close() })
	g.members[i].Address = listener.Addr().String()
	g.fleet.SetMembers(g.members)
}

// Guards against an answer that is passed off as complete because the process of its replica ended between two of its
// events, or inside a body: without a length or chunks, the end of the process looks like that of the answer.
func TestUnframedAnswerOfEndedProcessIsNotComplete(t *testing.T) {
	begun := func(crash func()) http.HandlerFunc { return unframed(eventsText(2), crash) }
	for range 8 {
		g := newTestGateway(t, http.NotFoundHandler())
		g.crashingReplica(0, begun)
		response, err := g.send(t.Context(), testRequest{path: "/match/x"})
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		assert.Error(t, err, "not complete")
		assert.Equal(t, eventsText(2), string(body))

		g = newTestGateway(t, http.NotFoundHandler(), newReplica(events("other", 8, -1)))
		g.crashingReplica(0, begun)
		status, text, _ := g.do(testRequest{path: "/quote/x"})
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, eventsText(8), text, "it goes on elsewhere")

		g = newTestGateway(t, http.NotFoundHandler(), newReplica(respondWith("whole")))
		g.crashingReplica(0, func(crash func()) http.HandlerFunc { return unframed("who", crash) })
		status, text, _ = g.do(testRequest{path: "/lookup/x"})
		assert.Equal(t, http.StatusOK, status)
		assert.Equal(t, "whole", text)
	}
}
