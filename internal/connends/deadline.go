// Package connends tells what the end of a connection shows of an answer that has neither a length nor chunks and ends with it.
package connends

import "time"

// DeadlineMargin is how long before the end of a request's time its replica may stop work, as its clock may run a little faster
// and hosts of older versions round the time that is left down to whole milliseconds.
const DeadlineMargin = 5 * time.Millisecond
