package proxy

import (
	"errors"
	"io"
	"time"

	"heatherbarrow/internal/connends"
)

// errOutOfTime means that the body of a response without a length ended when its replica's time was over.
var errOutOfTime = errors.New("response without a length ended as its time was over")

// inTimeReader reads the body of a response that states no length. A replica stops work when the time that it was given is over. If
// it ends the answer in order then, by its connection or, as HTTP servers do when a handler returns, by the last chunk, part of an
// answer looks like a whole one.
type inTimeReader struct {
	io.Reader
	exchange *exchange
}

// Read implements io.Reader.
func (r *inTimeReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != io.EOF {
		return n, err
	}
	if observe := r.exchange.server.opts.ObserveSuspension; observe != nil {
		observe() // the replica's clock may have gone on while this host's stood still
	}
	if r.exchange.timeLeft(time.Now()) <= connends.DeadlineMargin {
		return n, errOutOfTime
	}
	return n, err
}
