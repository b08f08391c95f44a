package soak

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"heatherbarrow/internal/gateway/netio"
)

// rigAnswer writes an answer to a connection.
type rigAnswer struct {
	c      net.Conn
	framed bool         // in chunks
	sent   bytes.Buffer // all that was written, unless it is long
	err    error

	mu    sync.Mutex // held while a piece is written
	ended bool
}

// errTimeOver means that a replica stopped work as the time of a request was over.
var errTimeOver = errors.New("time is over")

// stop ends the answer in order where it is, as HTTP servers do when a handler returns early: one with chunks by the last one.
func (a *rigAnswer) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.ended:
		return
	case a.framed:
		a.raw("0\r\n\r\n")
	default:
		_ = a.c.Close()
	}
	a.ended, a.err = true, cmp.Or(a.err, errTimeOver)
}

func (a *rigAnswer) raw(text string) {
	if a.err != nil {
		return
	}
	if a.sent.Len() < 64<<10 {
		a.sent.WriteString(text)
	}
	_, a.err = io.WriteString(a.c, text)
}

func (a *rigAnswer) write(text string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.framed {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	a.raw(text)
	return a.err
}

func (a *rigAnswer) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.framed {
		a.raw("0\r\n\r\n")
	}
	a.ended = true
}

// maxQueueWait is the longest time that a request waits in the queue of a replica.
const maxQueueWait = 1500 * time.Millisecond

// refusesNow reports whether the replica refuses a request, which may wait in its queue first.
func (r *rigReplica) refusesNow() bool {
	if n := r.refuses.Load(); n > 0 && rand.Int32N(n) == 0 {
		return true
	}
	if n := r.queues.Load(); n > 0 && rand.Int32N(n) == 0 {
		time.Sleep(rand.N(maxQueueWait))
		return rand.IntN(2) == 0
	}
	return false
}

// restHeader returns the line of a refusal that asks the host to rest, if the replica does.
func (r *rigReplica) restHeader() string {
	if !r.rests.Load() || rand.IntN(2) == 0 {
		return ""
	}
	return "Retry-After: 0.3\r\n"
}

// resetsNow resets a new connection and returns true if the replica has too many.
func (r *rigReplica) resetsNow(c net.Conn) bool {
	n := r.resets.Load()
	if n == 0 || rand.Int32N(n) != 0 {
		return false
	}
	_ = netio.Reset(c)
	r.rig.log.note("%s resets a connection from %v", r.id, c.RemoteAddr())
	return true
}

// maxForeignDelay is how late bytes of no request come after an answer.
const maxForeignDelay = 30 * time.Millisecond

// garbled returns bytes that a faulty replica may send after a complete answer.
func garbled(answer string) string {
	head, body, _ := strings.Cut(answer, "\r\n\r\n")
	switch rand.IntN(4) {
	case 0:
		return answer
	case 1: // without the ID of its request
		lines := slices.DeleteFunc(strings.Split(head, "\r\n"), func(line string) bool { return strings.HasPrefix(line, attemptIDHeader) })
		return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
	case 2: // without a length or chunks
		lines := slices.DeleteFunc(strings.Split(head, "\r\n"), func(line string) bool {
			return strings.HasPrefix(line, "Transfer-Encoding") || strings.HasPrefix(line, "Content-Length")
		})
		return strings.Join(lines, "\r\n") + "\r\n\r\nid: 0\ndata: of no request\n\n"
	default:
		return "id: 0\ndata: of no request\n\n"
	}
}
