package netio

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// ConnTrace tells which connections a call used. An http.Transport repeats a call on another one when an idle
// connection turns out to be broken.
type ConnTrace struct {
	started  time.Time
	used     atomic.Int32
	reused   atomic.Int32 // of these, connections that had served an earlier call
	lastUsed atomic.Int64 // nanoseconds between the start of the call and its use of the last connection
}

// TraceConn returns a context for one HTTP call, which starts now, and the trace of its connections.
func TraceConn(ctx context.Context) (context.Context, *ConnTrace) {
	t := &ConnTrace{started: time.Now()}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		t.used.Add(1)
		if info.Reused {
			t.reused.Add(1)
		}
		t.lastUsed.Store(int64(time.Since(t.started)))
	}}), t
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (t *ConnTrace) MarshalZerologObject(e *zerolog.Event) {
	e.Dur("took_ms", time.Since(t.started)).Int32("connections", t.used.Load()).Int32("connections_reused", t.reused.Load()).
		Dur("last_connection_after_ms", time.Duration(t.lastUsed.Load()))
}
