package faults

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/netio/relaytest"
)

// link is a connection between two processes that can be cut, slowed and healed.
type link struct {
	*relaytest.Relay
	listen, target string
}

// newLink opens a relay to the address target.
func newLink(t *testing.T, target string) *link {
	t.Helper()
	relay, err := relaytest.New(target)
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	return &link{Relay: relay, listen: relay.Address(), target: target}
}

// cut drops all data in both directions and keeps connections open, as a
// partition does.
func (l *link) cut() {
	l.Begin(relaytest.Fault{Direction: relaytest.ToTarget, Silent: true})
	l.Begin(relaytest.Fault{Direction: relaytest.FromTarget, Silent: true})
}

// slow limits what callers of the link send.
func (l *link) slow(kilobytesPerSecond int) {
	const piecesPerSecond = 10
	l.Begin(relaytest.Fault{Direction: relaytest.ToTarget, PieceSize: 1000 * kilobytesPerSecond / piecesPerSecond, PieceDelay: time.Second / piecesPerSecond})
}

// reaches tells whether the link leads to a replica of the zone.
func (l *link) reaches(c *cluster, zone string) bool {
	for _, standIns := range [][]*standIn{c.engines, c.services} {
		for i, s := range standIns {
			if s.link.listen == l.target {
				return zoneOf(i) == zone
			}
		}
	}
	return false
}

// put sends a JSON document to a stand-in's switch.
func put(t *testing.T, address, path, document string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPut, "http://"+address+path, strings.NewReader(document))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
}
