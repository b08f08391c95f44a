package proxy_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a host that wakes from a suspension and hands replicas more time than
// the caller has left: the steady clock does not count the suspension.
func TestSuspensionShortensWhatIsLeft(t *testing.T) {
	var b *bed
	var deadlines []string
	b = newBed(t, count(func(w http.ResponseWriter, r *http.Request) {
		deadlines = append(deadlines, r.Header.Get("Heatherbarrow-Deadline-Ms"))
		if len(deadlines) == 1 {
			b.server.Suspended(3 * time.Second)
		}
		w.WriteHeader(http.StatusInternalServerError)
	}))
	b.members = append(b.members, b.members[0])
	b.members[1].ID = "r1"
	b.fleet.SetMembers(b.members)
	b.do(request{path: "/lookup/1"})
	require.Len(t, deadlines, 2)
	second, err := strconv.Atoi(deadlines[1])
	require.NoError(t, err)
	assert.Less(t, second, 2001, "of 5 s of the route, 3 were slept")

	deadlines = nil
	b.do(request{path: "/lookup/1"})
	first, err := strconv.Atoi(deadlines[0])
	require.NoError(t, err)
	assert.Greater(t, first, 2001, "a later request has all its time")
}
