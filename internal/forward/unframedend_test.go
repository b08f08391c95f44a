package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/connends"
	"heatherbarrow/internal/scheduling/requestlimit"
	"heatherbarrow/internal/tlsconf"
)

// cutService is a service whose connections a test ends in order, all at once, while its process lives on. It answers /x with
// part of an answer without a length, /framed with part of one with a length, /idle at once, and nothing else.
type cutService struct {
	address   string
	states    bool          // its process, in each answer
	keepAlive string        // of answers that do not end with their connections
	begun     chan struct{} // receives for each call whose answer does not end by itself, once the client has read its head
	listener  net.Listener
	asked     atomic.Int64 // questions for its process

	mu       sync.Mutex
	conns    map[net.Conn]bool   // whether an answer ends with the connection
	askedVia map[string]struct{} // the client's addresses of the connections with questions
}

func newCutService(t *testing.T, states bool, keepAlive string) *cutService {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &cutService{
		address: listener.Addr().String(), states: states, keepAlive: keepAlive, listener: listener,
		begun: make(chan struct{}, 100), conns: make(map[net.Conn]bool), askedVia: make(map[string]struct{}),
	}
	s.serve(t, listener)
	return s
}

func (s *cutService) serve(t *testing.T, listener net.Listener) {
	server := &http.Server{Handler: s, ConnState: s.note}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		s.cut() // those that were hijacked, too
	})
}

func (s *cutService) note(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed {
		delete(s.conns, c)
		return
	}
	s.conns[c] = state == http.StateHijacked
}

// ServeHTTP implements http.Handler.
func (s *cutService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.states {
		w.Header().Set("Heatherbarrow-Boot", "boot")
	}
	if s.keepAlive != "" {
		w.Header().Set("Keep-Alive", s.keepAlive)
	}
	switch r.URL.Path {
	case "/heatherbarrow/boot":
		s.mu.Lock()
		s.askedVia[r.RemoteAddr] = struct{}{}
		s.mu.Unlock()
		s.asked.Add(1)
		return
	case "/idle":
		return
	case "/framed":
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half of the ans")
		_ = http.NewResponseController(w).Flush()
	case "/await":
		s.begun <- struct{}{} // there will be no head
	case "/x":
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		boot := ""
		if s.states {
			boot = "Heatherbarrow-Boot: boot\r\n"
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+boot+"\r\nhalf of the ans")
		return
	}
	<-r.Context().Done()
}

// cut ends all connections in order, and reports whether all ended in one moment: a busy machine may suspend it in between.
func (s *cutService) cut() (atOnce bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	began := time.Now()
	for c := range s.conns {
		_ = c.(*net.TCPConn).CloseWrite()
	}
	s.conns = make(map[net.Conn]bool)
	return time.Since(began) <= connends.SameInstant
}

// finish ends the answers that end with their connections.
func (s *cutService) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, endsAnswer := range s.conns {
		if endsAnswer {
			_ = c.(*net.TCPConn).CloseWrite()
			delete(s.conns, c)
		}
	}
}

// call begins a call and returns what reads its error.
func (s *cutService) call(ctx context.Context, client *Client, path string, repeatable bool) (end func() error) {
	ended := make(chan error, 1)
	go func() {
		answer, err := client.Service(ctx, ServiceCall{
			Address: s.address, Method: http.MethodGet, Path: path, Repeatable: repeatable,
			OnLimit: func(requestlimit.Statement, string) {
				if path != "/idle" {
					s.begun <- struct{}{}
				}
			},
		})
		if err == nil {
			answer.Release()
		}
		ended <- err
	}()
	return func() error { return <-ended }
}

// Guards against part of an answer without a length that counts as complete, because its service ends it in order when the time of the
// call is over, and against a whole answer that is lost although there is time left.
func TestUnframedAnswerThatEndsAtItsDeadlineIsNotComplete(t *testing.T) {
	const parts, wholes = 20, 4
	for _, states := range []bool{true, false} {
		for _, repeatable := range []bool{true, false} {
			t.Run(strconv.FormatBool(states)+" "+strconv.FormatBool(repeatable), func(t *testing.T) {
				t.Parallel()
				s := newCutService(t, states, "")
				client, err := NewClient(tlsconf.TransportOptions{IdlePerHost: 8}, nil)
				require.NoError(t, err)
				for range wholes {
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					end := s.call(ctx, client, "/x", repeatable)
					<-s.begun
					s.finish()
					assert.NoError(t, end())
					cancel()
				}
				for i := range parts {
					ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
					at, _ := ctx.Deadline()
					end := s.call(ctx, client, "/x", repeatable)
					<-s.begun
					time.Sleep(time.Until(at) - time.Duration(i%4)*time.Millisecond)
					s.cut()
					assert.Error(t, end(), "%d ms before", i%4)
					cancel()
				}
			})
		}
	}
}

// Guards against part of an answer without a length that counts as complete, because nothing answers at its service after the end, and
// against a whole one that is lost as its service is full, while other connections to it live on.
func TestUnframedAnswerOfSilentServiceIsNotComplete(t *testing.T) {
	for _, full := range []bool{false, true} {
		for _, repeatable := range []bool{true, false} {
			t.Run(strconv.FormatBool(full)+" "+strconv.FormatBool(repeatable), func(t *testing.T) {
				t.Parallel()
				var silent atomic.Bool
				dial := func(ctx context.Context, network, to string) (net.Conn, error) {
					if silent.Load() {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					return (&net.Dialer{}).DialContext(ctx, network, to)
				}
				s := newCutService(t, false, "")
				client, err := NewClient(tlsconf.TransportOptions{Dial: dial}, nil)
				require.NoError(t, err)
				if full {
					s.call(t.Context(), client, "/await", repeatable)
					<-s.begun
				}
				end := s.call(t.Context(), client, "/x", repeatable)
				<-s.begun
				silent.Store(true)
				s.finish()
				if full {
					require.NoError(t, end())
					return
				}
				require.Error(t, end())
			})
		}
	}
}
