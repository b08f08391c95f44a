package objectstore

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
)

const (
	// maxRetryAfter bounds how long calls are held back, whatever the platform
	// asks for. A lease lives for 10 s and is renewed every 2 s.
	maxRetryAfter = 2 * time.Second
	// retryJitter is the share by which calls that were held back spread out.
	retryJitter = 0.25
)

// limits holds calls back for as long as the platform asked. It has rates of its
// own for reads and for writes.
type limits struct {
	clock   clockwork.Clock
	refused atomic.Uint64 // answers with status 429

	mu           sync.Mutex
	reads, write time.Time // no call before these
}

func (l *limits) until(method string) *time.Time {
	if method == http.MethodGet {
		return &l.reads
	}
	return &l.write
}

// note takes an answer with status 429.
func (l *limits) note(method string, header http.Header) {
	l.refused.Add(1)
	now := l.clock.Now()
	wait := min(retryAfter(header.Get("Retry-After"), now), maxRetryAfter)
	if wait <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if until := l.until(method); now.Add(wait).After(*until) {
		*until = now.Add(wait)
	}
}

// retryAfter returns the time in seconds or the HTTP date of the header as a
// duration, 0 when it is neither.
func retryAfter(value string, now time.Time) time.Duration {
	if seconds, err := strconv.ParseUint(value, 10, 31); err == nil {
		return time.Duration(seconds) * time.Second
	}
	if date, err := http.ParseTime(value); err == nil {
		return date.Sub(now)
	}
	return 0
}

// wait holds a call back. It fails at once when ctx ends before the call may be
// made, and then nothing is sent.
func (l *limits) wait(ctx context.Context, method string) error {
	l.mu.Lock()
	now := l.clock.Now()
	wait := l.until(method).Sub(now)
	l.mu.Unlock()
	if wait <= 0 {
		return nil
	}
	wait += time.Duration(rand.Float64() * retryJitter * float64(wait))
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < wait {
		return eris.Wrap(ErrRateLimited, "held back")
	}
	select {
	case <-ctx.Done():
		return eris.Wrap(ErrRateLimited, ctx.Err().Error())
	case <-l.clock.After(wait):
		return nil
	}
}
