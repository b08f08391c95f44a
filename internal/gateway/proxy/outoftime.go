package proxy

import (
	"errors"
	"io"
	"time"

	"heatherbarrow/internal/connends"
)

// errOutOfTime means that the body of an unframed response ended when its replica's time was over.
var errOutOfTime = errors.New("response without a length ended as its time was over")

// inTimeReader reads the body of an unframed response. A replica stops work when the time that it was given is over. If it
// closes the connection in order then, its process lives on, and part of an answer looks like a whole one.
type inTimeReader struct {
	io.Reader
	exchange *exchange
}

// Read implements io.Reader.
func (r *inTimeReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == io.EOF && r.exchange.timeLeft(time.Now()) <= connends.DeadlineMargin {
		err = errOutOfTime
	}
	return n, err
}
