// Package connreset tells whether a write failed because its connection did.
//
// The kernel reports the failure of a connection once, to a read or to a write. If a concurrent write gets it, the read
// finds an orderly end, which is the end of an answer that has neither a length nor chunks.
package connreset

import (
	"errors"
	"syscall"
)

// Took reports whether the error of a write is the failure of its connection. EPIPE is not: it is reported if the
// connection failed after the peer had ended its side in order, and to each write after the first one that failed.
func Took(writeErr error) bool {
	var number syscall.Errno
	return errors.As(writeErr, &number) && number != syscall.EPIPE
}
