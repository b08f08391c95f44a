package upstream

import (
	"fmt"
	"io"
	"time"

	"heatherbarrow/internal/connreset"
)

// resetDetector reads an unframed body while the body of the request may still be written on the connection, see
// package connreset.
type resetDetector struct {
	io.Reader
	response *Response
}

// Read implements io.Reader. A body whose connection failed ends with io.ErrUnexpectedEOF.
func (d *resetDetector) Read(p []byte) (int, error) {
	n, err := d.Reader.Read(p)
	if err == io.EOF {
		if writeErr := d.response.endWrite(); connreset.Took(writeErr) {
			err = fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, writeErr)
		}
	}
	return n, err
}

// endWrite ends the concurrent write of the request's body and returns its result.
func (r *Response) endWrite() error {
	if err := r.conn.SetWriteDeadline(time.Now()); err != nil {
		return err // the connection is closed
	}
	err := <-r.bodyWritten
	r.bodyWritten <- err // for Close
	return err
}
