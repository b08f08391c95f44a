package forward

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/tlsconf"
)

// statingService states its process in each answer. Calls of /x get an answer without a length.
type statingService struct {
	address  string
	listener net.Listener
	boot     atomic.Int32                     // process that answers now
	other    atomic.Pointer[http.HandlerFunc] // answers in place of the process
	end      func(*statingService)            // called after the last byte of an answer, before its connection ends
	refuse   atomic.Bool                      // new connections are refused
}

func newStatingService(t *testing.T, end func(*statingService)) *statingService {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &statingService{address: listener.Addr().String(), listener: listener, end: end}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// ServeHTTP implements http.Handler.
func (s *statingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if other := s.other.Load(); other != nil {
		(*other)(w, r)
		return
	}
	boot := "boot-" + strconv.Itoa(int(s.boot.Load()))
	if r.URL.Path != "/x" {
		w.Header().Set("Heatherbarrow-Boot", boot)
		w.WriteHeader(http.StatusNotFound)
		return
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nHeatherbarrow-Boot: "+boot+"\r\n\r\nanswer")
	s.end(s)
}

func (s *statingService) answerWith(h http.HandlerFunc) { s.other.Store(&h) }

// dial refuses new connections to the service on demand.
func (s *statingService) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if s.refuse.Load() {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

func closeWithoutAnswer(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against part of an answer without a length that is passed off as the whole answer while something else accepts
// connections for the ended process, and against whole answers that are lost.
func TestUnframedAnswerIsCompleteWhileItsProcessLives(t *testing.T) {
	states := func(boot string, delay time.Duration) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(delay)
			w.Header().Set("Heatherbarrow-Boot", boot)
		}
	}
	for name, c := range map[string]struct {
		end  func(*statingService)
		want error
	}{
		"process lives":             {func(*statingService) {}, nil},
		"process lives and is slow": {func(s *statingService) { s.answerWith(states("boot-0", 2*inspectTimeout)) }, nil},
		"answers again after some refusals": {func(s *statingService) {
			s.refuse.Store(true)
			time.AfterFunc(inspectTimeout/4, func() { s.refuse.Store(false) })
		}, nil},
		"next process takes the address": {func(s *statingService) { s.boot.Add(1) }, ErrBroken},
		"relay accepts and closes":       {func(s *statingService) { s.answerWith(closeWithoutAnswer) }, ErrBroken},
		"another service answers":        {func(s *statingService) { s.answerWith(func(http.ResponseWriter, *http.Request) {}) }, ErrBroken},
		"next process after a while": {func(s *statingService) {
			s.answerWith(closeWithoutAnswer)
			time.AfterFunc(inspectTimeout/4, func() { s.answerWith(states("boot-1", 0)) })
		}, ErrBroken},
		"all replicas ended": {func(s *statingService) { s.refuse.Store(true) }, ErrBroken},
		"no answer in time":  {func(s *statingService) { s.answerWith(states("boot-0", 2*bootTimeout)) }, ErrTimeout},
	} {
		for _, repeatable := range []bool{true, false} {
			t.Run(name+" "+strconv.FormatBool(repeatable), func(t *testing.T) {
				t.Parallel()
				s := newStatingService(t, c.end)
				client, err := NewClient(tlsconf.TransportOptions{Dial: s.dial}, nil)
				require.NoError(t, err)
				answer, err := client.Service(t.Context(), ServiceCall{
					Address: s.address, Method: http.MethodPost, Path: "/x", Repeatable: repeatable,
					Others: func() []string { return []string{s.address} },
				})
				if c.want != nil {
					require.True(t, errors.Is(err, c.want), "%v", err)
					return
				}
				require.NoError(t, err)
				require.Equal(t, "answer", string(answer.Body))
			})
		}
	}
}

// Guards against whole answers that are lost on a host whose open connections live on while new ones are refused.
func TestUnframedAnswerIsCompleteWhileNewConnectionsAreRefused(t *testing.T) {
	var answers atomic.Int32
	s := newStatingService(t, func(s *statingService) { s.refuse.Store(answers.Add(1) > 1) })
	client, err := NewClient(tlsconf.TransportOptions{Dial: s.dial, IdlePerHost: 1}, nil)
	require.NoError(t, err)
	for range 2 {
		answer, err := client.Service(t.Context(), ServiceCall{Address: s.address, Method: http.MethodPost, Path: "/x"})
		require.NoError(t, err)
		require.Equal(t, "answer", string(answer.Body))
	}
}

// Guards against part of an answer without a length that is passed off as the whole answer when several replicas of a
// service that does not state its processes end together.
func TestUnframedAnswerWhenSeveralReplicasEnd(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\n\r\nanswer"
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	for name, c := range map[string]struct {
		repeatable bool
		another    func(sinceEnd time.Duration) error // connects to another replica; a further one never answers
		complete   bool
	}{
		"others live or never answer": {repeatable: true, another: func(time.Duration) error { return nil }},
		"all, another is back": {repeatable: true, another: func(sinceEnd time.Duration) error {
			if sinceEnd < inspectTimeout/4 {
				return refused
			}
			return nil
		}},
		"all, repeatable":         {repeatable: true, another: func(time.Duration) error { return refused }, complete: true},
		"all, must not run twice": {another: func(time.Duration) error { return refused }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var ended atomic.Pointer[time.Time]
			dial := func(ctx context.Context, network, to string) (net.Conn, error) {
				at := ended.Load()
				switch {
				case at == nil:
					return (&net.Dialer{}).DialContext(ctx, network, to)
				case to == "silent":
					<-ctx.Done()
					return nil, ctx.Err()
				case to != "another":
					return nil, refused
				}
				conn, _ := net.Pipe()
				return conn, cmp.Or(ctx.Err(), c.another(time.Since(*at)))
			}
			address := answerOnce(t, text, func(net.Listener) { now := time.Now(); ended.Store(&now) })
			client, err := NewClient(tlsconf.TransportOptions{Dial: dial}, nil)
			require.NoError(t, err)
			_, err = client.Service(t.Context(), ServiceCall{
				Address: address, Method: http.MethodGet, Path: "/x", Repeatable: c.repeatable,
				Others: func() []string { return []string{"silent", "another"} },
			})
			if c.complete {
				require.NoError(t, err)
				return
			}
			require.True(t, errors.Is(err, ErrBroken), "%v", err)
		})
	}
}
