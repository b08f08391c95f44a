package telemetry

import (
	"bytes"
	"log"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	// errorLinesPerSecond and errorLineBurst bound what one listener adds to the
	// log. A port scanner causes a line with each connection.
	errorLinesPerSecond = 1
	errorLineBurst      = 10
)

var (
	handshakePrefix = []byte("http: TLS handshake error")
	panicPrefix     = []byte("http: panic serving")
)

// NewErrorLog returns the ErrorLog of a listener's http.Server. It writes JSON lines
// to logger at a bounded rate: level error for a panic of a handler, otherwise warn.
func NewErrorLog(logger zerolog.Logger, listener string) *log.Logger {
	return log.New(newErrorWriter(logger.With().Str("listener", listener).Logger()), "", 0)
}

// RedirectStandardLog does the same with the logger of package log, which the
// clients of net/http use.
func RedirectStandardLog(logger zerolog.Logger) {
	log.SetFlags(0)
	log.SetOutput(newErrorWriter(logger))
}

// errorWriter turns each message of a standard logger into a JSON line. Failed
// handshakes, which anyone can cause, and other messages are limited apart.
type errorWriter struct {
	logger zerolog.Logger

	mu         sync.Mutex
	handshakes lineLimit
	others     lineLimit
}

func newErrorWriter(logger zerolog.Logger) *errorWriter {
	return &errorWriter{logger: logger, handshakes: newLineLimit(), others: newLineLimit()}
}

// Write implements io.Writer.
func (w *errorWriter) Write(message []byte) (int, error) {
	limit, level := &w.others, zerolog.WarnLevel
	switch {
	case bytes.HasPrefix(message, handshakePrefix):
		limit = &w.handshakes
	case bytes.HasPrefix(message, panicPrefix):
		level = zerolog.ErrorLevel
	}
	w.mu.Lock()
	suppressed, allowed := limit.take(time.Now())
	w.mu.Unlock()
	if !allowed {
		return len(message), nil
	}
	event := w.logger.WithLevel(level)
	if suppressed > 0 {
		event.Int("suppressed", suppressed)
	}
	event.Bytes("error", bytes.TrimRight(message, "\n")).Msg("HTTP error")
	return len(message), nil
}

// lineLimit bounds the rate of lines and counts those left out since the last one.
type lineLimit struct {
	limiter    *rate.Limiter
	suppressed int
}

func newLineLimit() lineLimit {
	return lineLimit{limiter: rate.NewLimiter(errorLinesPerSecond, errorLineBurst)}
}

func (l *lineLimit) take(now time.Time) (suppressed int, allowed bool) {
	if !l.limiter.AllowN(now, 1) {
		l.suppressed++
		return 0, false
	}
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}
