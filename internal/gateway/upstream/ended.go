package upstream

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"heatherbarrow/internal/connends"
)

// maxBytesUnheld is the number of bytes that a host's kernel takes although the host reads none.
const maxBytesUnheld = 32 << 10

// OtherConnections tells what has become of the connections to the response's replica, and to those at further addresses,
// other than that of the response which were opened before the given time, when the response ended: whether any is open,
// and whether those that were have ended together with it.
func (c *Client) OtherConnections(r *Response, endedAt time.Time, further ...string) (open, endedTogether bool) {
	return c.ends.Others(r.conn.tracking, endedAt, append([]string{r.address}, further...)...)
}

// EarlierConnectionOpen reports whether a connection to the response's replica is open that was opened before that of the response,
// so that it leads to no later process.
func (c *Client) EarlierConnectionOpen(r *Response) bool { return c.ends.EarlierOpen(r.conn.tracking) }

// EndOfUnframed is what the connections to a replica show of the end of a response on one of them.
type EndOfUnframed struct {
	connends.EndOfAnswer
	// Awaited is Response.EndAwaited.
	Awaited time.Duration
}

// UnframedEnd returns what the connections to the response's replica show of its end, which was read at the given time.
func (c *Client) UnframedEnd(r *Response, endedAt time.Time) EndOfUnframed {
	return EndOfUnframed{EndOfAnswer: c.ends.EndOfAnswer(r.conn.tracking, endedAt), Awaited: r.EndAwaited()}
}

// Outlived returns the starts of the processes to which other connections to the response's replica were open for long after its end,
// which was read at the given time.
func (c *Client) Outlived(r *Response, endedAt time.Time) []int64 {
	return c.ends.Outlived(r.conn.tracking, endedAt)
}

// NoteProcess records that the process with the given start has sent the response.
func (r *Response) NoteProcess(started int64) { r.conn.tracking.LeadsTo(started) }

// EndedAt returns when the response's connection ended, of which the end was read at the given time.
func (c *Client) EndedAt(r *Response, read time.Time) time.Time { return r.conn.tracking.EndedAt(read) }

// EndUnasked opens a connection to a replica, sends nothing, and returns how the replica ends it: io.EOF in order, a
// network error otherwise, or nil if it does not within the given time. The error wraps ErrNotConnected if none is opened.
func (c *Client) EndUnasked(ctx context.Context, address string, within time.Duration) error {
	raw, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	defer func() { _ = raw.Close() }() // it only served as a probe
	deadline, bounded := ctx.Deadline()
	if until := time.Now().Add(within); !bounded || until.Before(deadline) {
		deadline = until
	}
	if err = raw.SetReadDeadline(deadline); err != nil {
		return err
	}
	_, err = raw.Read(make([]byte, 1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// LastBytesAt returns when the last bytes on the response's connection arrived, if that is known. It is not if so many have that
// this host may have held them up: bytes for which it has no room wait in the kernel of the sender, also when the process has ended.
func (r *Response) LastBytesAt() (at time.Time, known bool) {
	now, info := time.Now(), connends.TCPInfo(r.conn.Conn)
	if info == nil || info.Bytes_received > maxBytesUnheld {
		return time.Time{}, false
	}
	return now.Add(-time.Duration(info.Last_data_recv) * time.Millisecond), true
}

// AwaitEnds waits for the given time after the end of a response, or until the context ends, so that the ends of other
// connections which ended together with it can arrive. It returns at once if no other one is open.
func (c *Client) AwaitEnds(ctx context.Context, r *Response, endedAt time.Time, within time.Duration) {
	c.ends.AwaitOthers(ctx, r.conn.tracking, endedAt, within)
}

// CutSigns is connends.Tracker.CutSigns.
func (c *Client) CutSigns(now time.Time) (addresses []string) { return c.ends.CutSigns(now) }

// NoteCutSign records that the response, whose connection ended in order at the given time, was not complete.
func (c *Client) NoteCutSign(r *Response, at time.Time) { c.ends.NoteCutSign(r.address, at) }

// EndAwaited returns how long the end of the response's connection was awaited after all of its bytes had been read.
func (r *Response) EndAwaited() time.Duration { return r.conn.byteLimiter.endAwaited }
