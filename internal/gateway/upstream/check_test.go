package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// processReplica answers questions with its name, and closes the connection after that if closes is set.
type processReplica struct {
	mu     sync.Mutex
	name   string
	silent bool
	closes bool
	asked  int
	got    int // other requests
}

func (p *processReplica) serve(c net.Conn, r *bufio.Reader) {
	for {
		request, _, err := readRequest(r)
		if err != nil {
			return
		}
		p.mu.Lock()
		name, silent, closes := p.name, p.silent, p.closes
		if request.URL.Path == "/which" {
			p.asked++
		} else {
			p.got++
			name, silent, closes = "answer", false, false
		}
		p.mu.Unlock()
		if silent {
			continue
		}
		connection := ""
		if closes {
			connection = "Connection: close\r\n"
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", connection, len(name), name)
		if closes {
			return
		}
	}
}

func (p *processReplica) counts() (asked, got int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked, p.got
}

// checkedRequest returns a request that is meant for the process with the given name. Connections opened before the
// last expected answer are known.
func checkedRequest(address, name string, required bool) *Request {
	var aliveAt time.Time
	return &Request{Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Check: &Check{
		Broken: func() {}, Target: "/which", Timeout: 100 * time.Millisecond, Required: required,
		Known: func(openedAt time.Time) bool { return !openedAt.After(aliveAt) },
		Verify: func(askedAt time.Time, status int, body []byte) bool {
			if status == http.StatusOK && string(body) == name {
				aliveAt = askedAt
				return true
			}
			return false
		},
	}}
}

// Guards against a request that reaches another process than the one it must go to, and against more questions than
// one for each connection.
func TestRequestIsSentToExpectedProcessOnly(t *testing.T) {
	for _, test := range []struct {
		name                       string
		replica                    *processReplica
		required, checked, refused bool
		asked                      int
	}{
		{"expected", &processReplica{name: "a"}, true, true, false, 1},
		{"another", &processReplica{name: "b"}, true, false, true, 1},
		{"another, allowed", &processReplica{name: "b"}, false, false, false, 1},
		{"silent", &processReplica{silent: true}, true, false, true, 1},
		{"silent, allowed", &processReplica{silent: true}, false, false, false, 1},
		{"closes after its answer", &processReplica{name: "a", closes: true}, true, false, true, 2},
		{"closes after its answer, allowed", &processReplica{name: "a", closes: true}, false, false, false, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := startReplica(t, test.replica.serve)
			client := newTestClient()
			request := checkedRequest(server.address, "a", test.required)
			for range 3 {
				response, err := client.Do(t.Context(), request)
				asked, got := test.replica.counts()
				if test.refused {
					require.ErrorIs(t, err, ErrUnexpectedProcess)
					require.ErrorIs(t, err, ErrNotSent)
					assert.Zero(t, got)
					assert.Equal(t, test.asked, asked)
					return
				}
				require.NoError(t, err)
				assert.Equal(t, test.checked, response.Checked, strconv.Itoa(asked))
				response.Discard()
				response.Close()
				if !test.checked {
					assert.Equal(t, test.asked, asked)
					return
				}
				assert.Equal(t, 1, asked, "the connection is known since")
			}
		})
	}
}

// Guards against a request that fails because a pooled connection closes just as the process is asked on it.
func TestQuestionOnClosedPooledConnectionIsAskedAgain(t *testing.T) {
	process := &processReplica{name: "a"}
	server := startReplica(t, process.serve)
	client := newTestClient()
	require.NoError(t, client.Connect(t.Context(), server.address, 0))
	stale := client.pool.idle[server.address][0]
	stale.usedBefore = true
	require.NoError(t, stale.Conn.(*net.TCPConn).CloseWrite())
	response, err := client.Do(t.Context(), checkedRequest(server.address, "a", true))
	require.NoError(t, err)
	assert.True(t, response.Checked)
	response.Close()
}

// Guards against a late duplicate of an earlier answer that is taken for the answer to a question: the process would count as
// one that does not tell which it is.
func TestLateDuplicateIsNotTheAnswerToAQuestion(t *testing.T) {
	server := startReplica(t, func(c net.Conn, r *bufio.Reader) {
		for {
			request, _, err := readRequest(r)
			if err != nil {
				return
			}
			if request.URL.Path == "/which" {
				_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nHeatherbarrow-Attempt-Id: 1\r\nContent-Length: 4\r\n\r\nlate") // duplicate
				time.Sleep(20 * time.Millisecond)
				_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na")
				continue
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nHeatherbarrow-Attempt-Id: %s\r\nContent-Length: 6\r\n\r\nanswer", request.Header.Get("Heatherbarrow-Attempt-Id"))
		}
	})
	client := newTestClient()
	plain := &Request{Address: server.address, Method: http.MethodPost, Target: "/x", Host: "h", ID: "1", Header: fixedHeader("Heatherbarrow-Attempt-Id", "1")}
	response, err := client.Do(t.Context(), plain)
	require.NoError(t, err)
	response.Discard()
	response.Close()
	request := checkedRequest(server.address, "a", true)
	request.ID, request.Header = "2", fixedHeader("Heatherbarrow-Attempt-Id", "2")
	request.Check.Matches = func(_ int, h http.Header) bool { return h.Get("Heatherbarrow-Attempt-Id") == "" }
	request.Matches = func(_ int, h http.Header, reused bool) bool {
		id := h.Get("Heatherbarrow-Attempt-Id")
		return id == "2" || id == "" && !reused
	}
	response, err = client.Do(t.Context(), request)
	require.NoError(t, err)
	assert.True(t, response.Checked)
	response.Close()
}
