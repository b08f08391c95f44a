package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// asyncBuffer bounds the lines that wait to be written, and with asyncInterval
	// the volume of the log: 512 KB a second. A busy host writes about a tenth.
	asyncBuffer   = 256 << 10
	asyncInterval = 500 * time.Millisecond
)

// AsyncWriter collects log lines and writes them from a goroutine of its own, so
// that a reader that stalls never holds up the caller. Lines beyond its buffer are
// dropped and counted in a line of their own.
type AsyncWriter struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int

	stop    chan struct{}
	stopped chan struct{}
}

// NewAsyncWriter returns a writer to out. Close ends it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, stop: make(chan struct{}), stopped: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > asyncBuffer {
		w.dropped++
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

// Close writes what is left, as far as the reader takes it within asyncInterval.
func (w *AsyncWriter) Close() error {
	w.CloseBefore(time.Now().Add(asyncInterval))
	return nil
}

// CloseBefore is Close for a process that must end at the given time.
func (w *AsyncWriter) CloseBefore(end time.Time) {
	close(w.stop)
	select {
	case <-w.stopped:
	case <-time.After(min(asyncInterval, time.Until(end))):
	}
}

func (w *AsyncWriter) run() {
	defer close(w.stopped)
	ticker := time.NewTicker(asyncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.flush()
		case <-w.stop:
			w.flush()
			return
		}
	}
}

func (w *AsyncWriter) flush() {
	w.mu.Lock()
	lines, dropped := w.buffer, w.dropped
	w.buffer, w.dropped = w.spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, `{"level":"warn","dropped":%d,"message":"log lines were dropped"}`+"\n", dropped)
	}
	if len(lines) > 0 {
		_, _ = w.out.Write(lines) // there is nowhere to report a broken log
	}
	w.mu.Lock()
	w.spare = lines
	w.mu.Unlock()
}
