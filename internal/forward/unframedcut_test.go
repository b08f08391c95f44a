package forward

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/tlsconf"
)

// cutCase is an answer without a length that is cut together with the other connections to its service.
type cutCase struct {
	states    bool
	keepAlive string
	beside    []string // other calls
	before    string   // a call that leaves an idle connection
	lasts     time.Duration
}

// questionCount counts the questions beside the answers of a client.
type questionCount struct {
	begun, answered atomic.Int64
	latest          atomic.Int64 // when a question was last answered, in Unix nanoseconds
}

func countQuestions(client *Client) *questionCount {
	counted, ask := new(questionCount), client.beside.ask
	client.beside.ask = func(ctx context.Context, conn int, address string) (string, error) {
		counted.begun.Add(1)
		boot, err := ask(ctx, conn, address) // its connection is idle then
		counted.latest.Store(time.Now().UnixNano())
		counted.answered.Add(1)
		return boot, err
	}
	return counted
}

// areIdle reports whether the connections of the questions are idle and reserved.
func (q *questionCount) areIdle() bool {
	answered := q.answered.Load()
	return answered >= besideConns && q.begun.Load() == answered && time.Since(time.Unix(0, q.latest.Load())) < reservedTime/2
}

// play cuts the answer and returns its error. asPlanned means that all connections ended in one moment, in which those of the questions
// were idle and reserved: a busy machine may suspend the process in between.
func (c *cutCase) play(t *testing.T, repeatable bool) (err error, asPlanned bool) {
	s := newCutService(t, c.states, c.keepAlive)
	client, err := NewClient(tlsconf.TransportOptions{IdlePerHost: 8}, nil)
	require.NoError(t, err)
	questions := countQuestions(client)
	var ends []func() error
	for _, path := range c.beside {
		ends = append(ends, s.call(t.Context(), client, path, repeatable))
		<-s.begun
	}
	if c.before != "" {
		beside := s.call(t.Context(), client, "/await", true) // takes the first connection
		<-s.begun
		for range 2 { // the second one tells this host how long the connection is kept
			require.NoError(t, s.call(t.Context(), client, c.before, true)())
		}
		ends = append(ends, beside)
	}
	end := s.call(t.Context(), client, "/x", repeatable)
	<-s.begun
	time.Sleep(20*time.Millisecond + c.lasts)
	if c.lasts > 0 {
		require.Eventually(t, questions.areIdle, 10*time.Second, time.Millisecond, "the service is asked beside the answer")
	}
	asPlanned = s.cut() && (c.lasts == 0 || questions.areIdle())
	err = end()
	for _, beside := range ends {
		require.Error(t, beside())
	}
	return err, asPlanned
}

// Guards against part of an answer without a length that counts as complete, because the process of its service lives on after
// something else has ended its connection and others.
func TestUnframedAnswerThatIsCutWithOtherConnectionsIsNotComplete(t *testing.T) {
	const tries = 20
	for name, c := range map[string]cutCase{
		"one awaits its answer":             {beside: []string{"/await"}},
		"one awaits its answer, states":     {states: true, beside: []string{"/await"}},
		"two answers with a length":         {beside: []string{"/framed", "/framed"}},
		"two answers with a length, states": {states: true, beside: []string{"/framed", "/framed"}},
		"one is idle for a stated time":     {keepAlive: "timeout=20", before: "/idle"},
		"none":                              {states: true, lasts: 2 * besideDelay},
		"none, of a long answer":            {states: true, lasts: 3 * reservedTime},
		"none, of a long answer, stated":    {states: true, keepAlive: "timeout=20", lasts: 3 * reservedTime},
	} {
		for _, repeatable := range []bool{true, false} {
			t.Run(name+" "+strconv.FormatBool(repeatable), func(t *testing.T) {
				t.Parallel()
				for range tries {
					err, asPlanned := c.play(t, repeatable)
					if asPlanned {
						assert.ErrorIs(t, err, ErrBroken)
						return
					}
				}
				assert.Fail(t, "no cut as planned", "%d tries", tries)
			})
		}
	}
}

// Guards against part of an answer without a length that counts as complete, because the next process of its service, which does not
// state its processes, accepts connections at its address.
func TestUnframedAnswerOfReplacedProcessIsNotComplete(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		s := newCutService(t, false, "")
		client, err := NewClient(tlsconf.TransportOptions{IdlePerHost: 8}, nil)
		require.NoError(t, err)
		beside := s.call(t.Context(), client, "/await", repeatable)
		<-s.begun
		end := s.call(t.Context(), client, "/x", repeatable)
		<-s.begun
		require.NoError(t, s.listener.Close())
		next, err := net.Listen("tcp", s.address)
		require.NoError(t, err)
		s.serve(t, next)
		s.cut()
		require.ErrorIs(t, end(), ErrBroken)
		require.Error(t, beside())
	}
}

// Guards against services that are asked for their process without need: beside an answer with a length, by a router to which they do
// not state it, and after the end of the answer.
func TestServiceIsAskedBesideUnframedAnswersOnly(t *testing.T) {
	for _, c := range []struct {
		path   string
		states bool
		asked  bool
	}{{"/x", true, true}, {"/x", false, false}, {"/framed", true, false}} {
		t.Run(c.path+" "+strconv.FormatBool(c.states), func(t *testing.T) {
			t.Parallel()
			s := newCutService(t, c.states, "")
			client, err := NewClient(tlsconf.TransportOptions{}, nil)
			require.NoError(t, err)
			ends := []func() error{s.call(t.Context(), client, c.path, true), s.call(t.Context(), client, c.path, true)}
			<-s.begun
			<-s.begun
			time.Sleep(besideDelay + besideInterval)
			if c.asked {
				assert.Eventually(t, func() bool { return s.asked.Load() >= 2*besideConns }, 10*time.Second, time.Millisecond)
			} else {
				assert.Zero(t, s.asked.Load())
			}
			s.finish()
			if c.path == "/framed" {
				s.cut()
			}
			for _, end := range ends {
				_ = end() // others test whether it is complete
			}
			time.Sleep(besideInterval / 2) // for a question under way
			asked := s.asked.Load()
			time.Sleep(2 * besideInterval)
			assert.Equal(t, asked, s.asked.Load())
			assert.Empty(t, client.beside.addresses)
		})
	}
}

// Guards against questions beside an answer that all go over one connection, because the first one is answered while the others await
// theirs, so that a cut is not noticed.
func TestEachQuestionBesideAnAnswerHasItsOwnConnection(t *testing.T) {
	const (
		before  = 2 // connections: of the answer and of the first question
		opensIn = 50 * time.Millisecond
	)
	s := newCutService(t, true, "")
	var dials atomic.Int64
	dial := func(ctx context.Context, network, to string) (net.Conn, error) {
		if dials.Add(1) > before {
			for began := time.Now(); s.asked.Load() < besideConns && time.Since(began) < opensIn; {
				time.Sleep(time.Millisecond)
			}
		}
		return (&net.Dialer{}).DialContext(ctx, network, to)
	}
	client, err := NewClient(tlsconf.TransportOptions{Dial: dial}, nil)
	require.NoError(t, err)
	end := s.call(t.Context(), client, "/x", true)
	<-s.begun
	require.Eventually(t, func() bool { return s.asked.Load() >= besideConns }, 10*time.Second, time.Millisecond)
	s.mu.Lock()
	assert.Len(t, s.askedVia, besideConns)
	s.mu.Unlock()
	s.finish()
	assert.NoError(t, end())
}
