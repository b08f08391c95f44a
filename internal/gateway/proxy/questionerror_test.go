package proxy

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/upstream"
)

// Guards against part of an answer that is taken for whole because no further connection could be opened after a question
// was reset, as the time was over or this host had no port left: that does not show that a process answered.
func TestFailedConnectionIsNoReply(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want reply
	}{
		"time over, before the context ends": {os.ErrDeadlineExceeded, openAfterReset},
		"no port left":                       {os.NewSyscallError("connect", syscall.EADDRNOTAVAIL), noReply},
		"no route":                           {os.NewSyscallError("connect", syscall.ENETUNREACH), noReply},
		"refused":                            {os.NewSyscallError("connect", syscall.ECONNREFUSED), refused},
	} {
		dial := func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: c.err}
		}
		s := &Server{opts: Options{Client: upstream.NewClient(dial, nil)}}
		reset := fmt.Errorf("%w: %w", upstream.ErrNoResponse, syscall.ECONNRESET)
		assert.Equal(t, c.want, s.replyAfterReset(t.Context(), &fleet.Member{Address: "127.0.0.1:1"}, reset), name)
	}
}

// Guards against a silent replica whose question seems to be answered by bytes that are no answer, as the time of its connection is over
// just before that of the question.
func TestQuestionThatTimesOutHasNoReply(t *testing.T) {
	err := fmt.Errorf("%w: %w", upstream.ErrNoResponse, os.ErrDeadlineExceeded)
	assert.Equal(t, noReply, replyOf(t.Context(), err))
}
