package proxy

import (
	"errors"
	"strconv"
)

// errOutOfSequence means that an event of a stream comes again or late, or has no ID where it must have one.
var errOutOfSequence = errors.New("event ID is out of sequence")

// inSequence reports whether an event may follow those that the caller has. begun means that its replica has sent another event of the
// stream before. IDs that are numbers must rise, by whatever step: they may count tokens, of which an event may hold several,
// so that a larger step shows no missing event. The first event of a continuation must have an ID: one without could be
// anything that a faulty replica sends. IDs that are not numbers have no order.
func (p *progress) inSequence(id string, begun bool) bool {
	last, err := strconv.ParseInt(p.lastEventID, 10, 64)
	if err != nil {
		return true
	}
	next, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return begun
	}
	return next > last
}
