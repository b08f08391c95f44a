package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/proxy"
)

// lonelyCuts are replicas whose connections are cut on the way, each alone. The processes live on.
type lonelyCuts struct {
	*testGateway
	replicas []*endable
	cut      atomic.Int64 // answers that are still to be cut, once they are sent in part
	runs     atomic.Int64 // of requests to other paths than /order/lasting
}

func newLonelyCuts(t *testing.T, relayed bool, n int) *lonelyCuts {
	t.Helper()
	c := &lonelyCuts{}
	for range n {
		c.replicas = append(c.replicas, newEndable(t, relayed, func(p *endable, w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/order/lasting" {
				connection, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					time.AfterFunc(20*time.Millisecond, func() { _ = connection.Close() })
				}
				return
			}
			c.runs.Add(1)
			if c.cut.Add(-1) < 0 {
				wholeAnswer(p, w, r)
				return
			}
			contentType, text := answerFor(r)
			text = text[:len(text)-1]
			if contentType == "text/event-stream" {
				text = eventsText(2)
			}
			_ = writeUnframed(w, r, contentType, text).Close()
		}))
	}
	c.testGateway = newEndableGateway(t, c.replicas...)
	return c
}

// sign cuts the connections of two requests without an answer, one after the other, so that the host takes other connections for cut, too.
func (c *lonelyCuts) sign() {
	c.loseRequest("lasting-1")
	c.loseRequest("lasting-2")
	suspected := func() bool {
		now := time.Now()
		return c.fleet.Stays(c.client.CutSigns(now), now)
	}
	require.Eventually(c.t, suspected, statePatience, time.Millisecond, "the host has seen no sign of a cut")
}

// loseRequest sends a request whose connection ends without an answer, and returns when the ends of connections of that moment
// are past.
func (c *lonelyCuts) loseRequest(id string) {
	response, err := c.send(c.t.Context(), testRequest{path: "/order/lasting", header: map[string]string{attemptIDHeader: id}})
	require.NoError(c.t, err)
	_ = response.Body.Close()
	time.Sleep(300 * time.Millisecond)
}

// ask sends a request and returns its answer.
func (c *lonelyCuts) ask(path, id string) (body string, status int, err error) {
	response, err := c.send(c.t.Context(), testRequest{path: path, header: map[string]string{attemptIDHeader: id}})
	require.NoError(c.t, err)
	read, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return string(read), response.StatusCode, err
}

// wholeOf returns the whole answer to a request.
func wholeOf(path string) string {
	r, _ := http.NewRequest(http.MethodPost, path, nil)
	_, text := answerFor(r)
	return text
}

// Guards against part of an answer without a length that is passed off as the whole answer, because its connection alone was
// cut on the way, where another connection was cut before.
func TestUnframedAnswerThatIsCutAloneGoesOnElsewhere(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		for _, path := range []string{"/quote/x", "/lookup/x"} {
			t.Run(fmt.Sprint(path, relayed), func(t *testing.T) {
				t.Parallel()
				c := newLonelyCuts(t, relayed, 2)
				c.sign()
				c.cut.Store(1)
				body, status, err := c.ask(path, "attempt")
				require.NoError(t, err)
				assert.Equal(t, http.StatusOK, status)
				assert.Equal(t, wholeOf(path), body)
			})
		}
	}
}

// Guards against sound answers that are broken or changed where connections are cut on the way.
func TestSoundUnframedAnswersStayCompleteWhereConnectionsAreCut(t *testing.T) {
	for name, options := range map[string]func(*proxy.Options){
		"verified":  func(*proxy.Options) {},
		"no budget": func(o *proxy.Options) { o.Budget.SetBounds(0, 0) },
	} {
		for _, replicas := range []int{1, 2} {
			t.Run(fmt.Sprint(name, replicas), func(t *testing.T) {
				t.Parallel()
				c := newLonelyCuts(t, false, replicas)
				c.restart(options, (&net.Dialer{}).DialContext)
				c.sign()
				for i, path := range []string{"/quote/x", "/lookup/x", "/match/x", "/order/x", "/quote/x"} {
					body, status, err := c.ask(path, fmt.Sprint("attempt-", i))
					require.NoError(t, err, path)
					assert.Equal(t, http.StatusOK, status, path)
					assert.Equal(t, wholeOf(path), body, path)
				}
			})
		}
	}
}

// Guards against further runs for the ends of answers without a length where no connection is cut.
func TestSoundUnframedAnswersAreNotVerifiedWithoutASign(t *testing.T) {
	c := newLonelyCuts(t, false, 2)
	const rounds = 4
	for i := range rounds {
		for _, path := range []string{"/quote/x", "/lookup/x"} {
			body, _, err := c.ask(path, fmt.Sprint("attempt", path, i))
			require.NoError(t, err)
			assert.Equal(t, wholeOf(path), body)
		}
	}
	assert.EqualValues(t, 2*rounds, c.runs.Load())
}
