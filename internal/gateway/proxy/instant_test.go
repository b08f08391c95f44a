package proxy_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/connends"
)

// endAtOnce lets one replica end its answers to the paths in the same instant, with their last bytes or without if they are to be cut, and
// checks whether they are broken. Connections were cut before, and requests may not run again. All others to the replica live on.
func endAtOnce(t *testing.T, cut bool, paths ...string) {
	t.Helper()
	playUntilMet(t, func() string {
		broken, unmet := endAtOnceInPlay(t, cut, paths...)
		if unmet == "" {
			assert.Equal(t, []bool{cut, cut, cut}, broken, paths)
		}
		return unmet
	})
}

// endAtOnceInPlay is one play of endAtOnce with three paths. It returns which answers are broken.
func endAtOnceInPlay(t *testing.T, cut bool, paths ...string) (broken []bool, unmet string) {
	t.Helper()
	type begunAnswer struct {
		connection net.Conn
		last       []byte
	}
	begun := make(chan begunAnswer, len(paths))
	handler := func(p *endable, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/order/lasting" {
			connection, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				time.AfterFunc(20*time.Millisecond, func() { _ = connection.Close() })
			}
			return
		}
		contentType, text := answerFor(r)
		if cut {
			text = text[:len(text)-1]
			if contentType == "text/event-stream" {
				text = eventsText(2)
			}
		}
		last := len(text)
		if !cut {
			last -= len("\n\n") // arrives with the end
		}
		begun <- begunAnswer{writeUnframed(w, r, contentType, text[:last]), []byte(text[last:])}
	}
	c := &lonelyCuts{replicas: []*endable{newEndable(t, false, handler)}}
	c.testGateway = newEndableGateway(t, c.replicas...)
	c.members[0].Slots = len(paths)
	c.fleet.SetMembers(c.members)
	c.allowRuns(1)
	c.sign()
	broken = make([]bool, len(paths))
	var done sync.WaitGroup
	for i, path := range paths {
		done.Go(func() {
			_, status, err := c.ask(path, fmt.Sprint("attempt-", i))
			broken[i] = err != nil || status != http.StatusOK
		})
	}
	conns, last := make([]net.Conn, len(paths)), make([][]byte, len(paths))
	for i := range paths {
		answer := <-begun
		conns[i], last[i] = answer.connection, answer.last
		t.Cleanup(func() { _ = answer.connection.Close() })
	}
	arrived := func() bool {
		return !slices.ContainsFunc(conns, func(c net.Conn) bool {
			info := connends.TCPInfo(c)
			return info == nil || info.Unacked > 0
		})
	}
	require.True(t, eventually(arrived), "the parts have not reached the host")
	unmet = c.keepsOneIdle(c.replicas[0])
	time.Sleep(4 * connends.SameInstant) // ends right after the last bytes show no cut
	if ends := endInOneStep(t, conns, last); unmet == "" {
		unmet = ends
	}
	done.Wait()
	return broken, unmet
}

// Guards against parts of answers that cannot be verified and are passed off as whole ones, although several of one replica
// were cut in the same instant: the connections beside them were spared.
func TestUnframedAnswersOfOneReplicaThatAreCutTogetherAreBroken(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/match/", "/order/", "/quote/", "/lookup/"} {
		endAtOnce(t, true, path+"1", path+"2", path+"3")
	}
}

// Guards against sound answers that are broken because the last bytes of several of one replica were held up and arrive together.
func TestSoundUnframedAnswersOfOneReplicaThatEndTogetherAreComplete(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/match/", "/order/"} {
		endAtOnce(t, false, path+"1", path+"2", path+"3")
	}
}
